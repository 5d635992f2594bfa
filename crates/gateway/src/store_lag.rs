//! How long requests wait for their first event that fetch from stores, and
//! which stores lag for it.

use crate::{clock::boot_ms, state::GatewayState};
use berylmount_policy::lateness::{believed_lags, judge_wait, WaitVerdict};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time between two looks at open waits and at what others tell; lags are told
/// as often in a small fleet.
const STEP: Duration = Duration::from_millis(100);

/// Names an open wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct WaitId(u64);

/// A request that waits for its first event.
#[derive(Debug)]
pub(crate) struct StoreWait {
    id: WaitId,
    /// Keys of the stores that it fetches from.
    stores: Vec<u64>,
    begun_ms: u64,
    expected_ms: f64,
    /// Whether it was judged late before its end.
    is_judged: bool,
}

impl StoreWait {
    fn verdict(&self, now_ms: u64) -> WaitVerdict {
        let waited_ms = now_ms.saturating_sub(self.begun_ms) as f64;
        judge_wait(waited_ms, self.expected_ms)
    }

    /// Notes at its stores that it ended without a first event, if late.
    pub(crate) fn record_if_late(&self, state: &GatewayState) {
        if matches!(self.verdict(boot_ms()), WaitVerdict::Late(_)) {
            self.record_first_event(state);
        }
    }

    /// Notes at its stores that its first event has come.
    pub(crate) fn record_first_event(&self, state: &GatewayState) {
        let now_ms = boot_ms();
        let mut lags = state.lags.borrow_mut();
        lags.note_wait(&self.stores, self.verdict(now_ms), now_ms);
    }
}

/// The open waits, by id.
#[derive(Debug, Default)]
pub(crate) struct OpenWaits {
    next: u64,
    waits: Vec<StoreWait>,
}

impl OpenWaits {
    /// Notes a request that is sent now.
    pub(crate) fn begin(&mut self, stores: Vec<u64>, expected_ms: f64, now_ms: u64) -> WaitId {
        let id = WaitId(self.next);
        self.next += 1;
        self.waits.push(StoreWait {
            id,
            stores,
            begun_ms: now_ms,
            expected_ms,
            is_judged: false,
        });
        id
    }

    /// Takes out a wait that has ended.
    pub(crate) fn end(&mut self, id: WaitId) -> Option<StoreWait> {
        let found = self.waits.binary_search_by_key(&id, |wait| wait.id);
        found.ok().map(|index| self.waits.remove(index))
    }
}

/// Judges waits that are late already, and brings the lags before the plans.
pub(crate) async fn update_store_lags(state: Rc<GatewayState>) {
    let mut known = Vec::new();
    loop {
        sleep(STEP).await;
        let now_ms = boot_ms();
        judge_open(&state, now_ms);
        let own = state.lags.borrow().lags(now_ms);
        let believed = {
            let peers = state.peers.borrow();
            let mut told = peers.reported_lags(now_ms);
            told.push(&own);
            believed_lags(&told)
        };
        note_changes(&known, &believed);
        known = believed.iter().map(|(store, _)| *store).collect();
        state.stores.borrow_mut().set_lags(believed);
    }
}

/// Judges each open wait once when it is late.
fn judge_open(state: &GatewayState, now_ms: u64) {
    let mut waits = state.waits.borrow_mut();
    for wait in waits.waits.iter_mut().filter(|wait| !wait.is_judged) {
        let verdict = wait.verdict(now_ms);
        if let WaitVerdict::Late(_) = verdict {
            wait.is_judged = true;
            let mut lags = state.lags.borrow_mut();
            lags.note_wait(&wait.stores, verdict, now_ms);
        }
    }
}

fn note_changes(known: &[u64], believed: &[(u64, u32)]) {
    for (store, lag_ms) in believed {
        if known.binary_search(store).is_err() {
            log::info!(target: "kept", store_key = store, lag_ms; "store lags");
        }
    }
    for store in known {
        if believed
            .binary_search_by_key(store, |(key, _)| *key)
            .is_err()
        {
            log::info!(target: "kept", store_key = store; "store lags no more");
        }
    }
}
