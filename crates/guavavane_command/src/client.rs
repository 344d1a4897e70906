//! HTTP client of the operator listeners of entries, with retries and failover.
//!
//! A command is offered to every entry in turn, in several rounds. Operator commands are
//! idempotent, so that a command of unknown outcome is sent again.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use guavavane_protocol::operator::OperatorCommand;
use guavavane_protocol::operator::OperatorOutcome;

/// Timeout of one HTTP exchange.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Timeout of the TCP connection to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum number of rounds over all entries before the client gives up.
const ROUNDS_MAX: usize = 10;

/// Wait between two rounds over all entries.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// No entry sent a valid response; holds the address and error of the last try.
#[derive(Debug, Error)]
#[error("no entry answered: {0}")]
pub struct SendError(String);

/// Client that sends operator commands to the first entry that answers.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    entries: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Returns a client that asks `entries` in this order.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries }
    }

    /// Sends a command until an entry reports a definite outcome or all rounds are used up.
    ///
    /// Returns [`OperatorOutcome::Unknown`] if entries answered, but none with a definite outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answered; the command may have taken effect all the same.
    pub fn send(&self, command: &OperatorCommand) -> Result<OperatorOutcome, SendError> {
        let mut last = Err(SendError("the list of entries is empty".to_owned()));
        for round in 0..ROUNDS_MAX {
            if round > 0 {
                std::thread::sleep(RETRY_BACKOFF);
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
        .timeout(RESPONSE_TIMEOUT)
        .json(command)?
        .send()?
        .error_for_status()?
        .json()
}
