//! Kept-cache pieces and the keys that name them.
//!
//! A piece's key is a hash chain over its scope and every token up to its end.
//! Two prompts share a key only when customer scope, model, weight version,
//! adapter and the whole prefix agree, so customers and versions are apart by
//! construction.

use crate::{ModelName, VersionName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Tokens in one kept-cache piece.
pub const PIECE_TOKENS: usize = 1024;

/// What a piece belongs to besides its tokens.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PieceScope {
    /// The deployment, so that two deployments may share a store.
    pub deployment: String,
    /// The customer's cache scope: the customer's name unless a row says otherwise.
    pub customer_scope: String,
    /// The model.
    pub model: ModelName,
    /// The weight version.
    pub version: VersionName,
    /// The adapter, empty for none.
    pub adapter: String,
}

/// The key of one piece.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PieceKey([u8; 32]);

impl PieceKey {
    /// The key's bytes, such as for hashing.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for PieceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl TryFrom<String> for PieceKey {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut key = [0; 32];
        hex::decode_to_slice(text, &mut key)?;
        Ok(Self(key))
    }
}

impl From<PieceKey> for String {
    fn from(key: PieceKey) -> String {
        key.to_string()
    }
}

/// Adds one length-prefixed field, so that no two field lists hash alike.
fn add_field(hash: &mut Sha256, field: &[u8]) {
    hash.update((field.len() as u64).to_le_bytes());
    hash.update(field);
}

/// The keys of the whole pieces of a prompt, in order.
///
/// A last part shorter than [`PIECE_TOKENS`] has no key. Tokens are the
/// prompt's words between white space.
///
/// ```
/// use berylmount_model::{piece_chain, ModelName, PieceScope, VersionName, PIECE_TOKENS};
///
/// let scope = |customer: &str| PieceScope {
///     deployment: "test".to_owned(),
///     customer_scope: customer.to_owned(),
///     model: ModelName::new("blaze").unwrap(),
///     version: VersionName::new("v1").unwrap(),
///     adapter: String::new(),
/// };
/// let prompt = "word ".repeat(2 * PIECE_TOKENS + 1);
/// let keys = piece_chain(&scope("a"), &prompt);
/// assert_eq!(keys.len(), 2);
/// assert_ne!(keys, piece_chain(&scope("b"), &prompt));
/// ```
pub fn piece_chain(scope: &PieceScope, prompt: &str) -> Vec<PieceKey> {
    let mut hash = Sha256::new();
    add_field(&mut hash, scope.deployment.as_bytes());
    add_field(&mut hash, scope.customer_scope.as_bytes());
    add_field(&mut hash, scope.model.as_str().as_bytes());
    add_field(&mut hash, scope.version.as_str().as_bytes());
    add_field(&mut hash, scope.adapter.as_bytes());
    let mut keys = Vec::new();
    let mut count = 0;
    for token in prompt.split_whitespace() {
        add_field(&mut hash, token.as_bytes());
        count += 1;
        if count % PIECE_TOKENS == 0 {
            keys.push(PieceKey(hash.clone().finalize().into()));
        }
    }
    keys
}
