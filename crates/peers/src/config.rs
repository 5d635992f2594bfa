//! Intervals and counts of membership.

/// Intervals and counts that a [`PeerBoard`](crate::PeerBoard) works with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BoardConfig {
    /// Time between two rounds of probes, in milliseconds.
    pub interval_ms: u64,
    /// Time limit of one probe, in milliseconds.
    pub probe_ms: u64,
    /// How long a suspected member has to refute, in milliseconds.
    pub refute_ms: u64,
    /// How long a dead member is remembered, in milliseconds.
    pub remember_ms: u64,
    /// Random members probed each round.
    pub random_probes: usize,
    /// Next-in-order members probed in turn, one each round.
    pub next_members: usize,
    /// Members asked to probe one that did not answer.
    pub relays: usize,
}

impl Default for BoardConfig {
    fn default() -> Self {
        Self {
            interval_ms: 1_000,
            probe_ms: 500,
            refute_ms: 5_000,
            remember_ms: 2 * 60 * 60 * 1_000,
            random_probes: 2,
            next_members: 2,
            relays: 2,
        }
    }
}

impl BoardConfig {
    /// Longest wait for a relayed probe: both of its hops.
    pub(crate) fn relay_ms(&self) -> u64 {
        2 * self.probe_ms
    }

    /// Time without a round after which this process was paused.
    pub(crate) fn pause_ms(&self) -> u64 {
        3 * self.interval_ms
    }
}
