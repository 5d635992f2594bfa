//! Starts and stops the entry role.

use crate::{
    auth::key_matches,
    callers::serve_request,
    http::{busy_refusal, call_text, http_config, refusal_answer},
    operators::OperatorRoutes,
    order_status::order_part,
    refusals::refusal_part,
    shared::{EntryParts, EntryShared},
};
use berylmount_http::{HttpAnswer, HttpCall, HttpServer};
use berylmount_model::{CallRefusal, RefusalReason};
use std::{
    io,
    net::SocketAddr,
    sync::{
        mpsc::{sync_channel, Receiver},
        Arc,
    },
    thread,
    time::Instant,
};

/// Requests that wait for the thread that takes them.
const REQUESTS_WAITING: usize = 256;

/// Stack of a thread that serves one request, in bytes.
const REQUEST_STACK_BYTES: usize = 256 * 1024;

/// The longest body of an operator's call, a whole sheet, in bytes.
const MAX_SHEET_BYTES: usize = 64 << 20;

/// A running entry role.
pub struct EntryProcess {
    /// What its threads share.
    shared: Arc<EntryShared>,
    /// Takes callers' requests.
    server: HttpServer,
    /// Takes operators' requests.
    operators: HttpServer,
}

impl EntryProcess {
    /// Starts the role's threads.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address or a thread can't be had.
    pub fn start(parts: EntryParts) -> io::Result<Self> {
        let entry = &parts.settings.entry;
        let (calls, requests) = sync_channel(REQUESTS_WAITING);
        let config = http_config(entry, entry.max_body);
        let server = HttpServer::start(entry.callers_listen, config, calls)?;
        let shared = Arc::new(EntryShared::new(parts, server.address()));
        let taking = Arc::clone(&shared);
        spawn_duty("callers", move || take_requests(&taking, &requests))?;
        let operators = mount_operators(&shared)?;
        log::info!(target: "entry", address:% = server.address(); "listening for callers");
        Ok(Self {
            shared,
            server,
            operators,
        })
    }

    /// What its threads share.
    pub fn shared(&self) -> &Arc<EntryShared> {
        &self.shared
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.shared.caller_address
    }

    /// Where operators reach it.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Stops in good order.
    ///
    /// Callers are told of other entries at once. Requests are served until
    /// every answer that named this entry has run out and its streams ended.
    /// Returns whether everything ended within the drain time.
    pub fn stop(self) -> bool {
        self.shared.tracker.drain();
        let timeouts = &self.shared.settings.timeouts;
        log::info!(target: "entry", in_flight = self.shared.tracker.in_flight(); "draining");
        thread::sleep(timeouts.locate_ttl.min(timeouts.drain));
        let end = Instant::now() + timeouts.drain.saturating_sub(timeouts.locate_ttl);
        if !self.shared.tracker.wait_idle(end) {
            return false;
        }
        log::info!(target: "entry", address:% = self.server.address(); "closing");
        true
    }
}

/// Starts the thread of one duty.
fn spawn_duty(name: &str, duty: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(duty).map(drop)
}

/// Listens for operators and serves their routes.
fn mount_operators(shared: &Arc<EntryShared>) -> io::Result<HttpServer> {
    let entry = &shared.settings.entry;
    let (calls, requests) = sync_channel::<HttpCall>(REQUESTS_WAITING);
    let config = http_config(entry, MAX_SHEET_BYTES);
    let server = HttpServer::start(entry.operators_listen, config, calls)?;
    let routes = OperatorRoutes::new(
        Arc::clone(&shared.store),
        Arc::clone(&shared.table),
        shared.clock,
        vec![refusal_part(shared), order_part(Arc::clone(&shared.store))],
    );
    let shared = Arc::clone(shared);
    let routes = Arc::new(routes);
    spawn_duty("operators", move || {
        for call in requests {
            let (shared, routes) = (Arc::clone(&shared), Arc::clone(&routes));
            // An edit waits for other processes, so each call has its thread.
            let spawned = spawn_duty("operator", move || {
                serve_operator(&shared, &routes, call);
            });
            if let Err(e) = spawned {
                log::error!(target: "operators", "no thread for a call: {e}");
            }
        }
    })?;
    Ok(server)
}

/// Serves one call of an operator.
fn serve_operator(shared: &EntryShared, routes: &OperatorRoutes, call: HttpCall) {
    let answer =
        operator_answer(shared, routes, &call).unwrap_or_else(|refusal| refusal_answer(&refusal));
    if let Err(e) = call.respond(answer) {
        log::info!(target: "operators", "an operator was lost: {e}");
    }
}

/// Checks the operators' key and answers the call.
fn operator_answer(
    shared: &EntryShared,
    routes: &OperatorRoutes,
    call: &HttpCall,
) -> Result<HttpAnswer, CallRefusal> {
    let key = call.header("authorization");
    let key = key.and_then(|value| value.strip_prefix("Bearer "));
    let hash = &shared.settings.entry.operator_key_sha256;
    if !key_matches(key.unwrap_or_default(), hash) {
        let detail = "the operators' key is missing or wrong";
        return Err(CallRefusal::not_run(RefusalReason::Unauthorized, detail, 0));
    }
    let body = call_text(call)?.as_bytes();
    let method = call.method().as_str();
    let (status, body) = routes.handle(method, call.path(), call.query(), body);
    Ok(HttpAnswer::json(status, body))
}

/// Takes requests from the listener until it stops.
fn take_requests(shared: &Arc<EntryShared>, requests: &Receiver<HttpCall>) {
    for call in requests {
        if shared.tracker.in_flight() >= shared.settings.entry.max_in_flight {
            refuse_full(shared, call);
            continue;
        }
        let guard = shared.tracker.enter();
        let serving = Arc::clone(shared);
        let builder = thread::Builder::new()
            .name("request".to_owned())
            .stack_size(REQUEST_STACK_BYTES);
        let spawned = builder.spawn(move || {
            let _guard = guard;
            serve_request(&serving, call);
        });
        if let Err(e) = spawned {
            log::error!(target: "entry", "no thread for a request: {e}");
        }
    }
}

/// Refuses a request because too many are in flight.
fn refuse_full(shared: &EntryShared, call: HttpCall) {
    let refusal = busy_refusal("the entry has too many requests in flight");
    shared.note_refusal(&refusal);
    if let Err(e) = call.respond(refusal_answer(&refusal)) {
        log::info!(target: "entry", "a caller was lost: {e}");
    }
}
