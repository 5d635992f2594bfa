//! Kept cache between real engine and store stand-ins, with faults between
//! look-up and use. The engine reports every wrong use of a piece.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_model::{piece_chain, ModelName, PieceKey, PieceScope, VersionName, PIECE_TOKENS};
use berylmount_standins::{
    expected_answer, wait_until, EngineConfig, EngineServer, StoreConfig, StoreFault, StoreServer,
};
use berylmount_targets::{
    kept::{FetchOutcome, KeptCache, KeptHits},
    EngineClient, LoadReport, StreamEvent, StreamOrder, TargetOrder, TargetTimeouts,
};
use common::{attempt, scope};
use serde_json::json;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(5);
const PIECES: usize = 2;

struct Bench {
    engine: EngineServer,
    store: StoreServer,
    client: EngineClient,
    cache: KeptCache,
    runs: std::cell::Cell<u64>,
}

fn bench() -> Bench {
    let engine = EngineServer::start(EngineConfig::default()).unwrap();
    let store = StoreServer::start(&StoreConfig {
        memory_slots: PIECES,
        disk_slots: 0,
        ..StoreConfig::default()
    });
    let timeouts = TargetTimeouts {
        transfer: Duration::ZERO,
        ..TargetTimeouts::default()
    };
    Bench {
        client: EngineClient::new(engine.address(), timeouts),
        cache: KeptCache::new(1, timeouts),
        store: store.unwrap(),
        engine,
        runs: 0.into(),
    }
}

fn prompt(word: &str) -> String {
    format!("{word} ").repeat(PIECES * PIECE_TOKENS + 3)
}

impl Bench {
    /// Runs a prompt to its end and returns the tokens found in the cache.
    fn run(&self, scope: &PieceScope, prompt: &str) -> u32 {
        self.runs.set(self.runs.get() + 1);
        let order = StreamOrder {
            attempt: attempt(self.runs.get()),
            prompt,
            scope,
            pieces: &piece_chain(scope, prompt),
            max_tokens: 2,
            priority: 0,
            traceparent: "",
        };
        let mut stream = self.client.start(&order).unwrap();
        let (mut cached, mut text) = (0, String::new());
        while let Some(event) = stream.next_event().unwrap() {
            match event {
                StreamEvent::Admitted { cached_tokens, .. } => cached = cached_tokens,
                StreamEvent::Token { text: token, .. } => text.push_str(&token),
                StreamEvent::Waiting | StreamEvent::End { .. } => {}
            }
        }
        assert_eq!(text, expected_answer(prompt, 2));
        cached
    }

    fn keep(&self, keys: &[PieceKey]) -> usize {
        let address = self.store.address();
        let outcome = self.cache.keep(&self.client, address, keys, LIMIT);
        outcome.sealed.len()
    }

    fn find(&self, keys: &[PieceKey]) -> KeptHits {
        self.cache.find(&[self.store.address()], keys, LIMIT)
    }

    fn fetch(&self, hits: &KeptHits) -> FetchOutcome {
        self.cache.fetch(&self.client, hits, LIMIT)
    }

    /// Wrong uses that the engine saw.
    fn wrong_uses(&self) -> u64 {
        let report = self.engine.report();
        let count = |name: &str| report[name].as_u64().unwrap();
        count("mixed_use") + count("bad_reads")
    }

    fn admin(&self, verb: &str, body: serde_json::Value) {
        let url = format!("http://{}/admin/{verb}", self.engine.address());
        ureq::post(url).send_json(body).unwrap();
    }
}

/// Waits until the engine serves `version` and returns that report.
fn wait_for(client: &EngineClient, version: &str) -> LoadReport {
    let deadline = Instant::now() + LIMIT;
    loop {
        let report = client.load().unwrap();
        if report.version.as_str() == version {
            return report;
        }
        assert!(Instant::now() < deadline, "the version never changed");
    }
}

/// Keeps a prompt, looks it up, lets `disturb` act, and fetches.
///
/// Returns the fetch's outcome as text and the tokens that the run then found.
fn disturbed(disturb: impl Fn(&Bench)) -> (String, u32) {
    let bench = bench();
    let (scope, prompt) = (scope("a", "v1"), prompt("log"));
    let keys = piece_chain(&scope, &prompt);
    bench.run(&scope, &prompt);
    assert_eq!(bench.keep(&keys), PIECES);
    let hits = bench.find(&keys);
    assert_eq!(hits.count(), PIECES);
    disturb(&bench);
    bench.engine.evict();
    let outcome = bench.fetch(&hits);
    let cached = bench.run(&scope, &prompt);
    assert_eq!(bench.wrong_uses(), 0);
    assert_eq!(cached as usize, outcome.pieces * PIECE_TOKENS);
    let stop = outcome.stop.map(|stop| stop.to_string());
    (stop.unwrap_or_default(), cached)
}

#[test]
fn a_kept_prompt_is_fetched_and_not_computed_again() {
    let (stop, cached) = disturbed(|_| {});
    assert_eq!(
        (stop.as_str(), cached as usize),
        ("", PIECES * PIECE_TOKENS)
    );
}

#[test]
fn a_freed_piece_is_computed_again() {
    let (stop, cached) = disturbed(|bench| bench.store.free_all());
    assert_eq!(cached, 0);
    insta::assert_snapshot!(stop, @"a piece is computed again: gone");
}

#[test]
fn a_reused_slot_is_computed_again() {
    let (stop, cached) = disturbed(|bench| {
        let (scope, prompt) = (scope("b", "v1"), prompt("other"));
        bench.run(&scope, &prompt);
        bench.store.free_all();
        assert_eq!(bench.keep(&piece_chain(&scope, &prompt)), PIECES);
    });
    assert_eq!(cached, 0);
    insta::assert_snapshot!(stop, @"a piece is computed again: read_differs");
}

#[test]
fn pieces_of_a_restarted_store_are_computed_again() {
    let (stop, cached) = disturbed(|bench| bench.store.restart());
    assert_eq!(cached, 0);
    insta::assert_snapshot!(stop, @"a piece is computed again: restarted");
}

#[test]
fn pieces_written_again_after_a_restart_are_other_pieces() {
    let (stop, cached) = disturbed(|bench| {
        bench.store.restart();
        let keys = piece_chain(&scope("a", "v1"), &prompt("log"));
        assert_eq!(bench.keep(&keys), PIECES);
    });
    assert_eq!(cached, 0);
    insta::assert_snapshot!(stop, @"a piece is computed again: restarted");
}

#[test]
fn a_store_that_died_is_a_recompute() {
    let bench = bench();
    let (scope, prompt) = (scope("a", "v1"), prompt("log"));
    let keys = piece_chain(&scope, &prompt);
    bench.run(&scope, &prompt);
    bench.keep(&keys);
    let hits = bench.find(&keys);
    bench.engine.evict();
    let Bench {
        engine,
        store,
        client,
        cache,
        ..
    } = bench;
    drop(store);
    let outcome = cache.fetch(&client, &hits, LIMIT);
    assert_eq!(outcome.pieces, 0);
    assert!(outcome.stop.is_some());
    drop(engine);
}

#[test]
fn a_half_written_piece_is_never_found() {
    let bench = bench();
    let (scope, prompt) = (scope("a", "v1"), prompt("log"));
    let keys = piece_chain(&scope, &prompt);
    bench.run(&scope, &prompt);
    bench.store.inject(StoreFault::HalfWrite);
    assert_eq!(bench.keep(&keys), 0);
    assert_eq!(bench.find(&keys).count(), 0);
    bench.store.inject(StoreFault::None);
    assert_eq!(bench.keep(&keys), PIECES);
    assert_eq!(bench.find(&keys).count(), PIECES);
    // The name of the first, unclear writing is freed, the second stays.
    assert_eq!(bench.cache.free_due(LIMIT), 1);
    assert_eq!(bench.find(&keys).count(), PIECES);
}

#[test]
fn a_hung_import_ends_at_its_limit_and_is_never_used() {
    let bench = bench();
    let (scope, prompt) = (scope("a", "v1"), prompt("log"));
    let keys = piece_chain(&scope, &prompt);
    bench.run(&scope, &prompt);
    bench.keep(&keys);
    let hits = bench.find(&keys);
    bench.engine.evict();
    bench.store.inject(StoreFault::Hang);
    let limit = Duration::from_millis(600);
    let outcome = bench.cache.fetch(&bench.client, &hits, limit);
    insta::assert_snapshot!(outcome.stop.unwrap(), @"a target failed: silent (may_have_run): timeout: global");
    assert_eq!(bench.run(&scope, &prompt), 0);
    bench.engine.evict();
    bench.store.inject(StoreFault::None);
    let deadline = Instant::now() + LIMIT;
    while bench.store.hung() > 0 {
        assert!(Instant::now() < deadline, "the transfer still hangs");
    }
    // What the engine staged late is not committed by anybody.
    assert_eq!(bench.run(&scope, &prompt), 0);
    assert_eq!(bench.wrong_uses(), 0);
}

#[test]
fn what_came_before_a_hang_is_used() {
    const MANY: usize = 12;
    let bench = bench();
    let store = StoreServer::start(&StoreConfig {
        link_bytes_per_s: 100 * 1024,
        ..StoreConfig::default()
    });
    let store = store.unwrap();
    let scope = scope("a", "v1");
    let prompt = "log ".repeat(MANY * PIECE_TOKENS);
    let keys = piece_chain(&scope, &prompt);
    bench.run(&scope, &prompt);
    let address = store.address();
    let kept = bench.cache.keep(&bench.client, address, &keys, 2 * LIMIT);
    assert_eq!(kept.sealed.len(), MANY);
    let hits = bench.cache.find(&[address], &keys, LIMIT);
    bench.engine.evict();
    let first_import = store.bytes_moved() + 8 * 16 * 1024;
    let outcome = std::thread::scope(|scope| {
        scope.spawn(|| {
            wait_until("the second import began", || {
                store.bytes_moved() > first_import
            });
            store.inject(StoreFault::Hang);
        });
        let limit = Duration::from_secs(3);
        bench.cache.fetch(&bench.client, &hits, limit)
    });
    assert_eq!(outcome.pieces, 8);
    assert!(outcome.stop.is_some());
    store.inject(StoreFault::None);
    assert_eq!(bench.run(&scope, &prompt) as usize, 8 * PIECE_TOKENS);
    assert_eq!(bench.wrong_uses(), 0);
}

#[test]
fn a_full_store_says_so_and_a_retired_piece_makes_room() {
    let bench = bench();
    let store = StoreServer::start(&StoreConfig {
        memory_slots: 1,
        disk_slots: 0,
        evicts: false,
        ..StoreConfig::default()
    });
    let store = store.unwrap();
    let (scope, prompt) = (scope("a", "v1"), prompt("log"));
    let keys = piece_chain(&scope, &prompt);
    bench.run(&scope, &prompt);
    let keep = || {
        bench
            .cache
            .keep(&bench.client, store.address(), &keys, LIMIT)
    };
    let first = keep();
    assert_eq!(first.sealed.len(), 1);
    insta::assert_snapshot!(first.fault.unwrap(), @"rejected: full (not_run): the target answered 409 Conflict");
    let names = first.sealed;
    bench.cache.retire(store.address(), &names, LIMIT).unwrap();
    assert_eq!(
        bench.cache.find(&[store.address()], &keys, LIMIT).count(),
        0
    );
    assert_eq!(bench.cache.free_due(LIMIT), 1);
    assert_eq!(keep().sealed.len(), 1);
}

#[test]
fn customers_and_versions_share_nothing() {
    let bench = bench();
    let prompt = prompt("standard");
    assert_eq!(bench.run(&scope("a", "v1"), &prompt), 0);
    let all = (PIECES * PIECE_TOKENS) as u32;
    assert_eq!(bench.run(&scope("a", "v1"), &prompt), all);
    assert_eq!(bench.run(&scope("b", "v1"), &prompt), 0);
    bench.keep(&piece_chain(&scope("a", "v1"), &prompt));
    let keys = piece_chain(&scope("b", "v1"), &prompt);
    assert_eq!(bench.find(&keys).count(), 0);
    let order = TargetOrder::Load {
        model: ModelName::new("blaze").unwrap(),
        version: VersionName::new("v2").unwrap(),
    };
    bench.client.order(1, &order).unwrap();
    wait_for(&bench.client, "v2");
    assert_eq!(bench.run(&scope("a", "v2"), &prompt), 0);
    assert_eq!(bench.wrong_uses(), 0);
}

#[test]
fn the_engine_sees_a_mixed_use() {
    let bench = bench();
    let prompt = prompt("standard");
    let keys = piece_chain(&scope("a", "v1"), &prompt);
    let stamp = json!({"scope": "b", "model": "blaze", "version": "v1", "adapter": "",
                       "prefix": "none"});
    bench.admin("poison", json!({"key": keys[0], "stamp": stamp}));
    bench.run(&scope("a", "v1"), &prompt);
    assert_eq!(bench.wrong_uses(), 1);
}

#[test]
fn a_run_under_way_keeps_its_version_across_a_swap() {
    const TOKENS: u32 = 1_000;
    let engine = EngineServer::start(EngineConfig::default()).unwrap();
    let client = EngineClient::new(engine.address(), TargetTimeouts::default());
    let scope = scope("a", "v1");
    let order = StreamOrder {
        attempt: attempt(1),
        prompt: "p",
        scope: &scope,
        pieces: &[],
        max_tokens: TOKENS,
        priority: 0,
        traceparent: "",
    };
    let mut stream = client.start(&order).unwrap();
    stream.next_event().unwrap();
    let load = TargetOrder::Load {
        model: scope.model.clone(),
        version: VersionName::new("v2").unwrap(),
    };
    client.order(1, &load).unwrap();
    let swapped = wait_for(&client, "v2");
    assert_eq!(swapped.running, 1, "the run ended before the swap");
    let mut text = String::new();
    while let Some(event) = stream.next_event().unwrap() {
        if let StreamEvent::Token { text: token, .. } = event {
            text.push_str(&token);
        }
    }
    assert_eq!(text, expected_answer("p", TOKENS));
}
