//! Watch of which control process is in office as the leader, and since when.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller;
use crate::cell::SoakCell;
use crate::cell::CONTROL_COUNT;

/// Time between two queries of a control process.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// Times at which the control processes began to lead; none of those that don't lead.
type Terms = [Option<Instant>; CONTROL_COUNT as usize];

/// Threads that ask the control processes whether they lead, until the watch is dropped.
#[derive(Debug)]
pub struct OfficeWatch {
    stopped: Arc<AtomicBool>,
    terms: Arc<Mutex<Terms>>,
}

impl OfficeWatch {
    /// Starts to watch, with a thread for each process: a suspended one answers late.
    pub fn start(cell: &SoakCell) -> Self {
        let watch = Self {
            stopped: Arc::default(),
            terms: Arc::default(),
        };
        for number in 0..CONTROL_COUNT {
            let address = cell.control_address(number);
            let (stopped, terms) = (Arc::clone(&watch.stopped), Arc::clone(&watch.terms));
            thread::spawn(move || watch_process(address, number, &stopped, &terms));
        }
        watch
    }

    /// Time since which the present leader has been in office; none while no process leads.
    pub fn since(&self) -> Option<Instant> {
        let terms = self.terms.lock().unwrap_or_else(PoisonError::into_inner);
        terms.iter().flatten().max().copied()
    }
}

impl Drop for OfficeWatch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn watch_process(address: SocketAddr, number: u8, stopped: &AtomicBool, terms: &Mutex<Terms>) {
    while !stopped.load(Ordering::Relaxed) {
        let leads = caller::is_leader(address);
        let mut terms = terms.lock().unwrap_or_else(PoisonError::into_inner);
        let term = &mut terms[usize::from(number)];
        *term = leads.then(|| term.unwrap_or_else(Instant::now));
        drop(terms);
        thread::sleep(QUERY_INTERVAL);
    }
}
