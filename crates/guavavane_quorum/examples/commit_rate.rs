//! Benchmark of the replicated log.
//!
//! Measures the rate and latency of commands in comparison with a single log, the time without a
//! leader, the restart time, and the bytes per command on disk and in memory. All replicas run on
//! one machine and one disk.
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

/// Size of the filler in each command, in bytes.
const COMMAND_BYTES: usize = 200;
const CLIENT_COUNTS: [usize; 3] = [1, 16, 64];
const TIMEOUT: Duration = Duration::from_secs(10);
const FAILOVER_COUNT: usize = 5;
/// Numbers of commands in the log when the restart time is measured.
const RESTART_COMMAND_COUNTS: [u64; 3] = [1_000, 10_000, 50_000];

fn new_command(value: u64) -> AddValue {
    let filler = vec![7; COMMAND_BYTES];
    AddValue { value, filler }
}

struct RateResult {
    per_second: f64,
    p50_us: u64,
    p99_us: u64,
}

/// Runs `clients` threads, each of which runs one command after the other for `seconds`.
fn measure_rate(clients: usize, seconds: u64, run_command: impl Fn() + Sync) -> RateResult {
    let stop = AtomicBool::new(false);
    let start = Instant::now();
    let mut total = Histogram::<u64>::new(3).unwrap();
    thread::scope(|scope| {
        let client = || {
            let mut latencies = Histogram::<u64>::new(3).unwrap();
            while !stop.load(Ordering::Relaxed) {
                let started_at = Instant::now();
                run_command();
                latencies
                    .record(started_at.elapsed().as_micros() as u64)
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

/// Measures the log store alone, without replication, with one sync for all waiting commands.
fn measure_single_log(path: &Path, clients: usize, seconds: u64) -> RateResult {
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
                let payload = EntryPayload::Command(vec![7; COMMAND_BYTES].into());
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
    let result = measure_rate(clients, seconds, || {
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
        let single = measure_single_log(&scratch.0, clients, seconds);
        let group = LocalGroup::start(3, 10_000);
        let leader = &group.handles[group.leader()];
        let three = measure_rate(clients, seconds, || {
            leader.propose(new_command(1), TIMEOUT).unwrap();
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
    for (name, is_transfer) in [("cut off", false), ("transfer", true)] {
        let mut times = Vec::new();
        for _ in 0..FAILOVER_COUNT {
            let group = LocalGroup::start(3, 10_000);
            let old = group.leader();
            group.handles[old].propose(new_command(1), TIMEOUT).unwrap();
            let started_at = Instant::now();
            if is_transfer {
                group.handles[old].transfer_leadership();
            } else {
                group.network.partition(address(old as u16));
            }
            wait_for("a command by another leader", || {
                let others = group.handles.iter().enumerate().filter(|(n, _)| *n != old);
                let mut proposals =
                    others.map(|(_, h)| h.propose(new_command(2), Duration::from_secs(1)));
                proposals.any(|m| m.is_ok()).then_some(())
            });
            times.push(started_at.elapsed().as_millis());
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
    // The second field is the resident size in pages, here assumed to be of 4,096 bytes.
    let pages = status.split_whitespace().nth(1).unwrap();
    pages.parse::<u64>().unwrap() * 4_096
}

fn await_commands(pending: &mut Vec<flume::Receiver<Result<usize, ProposeError>>>) {
    for result in pending.drain(..) {
        result.recv().unwrap().unwrap();
    }
}

fn report_restarts() {
    println!("changes snapshots start_ms apply_ms disk_bytes/change memory_bytes/change");
    for commands in RESTART_COMMAND_COUNTS {
        for (name, snapshot_entries) in [("none", u64::MAX), ("10000", 10_000)] {
            let before = resident_bytes();
            let group = LocalGroup::start(1, snapshot_entries);
            let leader = &group.handles[group.leader()];
            let mut pending = Vec::new();
            for value in 0..commands {
                pending.push(leader.propose_async(new_command(value)));
                if pending.len() == 1_000 {
                    await_commands(&mut pending);
                }
            }
            await_commands(&mut pending);
            let memory = resident_bytes().saturating_sub(before) as f64 / commands as f64;
            group.stop();
            let disk = folder_bytes(&group.folders[0].0) as f64 / commands as f64;
            let started_at = Instant::now();
            let restarted = group.start_one(0, snapshot_entries);
            let start_ms = started_at.elapsed().as_millis();
            wait_for("a leader", || restarted.leadership().led_since);
            let elected_at = Instant::now();
            wait_for("all commands", || {
                (restarted.read_local(|m| m.values.len() as u64) == commands).then_some(())
            });
            let apply_ms = elected_at.elapsed().as_millis();
            restarted.stop();
            println!("{commands:7} {name:9} {start_ms:8} {apply_ms:8} {disk:17.0} {memory:19.0}");
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
