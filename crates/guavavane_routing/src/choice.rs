//! Choice of an endpoint: own data centre first, then the better of two random draws.
//!
//! The better of two draws keeps the longest queue short at a constant cost (Mitzenmacher,
//! "The Power of Two Choices in Randomized Load Balancing", 2001). What is compared is the
//! outstanding work of an endpoint times its decayed latency. Endpoints of other data centres
//! are drawn too once the local draws are loaded. Ejected and stalled endpoints are drawn only
//! if there is no other.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::endpoint::EndpointRecord;
use crate::service::ServiceKey;
use crate::settings::RoutingSettings;
use crate::table::EndpointTable;
use guavavane_model::prelude::BootTime;
use guavavane_model::prelude::EndpointName;

/// Pools up to this size are scanned whole; larger ones are sampled first.
const SCAN_MAX: usize = 16;

/// Random draws from a large pool before it is scanned.
const DRAWS_MAX: usize = 8;

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChoiceReason {
    /// The better of the draws in the entry's data centre.
    Local,
    /// Local endpoints are loaded: the better of all draws.
    Spill,
    /// The data centre of the entry has no endpoint with room.
    Remote,
    /// All endpoints are ejected or stalled.
    EjectedOnly,
}

impl fmt::Display for ChoiceReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Local => "local",
            Self::Spill => "spill",
            Self::Remote => "remote",
            Self::EjectedOnly => "ejected-only",
        })
    }
}

/// An endpoint that was compared.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoredEndpoint {
    /// Its name.
    pub endpoint: EndpointName,
    /// Its score; lower is better.
    pub score: f64,
}

impl fmt::Display for ScoredEndpoint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{:.0}", self.endpoint, self.score)
    }
}

/// The choice of an endpoint with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingDecision {
    /// The chosen endpoint.
    pub chosen: ScoredEndpoint,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// What it was compared with.
    pub alternatives: Vec<ScoredEndpoint>,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum ChoiceOutcome {
    /// An endpoint was chosen.
    Chosen(RoutingDecision),
    /// There are endpoints, but none has room.
    NoRoom,
    /// No endpoint takes work.
    NoEndpoint,
}

/// Which endpoints a draw accepts.
#[derive(Clone, Copy)]
struct DrawFilter<'a> {
    now: BootTime,
    settings: &'a RoutingSettings,
    avoid: &'a [EndpointName],
    stall_limit: Duration,
    with_ejected: bool,
}

impl DrawFilter<'_> {
    fn accepts(&self, record: &EndpointRecord) -> bool {
        record.is_live(self.now)
            && record.has_free_capacity(self.now, self.settings)
            && (self.with_ejected || self.is_sound(record))
            && !self.avoid.contains(&record.target.endpoint)
    }

    fn is_sound(&self, record: &EndpointRecord) -> bool {
        !record.health.is_ejected(self.now) && !record.is_stalled(self.now, self.stall_limit)
    }
}

/// Chooses endpoints with a seeded generator.
#[derive(Clone, Debug)]
pub struct EndpointChooser {
    rng: ChaCha8Rng,
}

impl EndpointChooser {
    /// A chooser with this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses an endpoint of `service` that is not in `avoid`.
    pub fn choose(
        &mut self,
        now: BootTime,
        settings: &RoutingSettings,
        table: &EndpointTable,
        service: &ServiceKey,
        avoid: &[EndpointName],
        stall_limit: Duration,
    ) -> ChoiceOutcome {
        let filter = DrawFilter {
            now,
            settings,
            avoid,
            stall_limit,
            with_ejected: false,
        };
        if let Some(decision) = self.choose_filtered(table, service, filter) {
            return ChoiceOutcome::Chosen(decision);
        }
        if any_sound(table, service, filter) {
            return ChoiceOutcome::NoRoom;
        }
        let filter = DrawFilter {
            with_ejected: true,
            ..filter
        };
        if let Some(mut decision) = self.choose_filtered(table, service, filter) {
            decision.reason = ChoiceReason::EjectedOnly;
            return ChoiceOutcome::Chosen(decision);
        }
        no_choice(now, table, service)
    }

    fn choose_filtered(
        &mut self,
        table: &EndpointTable,
        service: &ServiceKey,
        filter: DrawFilter<'_>,
    ) -> Option<RoutingDecision> {
        let pool = table.pool(service)?;
        let mut drawn = self.draw_two(table, &pool.local, filter);
        let reason = match spill_reason(table, &drawn, filter.settings) {
            None => ChoiceReason::Local,
            Some(reason) => {
                drawn.extend(self.draw_two(table, &pool.remote, filter));
                reason
            }
        };
        best_of(table, &drawn, filter, reason)
    }

    /// Draws up to two different endpoints that the filter accepts.
    fn draw_two(
        &mut self,
        table: &EndpointTable,
        pool: &[usize],
        filter: DrawFilter<'_>,
    ) -> Vec<usize> {
        let mut drawn = Vec::with_capacity(4);
        if pool.len() > SCAN_MAX {
            for _ in 0..DRAWS_MAX {
                let index = pool[self.rng.random_range(0..pool.len())];
                if !drawn.contains(&index) && filter.accepts(table.record(index)) {
                    drawn.push(index);
                }
                if drawn.len() == 2 {
                    return drawn;
                }
            }
        }
        let accepted = |index: &usize| filter.accepts(table.record(*index));
        let mut usable: Vec<usize> = pool.iter().copied().filter(accepted).collect();
        drawn.clear();
        while drawn.len() < 2 && !usable.is_empty() {
            let position = self.rng.random_range(0..usable.len());
            drawn.push(usable.swap_remove(position));
        }
        drawn
    }
}

/// Whether remote endpoints are to be drawn too, and why.
fn spill_reason(
    table: &EndpointTable,
    local: &[usize],
    settings: &RoutingSettings,
) -> Option<ChoiceReason> {
    if local.is_empty() {
        return Some(ChoiceReason::Remote);
    }
    let spill_load = f64::from(settings.spill_load_millis) / 1_000.0;
    let loaded = |index: &usize| table.record(*index).load() >= spill_load;
    local.iter().all(loaded).then_some(ChoiceReason::Spill)
}

fn best_of(
    table: &EndpointTable,
    drawn: &[usize],
    filter: DrawFilter<'_>,
    reason: ChoiceReason,
) -> Option<RoutingDecision> {
    let mut scored: Vec<ScoredEndpoint> = drawn
        .iter()
        .map(|index| {
            let record = table.record(*index);
            ScoredEndpoint {
                endpoint: record.target.endpoint.clone(),
                score: record.score(filter.now, filter.settings),
            }
        })
        .collect();
    let best = (0..scored.len()).min_by(|a, b| scored[*a].score.total_cmp(&scored[*b].score))?;
    Some(RoutingDecision {
        chosen: scored.swap_remove(best),
        reason,
        alternatives: scored,
    })
}

/// Whether some endpoint is fit for work, though it may have no room now.
fn any_sound(table: &EndpointTable, service: &ServiceKey, filter: DrawFilter<'_>) -> bool {
    let Some(pool) = table.pool(service) else {
        return false;
    };
    let mut all = pool.local.iter().chain(&pool.remote);
    all.any(|index| {
        let record = table.record(*index);
        record.is_live(filter.now) && filter.is_sound(record)
    })
}

fn no_choice(now: BootTime, table: &EndpointTable, service: &ServiceKey) -> ChoiceOutcome {
    let Some(pool) = table.pool(service) else {
        return ChoiceOutcome::NoEndpoint;
    };
    let mut all = pool.local.iter().chain(&pool.remote);
    if all.any(|index| table.record(*index).is_live(now)) {
        ChoiceOutcome::NoRoom
    } else {
        ChoiceOutcome::NoEndpoint
    }
}
