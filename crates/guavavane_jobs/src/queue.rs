//! Defines the queue catalog as configured ([`RawCatalog`]) and as validated ([`QueueCatalog`]).
//!
//! Callers submit a job to a queue, which a host and a path prefix select. The queue sets the
//! priority, pool, objective and failure limit of its jobs. A catalog is replaced as a whole; the
//! highest version is in force.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Timing of the external advice service, which issues a ticket for each worker that a step of
/// the queue starts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// Time that a request takes regardless of its number of workers.
    pub decision_ms: u64,
    /// Further time that a request takes for each worker.
    pub interval_ms: u64,
    /// How long a ticket is valid.
    pub validity_ms: u64,
}

/// Shortest validity of a ticket that can be used, in milliseconds: a start is committed, ordered and sent to
/// its worker with it.
const VALIDITY_MIN_MS: u64 = 20;

impl AdviceTiming {
    /// Whether a start can reach its worker before its ticket expires.
    pub fn is_usable(&self) -> bool {
        self.validity_ms >= VALIDITY_MIN_MS
    }

    /// Time in milliseconds until the reply to a request for this many workers.
    pub fn reply_ms(&self, workers: usize) -> u64 {
        let workers_ms = self.interval_ms.saturating_mul(workers as u64);
        self.decision_ms.saturating_add(workers_ms)
    }
}

/// Queue as configured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawQueue {
    /// Name of the queue.
    pub name: String,
    /// Host to which callers submit.
    pub host: String,
    /// Prefix of the paths that select the queue.
    pub path_prefix: String,
    /// Timeout for a response to the caller; 0 is invalid.
    pub timeout_ms: u64,
    /// Constant part of a job's objective.
    pub latency_target_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u64,
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// Failures of one task after which its job fails.
    pub attempts_max: u64,
    /// Factor of the critical path in a job's objective.
    pub objective_factor: f64,
    /// Advice timing; none if the steps of the queue need no tickets.
    pub advice: Option<AdviceTiming>,
}

/// Pool of workers as configured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawPool {
    /// Name of the pool.
    pub name: String,
    /// Whether the workers check admission: they refuse tasks that exceed their free capacity.
    pub guarded: bool,
    /// Whether the machines are switched off.
    pub standby: bool,
}

/// Queue catalog as configured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawCatalog {
    /// Version; the highest is in force.
    pub version: u64,
    /// Queues of all hosts.
    pub queues: Vec<RawQueue>,
    /// Pools that queues may name.
    pub pools: Vec<RawPool>,
}

/// Reason for which a catalog is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogFault {
    /// A queue names a pool that the catalog does not have.
    #[error("queue {queue:?} names pool {pool:?}, which does not exist")]
    UnknownPool {
        /// Name of the queue.
        queue: String,
        /// Name of the missing pool.
        pool: String,
    },
    /// Two queues have the same host and path prefix.
    #[error("two queues have host {host:?} and path prefix {path_prefix:?}")]
    DuplicateRoute {
        /// Host of both queues.
        host: String,
        /// Path prefix of both queues.
        path_prefix: String,
    },
    /// The timeout of a queue is 0.
    #[error("queue {0:?} has a timeout of 0")]
    ZeroTimeout(String),
    /// Two queues or two pools have the same name.
    #[error("the name {0:?} is used twice")]
    DuplicateName(String),
}

/// Validated queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSpec {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Prefix of the paths that select the queue.
    pub path_prefix: Arc<str>,
    /// Constant part of a job's objective.
    pub latency_target_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u64,
    /// Pool whose workers run the tasks.
    pub pool: Arc<str>,
    /// Failures of one task after which its job fails.
    pub attempts_max: u32,
    /// Factor of the critical path in a job's objective.
    pub objective_factor: f64,
    /// Advice timing; none if the steps of the queue need no tickets.
    pub advice: Option<AdviceTiming>,
}

impl QueueSpec {
    /// Timing of the advice that the steps of the queue need, if a start can use its tickets.
    pub fn usable_advice(&self) -> Option<AdviceTiming> {
        self.advice.filter(AdviceTiming::is_usable)
    }

    /// Time in milliseconds from submission in which a job should end whose critical path takes
    /// `critical_path_ms`.
    pub fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        let variable_ms = (self.objective_factor * critical_path_ms as f64) as u64;
        variable_ms.saturating_add(self.latency_target_ms)
    }
}

/// Validated queue catalog.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueCatalog {
    /// Version; the highest is in force.
    pub version: u64,
    /// Queues by host, longest path prefix first.
    hosts: IndexMap<Arc<str>, Vec<Arc<QueueSpec>>>,
    /// Queues by name.
    queues: IndexMap<Arc<str>, Arc<QueueSpec>>,
    /// Pools whose workers refuse tasks that exceed their free capacity.
    guarded_pools: IndexSet<Arc<str>>,
}

impl QueueCatalog {
    /// Queue with the longest prefix of a path, and the rest of the path.
    pub fn find<'path>(&self, host: &str, path: &'path str) -> Option<(&QueueSpec, &'path str)> {
        let queues = self.hosts.get(host)?;
        queues.iter().find_map(|queue| {
            let rest = path.strip_prefix(&*queue.path_prefix)?;
            Some((&**queue, rest))
        })
    }

    /// Queue with this name.
    pub fn queue(&self, name: &str) -> Option<&QueueSpec> {
        self.queues.get(name).map(|queue| &**queue)
    }

    /// Whether the workers of a pool refuse tasks that exceed their free capacity.
    pub fn is_guarded(&self, pool: &str) -> bool {
        self.guarded_pools.contains(pool)
    }
}

fn validate_queue(raw: RawQueue) -> Result<QueueSpec, CatalogFault> {
    if raw.timeout_ms == 0 {
        return Err(CatalogFault::ZeroTimeout(raw.name));
    }
    Ok(QueueSpec {
        name: Arc::from(raw.name),
        path_prefix: Arc::from(raw.path_prefix),
        latency_target_ms: raw.latency_target_ms,
        priority: raw.priority,
        pool: Arc::from(raw.pool),
        attempts_max: u32::try_from(raw.attempts_max.max(1)).unwrap_or(u32::MAX),
        objective_factor: raw.objective_factor,
        advice: raw.advice,
    })
}

fn validate_pools(raw: &[RawPool]) -> Result<IndexSet<&str>, CatalogFault> {
    let mut names = IndexSet::new();
    for pool in raw {
        if !names.insert(pool.name.as_str()) {
            return Err(CatalogFault::DuplicateName(pool.name.clone()));
        }
    }
    Ok(names)
}

impl TryFrom<RawCatalog> for QueueCatalog {
    type Error = CatalogFault;

    fn try_from(raw: RawCatalog) -> Result<Self, CatalogFault> {
        let pools = validate_pools(&raw.pools)?;
        let mut catalog = Self {
            version: raw.version,
            ..Self::default()
        };
        let mut routes = IndexSet::new();
        for queue in raw.queues {
            if !pools.contains(queue.pool.as_str()) {
                return Err(CatalogFault::UnknownPool {
                    queue: queue.name,
                    pool: queue.pool,
                });
            }
            let host: Arc<str> = Arc::from(queue.host.as_str());
            let queue = validate_queue(queue)?;
            if !routes.insert((Arc::clone(&host), Arc::clone(&queue.path_prefix))) {
                return Err(CatalogFault::DuplicateRoute {
                    host: host.to_string(),
                    path_prefix: queue.path_prefix.to_string(),
                });
            }
            catalog.add_queue(host, queue)?;
        }
        for queues in catalog.hosts.values_mut() {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.path_prefix.len()));
        }
        let guarded = raw.pools.iter().filter(|pool| pool.guarded);
        catalog.guarded_pools = guarded.map(|pool| Arc::from(pool.name.as_str())).collect();
        Ok(catalog)
    }
}

impl QueueCatalog {
    fn add_queue(&mut self, host: Arc<str>, queue: QueueSpec) -> Result<(), CatalogFault> {
        let queue = Arc::new(queue);
        let host_queues = self.hosts.entry(host).or_default();
        host_queues.push(Arc::clone(&queue));
        let name = Arc::clone(&queue.name);
        match self.queues.insert(name, Arc::clone(&queue)) {
            Some(_) => Err(CatalogFault::DuplicateName(queue.name.to_string())),
            None => Ok(()),
        }
    }
}
