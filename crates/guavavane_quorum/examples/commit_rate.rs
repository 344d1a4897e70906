//! Measures the replicated log: rate and latency of changes against a single log, time without
//! a leader, restart time, and bytes a change. All replicas share one machine and one disk.
//!
//! Usage: `cargo run --release --example commit_rate [SECONDS]`

#![allow(clippy::unwrap_used, reason = "a failed step ends the measurement")]

#[path = "../tests/threads/mod.rs"]
mod threads;

use std::fs;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::threads::address;
use crate::threads::init_voters;
use crate::threads::wait_for;
use crate::threads::wait_for_leader;
use crate::threads::AddValue;
use crate::threads::LocalNetwork;
use crate::threads::ScratchFolder;
use crate::threads::TestHandle;
use guavavane_quorum::entry::EntryPayload;
use guavavane_quorum::entry::LogEntry;
use guavavane_quorum::prelude::*;
use guavavane_quorum::storage::LogStore;

const CHANGE_BYTES: usize = 200;
const CLIENT_COUNTS: [usize; 3] = [1, 16, 64];
const TIMEOUT: Duration = Duration::from_secs(10);
const FAILOVERS: usize = 5;
const RESTART_CHANGES: [u64; 3] = [1_000, 10_000, 50_000];

fn change(value: u64) -> AddValue {
    let filler = vec![7; CHANGE_BYTES];
    AddValue { value, filler }
}

struct RateResult {
    per_second: f64,
    p50_us: u64,
    p99_us: u64,
}

/// Runs `clients` threads that each make one change after the other.
fn measure(clients: usize, seconds: u64, make: impl Fn() + Sync) -> RateResult {
    let stop = AtomicBool::new(false);
    let start = Instant::now();
    let mut total = Histogram::<u64>::new(3).unwrap();
    thread::scope(|scope| {
        let client = || {
            let mut latencies = Histogram::<u64>::new(3).unwrap();
            while !stop.load(Ordering::Relaxed) {
                let begin = Instant::now();
                make();
                latencies
                    .record(begin.elapsed().as_micros() as u64)
                    .unwrap();
            }
            latencies
        };
        let running: Vec<_> = (0..clients).map(|_| scope.spawn(client)).collect();
        thread::sleep(Duration::from_secs(seconds));
        stop.store(true, Ordering::Relaxed);
        for client in running {
            total.add(client.join().unwrap()).unwrap();
        }
    });
    RateResult {
        per_second: total.len() as f64 / start.elapsed().as_secs_f64(),
        p50_us: total.value_at_quantile(0.5),
        p99_us: total.value_at_quantile(0.99),
    }
}

/// The same store with one sync for all changes that wait, without the replicas.
fn single_log(path: &Path, clients: usize, seconds: u64) -> RateResult {
    init_voters(&[path.to_owned()]);
    let folder = LocalFolder::open(path).unwrap();
    let (mut store, _) = LogStore::open(folder, 8 << 20).unwrap();
    let (sender, queue) = flume::bounded::<flume::Sender<()>>(4_096);
    let writer = thread::spawn(move || {
        let mut index = LogIndex(0);
        while let Ok(first) = queue.recv() {
            let batch: Vec<_> = std::iter::once(first).chain(queue.try_iter()).collect();
            for _ in &batch {
                index = index.next();
                let payload = EntryPayload::Command(vec![7; CHANGE_BYTES].into());
                let term = Term(1);
                store.append(vec![LogEntry {
                    index,
                    term,
                    payload,
                }]);
            }
            store.sync().unwrap();
            for reply in batch {
                let _ = reply.send(());
            }
        }
    });
    let result = measure(clients, seconds, || {
        let (reply, done) = flume::bounded(1);
        sender.send(reply).unwrap();
        done.recv().unwrap();
    });
    drop(sender);
    writer.join().unwrap();
    result
}

struct LocalGroup {
    folders: Vec<ScratchFolder>,
    network: LocalNetwork,
    handles: Vec<TestHandle>,
}

impl LocalGroup {
    fn start(voters: usize, snapshot_entries: u64) -> Self {
        let folders: Vec<ScratchFolder> = (0..voters).map(|_| ScratchFolder::new()).collect();
        let paths: Vec<_> = folders.iter().map(|f| f.0.clone()).collect();
        init_voters(&paths);
        let mut group = Self {
            folders,
            network: LocalNetwork::default(),
            handles: Vec::new(),
        };
        for number in 0..voters {
            let handle = group.start_one(number, snapshot_entries);
            group.handles.push(handle);
        }
        group
    }

    fn start_one(&self, number: usize, snapshot_entries: u64) -> TestHandle {
        let settings = QuorumSettings {
            snapshot_entries,
            snapshot_log_bytes: u64::MAX,
            ..QuorumSettings::new(address(number as u16))
        };
        self.network.start(settings, self.folders[number].0.clone())
    }

    fn leader(&self) -> usize {
        wait_for_leader(&self.handles.iter().collect::<Vec<_>>())
    }

    fn stop(&self) {
        self.handles.iter().for_each(QuorumHandle::stop);
    }
}

fn report_rates(seconds: u64) {
    println!("clients log        changes/s  p50_us  p99_us");
    for clients in CLIENT_COUNTS {
        let scratch = ScratchFolder::new();
        let single = single_log(&scratch.0, clients, seconds);
        let group = LocalGroup::start(3, 10_000);
        let leader = &group.handles[group.leader()];
        let three = measure(clients, seconds, || {
            leader.propose(change(1), TIMEOUT).unwrap();
        });
        group.stop();
        for (name, rate) in [("single", &single), ("three", &three)] {
            let RateResult {
                per_second,
                p50_us,
                p99_us,
            } = rate;
            println!("{clients:7} {name:10} {per_second:9.0} {p50_us:7} {p99_us:7}");
        }
        println!(
            "{clients:7} ratio      {:9.2}",
            three.per_second / single.per_second
        );
    }
}

fn report_failovers() {
    for (name, hand_over) in [("cut off", false), ("transfer", true)] {
        let mut times = Vec::new();
        for _ in 0..FAILOVERS {
            let group = LocalGroup::start(3, 10_000);
            let old = group.leader();
            group.handles[old].propose(change(1), TIMEOUT).unwrap();
            let begin = Instant::now();
            if hand_over {
                group.handles[old].transfer_leadership();
            } else {
                group.network.cut(address(old as u16));
            }
            wait_for("a change by another leader", || {
                let others = group.handles.iter().enumerate().filter(|(n, _)| *n != old);
                let mut made = others.map(|(_, h)| h.propose(change(2), Duration::from_secs(1)));
                made.any(|m| m.is_ok()).then_some(())
            });
            times.push(begin.elapsed().as_millis());
            group.stop();
        }
        times.sort_unstable();
        println!("without a leader ({name}), ms: {times:?}");
    }
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap();
    files.map(|f| f.unwrap().metadata().unwrap().len()).sum()
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/statm").unwrap();
    let pages = status.split_whitespace().nth(1).unwrap();
    pages.parse::<u64>().unwrap() * 4_096
}

fn finish(pending: &mut Vec<flume::Receiver<Result<usize, ProposeError>>>) {
    for result in pending.drain(..) {
        result.recv().unwrap().unwrap();
    }
}

fn report_restarts() {
    println!("changes snapshots start_ms apply_ms disk_bytes/change memory_bytes/change");
    for changes in RESTART_CHANGES {
        for (name, snapshot_entries) in [("none", u64::MAX), ("10000", 10_000)] {
            let before = resident_bytes();
            let group = LocalGroup::start(1, snapshot_entries);
            let leader = &group.handles[group.leader()];
            let mut pending = Vec::new();
            for value in 0..changes {
                pending.push(leader.propose_async(change(value)));
                if pending.len() == 1_000 {
                    finish(&mut pending);
                }
            }
            finish(&mut pending);
            let memory = resident_bytes().saturating_sub(before) as f64 / changes as f64;
            group.stop();
            let disk = folder_bytes(&group.folders[0].0) as f64 / changes as f64;
            let begin = Instant::now();
            let again = group.start_one(0, snapshot_entries);
            let start_ms = begin.elapsed().as_millis();
            wait_for("a leader", || again.leadership().led_since);
            let elected = Instant::now();
            wait_for("all changes", || {
                (again.local(|m| m.values.len() as u64) == changes).then_some(())
            });
            let apply_ms = elected.elapsed().as_millis();
            again.stop();
            println!("{changes:7} {name:9} {start_ms:8} {apply_ms:8} {disk:17.0} {memory:19.0}");
        }
    }
}

fn main() {
    let seconds = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(5);
    report_rates(seconds);
    report_failovers();
    report_restarts();
}
