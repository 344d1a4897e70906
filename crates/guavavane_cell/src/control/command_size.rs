//! Keeps commands within the size that the replicated log accepts.
//!
//! A command that is too large is refused each time it is proposed, and with it all that it carries. The
//! checkpoints of workers, which have no bound of their own, make up most of its size.

use std::sync::Arc;

use bincode::enc::write::SizeWriter;

use guavavane_jobs::ledger::StartChoice;
use guavavane_jobs::prelude::JobLedger;
use guavavane_jobs::prelude::LedgerCommand;
use guavavane_jobs::prelude::RunCompletion;

/// Most bytes of the items of one command; the log accepts four times as many.
const ITEMS_BYTES_MAX: usize = 512 << 10;
/// Bytes of a start or completion besides its checkpoint.
const ITEM_BYTES: usize = 64;
/// Longest checkpoint that is kept. A task with a longer one resumes from an earlier one.
const CHECKPOINT_BYTES_MAX: usize = 64 << 10;

/// Size of a command in the log, in bytes.
pub(super) fn encoded_bytes(command: &LedgerCommand) -> usize {
    let mut writer = SizeWriter::default();
    let config = bincode::config::standard();
    bincode::serde::encode_into_writer(command, &mut writer, config)
        .expect("commands encode without failing");
    writer.bytes_written
}

/// Whether a checkpoint may be kept.
pub(super) fn is_checkpoint_kept(checkpoint: &str) -> bool {
    checkpoint.len() <= CHECKPOINT_BYTES_MAX
}

/// Drops the checkpoints that are too long, so that the ledger keeps the earlier ones.
pub(super) fn drop_long_checkpoints(completions: &mut [RunCompletion]) {
    for completion in completions {
        if !is_checkpoint_kept(&completion.checkpoint) {
            completion.checkpoint = Arc::from("");
        }
    }
}

/// Splits completions into those of one command each, in their order.
pub(super) fn split_completions(completions: Vec<RunCompletion>) -> Vec<Vec<RunCompletion>> {
    let mut commands: Vec<Vec<RunCompletion>> = Vec::new();
    let mut bytes = ITEMS_BYTES_MAX;
    for completion in completions {
        let item_bytes = ITEM_BYTES + completion.checkpoint.len();
        if bytes + item_bytes > ITEMS_BYTES_MAX {
            commands.push(Vec::new());
            bytes = 0;
        }
        bytes += item_bytes;
        if let Some(command) = commands.last_mut() {
            command.push(completion);
        }
    }
    commands
}

/// Starts that fit into one command, gangs as a whole; later passes choose the others again. A gang
/// that no command can carry is left out, so that it holds up no other step.
pub(super) fn starts_of_one_command(
    ledger: &JobLedger,
    choices: Vec<StartChoice>,
) -> Vec<StartChoice> {
    let mut bytes = 0;
    let mut fitting = Vec::new();
    for step_choices in choices.chunk_by(|one, next| one.task.step == next.task.step) {
        let step = step_choices[0].task.step;
        let is_gang = ledger.step_spec(step).is_some_and(|spec| spec.gang);
        let unit = if is_gang { step_choices.len() } else { 1 };
        for unit_choices in step_choices.chunks(unit) {
            let item_bytes = unit_choices.iter().map(start_bytes).sum::<usize>();
            if bytes + item_bytes <= ITEMS_BYTES_MAX {
                bytes += item_bytes;
                fitting.extend_from_slice(unit_choices);
            }
        }
    }
    let left_out = choices.len() - fitting.len();
    if left_out > 0 {
        tracing::warn!(event = "starts_left_out", left_out, bytes);
    }
    fitting
}

fn start_bytes(choice: &StartChoice) -> usize {
    ITEM_BYTES + choice.checkpoint.len()
}
