//! Runs `berylmount table` and `berylmount status` as processes against an
//! entry's operator routes with an in-memory store.
#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

use berylmount_entry::OperatorRoutes;
use berylmount_model::MonotonicClock;
use berylmount_standins::{MemoryStore, WriteFault};
use berylmount_table::TableReplica;
use std::{
    fs,
    net::SocketAddr,
    process::Command,
    sync::{atomic::AtomicBool, Arc},
    thread,
};
use tiny_http::{Method, Response, Server};

const KEY: &str = "operators' key";

/// An HTTP server for an entry's operator routes that runs until the test ends.
struct OperatorServer {
    address: SocketAddr,
    store: Arc<MemoryStore>,
}

impl OperatorServer {
    fn open() -> Self {
        let (store, clock) = (Arc::new(MemoryStore::default()), MonotonicClock::start());
        let table = Arc::new(TableReplica::new(clock.now_ms()));
        table.set_peers(&[]);
        let (followed, replica) = (store.clone(), table.clone());
        let never = AtomicBool::new(false);
        thread::spawn(move || replica.run(&*followed, &|| clock.now_ms(), &never));
        let routes = OperatorRoutes::new(store.clone(), table, clock, Vec::new());
        let server = Server::http("127.0.0.1:0").unwrap();
        let address = server.server_addr().to_ip().unwrap();
        thread::spawn(move || serve(&server, &routes));
        Self { address, store }
    }

    /// Runs the command; returns its exit code and its output.
    fn run(&self, arguments: &[&str]) -> (Option<i32>, String) {
        run_at(&self.address.to_string(), arguments)
    }
}

fn serve(server: &Server, routes: &OperatorRoutes) {
    for mut request in server.incoming_requests() {
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).unwrap();
        let bearer = format!("Bearer {KEY}");
        let mut headers = request.headers().iter();
        let known = headers.any(|h| h.field.equiv("authorization") && h.value.as_str() == bearer);
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let method = if *request.method() == Method::Post {
            "POST"
        } else {
            "GET"
        };
        let (status, body) = match known {
            true => routes.handle(method, path, query, &body),
            false => (401, Vec::new()),
        };
        request
            .respond(Response::from_data(body).with_status_code(status))
            .unwrap();
    }
}

fn run_at(entry: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_berylmount"))
        .args(arguments)
        .env("BERYLMOUNT_ENTRY", entry)
        .env("BERYLMOUNT_OPERATOR_KEY", KEY)
        .env("USER", "ana")
        .output()
        .unwrap();
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(printed).unwrap())
}

/// Replaces the number in each age by `N`.
fn without_ages(text: &str) -> String {
    let words = text.split(' ').collect::<Vec<_>>();
    let mut words = words.into_iter().map(str::to_owned).collect::<Vec<_>>();
    for at in 2..words.len() {
        if words[at].starts_with("ago") {
            words[at - 2] = "N".to_owned();
        }
    }
    words.join(" ")
}

#[test]
fn operator_commands_print_their_results() {
    let server_handle = OperatorServer::open();
    let steps: [&[&str]; 14] = [
        &[
            "table",
            "set",
            "pool",
            "blaze-models",
            "role=engine",
            "--id",
            "1",
        ],
        &["table", "set", "model", "blaze", "version=v1", "--id", "2"],
        &[
            "table",
            "set",
            "work",
            "report",
            "pool=blaze-models",
            "model=blaze",
            "idempotent=yes",
            "--id",
            "3",
        ],
        &[
            "table",
            "set",
            "customer",
            "crew",
            "key=a secret",
            "weight=2",
            "--id",
            "4",
        ],
        &[
            "table",
            "set",
            "limit",
            "crew/report",
            "rate_per_s=0",
            "burst=2",
            "--id",
            "5",
        ],
        &[
            "table",
            "set",
            "limit",
            "crew/report",
            "rate_per_s=0.5",
            "burst=2",
            "--id",
            "6",
        ],
        &["table", "get", "limit", "crew/report"],
        &["table", "set", "model", "blaze", "version=v2", "--id", "7"],
        &[
            "table",
            "set",
            "model",
            "blaze",
            "version=v3",
            "--version",
            "1",
            "--id",
            "8",
        ],
        &["table", "history", "model", "blaze"],
        &["table", "delete", "pool", "blaze-models", "--id", "9"],
        &["table", "delete", "limit", "crew/report", "--id", "10"],
        &["table", "list", "work"],
        &["status"],
    ];
    let mut printed = String::new();
    for step in steps {
        let (code, text) = server_handle.run(step);
        printed += &format!(
            "$ berylmount {}\n{}exit {}\n",
            step.join(" "),
            text,
            code.unwrap()
        );
    }
    // The freshness line depends on the load of the machine.
    let lines = printed
        .lines()
        .filter(|line| !line.contains(" freshness: "));
    let printed = lines.collect::<Vec<_>>().join("\n");
    insta::assert_snapshot!(without_ages(&printed));
}

#[test]
fn an_exported_csv_file_can_be_imported() {
    let server_handle = OperatorServer::open();
    server_handle.run(&["table", "set", "model", "blaze", "version=v1"]);
    let folder = std::env::temp_dir().join(format!("berylmount-sheet-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join("table.csv");
    let file = path.to_str().unwrap();
    assert_eq!(server_handle.run(&["table", "export", file]).0, Some(0));
    let sheet = fs::read_to_string(&path).unwrap();
    fs::write(&path, sheet.replace("v1", "v2")).unwrap();
    let steps: [&[&str]; 3] = [
        &["table", "import", file, "--dry-run"],
        &["table", "import", file, "--id", "i1"],
        &["table", "import", file, "--delete-missing"],
    ];
    let printed = steps.map(|step| server_handle.run(step));
    fs::remove_dir_all(&folder).unwrap();
    insta::assert_debug_snapshot!(printed);
}

#[test]
fn exit_codes_tell_scripts_the_outcome() {
    let server_handle = OperatorServer::open();
    let set: &[&str] = &["table", "set", "model", "blaze", "version=v1", "--id", "e1"];
    (0..40).for_each(|_| server_handle.store.add_write_fault(WriteFault::LoseRequest));
    server_handle.store.set_outage(true);
    assert_eq!(server_handle.run(set).0, Some(8));
    server_handle.store.set_outage(false);
    (0..200).for_each(|_| server_handle.store.add_write_fault(WriteFault::LoseRequest));
    let (code, text) = server_handle.run(set);
    assert_eq!((code, text.contains("--id e1")), (Some(7), true), "{text}");
    server_handle.store.clear_write_faults();
    assert_eq!(server_handle.run(set).0, Some(0));
    assert_eq!(server_handle.run(set).0, Some(0));
    let race = &[
        "table",
        "set",
        "model",
        "blaze",
        "version=v2",
        "--version",
        "9",
    ];
    assert_eq!(server_handle.run(race).0, Some(5));
    assert_eq!(
        server_handle
            .run(&["table", "set", "model", "blaze", "version"])
            .0,
        Some(2)
    );
    assert_eq!(server_handle.run(&["table", "get", "model"]).0, Some(2));
    assert_eq!(
        server_handle.run(&["table", "get", "model", "dune"]).0,
        Some(1)
    );
    assert_eq!(server_handle.run(&["status", "--help"]).0, Some(0));
    assert_eq!(run_at("nowhere", &["status"]).0, Some(2));
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    assert_eq!(run_at(&closed.to_string(), set).0, Some(8));
    let both = format!("{closed},{}", server_handle.address);
    assert_eq!(
        run_at(&both, &["table", "get", "model", "blaze"]).0,
        Some(0)
    );
    let (_, json) = server_handle.run(&["table", "get", "model", "blaze", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["cells"][0]["text"], "v1");
}
