//! The calling end: one connection for each peer, made on demand.

use crate::{
    call::stream_fault,
    runtime::{is_idle, watch_silence, ConnectionEnd, ConnectionUse, PROTOCOL_VERSION},
    PeerCall, PeerService, WireConfig, WireFault, WireRuntime,
};
use bytes::Bytes;
use h2::{client::SendRequest, RecvStream, SendStream};
use http::{Request, StatusCode};
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{net::TcpStream, time};

/// The peer's answer to an opened stream, still to come.
type ResponseFuture = h2::client::ResponseFuture;

/// A live connection.
#[derive(Clone)]
struct PeerConnection {
    /// The peer.
    address: SocketAddr,
    /// Tells connections to one peer apart.
    serial: u64,
    /// Opens streams.
    sender: SendRequest<Bytes>,
    /// Held by its calls.
    in_use: ConnectionUse,
}

/// Holders of a listed connection's use that are no calls: the list, the watch.
const IDLE_HOLDERS: usize = 2;

/// The connections of a process, sorted by address.
#[derive(Default)]
struct ConnectionList {
    /// Live connections.
    connections: Vec<PeerConnection>,
    /// The last serial given out.
    serial: u64,
}

impl ConnectionList {
    /// The connection to `address`, if there is one.
    fn find(&self, address: SocketAddr) -> Option<PeerConnection> {
        let slot = self.slot(address).ok()?;
        Some(self.connections[slot].clone())
    }

    /// Where the connection to `address` is or would be.
    fn slot(&self, address: SocketAddr) -> Result<usize, usize> {
        self.connections
            .binary_search_by_key(&address, |connection| connection.address)
    }

    /// Adds a connection in place of an older one to the same peer.
    fn insert(
        &mut self,
        address: SocketAddr,
        sender: SendRequest<Bytes>,
        in_use: ConnectionUse,
    ) -> u64 {
        self.serial += 1;
        let connection = PeerConnection {
            address,
            serial: self.serial,
            sender,
            in_use,
        };
        match self.slot(address) {
            Ok(slot) => self.connections[slot] = connection,
            Err(slot) => self.connections.insert(slot, connection),
        }
        self.serial
    }

    /// Removes the connection `serial` if it has no calls; says whether it did.
    ///
    /// Nobody can find it afterwards, so no call is lost when it ends.
    fn remove_idle(&mut self, address: SocketAddr, serial: u64) -> bool {
        let Some(connection) = self.find(address) else {
            return true;
        };
        // The copy found just now is one more holder.
        let idle = is_idle(&connection.in_use, IDLE_HOLDERS + 1);
        if connection.serial == serial && idle {
            self.remove(address, serial);
        }
        connection.serial != serial || idle
    }

    /// Removes the connection `serial` to `address`, if it is still listed.
    fn remove(&mut self, address: SocketAddr, serial: u64) {
        if let Ok(slot) = self.slot(address) {
            if self.connections[slot].serial == serial {
                self.connections.remove(slot);
            }
        }
    }
}

/// Opens calls to other processes.
#[derive(Clone)]
pub struct PeerClient {
    /// Runs the connections.
    runtime: Arc<WireRuntime>,
    /// Time limits and bounds.
    config: WireConfig,
    /// Live connections.
    list: Arc<Mutex<ConnectionList>>,
}

impl PeerClient {
    /// Makes a client whose connections run on `runtime`.
    pub fn new(runtime: Arc<WireRuntime>, config: WireConfig) -> Self {
        Self {
            runtime,
            config,
            list: Arc::default(),
        }
    }

    /// Opens a call to `service` at `address` and sends `first`.
    ///
    /// # Errors
    ///
    /// Returns [`WireFault::NotSent`] if the peer was certainly not reached,
    /// another fault if `first` may have reached it.
    pub fn open<M: Serialize>(
        &self,
        address: SocketAddr,
        service: PeerService,
        first: &M,
    ) -> Result<PeerCall, WireFault> {
        let handle = self.runtime.handle();
        let opened = handle.block_on(async {
            time::timeout(
                self.config.connect_timeout,
                self.open_stream(address, service),
            )
            .await
        });
        let (response, send, in_use) = match opened {
            Ok(opened) => opened?,
            Err(_) => return Err(WireFault::NotSent("no connection in time".to_owned())),
        };
        let response = receive_stream(response);
        let call = PeerCall::start(handle, &self.config, send, in_use, response);
        call.send(first, self.config.connect_timeout)?;
        Ok(call)
    }

    /// Opens a stream on the peer's connection, or on a new one.
    async fn open_stream(
        &self,
        address: SocketAddr,
        service: PeerService,
    ) -> Result<(ResponseFuture, SendStream<Bytes>, ConnectionUse), WireFault> {
        let listed = self.list().find(address);
        if let Some(connection) = listed {
            let opened = request_stream(connection.sender, service).await;
            if let Ok((response, send)) = opened {
                return Ok((response, send, connection.in_use));
            }
            self.list().remove(address, connection.serial);
        }
        let (sender, in_use) = self.connect(address).await?;
        let opened = request_stream(sender, service).await;
        let (response, send) = opened.map_err(|e| WireFault::NotSent(e.to_string()))?;
        Ok((response, send, in_use))
    }

    /// Connects to `address` and lists the connection.
    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<(SendRequest<Bytes>, ConnectionUse), WireFault> {
        let not_sent = |text: String| WireFault::NotSent(text);
        let stream = TcpStream::connect(address)
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, mut connection) = h2::client::handshake(stream)
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let pings = connection.ping_pong();
        let in_use = ConnectionUse::default();
        let watched = Arc::clone(&in_use);
        let serial = {
            let in_use = Arc::clone(&in_use);
            self.list().insert(address, sender.clone(), in_use)
        };
        let list = Arc::clone(&self.list);
        let config = self.config.clone();
        tokio::spawn(async move {
            let end_idle = || lock_list(&list).remove_idle(address, serial);
            let silence = async {
                match pings {
                    Some(pings) => {
                        watch_silence(pings, config, watched, IDLE_HOLDERS, end_idle).await
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = connection => {}
                end = silence => match end {
                    ConnectionEnd::Idle => {}
                    ConnectionEnd::Silent => {
                        log::warn!(target: "wire", "connection to {address} is silent; dropping it");
                    }
                },
            }
            lock_list(&list).remove(address, serial);
        });
        Ok((sender, in_use))
    }

    /// Locks the connections.
    fn list(&self) -> MutexGuard<'_, ConnectionList> {
        lock_list(&self.list)
    }
}

/// Locks the connections; a panic elsewhere leaves the list whole.
fn lock_list(list: &Mutex<ConnectionList>) -> MutexGuard<'_, ConnectionList> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens a stream to `service` on a connection.
async fn request_stream(
    sender: SendRequest<Bytes>,
    service: PeerService,
) -> Result<(ResponseFuture, SendStream<Bytes>), h2::Error> {
    let mut request = Request::new(());
    *request.method_mut() = http::Method::POST;
    if let Ok(uri) = format!("http://peer{}", service.path()).parse() {
        *request.uri_mut() = uri;
    }
    sender.ready().await?.send_request(request, false)
}

/// Waits for the peer to take the stream.
async fn receive_stream(response: ResponseFuture) -> Result<RecvStream, WireFault> {
    let response = response.await.map_err(|e| stream_fault(&e))?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::NOT_FOUND => Err(WireFault::Version(PROTOCOL_VERSION)),
        status => Err(WireFault::NotSent(format!("the peer answered {status}"))),
    }
}
