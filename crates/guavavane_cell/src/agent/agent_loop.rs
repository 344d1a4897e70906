//! Event loop of an agent, which owns all of its state.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::late_starts::LateStarts;
use super::lease::LeaseState;
use super::order::FinishedOrder;
use super::order::FinishedShareOrder;
use super::order::OrderScope;
use super::order::WorkerOrder;
use super::worker::LocalWorker;
use super::WorkerHeartbeat;
use crate::leader_client::SessionEvent;
use crate::message::FromControl;
use crate::message::ToControl;
use crate::timing::LeaseTiming;
use crate::worker_api::RenewalAnswer;
use crate::worker_api::WorkerApi;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_transport::prelude::StreamSender;

/// Shortest wait for the expiry of a lease.
const ITERATION_MIN: Duration = Duration::from_millis(1);
/// Longest time between two iterations of the loop.
const ITERATION_MAX: Duration = Duration::from_millis(1_000);

/// Inputs of the loop from outside the process.
pub(super) enum AgentInput {
    /// Heartbeat of the worker.
    Heartbeat {
        /// Content of the heartbeat.
        heartbeat: WorkerHeartbeat,
        /// Channel for the acknowledgement of the heartbeat.
        reply: oneshot::Sender<()>,
    },
    /// The worker shuts down.
    Leave {
        /// Name of the worker.
        name: Arc<str>,
    },
    /// The process is about to end; the reply follows once the leader need not wait for a lease.
    Shutdown { reply: oneshot::Sender<()> },
}

/// Answer to a lease renewal.
pub(super) struct RenewalResult {
    pub(super) key: WorkerKey,
    /// Number of the renewal.
    pub(super) number: u64,
    /// Highest completion that the renewal let the worker forget.
    pub(super) last_completion: u64,
    pub(super) answer: RenewalAnswer,
}

/// State of the lease renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RenewalPlan {
    /// A renewal has been sent and not answered.
    InFlight,
    /// The next renewal is due at this time.
    DueAt(BootTime),
}

/// State of an agent, with the channels on which the results of its calls arrive.
pub(super) struct AgentLoop<A> {
    /// How long a latency target may be violated before all best-effort tasks get a CPU share of 0.
    pub(super) violation_timeout: Duration,
    pub(super) worker_api: A,
    /// Highest term of a leader that has answered a ping; 0 before the first answer.
    pub(super) fencing_token: u64,
    pub(super) session: Option<StreamSender<ToControl>>,
    /// Whether the worker's current state was reported on this session.
    pub(super) reported: bool,
    /// Time from which a ping of this session reaches the leader after the worker's first report;
    /// none before that report. The leader records no lease for a worker that it has no report of.
    pub(super) granted_from: Option<BootTime>,
    pub(super) lease: LeaseState,
    /// Number of lease expiries that this process has seen, of all incarnations; a start that the
    /// leader ordered in an earlier epoch is void.
    pub(super) epoch: u64,
    pub(super) worker: Option<LocalWorker>,
    /// Whether a notice has said that the worker ends, and nothing has shown it yet.
    pub(super) leaving: bool,
    /// Highest completion that the worker may forget, because the one after it was unreadable in its
    /// latest report; none if it may forget all.
    pub(super) acknowledge_max: Option<u64>,
    /// Name of the worker before the present one.
    pub(super) former_name: Option<Arc<str>>,
    /// Latest heartbeat of a later incarnation, while the current worker has not been seen to have
    /// ended.
    pub(super) successor: Option<WorkerHeartbeat>,
    /// Whether an end or a lease expiry of a worker was reported that no leader has confirmed.
    pub(super) has_unconfirmed_loss: bool,
    /// Number of the latest question whether the losses are committed; none if the present session was
    /// not asked since the latest loss.
    pub(super) loss_question: Option<u64>,
    /// Number of questions so far.
    pub(super) loss_questions: u64,
    /// Latest incarnations that have ended for good, which each session reports again.
    pub(super) ended_workers: VecDeque<WorkerKey>,
    /// Reply to a shutdown that waits for a lease to expire.
    pending_shutdown: Option<oneshot::Sender<()>>,
    pub(super) renewal: RenewalPlan,
    /// Whether the next renewal only asks which incarnation answers, because one that may be a later one
    /// has sent a heartbeat.
    pub(super) asks_incarnation: bool,
    /// Number of the latest renewal; the answers to earlier ones are ignored.
    pub(super) renewal_number: u64,
    /// Time of the next utilisation report to the leader.
    pub(super) next_utilisation_report: BootTime,
    /// Stopped runs whose end a renewal report has to confirm, each with whether the next report
    /// can: only a report to a renewal that was sent after the stop.
    pub(super) unconfirmed_stops: IndexMap<(TaskKey, RunNumber), bool>,
    /// Starts confirmed since the latest renewal was sent, which its report may lack.
    pub(super) recent_starts: IndexMap<(TaskKey, RunNumber), BootTime>,
    pub(super) renewal_sent_at: BootTime,
    /// Orders that have not finished, each with whether it is a start.
    pub(super) orders_in_flight: IndexMap<(TaskKey, RunNumber), bool>,
    /// Scope of the orders to the present worker under its present lease.
    pub(super) order_scope: OrderScope,
    /// Starts without an answer, which a later incarnation of the worker has to refuse.
    pub(super) late_starts: LateStarts,
    pub(super) renewal_results: (Sender<RenewalResult>, Receiver<RenewalResult>),
    pub(super) finished_orders: (Sender<FinishedOrder>, Receiver<FinishedOrder>),
    pub(super) finished_shares: (Sender<FinishedShareOrder>, Receiver<FinishedShareOrder>),
}

impl<A: WorkerApi> AgentLoop<A> {
    pub(super) fn new(timing: LeaseTiming, violation_timeout: Duration, worker_api: A) -> Self {
        Self {
            violation_timeout,
            worker_api,
            fencing_token: 0,
            session: None,
            reported: false,
            granted_from: None,
            lease: LeaseState::new(timing, BootClock.now()),
            epoch: 0,
            worker: None,
            leaving: false,
            acknowledge_max: None,
            former_name: None,
            successor: None,
            has_unconfirmed_loss: false,
            loss_question: None,
            loss_questions: 0,
            ended_workers: VecDeque::new(),
            pending_shutdown: None,
            renewal: RenewalPlan::DueAt(BootTime::default()),
            asks_incarnation: false,
            renewal_number: 0,
            next_utilisation_report: BootTime::default(),
            unconfirmed_stops: IndexMap::new(),
            recent_starts: IndexMap::new(),
            renewal_sent_at: BootTime::default(),
            orders_in_flight: IndexMap::new(),
            order_scope: OrderScope::default(),
            late_starts: LateStarts::default(),
            renewal_results: flume::unbounded(),
            finished_orders: flume::unbounded(),
            finished_shares: flume::unbounded(),
        }
    }

    pub(super) async fn run(
        mut self,
        queue: Receiver<AgentInput>,
        session_events: Receiver<SessionEvent>,
    ) {
        let renewal_results = self.renewal_results.1.clone();
        let finished_orders = self.finished_orders.1.clone();
        let finished_shares = self.finished_shares.1.clone();
        loop {
            let wait = self.next_wait();
            tokio::select! {
                input = queue.recv_async() => match input {
                    Ok(input) => self.handle_input(input),
                    Err(_) => return,
                },
                event = session_events.recv_async() => match event {
                    Ok(event) => self.handle_session_event(event),
                    Err(_) => return,
                },
                Ok(result) = renewal_results.recv_async() => self.handle_renewal(result),
                Ok(order) = finished_orders.recv_async() => self.handle_finished_order(&order),
                Ok(order) = finished_shares.recv_async() => self.handle_finished_share(order),
                () = tokio::time::sleep(wait) => {}
            }
            self.check_expiry();
            self.start_renewal();
            self.confirm_shutdown();
        }
    }

    fn next_wait(&self) -> Duration {
        let now = BootClock.now();
        let until_expiry = self.lease.remaining(now).unwrap_or(ITERATION_MAX);
        let wait = until_expiry.clamp(ITERATION_MIN, ITERATION_MAX);
        match self.renewal {
            RenewalPlan::DueAt(due) if self.worker.is_some() => due.saturating_since(now).min(wait),
            _ => wait,
        }
    }

    fn handle_input(&mut self, input: AgentInput) {
        match input {
            AgentInput::Heartbeat { heartbeat, reply } => {
                self.handle_heartbeat(heartbeat);
                // Sending fails only if the worker no longer waits for the answer.
                let _ = reply.send(());
            }
            AgentInput::Leave { name } => {
                if self
                    .worker
                    .as_ref()
                    .is_some_and(|worker| worker.key.name == name)
                {
                    self.expect_end();
                } else {
                    self.successor
                        .take_if(|successor| successor.key.name == name);
                }
            }
            AgentInput::Shutdown { reply } => self.pending_shutdown = Some(reply),
        }
    }

    /// Confirms a shutdown unless a lease may be in force whose end only this process can report soon, or
    /// a loss has been reported to a leader that may have been lost with it: no other process may follow
    /// on this VM, and the next one would begin the wait anew. The runs of a worker that answers go on, and the next
    /// process reports them; if none follows, the leader frees them once the released lease is over.
    fn confirm_shutdown(&mut self) {
        let answers = |worker: &LocalWorker| worker.has_list && !worker.silent;
        let is_renewed = self.worker.as_ref().is_some_and(answers) && !self.lease.is_refused();
        let awaits_expiry = self.lease.may_be_held() && !is_renewed;
        if self.pending_shutdown.is_none() || awaits_expiry {
            return;
        }
        if self.has_unconfirmed_loss {
            return self.ask_for_losses();
        }
        if let Some(reply) = self.pending_shutdown.take() {
            self.release_lease();
            // Sending fails only if the process no longer waits.
            let _ = reply.send(());
        }
    }

    /// Starts nothing more on the worker, which counts as gone once nothing answers at its address or
    /// its lease has expired. Its runs go on if the notice is of another writer.
    fn expect_end(&mut self) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        tracing::info!(event = "worker_leaving", worker = %worker.key);
        worker.draining = true;
        self.leaving = true;
        self.reported = false;
        self.report_worker();
        self.renew_now();
    }

    /// Processes a heartbeat. One of an earlier incarnation is ignored. One of a later incarnation
    /// replaces a worker that has not answered. A worker that has answered is replaced only when a
    /// lease renewal shows that it has ended, because its runs go on if the heartbeat is of another
    /// writer.
    fn handle_heartbeat(&mut self, heartbeat: WorkerHeartbeat) {
        match &self.worker {
            Some(worker) if worker.key == heartbeat.key => self.update_worker(&heartbeat),
            Some(worker) if worker.key.started_ms > heartbeat.key.started_ms => {}
            Some(worker) if worker.has_list => {
                tracing::info!(event = "successor_found", worker = %worker.key, successor = %heartbeat.key);
                self.successor = Some(heartbeat);
                // A renewal under way may wait for long on a worker that has ended.
                self.asks_incarnation = true;
                self.renewal = RenewalPlan::DueAt(BootClock.now());
            }
            _ => self.adopt_worker(heartbeat),
        }
    }

    /// Adopts the sender of a heartbeat as the worker. The loss of a worker that has not answered is
    /// not reported: the leader frees its runs once the new worker has answered.
    fn adopt_worker(&mut self, heartbeat: WorkerHeartbeat) {
        self.forget_worker("replaced");
        tracing::info!(event = "worker_found", worker = %heartbeat.key, pool = %heartbeat.facts.pool);
        let now = BootClock.now();
        self.lease.reset_for_worker();
        self.ended_workers.retain(|key| *key != heartbeat.key);
        let mut worker = LocalWorker::new(
            heartbeat.key.clone(),
            heartbeat.facts.clone(),
            self.violation_timeout,
        );
        worker.follows_incarnation = self.former_name.as_ref() == Some(&worker.key.name);
        self.worker = Some(worker);
        self.renewal = RenewalPlan::DueAt(now);
        self.update_worker(&heartbeat);
        self.refuse_late_starts(now);
    }

    /// Adopts the successor of a worker that has ended.
    pub(super) fn adopt_successor(&mut self) {
        if let Some(heartbeat) = self.successor.take() {
            self.adopt_worker(heartbeat);
        }
    }

    /// Updates the worker from one of its heartbeats, unless a later one has arrived. A worker that
    /// drains ends without accepting runs again, so an earlier heartbeat that says so still holds.
    fn update_worker(&mut self, heartbeat: &WorkerHeartbeat) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if heartbeat.sequence <= worker.sequence && !heartbeat.draining {
            return;
        }
        worker.sequence = worker.sequence.max(heartbeat.sequence);
        self.leaving &= heartbeat.draining;
        if worker.draining != heartbeat.draining {
            worker.draining = heartbeat.draining;
            tracing::info!(event = "worker_draining", worker = %worker.key, draining = heartbeat.draining);
            self.reported = false;
            self.report_worker();
        }
    }

    fn handle_session_event(&mut self, event: SessionEvent) {
        match event {
            SessionEvent::Opened(session) => {
                self.session = Some(session);
                self.reported = false;
                self.granted_from = None;
                self.report_losses();
            }
            SessionEvent::Closed => {
                self.session = None;
                self.loss_question = None;
                self.reported = false;
                self.granted_from = None;
            }
            SessionEvent::Pong { sent_at, term } => {
                if self.granted_from.is_some_and(|from| sent_at >= from) {
                    self.lease.record_grant(sent_at);
                }
                self.fencing_token = self.fencing_token.max(term);
                self.report_worker();
            }
            SessionEvent::PingSent { .. } => {}
            SessionEvent::Message(message) => self.handle_message(message),
        }
    }

    fn handle_message(&mut self, message: FromControl) {
        match message {
            FromControl::Start { key, order } => {
                if self.is_current(&key) {
                    // The order shows that the leader has the report, and so has recorded a lease.
                    if let Some(reported_at) = self.granted_from {
                        self.lease.record_grant(reported_at);
                    }
                    self.start_run(key, *order);
                }
            }
            FromControl::Stop { key, task, run } => {
                let is_stopping = self.orders_in_flight.get(&(task, run)) == Some(&false);
                if self.is_current(&key) && !is_stopping {
                    self.spawn_order(key, task, run, WorkerOrder::Stop);
                }
            }
            FromControl::InterferenceEstimates { key, estimates } => {
                let worker = self.worker.as_mut().filter(|worker| worker.key == key);
                if let Some(worker) = worker {
                    worker.throttle.set_estimates(estimates);
                }
            }
            FromControl::RefuseRuns { key, runs } => self.refuse_runs(&key, runs),
            FromControl::LossesCommitted { number } => self.record_committed_losses(number),
            FromControl::CompletionsCommitted {
                key,
                last_completion,
            } => self.acknowledge_completions(&key, last_completion),
            FromControl::Redirect { .. } | FromControl::Pong { .. } | FromControl::Reply { .. } => {
            }
        }
    }

    pub(super) fn is_current(&self, key: &WorkerKey) -> bool {
        self.worker
            .as_ref()
            .is_some_and(|worker| worker.key == *key)
    }
}
