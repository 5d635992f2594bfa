//! Measures membership between real processes over loopback.
//!
//! `cargo run --release -p berylmount-peers --example processes [SIZE...]`
//! starts SIZE processes, lets them settle, and prints for one process bytes a
//! second as encoded, processor time and resident memory. It then prints what
//! the framing of h2 adds to a probe, counted by a relay.

#![allow(clippy::unwrap_used)]

#[path = "../tests/node/mod.rs"]
mod node;

use berylmount_peers::BoardConfig;
use berylmount_wire::{encode_frame, PeerClient, PeerServer, PeerService, WireConfig, WireRuntime};
use node::{run_child, ChildNode, NODE_VARIABLE};
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::sync_channel,
        Arc,
    },
    thread,
    time::Duration,
};

/// Time to settle, and then to measure.
const SETTLE: Duration = Duration::from_secs(15);
const MEASURE: Duration = Duration::from_secs(20);

/// Clock ticks a second of `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor seconds of a process.
fn cpu_seconds(id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<_> = text
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident memory of a process in KiB.
fn resident_kib(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Sum of the values of a metric on a page.
fn metric(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines
        .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
        .sum()
}

fn measure(count: usize) {
    let mut children: Vec<ChildNode> = Vec::new();
    for number in 0..count {
        let seeds: Vec<_> = children
            .iter()
            .rev()
            .take(3)
            .map(|child| child.address)
            .collect();
        children.push(ChildNode::start(number, &seeds, &[]));
    }
    let started = children.len() as f64;
    thread::sleep(SETTLE);
    let ids: Vec<_> = children.iter().map(|child| child.child.id()).collect();
    let before: f64 = ids.iter().map(|id| cpu_seconds(*id)).sum();
    thread::sleep(MEASURE);
    let after: f64 = ids.iter().map(|id| cpu_seconds(*id)).sum();
    let memory = ids.iter().map(|id| resident_kib(*id)).max().unwrap();
    let cpu = 100.0 * (after - before) / (MEASURE.as_secs_f64() * started);
    let seconds = (SETTLE + MEASURE).as_secs_f64();
    let pages: Vec<_> = children.into_iter().map(ChildNode::finish).collect();
    let mean =
        |name: &str| pages.iter().map(|page| metric(page, name)).sum::<f64>() / (started * seconds);
    let bytes = mean("berylmount_peer_bytes_total");
    let probes = mean("berylmount_peer_probes_total");
    let failed: f64 = pages
        .iter()
        .map(|page| metric(page, "berylmount_peer_probes_total{outcome=\"failed\"}"))
        .sum();
    println!("| {count} | {bytes:.0} | {probes:.2} | {failed} | {cpu:.2} | {memory} |");
}

/// Copies until the end, counting bytes.
fn copy(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicU64) {
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        bytes.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
}

/// Prints TCP payload of the first and of a later exchange on a connection.
fn measure_framing() {
    let runtime = Arc::new(WireRuntime::start().unwrap());
    let (calls, inbound) = sync_channel(8);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PeerServer::bind(Arc::clone(&runtime), WireConfig::default(), any, calls).unwrap();
    thread::spawn(move || {
        for call in inbound.into_iter().map(|inbound| inbound.call) {
            let text: String = call.receive(MEASURE).unwrap();
            call.send(&text, MEASURE).unwrap();
            call.finish();
        }
    });
    let listener = TcpListener::bind(any).unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&bytes);
    thread::spawn(move || {
        let client = listener.accept().unwrap().0;
        let server = TcpStream::connect(server.address()).unwrap();
        let (from, to) = (server.try_clone().unwrap(), client.try_clone().unwrap());
        let answers = Arc::clone(&counted);
        thread::spawn(move || copy(from, to, &answers));
        copy(client, server, &counted);
    });
    let config = WireConfig {
        ping_idle: false,
        ..WireConfig::default()
    };
    let client = PeerClient::new(runtime, config);
    let text = "x".repeat(300);
    let payload = 2 * encode_frame(&text).unwrap().len() as u64;
    let mut before = 0;
    for exchange in ["first", "second", "third"] {
        let call = client.open(address, PeerService::Probe, &text).unwrap();
        call.receive::<String>(MEASURE).unwrap();
        call.finish();
        thread::sleep(Duration::from_millis(200));
        let now = bytes.load(Ordering::Relaxed);
        println!(
            "{exchange} exchange: {} bytes besides the messages",
            now - before - payload
        );
        before = now;
    }
}

fn main() {
    if let Ok(text) = std::env::var(NODE_VARIABLE) {
        run_child(&text, BoardConfig::default());
        return;
    }
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    println!("| processes | bytes/s as encoded | probes/s | failed | processor, % of a core | memory, KiB, largest |");
    println!("|{}", " --- |".repeat(6));
    sizes.into_iter().for_each(measure);
    measure_framing();
}
