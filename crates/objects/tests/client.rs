//! The client against the platform stand-in, and against servers that misbehave.
#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

use berylmount_model::InstanceRecord;
use berylmount_objects::{CallKind, ObjectStore, PlatformClient, StoreError, MAX_VALUE_BYTES};
use berylmount_standins::{FaultProxy, PlatformFaults, PlatformServer};
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

fn start() -> (PlatformServer, PlatformClient) {
    let server = PlatformServer::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = PlatformClient::new(server.address());
    (server, client)
}

#[test]
fn conditional_writes() {
    let (_server, client) = start();
    assert_eq!(client.get("a/b"), Ok(None));
    let first = client.put("a/b", 0, b"1").unwrap();
    let current = first;
    assert_eq!(
        client.put("a/b", 0, b"2"),
        Err(StoreError::Conflict { current })
    );
    let second = client.put("a/b", first, b"2").unwrap();
    assert!(second > first);
    assert_eq!(client.get("a/b").unwrap().unwrap().value, b"2");
    assert_eq!(client.list("a/").unwrap()[0].version, second);
    let current = second;
    assert_eq!(
        client.delete("a/b", first),
        Err(StoreError::Conflict { current })
    );
    assert_eq!(client.delete("a/b", second), Ok(()));
    assert_eq!(client.delete("a/b", second), Err(StoreError::NotFound));
    assert_eq!(
        client.put("a/b", second, b"3"),
        Err(StoreError::Conflict { current: 0 })
    );
    assert!(client.put("a/b", 0, b"3").unwrap() > second);
    assert_eq!(
        client.put("big", 0, &vec![0; MAX_VALUE_BYTES + 1]),
        Err(StoreError::TooLarge)
    );
    assert_eq!(client.put("no key", 0, b""), Err(StoreError::Malformed));
}

#[test]
fn watch_waits_for_a_newer_version() {
    let (_server, client) = start();
    let wait = Duration::from_millis(10);
    assert_eq!(client.watch("head", 0, wait), Ok(None));
    let other = client.clone();
    let waiting = thread::spawn(move || other.watch("head", 0, Duration::from_secs(30)));
    let version = client.put("head", 0, b"1").unwrap();
    assert_eq!(waiting.join().unwrap().unwrap().unwrap().version, version);
    assert_eq!(client.watch("head", version, wait), Ok(None));
    let current = version;
    assert_eq!(
        client.watch("head", version + 9, wait),
        Err(StoreError::Conflict { current })
    );
    client.delete("head", version).unwrap();
    assert_eq!(
        client.watch("head", version, wait),
        Err(StoreError::NotFound)
    );
}

#[test]
fn lost_answer_is_unclear_and_the_write_is_sent_once() {
    let (server, client) = start();
    server.set_faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    assert_eq!(client.put("a", 0, b"1"), Err(StoreError::Unclear));
    assert_eq!(client.get("a").unwrap().unwrap().value, b"1");
    assert_eq!(server.store().counts().calls(CallKind::Put), 1);
    assert_eq!(client.counts().failures(CallKind::Put), 1);
}

#[test]
fn outage_is_unavailable_and_writes_nothing() {
    let (server, client) = start();
    server.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    assert_eq!(client.put("a", 0, b"1"), Err(StoreError::Unavailable));
    assert_eq!(
        client.watch("a", 0, Duration::from_secs(9)),
        Err(StoreError::Unavailable)
    );
    server.set_faults(PlatformFaults::default());
    assert_eq!(client.get("a"), Ok(None));
}

#[test]
fn slow_write_is_unclear() {
    let (server, client) = start();
    server.set_faults(PlatformFaults {
        slow_ms: 1_000_000,
        ..PlatformFaults::default()
    });
    assert_eq!(client.put("a", 0, b"1"), Err(StoreError::Unclear));
}

/// Connections that went silent for good cost one call, not one each.
#[test]
fn silent_connections_are_given_up() {
    let (server, _) = start();
    let proxy = FaultProxy::start(server.address()).unwrap();
    let client = PlatformClient::new(proxy.address());
    let version = client.put("a", 0, b"1").unwrap();
    let other = client.clone();
    let watch = thread::spawn(move || other.watch("a", version, Duration::from_millis(300)));
    while server.store().counts().calls(CallKind::Watch) == 0 {
        thread::yield_now();
    }
    client.get("a").unwrap();
    watch.join().unwrap().unwrap();
    proxy.freeze();
    assert_eq!(client.put("a", version, b"2"), Err(StoreError::Unclear));
    let object = client.get("a").unwrap().unwrap();
    assert_eq!((object.version, object.value), (version, b"1".to_vec()));
    assert!(client.put("a", version, b"2").is_ok());
}

#[test]
fn admin_routes() {
    let (server, client) = start();
    let base = format!("http://{}/admin", server.address());
    let list = r#"[{"name":"r1","role":"runner","pool":"p","data_centre":"d",
        "address":"127.0.0.1:1","state":"live"}]"#;
    ureq::put(&format!("{base}/instances?lag_ms=1"))
        .send(list)
        .unwrap();
    let instances: Vec<InstanceRecord> = client.instances().unwrap();
    assert_eq!(instances[0].name.as_str(), "r1");
    ureq::put(&format!("{base}/faults"))
        .send(r#"{"outage":true}"#)
        .unwrap();
    assert_eq!(client.get("a"), Err(StoreError::Unavailable));
    assert!(ureq::put(&format!("{base}/faults"))
        .send(r#"{"outag":true}"#)
        .is_err());
    let counts = ureq::get(&format!("{base}/counts")).call().unwrap();
    let counts = counts.into_body().read_to_string().unwrap();
    insta::assert_snapshot!(counts, @r#"{"delete":0,"get":1,"instances":1,"list":0,"put":0,"watch":0}"#);
}

/// Answers every connection with `answer` and closes it.
fn rude_server(answer: &'static [u8]) -> PlatformClient {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(answer);
        }
    });
    PlatformClient::new(address)
}

#[test]
fn bad_answers_are_errors() {
    let answers: [&'static [u8]; 9] = [
        b"",
        b"\0\xff\xfe",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nETag: \"x\"\r\nContent-Length: 1\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nETag: \"99999999999999999999\"\r\nContent-Length: 1\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nETag: \"-1\"\r\nContent-Length: 9\r\n\r\nx",
        b"HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 301 Moved\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
    ];
    for answer in answers {
        let client = rude_server(answer);
        let text = String::from_utf8_lossy(answer);
        assert_eq!(client.put("a", 1, b"1"), Err(StoreError::Unclear), "{text}");
        assert_eq!(client.delete("a", 1), Err(StoreError::Unclear), "{text}");
        assert!(client.get("a").is_err(), "{text}");
        assert!(client.list("a").is_err(), "{text}");
        assert!(client.watch("a", 1, Duration::ZERO).is_err(), "{text}");
        assert!(client.instances().is_err(), "{text}");
    }
    let cut = b"HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 9\r\n\r\nx";
    assert_eq!(rude_server(cut).get("a"), Err(StoreError::Unavailable));
}

#[test]
fn an_unchanged_list_of_instances_is_not_sent_again() {
    let (server, client) = start();
    server.store().set_instances(&[]);
    let listing = client.instances_after(0).unwrap().unwrap();
    assert_eq!(client.instances_after(listing.version), Ok(None));
    server.store().set_instances(&[]);
    let newer = client.instances_after(listing.version).unwrap().unwrap();
    assert!(newer.version > listing.version);
}
