//! Fuzz tests: retries stay within their budget and kept prompts within the stores.

use crate::config;
use berylmount_model::RequestVerdict;
use berylmount_policy::{
    cache_retention::{CachePlace, StoreQuota},
    retries::FailedAttempt,
    RetentionPlanner, RetryBudget, RetryDecision, StoreId, StoreTier,
};
use proptest::{collection::vec, prelude::*};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_stay_within_a_tenth(steps in vec((0u8..3, 0u32..4, any::<bool>()), 1..600)) {
        let mut rng = Pcg32::seed_from_u64(1);
        let mut budget = RetryBudget::default();
        let (mut first_attempts, mut retries) = (0u32, 0u32);
        for (kind, attempts, idempotent) in steps {
            let failed = FailedAttempt {
                verdict: RequestVerdict::MayHaveRun,
                idempotent,
                attempts,
                left_ms: 1_000,
                expected_ms: 100,
            };
            let taken = match kind {
                0 => {
                    first_attempts += 1;
                    budget.earn();
                    false
                }
                1 => budget.decide(&failed, &mut rng) != RetryDecision::GiveUp,
                _ => budget.hedge(idempotent, attempts, 900, 100),
            };
            prop_assert!(!taken || (idempotent && attempts < 3));
            retries += u32::from(taken);
            prop_assert!(f64::from(retries) <= 0.1 * f64::from(first_attempts) + 2.0);
        }
    }

    #[test]
    fn a_retention_plan_fits_the_stores(steps in vec((0u64..12, 1u64..70, 0u64..90), 1..200)) {
        let quota = |name: &str| StoreQuota {
            name: name.to_owned(),
            memory_bytes: 100,
            disk_bytes: 160,
        };
        let mut planner = RetentionPlanner::new(vec![quota("a"), quota("b")], 8);
        let (mut kept, mut now_ms) = (BTreeMap::new(), 0);
        for (prompt, bytes, passed) in steps {
            now_ms += passed;
            kept.remove(&prompt);
            let plan = planner.plan_retention(prompt, bytes, now_ms);
            for eviction in plan.moves {
                let (place, bytes) = kept.remove(&eviction.prompt).unwrap();
                prop_assert_eq!(place, eviction.from);
                if let Some(tier) = eviction.to {
                    kept.insert(eviction.prompt, (CachePlace { tier, ..place }, bytes));
                }
            }
            if let Some(place) = plan.place {
                kept.insert(prompt, (place, bytes));
            }
            for prompt in 0..12 {
                prop_assert_eq!(planner.place(prompt), kept.get(&prompt).map(|&(place, _)| place));
            }
            for (store, tier, quota) in [(0, StoreTier::Memory, 100), (1, StoreTier::Disk, 160)] {
                let place = CachePlace { store: StoreId(store), tier };
                let used: u64 = kept.values().filter(|k| k.0 == place).map(|k| k.1).sum();
                prop_assert!(used <= quota);
            }
        }
        prop_assert!(planner.len() <= 12);
    }
}
