//! The loop of an agent: one owner of its state.

use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::lease::LeaseState;
use super::order::FinishedOrder;
use super::order::WorkerOrder;
use super::worker::LocalWorker;
use super::WorkerNotice;
use crate::leader_link::LinkEvent;
use crate::message::FromControl;
use crate::message::ToControl;
use crate::port::HoldAnswer;
use crate::port::WorkerPort;
use crate::timing::LeaseTiming;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_transport::prelude::StreamSender;

/// Longest time between two rounds of the loop.
const ROUND_MAX: Duration = Duration::from_millis(1_000);

/// What reaches the loop from outside.
pub(super) enum AgentInput {
    /// A heartbeat.
    Notice {
        /// The heartbeat.
        notice: WorkerNotice,
        /// Whether it was taken.
        reply: oneshot::Sender<bool>,
    },
    /// The worker ends now.
    Leave {
        /// Its name.
        name: Arc<str>,
    },
}

/// A hold that was answered.
pub(super) struct HoldResult {
    pub(super) key: WorkerKey,
    pub(super) answer: HoldAnswer,
}

/// What the loop does next about holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldPlan {
    /// One is under way.
    Waiting,
    /// The next is due at this time.
    DueAt(BootTime),
}

pub(super) struct AgentLoop<P> {
    pub(super) pace_patience: Duration,
    pub(super) port: P,
    pub(super) fence: u64,
    pub(super) session: Option<StreamSender<ToControl>>,
    /// Whether the worker was reported on this session.
    pub(super) reported: bool,
    pub(super) lease: LeaseState,
    /// Rises whenever the worker's lease has run out: starts that were ordered before are void.
    pub(super) epoch: u64,
    pub(super) worker: Option<LocalWorker>,
    /// Incarnations that are lost and that no leader was told of.
    pub(super) lost: Vec<(WorkerKey, bool)>,
    pub(super) hold: HoldPlan,
    /// When the leader is next told of tail latencies.
    pub(super) next_sample: BootTime,
    /// Stops that the next list has to confirm.
    pub(super) unconfirmed: IndexMap<(TaskKey, RunNumber), bool>,
    /// Runs that were started since the latest listed hold was sent.
    pub(super) started: IndexMap<(TaskKey, RunNumber), BootTime>,
    pub(super) hold_sent_at: BootTime,
    /// Orders under way, with whether each is a start.
    pub(super) under_way: IndexMap<(TaskKey, RunNumber), bool>,
    pub(super) holds: (Sender<HoldResult>, Receiver<HoldResult>),
    pub(super) finished: (Sender<FinishedOrder>, Receiver<FinishedOrder>),
}

impl<P: WorkerPort> AgentLoop<P> {
    pub(super) fn new(timing: LeaseTiming, pace_patience: Duration, port: P) -> Self {
        Self {
            pace_patience,
            port,
            fence: 0,
            session: None,
            reported: false,
            lease: LeaseState::new(timing),
            epoch: 0,
            worker: None,
            lost: Vec::new(),
            hold: HoldPlan::DueAt(BootTime::default()),
            next_sample: BootTime::default(),
            unconfirmed: IndexMap::new(),
            started: IndexMap::new(),
            hold_sent_at: BootTime::default(),
            under_way: IndexMap::new(),
            holds: flume::unbounded(),
            finished: flume::unbounded(),
        }
    }

    pub(super) async fn run(mut self, queue: Receiver<AgentInput>, heard: Receiver<LinkEvent>) {
        let holds = self.holds.1.clone();
        let finished = self.finished.1.clone();
        loop {
            let wait = self.next_wait();
            tokio::select! {
                input = queue.recv_async() => match input {
                    Ok(input) => self.take_input(input),
                    Err(_) => return,
                },
                event = heard.recv_async() => match event {
                    Ok(event) => self.take_event(event),
                    Err(_) => return,
                },
                Ok(result) = holds.recv_async() => self.take_hold(result),
                Ok(order) = finished.recv_async() => self.take_finished(&order),
                () = tokio::time::sleep(wait) => {}
            }
            self.check_lapse();
            self.start_hold();
        }
    }

    fn next_wait(&self) -> Duration {
        match self.hold {
            HoldPlan::DueAt(due) if self.worker.is_some() => {
                due.saturating_since(BootClock.now()).min(ROUND_MAX)
            }
            _ => ROUND_MAX,
        }
    }

    fn take_input(&mut self, input: AgentInput) {
        match input {
            AgentInput::Notice { notice, reply } => {
                let taken = self.take_notice(notice);
                // The worker has given up on this heartbeat.
                let _ = reply.send(taken);
            }
            AgentInput::Leave { name } => {
                if self
                    .worker
                    .as_ref()
                    .is_some_and(|worker| worker.key.name == name)
                {
                    self.drop_worker(true, "left");
                }
            }
        }
    }

    /// Takes a heartbeat; one of an earlier incarnation changes nothing.
    fn take_notice(&mut self, notice: WorkerNotice) -> bool {
        let now = BootClock.now();
        match &self.worker {
            Some(worker) if worker.key == notice.key => {}
            Some(worker) if worker.key.born_ms > notice.key.born_ms => return true,
            _ => {
                self.drop_worker(true, "replaced");
                tracing::info!(event = "worker_found", worker = %notice.key, pool = %notice.facts.pool);
                self.lease.begin_worker(now);
                self.worker = Some(LocalWorker::new(
                    notice.key,
                    notice.facts,
                    self.pace_patience,
                ));
                self.hold = HoldPlan::DueAt(now);
            }
        }
        let Some(worker) = &mut self.worker else {
            return false;
        };
        if notice.sequence <= worker.sequence {
            return true;
        }
        worker.sequence = notice.sequence;
        if worker.draining != notice.draining {
            worker.draining = notice.draining;
            tracing::info!(event = "worker_draining", worker = %worker.key, draining = notice.draining);
            self.reported = false;
            self.report();
        }
        true
    }

    fn take_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened(session) => {
                self.session = Some(session);
                self.reported = false;
                self.tell_lost();
            }
            LinkEvent::Closed => {
                self.session = None;
                self.reported = false;
            }
            LinkEvent::Pong { sent_at, term } => {
                self.lease.grant(sent_at);
                self.fence = self.fence.max(term);
                self.report();
            }
            LinkEvent::Message(message) => self.take_message(message),
        }
    }

    fn take_message(&mut self, message: FromControl) {
        match message {
            FromControl::Start { key, order } => {
                if self.is_current(&key) {
                    self.start_task(key, *order);
                }
            }
            FromControl::Stop { key, task, run } => {
                let stopping = self.under_way.get(&(task, run)) == Some(&false);
                if self.is_current(&key) && !stopping {
                    self.spawn_order(key, task, run, WorkerOrder::Stop);
                }
            }
            FromControl::Pairs { key, pairs } => {
                let worker = self.worker.as_mut().filter(|worker| worker.key == key);
                if let Some(worker) = worker {
                    worker.pace.adopt(pairs);
                }
            }
            FromControl::Noted { key, last_end } => self.note_ends(&key, last_end),
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
