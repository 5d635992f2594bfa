//! Pieces of the KV cache and their keys.
//!
//! A piece is a block of [`PIECE_TOKENS`] tokens. Its key is a chained hash over its
//! scope and all tokens of the prompt up to its end. Two prompts have a key in common
//! only if deployment, customer scope, model, weights version, adapter and the whole
//! prefix are equal, so pieces are never shared between customer scopes or versions.

use crate::{ModelName, VersionName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Tokens in one piece of the KV cache.
pub const PIECE_TOKENS: usize = 1024;

/// Everything besides the tokens that a piece key depends on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PieceScope {
    /// Deployment, so that several deployments can share a store.
    pub deployment: String,
    /// Cache scope of the customer: its name, unless its row sets another.
    pub customer_scope: String,
    /// Model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: VersionName,
    /// Adapter, or empty for none.
    pub adapter: String,
}

/// Key of one piece.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PieceKey([u8; 32]);

impl PieceKey {
    /// Returns the bytes of the key.
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

/// Hashes one field with a length prefix, so that different lists of fields give
/// different input.
fn add_field(hash: &mut Sha256, field: &[u8]) {
    hash.update((field.len() as u64).to_le_bytes());
    hash.update(field);
}

/// Returns the keys of the complete pieces of a prompt, in order.
///
/// A remainder shorter than [`PIECE_TOKENS`] has no key. Tokens are the words of the
/// prompt, separated by white space.
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
