//! Whether an instance has a network path to the runners of a service.
//!
//! A runner that has crashed refuses connections as a lost path does. The path therefore
//! counts as lost only if none of several runners drawn at random accepts a connection
//! (probes). Probes are sent only on suspicion: after failed connections to two runners, or
//! when requests are in flight and no runner of the service sends anything for some time.
//!
//! Invariants:
//!
//! - Silence alone never closes a path, because sound runners may pause.
//! - A path opens again only after several connections in a row were opened.
//! - Without failed connections and silence, no probes are sent.

/// Time without a byte from any runner of the service, with requests in flight, after which the
/// path is suspect, in milliseconds.
pub const SILENCE_MS: u64 = 300;
/// Number of runners to which a connection failed after which the path is suspect.
const MIN_FAILED_RUNNERS: usize = 2;
/// Time after which a failed connection is no evidence any more, in milliseconds.
const FAILURE_AGE_MS: u64 = 2000;
/// Number of failed probes without an open one that close a path, if there are as many runners.
const CLOSING_PROBES: usize = 3;
/// Number of open probes in a row that open a path.
const OPENING_PROBES: usize = 2;
/// Time between a cleared suspicion and the next one, in milliseconds.
const SUSPICION_INTERVAL_MS: u64 = 1000;
/// Time between two probes of a closed path, in milliseconds.
const CLOSED_PROBE_INTERVAL_MS: u64 = 500;

/// What an instance knows about its path to the runners of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathState {
    /// The path works as far as known.
    Open,
    /// Probes decide whether it works.
    Suspect,
    /// No new connection can be opened.
    Closed,
}

/// The path of one instance to the runners of one service. Times are of a clock that includes
/// suspended time.
#[derive(Clone, Debug)]
pub struct ServicePath {
    state: PathState,
    /// Runners to which a connection failed since one was opened, with the time, sorted.
    failed: Vec<(u64, u64)>,
    /// Whether a call failed that is rare, so that it is not left to chance whether a second
    /// runner fails.
    is_doubted: bool,
    /// Requests that were sent and have not ended.
    in_flight: u32,
    /// Since when requests are in flight without interruption.
    in_flight_since_ms: u64,
    /// When the last byte arrived.
    received_ms: u64,
    /// Probes under way.
    probing: usize,
    /// Failed probes of this suspicion, or opened probes in a row while the path is closed.
    counted: usize,
    /// Earliest time of the next suspicion or probe.
    next_ms: u64,
}

impl Default for ServicePath {
    fn default() -> Self {
        Self {
            state: PathState::Open,
            failed: Vec::new(),
            is_doubted: false,
            in_flight: 0,
            in_flight_since_ms: 0,
            received_ms: 0,
            probing: 0,
            counted: 0,
            next_ms: 0,
        }
    }
}

impl ServicePath {
    /// Returns the state of the path.
    pub fn state(&self) -> PathState {
        self.state
    }

    /// Records whether a connection to a runner could be opened.
    pub fn note_connection(&mut self, runner: u64, is_open: bool, now_ms: u64) {
        if is_open {
            self.failed.clear();
            return;
        }
        match self.failed.binary_search_by_key(&runner, |(key, _)| *key) {
            Ok(index) => self.failed[index].1 = now_ms,
            Err(index) => self.failed.insert(index, (runner, now_ms)),
        }
    }

    /// Makes the path suspect, after a rare call failed to connect.
    pub fn note_doubt(&mut self) {
        self.is_doubted = true;
    }

    /// Records that a request was sent to a runner.
    pub fn note_sent(&mut self, now_ms: u64) {
        if self.in_flight == 0 {
            self.in_flight_since_ms = now_ms;
        }
        self.in_flight += 1;
    }

    /// Records that a runner sent something.
    pub fn note_received(&mut self, now_ms: u64) {
        self.received_ms = now_ms;
    }

    /// Records that a request which was sent has ended.
    pub fn note_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether a runner has sent something a short time ago.
    pub fn is_live(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_ms) < SILENCE_MS
    }

    /// Whether requests are in flight and no runner has sent anything for some time.
    fn is_silent(&self, now_ms: u64) -> bool {
        let quiet_since_ms = self.in_flight_since_ms.max(self.received_ms);
        self.in_flight > 0 && now_ms.saturating_sub(quiet_since_ms) >= SILENCE_MS
    }

    /// Whether nothing casts doubt on the path, so that no probes are due.
    pub fn is_calm(&self, now_ms: u64) -> bool {
        let has_evidence = self.is_doubted || !self.failed.is_empty() || self.is_silent(now_ms);
        self.state == PathState::Open && !has_evidence
    }

    /// Returns the number of probes to send now, each to another one of `runners` runners drawn
    /// at random. Each is reported by [`ServicePath::note_probe`].
    ///
    /// ```
    /// use berylmount_policy::service_path::{PathState, ServicePath};
    ///
    /// let mut path = ServicePath::default();
    /// path.note_connection(1, false, 1000);
    /// assert_eq!(path.probes_due(12, 1000), 0);
    /// path.note_connection(2, false, 1300);
    /// assert_eq!(path.probes_due(12, 1300), 3);
    /// for _ in 0..3 {
    ///     path.note_probe(false, 12, 1600);
    /// }
    /// assert_eq!(path.state(), PathState::Closed);
    /// ```
    pub fn probes_due(&mut self, runners: usize, now_ms: u64) -> usize {
        if runners == 0 || self.probing > 0 {
            return 0;
        }
        let due = match self.state {
            PathState::Open => {
                let probes = self.suspicion(runners, now_ms);
                if probes > 0 {
                    self.state = PathState::Suspect;
                    self.counted = 0;
                }
                probes
            }
            PathState::Suspect => closing_probes(runners) - self.counted.min(runners),
            PathState::Closed if now_ms < self.next_ms => 0,
            PathState::Closed => 1,
        };
        self.probing = due.min(runners);
        self.probing
    }

    /// Returns the number of probes with which a suspicion begins; 0 if there is none.
    fn suspicion(&mut self, runners: usize, now_ms: u64) -> usize {
        let min_ms = now_ms.saturating_sub(FAILURE_AGE_MS);
        self.failed.retain(|(_, at_ms)| *at_ms >= min_ms);
        let has_failures = self.failed.len() >= MIN_FAILED_RUNNERS.min(runners);
        if now_ms < self.next_ms {
            0
        } else if has_failures || self.is_doubted {
            self.is_doubted = false;
            closing_probes(runners)
        } else {
            closing_probes(runners) * usize::from(self.is_silent(now_ms))
        }
    }

    /// Records the outcome of a probe to one of `runners` runners. Returns the state of the path
    /// if it has been opened or closed by it.
    pub fn note_probe(&mut self, is_open: bool, runners: usize, now_ms: u64) -> Option<PathState> {
        self.probing = self.probing.saturating_sub(1);
        match self.state {
            PathState::Open => None,
            PathState::Suspect if is_open => {
                self.open(now_ms);
                None
            }
            PathState::Suspect => {
                self.counted += 1;
                if self.counted < closing_probes(runners) {
                    return None;
                }
                self.state = PathState::Closed;
                self.counted = 0;
                self.next_ms = now_ms + CLOSED_PROBE_INTERVAL_MS;
                Some(PathState::Closed)
            }
            PathState::Closed if is_open => {
                self.counted += 1;
                if self.counted < OPENING_PROBES {
                    // The next probe is sent at once.
                    self.next_ms = now_ms;
                    return None;
                }
                self.open(now_ms);
                Some(PathState::Open)
            }
            PathState::Closed => {
                self.counted = 0;
                self.next_ms = now_ms + CLOSED_PROBE_INTERVAL_MS;
                None
            }
        }
    }

    fn open(&mut self, now_ms: u64) {
        self.state = PathState::Open;
        self.failed.clear();
        self.counted = 0;
        // Requests that were lost with an earlier path say nothing about this one.
        self.in_flight_since_ms = now_ms;
        self.next_ms = now_ms + SUSPICION_INTERVAL_MS;
    }
}

/// Returns the number of failed probes that close the path to `runners` runners.
fn closing_probes(runners: usize) -> usize {
    CLOSING_PROBES.min(runners)
}
