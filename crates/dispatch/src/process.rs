//! Starts and stops the dispatch role.

use crate::{
    calls::serve_calls,
    kept::serve_wishes,
    order_sweep::sweep_orders,
    shared::{DispatchParts, DispatchShared},
    watch::{read_list, watch_groups},
    weights::watch_weights,
};
use berylmount_wire::InboundCall;
use std::{
    io,
    net::SocketAddr,
    sync::{mpsc::Receiver, Arc},
    thread,
    time::{Duration, Instant},
};

/// Shortest wait for order outcomes to be written at a stop.
const OWED_WAIT: Duration = Duration::from_secs(2);

/// A running dispatch role.
pub struct DispatchProcess {
    /// What its threads share.
    shared: Arc<DispatchShared>,
}

impl DispatchProcess {
    /// Starts the role's threads.
    ///
    /// # Errors
    ///
    /// Returns the system's error if an address or a thread can't be had.
    ///
    /// Calls for work come through `calls`; `address` is where peers reach the
    /// process.
    pub fn start(
        parts: DispatchParts,
        calls: Receiver<InboundCall>,
        address: SocketAddr,
    ) -> io::Result<Self> {
        let (shared, wishes) = DispatchShared::new(parts)?;
        let shared = Arc::new(shared);
        spawn_duty("calls", &shared, move |shared| serve_calls(shared, &calls))?;
        // Runners are known before the first call comes, if the platform answers.
        read_list(&shared);
        spawn_duty("kept", &shared, move |shared| serve_wishes(shared, &wishes))?;
        spawn_duty("weights", &shared, |shared| watch_weights(shared))?;
        spawn_duty("groups", &shared, watch_groups)?;
        spawn_duty("orders", &shared, move |shared| {
            sweep_orders(shared, address);
        })?;
        log::info!(target: "dispatch", address:% = address; "listening for peers");
        Ok(Self { shared })
    }

    /// What its threads share.
    pub fn shared(&self) -> &Arc<DispatchShared> {
        &self.shared
    }

    /// Stops in good order: refuses new work and waits for what it has.
    ///
    /// Returns whether everything ended within the drain time.
    pub fn stop(self) -> bool {
        self.shared.tracker.drain();
        log::info!(target: "dispatch", in_flight = self.shared.tracker.in_flight(); "draining");
        let end = Instant::now() + self.shared.settings.timeouts.drain;
        let idle = self.shared.tracker.wait_idle(end);
        let rest = end.saturating_duration_since(Instant::now());
        self.shared.ledger.stop(rest.max(OWED_WAIT));
        idle
    }
}

/// Starts the thread of one duty.
fn spawn_duty(
    name: &str,
    shared: &Arc<DispatchShared>,
    duty: impl FnOnce(&Arc<DispatchShared>) + Send + 'static,
) -> io::Result<()> {
    let shared = Arc::clone(shared);
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(move || duty(&shared)).map(drop)
}
