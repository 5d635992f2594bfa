//! Tunnels to runners through other instances.
//!
//! An instance without a path to a service opens a connection to one that has it, and names a
//! runner. That instance connects to the runner and forwards the bytes of both directions. All
//! decisions about a request stay with the first instance, so that limits, retries and
//! reservations count once, and a tunnel is never relayed again.
//!
//! The bytes towards the client are sent in frames, because the end of a tunnel must not be
//! taken for the end of a response.

use crate::{
    callers::LINGER_TIME,
    clock::boot_ms,
    evacuations::is_evacuated,
    exclusions::is_excluded,
    peer_link::{
        read_message, send_message, write_encoded, PullFault, PullRequest, TunnelRefusal,
        TunnelReply,
    },
    peers::{PeerMessage, TunnelledNotice},
    reachability::choose_relay,
    runner_registry::{ConnectionSlot, RunnerHandle},
    state::GatewayState,
    upstream::CONNECT_TIMEOUT,
};
use berylmount_adapter::request_headers::RunnerNotice;
use berylmount_fleet::HomeRegions;
use berylmount_h1::{
    detect_dead_peer, end_frame, frame_head, H1Stream, PeerRole, StreamEnd, MAX_FRAME_BYTES,
};
use berylmount_telemetry::CounterMetric;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{copy, sink, AsyncReadExt, AsyncWriteExt},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpStream,
    },
    task::spawn_local,
    time::timeout,
};

/// Time limit for opening a tunnel; the other instance connects to the runner within it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// Number of instances that are asked for one tunnel.
const MAX_RELAYS_ASKED: usize = 2;
/// Tunnels for other instances may use the descriptors of the machine divided by this, and two
/// each.
const DESCRIPTOR_DIVISOR: u64 = 16;
/// Minimum number of tunnels that are allowed.
const MIN_TUNNELS: u64 = 16;

/// Why no tunnel could be opened; nothing was sent to the runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TunnelFault {
    /// The runner does not accept a connection from the other instance.
    RunnerUnreachable,
    /// The other instance must not send requests to the runner.
    RunnerRefused,
    /// No other instance could be reached.
    NoRelay,
}

/// Opens a tunnel to a runner; returns it with the address of the instance that relays.
pub(crate) async fn open_tunnel(
    state: &GatewayState,
    runner: &RunnerHandle,
    homes: &HomeRegions,
) -> Result<(H1Stream, SocketAddr), TunnelFault> {
    let service = runner.record().service.clone();
    for _ in 0..MAX_RELAYS_ASKED {
        let relay = choose_relay(state, &service, homes).ok_or(TunnelFault::NoRelay)?;
        let asked = ask_for_tunnel(relay, runner.limit_key());
        let fault = match timeout(OPEN_TIMEOUT, asked).await {
            Ok(Ok((socket, TunnelReply::Open))) => {
                count_tunnel(state, "open");
                state.service_paths.note_tunnel();
                return Ok((H1Stream::tunnelled(socket), relay));
            }
            Ok(Ok((_, TunnelReply::Refused(refusal)))) => {
                count_tunnel(state, "refused");
                match refusal {
                    TunnelRefusal::RunnerUnreachable => return Err(TunnelFault::RunnerUnreachable),
                    TunnelRefusal::RunnerRefused => return Err(TunnelFault::RunnerRefused),
                    TunnelRefusal::Busy | TunnelRefusal::Draining => refusal.to_string(),
                }
            }
            Ok(Err(fault)) => fault.to_string(),
            Err(_) => PullFault::TimedOut.to_string(),
        };
        count_tunnel(state, "failed");
        log::warn!(target: "tunnels", relay:%, fault; "could not open a tunnel");
        state.service_paths.pause_relay(relay);
    }
    Err(TunnelFault::NoRelay)
}

fn count_tunnel(state: &GatewayState, outcome: &'static str) {
    state.metrics.add(CounterMetric::TunnelsTotal, outcome, 1);
}

async fn ask_for_tunnel(
    relay: SocketAddr,
    runner: u64,
) -> Result<(TcpStream, TunnelReply), PullFault> {
    let mut socket = TcpStream::connect(relay).await?;
    detect_dead_peer(&socket, PeerRole::Server);
    write_encoded(&mut socket, &PullRequest::Tunnel(runner)).await?;
    let reply = read_message(&mut socket).await?;
    Ok((socket, reply))
}

/// Serves a tunnel to the runner with this key of its start.
pub(crate) async fn serve_tunnel(
    state: &GatewayState,
    mut client: TcpStream,
    runner: u64,
) -> Result<(), PullFault> {
    // A runner should not work on for long for an instance that is gone.
    detect_dead_peer(&client, PeerRole::Server);
    let slot = ConnectionSlot::take(&state.tunnels);
    let opened = match refusal_of(state) {
        Some(refusal) => Err(refusal),
        None => connect_for(state, runner).await,
    };
    let reply = match &opened {
        Ok(_) => TunnelReply::Open,
        Err(refusal) => TunnelReply::Refused(*refusal),
    };
    write_encoded(&mut client, &reply).await?;
    if let Ok(socket) = opened {
        count_tunnel(state, "served");
        forward(client, socket).await;
    }
    drop(slot);
    Ok(())
}

/// Returns why this instance opens no tunnel at all, if that is so. The tunnel in question is
/// counted already.
fn refusal_of(state: &GatewayState) -> Option<TunnelRefusal> {
    let descriptors = state.settings().machine.descriptors;
    let max_tunnels = (descriptors / DESCRIPTOR_DIVISOR).max(MIN_TUNNELS);
    if state.is_draining() {
        Some(TunnelRefusal::Draining)
    } else if u64::from(state.tunnels.get()) > max_tunnels {
        Some(TunnelRefusal::Busy)
    } else {
        None
    }
}

/// Connects to a runner for another instance.
async fn connect_for(state: &GatewayState, runner: u64) -> Result<TcpStream, TunnelRefusal> {
    let found = state.runners.borrow().find_start(runner);
    let now_ms = boot_ms();
    let may_send = |runner: &Rc<RunnerHandle>| {
        runner.takes_requests()
            && runner.backoff_left(now_ms).is_none()
            && !is_excluded(state, runner, now_ms)
            && !is_evacuated(state, runner)
    };
    let runner = found.filter(may_send).ok_or(TunnelRefusal::RunnerRefused)?;
    let record = runner.record();
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(record.address)).await;
    let opened = connected.ok().and_then(Result::ok);
    let path = state.service_paths.of(&record.service);
    path.note_connection(&runner, opened.is_some());
    let socket = opened.ok_or(TunnelRefusal::RunnerUnreachable)?;
    detect_dead_peer(&socket, PeerRole::Server);
    Ok(socket)
}

/// Forwards the bytes of both directions until the client closes the tunnel or the runner its
/// connection.
async fn forward(client: TcpStream, runner: TcpStream) {
    let (mut client_reader, client_writer) = client.into_split();
    let (runner_reader, mut runner_writer) = runner.into_split();
    let has_failed = Cell::new(false);
    let requests = async {
        let copied = copy(&mut client_reader, &mut runner_writer).await;
        if copied.is_err() {
            has_failed.set(true);
            // The runner takes nothing more, but may have responded. Only the client's close
            // ends the tunnel.
            let _ = copy(&mut client_reader, &mut sink()).await;
        }
    };
    tokio::select! {
        () = requests => return,
        () = forward_responses(runner_reader, client_writer, &has_failed) => {}
    }
    // A connection that is closed while bytes arrive is reset, and the client may lose a
    // response that it has not read.
    let _ = timeout(LINGER_TIME, copy(&mut client_reader, &mut sink())).await;
}

/// Forwards what a runner sends, in frames, with the end of its stream. `has_failed` tells whether
/// writing to the runner has failed: the kernel reports a reset once, and then the end of the stream.
async fn forward_responses(
    mut runner: OwnedReadHalf,
    mut client: OwnedWriteHalf,
    has_failed: &Cell<bool>,
) {
    let head_bytes = frame_head(1).len();
    let mut frame = vec![0u8; head_bytes + MAX_FRAME_BYTES];
    let end = loop {
        let length = match runner.read(&mut frame[head_bytes..]).await {
            Ok(0) if has_failed.get() => break StreamEnd::Lost,
            Ok(0) => break StreamEnd::Closed,
            Ok(length) => length,
            Err(_) => break StreamEnd::Lost,
        };
        frame[..head_bytes].copy_from_slice(&frame_head(length));
        if client
            .write_all(&frame[..head_bytes + length])
            .await
            .is_err()
        {
            return;
        }
    };
    // An error means that the client has gone.
    if client.write_all(&end_frame(end)).await.is_ok() {
        let _ = client.shutdown().await;
    }
}

/// Tells an instance that relays what a runner has announced in a response through it, because
/// the runner takes that instance for the sender.
pub(crate) fn pass_notice(
    state: &GatewayState,
    relay: SocketAddr,
    runner: &RunnerHandle,
    notice: &RunnerNotice,
) {
    if !notice.is_draining && notice.retry_after.is_none() {
        return;
    }
    let message = PeerMessage::RunnerNotice(TunnelledNotice {
        runner: runner.limit_key(),
        is_draining: notice.is_draining,
        backoff: notice.retry_after,
    });
    let Some(socket) = state.peer_socket.get().cloned() else {
        return;
    };
    spawn_local(async move { send_message(&socket, &[relay], &message).await });
}

/// Applies what a runner has announced in a response through a tunnel of this instance.
pub(crate) fn note_tunnelled(state: &GatewayState, notice: &TunnelledNotice) {
    let found = state.runners.borrow().find_start(notice.runner);
    let Some(runner) = found else {
        return log::info!(target: "tunnels", runner = notice.runner; "ignored the notice of an unknown runner");
    };
    let notice = RunnerNotice {
        is_draining: notice.is_draining,
        retry_after: notice.backoff,
        ..RunnerNotice::default()
    };
    runner.note_notice(notice, boot_ms());
}
