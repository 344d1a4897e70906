//! Measures processor time and resident memory of each daemon for several numbers of workers.
//!
//! Starts clusters of processes on loopback, one after the other. Each runs its service until
//! placements are stable; then `/proc` is read at both ends of an interval. Run it in release mode:
//! `cargo build --release --locked && cargo run --release --locked --example capacity_probe`.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::Duration;

use anyhow::Context;

use guavavane::standin::prelude::ClusterPlan;
use guavavane::standin::prelude::RunningCluster;

/// Numbers of workers of the measured clusters.
const WORKER_COUNTS: [usize; 4] = [5, 20, 40, 80];

/// Time until placements and announcements are stable.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Length of the measured interval.
const MEASURED_INTERVAL: Duration = Duration::from_secs(10);

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time in clock ticks and resident memory of a process.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessReading {
    ticks: f64,
    resident_kib: f64,
}

/// Processor usage in cores and resident memory of a role, summed over its processes.
#[derive(Clone, Copy, Debug, Default)]
struct RoleUsage {
    processes: f64,
    cores: f64,
    resident_kib: f64,
}

impl RoleUsage {
    fn print(&self, workers: usize, role: &str) {
        println!(
            "workers={workers} role={role} processes={} core_percent_each={:.3} resident_kib_each={:.0}",
            self.processes,
            self.cores * 100.0 / self.processes,
            self.resident_kib / self.processes,
        );
    }
}

fn main() -> anyhow::Result<()> {
    let program = std::env::current_exe()?;
    let programs = program
        .parent()
        .and_then(Path::parent)
        .context("the path of this example is not PROFILE/examples/EXAMPLE in the target folder")?;
    for workers in WORKER_COUNTS {
        measure_cluster(programs, workers)?;
    }
    Ok(())
}

fn measure_cluster(programs: &Path, workers: usize) -> anyhow::Result<()> {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let plan = ClusterPlan {
        name: format!("capacity-{workers}"),
        workers,
        ..ClusterPlan::cooperativa(&examples)
    };
    let mut cluster = RunningCluster::start(plan, programs)?;
    cluster.apply_document()?;
    cluster.wait_serving()?;
    thread::sleep(SETTLE_TIME);
    let names: Vec<String> = cluster.group.names();
    let before = read_processes(&cluster, &names);
    thread::sleep(MEASURED_INTERVAL);
    let after = read_processes(&cluster, &names);
    for role in ["control", "entry", "agent"] {
        sum_role_usage(&names, &before, &after, role).print(workers, role);
    }
    cluster.shut_down()?;
    Ok(())
}

fn read_processes(cluster: &RunningCluster, names: &[String]) -> Vec<ProcessReading> {
    names
        .iter()
        .map(|name| {
            let process = cluster.group.process_id(name);
            process.and_then(read_process).unwrap_or_default()
        })
        .collect()
}

fn read_process(process: u32) -> Option<ProcessReading> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The program name in parentheses may hold spaces, so fields are counted after it: `utime` and
    // `stime` are fields 14 and 15 of the line.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let resident = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    Some(ProcessReading {
        ticks: user + system,
        resident_kib: resident.split_whitespace().nth(1)?.parse().ok()?,
    })
}

fn sum_role_usage(
    names: &[String],
    before: &[ProcessReading],
    after: &[ProcessReading],
    role: &str,
) -> RoleUsage {
    let mut total = RoleUsage::default();
    for (name, (before, after)) in names.iter().zip(before.iter().zip(after)) {
        if name.starts_with(role) {
            let seconds = (after.ticks - before.ticks) / TICKS_PER_SECOND;
            total.processes += 1.0;
            total.cores += seconds / MEASURED_INTERVAL.as_secs_f64();
            total.resident_kib += after.resident_kib;
        }
    }
    total
}
