//! Reads and writes HTTP/1.1 messages.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message whose body has a length or none; `None` at the end of the stream.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        reader
            .read_until(b'\n', &mut line)
            .ok()
            .filter(|count| *count > 0)?;
        // Header values may hold bytes beyond ASCII.
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        match line.split_once(':') {
            Some((name, value)) if !message.first_line.is_empty() => {
                message
                    .headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
            _ => message.first_line = line,
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// Sends one request on a connection of its own. Returns the response; `None` if the connection
/// ends without one or `limit` passes.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut socket = TcpStream::connect_timeout(&address, limit).ok()?;
    socket.set_read_timeout(Some(limit)).ok()?;
    socket.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(socket))
}

/// Prints a response with a body.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
