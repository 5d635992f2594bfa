//! Request and attempt identifiers.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::{fmt, str::FromStr};

/// Error for a text that is not a request identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a request id has 32 hexadecimal digits")]
pub struct IdError;

/// Identifier of a request, unique over the lifetime of the system.
///
/// The upper 64 bits identify the process incarnation that created it, and the lower
/// 64 bits count the requests of that incarnation.
///
/// ```
/// use berylmount_model::RequestId;
///
/// let id = RequestId::new(7, 9);
/// assert_eq!(id.to_string().parse(), Ok(id));
/// assert_eq!(id.origin(), 7);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(u128);

impl RequestId {
    /// Creates the identifier of request `count` of the process incarnation `origin`.
    pub fn new(origin: u64, count: u64) -> Self {
        Self((u128::from(origin) << 64) | u128::from(count))
    }

    /// Returns the process incarnation that created it.
    pub fn origin(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
        if text.len() != 32 || !digits {
            return Err(IdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError)
    }
}

impl TryFrom<String> for RequestId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> String {
        id.to_string()
    }
}

/// Identifier of one attempt at a request.
///
/// Every frame between processes and every engine stream carries it. A frame for
/// another attempt is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from zero.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.attempt)
    }
}

/// Incremental SHA-256 over the tokens of a response.
///
/// The last frame of a response carries the number of tokens and this digest, so that
/// a truncated response is never taken for a complete one.
#[derive(Clone, Debug, Default)]
pub struct DigestChain(Sha256);

impl DigestChain {
    /// Adds one token.
    pub fn add(&mut self, token: &str) {
        self.0.update((token.len() as u64).to_le_bytes());
        self.0.update(token.as_bytes());
    }

    /// Returns the digest of all tokens, in hexadecimal.
    pub fn finish(self) -> String {
        hex::encode(self.0.finalize())
    }
}
