//! Fuzz test: a connection that a caller may still reuse is not closed.

use crate::config;
use berylmount_policy::idle_limits::IdleLimits;
use proptest::{collection::vec, prelude::*};

/// Time within which an instance learns of a new limit, and callers after it, in milliseconds.
const APPLY_MS: u64 = 2000;
/// Time that a request may take on the way, in milliseconds.
const MAX_DELAY_MS: u64 = 900;

/// A change of the limit, and how much later the instance and, after it, a caller learn of it.
#[derive(Clone, Debug)]
struct LimitChange {
    after_ms: u64,
    limit_ms: u64,
    instance_ms: u64,
    caller_ms: u64,
}

fn change() -> impl Strategy<Value = LimitChange> {
    (0..2000u64, 100..8000u64, 0..APPLY_MS, 0..APPLY_MS).prop_map(
        |(after_ms, limit_ms, instance_ms, caller_ms)| LimitChange {
            after_ms,
            limit_ms,
            instance_ms,
            caller_ms,
        },
    )
}

/// Returns the limits with the times from which they are known, after `lag` of each change.
fn known_from(
    first_ms: u64,
    changes: &[LimitChange],
    lag: fn(&LimitChange) -> u64,
) -> Vec<(u64, u64)> {
    let mut known = vec![(0, first_ms)];
    let (mut changed_ms, mut learned_ms) = (0, 0);
    for change in changes {
        changed_ms += change.after_ms;
        learned_ms = learned_ms.max(changed_ms + lag(change));
        known.push((learned_ms, change.limit_ms));
    }
    known
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_connection_is_closed_while_a_caller_may_reuse_it(
        first_ms in 100..8000u64,
        changes in vec(change(), 1..6),
        start_ms in 0..8000u64,
    ) {
        let applied = known_from(first_ms, &changes, |change| change.instance_ms);
        let callers = known_from(first_ms, &changes, |change| change.instance_ms + change.caller_ms);
        let mut limits = IdleLimits::new(first_ms);
        let mut next = 1;
        let mut close_after_ms = 0;
        for now_ms in (0..start_ms + 12_000).step_by(50) {
            while next < applied.len() && applied[next].0 <= now_ms {
                limits.replace(applied[next].1, now_ms, APPLY_MS);
                next += 1;
            }
            if now_ms < start_ms {
                continue;
            }
            let idle_ms = now_ms - start_ms;
            close_after_ms = close_after_ms.max(limits.close_after_ms(now_ms));
            if idle_ms < close_after_ms {
                continue;
            }
            // Requests that were sent before and arrive now.
            for sent_ms in (start_ms.max(now_ms.saturating_sub(MAX_DELAY_MS))..=now_ms).step_by(50) {
                let known = callers.iter().rev().find(|(from_ms, _)| *from_ms <= sent_ms);
                let (_, limit_ms) = known.copied().unwrap_or_default();
                let is_reused = sent_ms - start_ms <= limit_ms * 4 / 5;
                prop_assert!(!is_reused, "closed when {idle_ms} ms idle");
            }
            return Ok(());
        }
    }
}
