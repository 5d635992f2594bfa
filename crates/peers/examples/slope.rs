//! Prints bytes, processor time, memory and spread of membership by size.
//!
//! `cargo run --release -p berylmount-peers --example slope [SIZE...]` drives
//! state machines in virtual time and counts the encoded bytes of every message
//! that a process sends or receives. Framing of h2 and TCP is not in it.

#![allow(clippy::unwrap_used)]

#[path = "../tests/common/mod.rs"]
mod common;

use berylmount_peers::{MemberState, PeerBoard};
use common::{PeerNet, DATA_CENTRES};
use std::time::Instant;

/// Virtual time over which a steady state is measured, in milliseconds.
const STEADY_MS: u64 = 60_000;

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}

/// Bytes a second of the mean and of the busiest process over `run_ms`.
fn rates(net: &PeerNet, run_ms: u64) -> (u64, u64) {
    let running = net.running();
    let rates = running
        .iter()
        .map(|index| net.nodes[*index].bytes * 1_000 / run_ms);
    let total: u64 = rates.clone().sum();
    (total / running.len() as u64, rates.max().unwrap())
}

/// The same while `net` runs for `run_ms`.
fn run_rates(net: &mut PeerNet, run_ms: u64) -> (u64, u64) {
    net.nodes.iter_mut().for_each(|node| node.bytes = 0);
    net.run(run_ms);
    rates(net, run_ms)
}

/// Age of the evidence that more than half of the processes give, worst viewer.
fn majority_age(net: &PeerNet) -> u64 {
    let ages = net.running().into_iter().map(|index| {
        let view = net.nodes[index].board.as_ref().unwrap().view(net.now_ms);
        view.majority_head()
            .map_or(u64::MAX, |majority| net.now_ms - majority.since_ms)
    });
    ages.max().unwrap()
}

/// Time until every process knows that all applied `head`.
fn head_known(net: &mut PeerNet, head: u64) -> u64 {
    let start_ms = net.now_ms;
    net.running()
        .into_iter()
        .for_each(|index| net.set_head(index, head));
    loop {
        net.run(100);
        let all = net.running().into_iter().all(|index| {
            let view = net.nodes[index].board.as_ref().unwrap().view(net.now_ms);
            let mut live = view
                .members
                .iter()
                .filter(|member| member.state == MemberState::Live);
            live.all(|member| member.applied_head == head)
        });
        if all {
            return net.now_ms - start_ms;
        }
    }
}

/// Mean processor time of one round of one process: its probes and the answers.
fn round_cost(net: &mut PeerNet) -> u128 {
    let start = Instant::now();
    net.run(10_000);
    start.elapsed().as_micros() / (10 * net.running().len() as u128)
}

fn measure(count: usize) {
    let mut net = PeerNet::start(count);
    let joined = net
        .run_until_agreed(600_000)
        .map_or("no".to_owned(), |ms| ms.to_string());
    let (_, joining) = rates(&net, net.now_ms - 1_000_000);
    net.run(240_000);
    let (mean, busiest) = run_rates(&mut net, STEADY_MS);
    let mut worst_age = 0;
    for _ in 0..20 {
        net.run(500);
        worst_age = worst_age.max(majority_age(&net));
    }
    let head_ms = head_known(&mut net, 7);
    let round_us = round_cost(&mut net);
    let boards: Vec<PeerBoard> = {
        let before = resident();
        let boards = (0..100)
            .map(|_| net.nodes[0].board.clone().unwrap())
            .collect();
        let bytes = resident().saturating_sub(before) / 100;
        print!("| {count} | {mean} | {busiest} | {joined} | {joining} | {worst_age} | {head_ms} | {round_us} | {bytes} ");
        boards
    };
    drop(boards);
    net.boot(count - 1);
    let restart = net
        .run_until_agreed(600_000)
        .map_or("no".to_owned(), |ms| ms.to_string());
    let lost: Vec<_> = (0..count)
        .filter(|index| index % DATA_CENTRES == 2 && *index > 3)
        .collect();
    lost.iter().for_each(|index| net.kill(*index));
    net.nodes.iter_mut().for_each(|node| node.bytes = 0);
    let gone = net.run_until_agreed(600_000).unwrap();
    let (_, busiest) = rates(&net, gone.max(1));
    println!("| {restart} | {} | {gone} | {busiest} |", lost.len());
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![4, 8, 16, 32, 64, 128, 256, 420]
    } else {
        sizes
    };
    println!("| processes | bytes/s, mean | bytes/s, busiest | all joined, ms | bytes/s while joining, busiest | age of a majority's heads, worst, ms | new head known of all, ms | round, us | memory, bytes | restart known, ms | lost | loss known, ms | bytes/s in the loss, busiest |");
    println!("|{}", " --- |".repeat(14));
    sizes.into_iter().for_each(measure);
}
