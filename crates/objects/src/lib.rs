//! Client of the object API that the processes `entry` and `dispatch` use.
//!
//! The users' platform is met elsewhere, in `platform/`.
//!
//! [`ObjectStore`] is the edge at which the platform is met; everything above
//! it uses that trait, so tests can put a store in memory behind it.
//! [`PlatformClient`] speaks HTTP to the real one.
//!
//! Invariants:
//!
//! - A write answers [`StoreError::Unavailable`] only when it certainly took no
//!   effect and never will. Whatever else goes wrong with a write is
//!   [`StoreError::Unclear`]: it may have taken effect, or may yet.
//! - Versions of one object only rise, also over deletion and creation.
//! - Every call has a timeout, and every answer a bound in bytes.

mod client;
mod counts;
mod lease;
mod store;

pub use crate::{
    client::PlatformClient,
    counts::{CallCounts, CallKind},
    lease::{HeldLease, PlatformLease},
    store::{InstanceListing, ObjectHead, ObjectStore, StoreError, StoredObject, MAX_VALUE_BYTES},
};
