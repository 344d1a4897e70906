//! Ways in which an endpoint misbehaves on demand.

use std::str::FromStr;

use anyhow::bail;
use serde::Deserialize;
use serde::Serialize;

/// What an endpoint does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misbehaviour {
    /// Nothing.
    #[default]
    None,
    /// Holds requests until the mode changes, then runs them.
    Freeze,
    /// Takes ten times as long.
    Slow,
    /// Declares more bytes than it sends.
    ShortAnswer,
    /// Answers with the id and body of the request before.
    CrossedId,
    /// Sends a second answer behind the first.
    DoubleAnswer,
    /// Runs the request at once and answers seconds later.
    LateAnswer,
    /// Answers with status 500.
    Failing,
}

impl FromStr for Misbehaviour {
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
                "{text:?} is not one of none, freeze, slow, short-answer, crossed-id, \
                 double-answer, late-answer, failing"
            ),
        })
    }
}

/// Sets the misbehaviour of all endpoints of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlOrder {
    /// What they do wrong from now on.
    pub mode: Misbehaviour,
    /// Share of requests that it concerns, in thousandths.
    pub share_millis: u64,
}
