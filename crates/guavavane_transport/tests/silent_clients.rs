//! Connections to a call server whose clients are gone without a reset.
//!
//! Guards against connections that are never closed: each keeps a descriptor, and without
//! descriptors the server accepts no connection any more.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use guavavane_model::prelude::CellId;
use guavavane_model::prelude::IncarnationId;
use guavavane_transport::prelude::CallServer;
use guavavane_transport::prelude::FrameIdentity;

/// Longest time for which a server may keep the connection of a client that is gone.
const CLOSE_MAX: Duration = Duration::from_secs(15);
/// Start of an HTTP/2 connection by the client: its preface and empty settings.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

fn start_server() -> CallServer {
    let identity = FrameIdentity {
        cell: CellId(1),
        incarnation: IncarnationId(7),
    };
    CallServer::start("127.0.0.1:0".parse().unwrap(), identity, 8).unwrap()
}

/// Whether the server closes the connection although the client sends nothing more.
fn is_closed(mut connection: TcpStream) -> bool {
    connection.set_read_timeout(Some(CLOSE_MAX)).unwrap();
    let mut buffer = [0; 1_024];
    loop {
        match connection.read(&mut buffer) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return true,
            Err(_) => return false,
        }
    }
}

#[test]
fn a_client_that_is_gone_after_its_handshake_keeps_no_connection() {
    let server = start_server();
    let mut connection = TcpStream::connect(server.address()).unwrap();
    connection.write_all(PREFACE).unwrap();
    assert!(is_closed(connection), "open after {CLOSE_MAX:?}");
}

#[test]
fn a_client_that_is_gone_before_its_handshake_keeps_no_connection() {
    let server = start_server();
    let connection = TcpStream::connect(server.address()).unwrap();
    assert!(is_closed(connection), "open after {CLOSE_MAX:?}");
}
