//! Load of the machine while a run is played, as a thread of this process feels it.

use std::fs;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// Time between two measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);
/// Folder with an entry for each thread of this process.
const THREAD_FOLDER: &str = "/proc/self/task";

/// Highest values measured during a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineLoad {
    /// Time by which a sleeping thread woke up late.
    pub late_max: Duration,
    /// Threads of this process: the relays have two for each connection.
    pub threads_max: usize,
}

impl MachineLoad {
    fn add(&mut self, late: Duration) {
        self.late_max = self.late_max.max(late);
        // Without the folder, threads are not counted.
        let threads = fs::read_dir(THREAD_FOLDER).map_or(0, Iterator::count);
        self.threads_max = self.threads_max.max(threads);
    }
}

/// Thread that measures the load until it is stopped.
#[derive(Debug)]
pub struct LoadWatch {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<MachineLoad>,
}

impl LoadWatch {
    /// Starts to measure.
    pub fn start() -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = Arc::clone(&stopped);
        let thread = thread::spawn(move || {
            let mut load = MachineLoad::default();
            while !is_stopped.load(Ordering::Relaxed) {
                let due_at = Instant::now() + MEASURE_INTERVAL;
                thread::sleep(MEASURE_INTERVAL);
                load.add(due_at.elapsed());
            }
            load
        });
        Self { stopped, thread }
    }

    /// Returns the highest values measured.
    pub fn stop(self) -> MachineLoad {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("the thread doesn't panic")
    }
}
