//! A TCP proxy that injects faults between two ends.
//!
//! It delays, refuses, cuts, drops one direction, freezes existing connections
//! for good while new ones work, and loses the rest of answers after a number
//! of bytes.

use crate::serve::{reply, serve_forever, HttpServer};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// The faults that hold for every connection until they are changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Delay of each chunk in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Whether new connections are closed at once.
    pub refuse: bool,
    /// Whether bytes from the client are dropped.
    pub drop_requests: bool,
    /// Whether bytes from the target are dropped.
    pub drop_answers: bool,
    /// Bytes of answers that each new connection lets through; none for all.
    pub answer_bytes: Option<usize>,
}

/// Which end a copy reads from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CopyDirection {
    Requests,
    Answers,
}

/// Both ends of one connection; kept so that a frozen one stays open.
#[derive(Debug)]
struct ProxyLink {
    id: u64,
    client: TcpStream,
    target: TcpStream,
}

#[derive(Debug, Default)]
struct ProxyState {
    faults: ProxyFaults,
    links: Vec<ProxyLink>,
    next_id: u64,
    /// Connections with a smaller number carry nothing any more.
    frozen_before: u64,
}

/// The state shared by the copying threads.
#[derive(Debug)]
struct ProxyShared {
    target: Mutex<SocketAddr>,
    stopping: AtomicBool,
    state: Mutex<ProxyState>,
}

impl ProxyShared {
    fn lock(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it stands before now.
    fn target(&self) -> SocketAddr {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes both ends of every connection.
    fn cut(&self) {
        for link in self.lock().links.drain(..) {
            link.client.shutdown(Shutdown::Both).ok();
            link.target.shutdown(Shutdown::Both).ok();
        }
    }

    /// Stops every present connection from carrying anything, for good.
    fn freeze(&self) {
        let mut state = self.lock();
        state.frozen_before = state.next_id;
    }

    /// Joins `client` to the target.
    fn join(self: &Arc<Self>, client: TcpStream) -> io::Result<()> {
        if self.lock().faults.refuse {
            return Ok(());
        }
        let target = TcpStream::connect(self.target())?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        let answer_bytes = state.faults.answer_bytes;
        let copies = [
            (
                CopyDirection::Requests,
                client.try_clone()?,
                target.try_clone()?,
                None,
            ),
            (
                CopyDirection::Answers,
                target.try_clone()?,
                client.try_clone()?,
                answer_bytes,
            ),
        ];
        state.links.push(ProxyLink { id, client, target });
        drop(state);
        for (direction, from, to, room) in copies {
            let shared = Arc::clone(self);
            thread::spawn(move || shared.copy(id, direction, from, to, room));
        }
        Ok(())
    }

    /// Copies one direction until an end closes.
    fn copy(
        &self,
        id: u64,
        direction: CopyDirection,
        mut from: TcpStream,
        mut to: TcpStream,
        mut room: Option<usize>,
    ) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let (faults, frozen) = {
                let state = self.lock();
                (state.faults, id < state.frozen_before)
            };
            if frozen {
                // The ends learn nothing; the link stays open in the list.
                return;
            }
            if count == 0 {
                break;
            }
            thread::sleep(Duration::from_millis(faults.delay_ms));
            let dropped = match direction {
                CopyDirection::Requests => faults.drop_requests,
                CopyDirection::Answers => faults.drop_answers,
            };
            let passed = if dropped {
                0
            } else {
                room.unwrap_or(count).min(count)
            };
            room = room.map(|room| room - passed.min(room));
            if to.write_all(&buffer[..passed]).is_err() {
                break;
            }
        }
        to.shutdown(Shutdown::Write).ok();
        if direction == CopyDirection::Answers {
            self.lock().links.retain(|link| link.id != id);
        }
    }
}

/// A running fault proxy; dropping it closes every connection.
pub struct FaultProxy {
    shared: Arc<ProxyShared>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Starts a proxy in front of `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target)
    }

    /// Starts a proxy on `listen` in front of `target`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start_at(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(ProxyShared {
            target: Mutex::new(target),
            stopping: AtomicBool::new(false),
            state: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        let thread = thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if accepting.stopping.load(Ordering::Relaxed) {
                    break;
                }
                accepting.join(client).ok();
            }
        });
        Ok(Self {
            shared,
            address,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stands before another target from now on.
    pub fn retarget(&self, target: SocketAddr) {
        let current = self.shared.target.lock();
        *current.unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Sets the faults that hold from now on.
    pub fn set(&self, faults: ProxyFaults) {
        self.shared.lock().faults = faults;
    }

    /// Closes both ends of every connection.
    pub fn cut(&self) {
        self.shared.cut();
    }

    /// Freezes every present connection for good; new ones work.
    pub fn freeze(&self) {
        self.shared.freeze();
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        TcpStream::connect(self.address).ok();
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
        self.shared.cut();
    }
}

/// Runs a proxy until the process ends.
///
/// It prints its address and then the address of its admin port, which takes
/// `POST /set` with [`ProxyFaults`], `POST /cut` and `POST /freeze`.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub fn run_proxy(listen: SocketAddr, target: SocketAddr, admin: SocketAddr) -> io::Result<()> {
    let proxy = FaultProxy::start_at(listen, target)?;
    println!("{}", proxy.address());
    let shared = Arc::clone(&proxy.shared);
    let server = HttpServer::start(admin, move |call, request| {
        match call.path.as_str() {
            "/set" => match serde_json::from_slice(&call.body) {
                Ok(faults) => shared.lock().faults = faults,
                Err(_) => return reply(request, 400, &json!({})),
            },
            "/cut" => shared.cut(),
            "/freeze" => shared.freeze(),
            _ => return reply(request, 404, &json!({})),
        }
        reply(request, 200, &json!({}));
    })?;
    serve_forever(server.address())
}
