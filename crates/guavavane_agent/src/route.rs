//! Choice of the control replica to poll.

use std::net::SocketAddr;

use indexmap::IndexSet;

/// Order in which control replicas are polled: the presumed leader first, then the others in turn.
#[derive(Clone, Debug)]
pub struct ControlRoute {
    replicas: IndexSet<SocketAddr>,
    next: usize,
    leader: Option<SocketAddr>,
}

impl ControlRoute {
    /// Creates a route over the configured replicas, of which there is at least one.
    pub fn new(replicas: IndexSet<SocketAddr>) -> Self {
        Self {
            replicas,
            next: 0,
            leader: None,
        }
    }

    /// The replica to poll next.
    pub fn current(&self) -> SocketAddr {
        self.leader.unwrap_or(self.replicas[self.next])
    }

    /// Maximum number of requests in one poll: one to each replica, and two that follow redirects.
    pub fn requests_max(&self) -> usize {
        self.replicas.len() + 2
    }

    /// Keeps polling the current replica, which is the leader.
    pub fn confirm_leader(&mut self) {
        self.leader = Some(self.current());
    }

    /// Skips the current replica, which is not the leader, and polls `leader` next if it named one.
    pub fn follow_redirect(&mut self, leader: Option<SocketAddr>) {
        let current = self.current();
        self.skip_current();
        self.leader = leader.filter(|leader| *leader != current);
    }

    /// Skips the current replica, which did not answer or refused.
    pub fn skip_current(&mut self) {
        let current = self.current();
        self.leader = None;
        if self.replicas[self.next] == current {
            self.next = (self.next + 1) % self.replicas.len();
        }
    }
}
