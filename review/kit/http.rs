//! Minimal HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client
//! that keeps every byte that it reads.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }
}

/// Decodes percent signs.
pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[at], code.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub socket: TcpStream,
    pub pending: Vec<u8>,
}

impl Conn {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self { socket, pending: Vec::new() }
    }

    /// Connects within a second, as consumers do.
    pub fn open(address: SocketAddr, read_limit: Duration) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        socket.set_read_timeout(Some(read_limit))?;
        Ok(Self::new(socket))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.socket.read(&mut bytes)?;
        self.pending.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a start line and headers; `None` if the connection ends before the first byte.
    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        loop {
            if let Some(end) = self.pending.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.pending[..end]).into_owned();
                self.pending.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
                return Ok(Some((start, headers.collect())));
            }
            if self.fill()? == 0 {
                return match self.pending.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.pending.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.pending.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.pending.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.pending.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn body(&mut self, headers: &[(String, String)], until_close: bool) -> io::Result<Vec<u8>> {
        if find(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let digits = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exact(size)?);
                self.line()?;
            }
        }
        match find(headers, "content-length").and_then(|value| value.parse().ok()) {
            Some(length) => self.exact(length),
            None if until_close => {
                while self.fill()? > 0 {}
                Ok(std::mem::take(&mut self.pending))
            }
            None => Ok(Vec::new()),
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((start, headers)) = self.head()? else {
            return Ok(None);
        };
        let mut words = start.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let body = self.body(&headers, false)?;
        Ok(Some(Request { method, target, headers, body }))
    }

    /// Reads the response to a request with `method`.
    pub fn response(&mut self, method: &str) -> io::Result<Response> {
        let Some((start, headers)) = self.head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let mut words = start.split(' ');
        let protocol = words.next().unwrap_or_default().to_owned();
        let status = words.next().unwrap_or_default().parse().unwrap_or(0);
        // A response to HEAD has no body, whatever its headers say (RFC 9112, section 6.3).
        let body = match method == "HEAD" || status == 204 || status == 304 {
            true => Vec::new(),
            false => self.body(&headers, true)?,
        };
        Ok(Response { protocol, start, status, headers, body })
    }
}

/// A response as received.
pub struct Response {
    /// The first word of its status line.
    pub protocol: String,
    pub start: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Writes a response with a body.
pub fn respond(
    socket: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let phrase = match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {phrase}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)
}

/// Serves a listener in threads. `handle` answers one request and returns whether the connection
/// is kept.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming() {
            let Ok(socket) = socket else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let Ok(mut writer) = socket.try_clone() else { return };
                let mut conn = Conn::new(socket);
                while let Ok(Some(request)) = conn.request() {
                    if !handle(&request, &mut writer).unwrap_or(false) {
                        break;
                    }
                }
            });
        }
    });
}
