//! Sends commands to entries.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::operator::OperatorOutcome;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Tries before a command is reported as unknown or unavailable.
const TRIES: usize = 10;

/// Time between two tries.
const TRY_INTERVAL: Duration = Duration::from_millis(500);

/// No entry gave an answer.
#[derive(Debug, Error)]
#[error("no entry answered: {0}")]
pub struct SendError(String);

/// Client of the operator listeners of entries.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    entries: Vec<SocketAddr>,
}

impl OperatorClient {
    /// A client that asks the entries in this order.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries }
    }

    /// Sends a command until an entry has a definite answer, or the tries are used up.
    ///
    /// # Errors
    ///
    /// Fails if no entry answered at all; whether the command took effect is then not known.
    pub fn send(&self, command: &OperatorCommand) -> Result<OperatorOutcome, SendError> {
        let mut last = Err(SendError("no entry is named".to_owned()));
        for attempt in 0..TRIES {
            if attempt > 0 {
                std::thread::sleep(TRY_INTERVAL);
            }
            for entry in &self.entries {
                match send_once(*entry, command) {
                    Ok(OperatorOutcome::Unknown | OperatorOutcome::Unavailable) => {
                        last = Ok(OperatorOutcome::Unknown);
                    }
                    Ok(outcome) => return Ok(outcome),
                    Err(error) if last.is_err() => {
                        last = Err(SendError(format!("{entry}: {error}")));
                    }
                    Err(_) => {}
                }
            }
        }
        last
    }
}

fn send_once(
    entry: SocketAddr,
    command: &OperatorCommand,
) -> Result<OperatorOutcome, attohttpc::Error> {
    attohttpc::post(format!("http://{entry}/operate"))
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(ANSWER_TIMEOUT)
        .json(command)?
        .send()?
        .error_for_status()?
        .json()
}
