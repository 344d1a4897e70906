//! Exclusive use of a loopback subnet, among all soaks on one machine.
//!
//! A claim is a listener on a fixed port of the subnet's first address: the operating system gives
//! it to one process only, and takes it back when that process ends in whatever way. The sockets of
//! relays and workers stay open until then, so claims are never given back earlier.

use std::io;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::PoisonError;

use anyhow::bail;

/// Port of the listeners that claim subnets; no process of a soak uses it.
const CLAIM_PORT: u16 = 27_719;
/// Subnets that a soak can use: `127.0.0.x` serves other programs.
const SUBNETS: std::ops::RangeInclusive<u8> = 1..=254;

/// Listeners of the subnets that this process has claimed.
static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Claims the preferred subnet, or the next one that is free, until the process ends.
///
/// # Errors
///
/// Fails if no subnet is free or a listener can't be opened.
pub fn claim_subnet(preferred: u8) -> anyhow::Result<u8> {
    let next_subnets = preferred..=*SUBNETS.end();
    let first_subnets = *SUBNETS.start()..preferred;
    for subnet in next_subnets.chain(first_subnets) {
        match TcpListener::bind((Ipv4Addr::new(127, 0, subnet, 1), CLAIM_PORT)) {
            Ok(listener) => {
                let mut claims = CLAIMS.lock().unwrap_or_else(PoisonError::into_inner);
                claims.push(listener);
                return Ok(subnet);
            }
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error.into()),
        }
    }
    bail!("all subnets are in use by soaks")
}
