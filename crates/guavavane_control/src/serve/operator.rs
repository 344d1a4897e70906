//! Serves operators' commands.

use crate::context::ControlContext;
use crate::context::QUORUM_TIMEOUT;
use crate::state::command::ControlCommand;
use crate::state::command::ControlOutcome;
use guavavane_model::prelude::EnvironmentDocument;
use guavavane_protocol::operator::CellStatus;
use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::operator::OperatorOutcome;
use guavavane_protocol::operator::OperatorReply;
use guavavane_protocol::operator::ReplicaStatus;
use guavavane_protocol::replica::ControlRefusal;
use guavavane_quorum::prelude::ChangeError;
use guavavane_quorum::prelude::MemberRole;
use guavavane_quorum::prelude::ReplicaId;

pub(super) fn serve_command(context: &ControlContext, command: OperatorCommand) -> OperatorReply {
    let name = command_name(&command);
    let result = run_command(context, command);
    match result {
        Ok(outcome) => {
            tracing::info!(
                event = "operator_command",
                command = name,
                outcome = outcome_name(&outcome)
            );
            OperatorReply::Outcome(outcome)
        }
        Err(refusal) => OperatorReply::Refused(refusal),
    }
}

fn run_command(
    context: &ControlContext,
    command: OperatorCommand,
) -> Result<OperatorOutcome, ControlRefusal> {
    match command {
        OperatorCommand::Show { environment } => {
            context.read(|state| state.documents().show(&environment))
        }
        OperatorCommand::History { environment } => {
            context.read(|state| state.documents().history(&environment))
        }
        OperatorCommand::Status => Ok(OperatorOutcome::Status(cell_status(context)?)),
        OperatorCommand::Jobs => context.read(|state| OperatorOutcome::Jobs {
            jobs: state.job_statuses(),
        }),
        OperatorCommand::AddReplica { replica, address } => {
            let id = ReplicaId(replica);
            let result = context.quorum.add_learner(id, address, QUORUM_TIMEOUT);
            change_outcome(context, result)
        }
        OperatorCommand::RemoveReplica { replica } => {
            let id = ReplicaId(replica);
            let result = context.quorum.remove_member(id, QUORUM_TIMEOUT);
            change_outcome(context, result)
        }
        OperatorCommand::Apply { .. }
        | OperatorCommand::Promote { .. }
        | OperatorCommand::SetDataCentre { .. }
        | OperatorCommand::Submit { .. }
        | OperatorCommand::Cancel { .. } => commit_command(context, command),
    }
}

fn commit_command(
    context: &ControlContext,
    command: OperatorCommand,
) -> Result<OperatorOutcome, ControlRefusal> {
    // A faulty document is refused before it is proposed, so that it takes no space in the log.
    if let OperatorCommand::Apply { text, .. } = &command {
        if let Err(errors) = EnvironmentDocument::parse(text) {
            return Ok(OperatorOutcome::Faulty { faults: errors.0 });
        }
    }
    match context.propose(ControlCommand::Operate(command))? {
        ControlOutcome::Operator(outcome) => Ok(outcome),
        _ => Err(ControlRefusal::Unavailable),
    }
}

fn change_outcome(
    context: &ControlContext,
    result: Result<(), ChangeError>,
) -> Result<OperatorOutcome, ControlRefusal> {
    match result {
        Ok(()) => Ok(OperatorOutcome::ReplicasChanged),
        Err(ChangeError::NotLeader { .. }) => Err(context.not_leader()),
        Err(ChangeError::Unknown) => Err(ControlRefusal::Unknown),
        Err(error) => Ok(OperatorOutcome::Rejected {
            reason: error.to_string(),
        }),
    }
}

fn cell_status(context: &ControlContext) -> Result<CellStatus, ControlRefusal> {
    let mut status = context.read(|state| state.cell_status())?;
    let now = context.now();
    context.with_leader_state(|leader| {
        for worker in &mut status.workers {
            if leader.leases.has_polled(&worker.name) {
                let silence = leader.leases.time_since_poll(now, &worker.name);
                worker.silent_ms = u64::try_from(silence.as_millis()).ok();
            }
        }
    });
    let view = context.quorum.leadership();
    status.committed_entries = view.commit.0;
    status.replicas = view
        .members
        .iter()
        .map(|member| ReplicaStatus {
            replica: member.id.0,
            address: member.address,
            voter: member.role == MemberRole::Voter,
            leader: view.leader.is_some_and(|leader| leader.id == member.id),
        })
        .collect();
    Ok(status)
}

fn command_name(command: &OperatorCommand) -> &'static str {
    match command {
        OperatorCommand::Apply { .. } => "apply",
        OperatorCommand::Promote { .. } => "promote",
        OperatorCommand::Show { .. } => "show",
        OperatorCommand::History { .. } => "history",
        OperatorCommand::SetDataCentre { out: true, .. } => "take-out",
        OperatorCommand::SetDataCentre { out: false, .. } => "bring-back",
        OperatorCommand::Status => "status",
        OperatorCommand::Jobs => "jobs",
        OperatorCommand::Submit { .. } => "submit",
        OperatorCommand::Cancel { .. } => "cancel",
        OperatorCommand::AddReplica { .. } => "replica-add",
        OperatorCommand::RemoveReplica { .. } => "replica-remove",
    }
}

fn outcome_name(outcome: &OperatorOutcome) -> &'static str {
    match outcome {
        OperatorOutcome::Accepted(_) => "accepted",
        OperatorOutcome::Conflict { .. } => "conflict",
        OperatorOutcome::Faulty { .. } => "faulty",
        OperatorOutcome::Document { .. } => "document",
        OperatorOutcome::Versions { .. } => "versions",
        OperatorOutcome::DataCentre(_) => "data-centre",
        OperatorOutcome::Status(_) => "status",
        OperatorOutcome::Jobs { .. } => "jobs",
        OperatorOutcome::Submitted { .. } => "submitted",
        OperatorOutcome::Cancelled { .. } => "cancelled",
        OperatorOutcome::ReplicasChanged => "replicas-changed",
        OperatorOutcome::Rejected { .. } => "rejected",
        OperatorOutcome::Unknown => "unknown",
        OperatorOutcome::Unavailable => "unavailable",
    }
}
