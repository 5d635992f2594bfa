//! Tells callers and operators apart by their keys.
//!
//! The table and the settings hold only SHA-256 hashes of keys, and hashes are
//! compared in constant time.

use berylmount_model::{CallRefusal, CustomerName, CustomerRow, RefusalReason};
use berylmount_table::TableView;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Stands in for the hash of a customer that does not exist, so that unknown
/// and known customers take the same time.
const NO_HASH: &str = "0000000000000000000000000000000000000000000000000000000000000000";

/// Whether `key` has the SHA-256 `hash`, in hexadecimal.
///
/// ```
/// let hash = "50d858e0985ecc7f60418aaf0cc5ab587f42c2570a884095a9e8ccacd0f6545c";
/// assert!(berylmount_entry::key_matches("example", hash));
/// assert!(!berylmount_entry::key_matches("other", hash));
/// ```
pub fn key_matches(key: &str, hash: &str) -> bool {
    let found = hex::encode(Sha256::digest(key.as_bytes()));
    found.as_bytes().ct_eq(hash.as_bytes()).into()
}

/// The refusal of a caller whose key is missing or wrong.
fn unauthorized() -> CallRefusal {
    CallRefusal::not_run(
        RefusalReason::Unauthorized,
        "send `Authorization: Bearer CUSTOMER:KEY` with the customer's key",
        0,
    )
}

/// The customer who sent the `Authorization` header `value`.
///
/// # Errors
///
/// Refuses a missing or malformed header, an unknown customer and a wrong key,
/// all with the same words.
pub(crate) fn find_customer<'a>(
    view: &'a TableView,
    value: Option<&str>,
) -> Result<&'a CustomerRow, CallRefusal> {
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let (name, key) = token
        .and_then(|token| token.split_once(':'))
        .ok_or_else(unauthorized)?;
    let name = CustomerName::new(name).map_err(|_| unauthorized())?;
    let row = view.customer(&name);
    let hash = row.map_or(NO_HASH, |row| row.key_hash.as_str());
    let matches = key_matches(key, hash);
    row.filter(|_| matches).ok_or_else(unauthorized)
}
