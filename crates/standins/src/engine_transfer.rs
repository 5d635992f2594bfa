//! The engine stand-in's moves of kept cache to and from a store.
//!
//! An import is staged: runs see its pieces only after a commit.

use crate::engine::EngineShared;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use std::time::Duration;
use ureq::Agent;

/// The longest that one transfer may take.
const TRANSFER_LIMIT: Duration = Duration::from_secs(30);

/// The address of a piece on a store.
fn piece_url(order: &Value, piece: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let store = text(&order["store"]);
    let key = text(&piece["key"]);
    let (nonce, generation) = (&piece["nonce"], &piece["generation"]);
    format!("http://{store}/v1/pieces/{key}?nonce={nonce}&generation={generation}")
}

/// An agent for one order.
fn agent() -> Agent {
    let config = Agent::config_builder().timeout_global(Some(TRANSFER_LIMIT));
    config.build().into()
}

/// Length and SHA-256 of `bytes`.
fn seal(bytes: &[u8]) -> (usize, String) {
    (bytes.len(), hex::encode(Sha256::digest(bytes)))
}

/// The pieces of an order.
fn pieces(order: &Value) -> impl Iterator<Item = &Value> {
    order["pieces"].as_array().into_iter().flatten()
}

/// Writes cached pieces to a store.
pub(crate) fn export(shared: &EngineShared, order: &Value) -> Value {
    let agent = agent();
    let mut done = Vec::new();
    for piece in pieces(order) {
        let key = piece["key"].as_str().unwrap_or_default();
        let bytes = shared.lock().cache.touch(key).map(<[u8]>::to_vec);
        let Some(bytes) = bytes else {
            continue;
        };
        let (length, checksum) = seal(&bytes);
        if agent.put(piece_url(order, piece)).send(&bytes[..]).is_ok() {
            done.push(json!({"key": key, "length": length, "checksum": checksum}));
        }
    }
    json!({ "pieces": done })
}

/// Reads pieces from a store and stages them.
pub(crate) fn import(shared: &EngineShared, order: &Value) -> Value {
    let agent = agent();
    let mut done = Vec::new();
    let mut staged = Vec::new();
    for piece in pieces(order) {
        let key = piece["key"].as_str().unwrap_or_default();
        let answer = agent.get(piece_url(order, piece)).call();
        let Ok(bytes) = answer.and_then(|mut answer| answer.body_mut().read_to_vec()) else {
            continue;
        };
        let (length, checksum) = seal(&bytes);
        staged.push((key.to_owned(), bytes));
        done.push(json!({"key": key, "length": length, "checksum": checksum}));
    }
    let name = order["import"].as_str().unwrap_or_default().to_owned();
    shared.lock().staged.insert(name, staged);
    json!({ "pieces": done })
}

/// Makes the named pieces of an import usable and drops the others.
pub(crate) fn commit(shared: &EngineShared, order: &Value) -> Value {
    let name = order["import"].as_str().unwrap_or_default();
    let mut state = shared.lock();
    let staged = state.staged.remove(name).unwrap_or_default();
    let mut done = Vec::new();
    for (key, bytes) in staged {
        let wanted = pieces(order).any(|wanted| wanted.as_str() == Some(&key));
        if wanted {
            state.add_piece(&key, bytes);
            done.push(key);
        }
    }
    json!({ "pieces": done })
}
