//! Connections that clients keep open until the process at the other end has exited.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time before a closed connection is opened again, and between two checks of the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Request after which the connection stays open.
const REQUEST: &[u8] = b"GET /idle HTTP/1.1\r\nHost: idle\r\n\r\n";

/// Connections, one to each address; they end when this value is dropped.
#[derive(Debug)]
pub struct OpenConnections(Arc<AtomicBool>);

impl Drop for OpenConnections {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl OpenConnections {
    /// Opens a connection to each address, and another one whenever the process has closed it.
    pub fn keep(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        for address in addresses {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    // An error means that the process isn't running or has closed the connection.
                    let _ = hold_connection(address, &stopped);
                    thread::sleep(POLL_INTERVAL);
                }
            });
        }
        Self(stopped)
    }
}

/// Sends a request, then reads until the process closes the connection.
fn hold_connection(address: SocketAddr, stopped: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    stream.write_all(REQUEST)?;
    let mut buffer = [0; 1024];
    while !stopped.load(Ordering::Relaxed) {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
