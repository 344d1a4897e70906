//! HTTP/1.1 over loopback: a client that opens a connection for each call, and a server with a thread
//! for each connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Request with its complete body.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// Leaves the connection open without an answer.
    Nothing,
    /// Closes the connection without an answer.
    Close,
}

/// Longest time for which a connection without an answer stays open.
const HELD_OPEN: Duration = Duration::from_secs(20);

/// Sends one request; none if no complete answer arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, String, Option<String>)> {
    let until = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Guavavane-Deadline: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let left = until.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        let count = stream.read(&mut chunk).ok()?;
        bytes.extend_from_slice(&chunk[..count]);
        if let Some(answer) = parse_answer(&bytes) {
            return Some(answer);
        }
        if count == 0 {
            return None;
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<(u16, String, Option<String>)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let find = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim().to_owned())
    };
    let length: usize = find("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let body = bytes.get(end + 4..end + 4 + length)?;
    Some((status, String::from_utf8_lossy(body).into_owned(), find("location")))
}

/// Serves an address until the program ends.
pub fn serve<F>(address: SocketAddr, handler: F) -> std::io::Result<()>
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut bytes) else {
            return;
        };
        match handler(request) {
            Reply::Answer(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Nothing => {
                // Until the caller closes the connection.
                let _ = stream.set_read_timeout(Some(HELD_OPEN));
                let _ = stream.read(&mut [0; 1]);
                return;
            }
            Reply::Close => return,
        }
    }
}

fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.lines();
            let mut first = lines.next()?.split(' ');
            let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(key, value)| (key.to_owned(), value.trim().to_owned()))
                .collect();
            let length = headers
                .iter()
                .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.parse().ok())
                .unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]).into_owned();
                bytes.drain(..end + 4 + length);
                return Some(Request { method, path, headers, body });
            }
        }
        let count = stream.read(&mut chunk).ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}
