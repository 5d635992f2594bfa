//! Requests through a gateway to runners that fail in every way.
#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    answer_to, answer_with_id, arrivals, ask, header, scripted, sound, stream_to, table,
    wait_until, AfterAnswer, Served,
};
use std::{io::Write, net::TcpStream};

#[test]
fn the_request_is_passed_on_unchanged_but_for_the_systems_headers() {
    let runner = sound();
    let served = Served::start(&[("r1", &runner)]);
    let headers = "X-Own: 1\r\nBerylmount-Tenant: forged\r\nBerylmount-Kv-Hold: h\r\n\
                   Kv-From: 1.2.3.4:5/x\r\nBerylmount-Cache-Salt: forged\r\n\
                   Connection: keep-alive, X-Hop\r\nX-Hop: 2\r\n";
    let answer = served
        .call("POST /unsafe/a%20b?c=d", "id1", headers, "body")
        .unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("fine"),
        "{answer}"
    );
    assert_eq!(header(&answer, "berylmount-response-stamp").unwrap(), "s");
    let seen = &arrivals(&runner)[0];
    assert!(
        seen.starts_with("POST /unsafe/a%20b?c=d HTTP/1.1\r\n"),
        "{seen}"
    );
    assert!(seen.ends_with("\r\n\r\nbody"), "{seen}");
    let names = [
        "x-own",
        "berylmount-request-id",
        "berylmount-tenant",
        "berylmount-expect-instance",
        "berylmount-kv-hold",
        "kv-from",
        "berylmount-cache-salt",
        "x-hop",
        "authorization",
    ];
    let found = names.map(|name| header(seen, name).unwrap_or_default());
    assert_eq!(found, ["1", "id1", "t1", "r1", "", "", "", "", ""]);
    let left: u64 = header(seen, "berylmount-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 2500, "{left}");
}

#[test]
fn a_request_that_may_have_run_is_not_repeated() {
    let first = scripted(|_| (Vec::new(), AfterAnswer::Close));
    let second = scripted(|_| (Vec::new(), AfterAnswer::Close));
    let served = Served::start(&[("r1", &first), ("r2", &second)]);
    let answer = served.call("POST /unsafe/x", "id1", "", "b").unwrap();
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(arrivals(&first).len() + arrivals(&second).len(), 1);
}

#[test]
fn a_repeatable_request_goes_to_another_runner() {
    let broken = scripted(|request| {
        (
            answer_to(request, "200 OK", "cut off")[..60].to_vec(),
            AfterAnswer::Close,
        )
    });
    let sound = sound();
    let served = Served::start(&[("r1", &broken), ("r2", &sound)]);
    for number in 0..4 {
        let answer = served
            .call("GET /safe/x", &format!("id{number}"), "", "")
            .unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(arrivals(&sound).len(), 4);
}

#[test]
fn a_refusal_of_the_runner_allows_another_only_within_the_attempts() {
    let refuses = |request: &str| {
        let id = header(request, "berylmount-request-id").unwrap();
        let refusal = format!(
            "HTTP/1.1 503 Full\r\nberylmount-request-id: {id}\r\nberylmount-not-executed: 1\r\n\
             content-length: 0\r\n\r\n"
        );
        (refusal.into_bytes(), AfterAnswer::Keep)
    };
    let (first, second) = (scripted(refuses), scripted(refuses));
    let served = Served::start(&[("r1", &first), ("r2", &second)]);
    let answer = served.call("POST /once/x", "id1", "", "b").unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
    assert_eq!(arrivals(&first).len() + arrivals(&second).len(), 1);
    let answer = served.call("POST /unsafe/x", "id2", "", "b").unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(arrivals(&first).len() + arrivals(&second).len(), 3);
}

#[test]
fn an_answer_to_another_request_is_never_handed_on() {
    let runner = scripted(|request| {
        let mut bytes = answer_with_id("other", "200 OK", "foreign");
        bytes.extend(answer_to(request, "200 OK", "own"));
        (bytes, AfterAnswer::Keep)
    });
    let served = Served::start(&[("r1", &runner)]);
    let answer = served.call("POST /unsafe/x", "id1", "", "b").unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("own"),
        "{answer}"
    );
}

#[test]
fn an_answer_without_the_runners_stamp_or_with_an_encoding_is_no_success() {
    let runner = scripted(|request| {
        let id = header(request, "berylmount-request-id").unwrap();
        let extra = match request.contains("/plain") {
            true => "",
            false => "berylmount-response-stamp: s\r\ncontent-encoding: gzip\r\n",
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nberylmount-request-id: {id}\r\n{extra}content-length: 1\r\n\r\nx"
        );
        (answer.into_bytes(), AfterAnswer::Keep)
    });
    let served = Served::start(&[("r1", &runner)]);
    for path in ["plain", "encoded"] {
        let answer = served
            .call(&format!("POST /once/{path}"), "id1", "", "b")
            .unwrap();
        assert!(answer.starts_with("HTTP/1.1 502"), "{path}: {answer}");
    }
}

#[test]
fn an_answer_that_ends_with_its_connection_is_whole_and_framed_for_the_caller() {
    let runner = scripted(|request| {
        let id = header(request, "berylmount-request-id").unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\nberylmount-request-id: {id}\r\nberylmount-response-stamp: s\r\n\r\n"
        );
        ((head + "until the end").into_bytes(), AfterAnswer::Close)
    });
    let served = Served::start(&[("r1", &runner)]);
    let answer = served.call("POST /once/x", "id1", "", "b").unwrap();
    assert_eq!(header(&answer, "content-length").unwrap(), "13");
    assert!(answer.ends_with("until the end"), "{answer}");
}

#[test]
fn a_broken_stream_goes_on_after_its_last_whole_event() {
    let runner = |_: ()| {
        scripted(
            |request| match header(request, "last-event-id").as_deref() {
                None => {
                    let parts = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda"];
                    (stream_to(request, &parts, false), AfterAnswer::Close)
                }
                Some("2") => {
                    let parts = ["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
                    (stream_to(request, &parts, true), AfterAnswer::Keep)
                }
                Some(other) => panic!("resumed after {other}"),
            },
        )
    };
    let (first, second) = (runner(()), runner(()));
    let served = Served::start(&[("r1", &first), ("r2", &second)]);
    let answer = served.call("POST /resume/x", "id1", "", "b").unwrap();
    let body = answer.split_once("\r\n\r\n").unwrap().1;
    let lines = body
        .lines()
        .filter(|line| line.starts_with("id:") || line.starts_with("data:"));
    let lines: Vec<&str> = lines.collect();
    let expected = [
        "id: 1", "data: a", "id: 2", "data: b", "id: 3", "data: c", "id: 4", "data: d",
    ];
    assert_eq!(lines, expected);
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn a_broken_stream_that_can_not_go_on_does_not_look_complete() {
    let runner = scripted(|request| {
        (
            stream_to(request, &["id: 1\ndata: a\n\n", "id: 2\nda"], false),
            AfterAnswer::Close,
        )
    });
    let served = Served::start(&[("r1", &runner)]);
    let answer = served.call("POST /stream/x", "id1", "", "b").unwrap();
    assert!(
        answer.contains("data: a") && !answer.contains("id: 2"),
        "{answer}"
    );
    assert!(answer.ends_with("<broken off>"), "{answer}");
    assert_eq!(arrivals(&runner).len(), 1);
}

#[test]
fn a_caller_that_leaves_ends_the_work_at_the_runner() {
    let runner = scripted(|_| (Vec::new(), AfterAnswer::Hang));
    let served = Served::start(&[("r1", &runner)]);
    let mut caller = TcpStream::connect(served.settings.listen.callers).unwrap();
    let request = "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: id1\r\n\
                   Authorization: Token k1\r\nContent-Length: 1\r\n\r\nb";
    caller.write_all(request.as_bytes()).unwrap();
    wait_until("arrival", || arrivals(&runner).len() == 1);
    drop(caller);
    wait_until("the runner's connection to end", || {
        *runner.closed.lock().unwrap() == 1
    });
}

#[test]
fn a_silent_runner_gets_the_caller_a_final_answer_at_the_time_limit() {
    let runner = scripted(|_| (Vec::new(), AfterAnswer::Hang));
    let served = Served::start(&[("r1", &runner)]);
    let answer = served.call("POST /unsafe/x", "id1", "", "b").unwrap();
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
}

#[test]
fn routes_and_keys_decide_by_the_newest_table() {
    let runner = sound();
    let served = Served::start(&[("r1", &runner)]);
    let status = |line: &str| {
        let answer = served.call(line, "id1", "", "").unwrap();
        answer[9..12].to_owned()
    };
    assert_eq!(status("GET /nowhere/x"), "404");
    let unknown = "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token no\r\n\r\n";
    let answer = ask(served.settings.listen.callers, unknown).unwrap();
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    let mut newer = table(5, vec![standins::route("/added/", "safe", 1, false)]);
    newer["Tenants"][0]["ApiKeys"] = serde_json::json!(["k1", "k2"]);
    served.store.put("config", "main", Some(newer));
    wait_until("the newer table", || status("GET /added/x") == "200");
    assert_eq!(status("GET /safe/x"), "404");
    // An older version that is written later changes nothing.
    served
        .store
        .put("config", "main", Some(table(4, standins::all_routes())));
    served.store.put(
        "config",
        "main",
        Some(table(6, vec![standins::route("/last/", "safe", 1, false)])),
    );
    wait_until("the newest table", || status("GET /last/x") == "200");
    assert_eq!(status("GET /safe/x"), "404");
}

#[test]
fn a_leaving_runner_gets_no_new_request() {
    let (first, second) = (sound(), sound());
    let served = Served::start(&[("r1", &first), ("r2", &second)]);
    served
        .store
        .put("servers", "r1", Some(first.entry("svc", "draining")));
    // An entry that can't be read names no runner.
    served
        .store
        .put("servers", "odd", Some(serde_json::json!({"Service": 7})));
    wait_until("the first runner to get nothing", || {
        let before = first.count();
        for number in 0..4 {
            served
                .call("GET /safe/x", &format!("d{number}"), "", "")
                .unwrap();
        }
        first.count() == before
    });
    served.store.put("servers", "r2", None);
    wait_until("a refusal", || {
        let answer = served.call("GET /safe/x", "none", "", "").unwrap();
        answer.starts_with("HTTP/1.1 503") && header(&answer, "retry-after").is_some()
    });
}

#[test]
fn malformed_requests_are_refused_and_never_passed_on() {
    let runner = sound();
    let served = Served::start(&[("r1", &runner)]);
    let start = "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n";
    let cases = [
        (
            "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400",
        ),
        ("Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"),
        ("Content-Length: +1\r\n\r\na", "400"),
        ("Transfer-Encoding: gzip\r\n\r\n", "400"),
        ("Content-Length: 99999999\r\n\r\n", "413"),
        ("Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"),
    ];
    for (rest, status) in cases {
        let answer = match status {
            "413" => {
                let body = "x".repeat(70_000);
                ask(
                    served.settings.listen.callers,
                    &format!("{start}{rest}{body}"),
                )
            }
            _ => ask(served.settings.listen.callers, &format!("{start}{rest}")),
        };
        if let Some(answer) = answer {
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{rest:?}: {answer}"
            );
        }
    }
    assert_eq!(arrivals(&runner).len(), 0);
}

#[test]
fn a_stream_that_breaks_for_good_gets_no_second_head() {
    let runner = || {
        scripted(|request| match header(request, "last-event-id") {
            None => (
                stream_to(request, &["id: 1\ndata: a\n\n"], false),
                AfterAnswer::Close,
            ),
            Some(_) => (Vec::new(), AfterAnswer::Close),
        })
    };
    let (first, second) = (runner(), runner());
    let served = Served::start(&[("r1", &first), ("r2", &second)]);
    let answer = served.call("POST /resume/x", "id1", "", "b").unwrap();
    assert!(
        answer.contains("data: a") && answer.ends_with("<broken off>"),
        "{answer}"
    );
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert_eq!(arrivals(&first).len() + arrivals(&second).len(), 2);
}

#[test]
fn a_failure_that_can_not_be_repeated_further_is_the_runners() {
    let runner = scripted(|request| (answer_to(request, "500 Broken", "why"), AfterAnswer::Keep));
    let served = Served::start(&[("r1", &runner)]);
    let answer = served.call("GET /safe/x", "id1", "", "").unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 500") && answer.ends_with("why"),
        "{answer}"
    );
    assert_eq!(header(&answer, "berylmount-response-stamp").unwrap(), "s");
}
