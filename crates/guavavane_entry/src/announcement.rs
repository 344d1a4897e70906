//! Thread that receives the announcements of agents.

use std::thread;

use flume::Receiver;
use flume::Sender;

use crate::stage::StageInput;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::prelude::AnnouncementReply;
use guavavane_protocol::prelude::CallKind;
use guavavane_protocol::prelude::EndpointAnnouncement;
use guavavane_routing::prelude::RouterInput;
use guavavane_transport::prelude::IncomingCall;

/// Starts the thread that passes announcements from `calls` to `stage`.
///
/// While `backlog_max` inputs wait at the stage, announcements are dropped, since agents repeat
/// them.
pub fn start_announcement_thread(
    incarnation: IncarnationId,
    calls: Receiver<IncomingCall>,
    stage: Sender<StageInput>,
    backlog_max: usize,
) -> std::io::Result<()> {
    let builder = thread::Builder::new().name("announcements".to_owned());
    builder.spawn(move || {
        for call in calls {
            if stage.len() < backlog_max {
                handle_call(incarnation, call, &stage);
            }
        }
    })?;
    Ok(())
}

fn handle_call(incarnation: IncarnationId, call: IncomingCall, stage: &Sender<StageInput>) {
    if call.kind != CallKind::Announce {
        tracing::warn!(event = "call_refused", remote = %call.remote, kind = ?call.kind);
        return;
    }
    let announcement = match call.decode::<EndpointAnnouncement>() {
        Ok(announcement) => announcement,
        Err(error) => {
            tracing::warn!(event = "announcement_refused", remote = %call.remote, %error);
            return;
        }
    };
    let input = RouterInput::Announcement(Box::new(announcement));
    if stage.send(StageInput::Router(input)).is_err() {
        return;
    }
    let reply = AnnouncementReply { incarnation };
    if let Err(error) = call.reply.send::<EndpointAnnouncement>(&reply) {
        tracing::error!(event = "reply_refused", %error);
    }
}
