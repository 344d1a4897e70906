//! The loop of a control process: one owner of what only the leader knows.

use std::net::SocketAddr;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::time::timeout;

use super::advice::AdviceAnswer;
use super::caller::time_of_day_ms;
use super::caller::CallTicket;
use super::commit::CommitPurpose;
use super::commit::CommitResult;
use super::memory::LeaderMemory;
use super::operator::OperatorCall;
use super::operator::OperatorReceiver;
use super::session::LeaderSession;
use super::session::SessionId;
use super::session::SessionRole;
use super::ControlSettings;
use crate::message::FromControl;
use crate::message::ToControl;
use crate::metric;
use guavavane_jobs::ledger::WorkerIndex;
use guavavane_jobs::plan::order::waiting_steps;
use guavavane_jobs::plan::room::rooms;
use guavavane_jobs::plan::round::advised_steps;
use guavavane_jobs::plan::round::choose_in_order;
use guavavane_jobs::prelude::JobKey;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::JobPhase;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_quorum::prelude::QuorumHandle;
use guavavane_quorum::prelude::ReplicaId;
use guavavane_transport::prelude::StreamSender;

/// Time between two looks at the leadership when nothing else happens.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two rounds of upkeep of the leader's memory.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a change of the members.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1);

/// What reaches the loop.
pub(super) enum EngineInput {
    Session {
        id: SessionId,
        sender: StreamSender<FromControl>,
        message: ToControl,
    },
    SessionClosed(SessionId),
    Operator(OperatorCall, OperatorReceiver),
    Committed {
        term: u64,
        purpose: CommitPurpose,
        result: CommitResult,
    },
    Advised {
        term: u64,
        answer: AdviceAnswer,
    },
}

/// State of the loop.
pub(super) struct ControlEngine {
    pub(super) settings: ControlSettings,
    pub(super) quorum: QuorumHandle<JobLedger>,
    pub(super) inputs: Sender<EngineInput>,
    /// What this process knows as the leader, while it leads.
    pub(super) memory: Option<LeaderMemory>,
    next_upkeep: BootTime,
}

impl ControlEngine {
    pub(super) fn new(
        settings: ControlSettings,
        quorum: QuorumHandle<JobLedger>,
        inputs: Sender<EngineInput>,
    ) -> Self {
        Self {
            settings,
            quorum,
            inputs,
            memory: None,
            next_upkeep: BootTime::default(),
        }
    }

    pub(super) async fn run(mut self, queue: Receiver<EngineInput>) {
        loop {
            let input = timeout(WATCH_INTERVAL, queue.recv_async()).await;
            self.watch_leadership();
            match input {
                Ok(Ok(input)) => self.take(input),
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            self.keep_up();
        }
    }

    /// Starts or ends a term as the leader.
    fn watch_leadership(&mut self) {
        let view = self.quorum.leadership();
        let now = BootClock.now();
        let leads = view.holds_lease(now).then_some(view.term.0);
        let led = self.memory.as_ref().map(|memory| memory.term);
        if leads == led {
            return;
        }
        if led.is_some() {
            self.resign();
        }
        if let Some(term) = leads {
            let timing = self.settings.timing;
            let memory = self
                .quorum
                .local(|ledger| LeaderMemory::new(term, now, ledger, &timing));
            metric::count("leadership", "taken");
            tracing::info!(
                event = "leadership_taken",
                term,
                workers = memory.workers.len()
            );
            self.memory = Some(memory);
        }
    }

    fn resign(&mut self) {
        let Some(memory) = self.memory.take() else {
            return;
        };
        metric::count("leadership", "lost");
        tracing::warn!(event = "leadership_lost", term = memory.term);
        for session in memory.sessions.values() {
            session.sender.send(self.redirect());
        }
    }

    /// The process that leads, as far as this one knows, unless it is this one.
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

    fn take(&mut self, input: EngineInput) {
        match input {
            EngineInput::Session {
                id,
                sender,
                message,
            } => self.take_message(id, sender, message),
            EngineInput::SessionClosed(id) => self.close_session(id),
            EngineInput::Operator(call, receiver) => self.serve_operator(call, receiver),
            EngineInput::Committed {
                term,
                purpose,
                result,
            } => self.take_commit(term, purpose, result),
            EngineInput::Advised { term, answer } => self.take_advice(term, answer),
        }
    }

    fn take_message(
        &mut self,
        id: SessionId,
        sender: StreamSender<FromControl>,
        message: ToControl,
    ) {
        if let ToControl::Join { replica, address } = message {
            self.take_join(&sender, replica, address);
            return;
        }
        let redirect = self.redirect();
        let Some(memory) = &mut self.memory else {
            sender.send(redirect);
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
            memory.sessions.insert(id, LeaderSession { role, sender });
            return;
        }
        if !memory.sessions.contains_key(&id) {
            // It was opened with an earlier leadership of this process.
            sender.send(redirect);
            return;
        }
        self.take_session_message(id, message);
    }

    fn take_session_message(&mut self, id: SessionId, message: ToControl) {
        match message {
            ToControl::Ping { sent_at } => self.answer_ping(id, sent_at),
            ToControl::Call { ticket, request } => {
                let session = id;
                self.serve_call(CallTicket { session, ticket }, request);
            }
            ToControl::Worker(report) => self.take_report(id, *report),
            ToControl::Ends { key, ends } => self.take_ends(&key, ends),
            ToControl::Withdrawn { key, task, run } => self.withdraw(&key, task, run),
            ToControl::Saved { saved } => {
                if let Some(memory) = &mut self.memory {
                    memory.saved.extend(saved);
                }
            }
            ToControl::Pressed { key, samples, load } => {
                let worker = self.quorum.local(|ledger| ledger.worker_index(&key));
                if let (Some(memory), Some(worker)) = (&mut self.memory, worker) {
                    memory.learn_strains(worker, &samples, load);
                    self.tell_pairs(worker);
                }
            }
            ToControl::Silence { key, silent } => {
                let worker = self.quorum.local(|ledger| ledger.worker_index(&key));
                let memory = self.memory.as_mut();
                let known = memory.and_then(|memory| memory.workers.get_mut(&worker?));
                if let Some(known) = known {
                    known.silent = silent;
                }
            }
            ToControl::Stalled { key, runs } => self.move_stalled(&key, &runs),
            ToControl::WorkerLost { key, ended } => self.take_loss(&key, ended),
            ToControl::Peer(_)
            | ToControl::Join { .. }
            | ToControl::EntryHello { .. }
            | ToControl::AgentHello { .. } => {}
        }
    }

    /// Answers a ping; to an agent this grants its lease anew.
    fn answer_ping(&mut self, id: SessionId, sent_at: BootTime) {
        let members = self.members();
        let now = BootClock.now();
        let timing = self.settings.timing;
        let Some(memory) = &mut self.memory else {
            return;
        };
        if let Some(index) = memory.session_worker(id) {
            if let Some(worker) = memory.workers.get_mut(&index) {
                let lapses_at = now + timing.surely_over(timing.agent_lease);
                worker.lapses_at = worker.lapses_at.max(lapses_at);
            }
        }
        if let Some(session) = memory.sessions.get(&id) {
            session.sender.send(FromControl::Pong {
                sent_at,
                term: memory.term,
                members,
            });
        }
    }

    fn close_session(&mut self, id: SessionId) {
        let Some(memory) = &mut self.memory else {
            return;
        };
        if memory.sessions.swap_remove(&id).is_none() {
            return;
        }
        tracing::info!(event = "session_closed", session = id.0);
        for worker in memory.workers.values_mut() {
            if worker.session == Some(id) {
                worker.session = None;
            }
        }
    }

    /// Adds a replica as a learner; a process that does not lead names the leader.
    fn take_join(
        &mut self,
        sender: &StreamSender<FromControl>,
        replica: ReplicaId,
        address: SocketAddr,
    ) {
        if self.memory.is_some() {
            // The result shows in the members; a request that failed comes again.
            let result = self.quorum.add_learner(replica, address, CHANGE_TIMEOUT);
            tracing::info!(event = "join_asked", %replica, %address, ?result);
        }
        sender.send(self.redirect());
    }

    /// Starts what fits; one proposal at a time.
    pub(super) fn place(&mut self) {
        let Some(memory) = &mut self.memory else {
            return;
        };
        if memory.placing {
            memory.place_again = true;
            return;
        }
        memory.place_again = false;
        let asks = self.settings.advice.is_some();
        let (choices, advised) = self.quorum.local(|ledger| {
            memory.note_waiting(ledger);
            let rooms = rooms(ledger, |index: WorkerIndex| memory.outlook(index));
            let steps = waiting_steps(ledger, &memory.run_times, time_of_day_ms());
            let advised = if asks {
                advised_steps(ledger, &rooms, memory, &steps)
            } else {
                Vec::new()
            };
            (choose_in_order(ledger, rooms, memory, &steps), advised)
        });
        self.ask_advice(advised);
        let Some(memory) = &mut self.memory else {
            return;
        };
        if choices.is_empty() {
            return;
        }
        memory.placing = true;
        let command = LedgerCommand::Start {
            choices: choices.clone(),
        };
        self.propose(command, CommitPurpose::Start(choices));
    }

    /// Looks after what no message calls for.
    fn keep_up(&mut self) {
        let now = BootClock.now();
        if self.memory.is_none() || now < self.next_upkeep {
            return;
        }
        self.next_upkeep = now + UPKEEP_INTERVAL;
        self.lose_silent_workers();
        self.measure();
        self.release_due();
        self.forget_old(now);
        self.stop_leftovers();
        self.place();
    }

    /// Sets the amounts that operators watch.
    fn measure(&self) {
        let (jobs, waiting, workers) = self.quorum.local(|ledger| {
            let waiting = ledger.ready_steps().map(|(_, count)| count as usize);
            (
                ledger.jobs().count(),
                waiting.sum(),
                ledger.workers().count(),
            )
        });
        metric::gauge("jobs", jobs);
        metric::gauge("waiting_tasks", waiting);
        metric::gauge("workers", workers);
    }

    /// Releases occurrences that are due.
    fn release_due(&mut self) {
        let now_ms = time_of_day_ms();
        let due: Vec<(JobKey, u32)> = self.quorum.local(|ledger| {
            let scheduled = ledger.jobs().filter_map(|(key, job)| {
                let schedule = job.spec.as_ref()?.schedule?;
                let next = job.next_occurrence;
                let due = next < schedule.occurrences && schedule.due_ms(next) <= now_ms;
                due.then_some((key, next))
            });
            scheduled.collect()
        });
        for (job, occurrence) in due {
            tracing::info!(event = "occurrence_due", %job, occurrence);
            let command = LedgerCommand::Release { job, occurrence };
            self.propose(command, CommitPurpose::Freed);
        }
    }

    fn forget_old(&mut self, now: BootTime) {
        let retention = Duration::from_millis(self.settings.retention_ms);
        let Some(memory) = &mut self.memory else {
            return;
        };
        self.quorum.local(|ledger| memory.advice.trim(ledger));
        let old = memory.ended_at.iter();
        let old = old.filter(|(_, at)| now.saturating_since(**at) > retention);
        let jobs: Vec<JobKey> = old.map(|(job, _)| *job).collect();
        if jobs.is_empty() {
            return;
        }
        memory.ended_at.retain(|job, _| !jobs.contains(job));
        memory
            .ordered_at
            .retain(|_, at| now.saturating_since(*at) <= retention);
        self.propose(LedgerCommand::Forget { jobs }, CommitPurpose::Kept);
    }

    /// Orders stops again for runs whose jobs have ended: an agent gives up after a while.
    fn stop_leftovers(&self) {
        let ended: Vec<JobKey> = self.quorum.local(|ledger| {
            let runs = ledger.workers().flat_map(|(_, worker)| worker.runs.keys());
            let jobs = runs.map(|task| task.step.job);
            let ended = jobs.filter(|job| {
                ledger
                    .job(*job)
                    .is_none_or(|job| job.phase != JobPhase::Active)
            });
            ended.collect()
        });
        self.stop_unwanted(&ended);
    }
}
