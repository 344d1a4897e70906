//! Implements the replicated state machine: documents, data centres, workers, jobs, tasks and
//! claims.
//!
//! Every replica applies the same commands in the same order and reaches the same state. Commands
//! are validated when they are applied, not when they are proposed: the leader's scheduler may
//! decide on an outdated state, so capacity, data centres and attempts are checked again here.

pub mod change_feed;
pub mod claim_table;
pub mod command;
pub mod data_centre_table;
pub mod document_table;
pub mod job_record;
pub mod job_table;
mod operator_command;
mod report;
mod task_lifecycle;
pub mod worker_table;

use serde::Deserialize;
use serde::Serialize;

use self::change_feed::ChangeFeed;
use self::change_feed::StateChange;
use self::claim_table::ClaimTable;
use self::command::ControlCommand;
use self::command::ControlOutcome;
use self::command::WorkerObservation;
use self::data_centre_table::DataCentreTable;
use self::document_table::DocumentTable;
use self::job_table::JobTable;
use self::worker_table::ObservationChange;
use self::worker_table::WorkerTable;
use guavavane_model::prelude::FenceNumber;
use guavavane_quorum::prelude::LogIndex;
use guavavane_quorum::prelude::RestoreError;
use guavavane_quorum::prelude::StateMachine;

/// The replicated state. Snapshots hold neither the change feed nor the parsed documents.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ControlState {
    documents: DocumentTable,
    data_centres: DataCentreTable,
    workers: WorkerTable,
    jobs: JobTable,
    claims: ClaimTable,
    last_fence: FenceNumber,
    #[serde(skip)]
    feed: ChangeFeed,
}

impl ControlState {
    /// Documents of all environments.
    pub fn documents(&self) -> &DocumentTable {
        &self.documents
    }

    /// Data centres that operators took out of service or brought back.
    pub fn data_centres(&self) -> &DataCentreTable {
        &self.data_centres
    }

    /// Workers and the capacity that is committed on each.
    pub fn workers(&self) -> &WorkerTable {
        &self.workers
    }

    /// Jobs and tasks of all environments.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// Claims of idempotency keys.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Changes since this process started or last restored a snapshot.
    pub fn feed(&self) -> &ChangeFeed {
        &self.feed
    }

    fn observe_worker(&mut self, observation: &WorkerObservation) -> ControlOutcome {
        match self.workers.observe(observation) {
            ObservationChange::Unchanged
            | ObservationChange::Outdated
            | ObservationChange::Full => {
                return ControlOutcome::Stale;
            }
            ObservationChange::Changed => {}
            ObservationChange::Rebooted(tasks) => {
                for task in tasks {
                    self.end_rebooted_attempt(task);
                }
            }
        }
        self.feed
            .push(StateChange::WorkerChanged(observation.worker.clone()));
        ControlOutcome::Changed
    }
}

impl StateMachine for ControlState {
    type Command = ControlCommand;
    type Outcome = ControlOutcome;

    fn apply(&mut self, _index: LogIndex, command: ControlCommand) -> ControlOutcome {
        match command {
            ControlCommand::Operate(command) => {
                ControlOutcome::Operator(self.apply_operator_command(&command))
            }
            ControlCommand::ObserveWorker(observation) => self.observe_worker(&observation),
            ControlCommand::ForgetWorker(worker) => {
                if !self.workers.forget(&worker) {
                    return ControlOutcome::Stale;
                }
                self.feed.push(StateChange::WorkerForgotten(worker));
                ControlOutcome::Changed
            }
            ControlCommand::PlaceTask(placement) => self.place_task(placement),
            ControlCommand::EvictTask(eviction) => self.evict_task(eviction),
            ControlCommand::ReplaceTask(attempt) => self.replace_task(attempt),
            ControlCommand::EndAttempt(end) => self.end_attempt(end),
            ControlCommand::SetImpossible { task, lacks } => self.set_impossible(task, lacks),
            ControlCommand::GiveUpTask(task) => self.give_up_task(task),
            ControlCommand::ChangeClaim(command) => {
                ControlOutcome::Claim(self.claims.change(&command.request, &command.limits))
            }
            ControlCommand::DropClaims { last_sequence } => {
                self.claims.drop_up_to(last_sequence);
                ControlOutcome::Changed
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("the state has only types that bincode encodes")
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        let (mut state, bytes_read): (Self, usize) =
            bincode::serde::decode_from_slice(bytes, bincode::config::standard())
                .map_err(|error| restore_error(error.to_string()))?;
        if bytes_read != bytes.len() {
            return Err(restore_error("bytes after the end of the state".to_owned()));
        }
        state
            .documents
            .parse_all()
            .map_err(|name| restore_error(format!("document of {name} no longer parses")))?;
        state.feed = ChangeFeed::after(&self.feed);
        *self = state;
        Ok(())
    }
}

fn restore_error(reason: String) -> RestoreError {
    RestoreError { reason }
}
