//! Token buckets for rate limits.
//!
//! A bucket does not store its rate and size. They are passed in on each use, so
//! a changed limit takes effect at once.

use crate::limits::LimitShare;

/// Fraction of the burst that a new bucket starts with.
const INITIAL_FRACTION: f64 = 0.125;
/// Longest retry delay, in milliseconds; it bounds the delay of limits near zero.
pub(crate) const MAX_REFILL_MS: u64 = 60_000;

/// A token bucket; its rate and size are passed in on each use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    pub(crate) tokens: f64,
    pub(crate) filled_ms: u64,
}

/// The rate and size of a bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketConfig {
    pub(crate) rate_per_s: f64,
    pub(crate) size: f64,
}

impl BucketConfig {
    pub(crate) fn new(rate_per_s: f64, burst: u32, share: LimitShare) -> Self {
        Self {
            rate_per_s: share.of_rate(rate_per_s),
            size: f64::from(share.of_count(burst)),
        }
    }

    /// Returns the tokens that a bucket new to this entry starts with.
    pub(crate) fn initial_tokens(self) -> f64 {
        (self.size * INITIAL_FRACTION).max(1.0).min(self.size)
    }
}

impl TokenBucket {
    /// Returns a bucket that had its initial tokens at `since_ms` and no requests since.
    pub(crate) fn idle_since(config: BucketConfig, since_ms: u64) -> Self {
        Self {
            tokens: config.initial_tokens(),
            filled_ms: since_ms,
        }
    }

    pub(crate) fn fill(&mut self, config: BucketConfig, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.filled_ms) as f64 / 1000.0;
        self.tokens = (self.tokens + passed * config.rate_per_s).min(config.size);
        self.filled_ms = self.filled_ms.max(now_ms);
    }

    /// Returns the time until one token is available, in milliseconds; zero means now.
    pub(crate) fn wait_ms(&self, config: BucketConfig) -> u64 {
        if self.tokens >= 1.0 {
            return 0;
        }
        if config.rate_per_s <= 0.0 || config.size < 1.0 {
            return MAX_REFILL_MS;
        }
        let wait = (1.0 - self.tokens) * 1000.0 / config.rate_per_s;
        (wait.ceil() as u64).clamp(1, MAX_REFILL_MS)
    }
}

/// A bucket with the limit that sets its rate and size.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitBucket {
    pub(crate) bucket: TokenBucket,
    pub(crate) rate_per_s: f64,
    pub(crate) burst: u32,
}

impl LimitBucket {
    pub(crate) fn config(&self, share: LimitShare) -> BucketConfig {
        BucketConfig::new(self.rate_per_s, self.burst, share)
    }

    pub(crate) fn fill(&mut self, share: LimitShare, now_ms: u64) {
        self.bucket.fill(self.config(share), now_ms);
    }

    pub(crate) fn restart(&mut self, share: LimitShare, now_ms: u64) {
        self.bucket = TokenBucket::idle_since(self.config(share), now_ms);
    }

    pub(crate) fn is_full(&self, share: LimitShare, now_ms: u64) -> bool {
        let config = self.config(share);
        let mut bucket = self.bucket;
        bucket.fill(config, now_ms);
        bucket.tokens >= config.size
    }

    /// Returns whether a bucket restarted at `since_ms` would be full too.
    pub(crate) fn is_full_after_restart(
        &self,
        share: LimitShare,
        since_ms: u64,
        now_ms: u64,
    ) -> bool {
        let mut fresh = *self;
        fresh.restart(share, since_ms);
        fresh.is_full(share, now_ms)
    }
}

/// Returns a bucket that had its initial tokens at `since_ms` and no requests since.
pub(crate) fn new_bucket(
    rate_per_s: f64,
    burst: u32,
    share: LimitShare,
    since_ms: u64,
) -> LimitBucket {
    let config = BucketConfig::new(rate_per_s, burst, share);
    LimitBucket {
        bucket: TokenBucket::idle_since(config, since_ms),
        rate_per_s,
        burst,
    }
}
