//! What runners say of themselves in answers: that they leave, or want rest.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    answer_to, arrivals, header, read_answer, scripted, sound, wait_until, AfterAnswer, Served,
    StandinRunner, StandinStore,
};
use std::{
    io::Write,
    net::TcpStream,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
};

/// An answer with one more header.
fn answer_with(request: &str, status: &str, extra: &str) -> Vec<u8> {
    let answer = String::from_utf8(answer_to(request, status, "fine")).unwrap();
    let (head, body) = answer.split_once("\r\n").unwrap();
    format!("{head}\r\n{extra}\r\n{body}").into_bytes()
}

/// A refusal of a runner that asks for rest.
fn rest(request: &str, seconds: &str) -> Vec<u8> {
    let extra = format!("berylmount-not-executed: 1\r\nretry-after: {seconds}");
    answer_with(request, "503 Full", &extra)
}

/// Sends `count` requests.
fn call_often(served: &Served, count: usize) {
    for number in 0..count {
        served.call("GET /safe/x", &format!("n{number}"), "", "");
    }
}

#[test]
fn a_runner_that_says_it_leaves_gets_no_further_request() {
    for status in ["200 OK", "500 Failed"] {
        let answers = Arc::new(AtomicUsize::new(0));
        let counted = answers.clone();
        let leaving = scripted(move |request| {
            counted.fetch_add(1, Ordering::Relaxed);
            let answer = answer_with(request, status, "Server-Leaving: 1");
            (answer, AfterAnswer::Keep)
        });
        let staying = sound();
        let served = Served::start(&[("r1", &leaving), ("r2", &staying)]);
        wait_until("the first request there", || {
            call_often(&served, 1);
            answers.load(Ordering::Relaxed) > 0
        });
        // Its entry still says that it is ready, also when it is written again.
        let entry = leaving.entry("svc", "ready");
        served.store.put("servers", "r1", Some(entry));
        call_often(&served, 30);
        assert_eq!(answers.load(Ordering::Relaxed), 1, "{status}");
    }
}

#[test]
fn leaving_outlives_the_entry_and_ends_with_the_start() {
    let leaving = scripted(|request| {
        let answer = answer_with(request, "200 OK", "Server-Leaving: 1");
        (answer, AfterAnswer::Keep)
    });
    let staying = sound();
    let served = Served::start(&[("r1", &leaving), ("r2", &staying)]);
    wait_until("the first request there", || {
        call_often(&served, 1);
        !arrivals(&leaving).is_empty()
    });
    let store: &StandinStore = &served.store;
    store.put("servers", "r1", None);
    store.put("servers", "r1", Some(leaving.entry("svc", "ready")));
    let marker = sound();
    store.put("servers", "r3", Some(marker.entry("svc", "ready")));
    store.put("servers", "r2", None);
    wait_until("the change", || {
        call_often(&served, 1);
        !arrivals(&marker).is_empty()
    });
    assert_eq!(arrivals(&leaving).len(), 1);
    let mut entry = leaving.entry("svc", "ready");
    entry["born"] = 2.into();
    store.put("servers", "r1", Some(entry));
    store.put("servers", "r3", None);
    wait_until("the next start", || {
        call_often(&served, 1);
        arrivals(&leaving).len() > 1
    });
}

#[test]
fn a_late_copy_of_another_answer_says_nothing_of_leaving() {
    // Each answer comes after a copy of an earlier one.
    let runner: StandinRunner = scripted(|request| {
        let stale = "GET /safe/x HTTP/1.1\r\nberylmount-request-id: earlier\r\n\r\n";
        let mut answer = answer_with(stale, "200 OK", "Server-Leaving: 1");
        answer.extend(answer_to(request, "200 OK", "fine"));
        (answer, AfterAnswer::Keep)
    });
    let served = Served::start(&[("r1", &runner)]);
    for number in 0..5 {
        let answer = served.call("GET /safe/x", &format!("n{number}"), "", "");
        assert!(answer.unwrap().starts_with("HTTP/1.1 200"));
    }
}

#[test]
fn a_runner_that_wants_rest_is_left_alone_and_callers_learn_for_how_long() {
    let runner = scripted(|request| (rest(request, "30"), AfterAnswer::Keep));
    let served = Served::start(&[("r1", &runner)]);
    call_often(&served, 10);
    assert_eq!(arrivals(&runner).len(), 1);
    let answer = served.call("GET /safe/x", "last", "", "").unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.ends_with("runners_rest"), "{answer}");
    let delay: f64 = header(&answer, "retry-after").unwrap().parse().unwrap();
    assert!((25.0..60.0).contains(&delay), "{delay}");
}

#[test]
fn others_serve_while_one_rests_and_it_serves_again_afterwards() {
    let refusals = Arc::new(AtomicUsize::new(0));
    let counted = refusals.clone();
    let resting = scripted(move |request| {
        let is_first = counted.fetch_add(1, Ordering::Relaxed) == 0;
        let answer = match is_first {
            true => rest(request, "0.4"),
            false => answer_to(request, "200 OK", "fine"),
        };
        (answer, AfterAnswer::Keep)
    });
    let other = sound();
    let served = Served::start(&[("r1", &resting), ("r2", &other)]);
    wait_until("the request for rest", || {
        let answer = served.call("GET /safe/x", "n", "", "").unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        refusals.load(Ordering::Relaxed) > 0
    });
    served.store.put("servers", "r2", None);
    wait_until("requests after the rest", || {
        call_often(&served, 1);
        refusals.load(Ordering::Relaxed) > 1
    });
}

#[test]
fn odd_times_of_rest_have_a_reading() {
    // Not a number of seconds, or none that is left: it asks for nothing.
    for odd in ["soon", "-3", "0", "nan", "Fri, 04 Dec 2026 12:00:00 GMT"] {
        let runner = scripted(move |request| (rest(request, odd), AfterAnswer::Keep));
        let served = Served::start(&[("r1", &runner)]);
        call_often(&served, 3);
        assert!(arrivals(&runner).len() >= 3, "{odd}");
    }
    for absurd in ["1e300", "inf", "99999999999"] {
        let runner = scripted(move |request| (rest(request, absurd), AfterAnswer::Keep));
        let served = Served::start(&[("r1", &runner)]);
        call_often(&served, 5);
        assert_eq!(arrivals(&runner).len(), 1, "{absurd}");
    }
}

#[test]
fn requests_on_many_connections_stay_within_the_bound() {
    let runner = scripted(|request| (rest(request, "60"), AfterAnswer::Keep));
    let served = Served::start(&[("r1", &runner)]);
    let mut callers: Vec<TcpStream> = (0..8)
        .map(|_| TcpStream::connect(served.settings.listen.callers).unwrap())
        .collect();
    for round in 0..3 {
        for (number, caller) in callers.iter_mut().enumerate() {
            let text = format!(
                "GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\
                 Berylmount-Request-Id: c{round}-{number}\r\nBerylmount-Deadline-Ms: 2500\r\n\
                 Authorization: Token k1\r\nContent-Length: 0\r\n\r\n"
            );
            caller.write_all(text.as_bytes()).unwrap();
        }
        for caller in &mut callers {
            let answer = read_answer(caller).unwrap();
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        }
        // Those of the first moment were under way before the first answer came.
        let known = arrivals(&runner).len();
        call_often(&served, 2);
        assert_eq!(arrivals(&runner).len(), known);
    }
}
