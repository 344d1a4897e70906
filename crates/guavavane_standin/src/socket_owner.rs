//! Finds the process at the other end of a loopback connection, through `/proc`.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// The kernel's table of IPv4 TCP sockets.
const SOCKET_TABLE: &str = "/proc/net/tcp";
/// Columns of the socket table, counted from 0.
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// Inode number that the kernel gives a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketInode(u64);

impl SocketInode {
    /// Returns the inode of the socket that is connected from `local` to `remote`.
    pub fn find(local: SocketAddr, remote: SocketAddr) -> Option<Self> {
        let table = fs::read_to_string(SOCKET_TABLE).ok()?;
        let (local, remote) = (table_address(local)?, table_address(remote)?);
        let inode = table.lines().skip(1).find_map(|line| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let matches_address = columns.get(LOCAL_COLUMN) == Some(&local.as_str())
                && columns.get(REMOTE_COLUMN) == Some(&remote.as_str());
            matches_address.then(|| columns.get(INODE_COLUMN)?.parse().ok())?
        });
        inode.map(Self)
    }

    /// Whether the process with this id has the socket open.
    pub fn is_open_in(self, process: u32) -> bool {
        let Ok(listing) = fs::read_dir(format!("/proc/{process}/fd")) else {
            return false;
        };
        let link_target = format!("socket:[{}]", self.0);
        listing
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .any(|link| link.to_string_lossy() == link_target)
    }
}

/// Formats an IPv4 address as in the socket table: in host byte order and hexadecimal.
fn table_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip: &Ipv4Addr = address.ip();
    let bytes = u32::from_ne_bytes(ip.octets());
    Some(format!("{bytes:08X}:{:04X}", address.port()))
}
