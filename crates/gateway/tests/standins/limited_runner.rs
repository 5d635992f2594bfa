//! Runners that name a request limit, and the platform's rule for what they receive.

use super::{
    runner::{header, response_to, scripted_runner},
    AfterResponse, StandinRunner,
};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Time after a limit is named from which it binds.
pub(crate) const LIMIT_CONTACT: Duration = Duration::from_secs(3);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    /// Id of the caller's request.
    pub(crate) id: String,
}

/// A runner that serves every request, names a request limit and records the requests.
#[derive(Clone)]
pub(crate) struct LimitedRunner {
    pub(crate) runner: StandinRunner,
    limit: Arc<Mutex<Option<f64>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl LimitedRunner {
    /// Starts a runner without a limit.
    pub(crate) fn start() -> Self {
        let limit: Arc<Mutex<Option<f64>>> = Arc::default();
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let (named, recorded) = (limit.clone(), arrivals.clone());
        let runner = scripted_runner(move |request| {
            let id = header(request, "berylmount-request-id").unwrap_or_default();
            let at = Instant::now();
            recorded.lock().unwrap().push(Arrival { at, id });
            let response = String::from_utf8(response_to(request, "200 OK", "fine")).unwrap();
            let (head, body) = response.split_once("\r\n").unwrap();
            let header = match *named.lock().unwrap() {
                Some(per_s) => format!("Server-Limit: {per_s}\r\n"),
                None => String::new(),
            };
            let response = format!("{head}\r\n{header}{body}");
            (response.into_bytes(), AfterResponse::Keep)
        });
        Self {
            runner,
            limit,
            arrivals,
        }
    }

    /// Sets the limit that the next responses name.
    pub(crate) fn name_limit(&self, per_s: Option<f64>) {
        *self.limit.lock().unwrap() = per_s;
    }

    /// Returns the requests since `since`.
    pub(crate) fn arrivals_since(&self, since: Instant) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        let recent = arrivals.iter().filter(|arrival| arrival.at >= since);
        recent.cloned().collect()
    }

    /// Checks that no window since `since` has more requests than the platform allows,
    /// without those that `is_excused`.
    pub(crate) fn check_kept(
        &self,
        per_s: f64,
        since: Instant,
        is_excused: impl Fn(&Arrival) -> bool,
    ) {
        let arrivals = self.arrivals_since(since);
        let counted = arrivals.iter().filter(|arrival| !is_excused(arrival));
        let counted: Vec<Instant> = counted.map(|arrival| arrival.at).collect();
        let in_window = |start: &Instant| {
            let window = counted
                .iter()
                .filter(|at| *at >= start && **at < *start + WINDOW);
            window.count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        let allowed = 1.5 * per_s * WINDOW.as_secs_f64() + 5.0;
        assert!(
            most as f64 <= allowed,
            "limit {per_s}: {most} in a window, {allowed} allowed"
        );
    }

    /// Checks that at least half of the limit was used since `since`.
    pub(crate) fn check_used(&self, per_s: f64, since: Instant) {
        let usable = per_s * since.elapsed().as_secs_f64();
        let used = self.arrivals_since(since).len();
        assert!(
            used as f64 >= usable / 2.0,
            "limit {per_s}: {used} of {usable} used"
        );
    }
}
