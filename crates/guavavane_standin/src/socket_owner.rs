//! Finds out which process has the other end of a loopback connection.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// The kernel's table of TCP sockets.
const SOCKET_TABLE: &str = "/proc/net/tcp";
/// Columns of the table that are read.
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// A socket by the number that the kernel gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketInode(u64);

impl SocketInode {
    /// The socket that is connected from `local` to `remote`.
    pub fn find(local: SocketAddr, remote: SocketAddr) -> Option<Self> {
        let table = fs::read_to_string(SOCKET_TABLE).ok()?;
        let (local, remote) = (table_address(local)?, table_address(remote)?);
        let row = table.lines().skip(1).find_map(|line| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let same = columns.get(LOCAL_COLUMN) == Some(&local.as_str())
                && columns.get(REMOTE_COLUMN) == Some(&remote.as_str());
            same.then(|| columns.get(INODE_COLUMN)?.parse().ok())?
        });
        row.map(Self)
    }

    /// Whether a process has this socket open.
    pub fn is_open_in(self, process: u32) -> bool {
        let Ok(listing) = fs::read_dir(format!("/proc/{process}/fd")) else {
            return false;
        };
        let wanted = format!("socket:[{}]", self.0);
        listing
            .filter_map(|item| fs::read_link(item.ok()?.path()).ok())
            .any(|link| link.to_string_lossy() == wanted)
    }
}

/// An address as the table writes it: the bytes of the host's order, in hex.
fn table_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip: &Ipv4Addr = address.ip();
    let bytes = u32::from_ne_bytes(ip.octets());
    Some(format!("{bytes:08X}:{:04X}", address.port()))
}
