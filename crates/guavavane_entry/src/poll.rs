//! Thread that polls the control leader for documents and the state of data centres.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use flume::Sender;

use crate::control::ControlClient;
use crate::control::ControlOutcome;
use crate::directory::ServiceDirectory;
use crate::drain::EntryPhase;
use crate::drain::RequestGate;
use crate::stage::StageInput;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::prelude::ControlRefusal;
use guavavane_protocol::prelude::EntryPoll;
use guavavane_protocol::prelude::EntryPollReply;
use guavavane_protocol::prelude::RoutingUpdate;
use guavavane_routing::prelude::RouterInput;

/// Polls control as long as the stage runs.
#[derive(Clone, Debug)]
pub struct ViewPoller {
    /// Client of the control replicas.
    pub control: ControlClient,
    /// Directory that receives the documents.
    pub directory: ServiceDirectory,
    /// Stage that receives the state of the data centres.
    pub stage: Sender<StageInput>,
    /// Phase of the entry; the first view makes the entry ready.
    pub gate: RequestGate,
    /// Address at which the entry receives announcements.
    pub address: SocketAddr,
    /// Incarnation of the entry.
    pub incarnation: IncarnationId,
    /// Maximum time between two polls.
    pub interval: Duration,
    /// Timeout of a poll.
    pub timeout: Duration,
    /// Time without a view after which a starting entry becomes ready and serves by announcements
    /// alone.
    pub view_timeout: Duration,
}

impl ViewPoller {
    /// Starts the thread.
    pub fn start(self) -> std::io::Result<()> {
        let builder = thread::Builder::new().name("poll".to_owned());
        builder.spawn(move || self.run())?;
        Ok(())
    }

    fn run(self) {
        let started_at = BootClock.now();
        loop {
            let wait = self.poll();
            let waited = BootClock.now().saturating_since(started_at);
            if self.gate.phase() == EntryPhase::Starting && waited >= self.view_timeout {
                tracing::warn!(
                    event = "view_missing",
                    waited_ms = waited.as_millis() as u64
                );
                self.gate.set_ready();
            }
            if self.stage.is_disconnected() {
                return;
            }
            thread::sleep(wait);
        }
    }

    /// Polls once; returns the wait before the next poll.
    fn poll(&self) -> Duration {
        let phase = self.gate.phase();
        let shutting_down = matches!(phase, EntryPhase::Draining | EntryPhase::Closed);
        let poll = EntryPoll {
            address: self.address,
            incarnation: self.incarnation,
            documents: self.directory.versions(),
            shutting_down,
        };
        let sent_at = BootClock.now();
        match self.control.call(&poll, self.timeout, poll_refusal) {
            ControlOutcome::Served(EntryPollReply::View(view)) => {
                self.directory.apply_view(sent_at, &view.documents);
                self.apply_view(view)
            }
            _ => {
                let age = self.directory.view_age(BootClock.now());
                tracing::warn!(
                    event = "view_stale",
                    age_ms = age.map(|age| age.as_millis() as u64),
                );
                self.interval
            }
        }
    }

    fn apply_view(&self, view: RoutingUpdate) -> Duration {
        self.control.add_replicas(&view.replicas);
        let input = RouterInput::DataCentres(view.data_centres);
        // Fails only if the stage has ended; the polling loop ends then too.
        let _ = self.stage.send(StageInput::Router(input));
        self.gate.set_ready();
        let wait = Duration::from_millis(u64::from(view.next_poll_ms));
        wait.min(self.interval)
    }
}

fn poll_refusal(reply: &EntryPollReply) -> Option<ControlRefusal> {
    match reply {
        EntryPollReply::View(_) => None,
        EntryPollReply::Refused(refusal) => Some(*refusal),
    }
}
