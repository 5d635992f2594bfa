//! Accepts connections and hands their calls to a bounded channel.

use crate::{answer::AnswerBody, connections::ConnectionTable, BodyFault, HttpAnswer, HttpCall};
use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        mpsc::{sync_channel, SyncSender},
        Arc,
    },
    thread,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    runtime::Handle,
    sync::oneshot,
    task::AbortHandle,
    time::{sleep, timeout},
};

/// The least room for a request's head that the HTTP library takes, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Bytes of a body beyond its bound that are read and thrown away.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Wait before accepting again after accepting failed.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Bounds of a server.
#[derive(Clone, Debug)]
pub struct HttpConfig {
    /// Open connections.
    pub max_connections: usize,
    /// Longest head of a request, in bytes.
    pub max_head: usize,
    /// Longest body of a request, in bytes.
    pub max_body: usize,
    /// How long a caller may take for a head, or for a body, and how long it
    /// may leave an answer unread.
    pub idle_timeout: Duration,
    /// The answer to a call that found the channel full; it was not served.
    pub busy: HttpAnswer,
    /// The answer to a call that was dropped unanswered; it may have been served.
    pub dropped: HttpAnswer,
}

/// What the tasks of a server share.
#[derive(Debug)]
struct ServerShared {
    config: HttpConfig,
    calls: SyncSender<HttpCall>,
    connections: ConnectionTable,
    handle: Handle,
}

/// A listening server.
///
/// When it is dropped, its thread ends and every connection closes.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl HttpServer {
    /// Listens at `address` and sends every call to `calls`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address or a thread can't be had.
    pub fn start(
        address: SocketAddr,
        config: HttpConfig,
        calls: SyncSender<HttpCall>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let (stop, stopped) = oneshot::channel::<()>();
        let (ready, started) = sync_channel(1);
        let shared = Arc::new(ServerShared {
            connections: ConnectionTable::new(config.max_connections),
            config,
            calls,
            handle: runtime.handle().clone(),
        });
        let builder = thread::Builder::new().name("http".to_owned());
        builder.spawn(move || {
            runtime.block_on(async {
                let listener = match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => listener,
                    Err(e) => {
                        let _ = ready.send(Err(e));
                        return;
                    }
                };
                let _ = ready.send(Ok(()));
                tokio::select! {
                    () = accept_connections(&listener, &shared) => {}
                    _ = stopped => {}
                }
            });
        })?;
        started.recv().map_err(io::Error::other)??;
        Ok(Self {
            address,
            _stop: stop,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Accepts connections for ever.
async fn accept_connections(listener: &tokio::net::TcpListener, shared: &Arc<ServerShared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => open_connection(stream, shared),
            Err(e) => {
                log::warn!(target: "http", "accepting a connection failed: {e}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Serves a new connection, if there is or can be made room for it.
fn open_connection(stream: TcpStream, shared: &Arc<ServerShared>) {
    let Some(serial) = shared.connections.open() else {
        log::debug!(target: "http", "every connection is busy; closing a new one");
        return;
    };
    let serving = Arc::clone(shared);
    let (tell_abort, abort) = oneshot::channel::<AbortHandle>();
    let task = tokio::spawn(async move {
        if let Ok(abort) = abort.await {
            serve_connection(stream, serial, abort, &serving).await;
        }
    });
    let abort = task.abort_handle();
    shared.connections.set_abort(serial, abort.clone());
    let _ = tell_abort.send(abort);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let _ = task.await;
        shared.connections.forget(serial);
    });
}

/// Serves the calls of one connection.
async fn serve_connection(
    stream: TcpStream,
    serial: u64,
    abort: AbortHandle,
    shared: &Arc<ServerShared>,
) {
    let _ = stream.set_nodelay(true);
    let config = &shared.config;
    let service = service_fn(|request| serve_call(request, serial, abort.clone(), shared));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(true)
        .header_read_timeout(config.idle_timeout)
        .max_buf_size(config.max_head.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!(target: "http", "a connection ended: {e}");
    }
}

/// Reads one call's body, hands the call on and waits for its answer.
async fn serve_call(
    request: Request<Incoming>,
    serial: u64,
    connection: AbortHandle,
    shared: &Arc<ServerShared>,
) -> Result<Response<AnswerBody>, Infallible> {
    let (parts, body) = request.into_parts();
    let body = read_body(body, &shared.config).await;
    let (answer, answered) = oneshot::channel();
    let call = HttpCall {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        answer,
        handle: shared.handle.clone(),
        patience: shared.config.idle_timeout,
        connection,
    };
    let busy = BusyConnection::new(shared, serial);
    if shared.calls.try_send(call).is_err() {
        return Ok(shared.config.busy.clone().into_response());
    }
    let mut response = match answered.await {
        Ok(response) => response,
        Err(_) => shared.config.dropped.clone().into_response(),
    };
    // The connection is busy until the last piece of the answer is sent.
    response.body_mut().hold(Box::new(busy));
    Ok(response)
}

/// Marks a connection as busy for as long as it lives.
struct BusyConnection {
    shared: Arc<ServerShared>,
    serial: u64,
}

impl BusyConnection {
    /// Marks the connection `serial`.
    fn new(shared: &Arc<ServerShared>, serial: u64) -> Self {
        shared.connections.set_busy(serial, true);
        Self {
            shared: Arc::clone(shared),
            serial,
        }
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.shared.connections.set_busy(self.serial, false);
    }
}

/// Reads a body within its bounds.
async fn read_body(body: Incoming, config: &HttpConfig) -> Result<Bytes, BodyFault> {
    let read = timeout(config.idle_timeout, collect_body(body, config.max_body)).await;
    read.unwrap_or_else(|_| Err(BodyFault::NotRead("it took too long".to_owned())))
}

/// Collects a body of at most `max_body` bytes.
///
/// A longer one is read on for a while and thrown away: a caller that is still
/// sending when the connection closes would lose the refusal.
async fn collect_body(mut body: Incoming, max_body: usize) -> Result<Bytes, BodyFault> {
    let mut collected = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyFault::NotRead(e.to_string()))?;
        let data = frame.data_ref().map(Bytes::as_ref).unwrap_or_default();
        length += data.len();
        if length <= max_body {
            collected.extend_from_slice(data);
        } else if length > max_body + MAX_DISCARDED_BYTES {
            break;
        }
    }
    match length > max_body {
        true => Err(BodyFault::TooLong(max_body)),
        false => Ok(collected.freeze()),
    }
}
