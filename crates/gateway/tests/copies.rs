//! Copies of a huge table that many instances pull from one.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{all_routes, route, table, StandinStore, TestGateway};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Routes of the huge table.
const ROUTES: u64 = 2500;
const PULLS: usize = 40;
/// Largest number of copies that may be sent at a time.
const MAX_COPIES: usize = 8;
/// A request for all objects of the table, with its length.
const PULL_TABLE: [u8; 8] = [0, 0, 0, 4, 0, 0, 0, 0];

/// Starts to pull the table and does not read the reply.
fn begin_pull(address: SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.write_all(&PULL_TABLE).unwrap();
    socket
}

/// Reads the length of a reply; 0 if the instance is busy.
fn reply_length(socket: &mut TcpStream) -> usize {
    let mut length = [0; 4];
    socket.read_exact(&mut length).unwrap();
    u32::from_be_bytes(length) as usize
}

#[test]
fn an_instance_sends_few_copies_of_a_huge_table_at_a_time() {
    let store = StandinStore::start();
    let mut routes = all_routes();
    routes.extend((0..ROUTES).map(|number| route(&format!("/r{number}/"), "safe", 2, false)));
    store.put("config", "main", Some(table(1, routes)));
    let gateway = TestGateway::start_with(store, "i1");
    gateway.wait_ready();
    let address = gateway.settings.peer_address();
    let mut pulls: Vec<TcpStream> = (0..PULLS).map(|_| begin_pull(address)).collect();
    thread::sleep(Duration::from_millis(100));
    let lengths: Vec<usize> = pulls.iter_mut().map(reply_length).collect();
    let copies = lengths.iter().filter(|length| **length > 0).count();
    assert!(
        (1..=MAX_COPIES).contains(&copies),
        "{copies} copies at a time"
    );
    // Later pulls get a copy once the first ones have ended.
    for (socket, length) in pulls.iter_mut().zip(lengths) {
        let mut copy = vec![0; length];
        socket.read_exact(&mut copy).unwrap();
    }
    drop(pulls);
    let length = reply_length(&mut begin_pull(address));
    assert!(length > 100_000, "{length} bytes");
}
