//! Faults that can be injected into the endpoints of a worker.

use std::str::FromStr;

use anyhow::bail;
use serde::Deserialize;
use serde::Serialize;

/// Fault of an endpoint, written in kebab case in JSON and on the command line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointFault {
    /// No fault.
    #[default]
    None,
    /// Holds requests back until another fault is set, then runs them.
    Freeze,
    /// Takes ten times the service time.
    Slow,
    /// Sends half of the bytes that `Content-Length` declares.
    ShortAnswer,
    /// Answers with the request id and body of the previous answer.
    CrossedId,
    /// Sends a second response directly after the first.
    DoubleAnswer,
    /// Records the execution at once and answers seconds later.
    LateAnswer,
    /// Answers with HTTP status 500.
    Failing,
}

impl FromStr for EndpointFault {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text {
            "none" => Self::None,
            "freeze" => Self::Freeze,
            "slow" => Self::Slow,
            "short-answer" => Self::ShortAnswer,
            "crossed-id" => Self::CrossedId,
            "double-answer" => Self::DoubleAnswer,
            "late-answer" => Self::LateAnswer,
            "failing" => Self::Failing,
            _ => bail!(
                "endpoint fault {text:?} is not one of none, freeze, slow, short-answer, \
                 crossed-id, double-answer, late-answer, failing"
            ),
        })
    }
}

/// Body of `POST /control` at a worker: sets the fault of all its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultOrder {
    /// Fault that is injected from now on.
    pub mode: EndpointFault,
    /// Fraction of the requests that suffer the fault, in thousandths.
    pub share_millis: u64,
}
