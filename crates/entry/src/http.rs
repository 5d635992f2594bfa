//! HTTP towards callers and operators, over `tiny_http`.
//!
//! `tiny_http` streams an answer only through a request's writer, and only
//! when every write is followed by a flush, so streamed answers write their
//! own head and chunks here. Bodies are bounded before they are read.

use berylmount_model::{CallRefusal, RefusalReason};
use serde::Serialize;
use socket2::{Domain, Protocol, Socket, Type};
use std::{
    io::{self, Cursor, Read, Write},
    net::{SocketAddr, TcpListener},
    time::Duration,
};
use tiny_http::{Header, Request, Response, Server};

/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// A JSON answer.
pub(crate) type JsonResponse = Response<Cursor<Vec<u8>>>;

/// Listens at `address` with `idle` as the limit of every read and write.
///
/// Accepted sockets inherit the listener's timeouts, which is the only way to
/// bound idle and slow callers: `tiny_http` sets none.
///
/// # Errors
///
/// Returns the system's error if the address can't be listened at.
pub(crate) fn listen(address: SocketAddr, idle: Duration) -> io::Result<Server> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_read_timeout(Some(idle))?;
    socket.set_write_timeout(Some(idle))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    let listener = TcpListener::from(socket);
    Server::from_listener(listener, None).map_err(io::Error::other)
}

/// Where a server listens.
///
/// # Errors
///
/// Returns an error if it does not listen at an IP address.
pub(crate) fn server_address(server: &Server) -> io::Result<SocketAddr> {
    let address = server.server_addr().to_ip();
    address.ok_or_else(|| io::Error::other("the server has no IP address"))
}

/// The value of a request's header, if it has one.
pub(crate) fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|h| h.field.equiv(name));
    found.map(|header| header.value.as_str())
}

/// Reads a request's body.
///
/// # Errors
///
/// Refuses a body longer than `max_bytes`, one that is not text, and one that
/// does not come.
pub(crate) fn read_body(request: &mut Request, max_bytes: usize) -> Result<String, CallRefusal> {
    let bad = |detail: &str| CallRefusal::not_run(RefusalReason::BadRequest, detail, 0);
    let too_long = || bad(&format!("a body has at most {max_bytes} bytes"));
    if request
        .body_length()
        .is_some_and(|length| length > max_bytes)
    {
        return Err(too_long());
    }
    let mut body = Vec::new();
    let mut reader = request.as_reader().take(max_bytes as u64 + 1);
    reader
        .read_to_end(&mut body)
        .map_err(|e| bad(&format!("the body did not come: {e}")))?;
    if body.len() > max_bytes {
        return Err(too_long());
    }
    String::from_utf8(body).map_err(|_| bad("the body is not UTF-8"))
}

/// The value of `name` in a query such as `a=1&b=2`.
pub(crate) fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// A header that is known to be well formed, or none.
fn plain_header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// A JSON answer with `status`.
pub(crate) fn json_response<T: Serialize>(status: u16, body: &T) -> JsonResponse {
    // Every answer is made of strings and numbers, which always serialize.
    let text = serde_json::to_string(body).unwrap_or_default();
    bytes_response(status, text.into_bytes())
}

/// A JSON answer from bytes.
pub(crate) fn bytes_response(status: u16, body: Vec<u8>) -> JsonResponse {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Some(header) = plain_header("content-type", "application/json") {
        response.add_header(header);
    }
    response
}

/// The HTTP status that fits a refusal.
fn refusal_status(refusal: &CallRefusal) -> u16 {
    match refusal.reason {
        RefusalReason::BadRequest => 400,
        RefusalReason::Unauthorized => 401,
        RefusalReason::UnknownWork => 403,
        RefusalReason::NotFound => 404,
        RefusalReason::KeyMismatch | RefusalReason::OutcomeUnknown => 409,
        RefusalReason::KeyExpired => 410,
        RefusalReason::OverLimit => 429,
        RefusalReason::Redirected => 421,
        RefusalReason::Overloaded
        | RefusalReason::NoTarget
        | RefusalReason::TableUnconfirmed
        | RefusalReason::PlatformUnavailable => 503,
        RefusalReason::TargetFailed => 502,
        RefusalReason::TimedOut => 504,
        RefusalReason::Cancelled => 499,
        RefusalReason::Internal => 500,
    }
}

/// The answer to a refused request.
pub(crate) fn refusal_response(refusal: &CallRefusal) -> JsonResponse {
    let mut response = json_response(refusal_status(refusal), refusal);
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1_000).to_string();
        if let Some(header) = plain_header("retry-after", &seconds) {
            response.add_header(header);
        }
    }
    response
}

/// Writes one answer line by line as it comes.
pub(crate) struct LineWriter {
    writer: Box<dyn Write + Send + 'static>,
}

impl LineWriter {
    /// Answers `request` with status 200 and lines to follow.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub(crate) fn start(request: Request) -> io::Result<Self> {
        let mut writer = request.into_writer();
        let head = "HTTP/1.1 200 OK\r\n\
                    content-type: application/x-ndjson\r\n\
                    cache-control: no-store\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes())?;
        Ok(Self { writer })
    }

    /// Writes one line as one chunk and flushes it.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub(crate) fn write_line<T: Serialize>(&mut self, line: &T) -> io::Result<()> {
        let mut text = serde_json::to_string(line).map_err(io::Error::other)?;
        text.push('\n');
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }

    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

/// A refusal of a malformed request.
pub(crate) fn bad_request(detail: &str) -> CallRefusal {
    CallRefusal::not_run(RefusalReason::BadRequest, detail, 0)
}
