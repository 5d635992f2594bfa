//! Where an order's entry stands.
//!
//! Segments of one day form a tree with sixteen branches at each node. An
//! order's path through the tree is the SHA-256 of customer and key, so that
//! any process finds the entry without an index. A node that is full is sealed
//! for new entries for good, and the search goes on in its child; a key that
//! is absent from a sealed node stays absent there.

use crate::LedgerDay;
use berylmount_model::{CustomerName, OrderKey};
use sha2::{Digest, Sha256};
use std::fmt;

/// Prefix of the names of all ledger objects on the platform.
pub const LEDGER_PREFIX: &str = "ledger/";
/// Nodes at the top of a day's tree.
pub const ROOT_SEGMENTS: u8 = 16;
/// The deepest node; sixteen to this power entries of one day are out of reach.
const MAX_DEPTH: u8 = 16;
/// Bytes of `YYYYMMDD`.
const DATE_BYTES: usize = 8;
/// Bytes of digest in the key by which a service is called.
const SERVICE_KEY_BYTES: usize = 20;
/// Digits of a key that the system gives out, after the date.
const KEY_DIGITS: usize = 32;

/// A node in a day's tree of segments.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SegmentName {
    /// The day of the keys in it.
    pub day: LedgerDay,
    /// The branches from the top, four bits each, highest first; unused bits are zero.
    path: u64,
    /// How many branches `path` holds, from one.
    depth: u8,
}

impl SegmentName {
    /// The top nodes of a day.
    ///
    /// ```
    /// use berylmount_ledger::{LedgerDay, SegmentName};
    ///
    /// let day = LedgerDay::parse("20261204").unwrap();
    /// let names: Vec<String> = SegmentName::roots(day).map(|n| n.to_string()).collect();
    /// assert_eq!(names.len(), 16);
    /// assert_eq!(names[10], "ledger/20261204/a");
    /// ```
    pub fn roots(day: LedgerDay) -> impl Iterator<Item = Self> {
        (0..ROOT_SEGMENTS).map(move |branch| Self {
            day,
            path: u64::from(branch) << 60,
            depth: 1,
        })
    }

    /// The sixteen nodes below this one; none below the deepest.
    pub fn children(self) -> impl Iterator<Item = Self> {
        let branches = if self.depth < MAX_DEPTH { 16 } else { 0 };
        (0..branches).map(move |branch: u64| Self {
            path: self.path | branch << (60 - 4 * self.depth),
            depth: self.depth + 1,
            ..self
        })
    }

    /// Whether `place` leads through this node.
    pub fn covers(self, place: &KeyPlace) -> bool {
        place.day == self.day && place.segment(self.depth) == self
    }

    /// The node below this one on the way of `place`.
    pub fn child(self, place: &KeyPlace) -> Option<Self> {
        (self.depth < MAX_DEPTH).then(|| place.segment(self.depth + 1))
    }
}

impl fmt::Display for SegmentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = format!("{:016x}", self.path);
        let digits = &digits[..usize::from(self.depth)];
        write!(f, "{LEDGER_PREFIX}{}/{digits}", self.day)
    }
}

/// Why a key cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyError {
    /// The key does not start with a date.
    #[error("an order key starts with its date, YYYYMMDD, and '-'")]
    NoDate,
    /// The key's date lies further ahead than clocks and time zones differ.
    #[error("the order key's date lies in the future")]
    Future,
    /// The key's date is older than the ledger keeps entries.
    #[error("the order key's date is older than orders are kept")]
    Expired,
}

/// The place of one customer's key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyPlace {
    /// The day that the key names.
    pub day: LedgerDay,
    /// The path through the day's tree.
    pub(crate) hash: u64,
}

impl KeyPlace {
    /// Finds the place of a customer's key.
    ///
    /// ```
    /// use berylmount_ledger::{KeyError, KeyPlace};
    /// use berylmount_model::{CustomerName, OrderKey};
    ///
    /// let customer = CustomerName::new("north-crew").unwrap();
    /// let key = |text: &str| OrderKey::new(text).unwrap();
    /// let place = KeyPlace::of(&customer, &key("20261204-7")).unwrap();
    /// assert_eq!(place.day.to_string(), "20261204");
    /// assert_eq!(KeyPlace::of(&customer, &key("seven")), Err(KeyError::NoDate));
    /// ```
    ///
    /// # Errors
    ///
    /// [`KeyError::NoDate`] if the key has no date.
    pub fn of(customer: &CustomerName, key: &OrderKey) -> Result<Self, KeyError> {
        let text = key.as_str();
        let date = text.get(..DATE_BYTES).ok_or(KeyError::NoDate)?;
        let day = LedgerDay::parse(date).ok_or(KeyError::NoDate)?;
        let rest = text.get(DATE_BYTES..).unwrap_or_default();
        if rest.len() < 2 || !rest.starts_with('-') {
            return Err(KeyError::NoDate);
        }
        let hash = path_hash(customer, text);
        Ok(Self { day, hash })
    }

    /// Checks the key's day against the days that the ledger serves.
    ///
    /// A key may be dated a day ahead, because callers use their own zone.
    ///
    /// # Errors
    ///
    /// [`KeyError::Future`] or [`KeyError::Expired`].
    pub fn check_day(&self, today: LedgerDay, retention_days: u32) -> Result<(), KeyError> {
        if self.day > today.plus(1) {
            return Err(KeyError::Future);
        }
        if self.day < today.minus(retention_days) {
            return Err(KeyError::Expired);
        }
        Ok(())
    }

    /// The top node of the place.
    pub fn root(&self) -> SegmentName {
        self.segment(1)
    }

    /// A number that routes orders: equal for keys of one top node.
    ///
    /// Sending equal numbers to one dispatch process keeps conflicts rare.
    pub fn route(&self) -> u64 {
        self.hash >> 60
    }

    /// The node at `depth` on the place's way.
    fn segment(&self, depth: u8) -> SegmentName {
        let unused = 64 - 4 * u32::from(depth);
        let path = self.hash.checked_shr(unused).unwrap_or(0) << unused;
        SegmentName {
            day: self.day,
            path,
            depth,
        }
    }
}

/// Makes a new key of today's date; `nonce` must be unique.
///
/// ```
/// use berylmount_ledger::{fresh_key, LedgerDay};
///
/// let day = LedgerDay::parse("20261204").unwrap();
/// let key = fresh_key(day, 255);
/// assert_eq!(key.unwrap().as_str(), "20261204-000000000000000000000000000000ff");
/// ```
pub fn fresh_key(today: LedgerDay, nonce: u128) -> Option<OrderKey> {
    let text = format!("{today}-{nonce:0width$x}", width = KEY_DIGITS);
    OrderKey::new(&text).ok()
}

/// The key by which the service is called: one for each customer's key.
///
/// It keeps the date, so that a service can forget old keys by it.
///
/// ```
/// use berylmount_ledger::service_key;
/// use berylmount_model::{CustomerName, OrderKey};
///
/// let key = OrderKey::new("20261204-7").unwrap();
/// let of = |name: &str| service_key(&CustomerName::new(name).unwrap(), &key);
/// assert_ne!(of("north-crew"), of("south-crew"));
/// ```
pub fn service_key(customer: &CustomerName, key: &OrderKey) -> Option<OrderKey> {
    let date = key.as_str().get(..DATE_BYTES)?;
    let digest = key_digest(customer, key.as_str());
    let digits = hex::encode(&digest[..SERVICE_KEY_BYTES]);
    OrderKey::new(&format!("{date}-{digits}")).ok()
}

/// The digest of a customer's key; the length keeps the fields apart.
fn key_digest(customer: &CustomerName, key: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update((customer.as_str().len() as u64).to_le_bytes());
    hash.update(customer.as_str().as_bytes());
    hash.update(key.as_bytes());
    hash.finalize().into()
}

/// The path of a customer's key.
fn path_hash(customer: &CustomerName, key: &str) -> u64 {
    let digest = key_digest(customer, key);
    let head: [u8; 8] = std::array::from_fn(|i| digest[i]);
    u64::from_be_bytes(head)
}
