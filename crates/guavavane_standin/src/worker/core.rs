//! State that the worker's threads share, and the evidence of its changes.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;

use anyhow::Result;

use crate::evidence::EvidenceEvent;
use crate::evidence::EvidenceFile;
use crate::evidence::EvidenceRecord;
use crate::worker::machine::UsageSettings;
use crate::worker::machine::WorkerMachine;
use crate::worker::misbehaviour::ControlOrder;
use crate::worker::misbehaviour::Misbehaviour;
use crate::worker::settings::WorkerSettings;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// What the threads of a worker share.
#[derive(Debug)]
pub(crate) struct WorkerCore {
    pub(crate) settings: WorkerSettings,
    machine: Mutex<WorkerMachine>,
    evidence: EvidenceFile,
    control: Mutex<ControlOrder>,
    busy_slots: AtomicU64,
    drawn: AtomicU64,
}

impl WorkerCore {
    pub(crate) fn new(settings: WorkerSettings) -> Result<Self> {
        let evidence = EvidenceFile::open(&settings.evidence)?;
        let millis = |time: std::time::Duration| u64::try_from(time.as_millis()).unwrap_or(0);
        let usage = UsageSettings {
            interval_ms: millis(settings.usage_interval),
            lag_ms: millis(settings.usage_lag),
        };
        let machine = WorkerMachine::new(settings.facts.clone(), settings.profile.clone(), usage);
        evidence.append(EvidenceEvent::WorkerUp {
            worker: settings.facts.worker.clone(),
            data_centre: settings.facts.data_centre.clone(),
            rack: settings.facts.rack.clone(),
            boot: settings.facts.boot,
            capacity: settings.facts.capacity,
        })?;
        Ok(Self {
            settings,
            machine: Mutex::new(machine),
            evidence,
            control: Mutex::new(ControlOrder {
                mode: Misbehaviour::None,
                share_millis: 1_000,
            }),
            busy_slots: AtomicU64::new(0),
            drawn: AtomicU64::new(0),
        })
    }

    /// Runs `action` on the machine at the current moment; writes and returns what happened.
    pub(crate) fn change<T>(
        &self,
        action: impl FnOnce(&mut WorkerMachine, BootTime) -> T,
    ) -> (T, Vec<EvidenceRecord>) {
        let mut machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        machine.set_busy_slots(self.busy_slots.load(Ordering::Relaxed));
        let now = BootClock.now();
        let result = action(&mut machine, now);
        let events = machine.take_events();
        for event in &events {
            self.keep(self.evidence.append_record(event));
        }
        (result, events)
    }

    /// Reads the machine at the current moment.
    pub(crate) fn look<T>(&self, action: impl FnOnce(&WorkerMachine, BootTime) -> T) -> T {
        let machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        action(&machine, BootClock.now())
    }

    /// Writes evidence; a worker that cannot is of no use and ends.
    pub(crate) fn record(&self, event: EvidenceEvent) {
        self.keep(self.evidence.append(event));
    }

    fn keep(&self, written: Result<()>) {
        if let Err(error) = written {
            tracing::error!(%error, "evidence cannot be written");
            std::process::exit(1);
        }
    }

    pub(crate) fn set_control(&self, order: ControlOrder) {
        *self.control.lock().unwrap_or_else(PoisonError::into_inner) = order;
    }

    /// The misbehaviour of the next request.
    pub(crate) fn draw_misbehaviour(&self) -> Misbehaviour {
        let order = self.mode();
        let count = self.drawn.fetch_add(1, Ordering::Relaxed);
        let drawn = self.settings.profile.draw(count, 0) % 1_000;
        if drawn < order.share_millis {
            order.mode
        } else {
            Misbehaviour::None
        }
    }

    /// The misbehaviour in force.
    pub(crate) fn mode(&self) -> ControlOrder {
        *self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn slot_taken(&self) {
        self.busy_slots.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn slot_freed(&self) {
        self.busy_slots.fetch_sub(1, Ordering::Relaxed);
    }
}
