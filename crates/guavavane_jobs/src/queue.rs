//! Queues and pools as operators configure them, raw and checked.
//!
//! A catalog is replaced as a whole; the highest version is in force.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// How another service allows workers for the steps of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// Time of a question, besides its workers.
    pub decision_ms: u64,
    /// Time of a question for each worker.
    pub interval_ms: u64,
    /// How long an answer holds.
    pub validity_ms: u64,
}

impl AdviceTiming {
    /// Time that a question about some workers takes.
    pub fn answer_ms(&self, workers: usize) -> u64 {
        let each = self.interval_ms.saturating_mul(workers as u64);
        self.decision_ms.saturating_add(each)
    }
}

/// A queue as configured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawQueue {
    /// Name of the queue.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// What the path of its jobs begins with.
    pub path_prefix: String,
    /// Longest time for an answer.
    pub timeout_ms: u64,
    /// Part of a job's objective that does not depend on its length.
    pub latency_target_ms: u64,
    /// 0 comes first.
    pub priority: u64,
    /// Pool whose workers run its tasks.
    pub pool: String,
    /// How often a task may fail.
    pub attempts_max: u64,
    /// Part of a job's objective for each millisecond of its longest chain.
    pub stretch: f64,
    /// How another service allows each worker for a step, if one must.
    pub advice: Option<AdviceTiming>,
}

/// A pool as configured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawPool {
    /// Name of the pool.
    pub name: String,
    /// Whether its workers refuse what does not fit.
    pub guarded: bool,
    /// Whether its machines are off.
    pub standby: bool,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RawCatalog {
    /// Version; the highest is in force.
    pub version: u64,
    /// Its queues.
    pub queues: Vec<RawQueue>,
    /// Its pools.
    pub pools: Vec<RawPool>,
}

/// Why a catalog is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogFault {
    /// A queue names a pool that the catalog does not have.
    #[error("queue {queue:?} names pool {pool:?}, which does not exist")]
    UnknownPool {
        /// The queue.
        queue: String,
        /// What it names.
        pool: String,
    },
    /// Two queues have the same host and path prefix.
    #[error("two queues have host {host:?} and path prefix {path_prefix:?}")]
    SamePlace {
        /// Their host.
        host: String,
        /// Their path prefix.
        path_prefix: String,
    },
    /// A queue has no time for an answer.
    #[error("queue {0:?} has a timeout of 0")]
    NoTimeout(String),
    /// Two queues or two pools have the same name.
    #[error("the name {0:?} is used twice")]
    SameName(String),
}

/// A checked queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSpec {
    /// Name of the queue.
    pub name: Arc<str>,
    /// What the path of its jobs begins with.
    pub path_prefix: Arc<str>,
    /// Part of a job's objective that does not depend on its length.
    pub latency_target_ms: u64,
    /// 0 comes first.
    pub priority: u64,
    /// Pool whose workers run its tasks.
    pub pool: Arc<str>,
    /// How often a task may fail.
    pub attempts_max: u32,
    /// Part of a job's objective for each millisecond of its longest chain.
    pub stretch: f64,
    /// How another service allows each worker for a step, if one must.
    pub advice: Option<AdviceTiming>,
}

impl QueueSpec {
    /// Time from handing in to the end of a job whose longest chain takes `chain_ms`.
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        (self.stretch * chain_ms as f64) as u64 + self.latency_target_ms
    }
}

/// A checked configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueCatalog {
    /// Version; the highest is in force.
    pub version: u64,
    /// Queues by host, longest path prefix first.
    hosts: IndexMap<Arc<str>, Vec<Arc<QueueSpec>>>,
    /// Queues by name.
    queues: IndexMap<Arc<str>, Arc<QueueSpec>>,
    /// Pools whose workers refuse what does not fit.
    guarded_pools: IndexSet<Arc<str>>,
}

impl QueueCatalog {
    /// The queue of a path and the rest of that path.
    pub fn find<'path>(&self, host: &str, path: &'path str) -> Option<(&QueueSpec, &'path str)> {
        let queues = self.hosts.get(host)?;
        queues.iter().find_map(|queue| {
            let rest = path.strip_prefix(&*queue.path_prefix)?;
            Some((&**queue, rest))
        })
    }

    /// The queue of this name.
    pub fn queue(&self, name: &str) -> Option<&QueueSpec> {
        self.queues.get(name).map(|queue| &**queue)
    }

    /// Whether the workers of a pool refuse what does not fit.
    pub fn is_guarded(&self, pool: &str) -> bool {
        self.guarded_pools.contains(pool)
    }
}

fn check_queue(raw: RawQueue) -> Result<QueueSpec, CatalogFault> {
    if raw.timeout_ms == 0 {
        return Err(CatalogFault::NoTimeout(raw.name));
    }
    Ok(QueueSpec {
        name: Arc::from(raw.name),
        path_prefix: Arc::from(raw.path_prefix),
        latency_target_ms: raw.latency_target_ms,
        priority: raw.priority,
        pool: Arc::from(raw.pool),
        attempts_max: u32::try_from(raw.attempts_max.max(1)).unwrap_or(u32::MAX),
        stretch: raw.stretch,
        advice: raw.advice,
    })
}

fn check_pools(raw: &[RawPool]) -> Result<IndexSet<&str>, CatalogFault> {
    let mut names = IndexSet::new();
    for pool in raw {
        if !names.insert(pool.name.as_str()) {
            return Err(CatalogFault::SameName(pool.name.clone()));
        }
    }
    Ok(names)
}

impl TryFrom<RawCatalog> for QueueCatalog {
    type Error = CatalogFault;

    fn try_from(raw: RawCatalog) -> Result<Self, CatalogFault> {
        let pools = check_pools(&raw.pools)?;
        let mut catalog = Self {
            version: raw.version,
            ..Self::default()
        };
        for queue in raw.queues {
            if !pools.contains(queue.pool.as_str()) {
                return Err(CatalogFault::UnknownPool {
                    queue: queue.name,
                    pool: queue.pool,
                });
            }
            catalog.add(queue)?;
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
    fn add(&mut self, raw: RawQueue) -> Result<(), CatalogFault> {
        let host: Arc<str> = Arc::from(raw.host.as_str());
        let queue = Arc::new(check_queue(raw)?);
        let at_host = self.hosts.entry(Arc::clone(&host)).or_default();
        if at_host
            .iter()
            .any(|other| other.path_prefix == queue.path_prefix)
        {
            return Err(CatalogFault::SamePlace {
                host: host.to_string(),
                path_prefix: queue.path_prefix.to_string(),
            });
        }
        at_host.push(Arc::clone(&queue));
        let name = Arc::clone(&queue.name);
        match self.queues.insert(name, Arc::clone(&queue)) {
            Some(_) => Err(CatalogFault::SameName(queue.name.to_string())),
            None => Ok(()),
        }
    }
}
