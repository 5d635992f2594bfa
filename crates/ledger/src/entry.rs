//! One order's entry and what it is made of.

use crate::{KeyError, KeyPlace};
use berylmount_model::{CustomerName, OrderKey, PoolName, RequestVerdict, WorkName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// The longest answer that an entry holds whole, in bytes of its JSON string.
pub const MAX_ANSWER_BYTES: usize = 1_024;
/// The longest note of an operator or a process, in characters.
const MAX_NOTE_CHARS: usize = 160;

/// The SHA-256 of an order's body or answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BodyDigest([u8; 32]);

impl BodyDigest {
    /// Digests `bytes`.
    ///
    /// ```
    /// use berylmount_ledger::BodyDigest;
    ///
    /// assert_eq!(BodyDigest::of(b"paint"), BodyDigest::of(b"paint"));
    /// assert_ne!(BodyDigest::of(b"paint"), BodyDigest::of(b"point"));
    /// ```
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl TryFrom<String> for BodyDigest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut digest = [0; 32];
        hex::decode_to_slice(text, &mut digest)?;
        Ok(Self(digest))
    }
}

impl From<BodyDigest> for String {
    fn from(digest: BodyDigest) -> String {
        digest.to_string()
    }
}

/// Names one attempt to start an order; no two attempts share one.
///
/// Only the attempt whose nonce stands in the entry may call the service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct WriterNonce {
    /// The process incarnation that made it.
    pub origin: u64,
    /// Counts within the incarnation.
    pub count: u64,
}

impl fmt::Display for WriterNonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.origin, self.count)
    }
}

/// Why a text is not a nonce.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a writer nonce is two hexadecimal numbers with '-' between them")]
pub struct NonceError;

impl TryFrom<String> for WriterNonce {
    type Error = NonceError;

    fn try_from(text: String) -> Result<Self, NonceError> {
        let (origin, count) = text.split_once('-').ok_or(NonceError)?;
        let number = |text| u64::from_str_radix(text, 16).map_err(|_| NonceError);
        Ok(Self {
            origin: number(origin)?,
            count: number(count)?,
        })
    }
}

impl From<WriterNonce> for String {
    fn from(nonce: WriterNonce) -> String {
        nonce.to_string()
    }
}

/// An order as its caller states it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderIntent {
    /// The customer; keys of two customers never meet.
    pub customer: CustomerName,
    /// The caller's idempotency key.
    pub key: OrderKey,
    /// The kind of work.
    pub work: WorkName,
    /// The pool of the service, which a table edit may change under a key.
    pub pool: PoolName,
    /// The digest of the body.
    pub body: BodyDigest,
}

impl OrderIntent {
    /// Where the order's entry stands.
    ///
    /// # Errors
    ///
    /// [`KeyError::NoDate`] if the key has no date.
    pub fn place(&self) -> Result<KeyPlace, KeyError> {
        KeyPlace::of(&self.customer, &self.key)
    }
}

/// A service's answer as the ledger keeps it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The answer, if it is short enough to be kept whole.
    pub text: Option<String>,
    /// The digest of the whole answer.
    pub digest: BodyDigest,
    /// The length of the whole answer.
    pub bytes: u64,
}

impl RecordedAnswer {
    /// Records `text`, whole if it takes at most [`MAX_ANSWER_BYTES`].
    ///
    /// ```
    /// use berylmount_ledger::RecordedAnswer;
    ///
    /// assert!(RecordedAnswer::of("order 17").text.is_some());
    /// let long = RecordedAnswer::of(&"x".repeat(5_000));
    /// assert_eq!((long.text, long.bytes), (None, 5_000));
    /// ```
    pub fn of(text: &str) -> Self {
        let fits = text.len() <= MAX_ANSWER_BYTES && json_bytes(text) <= MAX_ANSWER_BYTES;
        Self {
            text: fits.then(|| text.to_owned()),
            digest: BodyDigest::of(text.as_bytes()),
            bytes: text.len() as u64,
        }
    }
}

/// The length of `text` as a JSON string.
fn json_bytes(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX, |json| json.len())
}

/// Who stated an outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeSource {
    /// The process that wrote the intent.
    Writer,
    /// The service, asked by key later on.
    LookUp,
    /// An operator, with a note on how they know.
    Operator(String),
}

impl OutcomeSource {
    /// An operator's note, cut to the length that an entry holds.
    pub fn operator(note: &str) -> Self {
        Self::Operator(note.chars().take(MAX_NOTE_CHARS).collect())
    }
}

/// How far an order has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The writer may be calling the service, or may have called it.
    Intent,
    /// The service ran the order.
    Ran {
        /// The answer; none if an operator settled the order.
        answer: Option<RecordedAnswer>,
        /// Who says so.
        source: OutcomeSource,
    },
    /// This attempt did not run and will not; a new call may start the order.
    NotRun {
        /// Who says so.
        source: OutcomeSource,
    },
}

impl OrderState {
    /// What a caller is told of the order.
    pub fn verdict(&self) -> RequestVerdict {
        match self {
            Self::Intent => RequestVerdict::MayHaveRun,
            Self::Ran { .. } => RequestVerdict::Ran,
            Self::NotRun { .. } => RequestVerdict::NotRun,
        }
    }
}

/// One order in a segment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrderEntry {
    /// The customer.
    pub customer: CustomerName,
    /// The caller's idempotency key.
    pub key: OrderKey,
    /// The kind of work.
    pub work: WorkName,
    /// The pool of the service that was to run it.
    pub pool: PoolName,
    /// The digest of the body; another body under the same key is refused.
    pub body: BodyDigest,
    /// The attempt that may call the service.
    pub nonce: WriterNonce,
    /// When the attempt was written, in milliseconds since 1970.
    pub since_unix_ms: u64,
    /// How far the order has come.
    pub state: OrderState,
}

impl OrderEntry {
    /// The entry of a new attempt.
    pub(crate) fn new(
        intent: &OrderIntent,
        nonce: WriterNonce,
        unix_ms: u64,
        state: OrderState,
    ) -> Self {
        Self {
            customer: intent.customer.clone(),
            key: intent.key.clone(),
            work: intent.work.clone(),
            pool: intent.pool.clone(),
            body: intent.body,
            nonce,
            since_unix_ms: unix_ms,
            state,
        }
    }

    /// Whether `intent` asks for the same work with the same body.
    pub(crate) fn agrees(&self, intent: &OrderIntent) -> bool {
        self.work == intent.work && self.body == intent.body
    }
}
