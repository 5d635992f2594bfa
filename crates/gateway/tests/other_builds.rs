//! Messages of other builds: of later formats, of unknown kinds, and broken ones.

#![allow(clippy::unwrap_used)]

mod standins;

use berylmount_gateway::wire_cases::{WireInput, WireKind};
use serde_json::{json, Value};
use standins::{
    all_routes, encode_heartbeat, encode_messages, send_request, settings, table, wait_until,
    StandinStore, TestGateway, WAIT_TIMEOUT,
};
use std::{
    fs,
    io::{Read, Write},
    net::{TcpStream, UdpSocket},
    time::Duration,
};

/// A number of no kind of extension.
const UNKNOWN_KIND: u16 = 60_000;
/// The number of the kind that reports evacuations.
const EVACUATIONS: u16 = 1;
/// The number of the kind by which instances state the kinds that they know.
const KNOWN_KINDS: u16 = 5;

/// An instance of another build, which the test plays.
struct OtherBuild {
    socket: UdpSocket,
    gateway: TestGateway,
}

impl OtherBuild {
    fn start() -> Self {
        Self::beside(TestGateway::start(&[]))
    }

    fn beside(gateway: TestGateway) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        socket.connect(gateway.settings.peer_address()).unwrap();
        Self { socket, gateway }
    }

    /// Encodes a heartbeat whose address for callers has `port`.
    fn heartbeat(&self, name: &str, port: u16) -> Vec<u8> {
        let address = self.socket.local_addr().unwrap();
        encode_heartbeat(name, address, port, &json!([]))
    }

    /// Waits until the gateway names the callers' address with `port`.
    fn wait_until_live(&self, port: u16) {
        let locate = self.gateway.settings.listen.locate.unwrap();
        wait_until("the instance is live", || {
            let request = "GET /berylmount/resolve HTTP/1.1\r\n\r\n";
            let response = send_request(locate, request).unwrap_or_default();
            response.contains(&format!("127.0.0.1:{port}"))
        });
    }

    fn wait_for_metric(&self, reason: &str, count: u32) {
        let line = format!("skipped_peer_messages_total{{reason=\"{reason}\"}} {count}\n");
        wait_until(&line, || self.gateway.metrics.page().contains(&line));
    }

    /// Reads datagrams until one begins with an extension of the kind `number`.
    fn wait_for_extension(&self, number: u16) {
        let mut buffer = vec![0; 65_536];
        loop {
            let length = self.socket.recv(&mut buffer).unwrap();
            let frame = encode_messages(&frame(number, &[]));
            // The length of the payload follows the number.
            if buffer[..length].starts_with(&frame[..frame.len() - 1]) {
                return;
            }
        }
    }
}

/// Returns the kinds of the extensions in a datagram of the gateway.
fn extension_kinds(datagram: &[u8]) -> Vec<String> {
    let value = WireKind::Datagram.read(WireInput::Encoded(datagram));
    let text = value.unwrap().text;
    let kinds = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix("kind: "));
    kinds
        .map(|kind| kind.trim_end_matches(',').to_owned())
        .collect()
}

fn frame(kind: u16, payload: &[u8]) -> Value {
    json!([{"Extended": {"kind": kind, "payload": payload}}])
}

#[test]
fn instance_with_a_later_heartbeat_format_counts_as_live() {
    let other = OtherBuild::start();
    let mut heartbeat = other.heartbeat("i2", 4002);
    // The format follows the tag of the message; what follows the head is of that format.
    heartbeat[1] += 1;
    heartbeat.truncate(heartbeat.len() - 3);
    heartbeat.extend([0xff; 40]);
    other.socket.send(&heartbeat).unwrap();
    other.wait_until_live(4002);
    other.wait_for_metric("other_format", 1);
}

#[test]
fn unknown_and_broken_messages_hide_no_others() {
    let other = OtherBuild::start();
    let mut datagram = other.heartbeat("i2", 4002);
    datagram.extend(encode_messages(&frame(UNKNOWN_KIND, &[1, 2, 3])));
    // A name of six bytes that ends after three.
    datagram.extend(encode_messages(&frame(KNOWN_KINDS, &[6, b'i', b'2', b'x'])));
    datagram.extend(other.heartbeat("i3", 4003));
    datagram.extend([0xff; 10]);
    other.socket.send(&datagram).unwrap();
    other.wait_until_live(4002);
    other.wait_until_live(4003);
    other.wait_for_metric("unknown_kind", 1);
    other.wait_for_metric("malformed", 2);
    other.socket.send(&other.heartbeat("i4", 4004)).unwrap();
    other.wait_until_live(4004);
}

#[test]
fn statement_of_known_kinds_is_answered() {
    let other = OtherBuild::start();
    let mut datagram = other.heartbeat("i2", 4002);
    // The name, and kinds of which the gateway knows some; fields that it does not know follow.
    let payload = [2, b'i', b'2', 2, KNOWN_KINDS as u8, 200, 9, 9];
    datagram.extend(encode_messages(&frame(KNOWN_KINDS, &payload)));
    other.socket.send(&datagram).unwrap();
    other.wait_for_extension(KNOWN_KINDS);
}

/// Guards against an instance that gets no extension at all because it lacks one of them.
#[test]
fn an_instance_gets_the_extensions_that_it_knows() {
    let store = StandinStore::start();
    let mut engines = table(1, all_routes());
    engines["Services"][0]["Engine"] = json!({"Slots": 8, "KvCapacityTokens": 100_000});
    store.put("config", "main", Some(engines));
    let mut settings = settings("i1", store.address);
    settings.bounds.evacuate = Some(Duration::from_secs(5));
    let other = OtherBuild::beside(TestGateway::start_with_settings(store, settings));
    // A refused request counts as demand, too.
    let refused = || other.gateway.call("GET /safe/x", "x", "", "");
    wait_until("the table", || {
        refused().is_some_and(|r| r.contains("no_runner"))
    });
    let mut statement = other.heartbeat("i2", 4002);
    let payload = [2, b'i', b'2', 2, EVACUATIONS as u8, KNOWN_KINDS as u8];
    statement.extend(encode_messages(&frame(KNOWN_KINDS, &payload)));
    let mut buffer = vec![0; 65_536];
    wait_until("evacuations without the demand", || {
        other.socket.send(&statement).unwrap();
        refused();
        let length = other.socket.recv(&mut buffer).unwrap();
        extension_kinds(&buffer[..length]) == [EVACUATIONS.to_string()]
    });
}

#[test]
fn request_of_an_unknown_kind_is_answered_as_by_a_busy_instance() {
    let other = OtherBuild::start();
    let mut socket = TcpStream::connect(other.gateway.settings.peer_address()).unwrap();
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let changes_of_unknown_kind = [0, 77, 0, 0];
    socket.write_all(&4u32.to_be_bytes()).unwrap();
    socket.write_all(&changes_of_unknown_kind).unwrap();
    let mut length = [0xff; 4];
    socket.read_exact(&mut length).unwrap();
    assert_eq!(length, [0; 4]);
    other.wait_for_metric("malformed", 1);
}

/// Later builds add fields to objects in the store.
#[test]
fn objects_with_added_fields_decode_as_without_them() {
    let objects = [
        (WireKind::InstanceObject, "object_instance"),
        (WireKind::LeaseObject, "object_lease"),
        (WireKind::PartObject, "object_blame"),
        (WireKind::PartObject, "object_evidence"),
        (WireKind::SoftwareObject, "object_software"),
        (WireKind::UsedSoftwareObject, "object_used_software"),
        (WireKind::StreamsObject, "object_streams"),
    ];
    for (kind, name) in objects {
        let case = fs::read_to_string(format!("tests/wire/{name}.txt")).unwrap();
        let value = case.lines().nth(2).unwrap();
        let mut later: Value = serde_json::from_str(value).unwrap();
        later["added_later"] = json!({"of": ["any", "shape"]});
        let read = |text: &str| kind.read(WireInput::Json(text)).unwrap();
        assert_eq!(read(&later.to_string()), read(value), "{name}");
    }
}

/// Earlier builds wrote leases without the last fields.
#[test]
fn missing_fields_of_a_lease_decode_to_the_cautious_values() {
    let lease = json!({"holder": "i1", "started_ms": 1, "term": 4, "renewal": 9,
                       "is_acting": true, "is_released": false});
    let decoded = WireKind::LeaseObject.read(WireInput::Json(&lease.to_string()));
    let cautious = "is_settled: false,\n    orders: None,\n    named: [],\n";
    assert!(decoded.unwrap().text.contains(cautious));
}
