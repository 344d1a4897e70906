//! The poll filter: asks the control leader for documents and data centres.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use flume::Sender;

use crate::control::ControlClient;
use crate::control::ControlOutcome;
use crate::directory::ServiceDirectory;
use crate::drain::DrainGate;
use crate::drain::EntryPhase;
use crate::stage::StageInput;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::prelude::ControlRefusal;
use guavavane_protocol::prelude::EntryPoll;
use guavavane_protocol::prelude::EntryPollReply;
use guavavane_protocol::prelude::EntryView;
use guavavane_routing::prelude::RouterInput;

/// Polls control for as long as the stage runs.
#[derive(Clone, Debug)]
pub struct ViewPoller {
    /// Client of the control replicas.
    pub control: ControlClient,
    /// Where documents go.
    pub directory: ServiceDirectory,
    /// Where data centres go.
    pub stage: Sender<StageInput>,
    /// Phase of the entry.
    pub gate: DrainGate,
    /// Address at which the entry takes announcements.
    pub address: SocketAddr,
    /// Run of the entry.
    pub incarnation: IncarnationId,
    /// Longest pause between two polls.
    pub interval: Duration,
    /// Longest wait for a view.
    pub limit: Duration,
    /// Time without a view after which the entry serves by announcements alone.
    pub view_wait: Duration,
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
            let pause = self.poll();
            let waited = BootClock.now().saturating_since(started_at);
            if self.gate.phase() == EntryPhase::Starting && waited >= self.view_wait {
                tracing::warn!(
                    event = "view_missing",
                    waited_ms = waited.as_millis() as u64
                );
                self.gate.set_ready();
            }
            if self.stage.is_disconnected() {
                return;
            }
            thread::sleep(pause);
        }
    }

    /// Polls once; returns the pause before the next poll.
    fn poll(&self) -> Duration {
        let phase = self.gate.phase();
        let leaving = matches!(phase, EntryPhase::Draining | EntryPhase::Closed);
        let poll = EntryPoll {
            address: self.address,
            incarnation: self.incarnation,
            documents: self.directory.stamps(),
            leaving,
        };
        let sent_at = BootClock.now();
        match self.control.call(&poll, self.limit, poll_refusal) {
            ControlOutcome::Served(EntryPollReply::View(view)) => {
                self.directory.update(sent_at, &view.documents);
                self.take_view(view)
            }
            _ => {
                let age = self.directory.age(BootClock.now());
                tracing::warn!(
                    event = "view_stale",
                    age_ms = age.map(|age| age.as_millis() as u64),
                );
                self.interval
            }
        }
    }

    fn take_view(&self, view: EntryView) -> Duration {
        self.control.learn_replicas(&view.replicas);
        let input = RouterInput::DataCentres(view.data_centres);
        // The stage has ended if this fails; the loop ends then too.
        let _ = self.stage.send(StageInput::Router(input));
        self.gate.set_ready();
        let pause = Duration::from_millis(u64::from(view.next_poll_ms));
        pause.min(self.interval)
    }
}

fn poll_refusal(reply: &EntryPollReply) -> Option<ControlRefusal> {
    match reply {
        EntryPollReply::View(_) => None,
        EntryPollReply::Refused(refusal) => Some(*refusal),
    }
}
