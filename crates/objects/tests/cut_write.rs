//! A write whose sender dies while it sends stores nothing.

use berylmount_objects::{CallKind, ObjectStore};
use berylmount_standins::{wait_until, PlatformServer};
use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
};

#[test]
fn a_write_cut_before_its_end_is_not_stored() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformServer::start(any).unwrap();
    // Long enough that the server does not read it before the request is handed on.
    let whole = "x".repeat(20_000);
    let head = "PUT /objects/a HTTP/1.1\r\nhost: a\r\nif-match: 0\r\ncontent-length: 20000\r\n\r\n";
    for length in [0, 9_000, 19_999, 20_000] {
        let mut stream = TcpStream::connect(platform.address()).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&whole.as_bytes()[..length]).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        // The server closes a cut connection and answers a whole write.
        std::io::read_to_string(stream).unwrap_or_default();
        let stored = platform.store().get("a").unwrap();
        let stored = stored.map(|object| object.value.len());
        assert_eq!(stored, (length == whole.len()).then_some(length));
    }
    wait_until("one write", || {
        platform.store().counts().calls(CallKind::Put) == 1
    });
}
