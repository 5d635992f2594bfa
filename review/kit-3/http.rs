//! Messages of HTTP/1.1 on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A message with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The word of the first line at `index`.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with what was read and not used.
pub struct Wire {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self {
            socket,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.socket.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            line,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Reads a message. A response without a framing has no body here.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let Ok(Some(size)) = self.line() else {
                    return Ok(Some(message));
                };
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let Ok(size) = size else {
                    return Ok(Some(message));
                };
                let Ok(Some(data)) = self.take(size) else {
                    return Ok(Some(message));
                };
                message.body.extend_from_slice(&data);
                let Ok(Some(_)) = self.line() else {
                    return Ok(Some(message));
                };
                if size == 0 {
                    message.is_whole = true;
                    return Ok(Some(message));
                }
            }
        }
        let length = message.header("content-length");
        let length = length.and_then(|value| value.parse().ok()).unwrap_or(0);
        if let Ok(Some(body)) = self.take(length) {
            message.body = body;
            message.is_whole = true;
        }
        Ok(Some(message))
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.socket.write_all(text.as_bytes())
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
