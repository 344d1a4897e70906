//! Which control replica to poll.

use std::net::SocketAddr;

use indexmap::IndexSet;

/// Order in which control replicas are asked: the believed leader first, then the others.
#[derive(Clone, Debug)]
pub struct ControlRoute {
    replicas: IndexSet<SocketAddr>,
    next: usize,
    leader: Option<SocketAddr>,
}

impl ControlRoute {
    /// A route over the configured replicas; it is never empty.
    pub fn new(replicas: IndexSet<SocketAddr>) -> Self {
        Self {
            replicas,
            next: 0,
            leader: None,
        }
    }

    /// The replica to ask now.
    pub fn current(&self) -> SocketAddr {
        self.leader.unwrap_or(self.replicas[self.next])
    }

    /// Replicas that are asked in one turn at most: each, and two hints.
    pub fn hops_max(&self) -> usize {
        self.replicas.len() + 2
    }

    /// The current replica leads.
    pub fn confirm(&mut self) {
        self.leader = Some(self.current());
    }

    /// The current replica does not lead and may know who does.
    pub fn redirect(&mut self, leader: Option<SocketAddr>) {
        let current = self.current();
        self.pass_by();
        self.leader = leader.filter(|leader| *leader != current);
    }

    /// The current replica is silent or refuses: the next one is asked.
    pub fn pass_by(&mut self) {
        let current = self.current();
        self.leader = None;
        if self.replicas[self.next] == current {
            self.next = (self.next + 1) % self.replicas.len();
        }
    }
}
