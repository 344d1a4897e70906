//! Schedules on the leader: the policy decides, the log commits.
//!
//! The scheduler builds the placement policy from the replicated state when its replica starts
//! to lead and feeds it the changes of the state from then on. Its decisions are proposals: the
//! replicated state checks each again. It also ends the attempts of workers whose lease ran
//! out, replaces the tasks of services one by one, and drops claims whose retention ended.

mod claim_retention;
mod feed;
mod propose;
mod replacement;
pub mod spread;
mod worker_watch;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::context::ControlContext;
use crate::scheduler::claim_retention::ClaimRetention;
use crate::scheduler::replacement::ReplacementPlan;
use crate::scheduler::worker_watch::WorkerWatch;
use crate::state::change::FeedCursor;
use crate::state::change::FeedRead;
use crate::state::command::ControlCommand;
use guavavane_daemon::prelude::draw_incarnation;
use guavavane_daemon::prelude::ShutdownSignal;
use guavavane_model::prelude::BootTime;
use guavavane_placement::prelude::PlacementCore;
use guavavane_placement::prelude::PlacementSettings;
use guavavane_quorum::prelude::Term;

/// Time between two rounds of decisions.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Most decisions of a round.
const ROUND_BUDGET: usize = 1_024;

/// Evictions a second out of a data centre that is out, for each thousand workers.
const DRAIN_PER_THOUSAND: u64 = 1_000;

/// What the scheduler of one leadership keeps.
struct SchedulerState {
    term: Term,
    core: PlacementCore,
    cursor: FeedCursor,
    watch: WorkerWatch,
    plan: ReplacementPlan,
    retention: ClaimRetention,
}

/// Commits a change of the scheduler's own; if that fails, its view may be wrong.
fn commit_change(context: &ControlContext, command: ControlCommand) -> Result<(), RoundBreak> {
    context
        .propose(command)
        .map(drop)
        .map_err(|_| RoundBreak::Rebuild)
}

/// The policy's settings: work first, and a data centre that is out empties within seconds.
fn policy_settings() -> PlacementSettings {
    PlacementSettings {
        drain_per_thousand: DRAIN_PER_THOUSAND,
        ..PlacementSettings::favouring_throughput()
    }
}

/// Why a round ended early.
enum RoundBreak {
    /// The state of the scheduler may differ from the replicated state.
    Rebuild,
    /// This replica does not lead.
    NotLeader,
}

/// Starts the scheduler's thread.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start_scheduler(
    context: &Arc<ControlContext>,
    shutdown: &ShutdownSignal,
) -> std::io::Result<()> {
    let context = Arc::clone(context);
    let shutdown = shutdown.clone();
    thread::Builder::new()
        .name("scheduler".to_owned())
        .spawn(move || run_rounds(&context, &shutdown))?;
    Ok(())
}

fn run_rounds(context: &ControlContext, shutdown: &ShutdownSignal) {
    let mut state = None;
    while !shutdown.is_raised() {
        let round = ensure_state(context, &mut state).and_then(|state| state.round(context));
        if round.is_err() {
            state = None;
        }
        thread::sleep(ROUND_INTERVAL);
    }
}

fn ensure_state<'a>(
    context: &ControlContext,
    state: &'a mut Option<SchedulerState>,
) -> Result<&'a mut SchedulerState, RoundBreak> {
    let view = context.leading().ok_or(RoundBreak::NotLeader)?;
    if state.as_ref().is_none_or(|held| held.term != view.term) {
        *state = Some(SchedulerState::build(context, view.term)?);
    }
    state.as_mut().ok_or(RoundBreak::Rebuild)
}

impl SchedulerState {
    fn build(context: &ControlContext, term: Term) -> Result<Self, RoundBreak> {
        let started = context.now();
        let image = context
            .read(feed::state_image)
            .map_err(|_| RoundBreak::NotLeader)?;
        let now = context.now();
        let mut core = PlacementCore::new(policy_settings(), draw_incarnation().0);
        let events = image.events.len();
        for event in image.events {
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
            cursor: image.cursor,
            watch: WorkerWatch::default(),
            plan: image.plan,
            retention: ClaimRetention::default(),
        })
    }

    fn round(&mut self, context: &ControlContext) -> Result<(), RoundBreak> {
        let now = context.now();
        self.follow_changes(context, now)?;
        self.watch.follow(context, now, &mut self.core)?;
        feed::take_samples(context, &mut self.core)?;
        let decisions = self.core.run_pass(now, ROUND_BUDGET);
        propose::propose_all(context, now, &mut self.core, &mut self.plan, decisions)?;
        self.plan.advance(context, now)?;
        self.retention.advance(context, now)
    }

    fn follow_changes(
        &mut self,
        context: &ControlContext,
        now: BootTime,
    ) -> Result<(), RoundBreak> {
        let update = context
            .quorum
            .local(|state| match state.feed().read(self.cursor) {
                FeedRead::Rebuild => None,
                FeedRead::Changes(changes) => Some(feed::state_update(state, changes)),
            });
        let update = update.ok_or(RoundBreak::Rebuild)?;
        self.cursor = update.cursor;
        for event in update.events {
            self.core.apply_event(now, event);
        }
        self.plan.revise(update.revised);
        feed::forget_ended(context, &update.ended);
        Ok(())
    }
}
