//! `soak PROGRAM FROM UNTIL SECONDS`: runs the seeds from FROM to UNTIL, each for SECONDS.

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use soak::programs::SoakPorts;
use soak::run::run_soak;

fn number(position: usize) -> anyhow::Result<u64> {
    let text = env::args()
        .nth(position)
        .context("PROGRAM FROM UNTIL SECONDS")?;
    Ok(text.parse()?)
}

fn main() -> anyhow::Result<ExitCode> {
    let program = env::args().nth(1).context("PROGRAM FROM UNTIL SECONDS")?;
    let program = PathBuf::from(program);
    let length = Duration::from_secs(number(4)?);
    let ports = SoakPorts {
        inner: 27_720,
        control: 27_721,
        front: 27_722,
        ready: 27_723,
        worker: 27_724,
    };
    let mut failed = 0;
    for seed in number(2)?..number(3)? {
        // Each seed has addresses of its own: the last one's sockets may linger.
        let net = 100 + (seed % 100) as u8;
        match run_soak(&program, seed, length, net, ports) {
            Ok(report) => println!("seed {seed}: {report:?}"),
            Err(error) => {
                failed += 1;
                println!("seed {seed} FAILED: {error:#}");
            }
        }
    }
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
