//! Checks leases, polls and orders together: no task ever runs on two workers at once.
//!
//! A model of two workers with their agents and of changing leaders drives the real lease table,
//! the real answers to polls and the real state. Polls and answers are lost, duplicated and
//! delayed, and agents stall. A model worker stops attempts by its own clock when their lease
//! expires, as the platform of real workers does.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;

use bolero::produce;
use indexmap::IndexMap;

use crate::support::apply;
use crate::support::apply_document;
use crate::support::data_centre;
use crate::support::document;
use crate::support::end_attempt;
use crate::support::observation;
use crate::support::place_task;
use crate::support::worker;
use guavavane_control::lease::LeaseTable;
use guavavane_control::lease::PollIdentity;
use guavavane_control::lease::RenewalResult;
use guavavane_control::orders::answer_poll;
use guavavane_control::orders::cancel_lost_starts;
use guavavane_control::orders::reported_completions;
use guavavane_control::orders::PollAnswer;
use guavavane_control::state::command::AttemptOutcome;
use guavavane_control::state::command::ControlCommand;
use guavavane_control::state::ControlState;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::poll::AttemptPhase;
use guavavane_protocol::poll::AttemptReport;
use guavavane_protocol::poll::TaskAttempt;
use guavavane_protocol::poll::WorkerOrder;
use guavavane_protocol::poll::WorkerPoll;
use guavavane_testing::for_each_value;

const LEASE_MS: u64 = 600;
const DRIFT_MARGIN_MS: u64 = 50;
const PERMIT_MS: u64 = 200;
const WORKERS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Operation {
    /// An agent polls; the answer is delivered later.
    Poll { worker: u8 },
    /// The oldest or newest undelivered answer arrives.
    Deliver { worker: u8, newest: bool },
    /// The newest undelivered answer is lost.
    LoseAnswer { worker: u8 },
    /// The clock advances by `millis` times two.
    Advance { millis: u8 },
    /// Another leader is elected, after the leader lease of the earlier one has expired.
    Elect,
    /// The leader marks the workers whose lease has expired.
    ExpireLeases,
    /// The leader ends the attempts of expired workers and readmits these workers.
    EndExpired,
    /// The policy places a task.
    Place { task: u8, worker: u8 },
    /// Operators take a data centre out of service or bring it back.
    SetDataCentre { data_centre: u8, out: bool },
    /// A running attempt finishes on its worker.
    Finish { worker: u8 },
}

/// Maps three random bytes to an operation. Operations that let tasks run and leases expire are
/// more frequent.
fn operation((kind, first, second): (u8, u8, u8)) -> Operation {
    match kind % 24 {
        0..=4 => Operation::Poll { worker: first },
        5..=9 => Operation::Deliver {
            worker: first,
            newest: second % 4 != 0,
        },
        10 => Operation::LoseAnswer { worker: first },
        11..=13 => Operation::Advance { millis: second },
        14 => Operation::Elect,
        15..=16 => Operation::ExpireLeases,
        17..=18 => Operation::EndExpired,
        19..=22 => Operation::Place {
            task: first,
            worker: second,
        },
        _ if second % 2 == 0 => Operation::Finish { worker: first },
        _ => Operation::SetDataCentre {
            data_centre: first,
            out: second % 4 == 1,
        },
    }
}

/// An attempt on a worker, as its agent knows it; it may have ended already.
struct RunningAttempt {
    attempt: TaskAttempt,
    fence: guavavane_model::prelude::FenceNumber,
    lease_until: BootTime,
    phase: AttemptPhase,
}

/// An answer that has not been delivered yet, with the time at which its poll was sent.
struct PendingAnswer {
    sent: BootTime,
    sequence: u64,
    answer: PollAnswer,
}

/// A worker with its agent: attempts, attempts whose start the agent refuses, and undelivered
/// answers.
#[derive(Default)]
struct WorkerModel {
    attempts: IndexMap<TaskAttempt, RunningAttempt>,
    refused: IndexMap<TaskAttempt, guavavane_model::prelude::FenceNumber>,
    answers: Vec<PendingAnswer>,
    sequence: u64,
    applied_sequence: u64,
}

/// The replicated state, the leases of the current leader and the workers.
struct CellModel {
    now: BootTime,
    state: ControlState,
    leases: LeaseTable,
    workers: [WorkerModel; WORKERS],
    out_since: IndexMap<usize, BootTime>,
}

impl CellModel {
    fn new() -> Self {
        let mut state = ControlState::default();
        apply_document(&mut state, 0, &document(2, 3));
        for index in 0..WORKERS {
            apply(
                &mut state,
                ControlCommand::ObserveWorker(observation(index, 1, 8_000)),
            );
        }
        let now = BootTime::from_millis(1_000);
        Self {
            now,
            state,
            leases: lease_table(now),
            workers: Default::default(),
            out_since: IndexMap::new(),
        }
    }

    fn run_operation(&mut self, operation: Operation) {
        match operation {
            Operation::Poll { worker } => self.poll(usize::from(worker) % WORKERS),
            Operation::Deliver { worker, newest } => {
                self.deliver(usize::from(worker) % WORKERS, newest);
            }
            Operation::LoseAnswer { worker } => {
                drop(self.workers[usize::from(worker) % WORKERS].answers.pop());
            }
            Operation::Advance { millis } => {
                self.now = self.now + Duration::from_millis(u64::from(millis) * 2);
            }
            Operation::Elect => self.leases = lease_table(self.now),
            Operation::ExpireLeases => self.mark_expired_workers(),
            Operation::EndExpired => self.end_expired_attempts(),
            Operation::Place { task, worker } => {
                let id = TaskId(u64::from(task % 2) + 1);
                drop(place_task(
                    &mut self.state,
                    id,
                    usize::from(worker) % WORKERS,
                ));
            }
            Operation::SetDataCentre {
                data_centre: number,
                out,
            } => self.set_data_centre(number, out),
            Operation::Finish { worker } => {
                let now = self.now;
                let model = &mut self.workers[usize::from(worker) % WORKERS];
                let running = model.attempts.values_mut().find(|a| a.is_running(now));
                if let Some(running) = running {
                    running.phase = AttemptPhase::Finished;
                }
            }
        }
        self.assert_single_placement();
    }

    fn set_data_centre(&mut self, data_centre_number: u8, out: bool) {
        let index = usize::from(data_centre_number) % WORKERS;
        let command = OperatorCommand::SetDataCentre {
            data_centre: data_centre(index),
            out,
            replaces: None,
        };
        apply(&mut self.state, ControlCommand::Operate(command));
        if out {
            self.out_since.entry(index).or_insert(self.now);
        } else {
            self.out_since.swap_remove(&index);
        }
    }

    fn poll(&mut self, index: usize) {
        let poll = self.workers[index].next_poll(index, self.now);
        let identity = PollIdentity {
            incarnation: poll.incarnation,
            sequence: poll.sequence,
        };
        let renewal = self.leases.renew(self.now, &poll.worker, identity);
        if renewal != RenewalResult::Renewed {
            return;
        }
        for completion in reported_completions(&self.state, &poll) {
            apply(&mut self.state, ControlCommand::EndAttempt(completion));
        }
        let permit = u32::try_from(PERMIT_MS).unwrap();
        self.workers[index].answers.push(PendingAnswer {
            sent: self.now,
            sequence: poll.sequence,
            answer: answer_poll(&self.state, &poll, permit),
        });
    }

    fn deliver(&mut self, index: usize, newest: bool) {
        let out_since = self.out_since.get(&index).copied();
        let model = &mut self.workers[index];
        if model.answers.is_empty() {
            return;
        }
        let position = if newest { model.answers.len() - 1 } else { 0 };
        let sent = model.answers.remove(position);
        let started = model.apply_answer(self.now, sent);
        if let (true, Some(since)) = (started, out_since) {
            let delay = self.now.saturating_since(since);
            assert!(
                delay <= Duration::from_millis(PERMIT_MS),
                "a task started {delay:?} after its data centre was taken out"
            );
        }
    }

    fn tasks_of(&self, index: usize) -> Vec<TaskId> {
        let record = self.state.workers().get(&worker(index));
        record.map_or_else(Vec::new, |record| record.tasks.iter().copied().collect())
    }

    fn mark_expired_workers(&mut self) {
        for index in 0..WORKERS {
            if !self.tasks_of(index).is_empty() {
                self.leases.mark_if_expired(self.now, &worker(index));
            }
        }
    }

    fn end_expired_attempts(&mut self) {
        for index in 0..WORKERS {
            let name = worker(index);
            if !self
                .leases
                .expired_workers()
                .any(|expired| *expired == name)
            {
                continue;
            }
            for task in self.tasks_of(index) {
                end_attempt(&mut self.state, task, AttemptOutcome::LeaseExpired);
            }
            self.leases.readmit(&name);
        }
    }

    fn assert_single_placement(&self) {
        let mut running_on: IndexMap<TaskId, usize> = IndexMap::new();
        for (index, model) in self.workers.iter().enumerate() {
            for running in model.attempts.values().filter(|a| a.is_running(self.now)) {
                let other = running_on.insert(running.attempt.task, index);
                assert!(
                    other.is_none(),
                    "{} runs in two places",
                    running.attempt.task
                );
            }
        }
    }
}

fn lease_table(now: BootTime) -> LeaseTable {
    LeaseTable::new(
        now,
        Duration::from_millis(LEASE_MS),
        Duration::from_millis(DRIFT_MARGIN_MS),
    )
}

impl RunningAttempt {
    fn is_running(&self, now: BootTime) -> bool {
        self.phase == AttemptPhase::Running && now <= self.lease_until
    }
}

impl WorkerModel {
    fn next_poll(&mut self, index: usize, now: BootTime) -> WorkerPoll {
        self.sequence += 1;
        for running in self.attempts.values_mut() {
            if running.phase == AttemptPhase::Running && now > running.lease_until {
                running.phase = AttemptPhase::Stopped;
            }
        }
        let running = self.attempts.values().map(|running| AttemptReport {
            attempt: running.attempt,
            fence: running.fence,
            phase: running.phase,
            checkpoint_ms: 0,
        });
        let refused = self.refused.iter().map(|(attempt, fence)| AttemptReport {
            attempt: *attempt,
            fence: *fence,
            phase: AttemptPhase::NotStarted,
            checkpoint_ms: 0,
        });
        let seen = observation(index, 1, 8_000);
        WorkerPoll {
            worker: seen.worker,
            data_centre: seen.data_centre,
            rack: seen.rack,
            boot: seen.boot,
            capacity: seen.capacity,
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: IncarnationId(1),
            sequence: self.sequence,
            attempts: running.chain(refused).collect(),
            usage: Vec::new(),
            entries_digest: 0,
        }
    }

    /// Applies an answer as an agent does and returns whether an attempt was started.
    fn apply_answer(&mut self, now: BootTime, sent: PendingAnswer) -> bool {
        if sent.sequence <= self.applied_sequence {
            return false;
        }
        self.applied_sequence = sent.sequence;
        let lease_until = sent.sent + Duration::from_millis(LEASE_MS);
        for attempt in &sent.answer.renewed {
            if let Some(running) = self.attempts.get_mut(attempt).filter(|a| a.is_running(now)) {
                running.lease_until = running.lease_until.max(lease_until);
            }
        }
        let mut started = false;
        for order in sent.answer.orders {
            started |= self.apply_order(now, sent.sent, lease_until, order);
        }
        started
    }

    fn apply_order(
        &mut self,
        now: BootTime,
        sent: BootTime,
        lease_until: BootTime,
        order: WorkerOrder,
    ) -> bool {
        match order {
            WorkerOrder::Start { attempt, fence, .. } => {
                let known =
                    self.attempts.contains_key(&attempt) || self.refused.contains_key(&attempt);
                let permitted = now <= sent + Duration::from_millis(PERMIT_MS);
                if known || !permitted {
                    return false;
                }
                let running = RunningAttempt {
                    attempt,
                    fence,
                    lease_until,
                    phase: AttemptPhase::Running,
                };
                self.attempts.insert(attempt, running);
                return true;
            }
            WorkerOrder::Stop { attempt } | WorkerOrder::Evict { attempt } => {
                match self.attempts.get_mut(&attempt) {
                    Some(running) if running.phase == AttemptPhase::Running => {
                        running.phase = AttemptPhase::Stopped;
                    }
                    Some(_) => {}
                    None => drop(self.refused.insert(attempt, Default::default())),
                }
            }
            WorkerOrder::Forget { attempt } => {
                self.attempts.swap_remove(&attempt);
                self.refused.swap_remove(&attempt);
            }
            WorkerOrder::Throttle { .. } => {}
        }
        false
    }
}

/// Returns a poll of worker 0 with these reports.
fn poll_with_reports(reports: Vec<AttemptReport>) -> WorkerPoll {
    let mut poll = WorkerModel::default().next_poll(0, BootTime::from_millis(1));
    poll.attempts = reports;
    poll
}

/// Guards against a task that stays committed forever: an agent that was told to stop an attempt
/// before it started reports the end with fencing token 0, since it never got the token.
#[test]
fn stopped_attempt_that_never_started_is_reported_as_ended() {
    let mut cell = CellModel::new();
    place_task(&mut cell.state, TaskId(1), 0);
    let attempt = TaskAttempt {
        task: TaskId(1),
        attempt: AttemptNumber(1),
    };
    for phase in [AttemptPhase::Stopped, AttemptPhase::NotStarted] {
        let report = AttemptReport {
            attempt,
            fence: FenceNumber(0),
            phase,
            checkpoint_ms: 0,
        };
        let completions = reported_completions(&cell.state, &poll_with_reports(vec![report]));
        assert_eq!(completions.len(), 1, "the end of {phase:?} is not accepted");
    }
}

/// Guards against a second run of the same attempt: its worker had reported it as running and then
/// lost it without a report.
#[test]
fn attempt_lost_by_its_worker_is_not_started_again() {
    let mut cell = CellModel::new();
    place_task(&mut cell.state, TaskId(1), 0);
    let mut orders = answer_poll(&cell.state, &poll_with_reports(Vec::new()), 200).orders;
    cancel_lost_starts(&mut orders, |_| false);
    assert!(matches!(orders[..], [WorkerOrder::Start { .. }]));
    cancel_lost_starts(&mut orders, |_| true);
    assert!(matches!(orders[..], [WorkerOrder::Stop { .. }]));
}

/// Guards against a task that runs on two workers at once, and against a start later than the
/// permit after the data centre was taken out of service.
#[test]
fn no_task_runs_in_two_places_and_none_starts_late() {
    for_each_value(
        4_000,
        produce::<Vec<(u8, u8, u8)>>().with().len(60usize..240),
        |draws| {
            let mut cell = CellModel::new();
            for draw in draws {
                cell.run_operation(operation(*draw));
            }
        },
    );
}
