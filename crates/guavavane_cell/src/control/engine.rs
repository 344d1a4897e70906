//! Event loop of a control process: owns the leader's volatile state and handles all inputs.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::task::yield_now;
use tokio::time::sleep;
use tokio::time::timeout;

use super::input::CallOrigin;
use super::input::EngineInput;
use super::leader_state::LeaderState;
use super::peer_format::PeerFormats;
use super::session::LeaderSession;
use super::session::SessionId;
use super::session::SessionRole;
use super::settings::ControlSettings;
use crate::command_limit::CatalogAdmission;
use crate::command_limit::CommandLimit;
use crate::message::FromControl;
use crate::message::ToControl;
use crate::metric;
use guavavane_jobs::prelude::JobAdmission;
use guavavane_jobs::prelude::JobBudget;
use guavavane_jobs::prelude::JobLedger;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_quorum::prelude::QuorumHandle;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_quorum::prelude::ReplicaRole;
use guavavane_transport::prelude::StreamSender;

/// Longest time between two checks of the leadership when no input arrives.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that a membership change may block the loop.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_millis(1);

/// Time between two checks while the tenure is suspended.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which the inputs that go on to arrive wait for the other tasks of the thread.
const BATCH_TIME_MAX: Duration = Duration::from_millis(5);

/// Gauges that only the leader sets.
const LEDGER_GAUGES: [&str; 5] = ["jobs", "waiting_tasks", "workers", "copies", "job_bytes"];

/// Result of a check of the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeadershipChange {
    /// The leader state matches the lease: it exists while the lease is held.
    Settled,
    /// The lease has run out, but the leadership is not lost.
    Suspended,
}

/// Event loop of a control process, with its settings and its handle to the replicated ledger.
pub(super) struct ControlEngine {
    pub(super) settings: ControlSettings,
    pub(super) quorum: QuorumHandle<JobLedger>,
    pub(super) inputs: Sender<EngineInput>,
    pub(super) peer_formats: PeerFormats,
    /// Volatile leader state; none while this process is not the leader.
    pub(super) leader_state: Option<LeaderState>,
    /// Number of leader states that this process has built.
    tenures: u64,
    /// Number of proposals of starts without a result, of this and earlier tenures.
    pub(super) starts_in_flight: usize,
    /// Admission of jobs, with the proposals of this and earlier tenures.
    pub(super) job_admission: JobAdmission,
    /// Admission of configurations, with the proposals of this and earlier tenures.
    pub(super) catalog_admission: CatalogAdmission,
    pub(super) next_maintenance: BootTime,
}

impl ControlEngine {
    pub(super) fn new(
        settings: ControlSettings,
        quorum: QuorumHandle<JobLedger>,
        inputs: Sender<EngineInput>,
        peer_formats: PeerFormats,
    ) -> Self {
        Self {
            job_admission: JobAdmission::new(JobBudget::derive(settings.memory_bytes)),
            catalog_admission: CatalogAdmission::new(CommandLimit::derive(settings.memory_bytes)),
            settings,
            quorum,
            inputs,
            peer_formats,
            leader_state: None,
            tenures: 0,
            starts_in_flight: 0,
            next_maintenance: BootTime::default(),
        }
    }

    pub(super) async fn run(mut self, queue: Receiver<EngineInput>) {
        loop {
            let input = timeout(LEADERSHIP_CHECK_INTERVAL, queue.recv_async()).await;
            self.await_settled_leadership().await;
            match input {
                Ok(Ok(input)) => {
                    self.handle_input(input);
                    self.handle_queued(&queue);
                }
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            if self.update_leadership() == LeadershipChange::Settled {
                self.run_maintenance();
                self.run_requested_pass();
            }
            // The connections to other replicas share this thread and must not wait until the queue
            // is empty.
            yield_now().await;
        }
    }

    /// Waits until the tenure is not suspended.
    async fn await_settled_leadership(&mut self) {
        if self.update_leadership() == LeadershipChange::Settled {
            return;
        }
        let suspended_at = BootClock.now();
        while self.update_leadership() == LeadershipChange::Suspended {
            sleep(SUSPENSION_CHECK_INTERVAL).await;
        }
        let lasted = BootClock.now().saturating_since(suspended_at);
        let kept = self.leader_state.is_some();
        metric::count_event("leadership", "suspended");
        tracing::warn!(
            event = "tenure_suspended",
            kept,
            lasted_ms = lasted.as_millis() as u64
        );
    }

    /// Handles the inputs that have arrived, within a time limit.
    fn handle_queued(&mut self, queue: &Receiver<EngineInput>) {
        let begin = BootClock.now();
        while BootClock.now().saturating_since(begin) < BATCH_TIME_MAX {
            if self.update_leadership() == LeadershipChange::Suspended {
                return;
            }
            match queue.try_recv() {
                Ok(input) => self.handle_input(input),
                Err(_) => return,
            }
        }
    }

    /// Builds the leader state at the start of a tenure and drops it when leadership is lost.
    ///
    /// A tenure is suspended while the lease has run out, but this replica leads in the same term and
    /// so may renew it: until then nothing is done in its name, and its state stays valid, since no
    /// other replica leads before a later term.
    fn update_leadership(&mut self) -> LeadershipChange {
        let view = self.quorum.leadership();
        let now = BootClock.now();
        let current_term = view.holds_lease(now).then_some(view.term.0);
        let previous_term = self.leader_state.as_ref().map(|state| state.term);
        if current_term == previous_term {
            return LeadershipChange::Settled;
        }
        let leads_still = view.role == ReplicaRole::Leader && previous_term == Some(view.term.0);
        if current_term.is_none() && leads_still {
            return LeadershipChange::Suspended;
        }
        if previous_term.is_some() {
            self.step_down();
        }
        if let Some(term) = current_term {
            self.begin_tenure(term, now);
        }
        LeadershipChange::Settled
    }

    fn begin_tenure(&mut self, term: u64, now: BootTime) {
        let timing = self.settings.timing;
        self.tenures += 1;
        let tenure = self.tenures;
        let state = self
            .quorum
            .read_local(|ledger| LeaderState::new(term, tenure, now, ledger, &timing));
        metric::count_event("leadership", "taken");
        tracing::info!(
            event = "leadership_taken",
            term,
            workers = state.workers.len()
        );
        self.leader_state = Some(state);
    }

    /// Drops the leader state and redirects all sessions.
    fn step_down(&mut self) {
        let Some(state) = self.leader_state.take() else {
            return;
        };
        metric::count_event("leadership", "lost");
        for amount in LEDGER_GAUGES {
            metric::clear_gauge(amount);
        }
        tracing::warn!(event = "leadership_lost", term = state.term);
        for session in state.sessions.values() {
            session.sender.send(self.redirect());
        }
    }

    /// Address of the leader, if this process knows one other than itself.
    pub(super) fn known_leader(&self) -> Option<SocketAddr> {
        let view = self.quorum.leadership();
        let leader = view.leader.filter(|leader| leader.id != view.id);
        leader.map(|leader| leader.address)
    }

    fn members(&self) -> Vec<SocketAddr> {
        let view = self.quorum.leadership();
        view.members.iter().map(|member| member.address).collect()
    }

    fn redirect(&self) -> FromControl {
        FromControl::Redirect {
            leader: self.known_leader(),
            members: self.members(),
        }
    }

    fn handle_input(&mut self, input: EngineInput) {
        match input {
            EngineInput::SessionMessage {
                id,
                sender,
                message,
            } => self.handle_message(id, sender, message),
            EngineInput::SessionClosed(id) => self.close_session(id),
            EngineInput::Operator(call, reply_sender) => self.serve_operator(call, reply_sender),
            EngineInput::Committed {
                tenure,
                purpose,
                result,
            } => self.handle_commit(tenure, purpose, result),
            EngineInput::AdviceReply { term, reply } => self.handle_advice_reply(term, reply),
        }
    }

    fn handle_message(
        &mut self,
        id: SessionId,
        sender: StreamSender<FromControl>,
        message: ToControl,
    ) {
        if let ToControl::Join { replica, address } = message {
            self.handle_join(&sender, replica, address);
            return;
        }
        let Some(state) = &mut self.leader_state else {
            sender.send(self.redirect());
            return;
        };
        let role = match &message {
            ToControl::EntryHello { .. } => Some(SessionRole::Entry),
            ToControl::AgentHello { node } => Some(SessionRole::Agent {
                node: node.clone(),
                worker: None,
            }),
            _ => None,
        };
        if let Some(role) = role {
            tracing::info!(event = "session_opened", session = id.0, ?role);
            state.sessions.insert(id, LeaderSession { role, sender });
            return;
        }
        if !state.is_current_session(id) {
            // The session is outdated, or was opened in an earlier term, whose state is gone.
            sender.send(self.redirect());
            return;
        }
        self.handle_session_message(id, message);
    }

    fn handle_session_message(&mut self, id: SessionId, message: ToControl) {
        let reports_worker = matches!(
            message,
            ToControl::WorkerReport(_) | ToControl::LeaseExpired
        );
        if let Some(state) = self.leader_state.as_mut().filter(|_| reports_worker) {
            state.replace_reporting_session(id);
        }
        match message {
            ToControl::Ping { sent_at } => self.answer_ping(id, sent_at),
            ToControl::Call { call_id, request } => {
                let session = id;
                self.serve_call(CallOrigin { session, call_id }, request);
            }
            ToControl::WorkerReport(report) => self.handle_worker_report(id, *report),
            ToControl::Completions { key, completions } => {
                self.handle_completions(&key, completions)
            }
            ToControl::Withdrawn { key, task, run } => self.withdraw_run(&key, task, run),
            ToControl::StartRejected { key } => self.record_rejected_start(&key),
            ToControl::Checkpoints { checkpoints } => self.record_checkpoints(id, checkpoints),
            ToControl::Utilisation { key, samples, load } => {
                let worker = self.quorum.read_local(|ledger| ledger.worker_index(&key));
                if let (Some(state), Some(worker)) = (&mut self.leader_state, worker) {
                    state.record_utilisation(worker, &samples, load);
                    self.send_estimates(worker);
                }
            }
            ToControl::Silence { key, silent } => {
                let worker = self.quorum.read_local(|ledger| ledger.worker_index(&key));
                let state = self.leader_state.as_mut();
                let worker_state = state.and_then(|state| state.worker_mut(worker?));
                if let Some(worker_state) = worker_state {
                    worker_state.silent = silent;
                }
            }
            ToControl::Stalled { key, runs } => self.move_stalled_runs(&key, &runs),
            ToControl::WorkerEnded { key } => self.handle_worker_ended(&key),
            ToControl::LeaseExpired => self.handle_expired_lease(id),
            ToControl::ConfirmLosses { number } => self.confirm_losses(id, number),
            ToControl::ReleaseLease { remaining } => self.shorten_lease(id, remaining),
            ToControl::Peer(_)
            | ToControl::Join { .. }
            | ToControl::EntryHello { .. }
            | ToControl::AgentHello { .. } => {}
        }
    }

    /// Answers a ping. A ping from an agent renews the agent's lease.
    fn answer_ping(&mut self, id: SessionId, sent_at: BootTime) {
        let members = self.members();
        let now = BootClock.now();
        let timing = self.settings.timing;
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if let Some(index) = state.session_worker(id) {
            if let Some(worker) = state.workers.get_mut(&index) {
                let lease_expires_at = now + timing.expiry_bound(timing.agent_lease);
                worker.lease_expires_at = worker.lease_expires_at.max(lease_expires_at);
            }
        }
        if let Some(session) = state.sessions.get(&id) {
            session.sender.send(FromControl::Pong {
                sent_at,
                term: state.term,
                members,
            });
        }
    }

    fn close_session(&mut self, id: SessionId) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if state.close_session(id) {
            tracing::info!(event = "session_closed", session = id.0);
        }
    }

    /// Adds a replica as a learner if this process leads; otherwise the reply names the leader.
    fn handle_join(
        &mut self,
        sender: &StreamSender<FromControl>,
        replica: ReplicaId,
        address: SocketAddr,
    ) {
        if self.leader_state.is_some() {
            // The replica sees the result in the member list and repeats a failed request.
            let result = self
                .quorum
                .add_learner(replica, address, MEMBERSHIP_CHANGE_TIMEOUT);
            tracing::info!(event = "join_asked", %replica, %address, ?result);
        }
        sender.send(self.redirect());
    }
}
