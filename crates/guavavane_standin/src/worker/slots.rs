//! Slots of an endpoint: requests beyond them wait.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

#[derive(Debug)]
struct SlotCount {
    free: u16,
    open_requests: u32,
}

/// The slots of one endpoint and the requests that it has taken.
#[derive(Debug)]
pub(crate) struct SlotGate {
    count: Mutex<SlotCount>,
    freed: Condvar,
}

impl SlotGate {
    pub(crate) fn new(slots: u16) -> Self {
        Self {
            count: Mutex::new(SlotCount {
                free: slots,
                open_requests: 0,
            }),
            freed: Condvar::new(),
        }
    }

    /// Notes a request that has arrived.
    pub(crate) fn open(&self) {
        self.lock().open_requests += 1;
    }

    /// Notes that the answer of a request is on its way or given up.
    pub(crate) fn close(&self) {
        self.lock().open_requests -= 1;
    }

    /// Requests that have arrived and are not answered.
    pub(crate) fn open_requests(&self) -> u32 {
        self.lock().open_requests
    }

    /// Waits for a slot and takes it.
    pub(crate) fn take(&self) {
        let mut count = self.lock();
        while count.free == 0 {
            count = self
                .freed
                .wait(count)
                .unwrap_or_else(PoisonError::into_inner);
        }
        count.free -= 1;
    }

    /// Frees a slot.
    pub(crate) fn free(&self) {
        self.lock().free += 1;
        self.freed.notify_one();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SlotCount> {
        self.count.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
