//! Free addresses on loopback.
//!
//! Each group of processes has a loopback address of its own. Outgoing connections leave from
//! 127.0.0.1, so that none of them takes the port of a process that is about to restart, and
//! groups of tests that run at once never meet.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use anyhow::Result;
use indexmap::IndexSet;

/// First byte pair of the addresses that are given out is 127.32 or above.
const SECOND_BYTE_MIN: u32 = 32;
/// Number of second bytes in use.
const SECOND_BYTE_COUNT: u32 = 192;

static GROUP_COUNT: AtomicU32 = AtomicU32::new(0);

/// Gives out free addresses on one loopback address.
#[derive(Debug)]
pub struct AddressPool {
    ip: IpAddr,
    given: IndexSet<u16>,
}

impl AddressPool {
    /// A pool on a loopback address that no other pool of this machine has.
    pub fn new() -> Self {
        let group = GROUP_COUNT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let second = SECOND_BYTE_MIN + group % SECOND_BYTE_COUNT;
        let byte = |value: u32| u8::try_from(value & 0xff).unwrap_or(0);
        let last = byte(process) % 254 + 1;
        let ip = Ipv4Addr::new(127, byte(second), byte(process >> 8), last);
        Self {
            ip: IpAddr::V4(ip),
            given: IndexSet::new(),
        }
    }

    /// The loopback address.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// A free address that was not given out before.
    pub fn take(&mut self) -> Result<SocketAddr> {
        loop {
            let listener = TcpListener::bind(SocketAddr::new(self.ip, 0))?;
            let address = listener.local_addr()?;
            if self.given.insert(address.port()) {
                return Ok(address);
            }
        }
    }
}

impl Default for AddressPool {
    fn default() -> Self {
        Self::new()
    }
}
