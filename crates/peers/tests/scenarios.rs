//! Failures that membership has to get over, in virtual time.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_peers::{
    BoardConfig, MemberState, PeerAnswer, PeerBoard, PeerHealth, PeerNote, PeerRecord, PeerReply,
    PeerRequest, PeerStatus, ProbeRequest,
};
use berylmount_wire::{decode_frame, encode_frame};
use common::{address, listed, record, PeerNet, DATA_CENTRES};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const MINUTE: u64 = 60_000;

/// A network whose processes all know each other.
fn settled(count: usize) -> PeerNet {
    let mut net = PeerNet::start(count);
    assert!(net.run_until_agreed(MINUTE).is_some());
    net
}

#[test]
fn a_killed_process_is_dead_everywhere_and_its_restart_live() {
    let mut net = settled(9);
    net.kill(4);
    net.run(MINUTE);
    insta::assert_snapshot!(net.states(4), @"dead 8");
    net.boot(4);
    assert!(net.run_until_agreed(MINUTE).is_some());
}

#[test]
fn a_restart_is_live_even_when_its_clock_went_back() {
    let mut net = settled(9);
    net.kill(4);
    net.run(2_000);
    net.boot_as(4, 7);
    assert!(net.run_until_agreed(MINUTE).is_some());
    assert!(net.board(4).own().incarnation > 1_000_000);
}

#[test]
fn an_old_process_that_wakes_after_its_successor_started_is_superseded() {
    let mut net = settled(9);
    let old = net.board(4).clone();
    net.boot(4);
    assert!(net.run_until_agreed(MINUTE).is_some());
    let new = net.nodes[4].board.replace(old).unwrap();
    net.run(10_000);
    let now_ms = net.now_ms;
    assert!(net.board(4).view(now_ms).superseded);
    net.nodes[4].board = Some(new);
    net.run(MINUTE);
    assert!(net.agrees());
    assert!(!net.board(4).view(now_ms).superseded);
}

#[test]
fn a_lost_data_centre_is_dead_and_comes_back() {
    let mut net = settled(3 * DATA_CENTRES);
    let lost = [2, 2 + DATA_CENTRES, 2 + 2 * DATA_CENTRES];
    lost.iter().for_each(|index| net.kill(*index));
    assert!(net.run_until_agreed(MINUTE).is_some());
    lost.iter().for_each(|index| net.boot(*index));
    assert!(net.run_until_agreed(MINUTE).is_some());
}

#[test]
fn both_sides_of_a_partition_join_again() {
    let mut net = settled(12);
    net.split(&[0, 1, 2, 3, 4]);
    net.run(5 * MINUTE);
    insta::assert_snapshot!(net.states(0), @"dead 7, live 4");
    insta::assert_snapshot!(net.states(11), @"dead 5, live 6");
    net.cuts.clear();
    assert!(net.run_until_agreed(2 * MINUTE).is_some());
}

#[test]
fn the_smaller_side_of_a_partition_has_no_young_majority() {
    let mut net = settled(12);
    net.run(5_000);
    net.split(&[0, 1, 2, 3, 4]);
    let split_ms = net.now_ms;
    net.run(5 * MINUTE);
    let now_ms = net.now_ms;
    assert!(net.board(0).view(now_ms).majority_head().unwrap().since_ms <= split_ms);
    assert!(net.board(11).view(now_ms).majority_head().unwrap().since_ms > split_ms);
}

#[test]
fn a_one_way_cut_kills_nobody() {
    let mut net = settled(6);
    net.cuts.insert((0, 1));
    net.run(2 * MINUTE);
    assert!(net.agrees());
    let now_ms = net.now_ms;
    let name = net.nodes[1].name.clone();
    assert!(net.board(0).view(now_ms).find(&name).unwrap().relayed);
}

#[test]
fn a_cut_off_process_declares_nobody_dead() {
    let mut net = settled(12);
    net.split(&[3]);
    net.run(2 * MINUTE);
    let seen: Vec<_> = (0..12).map(|of| net.state(3, of)).collect();
    assert!(!seen.contains(&Some(MemberState::Dead)), "{seen:?}");
    insta::assert_snapshot!(net.states(3), @"dead 11");
    net.cuts.clear();
    assert!(net.run_until_agreed(2 * MINUTE).is_some());
}

#[test]
fn a_paused_process_declares_nobody_dead_when_it_wakes() {
    let mut net = settled(12);
    for pause_ms in [1_500, 4_000, 30_000, 300_000] {
        net.pause(5, pause_ms);
        net.run(pause_ms);
        for _ in 0..2_000 {
            net.run(10);
            for of in 0..12 {
                assert_ne!(
                    net.state(5, of),
                    Some(MemberState::Dead),
                    "after {pause_ms}"
                );
                assert!(
                    of == 5 || net.state(0, of) == Some(MemberState::Live),
                    "after {pause_ms}"
                );
            }
        }
        assert!(net.agrees(), "after {pause_ms}");
    }
}

#[test]
fn a_paused_process_gives_a_suspect_its_time_to_refute() {
    let mut net = settled(12);
    net.pause(7, 60_000);
    while net.state(5, 7) != Some(MemberState::Suspect) {
        net.run(50);
    }
    // Somebody answers the accuser meanwhile.
    net.run(2_000);
    net.pause(5, 30_000);
    net.split(&[5]);
    net.nodes[7].paused_until = net.now_ms;
    net.run(29_999);
    net.cuts.clear();
    for _ in 0..2_000 {
        net.run(1);
        assert_ne!(net.state(5, 7), Some(MemberState::Dead));
    }
    assert!(net.agrees());
}

#[test]
fn an_outcome_that_a_pause_held_up_accuses_nobody() {
    let mut net = settled(3);
    let now_ms = net.now_ms + 1_000;
    let board = net.board(0);
    let probes = board.tick(now_ms);
    assert!(!probes.is_empty());
    for probe in probes {
        assert!(board.finish(probe.id, None, now_ms + 30_000).is_empty());
    }
    let view = board.view(now_ms + 30_000);
    assert!(view
        .members
        .iter()
        .all(|member| member.state == MemberState::Live));
}

#[test]
fn a_stale_list_makes_nobody_live() {
    let mut net = settled(7);
    net.kill(6);
    assert!(net.run_until_agreed(MINUTE).is_some());
    let stale: Vec<_> = (0..7).map(listed).collect();
    for _ in 0..10 {
        net.running()
            .into_iter()
            .for_each(|index| net.board(index).set_listed(&stale));
        net.run(MINUTE);
        assert_eq!(net.states(6), "dead 6");
    }
    // Also after the dead one was forgotten.
    net.run(BoardConfig::default().remember_ms);
    assert_eq!(net.states(6), "unknown 6");
}

#[test]
fn a_list_alone_is_enough_to_join() {
    let net = settled(7);
    let config = BoardConfig::default();
    let mut board = PeerBoard::new(record(7, 1), Vec::new(), config, 1, net.now_ms);
    assert!(board.tick(net.now_ms).is_empty());
    board.set_listed(&(0..7).map(listed).collect::<Vec<_>>());
    let probes = board.tick(net.now_ms);
    assert!(!probes.is_empty() && probes.iter().all(|probe| probe.address != address(7)));
}

#[test]
fn a_leaving_process_is_never_live_again_and_its_stop_is_no_failure() {
    let mut net = settled(9);
    net.board(4).leave();
    net.run(10_000);
    insta::assert_snapshot!(net.states(4), @"leaving 8");
    // Suspected and refuted meanwhile.
    net.pause(4, 4_500);
    for _ in 0..80 {
        net.run(250);
        assert!(!net.states(4).contains("live"), "{}", net.states(4));
    }
    insta::assert_snapshot!(net.states(4), @"leaving 8");
    net.stop(4);
    net.run(10_000);
    let now_ms = net.now_ms;
    let name = net.nodes[4].name.clone();
    assert!(net
        .running()
        .into_iter()
        .all(|index| { net.board(index).view(now_ms).find(&name).unwrap().left }));
}

#[test]
fn absurd_numbers_do_no_harm() {
    let mut net = settled(3);
    let now_ms = net.now_ms;
    let mut own = net.board(0).own().clone();
    own.refutation = u32::MAX;
    own.health = PeerHealth::Suspect;
    let status = |record: &PeerRecord| PeerStatus {
        note: PeerNote::Whole(record.clone()),
        report: common::report(1),
    };
    let request = |changes: Vec<PeerNote>| {
        PeerRequest::Probe(ProbeRequest {
            from: status(&record(1, 1)),
            changes,
            sync: None,
        })
    };
    net.board(0)
        .answer(&request(vec![PeerNote::Whole(own.clone())]), now_ms);
    own.incarnation = u64::MAX;
    net.board(0)
        .answer(&request(vec![PeerNote::Whole(own.clone())]), now_ms);
    let mut fresh = PeerBoard::new(record(0, 1), Vec::new(), net.config, 1, now_ms);
    fresh.answer(&request(vec![PeerNote::Whole(own.clone())]), now_ms);
    assert!(!request(vec![PeerNote::Whole(own); 5]).is_bounded());
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Config::with_cases(400) })]

    #[test]
    fn damaged_messages_do_no_harm(flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)) {
        let mut net = settled(3);
        let now_ms = net.now_ms + 1_000;
        let damage = |frame: &[u8]| {
            let mut frame = frame.to_vec();
            for (at, value) in &flips {
                let at = at.index(frame.len());
                frame[at] ^= value;
            }
            frame
        };
        let probe = net.board(1).tick(now_ms).remove(0);
        let frame = damage(&encode_frame(&probe.request).unwrap());
        if let Ok(request) = decode_frame::<PeerRequest>(&frame) {
            net.board(0).answer(&request, now_ms);
        }
        let PeerAnswer::Reply(reply) = net.board(0).answer(&probe.request, now_ms) else {
            unreachable!()
        };
        let frame = damage(&encode_frame(&reply).unwrap());
        if let Ok(reply) = decode_frame::<PeerReply>(&frame) {
            net.board(1).finish(probe.id, Some(reply), now_ms);
        }
        net.run(1_000);
    }
}
