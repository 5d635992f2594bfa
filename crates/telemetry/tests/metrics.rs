//! Tests of `/metrics`, `/healthz` and the generated documentation page.

#![allow(clippy::unwrap_used)]

use berylmount_telemetry::{
    metrics_table, serve_metrics, CounterMetric, GaugeMetric, HealthState, MetricSet, SharedHealth,
};
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    sync::Arc,
};

const TABLE_MARKER: &str = "<!-- table -->\n";

fn get(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    write!(
        stream,
        "{request} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"
    )
    .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn serves_metrics_and_health_and_refuses_the_rest() {
    let metrics = Arc::new(MetricSet::new().unwrap());
    let health = Arc::new(SharedHealth::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = serve_metrics(listener, Arc::clone(&metrics), Arc::clone(&health)).unwrap();
    metrics.add(CounterMetric::TokensTotal, "", 3);
    metrics.set(GaugeMetric::Members, "live", 7);
    metrics.adjust(GaugeMetric::Members, "live", -1);

    let page = get(server.address(), "GET /metrics");
    assert!(page.contains("\nberylmount_tokens_total 3\n"), "{page}");
    assert!(
        page.contains("\nberylmount_members{state=\"live\"} 6\n"),
        "{page}"
    );
    for (state, status) in [
        (HealthState::Starting, 503),
        (HealthState::Ready, 200),
        (HealthState::Leaving, 503),
    ] {
        health.set(state);
        let response = get(server.address(), "GET /healthz");
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert!(response.ends_with(&format!("{state}\n")), "{response}");
    }
    assert!(get(server.address(), "GET /other").starts_with("HTTP/1.1 404 "));
    assert!(get(server.address(), "DELETE /metrics").starts_with("HTTP/1.1 405 "));
}

#[test]
fn page_agrees_with_the_code() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = fs::read_to_string(&path).unwrap();
    let (head, table) = page.split_once(TABLE_MARKER).unwrap();
    if std::env::var_os("BLESS").is_some() {
        fs::write(&path, format!("{head}{TABLE_MARKER}{}", metrics_table())).unwrap();
    } else {
        assert_eq!(
            table,
            metrics_table(),
            "run BLESS=1 cargo test -p berylmount-telemetry"
        );
    }
}
