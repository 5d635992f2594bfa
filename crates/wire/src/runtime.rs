//! The thread that runs h2, and what both ends share.

use h2::{Ping, PingPong};
use std::{
    io,
    sync::{mpsc, Arc},
    thread,
    time::Duration,
};
use strum::{Display, EnumString, IntoStaticStr};
use tokio::{runtime::Handle, sync::oneshot, time};

/// The protocol version that this build speaks.
pub(crate) const PROTOCOL_VERSION: u32 = 1;

/// What a call is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PeerService {
    /// Callers' requests.
    Work,
    /// Membership probes.
    Probe,
    /// Table heads and shards.
    Table,
    /// The platform's list of instances, as last read.
    Instances,
}

impl PeerService {
    /// The path of the service in this protocol version.
    pub(crate) fn path(self) -> String {
        format!("/berylmount/{PROTOCOL_VERSION}/{self}")
    }

    /// The service that a path names, if it is one of this protocol version.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        let rest = path.strip_prefix("/berylmount/")?;
        let (version, name) = rest.split_once('/')?;
        if version.parse() != Ok(PROTOCOL_VERSION) {
            return None;
        }
        name.parse().ok()
    }
}

/// Time limits and bounds of connections between processes.
#[derive(Clone, Debug)]
pub struct WireConfig {
    /// Time limit to make a connection and open a stream.
    pub connect_timeout: Duration,
    /// Time between pings on a connection.
    pub ping_interval: Duration,
    /// Longest wait for a ping's answer before the connection is dropped.
    pub ping_timeout: Duration,
    /// Time after which a connection without calls is closed by its client.
    pub idle_timeout: Duration,
    /// Whether a client pings a connection without calls.
    ///
    /// It costs 70 bytes a ping for every connection, so a client that has many
    /// peers and may lose a call does without.
    pub ping_idle: bool,
    /// Calls that a server takes at once on one connection.
    pub max_calls: u32,
    /// Frames that wait in memory for each direction of a call.
    pub frames_waiting: usize,
}

impl Default for WireConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            ping_interval: Duration::from_millis(500),
            ping_timeout: Duration::from_millis(1_000),
            idle_timeout: Duration::from_secs(30),
            ping_idle: true,
            max_calls: 4_096,
            frames_waiting: 64,
        }
    }
}

/// The thread that runs every h2 connection of a process.
///
/// It ends when this value is dropped, and with it every connection.
#[derive(Debug)]
pub struct WireRuntime {
    /// Enters the runtime from other threads.
    handle: Handle,
    /// Ends the thread when dropped.
    _stop: oneshot::Sender<()>,
}

impl WireRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread or its runtime can't be made.
    pub fn start() -> io::Result<Self> {
        let (stop, stopped) = oneshot::channel::<()>();
        let (send_handle, handle) = mpsc::sync_channel(1);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        thread::Builder::new()
            .name("wire".to_owned())
            .spawn(move || {
                let _ = send_handle.send(runtime.handle().clone());
                // An error says that the sender was dropped: time to stop.
                let _ = runtime.block_on(stopped);
            })?;
        let handle = handle.recv().map_err(io::Error::other)?;
        Ok(Self {
            handle,
            _stop: stop,
        })
    }

    /// Enters the runtime.
    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }
}

/// Held by every call of a connection; the connection itself holds one.
pub(crate) type ConnectionUse = Arc<()>;

/// Whether a connection has no calls; `holders` hold its use without a call.
pub(crate) fn is_idle(in_use: &ConnectionUse, holders: usize) -> bool {
    Arc::strong_count(in_use) <= holders
}

/// Why a watched connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ConnectionEnd {
    /// It did not answer a ping in time.
    Silent,
    /// It had no calls for long.
    Idle,
}

/// Pings a connection until it falls silent or was idle for long.
///
/// `end_idle` says whether an idle connection may end; `holders` hold its use
/// without a call.
pub(crate) async fn watch_silence(
    mut pings: PingPong,
    config: WireConfig,
    in_use: ConnectionUse,
    holders: usize,
    end_idle: impl Fn() -> bool,
) -> ConnectionEnd {
    let mut idle = Duration::ZERO;
    loop {
        time::sleep(config.ping_interval).await;
        if is_idle(&in_use, holders) {
            idle += config.ping_interval;
            if idle >= config.idle_timeout && end_idle() {
                return ConnectionEnd::Idle;
            }
            if !config.ping_idle {
                continue;
            }
        } else {
            idle = Duration::ZERO;
        }
        let pong = time::timeout(config.ping_timeout, pings.ping(Ping::opaque())).await;
        if !matches!(pong, Ok(Ok(_))) {
            return ConnectionEnd::Silent;
        }
    }
}
