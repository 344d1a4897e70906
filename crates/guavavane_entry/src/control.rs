//! Calls to the control leader, wherever it is.
//!
//! A replica that does not lead names the leader if it knows it. A replica that does not
//! answer is passed by, so that one that is cut off costs one short wait.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use guavavane_protocol::prelude::ControlRefusal;
use guavavane_protocol::prelude::RemoteCall;
use guavavane_transport::prelude::CallClient;

/// Pause before the replicas are asked again when none leads.
const NO_LEADER_PAUSE: Duration = Duration::from_millis(50);

/// Replicas that are remembered at most.
const REPLICAS_MAX: usize = 32;

/// What a leader said, or why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome<R> {
    /// The leader served the call.
    Served(R),
    /// The change may or may not be in force.
    Unknown,
    /// Nothing was taken.
    Unavailable,
}

#[derive(Debug)]
struct ReplicaRing {
    replicas: Vec<SocketAddr>,
    leader: usize,
}

/// Client of the control replicas, shared by all filters.
#[derive(Clone, Debug)]
pub struct ControlClient {
    calls: CallClient,
    ring: Arc<Mutex<ReplicaRing>>,
    attempt_limit: Duration,
}

impl ControlClient {
    /// A client that starts with `replicas`; no call to one replica takes over `attempt_limit`.
    pub fn new(calls: CallClient, replicas: Vec<SocketAddr>, attempt_limit: Duration) -> Self {
        Self {
            calls,
            ring: Arc::new(Mutex::new(ReplicaRing {
                replicas,
                leader: 0,
            })),
            attempt_limit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaRing> {
        self.ring.lock().expect("no holder of the ring panics")
    }

    /// Calls the leader until it serves the call or `limit` has passed.
    ///
    /// Calls must be idempotent: one without a reply is sent again. `refusal` tells a refusal
    /// from a served reply.
    pub fn call<C: RemoteCall>(
        &self,
        call: &C,
        limit: Duration,
        refusal: impl Fn(&C::Reply) -> Option<ControlRefusal>,
    ) -> ControlOutcome<C::Reply> {
        let end = Instant::now() + limit;
        let mut maybe_taken = false;
        loop {
            for _ in 0..self.replica_count() {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                let peer = self.leader();
                let result = self.calls.call(peer, call, left.min(self.attempt_limit));
                match result {
                    Ok(reply) => match refusal(&reply) {
                        None => return ControlOutcome::Served(reply),
                        Some(refusal) => {
                            maybe_taken |= refusal == ControlRefusal::Unknown;
                            self.follow(peer, refusal);
                        }
                    },
                    Err(error) => {
                        maybe_taken |= !error.is_unseen();
                        self.pass_by(peer);
                    }
                }
            }
            if Instant::now() + NO_LEADER_PAUSE >= end {
                return match maybe_taken {
                    true => ControlOutcome::Unknown,
                    false => ControlOutcome::Unavailable,
                };
            }
            std::thread::sleep(NO_LEADER_PAUSE);
        }
    }

    /// Adds replicas that control told of.
    pub fn learn_replicas(&self, replicas: &[SocketAddr]) {
        let mut ring = self.lock();
        for address in replicas {
            if !ring.replicas.contains(address) && ring.replicas.len() < REPLICAS_MAX {
                ring.replicas.push(*address);
            }
        }
    }

    fn replica_count(&self) -> usize {
        self.lock().replicas.len()
    }

    fn leader(&self) -> SocketAddr {
        let ring = self.lock();
        ring.replicas[ring.leader]
    }

    fn follow(&self, asked: SocketAddr, refusal: ControlRefusal) {
        match refusal {
            ControlRefusal::NotLeader {
                leader: Some(leader),
            } if leader != asked => self.turn_to(leader),
            _ => self.pass_by(asked),
        }
    }

    fn turn_to(&self, leader: SocketAddr) {
        self.learn_replicas(&[leader]);
        let mut ring = self.lock();
        if let Some(index) = ring.replicas.iter().position(|known| *known == leader) {
            ring.leader = index;
        }
    }

    /// Turns to the next replica, unless another thread has done so.
    fn pass_by(&self, asked: SocketAddr) {
        let mut ring = self.lock();
        if ring.replicas[ring.leader] == asked {
            ring.leader = (ring.leader + 1) % ring.replicas.len();
        }
    }
}
