//! Runs the scheduler of the leader: the placement policy decides, the replicated log commits.
//!
//! When its replica becomes the leader, the scheduler builds the policy from the replicated
//! state; from then on it applies each change of that state to the policy. The decisions of the
//! policy are proposals: the replicated state checks each of them again when it applies it.
//!
//! The scheduler also does the leader's maintenance: it ends the attempts of workers whose lease
//! has expired, replaces the tasks of services one by one and drops claims after their retention.

mod claim_retention;
mod placement_events;
mod propose;
mod replacement;
pub mod spread;
mod worker_monitor;

use std::sync::Arc;
use std::time::Duration;

use crate::context::ControlContext;
use crate::periodic::spawn_periodic;
use crate::scheduler::claim_retention::ClaimRetention;
use crate::scheduler::replacement::ReplacementController;
use crate::scheduler::worker_monitor::WorkerMonitor;
use crate::state::change_feed::FeedCursor;
use crate::state::change_feed::FeedRead;
use crate::state::command::ControlCommand;
use guavavane_daemon::prelude::random_incarnation_id;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_model::prelude::BootTime;
use guavavane_placement::prelude::PlacementCore;
use guavavane_placement::prelude::PlacementSettings;
use guavavane_quorum::prelude::Term;

/// Pause between two scheduling passes.
const PASS_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of decisions of one scheduling pass.
const PASS_DECISIONS_MAX: usize = 1_024;

/// Maximum evictions per second, per thousand workers, out of a data centre that is out of service.
const DRAIN_PER_THOUSAND_WORKERS: u64 = 1_000;

/// State of the scheduler during one term of leadership.
struct SchedulerState {
    term: Term,
    core: PlacementCore,
    cursor: FeedCursor,
    workers: WorkerMonitor,
    replacements: ReplacementController,
    claims: ClaimRetention,
}

/// Commits a change that the scheduler makes itself. After a failed proposal it is unknown whether
/// the change was committed, so the scheduler has to be rebuilt.
fn commit_change(context: &ControlContext, command: ControlCommand) -> Result<(), PassError> {
    context.propose(command).map(drop).map_err(|error| {
        tracing::warn!(event = "change_not_committed", ?error);
        PassError::OutOfSync
    })
}

/// Settings of the policy: throughput comes first, and a data centre that is taken out of service
/// is drained within seconds.
fn policy_settings() -> PlacementSettings {
    PlacementSettings {
        drain_per_thousand: DRAIN_PER_THOUSAND_WORKERS,
        ..PlacementSettings::favouring_throughput()
    }
}

/// Why a scheduling pass ended early.
#[derive(Debug)]
enum PassError {
    /// The scheduler may have diverged from the replicated state and has to be rebuilt from it.
    OutOfSync,
    /// This replica does not lead.
    NotLeader,
}

/// Starts the thread that runs scheduling passes while this replica leads.
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn start_scheduler(
    context: &Arc<ControlContext>,
    shutdown: &ShutdownSignal,
) -> std::io::Result<()> {
    let mut state = None;
    let run_pass = move |context: &ControlContext| {
        let result =
            ensure_current_term(context, &mut state).and_then(|state| state.run_pass(context));
        if let Err(error) = result {
            if state.take().is_some() {
                tracing::info!(event = "scheduler_reset", ?error);
            }
        }
    };
    spawn_periodic("scheduler", PASS_INTERVAL, context, shutdown, run_pass)
}

fn ensure_current_term<'a>(
    context: &ControlContext,
    state: &'a mut Option<SchedulerState>,
) -> Result<&'a mut SchedulerState, PassError> {
    let view = context.confirmed_leadership().ok_or(PassError::NotLeader)?;
    if state
        .as_ref()
        .is_none_or(|current| current.term != view.term)
    {
        *state = Some(SchedulerState::build(context, view.term)?);
    }
    state.as_mut().ok_or(PassError::OutOfSync)
}

impl SchedulerState {
    fn build(context: &ControlContext, term: Term) -> Result<Self, PassError> {
        let started = context.now();
        let initial = context
            .read(placement_events::initial_events)
            .map_err(|_| PassError::NotLeader)?;
        let now = context.now();
        let mut core = PlacementCore::new(policy_settings(), random_incarnation_id().0);
        let events = initial.events.len();
        for event in initial.events {
            core.apply_event(now, event);
        }
        tracing::info!(
            event = "scheduler_built",
            term = term.0,
            events,
            took_ms = context.now().saturating_since(started).as_millis() as u64,
        );
        Ok(Self {
            term,
            core,
            cursor: initial.cursor,
            workers: WorkerMonitor::default(),
            replacements: initial.replacements,
            claims: ClaimRetention::default(),
        })
    }

    fn run_pass(&mut self, context: &ControlContext) -> Result<(), PassError> {
        let now = context.now();
        self.apply_changes(context, now)?;
        self.workers.run(context, now, &mut self.core)?;
        placement_events::apply_samples(context, &mut self.core)?;
        let decisions = self.core.run_pass(now, PASS_DECISIONS_MAX);
        propose::propose_decisions(
            context,
            now,
            &mut self.core,
            &mut self.replacements,
            decisions,
        )?;
        self.replacements.run(context, now)?;
        self.claims.drop_expired(context, now)
    }

    fn apply_changes(&mut self, context: &ControlContext, now: BootTime) -> Result<(), PassError> {
        let batch = context
            .quorum
            .read_local(|state| match state.feed().read(self.cursor) {
                FeedRead::CursorExpired => None,
                FeedRead::Changes(changes) => Some(placement_events::change_events(state, changes)),
            });
        let batch = batch.ok_or(PassError::OutOfSync)?;
        self.cursor = batch.cursor;
        for event in batch.events {
            self.core.apply_event(now, event);
        }
        self.replacements
            .add_revised_services(batch.revised_services);
        placement_events::remove_ended_attempts(context, &batch.ended_attempts);
        Ok(())
    }
}
