//! Deserialises the TOML of a document into types that are not validated yet.
//!
//! [`Spanned`] values keep their position in the text for validation errors. The validated types
//! in [`super::spec`] have the same fields and describe them.

use serde::Deserialize;
use toml::Spanned;

use crate::resource::ResourceVector;

const TEAM_WEIGHT_DEFAULT: u32 = 1;
const SLOTS_DEFAULT: u16 = 8;
const CONNECTIONS_DEFAULT: u16 = 64;
const REQUEST_TIMEOUT_DEFAULT_MS: u32 = 5_000;
const MAX_FAILURES_DEFAULT: u32 = 5;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDocument {
    #[serde(default)]
    pub(crate) data_centre: Vec<Spanned<RawDataCentre>>,
    #[serde(default)]
    pub(crate) team: Vec<Spanned<RawTeam>>,
    #[serde(default)]
    pub(crate) service: Vec<Spanned<RawService>>,
    #[serde(default)]
    pub(crate) batch: Vec<Spanned<RawBatch>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDataCentre {
    pub(crate) name: Spanned<String>,
    pub(crate) region: Spanned<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawTeam {
    pub(crate) name: Spanned<String>,
    #[serde(default = "default_weight")]
    pub(crate) weight: u32,
    #[serde(default)]
    pub(crate) quota: Option<ResourceVector>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRoute {
    #[serde(default)]
    pub(crate) method: Option<Spanned<String>>,
    pub(crate) path_prefix: Spanned<String>,
    pub(crate) idempotent: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawService {
    pub(crate) name: Spanned<String>,
    pub(crate) team: Spanned<String>,
    #[serde(default)]
    pub(crate) data_centres: Vec<Spanned<String>>,
    pub(crate) instances: Spanned<u32>,
    pub(crate) demand: Spanned<ResourceVector>,
    #[serde(default = "default_slots")]
    pub(crate) slots: u16,
    #[serde(default = "default_connections")]
    pub(crate) connections: u16,
    #[serde(default = "default_request_timeout")]
    pub(crate) request_timeout_ms: u32,
    #[serde(default)]
    pub(crate) hedge: bool,
    #[serde(default)]
    pub(crate) routes: Vec<RawRoute>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawBatch {
    pub(crate) name: Spanned<String>,
    pub(crate) team: Spanned<String>,
    #[serde(default)]
    pub(crate) data_centres: Vec<Spanned<String>>,
    pub(crate) tasks: Spanned<u32>,
    pub(crate) demand: Spanned<ResourceVector>,
    pub(crate) run_ms: Spanned<u64>,
    #[serde(default)]
    pub(crate) urgent: bool,
    #[serde(default = "default_max_failures")]
    pub(crate) max_failures: u32,
    #[serde(default)]
    pub(crate) runs: Vec<Spanned<String>>,
}

fn default_weight() -> u32 {
    TEAM_WEIGHT_DEFAULT
}

fn default_slots() -> u16 {
    SLOTS_DEFAULT
}

fn default_connections() -> u16 {
    CONNECTIONS_DEFAULT
}

fn default_request_timeout() -> u32 {
    REQUEST_TIMEOUT_DEFAULT_MS
}

fn default_max_failures() -> u32 {
    MAX_FAILURES_DEFAULT
}
