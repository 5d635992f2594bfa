//! The called end: accepts connections and hands calls to a bounded channel.
//!
//! A call that finds the channel full is refused before it is read, so the
//! caller knows that it did not run.

use crate::{
    runtime::{watch_silence, ConnectionUse},
    PeerCall, PeerService, WireConfig, WireRuntime,
};
use bytes::Bytes;
use h2::{server::SendResponse, Reason, RecvStream};
use http::{Request, Response, StatusCode};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        mpsc::{SyncSender, TrySendError},
        Arc,
    },
};
use tokio::{net::TcpStream, sync::oneshot};

/// Holders of a connection's use that are no calls: its server, its watch.
const IDLE_HOLDERS: usize = 2;

/// Idle time after which a server ends a connection, over that of a client.
const SERVER_IDLE_FACTOR: u32 = 4;

/// A call that came in.
#[derive(Debug)]
pub struct InboundCall {
    /// What it is for.
    pub service: PeerService,
    /// The call; its first message has not been received.
    pub call: PeerCall,
}

/// Accepts calls from other processes.
///
/// It stops accepting when dropped; calls already taken go on.
#[derive(Debug)]
pub struct PeerServer {
    /// Where it listens.
    address: SocketAddr,
    /// Ends the accepting task when dropped.
    _stop: oneshot::Sender<()>,
}

/// What the tasks of a server share.
struct ServerShared {
    /// Runs the connections.
    runtime: Arc<WireRuntime>,
    /// Time limits and bounds.
    config: WireConfig,
    /// Takes the calls.
    calls: SyncSender<InboundCall>,
}

impl PeerServer {
    /// Listens at `address` and sends every call to `calls`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be listened at.
    pub fn bind(
        runtime: Arc<WireRuntime>,
        config: WireConfig,
        address: SocketAddr,
        calls: SyncSender<InboundCall>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel::<()>();
        let handle = runtime.handle().clone();
        let shared = Arc::new(ServerShared {
            runtime,
            config,
            calls,
        });
        let listener = {
            let _context = handle.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        handle.spawn(async move {
            tokio::select! {
                () = accept_connections(&listener, shared) => {}
                _ = stopped => {}
            }
        });
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
async fn accept_connections(listener: &tokio::net::TcpListener, shared: Arc<ServerShared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&shared)));
            }
            Err(e) => {
                log::warn!(target: "wire", "accepting a connection failed: {e}");
                tokio::time::sleep(shared.config.ping_interval).await;
            }
        }
    }
}

/// Serves one connection until it ends or falls silent.
async fn serve_connection(stream: TcpStream, shared: Arc<ServerShared>) {
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(shared.config.max_calls);
    let handshake = tokio::time::timeout(
        shared.config.connect_timeout,
        builder.handshake::<_, Bytes>(stream),
    );
    let Ok(Ok(mut connection)) = handshake.await else {
        return;
    };
    let Some(pings) = connection.ping_pong() else {
        return;
    };
    let in_use = ConnectionUse::default();
    // The client ends an idle connection; this is for one that is gone.
    let config = WireConfig {
        idle_timeout: SERVER_IDLE_FACTOR * shared.config.idle_timeout,
        ping_idle: false,
        ..shared.config.clone()
    };
    let silence = watch_silence(pings, config, Arc::clone(&in_use), IDLE_HOLDERS, || true);
    tokio::pin!(silence);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            _ = &mut silence => return,
        };
        match accepted {
            Some(Ok((request, respond))) => take_call(request, respond, &shared, &in_use),
            Some(Err(_)) | None => return,
        }
    }
}

/// Hands one call to the channel, or refuses it.
fn take_call(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: &ServerShared,
    in_use: &ConnectionUse,
) {
    let Some(service) = PeerService::from_path(request.uri().path()) else {
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::NOT_FOUND;
        let _ = respond.send_response(response, true);
        return;
    };
    let Ok(send) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let body = request.into_body();
    let call = PeerCall::start(
        shared.runtime.handle(),
        &shared.config,
        send,
        Arc::clone(in_use),
        std::future::ready(Ok(body)),
    );
    let sent = shared.calls.try_send(InboundCall { service, call });
    if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = sent {
        respond.send_reset(Reason::REFUSED_STREAM);
    }
}
