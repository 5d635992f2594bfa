//! Detects slow stores of kept cache by the time to first event of the requests
//! that fetch from them.

use crate::{clock::boot_ms, state::GatewayState};
use berylmount_policy::store_lags::{classify_wait, quorum_lags, FetchWait, WaitClass};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time between two checks of open waits and of the lags that other instances
/// report. In a small fleet, heartbeats report lags at the same interval.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Identifies the wait of a request for its first event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct WaitId(u64);

/// A request that fetches from stores and waits for its first event.
#[derive(Debug)]
pub(crate) struct StoreWait {
    id: WaitId,
    /// Keys of the stores that the request fetches from.
    stores: Vec<u64>,
    /// When the request was sent, by the boot clock.
    started_ms: u64,
    /// Expected time to first event, and the time limit of the fetch.
    expected: FetchWait,
    /// Whether the wait was recorded as late before it ended.
    is_recorded: bool,
}

impl StoreWait {
    fn wait_class(&self, now_ms: u64) -> WaitClass {
        let waited_ms = now_ms.saturating_sub(self.started_ms) as f64;
        classify_wait(waited_ms, self.expected)
    }

    /// Classifies a wait that is still open, by the expected time alone. A wait past the
    /// limit of its fetch is recorded once, when it ends.
    fn open_wait_class(&self, now_ms: u64) -> WaitClass {
        let waited_ms = now_ms.saturating_sub(self.started_ms) as f64;
        let unlimited = FetchWait {
            limit_ms: None,
            ..self.expected
        };
        classify_wait(waited_ms, unlimited)
    }

    /// Records the wait for its stores if it is late. Called when a request ends without a
    /// first event.
    pub(crate) fn record_if_late(&self, state: &GatewayState) {
        if matches!(self.open_wait_class(boot_ms()), WaitClass::Late(_)) {
            self.record_first_event(state);
        }
    }

    /// Records the wait for its stores with its length so far. Called when the first event
    /// arrives.
    pub(crate) fn record_first_event(&self, state: &GatewayState) {
        let now_ms = boot_ms();
        let mut lags = state.lags.borrow_mut();
        lags.note_wait(&self.stores, self.wait_class(now_ms), now_ms);
    }
}

/// The open waits, sorted by id. A wait is open until the first event of its request
/// arrives or the request ends.
#[derive(Debug, Default)]
pub(crate) struct OpenWaits {
    next_id: u64,
    waits: Vec<StoreWait>,
}

impl OpenWaits {
    /// Starts the wait of a request that is sent now.
    pub(crate) fn begin(&mut self, stores: Vec<u64>, expected: FetchWait, now_ms: u64) -> WaitId {
        let id = WaitId(self.next_id);
        self.next_id += 1;
        self.waits.push(StoreWait {
            id,
            stores,
            started_ms: now_ms,
            expected,
            is_recorded: false,
        });
        id
    }

    /// Removes and returns a wait that has ended.
    pub(crate) fn end(&mut self, id: WaitId) -> Option<StoreWait> {
        let found = self.waits.binary_search_by_key(&id, |wait| wait.id);
        found.ok().map(|index| self.waits.remove(index))
    }
}

/// Records waits that are already late, and updates the lags that the planning of
/// fetches uses.
pub(crate) async fn update_store_lags(state: Rc<GatewayState>) {
    let mut previous = Vec::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now_ms = boot_ms();
        record_late_waits(&state, now_ms);
        let own = state.lags.borrow().lags(now_ms);
        let agreed = {
            let peers = state.peers.borrow();
            let mut reports = peers.reported_lags(now_ms);
            reports.push(&own);
            quorum_lags(&reports)
        };
        log_changes(&previous, &agreed);
        previous = agreed.iter().map(|(store, _)| *store).collect();
        state.stores.borrow_mut().set_lags(agreed);
    }
}

/// Records each open wait once as soon as it is late.
fn record_late_waits(state: &GatewayState, now_ms: u64) {
    let mut waits = state.waits.borrow_mut();
    for wait in waits.waits.iter_mut().filter(|wait| !wait.is_recorded) {
        let wait_class = wait.open_wait_class(now_ms);
        if let WaitClass::Late(_) = wait_class {
            wait.is_recorded = true;
            let mut lags = state.lags.borrow_mut();
            lags.note_wait(&wait.stores, wait_class, now_ms);
        }
    }
}

fn log_changes(previous: &[u64], agreed: &[(u64, u32)]) {
    for (store, lag_ms) in agreed {
        if previous.binary_search(store).is_err() {
            log::info!(target: "kept", store_key = store, lag_ms; "store started to lag");
        }
    }
    for store in previous {
        if agreed.binary_search_by_key(store, |(key, _)| *key).is_err() {
            log::info!(target: "kept", store_key = store; "store no longer lags");
        }
    }
}
