//! The loop of an agent: one owner of its state.

use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::lease::LeaseState;
use super::order::FinishedOrder;
use super::order::OrderResult;
use super::order::WorkerOrder;
use super::orders::OrderTarget;
use super::worker::LocalWorker;
use super::worker::RunTraits;
use super::WorkerNotice;
use crate::leader_link::LinkEvent;
use crate::message::FromControl;
use crate::message::StartTask;
use crate::message::ToControl;
use crate::message::WorkerReport;
use crate::metric;
use crate::port::HoldAnswer;
use crate::port::HoldReport;
use crate::port::StartOrder;
use crate::port::WorkerPort;
use crate::timing::LeaseTiming;
use guavavane_jobs::plan::pace::PaceOrder;
use guavavane_jobs::plan::press::StrainChange;
use guavavane_jobs::prelude::RunNumber;
use guavavane_jobs::prelude::TaskKey;
use guavavane_jobs::prelude::WorkerKey;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_transport::prelude::StreamSender;

/// Wait of a hold while nothing needs a closer look.
const HOLD_WAIT: Duration = Duration::from_millis(800);
/// Wait of a hold while filling tasks run beside serving ones: the worker's figures are means
/// over half a second.
const WATCH_WAIT: Duration = Duration::from_millis(300);
/// Wait of a hold while a stop is not confirmed.
const CONFIRM_WAIT: Duration = Duration::from_millis(40);
/// Longest wait for the leader to note ends before the lease is extended without that.
const NOTE_WAIT: Duration = Duration::from_millis(250);
/// Pause after a hold without an answer.
const HOLD_PAUSE: Duration = Duration::from_millis(100);
/// Time between two reports of tail latencies: they change within seconds.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
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
struct HoldResult {
    key: WorkerKey,
    answer: HoldAnswer,
}

/// What the loop does next about holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldPlan {
    /// One is under way.
    Waiting,
    /// The next is due at this time.
    DueAt(BootTime),
}

pub(super) struct AgentLoop<P> {
    pace_patience: Duration,
    port: P,
    fence: u64,
    session: Option<StreamSender<ToControl>>,
    /// Whether the worker was reported on this session.
    reported: bool,
    lease: LeaseState,
    worker: Option<LocalWorker>,
    /// Incarnations that are lost and that no leader was told of.
    lost: Vec<(WorkerKey, bool)>,
    hold: HoldPlan,
    /// What changes of filling tasks have shown since the leader was told.
    changes: Vec<StrainChange>,
    /// When the leader is next told of tail latencies.
    next_sample: BootTime,
    /// Stops that the next list has to confirm.
    unconfirmed: IndexMap<(TaskKey, RunNumber), bool>,
    /// Runs that were started since the latest listed hold was sent.
    started: IndexMap<(TaskKey, RunNumber), BootTime>,
    hold_sent_at: BootTime,
    /// Orders under way, with whether each is a start.
    under_way: IndexMap<(TaskKey, RunNumber), bool>,
    holds: (Sender<HoldResult>, Receiver<HoldResult>),
    finished: (Sender<FinishedOrder>, Receiver<FinishedOrder>),
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
            worker: None,
            lost: Vec::new(),
            hold: HoldPlan::DueAt(BootTime::default()),
            changes: Vec::new(),
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
            FromControl::Noted { key, last_end } => self.note_ends(&key, last_end),
            FromControl::Redirect { .. } | FromControl::Pong { .. } | FromControl::Reply { .. } => {
            }
        }
    }

    fn is_current(&self, key: &WorkerKey) -> bool {
        self.worker
            .as_ref()
            .is_some_and(|worker| worker.key == *key)
    }

    fn start_task(&mut self, key: WorkerKey, order: StartTask) {
        let (task, run) = (order.task, order.run);
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.is_running(task, run) || self.under_way.contains_key(&(task, run)) {
            return;
        }
        let traits = RunTraits {
            latency_target_ms: order.latency_target_ms,
            filling: order.filling,
            image: order.image,
        };
        worker.traits.insert((task, run), traits);
        let deadline = self.lease.next_deadline(BootClock.now());
        let withheld = worker.draining || self.lease.is_silent();
        let (Some(deadline_ms), false) = (deadline, withheld) else {
            tracing::info!(event = "start_withheld", %task, %run, draining = worker.draining);
            self.spawn_order(key, task, run, WorkerOrder::Stop);
            return;
        };
        let order = StartOrder {
            task,
            run,
            payload: order.payload,
            saved: order.saved,
            deadline_ms,
        };
        self.spawn_order(key, task, run, WorkerOrder::Start(order));
    }

    fn spawn_order(&mut self, key: WorkerKey, task: TaskKey, run: RunNumber, order: WorkerOrder) {
        if !matches!(order, WorkerOrder::Pace(_)) {
            let starts = matches!(order, WorkerOrder::Start(_));
            self.under_way.insert((task, run), starts);
        }
        let target = OrderTarget {
            port: self.port.clone(),
            key,
            fence: self.fence,
        };
        let finished = self.finished.0.clone();
        tokio::spawn(async move {
            let order = target.carry_out(task, run, order).await;
            // The loop has ended.
            let _ = finished.send(order);
        });
    }

    fn take_finished(&mut self, order: &FinishedOrder) {
        let id = (order.task, order.run);
        if let OrderResult::Paced(percent) = order.result {
            if let Some(worker) = &mut self.worker {
                worker.pace.note_ordered(PaceOrder {
                    task: order.task,
                    run: order.run,
                    percent,
                });
            }
            return;
        }
        self.under_way.swap_remove(&id);
        metric::count("order", order.result.name());
        tracing::info!(event = "order_finished", task = %order.task, run = %order.run, result = ?order.result);
        match order.result {
            OrderResult::Stopped | OrderResult::NotStarted if self.is_current(&order.key) => {
                // The list must come from a hold that is sent after this.
                let listed_next = !matches!(self.hold, HoldPlan::Waiting);
                self.unconfirmed.insert(id, listed_next);
                self.hasten_hold();
            }
            OrderResult::Started => {
                self.started.insert(id, BootClock.now());
            }
            // The leader sees at the next report that the run is not there.
            OrderResult::Unanswered => self.reported = false,
            _ => {}
        }
    }

    fn note_ends(&mut self, key: &WorkerKey, last_end: u64) {
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.key == *key) else {
            return;
        };
        worker.noted_end = worker.noted_end.max(last_end);
        let noted = worker.noted_end;
        worker.ends.retain(|end| end.number > noted);
        if worker.ends.is_empty() {
            self.hasten_hold();
        }
    }

    fn hasten_hold(&mut self) {
        if let HoldPlan::DueAt(_) = self.hold {
            self.hold = HoldPlan::DueAt(BootClock.now());
        }
    }

    fn start_hold(&mut self) {
        let now = BootClock.now();
        let HoldPlan::DueAt(due) = self.hold else {
            return;
        };
        if now < due || self.fence == 0 {
            return;
        }
        let Some(worker) = &self.worker else {
            return;
        };
        let deadline_ms = self.lease.next_deadline(now);
        let wait = self.hold_wait(worker).min(self.lease.longest_hold());
        let (key, last_end, fence) = (worker.key.clone(), worker.noted_end, self.fence);
        for listed_next in self.unconfirmed.values_mut() {
            *listed_next = true;
        }
        let port = self.port.clone();
        let results = self.holds.0.clone();
        tokio::spawn(async move {
            let answer = port
                .hold(key.clone(), fence, last_end, deadline_ms, wait)
                .await;
            // The loop has ended.
            let _ = results.send(HoldResult { key, answer });
        });
        self.hold_sent_at = now;
        self.hold = HoldPlan::Waiting;
    }

    fn hold_wait(&self, worker: &LocalWorker) -> Duration {
        if !worker.listed || !worker.ends.is_empty() || worker.silent {
            return Duration::ZERO;
        }
        if !self.unconfirmed.is_empty() {
            return CONFIRM_WAIT;
        }
        let traits = || worker.traits.values();
        let serving = traits().any(|traits| traits.latency_target_ms.is_some());
        if serving && traits().any(|traits| traits.filling) {
            return WATCH_WAIT;
        }
        HOLD_WAIT
    }

    fn take_hold(&mut self, result: HoldResult) {
        let now = BootClock.now();
        self.hold = HoldPlan::DueAt(now);
        if !self.is_current(&result.key) {
            return;
        }
        match result.answer {
            HoldAnswer::Report(report) => {
                let other = report
                    .born_ms
                    .is_some_and(|born| born != result.key.born_ms);
                if other {
                    return self.drop_worker(true, "born_again");
                }
                self.take_report(now, report);
            }
            HoldAnswer::OtherIncarnation => self.drop_worker(true, "other_incarnation"),
            HoldAnswer::Refused => self.hold = HoldPlan::DueAt(now + HOLD_PAUSE),
            HoldAnswer::Absent | HoldAnswer::Unanswered => {
                self.hold = HoldPlan::DueAt(now + HOLD_PAUSE);
                self.note_silence(true);
            }
        }
    }

    fn take_report(&mut self, now: BootTime, report: HoldReport) {
        self.lease.note_clock(now, report.clock_ms);
        self.note_silence(false);
        let Some(worker) = &mut self.worker else {
            return;
        };
        let fresh = worker.take_lists(report.running, report.ends);
        let sent_at = self.hold_sent_at;
        self.started.retain(|_, at| *at >= sent_at);
        let progress = worker.fresh_progress();
        let (paces, changes) = worker.pace_orders(now);
        self.changes.extend(changes);
        let (strains, load) = worker.pace.worst_strains();
        let stalled = worker.stalled_runs();
        let sampled = now >= self.next_sample && !strains.is_empty();
        let key = worker.key.clone();
        if !worker.ends.is_empty() {
            self.hold = HoldPlan::DueAt(now + NOTE_WAIT);
        }
        if self.reported {
            if !fresh.is_empty() {
                self.tell(ToControl::Ends {
                    key: key.clone(),
                    ends: fresh,
                });
            }
            if sampled {
                self.next_sample = now + SAMPLE_INTERVAL;
                if !stalled.is_empty() {
                    let runs = stalled;
                    self.tell(ToControl::Stalled {
                        key: key.clone(),
                        runs,
                    });
                }
                let changes = std::mem::take(&mut self.changes);
                self.tell(ToControl::Pressed {
                    key: key.clone(),
                    strains,
                    load,
                    changes,
                });
            }
            if !progress.is_empty() {
                self.tell(ToControl::Saved { saved: progress });
            }
        }
        for pace in paces {
            let order = WorkerOrder::Pace(pace.percent);
            self.spawn_order(key.clone(), pace.task, pace.run, order);
        }
        self.confirm_stops(&key);
        self.report();
    }

    /// Notes whether the worker answers; the leader gives a silent one no work.
    fn note_silence(&mut self, silent: bool) {
        if silent {
            self.lease.note_silence();
        }
        let Some(worker) = &mut self.worker else {
            return;
        };
        if worker.silent == silent {
            return;
        }
        worker.silent = silent;
        let key = worker.key.clone();
        tracing::warn!(event = "worker_silence", worker = %key, silent);
        self.tell(ToControl::Silence { key, silent });
    }

    /// Tells the leader of runs that were stopped and never showed up.
    fn confirm_stops(&mut self, key: &WorkerKey) {
        let Some(worker) = &self.worker else {
            return;
        };
        let mut withdrawn = Vec::new();
        let mut left = IndexMap::new();
        for ((task, run), listed) in std::mem::take(&mut self.unconfirmed) {
            if !listed || worker.is_running(task, run) {
                left.insert((task, run), listed);
            } else if !worker.has_ended(task, run) {
                withdrawn.push((task, run));
            }
        }
        self.unconfirmed = left;
        for (task, run) in withdrawn {
            self.tell(ToControl::Withdrawn {
                key: key.clone(),
                task,
                run,
            });
        }
    }

    fn tell(&self, message: ToControl) {
        if let Some(session) = &self.session {
            // A closed session is replaced, and the next report says it all.
            session.send(message);
        }
    }

    /// Speaks for the worker on a new session, once its list is known.
    fn report(&mut self) {
        if self.reported || self.session.is_none() {
            return;
        }
        let Some(worker) = self.worker.as_mut().filter(|worker| worker.listed) else {
            return;
        };
        let report = WorkerReport {
            key: worker.key.clone(),
            facts: worker.facts.clone(),
            draining: worker.draining,
            running: worker
                .running
                .iter()
                .map(|row| (row.task, row.run))
                .collect(),
            ends: worker.ends.clone(),
        };
        worker.passed_end = worker
            .ends
            .last()
            .map_or(worker.noted_end, |end| end.number);
        let saved = worker.running.iter().filter(|row| !row.saved.is_empty());
        let saved = saved
            .map(|row| (row.task, Arc::clone(&row.saved)))
            .collect();
        let under_way = self.under_way.keys().copied();
        let mut report = report;
        report.running.extend(under_way);
        report.running.extend(self.started.keys().copied());
        tracing::info!(event = "worker_reported", worker = %report.key, running = report.running.len(), ends = report.ends.len(), draining = report.draining);
        let silent = self.lease.is_silent();
        let key = report.key.clone();
        self.tell(ToControl::Worker(Box::new(report)));
        self.tell(ToControl::Silence { key, silent });
        self.tell(ToControl::Saved { saved });
        self.reported = true;
    }

    /// Notices that a silent worker has surely lapsed.
    fn check_lapse(&mut self) {
        let now = BootClock.now();
        let Some(worker) = &mut self.worker else {
            return;
        };
        if !worker.listed || !self.lease.is_lapsed(now) {
            return;
        }
        let key = worker.key.clone();
        worker.running.clear();
        worker.listed = false;
        self.unconfirmed.clear();
        self.under_way.clear();
        self.started.clear();
        self.reported = false;
        tracing::warn!(event = "worker_lapsed", worker = %key);
        self.lost.push((key, false));
        self.tell_lost();
    }

    fn tell_lost(&mut self) {
        let Some(session) = &self.session else {
            return;
        };
        for (key, ended) in self.lost.drain(..) {
            // A closed session is replaced; the leader then waits for its own lease.
            session.send(ToControl::WorkerLost { key, ended });
        }
    }

    fn drop_worker(&mut self, ended: bool, reason: &'static str) {
        let Some(worker) = self.worker.take() else {
            return;
        };
        tracing::warn!(event = "worker_gone", worker = %worker.key, reason);
        self.unconfirmed.clear();
        self.under_way.clear();
        self.started.clear();
        self.reported = false;
        self.lost.push((worker.key, ended));
        self.tell_lost();
    }
}
