//! Scripted runners, and helpers for the HTTP messages that they exchange.

use super::any_port;
use serde_json::{json, Value};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// What a runner does after its response.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AfterResponse {
    Keep,
    Close,
    /// Sends nothing further and keeps the connection open.
    Hang,
}

/// A runner that responds as a script says.
#[derive(Clone)]
pub(crate) struct StandinRunner {
    pub(crate) address: SocketAddr,
    /// Requests received, as text.
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
    /// Number of connections closed by the client.
    pub(crate) closed: Arc<Mutex<u32>>,
    /// Number of connections opened by clients.
    pub(crate) opened: Arc<Mutex<u32>>,
}

impl StandinRunner {
    /// Starts a runner; `script` is called with each request and its number.
    pub(crate) fn start(
        script: impl Fn(&str, usize) -> (Vec<u8>, AfterResponse) + Send + Sync + 'static,
    ) -> Self {
        Self::serve(move |runner, socket| {
            let request = read_message(socket)?;
            let number = runner.record_request(&request);
            let (response, after) = script(&request, number);
            socket.write_all(&response).ok()?;
            Some(after)
        })
    }

    /// Starts a runner whose script gets only a request's head; no body is read.
    pub(crate) fn start_with(
        script: impl Fn(&mut TcpStream, &str) -> AfterResponse + Send + Sync + 'static,
    ) -> Self {
        Self::serve(move |runner, socket| {
            let head = read_head(socket)?;
            runner.record_request(&head);
            Some(script(socket, &head))
        })
    }

    /// Starts a runner; `serve_request` serves one request of a connection and returns
    /// `None` at the end of the connection.
    fn serve(
        serve_request: impl Fn(&Self, &mut TcpStream) -> Option<AfterResponse> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(any_port()).unwrap();
        let runner = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            closed: Arc::default(),
            opened: Arc::default(),
        };
        let (serve, serve_request) = (runner.clone(), Arc::new(serve_request));
        thread::spawn(move || {
            for socket in listener.incoming() {
                let (runner, serve_request) = (serve.clone(), serve_request.clone());
                let mut socket = socket.unwrap();
                *runner.opened.lock().unwrap() += 1;
                thread::spawn(move || {
                    while let Some(after) = serve_request(&runner, &mut socket) {
                        match after {
                            AfterResponse::Keep => {}
                            AfterResponse::Close => return,
                            AfterResponse::Hang => break,
                        }
                    }
                    runner.wait_for_close(&mut socket);
                });
            }
        });
        runner
    }

    /// Records a request; returns its number.
    fn record_request(&self, request: &str) -> usize {
        let mut requests = self.requests.lock().unwrap();
        requests.push(request.to_owned());
        requests.len() - 1
    }

    /// Waits until the client closes the connection.
    fn wait_for_close(&self, socket: &mut TcpStream) {
        let mut rest = [0u8; 64];
        while matches!(socket.read(&mut rest), Ok(length) if length > 0) {}
        *self.closed.lock().unwrap() += 1;
    }

    /// Returns the number of received requests, including warm-up requests.
    pub(crate) fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// Returns the runner's registration entry.
    pub(crate) fn entry(&self, service: &str, state: &str) -> Value {
        json!({
            "Service": service, "Address": self.address.to_string(), "Zone": "north",
            "Version": "v1", "Slots": 8, "State": state, "Models": [{"Name": "m", "Version": 1}],
            "born": 1,
        })
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub(crate) fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0u8; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        match socket.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8(bytes).unwrap())
}

/// Reads a message with a `Content-Length` as text; `None` at the end of the
/// connection.
pub(crate) fn read_message(socket: &mut TcpStream) -> Option<String> {
    let head = read_head(socket)?;
    let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0u8; length];
    socket.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).unwrap())
}

/// Returns the value of a header of a message.
pub(crate) fn header(message: &str, name: &str) -> Option<String> {
    let lines = message.lines().take_while(|line| !line.is_empty());
    let mut pairs = lines.filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// Encodes a runner's complete response to `request`.
pub(crate) fn response_to(request: &str, status: &str, body: &str) -> Vec<u8> {
    let id = header(request, "berylmount-request-id").unwrap_or_default();
    response_with_id(&id, status, body)
}

/// Encodes a runner's complete response to the request with `id`.
pub(crate) fn response_with_id(id: &str, status: &str, body: &str) -> Vec<u8> {
    let stamp = "berylmount-response-stamp: s\r\n";
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nberylmount-request-id: {id}\r\n{stamp}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Encodes an event stream in response to `request`; `ends` adds the final chunk.
pub(crate) fn event_stream_to(request: &str, chunks: &[&str], ends: bool) -> Vec<u8> {
    let id = header(request, "berylmount-request-id").unwrap_or_default();
    let mut response = format!(
        "HTTP/1.1 200 OK\r\nberylmount-request-id: {id}\r\nberylmount-response-stamp: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    for chunk in chunks {
        response += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
    }
    if ends {
        response += "0\r\n\r\n";
    }
    response.into_bytes()
}

/// Starts a runner that serves warm-up requests, and others by `script`.
pub(crate) fn scripted_runner(
    script: impl Fn(&str) -> (Vec<u8>, AfterResponse) + Send + Sync + 'static,
) -> StandinRunner {
    StandinRunner::start(move |request, _| match request.contains("/warm") {
        true => (response_to(request, "200 OK", "warm"), AfterResponse::Keep),
        false => script(request),
    })
}

/// Starts a runner that serves every request.
pub(crate) fn healthy_runner() -> StandinRunner {
    scripted_runner(|request| (response_to(request, "200 OK", "fine"), AfterResponse::Keep))
}

/// Returns the requests received, without warm-up requests.
pub(crate) fn received_requests(runner: &StandinRunner) -> Vec<String> {
    let requests = runner.requests.lock().unwrap();
    let real = requests.iter().filter(|request| !request.contains("/warm"));
    real.cloned().collect()
}
