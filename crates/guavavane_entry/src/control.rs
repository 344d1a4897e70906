//! Client that finds and calls the leader of the control replicas.
//!
//! A replica that does not lead names the leader if it knows it. A replica that does not answer
//! is skipped, so that an unreachable one costs one short timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use guavavane_protocol::prelude::ControlRefusal;
use guavavane_protocol::prelude::RemoteCall;
use guavavane_transport::prelude::CallClient;

/// Backoff before the replicas are asked again when none of them leads.
const NO_LEADER_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum number of known replicas.
const REPLICAS_MAX: usize = 32;

/// Outcome of a call to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome<R> {
    /// The leader served the call.
    Served(R),
    /// The change may or may not have been committed.
    Unknown,
    /// No replica accepted the call.
    Unavailable,
}

#[derive(Debug)]
struct ReplicaList {
    replicas: Vec<SocketAddr>,
    selected: usize,
}

/// Client of the control replicas, shared by all threads.
#[derive(Clone, Debug)]
pub struct ControlClient {
    calls: CallClient,
    list: Arc<Mutex<ReplicaList>>,
    replica_timeout: Duration,
}

impl ControlClient {
    /// Creates a client that starts with `replicas`; a call to one replica times out after
    /// `replica_timeout`.
    pub fn new(calls: CallClient, replicas: Vec<SocketAddr>, replica_timeout: Duration) -> Self {
        Self {
            calls,
            list: Arc::new(Mutex::new(ReplicaList {
                replicas,
                selected: 0,
            })),
            replica_timeout,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaList> {
        self.list
            .lock()
            .expect("no holder of the replica list panics")
    }

    /// Calls the leader until it serves the call or `timeout` has passed.
    ///
    /// Calls must be idempotent: one without a reply is sent again. `refusal` returns the refusal
    /// of a reply, or `None` if the call was served.
    pub fn call<C: RemoteCall>(
        &self,
        call: &C,
        timeout: Duration,
        refusal: impl Fn(&C::Reply) -> Option<ControlRefusal>,
    ) -> ControlOutcome<C::Reply> {
        let end = Instant::now() + timeout;
        let mut may_be_committed = false;
        loop {
            for _ in 0..self.replica_count() {
                let remaining = end.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    break;
                }
                let peer = self.selected_replica();
                let result = self
                    .calls
                    .call(peer, call, remaining.min(self.replica_timeout));
                match result {
                    Ok(reply) => match refusal(&reply) {
                        None => return ControlOutcome::Served(reply),
                        Some(refusal) => {
                            may_be_committed |= refusal == ControlRefusal::Unknown;
                            self.follow_refusal(peer, refusal);
                        }
                    },
                    Err(error) => {
                        may_be_committed |= !error.is_unprocessed();
                        self.select_next(peer);
                    }
                }
            }
            if Instant::now() + NO_LEADER_BACKOFF >= end {
                return match may_be_committed {
                    true => ControlOutcome::Unknown,
                    false => ControlOutcome::Unavailable,
                };
            }
            std::thread::sleep(NO_LEADER_BACKOFF);
        }
    }

    /// Adds replicas that control has reported, up to 32 in all.
    pub fn add_replicas(&self, replicas: &[SocketAddr]) {
        let mut list = self.lock();
        for address in replicas {
            if !list.replicas.contains(address) && list.replicas.len() < REPLICAS_MAX {
                list.replicas.push(*address);
            }
        }
    }

    fn replica_count(&self) -> usize {
        self.lock().replicas.len()
    }

    fn selected_replica(&self) -> SocketAddr {
        let list = self.lock();
        list.replicas[list.selected]
    }

    fn follow_refusal(&self, asked: SocketAddr, refusal: ControlRefusal) {
        match refusal {
            ControlRefusal::NotLeader {
                leader: Some(leader),
            } if leader != asked => self.select(leader),
            _ => self.select_next(asked),
        }
    }

    fn select(&self, leader: SocketAddr) {
        self.add_replicas(&[leader]);
        let mut list = self.lock();
        if let Some(index) = list.replicas.iter().position(|known| *known == leader) {
            list.selected = index;
        }
    }

    /// Selects the next replica, unless another thread has selected a different one already.
    fn select_next(&self, asked: SocketAddr) {
        let mut list = self.lock();
        if list.replicas[list.selected] == asked {
            list.selected = (list.selected + 1) % list.replicas.len();
        }
    }
}
