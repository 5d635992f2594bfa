//! Order keys that the system gives out, and the way of an order to dispatch.
//!
//! Giving out a key writes nothing: its date and a number that no other key
//! has are enough, and the ledger first learns of it when it is used.

use berylmount_ledger::{fresh_key, KeyPlace, LedgerDay};
use berylmount_model::{CustomerName, OrderKey};
use std::{
    hash::{BuildHasher, RandomState},
    sync::atomic::{AtomicU64, Ordering},
};

/// Makes order keys that differ from those of every other process.
///
/// ```
/// use berylmount_entry::KeyMint;
///
/// let mint = KeyMint::new(7);
/// let key = mint.next_key(1_796_342_400_000).unwrap();
/// assert!(key.as_str().starts_with("20261204-"));
/// assert_ne!(mint.next_key(1_796_342_400_000), Some(key));
/// ```
#[derive(Debug)]
pub struct KeyMint {
    /// Random for each process.
    origin: u64,
    count: AtomicU64,
}

impl KeyMint {
    /// Mixes `seed` with randomness of the operating system.
    pub fn new(seed: u64) -> Self {
        Self {
            origin: RandomState::new().hash_one(seed),
            count: AtomicU64::new(0),
        }
    }

    /// A new key of the day of `unix_ms`, wall-clock milliseconds since 1970.
    pub fn next_key(&self, unix_ms: u64) -> Option<OrderKey> {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let nonce = (u128::from(self.origin) << 64) | u128::from(count);
        fresh_key(LedgerDay::of_unix_ms(unix_ms), nonce)
    }
}

/// What an order is assigned to a dispatch process by.
///
/// Orders of one ledger segment get the same text, so that one process groups
/// their writes; `None` for a key without a date, which no process serves.
///
/// ```
/// use berylmount_entry::order_route;
/// use berylmount_model::{CustomerName, OrderKey};
///
/// let customer = CustomerName::new("north-crew").unwrap();
/// let key = |text: &str| OrderKey::new(text).unwrap();
/// assert!(order_route(&customer, &key("20261204-7")).is_some());
/// assert_eq!(order_route(&customer, &key("seven")), None);
/// ```
pub fn order_route(customer: &CustomerName, key: &OrderKey) -> Option<String> {
    let place = KeyPlace::of(customer, key).ok()?;
    Some(place.root().to_string())
}
