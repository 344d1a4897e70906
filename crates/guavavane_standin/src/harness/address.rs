//! Allocates free listen addresses on loopback.
//!
//! Each pool uses an IP address of its own in 127.0.0.0/8. Outgoing connections use 127.0.0.1 as
//! their source, so that none of them occupies the port of a process that is about to restart.
//! Clusters of tests that run at the same time use different addresses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use anyhow::Result;
use indexmap::IndexSet;

/// Lowest second byte of a pool address: pools start at 127.32.0.0.
const SECOND_BYTE_MIN: u32 = 32;
/// Number of values that the second byte of a pool address takes.
const SECOND_BYTE_COUNT: u32 = 192;

/// Number of pools that this process has created.
static POOL_COUNT: AtomicU32 = AtomicU32::new(0);

/// Pool of free ports on one loopback IP address.
#[derive(Debug)]
pub struct AddressPool {
    ip: IpAddr,
    returned_ports: IndexSet<u16>,
}

impl AddressPool {
    /// Returns a pool on an IP address derived from the process id and the number of earlier pools.
    pub fn new() -> Self {
        let pool_index = POOL_COUNT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let second_byte = SECOND_BYTE_MIN + pool_index % SECOND_BYTE_COUNT;
        let low_byte = |value: u32| u8::try_from(value & 0xff).unwrap_or(0);
        let last_byte = low_byte(process) % 254 + 1;
        let ip = Ipv4Addr::new(
            127,
            low_byte(second_byte),
            low_byte(process >> 8),
            last_byte,
        );
        Self {
            ip: IpAddr::V4(ip),
            returned_ports: IndexSet::new(),
        }
    }

    /// Returns the IP address of the pool.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Returns an address with a free port that this pool has not returned before.
    pub fn take(&mut self) -> Result<SocketAddr> {
        loop {
            let listener = TcpListener::bind(SocketAddr::new(self.ip, 0))?;
            let address = listener.local_addr()?;
            if self.returned_ports.insert(address.port()) {
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
