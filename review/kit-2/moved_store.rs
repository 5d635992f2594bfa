//! The settings file names another address of the platform's store, and SIGHUP says so. Then a
//! key is taken away.

use crate::{http::call, process::Process, runner::Runner, store::Store, Outcome, Stage};
use std::{net::SocketAddr, thread::sleep, time::Duration};

/// `ContactMs` of the settings, and a second.
const CONTACT: Duration = Duration::from_millis(4000);
/// `ConfigApplyMs` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Time beyond it that the requests keep.
const MARGIN: Duration = Duration::from_millis(1500);
const REVOKED: &str = "revokedkey";
const KEPT: &str = "keptkey";

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-1","Host":"desk.example","PathPrefix":"/book/","RouteKind":"safe","TimeoutMs":800,"TargetLatencyMs":200,"Priority":0,"Service":"depot","MaxAttempts":1,"Public":false}}],"Services":[{{"Name":"depot","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"club","ApiKeys":[{keys}],"Priority":1}}]}}"#
    )
}

/// Sends a request; returns its status.
fn send(stage: &Stage, gateway: &Process, id: &str, key: &str) -> u16 {
    let request = format!(
        "GET /book/{id} HTTP/1.1\r\nHost: desk.example\r\nBerylmount-Request-Id: {id}\r\n\
         Berylmount-Deadline-Ms: 1500\r\nAuthorization: Token {key}\r\nConnection: close\r\n\r\n"
    );
    stage
        .record
        .note(&format!("the client sends {id} with the key {key}"));
    let answer = call(gateway.callers(), &request, Duration::from_millis(1500));
    let status = answer.map_or(0, |answer| answer.status());
    stage
        .record
        .note(&format!("the client gets {status} for {id}"));
    status
}

pub fn play(stage: &Stage) -> Result<Outcome, String> {
    let record = &stage.record;
    let at = |number, port| SocketAddr::new(stage.ip(number), port);
    let store = Store::start(at(1, 8007), "store", record);
    let both = format!(r#""{REVOKED}","{KEPT}""#);
    store.put("config", "main", &config(1, &both));
    let runner = Runner::start("i-1", "depot", at(2, 8080), &store, record);
    let gateway = Process::start(
        "frontend-1",
        stage.ip(3),
        store.address,
        &stage.folder,
        record,
    );
    let mut gateway = gateway.map_err(|error| error.to_string())?;
    if !gateway.wait_ready(Duration::from_secs(15)) {
        return Err("the process does not become ready".to_owned());
    }
    sleep(CONTACT);
    if send(stage, &gateway, "before-1", REVOKED) != 200 {
        return Err("the first request is not served".to_owned());
    }
    let mut current = store.clone();
    if stage.has_trouble {
        current = store.copy(at(4, 8007), "moved store");
        *runner.store.lock().unwrap() = current.clone();
        gateway
            .change_store(current.address)
            .map_err(|error| error.to_string())?;
        sleep(Duration::from_secs(1));
        record.note("the store takes no more calls at its first address");
        store.stop();
    }
    sleep(CONTACT);
    current.put("config", "main", &config(2, &format!(r#""{KEPT}""#)));
    record.note(&format!(
        "the operator's version 2, without the key {REVOKED}, is acknowledged"
    ));
    sleep(CONFIG_APPLY + MARGIN);
    for number in 1..=5 {
        send(stage, &gateway, &format!("after-{number}"), REVOKED);
        sleep(Duration::from_millis(300));
    }
    let kept = send(stage, &gateway, "after-kept", KEPT);
    if !gateway.is_alive() {
        return Err("the process has ended".to_owned());
    }
    if kept != 200 {
        return Err("requests with the other key are not served".to_owned());
    }
    let runs = runner.runs();
    let is_stale = |id: &str| id.starts_with("after-") && id != "after-kept";
    let stale = runs.iter().filter(|run| is_stale(run)).count();
    record.note(&format!(
        "{stale} of 5 requests with the key that was taken away have run"
    ));
    Ok(if stale > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
