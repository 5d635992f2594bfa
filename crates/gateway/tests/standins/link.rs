//! A network link to a runner that can be cut.

use super::{any_port, wait_until};
use socket2::{Domain, SockRef, Socket, Type};
use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use strum::{EnumIter, IntoStaticStr};

/// Backlog of the listener while the link works.
const OPEN_BACKLOG: i32 = 128;
/// Time between two checks of the state of the link.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time within which the kernel accepts a connection if the backlog has room.
const ACCEPT_TIME: Duration = Duration::from_millis(50);

/// What a cut does to the connections over the link.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LinkCut {
    /// Open connections fall silent, and new ones are not established.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections work, and new ones are refused.
    RefuseNew,
}

#[derive(Default)]
struct LinkState {
    cut: Option<LinkCut>,
    /// Connections that fill the backlog of the listener.
    fillers: Vec<TcpStream>,
    /// Directions of connections that are forwarded.
    forwarded: usize,
    /// Bytes forwarded so far.
    bytes: usize,
}

/// A link that forwards connections to one address.
pub(crate) struct CuttableLink {
    /// Where the link accepts connections.
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

impl CuttableLink {
    /// Starts a link to `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&any_port().into()).unwrap();
        socket.listen(OPEN_BACKLOG).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from(socket);
        let link = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let state = link.state.clone();
        thread::spawn(move || accept_connections(listener, target, &state));
        link
    }

    /// Cuts the link.
    pub(crate) fn cut(&self, cut: LinkCut) {
        self.state.lock().unwrap().cut = Some(cut);
        match cut {
            LinkCut::Hang => {
                // Once the backlog is full, the kernel drops the packets that open connections.
                while let Ok(filler) = TcpStream::connect_timeout(&self.address, ACCEPT_TIME) {
                    self.state.lock().unwrap().fillers.push(filler);
                }
            }
            LinkCut::Reset => wait_until("all connections reset", || self.is_refused(0)),
            LinkCut::RefuseNew => wait_until("connections refused", || self.is_refused(usize::MAX)),
        }
    }

    /// Returns the number of bytes forwarded so far.
    pub(crate) fn bytes(&self) -> usize {
        self.state.lock().unwrap().bytes
    }

    /// Whether new connections are refused and at most `max_forwarded` directions are left.
    fn is_refused(&self, max_forwarded: usize) -> bool {
        let connected = TcpStream::connect_timeout(&self.address, ACCEPT_TIME);
        connected.is_err() && self.state.lock().unwrap().forwarded <= max_forwarded
    }

    /// Ends a cut that made connections hang.
    pub(crate) fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        state.cut = None;
        state.fillers.clear();
    }
}

fn accept_connections(listener: TcpListener, target: SocketAddr, state: &Arc<Mutex<LinkState>>) {
    loop {
        thread::sleep(POLL_INTERVAL);
        let cut = state.lock().unwrap().cut;
        let options = SockRef::from(&listener);
        match cut {
            None => options.listen(OPEN_BACKLOG).unwrap(),
            Some(LinkCut::Hang) => {
                options.listen(0).unwrap();
                continue;
            }
            Some(LinkCut::Reset | LinkCut::RefuseNew) => return,
        }
        let Ok((socket, _)) = listener.accept() else {
            continue;
        };
        let runner = TcpStream::connect(target).unwrap();
        for (from, to) in [(&socket, &runner), (&runner, &socket)] {
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let state = state.clone();
            state.lock().unwrap().forwarded += 1;
            thread::spawn(move || {
                forward(from, to, &state);
                state.lock().unwrap().forwarded -= 1;
            });
        }
    }
}

/// Forwards bytes in one direction until the connection ends or the link is cut.
fn forward(mut from: TcpStream, mut to: TcpStream, state: &Mutex<LinkState>) {
    from.set_nonblocking(false).unwrap();
    from.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
    let mut buffer = [0u8; 4096];
    loop {
        let cut = state.lock().unwrap().cut;
        match cut {
            None | Some(LinkCut::RefuseNew) => {}
            Some(LinkCut::Hang) => {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            Some(LinkCut::Reset) => {
                for socket in [&from, &to] {
                    SockRef::from(socket)
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                }
                return;
            }
        }
        match from.read(&mut buffer) {
            Ok(0) => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(length) => {
                state.lock().unwrap().bytes += length;
                if to.write_all(&buffer[..length]).is_err() {
                    return;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
    }
}
