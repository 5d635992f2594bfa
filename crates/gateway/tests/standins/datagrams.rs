//! Datagrams of an instance that a test plays.

use berylmount_gateway::wire_cases::{WireInput, WireKind};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Encodes messages.
pub(crate) fn encode_messages(messages: &Value) -> Vec<u8> {
    let text = messages.to_string();
    let value = WireKind::Datagram.read(WireInput::Json(&text)).unwrap();
    value.bytes
}

/// Encodes a heartbeat of the instance `name`, whose address for other instances is `peers` and
/// whose address for callers has `port`. `goals` has a model, a version of its weights, and
/// milliseconds since its request in each entry.
pub(crate) fn encode_heartbeat(name: &str, peers: SocketAddr, port: u16, goals: &Value) -> Vec<u8> {
    let revision = json!({"era": 0, "revision": 0});
    encode_messages(&json!([{"Heartbeat": {
        "format": 5, "name": name, "started_ms": 1, "strength": 250, "is_ready": true,
        "entry": {"callers": format!("127.0.0.1:{port}"), "peers": peers.to_string(),
                  "data_centre": "north"},
        "changed_at": [revision, revision, revision], "table_version": 0, "goals": goals,
        "in_contact": [false, false, false], "loads": [], "paces": [], "engine_paces": [],
        "lags": [], "confirmed": [], "duty": null, "runner_clock_ms": null,
        "begun_streams": {"first": 0, "streams": []},
    }}]))
}
