//! Stateful fuzzing of membership against what really runs.
//!
//! `BERYLMOUNT_FUZZ_CASES` sets the number of cases, else CI's size.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_peers::{MemberInfo, MemberState};
use common::{listed, PeerNet};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeMap;

const NODES: usize = 7;

#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    Boot(usize),
    Kill(usize),
    Pause(usize, u64),
    Leave(usize),
    Stop(usize),
    Head(usize),
    Cut(usize, usize),
    Split(u8),
    Heal,
    StaleList,
}

/// Which processes run; cuts and pauses change nothing of it.
#[derive(Clone, Debug)]
struct Truth {
    running: [bool; NODES],
}

impl ReferenceStateMachine for Truth {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            running: [true; NODES],
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        prop_oneof![
            6 => (1u64..20_000).prop_map(Step::Run),
            2 => node.clone().prop_map(Step::Boot),
            1 => node.clone().prop_map(Step::Kill),
            1 => (node.clone(), 500u64..40_000).prop_map(|(of, pause_ms)| Step::Pause(of, pause_ms)),
            1 => node.clone().prop_map(Step::Leave),
            1 => node.clone().prop_map(Step::Stop),
            3 => node.clone().prop_map(Step::Head),
            2 => (node.clone(), node).prop_map(|(from, to)| Step::Cut(from, to)),
            1 => any::<u8>().prop_map(Step::Split),
            2 => Just(Step::Heal),
            1 => Just(Step::StaleList),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::Kill(of)
            | Step::Pause(of, _)
            | Step::Leave(of)
            | Step::Stop(of)
            | Step::Head(of) => state.running[*of],
            Step::Boot(_)
            | Step::Run(_)
            | Step::Cut(..)
            | Step::Split(_)
            | Step::Heal
            | Step::StaleList => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Boot(of) => state.running[*of] = true,
            Step::Kill(of) | Step::Stop(of) => state.running[*of] = false,
            _ => {}
        }
        state
    }
}

struct Fuzz {
    net: PeerNet,
    head: u64,
    /// What each process saw of each other last: incarnation, and whether it was leaving.
    seen: BTreeMap<(usize, u64, String), (u64, bool)>,
}

impl Fuzz {
    /// Evidence of a head is never younger than the truth.
    fn check_evidence(&self, of: usize, member: &MemberInfo) {
        let Some(at_ms) = member.head_ms.filter(|_| member.applied_head != 0) else {
            return;
        };
        let heads = &self.net.nodes[of].heads;
        let held = heads.iter().enumerate().any(|(index, (_, head))| {
            let until = heads
                .get(index + 1)
                .map_or(u64::MAX, |(next_ms, _)| *next_ms);
            *head == member.applied_head && until >= at_ms
        });
        assert!(
            held,
            "{} had no head {} at or after {at_ms}: {heads:?}",
            member.name, member.applied_head
        );
    }

    /// Incarnations never fall, and who leaves is never live again.
    fn check_view(&mut self, viewer: usize) {
        let own = self.net.board(viewer).own().incarnation;
        let now_ms = self.net.now_ms;
        let view = self.net.board(viewer).view(now_ms);
        for of in (0..NODES).filter(|of| *of != viewer) {
            let Some(member) = view.find(&self.net.nodes[of].name) else {
                continue;
            };
            self.check_evidence(of, member);
            let leaving = member.state == MemberState::Leaving;
            let key = (viewer, own, member.name.to_string());
            if let Some((incarnation, left)) = self.seen.insert(key, (member.incarnation, leaving))
            {
                assert!(
                    member.incarnation >= incarnation,
                    "{member:?} after {incarnation}"
                );
                let again = member.incarnation == incarnation
                    && left
                    && member.state < MemberState::Leaving;
                assert!(!again, "{member:?} takes work again");
            }
        }
    }

    fn run(&mut self, run_ms: u64) {
        let end_ms = self.net.now_ms + run_ms;
        while self.net.now_ms < end_ms {
            self.net.run((end_ms - self.net.now_ms).min(500));
            self.net
                .running()
                .into_iter()
                .for_each(|viewer| self.check_view(viewer));
        }
    }
}

impl StateMachineTest for Fuzz {
    type SystemUnderTest = Self;
    type Reference = Truth;

    fn init_test(_: &Truth) -> Self {
        Self {
            net: PeerNet::start(NODES),
            head: 0,
            seen: BTreeMap::new(),
        }
    }

    fn apply(mut fuzz: Self, _: &Truth, step: Step) -> Self {
        let net = &mut fuzz.net;
        // Two processes of a name never start in one millisecond.
        net.now_ms += 1;
        match step {
            Step::Run(run_ms) => fuzz.run(run_ms),
            Step::Boot(of) => net.boot(of),
            Step::Kill(of) => net.kill(of),
            Step::Pause(of, pause_ms) => net.pause(of, pause_ms),
            Step::Leave(of) => net.board(of).leave(),
            Step::Stop(of) => net.stop(of),
            Step::Head(of) => {
                fuzz.head += 1;
                net.set_head(of, fuzz.head);
            }
            Step::Cut(from, to) => {
                net.cuts.insert((from, to));
            }
            Step::Split(side) => {
                let side: Vec<_> = (0..NODES).filter(|of| side >> of & 1 == 1).collect();
                net.split(&side);
            }
            Step::Heal => net.cuts.clear(),
            Step::StaleList => {
                let stale: Vec<_> = (0..NODES).map(listed).collect();
                net.running()
                    .into_iter()
                    .for_each(|of| net.board(of).set_listed(&stale));
            }
        }
        fuzz
    }

    /// Without faults everybody sees what really runs.
    fn teardown(mut fuzz: Self, truth: Truth) {
        fuzz.net.cuts.clear();
        let all: Vec<_> = (0..NODES).map(listed).collect();
        fuzz.net
            .running()
            .into_iter()
            .for_each(|of| fuzz.net.board(of).set_listed(&all));
        fuzz.run(150_000);
        let running = fuzz.net.running();
        assert!((0..NODES).all(|of| truth.running[of] == running.contains(&of)));
        for viewer in &running {
            for of in running.iter().filter(|of| *of != viewer) {
                let own = fuzz.net.board(*of).own().clone();
                let view = fuzz.net.nodes[*viewer]
                    .board
                    .as_ref()
                    .unwrap()
                    .view(fuzz.net.now_ms);
                let member = view.find(&own.name);
                let found = member.map(|member| (member.incarnation, member.state));
                assert_eq!(
                    found,
                    Some((own.incarnation, own.state())),
                    "{viewer} sees {of}"
                );
            }
            for gone in (0..NODES).filter(|of| !running.contains(of)) {
                let state = fuzz.net.state(*viewer, gone);
                let small = running.len() == 1 && state == Some(MemberState::Suspect);
                assert!(
                    small || matches!(state, None | Some(MemberState::Dead)),
                    "{viewer} sees {gone}: {state:?}"
                );
            }
        }
    }
}

fn fuzz_config() -> Config {
    let cases = std::env::var("BERYLMOUNT_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(48),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn views_agree_with_what_runs(sequential 1..40 => Fuzz);
}
