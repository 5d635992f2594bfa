//! A runner of a plain service, as PROTOCOL.md describes it.

use crate::{
    http::{read_message, response, Message},
    record::Record,
    store::Store,
};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Time between two status reports.
const HEARTBEAT: Duration = Duration::from_millis(1200);

#[derive(Clone)]
pub struct Runner {
    id: &'static str,
    service: &'static str,
    address: SocketAddr,
    /// The store that it reports to.
    pub store: Arc<Mutex<Store>>,
    /// Ids of the requests that it has run.
    runs: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Runner {
    pub fn start(
        id: &'static str,
        service: &'static str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("an address for the runner");
        let runner = Self {
            id,
            service,
            address: listener.local_addr().expect("the address of the runner"),
            store: Arc::new(Mutex::new(store.clone())),
            runs: Arc::default(),
            record: record.clone(),
        };
        let serving = runner.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let runner = serving.clone();
                thread::spawn(move || runner.serve_connection(socket));
            }
        });
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        runner.report(born, 0);
        let reporting = runner.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                thread::sleep(HEARTBEAT);
                reporting.report(born, sequence);
            }
        });
        runner
    }

    /// Returns the ids of the requests that it has run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    fn report(&self, born: u128, sequence: u64) {
        let entry = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"bdg-a","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":{sequence},"born":{born}}}"#,
            self.service, self.address
        );
        let store = self.store.lock().unwrap().clone();
        store.put("servers", self.id, &entry);
    }

    fn serve_connection(&self, socket: TcpStream) {
        let Ok(mut writer) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(socket);
        while let Some(request) = read_message(&mut reader) {
            if writer.write_all(self.answer(&request).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let id = request
            .header("berylmount-request-id")
            .unwrap_or("")
            .to_owned();
        let (method, target) = request.request_line();
        let echo = format!("Berylmount-Request-Id: {id}\r\n");
        let is_other = request
            .header("berylmount-expect-instance")
            .is_some_and(|id| id != self.id);
        if is_other {
            let headers = format!("{echo}Berylmount-Not-Executed: 1\r\n");
            return response("421 Misdirected Request", &headers, "");
        }
        let tenant = request.header("berylmount-tenant").unwrap_or("none");
        self.record.note(&format!(
            "{} runs {id} ({method} {target}), tenant {tenant}",
            self.id
        ));
        let mut runs = self.runs.lock().unwrap();
        runs.push(id);
        let stamp = format!("{}.{}", self.id, runs.len());
        drop(runs);
        let headers = format!(
            "{echo}Berylmount-Response-Stamp: {stamp}\r\nBerylmount-Instance-Load: 1,0,6\r\n"
        );
        response("200 OK", &headers, "booked")
    }
}
