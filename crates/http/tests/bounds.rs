//! Bounds of the server against slow, idle and large callers.

use berylmount_http::{BodyFault, HttpAnswer, HttpCall, HttpConfig, HttpServer};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::mpsc::{sync_channel, Receiver},
    time::Duration,
};

/// Longer than any wait that a passing test needs.
const LONG: Duration = Duration::from_secs(20);

/// A server for `connections` connections that is patient for `idle`.
fn server(connections: usize, idle: Duration) -> (HttpServer, Receiver<HttpCall>) {
    let config = HttpConfig {
        max_connections: connections,
        max_head: 8_192,
        max_body: 100,
        idle_timeout: idle,
        busy: HttpAnswer::json(503, b"busy".to_vec()),
        dropped: HttpAnswer::json(500, b"dropped".to_vec()),
    };
    let (calls, received) = sync_channel(1);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    (HttpServer::start(any, config, calls).unwrap(), received)
}

/// Connects and sends `text`.
fn send(server: &HttpServer, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Everything that comes until the connection closes.
fn read_all(mut stream: TcpStream) -> String {
    let mut read = Vec::new();
    let _ = stream.read_to_end(&mut read);
    String::from_utf8_lossy(&read).into_owned()
}

/// A request without body, after whose answer the connection closes.
const GET: &str = "GET /a?b=1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

#[test]
fn an_answer_comes_piece_by_piece() {
    let (server, calls) = server(4, LONG);
    let mut stream = send(&server, GET);
    let call = calls.recv().unwrap();
    assert_eq!((call.path(), call.query()), ("/a", "b=1"));
    let mut writer = call.start("text/plain").unwrap();
    let mut read = String::new();
    let mut part = [0; 1024];
    for piece in ["one", "two", "three"] {
        writer.write(piece.into()).unwrap();
        // The piece is there before the next one is written.
        while !read.contains(piece) {
            let count = stream.read(&mut part).unwrap();
            read.push_str(std::str::from_utf8(&part[..count]).unwrap());
        }
    }
    writer.finish().unwrap();
    assert!(read_all(stream).ends_with("0\r\n\r\n"));
}

#[test]
fn a_cut_answer_has_no_last_chunk() {
    let (server, calls) = server(4, LONG);
    let stream = send(&server, GET);
    let mut writer = calls.recv().unwrap().start("text/plain").unwrap();
    writer.write(b"one".to_vec()).unwrap();
    drop(writer);
    let read = read_all(stream);
    assert!(!read.ends_with("0\r\n\r\n"), "{read}");
}

#[test]
fn a_dropped_call_is_not_said_to_be_unserved() {
    let (server, calls) = server(4, LONG);
    let stream = send(&server, GET);
    drop(calls.recv().unwrap());
    assert!(read_all(stream).ends_with("dropped"));
}

#[test]
fn a_call_without_room_is_refused_at_once() {
    let (server, calls) = server(4, LONG);
    let first = send(&server, GET);
    // The first call fills the channel; the second finds no room.
    let second = send(&server, GET);
    let busy = read_all(second);
    let first_call = calls.recv().unwrap();
    first_call
        .respond(HttpAnswer::json(200, b"served".to_vec()))
        .unwrap();
    let served = read_all(first);
    let both = [busy, served];
    assert!(both.iter().any(|text| text.ends_with("busy")), "{both:?}");
    assert!(both.iter().any(|text| text.ends_with("served")), "{both:?}");
}

#[test]
fn long_bodies_and_bodies_that_do_not_come_are_faults() {
    let (server, calls) = server(4, Duration::from_millis(100));
    let head = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ";
    let _long = send(&server, &format!("{head}101\r\n\r\n{}", "x".repeat(101)));
    let call = calls.recv().unwrap();
    assert_eq!(call.text(), Err(BodyFault::TooLong(100)));
    let _slow = send(&server, &format!("{head}10\r\n\r\nx"));
    let call = calls.recv().unwrap();
    assert!(matches!(call.text(), Err(BodyFault::NotRead(_))));
}

#[test]
fn an_idle_caller_and_a_slow_head_are_closed() {
    let (server, _calls) = server(4, Duration::from_millis(100));
    let idle = send(&server, "");
    let slow = send(&server, "GET / HTTP/1.1\r\nhost:");
    read_all(idle);
    read_all(slow);
}

#[test]
fn the_idlest_connection_gives_way_and_a_busy_one_never_does() {
    let (server, calls) = server(3, LONG);
    let busy = send(&server, GET);
    let mut writer = calls.recv().unwrap().start("text/plain").unwrap();
    let idle: Vec<_> = (0..2).map(|_| send(&server, "")).collect();
    // Each new call takes the place of the connection that idles longest.
    for stream in idle {
        let answered = send(&server, GET);
        let call = calls.recv().unwrap();
        call.respond(HttpAnswer::json(200, b"served".to_vec()))
            .unwrap();
        assert!(read_all(answered).ends_with("served"));
        drop(stream);
    }
    writer.write(b"still here".to_vec()).unwrap();
    writer.finish().unwrap();
    assert!(read_all(busy).contains("still here"));
}

#[test]
fn a_caller_who_does_not_read_is_given_up() {
    let (server, calls) = server(4, Duration::from_millis(100));
    let _stream = send(&server, GET);
    let mut writer = calls.recv().unwrap().start("text/plain").unwrap();
    let piece = vec![b'x'; 1 << 20];
    let written = (0..1_000).take_while(|_| writer.write(piece.clone()).is_ok());
    assert!(written.count() < 1_000);
}
