//! Concurrency limit of an endpoint: requests beyond its slots wait in no particular order.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

#[derive(Debug)]
struct SlotCounts {
    free: u16,
    open_requests: u32,
}

/// Counting semaphore over the slots of an endpoint, with a count of its open requests.
#[derive(Debug)]
pub(crate) struct RequestSlots {
    counts: Mutex<SlotCounts>,
    slot_released: Condvar,
}

impl RequestSlots {
    pub(crate) fn new(slots: u16) -> Self {
        Self {
            counts: Mutex::new(SlotCounts {
                free: slots,
                open_requests: 0,
            }),
            slot_released: Condvar::new(),
        }
    }

    /// Counts a request that has arrived.
    pub(crate) fn count_arrival(&self) {
        self.lock().open_requests += 1;
    }

    /// Counts a request whose response is ready to be sent or was given up.
    pub(crate) fn count_end(&self) {
        self.lock().open_requests -= 1;
    }

    /// Returns the number of requests that have arrived and have no response yet.
    pub(crate) fn open_requests(&self) -> u32 {
        self.lock().open_requests
    }

    /// Blocks until a slot is free and acquires it.
    pub(crate) fn acquire(&self) {
        let mut counts = self.lock();
        while counts.free == 0 {
            counts = self
                .slot_released
                .wait(counts)
                .unwrap_or_else(PoisonError::into_inner);
        }
        counts.free -= 1;
    }

    /// Releases a slot and wakes one waiting request.
    pub(crate) fn release(&self) {
        self.lock().free += 1;
        self.slot_released.notify_one();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SlotCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
