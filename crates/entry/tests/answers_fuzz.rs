//! Fuzzes whole answers to the right caller.
//!
//! Two requests run, restart and end, while callers' entries lose their calls,
//! resume, and get frames late, twice, altered, or from another attempt or
//! request. The oracle: a whole answer is exactly the tokens of the attempt that
//! ended, and who keeps resuming ends with that or with a refusal. A refusal
//! names no attempt, so it is never crossed between calls.

#![allow(clippy::unwrap_used)]

use berylmount_dispatch::{AnswerBook, AnswerEnd, AnswerPart, AnswerReader, HeldAnswer};
use berylmount_entry::{AnswerAssembly, AssemblyStep};
use berylmount_model::{
    AttemptId, CallRefusal, CustomerName, DigestChain, InstanceName, RefusalReason, RequestId,
};
use berylmount_wire::{StartedRun, WorkReply};
use proptest::{
    prelude::*,
    sample::{select, Index},
    test_runner::RngSeed,
};
use std::{collections::VecDeque, sync::Arc, time::Duration};

const CALLERS: usize = 3;
const HOLD: Duration = Duration::from_millis(10);

/// An operation, whom it is about, and which frame or place.
type Step = (char, usize, Index);

/// Operations by letter, as `run` reads them, as often as they are to come.
const OPS: &str = "SSSTTTTTTTTTRWGgPPPPPPPPPDDDDDDDDDDDDCCCCAKXXJ?";

fn step() -> impl Strategy<Value = Step> {
    let ops: Vec<char> = OPS.chars().collect();
    (select(ops), 0..6_usize, any::<Index>())
}

fn customer(request: usize) -> CustomerName {
    CustomerName::new(&format!("crew-{request}")).unwrap()
}

fn attempt(request: usize, attempt: u32) -> AttemptId {
    let request = RequestId::new(1, request as u64);
    AttemptId { request, attempt }
}

/// A request as its engine knows it.
struct Truth {
    held: Arc<HeldAnswer>,
    /// Tokens by attempt; the last is under way.
    tokens: Vec<Vec<String>>,
    whole: bool,
}

impl Truth {
    fn attempt(&self, request: usize) -> AttemptId {
        attempt(request, self.tokens.len() as u32 - 1)
    }

    fn start(&self, request: usize) {
        self.held.start(&StartedRun {
            attempt: self.attempt(request),
            runner: InstanceName::new("ridge-1").unwrap(),
            address: ([127, 0, 0, 1], 9).into(),
            prompt_tokens: 1,
            cached_tokens: 0,
            fetched_tokens: 0,
            group_waits_ms: [0; 4],
        });
    }

    fn end(&mut self, whole: bool) {
        self.whole |= whole && !self.held.is_ended();
        let tokens = self.tokens.last().unwrap();
        let mut chain = DigestChain::default();
        tokens.iter().for_each(|text| chain.add(text));
        let (count, digest) = (tokens.len() as u64, chain.finish());
        let refusal = CallRefusal::may_have_run(RefusalReason::TargetFailed, "", 0);
        let refused = AnswerEnd::Refused(refusal);
        let end = whole.then_some(AnswerEnd::Whole { count, digest });
        self.held.end(end.unwrap_or(refused), 0);
    }
}

/// One caller and the entry's part of its call.
struct Caller {
    request: usize,
    assembly: AnswerAssembly,
    reader: AnswerReader,
    wire: VecDeque<WorkReply>,
    passed: Vec<String>,
    altered: bool,
    /// The holder sent its last frame and closed the call.
    closed: bool,
    /// Whether it ended with a whole answer.
    outcome: Option<bool>,
}

impl Caller {
    fn new(request: usize) -> Self {
        let first = attempt(request, 0);
        Self {
            request,
            assembly: AnswerAssembly::new(first),
            reader: AnswerReader::new(first, 0),
            wire: VecDeque::new(),
            passed: Vec::new(),
            altered: false,
            closed: false,
            outcome: None,
        }
    }

    fn cut(&mut self) {
        self.wire.clear();
        self.closed = false;
        self.reader = AnswerReader::new(self.assembly.attempt(), self.assembly.offset());
    }

    /// Puts what the holder has next on the wire; false if there is nothing.
    fn pull(&mut self, book: &AnswerBook, sent: &mut Vec<WorkReply>) -> bool {
        let request = attempt(self.request, 0).request;
        let held = book.find(request, &customer(self.request)).unwrap();
        let next = || held.next_part(&mut self.reader, Duration::ZERO);
        let Some(part) = (!self.closed).then(next).flatten() else {
            return false;
        };
        self.closed = matches!(part, AnswerPart::End(..));
        let from = sent.len();
        match part {
            AnswerPart::Started(run) => sent.push(WorkReply::Started(run)),
            AnswerPart::Tokens {
                attempt,
                offset,
                texts,
            } => sent.extend(
                (offset..)
                    .zip(texts)
                    .map(|(offset, text)| WorkReply::Token {
                        attempt,
                        offset,
                        text,
                    }),
            ),
            AnswerPart::End(attempt, AnswerEnd::Whole { count, digest }) => {
                sent.push(WorkReply::End {
                    attempt,
                    count,
                    digest,
                });
            }
            AnswerPart::End(_, AnswerEnd::Refused(refusal)) => {
                self.wire.push_back(WorkReply::Refused(refusal));
            }
        }
        self.wire.extend(sent[from..].iter().cloned());
        true
    }

    fn take(&mut self, reply: &WorkReply, truth: &Truth) {
        if self.outcome.is_some() {
            return;
        }
        let before = self.assembly.attempt();
        match self.assembly.take(reply) {
            AssemblyStep::Started(_) => self.passed.clear(),
            AssemblyStep::Token { offset, text } => {
                assert_eq!(offset, self.passed.len() as u64, "a token out of order");
                self.passed.push(text.to_owned());
            }
            AssemblyStep::Whole { count, .. } => {
                assert!(truth.whole, "whole before its end");
                let found = (count as usize, Some(&self.passed));
                let tokens = truth.tokens.last();
                assert_eq!(found, (self.passed.len(), tokens), "not the own answer");
                self.outcome = Some(true);
            }
            AssemblyStep::Refused(_) => self.outcome = Some(false),
            AssemblyStep::Lost(_) => self.cut(),
            AssemblyStep::StartedAgain(_) | AssemblyStep::Stale | AssemblyStep::StaleEnd => {}
        }
        assert!(self.assembly.attempt() >= before, "an earlier attempt");
    }
}

/// Reads what is there for a caller at any place.
fn join(truth: &Truth, from: AttemptId, offset: usize) {
    let mut reader = AnswerReader::new(from, offset as u64);
    let now = truth.tokens.last().unwrap();
    let restarted = from.attempt as usize != truth.tokens.len() - 1;
    let next = if restarted { 0 } else { offset };
    for _ in 0..3 {
        match truth.held.next_part(&mut reader, Duration::ZERO) {
            Some(AnswerPart::Tokens { offset, texts, .. }) => {
                assert_eq!((offset as usize, &texts[..]), (next, &now[next..]));
            }
            Some(AnswerPart::Started(run)) => {
                assert_eq!(run.attempt.attempt as usize, truth.tokens.len() - 1);
            }
            Some(AnswerPart::End(..)) | None => {}
        }
    }
}

fn run(steps: Vec<Step>) {
    let book = AnswerBook::new(1 << 20, HOLD);
    let mut truths: Vec<Truth> = (0..2)
        .map(|r| Truth {
            held: book.open(attempt(r, 0), &customer(r)).unwrap().0,
            tokens: vec![Vec::new()],
            whole: false,
        })
        .collect();
    let mut callers: Vec<Caller> = (0..CALLERS).map(|c| Caller::new(c % 2)).collect();
    let mut sent = Vec::new();
    for (op, who, index) in steps {
        let (caller, r) = (&mut callers[who % CALLERS], who % 2);
        let truth = &mut truths[r];
        let (open, started) = (!truth.held.is_ended(), truth.held.started().is_some());
        match op {
            'S' => truth.start(r),
            'T' if open && started => {
                let text = format!("{}of{}", index.index(3), truth.tokens.len());
                truth.held.add_token(&text);
                truth.tokens.last_mut().unwrap().push(text);
            }
            'R' if open => {
                truth.tokens.push(Vec::new());
                truth.held.restart(truth.attempt(r));
            }
            'W' if started && index.index(2) == 0 => truth.end(true),
            'G' if index.index(2) == 0 => {
                truth.held.cancel();
                truth.end(false);
            }
            'g' if index.index(2) == 0 => truth.end(false),
            'P' => drop(caller.pull(&book, &mut sent)),
            'D' => {
                if let Some(reply) = caller.wire.pop_front() {
                    caller.take(&reply, &truths[caller.request]);
                }
            }
            // A frame of any call comes late, again, or on the wrong call.
            'C' if !sent.is_empty() => caller.take(index.get(&sent), &truths[caller.request]),
            'A' => {
                if let Some(WorkReply::Token { text, .. }) = caller.wire.front_mut() {
                    text.push('!');
                    caller.altered = true;
                }
            }
            'K' => drop(caller.wire.pop_front()),
            'X' => caller.cut(),
            // A caller at any place of any attempt.
            'J' => join(truth, attempt(r, index.index(4) as u32), index.index(7)),
            // Another customer asks.
            '?' => {
                let (id, other) = (attempt(r, 0), customer(1 - r));
                assert!(book.find(id.request, &other).is_none());
                let (held, opened) = book.open(id, &other).unwrap();
                assert!(!opened && !held.belongs_to(&other));
            }
            _ => {}
        }
    }
    for (r, truth) in truths.iter_mut().enumerate() {
        truth.start(r);
        truth.end(true);
    }
    for caller in &mut callers {
        let truth = &truths[caller.request];
        // Two calls are enough once no more bad frames come.
        for _ in 0..10 {
            while let Some(reply) = caller.wire.pop_front() {
                caller.take(&reply, truth);
            }
            if caller.outcome.is_none() && !caller.pull(&book, &mut sent) {
                caller.cut();
            }
        }
        // Who took in an altered token stays without an end; the relay refuses.
        let settled = caller.outcome == Some(truth.whole);
        assert!(settled || caller.altered, "no end: {:?}", caller.outcome);
    }
    assert_eq!(book.open_count(), 0);
    truths.clear();
    book.drop_expired(HOLD.as_millis() as u64);
    assert_eq!(book.bytes(), 0, "dropped answers are still counted");
}

fn fuzz_config() -> ProptestConfig {
    let config = ProptestConfig::default();
    let rng_seed = match config.rng_seed {
        RngSeed::Random => RngSeed::Fixed(20_261_204),
        fixed => fixed,
    };
    let failure_persistence = None;
    ProptestConfig {
        rng_seed,
        failure_persistence,
        ..config
    }
}

proptest! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn answers_are_whole_and_the_callers_own(steps in prop::collection::vec(step(), 20..160)) {
        run(steps);
    }
}
