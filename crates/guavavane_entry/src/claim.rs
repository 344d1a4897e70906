//! Threads that send claim calls to the control leader.

use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;

use crate::control::ControlClient;
use crate::control::ControlOutcome;
use crate::stage::StageInput;
use guavavane_protocol::prelude::ClaimReply;
use guavavane_protocol::prelude::ClaimRequest;
use guavavane_protocol::prelude::ControlRefusal;
use guavavane_routing::prelude::ClaimTag;
use guavavane_routing::prelude::RouterInput;

/// A claim call that waits for a claim thread.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// What waits for the reply.
    pub tag: ClaimTag,
    /// Change of the claim.
    pub call: Box<ClaimRequest>,
    /// Timeout of the reply.
    pub timeout: Duration,
}

/// Starts `threads` threads that send the claim calls from `calls` and pass the replies to
/// `stage`.
pub fn start_claim_threads(
    threads: usize,
    control: &ControlClient,
    calls: &Receiver<ClaimCall>,
    stage: &Sender<StageInput>,
) -> std::io::Result<()> {
    for _ in 0..threads {
        let control = control.clone();
        let calls = calls.clone();
        let stage = stage.clone();
        let builder = thread::Builder::new().name("claim".to_owned());
        builder.spawn(move || run_claim_loop(&control, &calls, &stage))?;
    }
    Ok(())
}

fn run_claim_loop(
    control: &ControlClient,
    calls: &Receiver<ClaimCall>,
    stage: &Sender<StageInput>,
) {
    for ClaimCall { tag, call, timeout } in calls {
        let outcome = control.call(call.as_ref(), timeout, claim_refusal);
        let reply = match outcome {
            ControlOutcome::Served(reply) => Some(reply),
            ControlOutcome::Unknown => Some(ClaimReply::Refused(ControlRefusal::Unknown)),
            ControlOutcome::Unavailable => None,
        };
        let input = StageInput::Router(RouterInput::Claim(tag, reply));
        if stage.send(input).is_err() {
            return;
        }
    }
}

fn claim_refusal(reply: &ClaimReply) -> Option<ControlRefusal> {
    match reply {
        ClaimReply::Outcome(_) => None,
        ClaimReply::Refused(refusal) => Some(*refusal),
    }
}
