//! `soak PROGRAM FROM UNTIL SECONDS [control]`: runs the seeds from FROM up to, but not including,
//! UNTIL; each injects faults for SECONDS. With `control`, they include faults of the control
//! processes.

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;
use soak::programs::SoakPorts;
use soak::run::run_soak;
use soak::run::FaultScope;
use soak::run::SoakSettings;

/// Parses the command-line argument at this position.
fn parse_argument(position: usize) -> anyhow::Result<u64> {
    let text = env::args()
        .nth(position)
        .context("PROGRAM FROM UNTIL SECONDS")?;
    Ok(text.parse()?)
}

fn main() -> anyhow::Result<ExitCode> {
    let program = env::args().nth(1).context("PROGRAM FROM UNTIL SECONDS")?;
    let program = PathBuf::from(program);
    let fault_duration = Duration::from_secs(parse_argument(4)?);
    let scope = match env::args().nth(5).as_deref() {
        None => FaultScope::ProcessesAndNetwork,
        Some("control") => FaultScope::ControlProcesses,
        Some(other) => bail!("unknown argument {other}"),
    };
    let ports = SoakPorts {
        internal: 27_720,
        control: 27_721,
        front: 27_722,
        ready: 27_723,
        worker: 27_724,
    };
    let mut failed_seeds = 0;
    for seed in parse_argument(2)?..parse_argument(3)? {
        // Each seed has its own loopback subnet: sockets of the previous seed may still be open.
        let subnet = 100 + (seed % 100) as u8;
        let settings = SoakSettings {
            seed,
            fault_duration,
            scope,
            subnet,
            ports,
        };
        match run_soak(&program, settings) {
            Ok(report) => println!("seed {seed}: {report:?}"),
            Err(error) => {
                failed_seeds += 1;
                println!("seed {seed} FAILED: {error:#}");
            }
        }
    }
    Ok(if failed_seeds == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
