//! Checks the catalogue of kept cache parts against a map, for random store updates.

#![allow(clippy::unwrap_used)]

use berylmount_policy::prefix_cache::{
    block_tokens, plan_transfers, KeptPart, KeyedPart, PartEvent, PartKey, PromptCosts,
    StoreCatalogue, StoreView,
};
use proptest::{collection::vec, prelude::*};
use std::collections::BTreeMap;

fn part(key: u64, number: u64, tokens: u32) -> KeptPart {
    KeptPart {
        key: PartKey(key),
        number,
        tokens,
        scope: "1.m.shared".into(),
        id: key.to_string(),
    }
}

/// An update to the contents of a store.
#[derive(Clone, Debug)]
enum StoreUpdate {
    Added(u64, u32),
    Removed(u64),
    /// The store lists everything that it holds.
    Listed(Vec<(u64, u32)>),
    /// An instance withdraws a part, so that it is no longer fetched.
    Withdrawn(u64),
}

fn store_update() -> impl Strategy<Value = StoreUpdate> {
    prop_oneof![
        6 => (0u64..30, 1u32..400).prop_map(|(key, tokens)| StoreUpdate::Added(key, tokens)),
        3 => (0u64..30).prop_map(StoreUpdate::Removed),
        1 => vec((0u64..30, 1u32..400), 0..30).prop_map(StoreUpdate::Listed),
        1 => (0u64..30).prop_map(StoreUpdate::Withdrawn),
    ]
}

proptest! {
    #[test]
    fn the_catalogue_matches_the_updates_of_the_store(steps in vec(store_update(), 1..60)) {
        let mut catalogue = StoreCatalogue::default();
        catalogue.apply(1, 0, false, Vec::new(), 1);
        // Tokens, event number, and whether the part may be fetched.
        let mut expected: BTreeMap<u64, (u32, u64, bool)> = BTreeMap::new();
        for (number, step) in (1u64..).zip(steps) {
            match step {
                StoreUpdate::Added(key, tokens) => {
                    catalogue.note_saving(PartKey(key), tokens, 1);
                    let added = PartEvent::Added(part(key, number, tokens));
                    catalogue.apply(1, number, false, vec![added], 1);
                    expected.insert(key, (tokens, number, true));
                }
                StoreUpdate::Removed(key) => {
                    let removed = PartEvent::Removed(PartKey(key));
                    catalogue.apply(1, number, false, vec![removed], 1);
                    expected.remove(&key);
                }
                StoreUpdate::Listed(listed) => {
                    let listed: BTreeMap<u64, u32> = listed.into_iter().collect();
                    let parts = listed.iter().rev().map(|(k, tokens)| part(*k, number, *tokens));
                    catalogue.replace(1, number, parts.collect(), 1);
                    let known = |key: &u64| expected.get(key).map_or((number, true), |e| (e.1, e.2));
                    let listed = listed.iter().map(|(k, t)| (*k, (*t, known(k).0, known(k).1)));
                    expected = listed.collect();
                }
                StoreUpdate::Withdrawn(key) => {
                    if let Some((_, number, may_fetch)) = expected.get_mut(&key) {
                        catalogue.withdraw(PartKey(key), *number);
                        *may_fetch = false;
                    }
                }
            }
            let held = catalogue.parts().iter().map(|p| (p.key.0, (p.tokens, p.number)));
            let wanted = expected.iter().map(|(key, e)| (*key, (e.0, e.1)));
            prop_assert!(held.eq(wanted));
            let used: u64 = expected.values().map(|e| block_tokens(e.0)).sum();
            prop_assert_eq!(catalogue.used_tokens(1), used);
            catalogue.settle(|_| true);
            for (key, (_, _, may_fetch)) in &expected {
                prop_assert_eq!(catalogue.fetchable(PartKey(*key)).is_some(), *may_fetch);
            }
        }
    }
}

/// Parts of 500 and 60 tokens, of which the first is shared.
const SMALL_PROMPT: [KeyedPart; 2] = [
    KeyedPart {
        key: PartKey(1),
        tokens: 500,
    },
    KeyedPart {
        key: PartKey(2),
        tokens: 60,
    },
];
const COSTS: PromptCosts = PromptCosts {
    token_bytes: 18_432,
    prefill_per_ms: 100.0,
    link_bits_per_ms: 0.0,
};

fn catalogue_of(parts: Vec<KeptPart>) -> StoreCatalogue {
    let mut catalogue = StoreCatalogue::default();
    let events = parts.into_iter().map(PartEvent::Added).collect();
    catalogue.apply(1, 2, false, events, 100);
    catalogue.settle(|_| true);
    catalogue
}

fn view(catalogue: &StoreCatalogue) -> StoreView<'_> {
    StoreView {
        name: "prompt",
        data_centre: "north",
        memory_tokens: 10_000,
        link_bits_per_ms: 1e8,
        latency_ms: 0.5,
        catalogue,
    }
}

/// The expected time of a fetch counts the slower of the two links.
#[test]
fn a_fetch_takes_as_long_as_the_slower_link_needs() {
    let holder = catalogue_of(vec![part(1, 1, 500)]);
    let fetch_ms = |link_bits_per_ms| {
        let costs = PromptCosts {
            link_bits_per_ms,
            ..COSTS
        };
        let stores = [view(&holder)];
        plan_transfers(&SMALL_PROMPT, &stores, "north", costs, 200).fetch_ms
    };
    assert_eq!(fetch_ms(0.0), fetch_ms(2e8));
    assert!(fetch_ms(2e7) > 3.0 * fetch_ms(2e8));
}
