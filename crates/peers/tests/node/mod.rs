//! A process that runs membership over loopback, and its start from a parent.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use berylmount_model::{unix_ms, DataCentre, InstanceName, InstanceRole, MonotonicClock};
use berylmount_peers::{
    feed_table, newer_member, process_report, pull_table, serve_table, BoardConfig, LoadLevel,
    MembershipParts, PeerHealth, PeerMembership, PeerRecord,
};
use berylmount_table::TableReplica;
use berylmount_telemetry::MetricSet;
use berylmount_wire::{InboundCall, PeerClient, PeerServer, PeerService, WireConfig, WireRuntime};
use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc::sync_channel,
        Arc,
    },
    thread,
    time::Duration,
};

/// Tells a child its number and the addresses of its seeds.
pub const NODE_VARIABLE: &str = "BERYLMOUNT_TEST_NODE";

/// Before a child's address on its standard output.
const ADDRESS_MARK: &str = "listening at ";

pub struct LocalNode {
    pub membership: Arc<PeerMembership>,
    pub metrics: Arc<MetricSet>,
    pub table: Arc<TableReplica>,
    pub clock: MonotonicClock,
    pub address: SocketAddr,
    /// While it is set, the node answers nobody, as a process that has ended.
    pub silent: Arc<AtomicBool>,
    _server: PeerServer,
}

pub fn node_name(number: usize) -> InstanceName {
    InstanceName::new(&format!(
        "region{}-dc{:02}-{number:03}/entry",
        number % 4,
        number % 13
    ))
    .unwrap()
}

/// Starts membership with a server of its own.
pub fn start_node(number: usize, seeds: Vec<SocketAddr>, config: BoardConfig) -> LocalNode {
    let runtime = Arc::new(WireRuntime::start().unwrap());
    let (calls, inbound) = sync_channel::<InboundCall>(64);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PeerServer::bind(Arc::clone(&runtime), WireConfig::default(), any, calls).unwrap();
    let address = server.address();
    let metrics = Arc::new(MetricSet::new().unwrap());
    let clock = MonotonicClock::start();
    let table = Arc::new(TableReplica::new(clock.now_ms()));
    let (reported, fed) = (Arc::clone(&table), Arc::clone(&table));
    let pulling = PeerClient::new(Arc::clone(&runtime), WireConfig::default());
    let record = PeerRecord {
        name: node_name(number),
        incarnation: unix_ms(),
        refutation: 0,
        health: PeerHealth::Live,
        leaving: false,
        role: InstanceRole::Entry,
        data_centre: DataCentre::new(&format!("dc{:02}", number % 13)).unwrap(),
        peer_address: address,
        caller_address: Some(address),
    };
    let membership = PeerMembership::start(MembershipParts {
        record,
        seeds,
        config,
        seed: number as u64,
        runtime,
        metrics: Arc::clone(&metrics),
        clock,
        report: Box::new(move |now_ms| process_report(&reported, LoadLevel::Idle, now_ms)),
        observe: Box::new(move |view| feed_table(&fed, view, &node_name(number), None)),
    });
    let membership = Arc::new(membership.unwrap());
    let (serving, shard_source) = (Arc::clone(&membership), Arc::clone(&table));
    let silent = Arc::new(AtomicBool::new(false));
    let ended = Arc::clone(&silent);
    thread::spawn(move || {
        for InboundCall { service, call } in inbound {
            if ended.load(Ordering::Relaxed) {
                continue;
            }
            let (serving, table) = (Arc::clone(&serving), Arc::clone(&shard_source));
            thread::spawn(move || match service {
                PeerService::Table => serve_table(&table, call),
                _ => serving.serve(call),
            });
        }
    });
    let (viewed, pulled) = (Arc::clone(&membership), Arc::clone(&table));
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(50));
        let applied = process_report(&pulled, LoadLevel::Idle, clock.now_ms()).head;
        if let Some(member) = newer_member(&viewed.view(), applied, 0) {
            // Another look follows.
            let _ = pull_table(&pulling, member.peer_address, &pulled);
        }
    });
    LocalNode {
        membership,
        metrics,
        table,
        clock,
        address,
        silent,
        _server: server,
    }
}

/// Runs a node until standard input ends; call it from the child.
///
/// Prints the node's metrics at the end.
pub fn run_child(text: &str, config: BoardConfig) {
    let mut words = text.split(' ');
    let number = words.next().unwrap().parse().unwrap();
    let seeds = words.map(|word| word.parse().unwrap()).collect();
    let node = start_node(number, seeds, config);
    println!("{ADDRESS_MARK}{}", node.address);
    let _ = std::io::stdin().read(&mut [0]);
    println!("{}", node.metrics.page());
}

/// A child process with a node.
pub struct ChildNode {
    pub child: Child,
    pub address: SocketAddr,
    output: BufReader<std::process::ChildStdout>,
}

impl ChildNode {
    /// Starts this program again as a node.
    pub fn start(number: usize, seeds: &[SocketAddr], arguments: &[&str]) -> Self {
        let words = [number.to_string()]
            .into_iter()
            .chain(seeds.iter().map(ToString::to_string));
        let text = words.collect::<Vec<_>>().join(" ");
        let mut command = Command::new(std::env::current_exe().unwrap());
        let command = command.args(arguments).env(NODE_VARIABLE, text);
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert_ne!(output.read_line(&mut line).unwrap(), 0, "the child ended");
            if let Some((_, address)) = line.split_once(ADDRESS_MARK) {
                break address.trim().parse().unwrap();
            }
        };
        Self {
            child,
            address,
            output,
        }
    }

    /// Ends the child's input, and returns what else it prints.
    pub fn finish(mut self) -> String {
        drop(self.child.stdin.take());
        let mut text = String::new();
        self.output.read_to_string(&mut text).unwrap();
        text
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for ChildNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
