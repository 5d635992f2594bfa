//! One small HTTP server shared by the stand-ins.
//!
//! Every request gets a thread. Streamed answers go out in chunks, one flush a
//! line, on sockets without Nagle's delay.

use serde_json::Value;
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
};
use tiny_http::{Header, Request, Response, Server};

/// A request as the handlers see it.
#[derive(Debug)]
pub(crate) struct HttpCall {
    /// The method in capitals.
    pub(crate) method: String,
    /// The path without its query.
    pub(crate) path: String,
    /// The query's pairs, undecoded.
    pub(crate) query: Vec<(String, String)>,
    /// The whole body.
    pub(crate) body: Vec<u8>,
}

impl HttpCall {
    /// Reads the whole of `request`.
    fn read(request: &mut Request) -> io::Result<Self> {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body)?;
        // A sender that died leaves a shorter body, which the library takes for the end.
        if request
            .body_length()
            .is_some_and(|length| length != body.len())
        {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(Self {
            method: request.method().to_string(),
            path: path.to_owned(),
            query: pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
            body,
        })
    }

    /// The number under `name` in the query.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        let pair = self.query.iter().find(|(key, _)| key == name)?;
        pair.1.parse().ok()
    }

    /// The body as JSON, null when it is none.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A running server; dropping it stops taking connections.
pub(crate) struct HttpServer {
    address: SocketAddr,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on `listen` and runs `handler` in a thread for each request.
    pub(crate) fn start<H>(listen: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(HttpCall, Request) + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        // Accepted sockets inherit the option, and the library offers no other hold on them.
        socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let accepting = Arc::clone(&server);
        let handler = Arc::new(handler);
        let thread = thread::spawn(move || {
            for mut request in accepting.incoming_requests() {
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    if let Ok(call) = HttpCall::read(&mut request) {
                        handler(call, request);
                    }
                });
            }
        });
        Ok(Self {
            address,
            server,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// Prints `address` for whoever started the process, and never returns.
pub(crate) fn serve_forever(address: SocketAddr) -> ! {
    println!("{address}");
    loop {
        thread::park();
    }
}

/// Answers `request` with a JSON body.
pub(crate) fn reply(request: Request, status: u16, body: &Value) {
    let response = Response::from_string(body.to_string()).with_status_code(status);
    let header = Header::from_bytes("Content-Type", "application/json");
    let response = match header {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    };
    request.respond(response).ok();
}

/// A streamed answer of JSON lines.
pub(crate) struct LineStream {
    writer: Box<dyn Write + Send>,
}

impl LineStream {
    /// Sends the head of a streamed answer to `request`.
    pub(crate) fn open(request: Request) -> io::Result<Self> {
        let mut writer = request.into_writer();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one line at once.
    pub(crate) fn line(&mut self, value: &Value) -> io::Result<()> {
        let text = format!("{value}\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.writer.write_all(chunk.as_bytes())?;
        self.writer.flush()
    }

    /// Ends the answer.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
