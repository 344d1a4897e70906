//! One HTTP exchange with an endpoint, on a connection of its own.
//!
//! A connection that serves one request cannot hand the answer of one request to another. The
//! answer counts only if it is whole by its own framing, within its bound and repeats the
//! request's id. Client libraries hide how much of an answer arrived, so the exchange reads the
//! socket itself and leaves only the parsing of heads and chunk sizes to a library.

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
use crate::guard::HopResult;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootTime;
use guavavane_protocol::prelude::DispatchRequest;
use guavavane_protocol::prelude::HttpAnswer;

/// Longest time to open a connection to an endpoint on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the endpoint may take to close the connection after its answer.
///
/// The wait tells an answer with more bytes than it declared from one that has ended. An
/// endpoint that leaves the connection open costs this much.
const CLOSE_WAIT: Duration = Duration::from_millis(2);

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// An exchange with an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointHop {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// When the connection is given up.
    pub until: BootTime,
    /// Time left to the caller, which the endpoint is told.
    pub deadline: Duration,
    /// Longest answer, headers included, in bytes.
    pub answer_max_bytes: usize,
}

/// Whether a byte may have reached the endpoint.
enum SendOutcome {
    Sent,
    NotSent,
    Broken(io::Error),
}

impl EndpointHop {
    /// Sends the request and reads the answer.
    pub fn exchange(&self, request: &DispatchRequest) -> HopResult {
        let Some(message) = request::encode_request(self.address, self.deadline, request) else {
            // What is no HTTP request is never sent.
            return HopResult::NotSent;
        };
        let Ok(mut socket) = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT) else {
            return HopResult::NotSent;
        };
        // Only costs latency if it fails.
        let _ = socket.set_nodelay(true);
        match self.send(&mut socket, &message) {
            SendOutcome::Sent => {}
            SendOutcome::NotSent => return HopResult::NotSent,
            SendOutcome::Broken(error) => return read_failure(&error),
        }
        drop(message);
        self.read_answer(&mut socket, request)
            .unwrap_or_else(|error| read_failure(&error))
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
    ) -> io::Result<HopResult> {
        let mut bytes = Vec::new();
        let head = loop {
            match head::parse_head(&bytes) {
                HeadState::Whole(head) => break head,
                HeadState::Malformed => return Ok(HopResult::Malformed),
                HeadState::Partial => {}
            }
            if self.read_more(socket, &mut bytes)? == 0 {
                // An endpoint that ends before it answers has perhaps run the request.
                return Ok(HopResult::Lost);
            }
        };
        if !head.repeats(&attempt_id(&request.attempt)) {
            return Ok(HopResult::Malformed);
        }
        bytes.drain(..head.bytes);
        let body = self.read_body(socket, &head, bytes, request.method == "HEAD")?;
        Ok(match body {
            Some(body) => HopResult::Answered(HttpAnswer {
                status: head.status,
                headers: head.fields,
                body,
            }),
            None => HopResult::Malformed,
        })
    }

    /// The body, or nothing if it is not whole or too long.
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
                BodyState::Whole(body) => {
                    return Ok(self.is_closed_after(socket)?.then_some(body));
                }
                BodyState::Malformed => return Ok(None),
                BodyState::Partial => {}
            }
            if self.read_more(socket, &mut bytes)? == 0 {
                return Ok(None);
            }
        }
    }

    /// Whether nothing follows the answer.
    fn is_closed_after(&self, socket: &mut TcpStream) -> io::Result<bool> {
        socket.set_read_timeout(Some(CLOSE_WAIT))?;
        let mut byte = [0];
        match socket.read(&mut byte) {
            Ok(count) => Ok(count == 0),
            // Silence, or a reset after a whole answer: nothing followed.
            Err(_) => Ok(true),
        }
    }

    fn read_more(&self, socket: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
        socket.set_read_timeout(Some(self.time_left()?))?;
        let before = bytes.len();
        bytes.resize(before + READ_BYTES, 0);
        let result = loop {
            match socket.read(&mut bytes[before..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => break result,
            }
        };
        bytes.truncate(before + *result.as_ref().unwrap_or(&0));
        result
    }

    fn time_left(&self) -> io::Result<Duration> {
        let left = self.until.saturating_since(BootClock.now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(left)
    }
}

fn read_failure(error: &io::Error) -> HopResult {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => HopResult::TimedOut,
        _ => HopResult::Lost,
    }
}
