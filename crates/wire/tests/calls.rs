//! Calls between two ends over loopback.

use berylmount_model::RequestVerdict;
use berylmount_wire::{
    decode_frame, InboundCall, PeerClient, PeerServer, PeerService, WireConfig, WireFault,
    WireRuntime, WorkRequest,
};
use proptest::prelude::*;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        mpsc::{sync_channel, Receiver},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Longer than any wait that a passing test needs.
const LONG: Duration = Duration::from_secs(20);

/// A client and a server whose calls come out of a channel of `room` places.
fn pair(room: usize) -> (PeerClient, PeerServer, Receiver<InboundCall>) {
    let runtime = Arc::new(WireRuntime::start().unwrap());
    let (calls, inbound) = sync_channel(room);
    let config = WireConfig::default();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PeerServer::bind(Arc::clone(&runtime), config.clone(), any, calls).unwrap();
    (PeerClient::new(runtime, config), server, inbound)
}

#[test]
fn echoes_in_order_and_ends() {
    let (client, server, inbound) = pair(1);
    let echo = thread::spawn(move || {
        let InboundCall { service, call } = inbound.recv().unwrap();
        assert_eq!(service, PeerService::Probe);
        while let Ok(number) = call.receive::<u64>(LONG) {
            call.send(&number, LONG).unwrap();
            if number == 999 {
                break;
            }
        }
        call.finish();
    });
    let call = client
        .open(server.address(), PeerService::Probe, &0u64)
        .unwrap();
    for number in 1..1000u64 {
        call.send(&number, LONG).unwrap();
        assert_eq!(call.receive(LONG), Ok(number - 1));
    }
    assert_eq!(call.receive(LONG), Ok(999u64));
    assert_eq!(call.receive::<u64>(LONG), Err(WireFault::Ended));
    echo.join().unwrap();
}

#[test]
fn carries_large_messages_past_the_window() {
    let (client, server, inbound) = pair(1);
    let echo = thread::spawn(move || {
        let call = inbound.recv().unwrap().call;
        let text: String = call.receive(LONG).unwrap();
        call.send(&text, LONG).unwrap();
        call.finish();
    });
    let text = "word ".repeat(200_000);
    let call = client
        .open(server.address(), PeerService::Work, &text)
        .unwrap();
    assert_eq!(call.receive::<String>(LONG), Ok(text));
    echo.join().unwrap();
}

#[test]
fn a_dropped_call_is_lost_not_ended() {
    let (client, server, inbound) = pair(1);
    let call = client
        .open(server.address(), PeerService::Work, &1u8)
        .unwrap();
    let served = inbound.recv().unwrap().call;
    served.send(&2u8, LONG).unwrap();
    assert_eq!(call.receive(LONG), Ok(2u8));
    drop(served);
    assert!(matches!(call.receive::<u8>(LONG), Err(WireFault::Lost(_))));
}

#[test]
fn a_call_past_the_bound_did_not_run() {
    let (client, server, _inbound) = pair(1);
    let open = || {
        client
            .open(server.address(), PeerService::Work, &1u8)
            .unwrap()
    };
    let first = open();
    let second = open();
    let fault = second.receive::<u8>(LONG).unwrap_err();
    assert_eq!(fault.verdict(), RequestVerdict::NotRun, "{fault}");
    assert!(!first.is_closed());
}

/// Passes one connection after another to `target`; tells when a client ends one.
fn relay(target: SocketAddr) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (ended, ends) = sync_channel(8);
    thread::spawn(move || {
        for client in listener.incoming() {
            let (mut client, mut server) = (client.unwrap(), TcpStream::connect(target).unwrap());
            let (mut from, mut to) = (server.try_clone().unwrap(), client.try_clone().unwrap());
            thread::spawn(move || std::io::copy(&mut from, &mut to));
            let ended = ended.clone();
            thread::spawn(move || {
                let _ = std::io::copy(&mut client, &mut server);
                ended.send(()).unwrap();
            });
        }
    });
    (address, ends)
}

#[test]
fn an_idle_connection_ends_and_the_next_call_makes_another() {
    let (_, server, inbound) = pair(1);
    let (address, ends) = relay(server.address());
    let config = WireConfig {
        ping_interval: Duration::from_millis(5),
        idle_timeout: Duration::from_millis(20),
        ping_idle: false,
        ..WireConfig::default()
    };
    let client = PeerClient::new(Arc::new(WireRuntime::start().unwrap()), config);
    for round in 0..3u8 {
        let call = client.open(address, PeerService::Probe, &round).unwrap();
        let taken = inbound.recv_timeout(LONG).unwrap().call;
        assert_eq!(taken.receive(LONG), Ok(round));
        // The call is open for longer than the idle time.
        assert!(ends.recv_timeout(Duration::from_millis(100)).is_err());
        call.finish();
        taken.finish();
        assert!(ends.recv_timeout(LONG).is_ok());
    }
}

#[test]
fn an_absent_peer_was_not_reached() {
    let (client, server, _inbound) = pair(1);
    let address = server.address();
    drop(server);
    let open = || match client.open(address, PeerService::Work, &1u8) {
        Err(fault) => fault.verdict(),
        Ok(_) => RequestVerdict::MayHaveRun,
    };
    // The listener closes on the wire thread, soon after the drop. A connection
    // made before that may be reset with the call under way.
    let end = Instant::now() + LONG;
    while open() != RequestVerdict::NotRun {
        assert!(Instant::now() < end, "the listener does not close");
    }
    for _ in 0..10 {
        assert_eq!(open(), RequestVerdict::NotRun);
    }
}

/// Listens, accepts connections and never answers on them.
fn silent_listener() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let held: Vec<_> = listener.incoming().collect();
        drop(held);
    });
    address
}

#[test]
fn a_silent_peer_fails_the_call() {
    let (client, _server, _inbound) = pair(1);
    let address = silent_listener();
    let outcome = client
        .open(address, PeerService::Work, &1u8)
        .and_then(|call| call.receive::<u8>(LONG));
    assert!(matches!(outcome, Err(WireFault::Lost(_))), "{outcome:?}");
}

#[test]
fn bytes_that_are_no_h2_end_the_connection() {
    let (client, server, inbound) = pair(1);
    let mut stream = std::net::TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.write_all(&[0xff; 4096]).unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    let call = client
        .open(server.address(), PeerService::Work, &1u8)
        .unwrap();
    let served = inbound.recv().unwrap().call;
    assert_eq!(served.receive(LONG), Ok(1u8));
    drop(call);
}

proptest! {
    #[test]
    fn decoding_survives_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_frame::<WorkRequest>(&bytes);
    }

    #[test]
    fn a_length_of_absurd_size_allocates_nothing(tail in prop::collection::vec(any::<u8>(), 0..8)) {
        // A vector's length of nearly 2^64 in bincode's variable encoding.
        let mut bytes = vec![253, 255, 255, 255, 255, 255, 255, 255, 127];
        bytes.extend(tail);
        prop_assert!(decode_frame::<Vec<u64>>(&bytes).is_err());
    }
}
