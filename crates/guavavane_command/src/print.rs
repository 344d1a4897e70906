//! Prints command outcomes on standard output as text.

use guavavane_model::prelude::DocumentFault;
use guavavane_protocol::operator::AcceptedVersion;
use guavavane_protocol::operator::CellStatus;
use guavavane_protocol::operator::JobStatus;
use guavavane_protocol::operator::OperatorOutcome;

/// Prints an outcome, one line for each item of a list.
pub fn print_outcome(outcome: &OperatorOutcome) {
    match outcome {
        OperatorOutcome::Accepted(accepted) => print_version("accepted", accepted),
        OperatorOutcome::Conflict { winner } => print_version("conflict, the winner is", winner),
        OperatorOutcome::Faulty { faults } => print_faults(faults),
        OperatorOutcome::Document { text, .. } => print!("{text}"),
        OperatorOutcome::Versions { versions } => {
            for version in versions {
                print_version("", version);
            }
        }
        OperatorOutcome::DataCentre(report) => println!(
            "{}: {}, version {}, {} workers, {} tasks",
            report.name,
            data_centre_state(report.out),
            report.version,
            report.workers,
            report.tasks
        ),
        OperatorOutcome::Status(status) => print_status(status),
        OperatorOutcome::Jobs { jobs } => jobs.iter().for_each(print_job),
        OperatorOutcome::Submitted { job } => println!("job {job}"),
        OperatorOutcome::Cancelled { job } => println!("job {job} cancelled"),
        OperatorOutcome::ReplicasChanged => println!("replicas changed"),
        OperatorOutcome::Rejected { reason } => println!("rejected: {reason}"),
        OperatorOutcome::Unknown => println!("unknown: send the command again"),
        OperatorOutcome::Unavailable => println!("unavailable: nothing was done"),
    }
}

/// Prints the faults of a document, one a line.
pub fn print_faults(faults: &[DocumentFault]) {
    for fault in faults {
        println!("{fault}");
    }
}

/// Prints a line diff without context.
///
/// The common first and last lines are left out; all lines in between are printed as removed
/// (`-`) and then as added (`+`).
pub fn print_diff(old: &str, new: &str) {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let prefix_len = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let old_without_prefix = &old[prefix_len..];
    let new_without_prefix = &new[prefix_len..];
    let suffix_len = old_without_prefix
        .iter()
        .rev()
        .zip(new_without_prefix.iter().rev())
        .take_while(|(a, b)| a == b)
        .count();
    for line in &old_without_prefix[..old_without_prefix.len() - suffix_len] {
        println!("-{line}");
    }
    for line in &new_without_prefix[..new_without_prefix.len() - suffix_len] {
        println!("+{line}");
    }
}

fn print_version(label: &str, accepted: &AcceptedVersion) {
    let label = if label.is_empty() {
        String::new()
    } else {
        format!("{label} ")
    };
    println!(
        "{label}{} version {} digest {:016x}",
        accepted.environment, accepted.version, accepted.digest
    );
}

fn data_centre_state(out: bool) -> &'static str {
    if out {
        "out"
    } else {
        "in service"
    }
}

fn print_job(job: &JobStatus) {
    println!(
        "job {} {} team {}: {} pending, {} running, {} finished, {} cancelled, {} failed, {} evictions{}",
        job.job,
        job.workload,
        job.team,
        job.pending,
        job.running,
        job.finished,
        job.cancelled,
        job.failed,
        job.evictions,
        job.impossible
            .as_ref()
            .map(|lacks| format!(", impossible: {lacks}"))
            .unwrap_or_default()
    );
}

fn print_status(status: &CellStatus) {
    for document in &status.documents {
        print_version("document", document);
    }
    for report in &status.data_centres {
        println!(
            "data centre {}: {}, {} workers, {} tasks",
            report.name,
            data_centre_state(report.out),
            report.workers,
            report.tasks
        );
    }
    for worker in &status.workers {
        let last_poll = match worker.silent_ms {
            Some(millis) => format!("last poll {millis} ms ago"),
            None => "no poll yet".to_owned(),
        };
        println!(
            "worker {} in {} rack {}: committed {} of {}, {last_poll}",
            worker.name, worker.data_centre, worker.rack, worker.committed, worker.capacity
        );
    }
    for replica in &status.replicas {
        println!(
            "replica {:016x} at {}: {}{}",
            replica.replica,
            replica.address,
            if replica.voter { "voter" } else { "learner" },
            if replica.leader { ", leader" } else { "" }
        );
    }
    println!(
        "{} claims, {} log entries",
        status.claims, status.committed_entries
    );
}
