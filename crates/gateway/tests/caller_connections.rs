//! Ends of callers' connections, tested through sockets.
#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    header, read_head, received_requests, response_to, scripted_runner, AfterResponse,
    KeptConnection, TestGateway,
};

/// Guards against bodies that the caller takes for the start of the next response.
#[test]
fn a_response_to_head_has_no_body() {
    let runner = scripted_runner(|request| {
        let body = if request.starts_with("HEAD") {
            ""
        } else {
            "fine"
        };
        (response_to(request, "200 OK", body), AfterResponse::Keep)
    });
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let mut connection = KeptConnection::open(&gateway);
    for (path, status) in [("/unknown/x", "404"), ("/safe/x", "200")] {
        connection.send(&format!("HEAD {path}"), "id1", "");
        let head = read_head(&mut connection.socket).unwrap();
        assert!(head.starts_with(&format!("HTTP/1.1 {status}")), "{head}");
        // The length, if any, is that of the response to GET.
        assert_ne!(header(&head, "content-length").as_deref(), Some("0"));
        let next = connection.call("GET /safe/x", "id2", "").unwrap();
        assert!(next.starts_with("HTTP/1.1 200"), "{next}");
    }
    assert_eq!(received_requests(&runner).len(), 3);
}
