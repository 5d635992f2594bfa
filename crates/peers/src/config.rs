//! Intervals and counts of membership.

/// Intervals and counts that a [`PeerBoard`](crate::PeerBoard) works with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BoardConfig {
    /// Time between two rounds, in milliseconds; a round is one probe, and more
    /// only while somebody is suspected or lost.
    pub interval_ms: u64,
    /// Time limit of one probe, in milliseconds.
    pub probe_ms: u64,
    /// How long a suspected member has to refute, in milliseconds.
    pub refute_ms: u64,
    /// How long a dead member is remembered, in milliseconds.
    pub remember_ms: u64,
    /// Every such round probes a next-in-order member, the others a random one.
    pub next_rounds: u64,
    /// Next-in-order members that are probed in turn.
    pub next_members: usize,
    /// Members asked to probe one that did not answer.
    pub relays: usize,
}

impl Default for BoardConfig {
    fn default() -> Self {
        Self {
            interval_ms: 333,
            probe_ms: 500,
            refute_ms: 5_000,
            remember_ms: 2 * 60 * 60 * 1_000,
            next_rounds: 3,
            next_members: 2,
            relays: 2,
        }
    }
}

/// Time without a round after which a process was paused, in milliseconds.
const PAUSE_MS: u64 = 3_000;

impl BoardConfig {
    /// Longest wait for a relayed probe: both of its hops.
    pub(crate) fn relay_ms(&self) -> u64 {
        2 * self.probe_ms
    }

    /// Time without a round after which this process was paused.
    pub(crate) fn pause_ms(&self) -> u64 {
        PAUSE_MS.max(3 * self.interval_ms)
    }
}
