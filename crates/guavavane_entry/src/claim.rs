//! The claim filter: threads that carry claims to the control leader.

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

/// A claim on its way to the leader.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// What the reply belongs to.
    pub tag: ClaimTag,
    /// The call.
    pub call: Box<ClaimRequest>,
    /// Longest wait for the reply.
    pub limit: Duration,
}

/// Starts `threads` threads that carry claims from `calls` and feed the replies to `stage`.
pub fn start_claims(
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
        builder.spawn(move || carry_claims(&control, &calls, &stage))?;
    }
    Ok(())
}

fn carry_claims(control: &ControlClient, calls: &Receiver<ClaimCall>, stage: &Sender<StageInput>) {
    for ClaimCall { tag, call, limit } in calls {
        let outcome = control.call(call.as_ref(), limit, claim_refusal);
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
