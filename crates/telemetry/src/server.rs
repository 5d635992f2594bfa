//! HTTP server for `/metrics`, `/healthz` and operators' questions.
//!
//! A single thread handles one request at a time. The closed set of metrics and label
//! values bounds the size of a response.

use crate::{HealthState, MetricSet, SharedHealth};
use std::{
    io::{self, Read},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
};
use tiny_http::{Method, Request, Response, Server};

/// Path of operators' questions.
const QUESTION_PATH: &str = "/explain";
/// Longest question, in bytes.
const MAX_QUESTION_BYTES: u64 = 64 * 1024;

/// Answers an operator's question; an error is the reason why there is no answer.
pub type AnswerFn = Box<dyn Fn(&str) -> Result<String, String> + Send>;

/// A running metrics server; dropping it stops its thread.
pub struct MetricsServer {
    server: Arc<Server>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl MetricsServer {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for MetricsServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

/// Serves `metrics` and `health` on `listener` from a new thread.
///
/// # Errors
///
/// Returns an error when the listener cannot be used or the thread cannot be started.
///
/// ```
/// use berylmount_telemetry::{serve_metrics, MetricSet, SharedHealth};
/// use std::{net::TcpListener, sync::Arc};
///
/// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
/// let metrics = Arc::new(MetricSet::new().unwrap());
/// let server = serve_metrics(listener, metrics, Arc::default()).unwrap();
/// assert_ne!(server.address().port(), 0);
/// ```
pub fn serve_metrics(
    listener: TcpListener,
    metrics: Arc<MetricSet>,
    health: Arc<SharedHealth>,
) -> io::Result<MetricsServer> {
    let answer = |_: &str| Err("this process answers no questions".to_owned());
    serve_questions(listener, metrics, health, Box::new(answer))
}

/// Serves the same, and answers questions that are posted to `/explain`.
///
/// # Errors
///
/// Returns an error when the listener cannot be used or the thread cannot be started.
///
/// ```
/// use berylmount_telemetry::{serve_questions, MetricSet};
/// use std::{net::TcpListener, sync::Arc};
///
/// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
/// let metrics = Arc::new(MetricSet::new().unwrap());
/// let answer = Box::new(|question: &str| Ok(question.to_uppercase()));
/// let server = serve_questions(listener, metrics, Arc::default(), answer).unwrap();
/// assert_ne!(server.address().port(), 0);
/// ```
pub fn serve_questions(
    listener: TcpListener,
    metrics: Arc<MetricSet>,
    health: Arc<SharedHealth>,
    answer: AnswerFn,
) -> io::Result<MetricsServer> {
    let address = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let server = Arc::new(server);
    let requests = Arc::clone(&server);
    let serve = move || {
        for request in requests.incoming_requests() {
            respond(request, &metrics, &health, &answer);
        }
    };
    let thread = thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(serve)?;
    Ok(MetricsServer {
        server,
        address,
        thread: Some(thread),
    })
}

/// Responds to one request.
fn respond(mut request: Request, metrics: &MetricSet, health: &SharedHealth, answer: &AnswerFn) {
    let is_question = request.method() == &Method::Post && request.url() == QUESTION_PATH;
    let (status, body) = match (request.method(), request.url()) {
        _ if is_question => answer_question(&mut request, answer),
        (Method::Get, "/metrics") => (200, metrics.page()),
        (Method::Get, "/healthz") => health_response(health.get()),
        (Method::Get, _) => (404, "not found\n".to_owned()),
        _ => (405, "only GET is allowed\n".to_owned()),
    };
    let response = Response::from_string(body).with_status_code(status);
    if let Err(error) = request.respond(response) {
        log::debug!(target: "metrics", error:%; "client closed the connection");
    }
}

/// Returns the status and body for a question.
fn answer_question(request: &mut Request, answer: &AnswerFn) -> (u16, String) {
    let mut question = String::new();
    let mut reader = request.as_reader().take(MAX_QUESTION_BYTES);
    if let Err(error) = reader.read_to_string(&mut question) {
        return (400, format!("the question cannot be read: {error}\n"));
    }
    match answer(&question) {
        Ok(body) => (200, body),
        Err(reason) => (400, format!("{reason}\n")),
    }
}

/// Returns the status and body for `/healthz`.
fn health_response(state: HealthState) -> (u16, String) {
    let status = match state {
        HealthState::Ready => 200,
        HealthState::Starting | HealthState::Leaving => 503,
    };
    (status, format!("{state}\n"))
}
