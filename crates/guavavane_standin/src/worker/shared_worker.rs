//! State that the worker's threads share. Each update of the state is written to the evidence file.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;

use anyhow::Result;

use crate::evidence::EvidenceEvent;
use crate::evidence::EvidenceFile;
use crate::evidence::EvidenceRecord;
use crate::worker::fault::EndpointFault;
use crate::worker::fault::FaultOrder;
use crate::worker::machine::UsageSettings;
use crate::worker::machine::WorkerMachine;
use crate::worker::settings::WorkerSettings;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;

/// State that the threads of a worker share.
#[derive(Debug)]
pub(crate) struct SharedWorker {
    pub(crate) settings: WorkerSettings,
    machine: Mutex<WorkerMachine>,
    evidence: EvidenceFile,
    fault_order: Mutex<FaultOrder>,
    busy_slots: AtomicU64,
    requests_drawn: AtomicU64,
}

impl SharedWorker {
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
            fault_order: Mutex::new(FaultOrder {
                mode: EndpointFault::None,
                share_millis: 1_000,
            }),
            busy_slots: AtomicU64::new(0),
            requests_drawn: AtomicU64::new(0),
        })
    }

    /// Applies `action` to the state machine at the current time.
    ///
    /// Writes the resulting events to the evidence file before it returns them.
    pub(crate) fn update<T>(
        &self,
        action: impl FnOnce(&mut WorkerMachine, BootTime) -> T,
    ) -> (T, Vec<EvidenceRecord>) {
        let mut machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        machine.set_busy_slots(self.busy_slots.load(Ordering::Relaxed));
        let now = BootClock.now();
        let result = action(&mut machine, now);
        let events = machine.take_events();
        for event in &events {
            self.exit_on_error(self.evidence.append_record(event));
        }
        (result, events)
    }

    /// Reads the state machine at the current time, without advancing its tasks.
    pub(crate) fn read<T>(&self, action: impl FnOnce(&WorkerMachine, BootTime) -> T) -> T {
        let machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        action(&machine, BootClock.now())
    }

    /// Appends an event to the evidence file.
    ///
    /// Exits the process if the write fails, since a run with missing evidence cannot be checked.
    pub(crate) fn record(&self, event: EvidenceEvent) {
        self.exit_on_error(self.evidence.append(event));
    }

    fn exit_on_error(&self, written: Result<()>) {
        if let Err(error) = written {
            tracing::error!(%error, "cannot write to the evidence file; the worker exits");
            std::process::exit(1);
        }
    }

    pub(crate) fn set_fault_order(&self, order: FaultOrder) {
        *self
            .fault_order
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = order;
    }

    /// Draws the fault that the next request suffers, with the probability of the fault order.
    pub(crate) fn draw_fault(&self) -> EndpointFault {
        let order = self.fault_order();
        let count = self.requests_drawn.fetch_add(1, Ordering::Relaxed);
        let drawn = self.settings.profile.draw(count, 0) % 1_000;
        if drawn < order.share_millis {
            order.mode
        } else {
            EndpointFault::None
        }
    }

    /// Returns the fault order in force.
    pub(crate) fn fault_order(&self) -> FaultOrder {
        *self
            .fault_order
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_slot_acquired(&self) {
        self.busy_slots.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_slot_released(&self) {
        self.busy_slots.fetch_sub(1, Ordering::Relaxed);
    }
}
