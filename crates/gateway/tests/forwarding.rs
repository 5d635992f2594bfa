//! Requests through a gateway to runners that fail in every way.
#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::json;
use standins::{
    all_routes, answer_to, answer_with_id, ask, header, route, settings, stream_to, table,
    wait_until, AfterAnswer, Served, StandinRunner, StandinStore,
};
use std::{
    io::Write,
    net::TcpStream,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// Answers warm-up requests, and others by `script`.
fn scripted(
    script: impl Fn(&str) -> (Vec<u8>, AfterAnswer) + Send + Sync + 'static,
) -> StandinRunner {
    StandinRunner::start(move |request, _| match request.contains("/warm") {
        true => (answer_to(request, "200 OK", "warm"), AfterAnswer::Keep),
        false => script(request),
    })
}

fn sound() -> StandinRunner {
    scripted(|request| (answer_to(request, "200 OK", "fine"), AfterAnswer::Keep))
}

/// Requests other than those for warming up.
fn arrivals(runner: &StandinRunner) -> Vec<String> {
    let requests = runner.requests.lock().unwrap();
    let real = requests.iter().filter(|request| !request.contains("/warm"));
    real.cloned().collect()
}

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

#[test]
fn a_body_over_the_limit_is_refused_before_it_is_sent() {
    let runner = sound();
    let served = Served::start(&[("r1", &runner)]);
    let answer = ask(
        served.settings.listen.callers,
        "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n\
         Content-Length: 9000000\r\n\r\n",
    );
    let answer = answer.unwrap();
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    assert_eq!(arrivals(&runner).len(), 0);
}

/// Bytes of a body that no socket buffer holds.
const LONG_BODY: usize = 12 << 20;

/// A runner that answers after the head, and reads bodies only on its warm-up.
fn early_runner() -> StandinRunner {
    StandinRunner::start_with(|socket, head| {
        let is_early = head.contains("/unsafe/");
        let answer = answer_to(head, "200 OK", "early");
        socket.write_all(&answer).unwrap();
        match is_early {
            true => AfterAnswer::Hang,
            false => AfterAnswer::Keep,
        }
    })
}

#[test]
fn an_answer_that_comes_before_the_body_is_sent_reaches_the_caller() {
    let runner = early_runner();
    let served = Served::start(&[("r1", &runner)]);
    let mut long = table(2, all_routes());
    long["Limits"]["MaxBodyBytes"] = json!(2 * LONG_BODY);
    served.store.put("config", "main", Some(long));
    let body = "b".repeat(LONG_BODY);
    wait_until("the answer", || {
        let answer = served.call("POST /unsafe/x", "id1", "", &body);
        // Until the new table is in force the body is too long.
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200") && answer.ends_with("early"))
    });
}

#[test]
fn no_more_connections_are_opened_to_a_runner_than_it_takes() {
    let (open, most) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let (counted, peak) = (open.clone(), most.clone());
    let runner = scripted(move |request| {
        let now = counted.fetch_add(1, Ordering::SeqCst) + 1;
        peak.fetch_max(now, Ordering::SeqCst);
        // Long enough that all callers come meanwhile.
        thread::sleep(Duration::from_millis(150));
        counted.fetch_sub(1, Ordering::SeqCst);
        (answer_to(request, "200 OK", "fine"), AfterAnswer::Keep)
    });
    let served = Served::start(&[("r1", &runner)]);
    let mut narrow = table(2, all_routes());
    narrow["Services"][0]["MaxConnections"] = json!(2);
    narrow["Routes"]
        .as_array_mut()
        .unwrap()
        .push(route("/new/", "safe", 1, false));
    served.store.put("config", "main", Some(narrow));
    served.wait_status("GET /new/warm", "200", false);
    let answers: Vec<String> = thread::scope(|scope| {
        let call = |number: usize| {
            served
                .call("GET /safe/x", &format!("id{number}"), "", "")
                .unwrap()
        };
        let calls: Vec<_> = (0..8)
            .map(|number| scope.spawn(move || call(number)))
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert!(most.load(Ordering::SeqCst) <= 2, "{most:?}");
    let is_final = |answer: &String| answer.contains(" 200 ") || answer.contains(" 503 ");
    assert!(answers.iter().all(is_final), "{answers:?}");
    assert!(answers.iter().any(|answer| answer.contains(" 200 ")));
}

#[test]
fn bodies_that_are_being_sent_count_for_memory() {
    const PART: usize = 8 << 10;
    const SENDERS: usize = 64;
    let runner = sound();
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    store.put("servers", "r1", Some(runner.entry("svc", "ready")));
    let mut small = settings("i1", store.address);
    // Bodies may take a quarter of it: as much as the senders send.
    small.machine.memory_bytes = 4 * (PART * SENDERS) as u64;
    let served = Served::start_as(store, small);
    served.wait_status("GET /safe/warm", "200", false);
    let head = format!(
        "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n\
         Content-Length: {}\r\n\r\n",
        PART + 1
    );
    let part = "b".repeat(PART);
    // Each lacks its last byte.
    let send = |_| {
        let mut socket = TcpStream::connect(served.settings.listen.callers).unwrap();
        socket.write_all((head.clone() + &part).as_bytes()).unwrap();
        socket
    };
    let senders: Vec<TcpStream> = (0..SENDERS).map(send).collect();
    // What was written before has been read once a later request is answered.
    served.wait_status("GET /safe/warm", "200", false);
    let answer = served.call("POST /unsafe/x", "id1", "", &part).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    drop(senders);
    wait_until("room", || {
        let answer = served.call("POST /unsafe/x", "id2", "", &part);
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    });
}

/// Longer than a connection may be idle that carries an order.
const LONG_IDLE: Duration = Duration::from_millis(1000);

#[test]
fn an_order_does_not_go_over_a_connection_that_may_be_closed_already() {
    let runner = sound();
    let served = Served::start(&[("r1", &runner)]);
    let opened = || *runner.opened.lock().unwrap();
    served.call("GET /safe/x", "id1", "", "").unwrap();
    let before = opened();
    thread::sleep(LONG_IDLE);
    served.call("POST /unsafe/x", "id2", "", "b").unwrap();
    assert_eq!(opened(), before + 1);
}

#[test]
fn a_connection_is_not_used_beyond_the_time_that_its_runner_states() {
    let runner = scripted(|request| {
        let mut answer = answer_to(request, "200 OK", "fine");
        let start = answer.iter().position(|byte| *byte == b'\n').unwrap() + 1;
        answer.splice(start..start, *b"Keep-Alive: timeout=1\r\n");
        (answer, AfterAnswer::Keep)
    });
    let served = Served::start(&[("r1", &runner)]);
    let opened = || *runner.opened.lock().unwrap();
    served.call("GET /safe/x", "id1", "", "").unwrap();
    let before = opened();
    thread::sleep(LONG_IDLE);
    served.call("GET /safe/x", "id2", "", "").unwrap();
    assert_eq!(opened(), before + 1);
}
