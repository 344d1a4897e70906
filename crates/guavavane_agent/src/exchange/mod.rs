//! HTTP/1.1 exchange with an endpoint: one request and its answer on a connection of their own.
//!
//! On a connection that serves a single request, an answer can't reach another request. An answer
//! is accepted only if it is complete by its own framing, is within the size limit and repeats the
//! request's id. HTTP client libraries hide how much of an answer arrived, so this module reads the
//! socket itself and uses a library only to parse heads and chunk sizes.

mod body;
mod head;
mod request;

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use self::body::BodyState;
use self::head::AnswerHead;
use self::head::HeadState;
pub use self::request::attempt_id;
use crate::guard::ExchangeResult;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::HttpResponse;

/// Timeout for opening a connection to an endpoint on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for the endpoint to close the connection after its answer.
///
/// The wait detects bytes beyond the declared end of an answer. It adds this much latency if the
/// endpoint leaves the connection open.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2);

/// Maximum number of bytes read at once.
const READ_MAX_BYTES: usize = 16 * 1024;

/// Parameters of an exchange with an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointExchange {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// When the exchange is given up.
    pub until: BootTime,
    /// Time until the caller's deadline, sent to the endpoint.
    pub deadline: Duration,
    /// Maximum size of the answer's body in bytes.
    pub answer_max_bytes: usize,
}

/// Result of sending a request: whether any byte may have reached the endpoint.
enum SendOutcome {
    /// The whole request was sent.
    Sent,
    /// No byte was sent.
    NotSent,
    /// The connection failed after a part was sent.
    Broken(io::Error),
}

impl EndpointExchange {
    /// Opens a connection, sends the request and reads the answer.
    pub fn exchange(&self, request: &DispatchRequest) -> ExchangeResult {
        let Some(message) = request::encode_request(self.address, self.deadline, request) else {
            // An invalid HTTP request is never sent.
            return ExchangeResult::NotSent;
        };
        let Ok(mut socket) = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT) else {
            return ExchangeResult::NotSent;
        };
        // A failure only costs latency.
        let _ = socket.set_nodelay(true);
        match self.send(&mut socket, &message) {
            SendOutcome::Sent => {}
            SendOutcome::NotSent => return ExchangeResult::NotSent,
            SendOutcome::Broken(error) => return result_of_io_error(&error),
        }
        drop(message);
        self.read_answer(&mut socket, request)
            .unwrap_or_else(|error| result_of_io_error(&error))
    }

    fn send(&self, socket: &mut TcpStream, message: &[u8]) -> SendOutcome {
        let mut sent = 0;
        while sent < message.len() {
            let result = self
                .time_left()
                .and_then(|left| socket.set_write_timeout(Some(left)))
                .and_then(|()| socket.write(&message[sent..]));
            match result {
                Ok(0) => return SendOutcome::Broken(io::ErrorKind::BrokenPipe.into()),
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) if sent == 0 => return SendOutcome::NotSent,
                Err(error) => return SendOutcome::Broken(error),
            }
        }
        SendOutcome::Sent
    }

    fn read_answer(
        &self,
        socket: &mut TcpStream,
        request: &DispatchRequest,
    ) -> io::Result<ExchangeResult> {
        let mut bytes = Vec::new();
        let head = loop {
            match head::parse_head(&bytes) {
                HeadState::Complete(head) => break head,
                HeadState::Malformed => return Ok(ExchangeResult::Malformed),
                HeadState::Partial => {}
            }
            if self.read_more(socket, &mut bytes)? == 0 {
                // The endpoint closed the connection without an answer, but may have run the
                // request.
                return Ok(ExchangeResult::Lost);
            }
        };
        if !head.has_single_request_id(&attempt_id(&request.attempt)) {
            return Ok(ExchangeResult::Malformed);
        }
        bytes.drain(..head.size_bytes);
        let body = self.read_body(socket, &head, bytes, request.method == "HEAD")?;
        Ok(match body {
            Some(body) => ExchangeResult::Answered(HttpResponse {
                status: head.status,
                headers: head.fields,
                body,
            }),
            None => ExchangeResult::Malformed,
        })
    }

    /// Reads the body; `None` if it is incomplete, malformed or too long.
    fn read_body(
        &self,
        socket: &mut TcpStream,
        head: &AnswerHead,
        mut bytes: Vec<u8>,
        is_head_request: bool,
    ) -> io::Result<Option<Vec<u8>>> {
        let Some(framing) = head.framing(is_head_request) else {
            return Ok(None);
        };
        loop {
            match body::parse_body(framing, &bytes, self.answer_max_bytes) {
                BodyState::Complete(body) => {
                    return Ok(self.has_ended_after(socket)?.then_some(body));
                }
                BodyState::Malformed => return Ok(None),
                BodyState::Partial => {}
            }
            if self.read_more(socket, &mut bytes)? == 0 {
                return Ok(None);
            }
        }
    }

    /// Whether no bytes follow the answer.
    fn has_ended_after(&self, socket: &mut TcpStream) -> io::Result<bool> {
        socket.set_read_timeout(Some(CLOSE_TIMEOUT))?;
        let mut byte = [0];
        match socket.read(&mut byte) {
            Ok(count) => Ok(count == 0),
            // Timeout or reset after a complete answer: no bytes followed.
            Err(_) => Ok(true),
        }
    }

    /// Appends the next bytes from the socket; returns their number, 0 at the end.
    fn read_more(&self, socket: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
        socket.set_read_timeout(Some(self.time_left()?))?;
        let before = bytes.len();
        bytes.resize(before + READ_MAX_BYTES, 0);
        let result = loop {
            match socket.read(&mut bytes[before..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => break result,
            }
        };
        bytes.truncate(before + *result.as_ref().unwrap_or(&0));
        result
    }

    /// Time until the exchange is given up; an error if it has passed.
    fn time_left(&self) -> io::Result<Duration> {
        let left = self.until.saturating_since(BootClock.now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(left)
    }
}

fn result_of_io_error(error: &io::Error) -> ExchangeResult {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => ExchangeResult::TimedOut,
        _ => ExchangeResult::Lost,
    }
}
