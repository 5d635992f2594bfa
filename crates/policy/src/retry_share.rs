//! One process's share of the retries that a service may get.
//!
//! Load: a runner or link fails while many requests are under way, and every
//! instance wants to send its requests once more. The operator bounds the
//! repeats at a service over all instances and any sliding window, so each
//! instance keeps to its own requests' part of the ratio and an equal part of
//! the fixed allowance. No message is needed, and the sum holds whatever the
//! others do.

use std::collections::VecDeque;

/// Length of a counting bucket, in milliseconds: a fiftieth of the usual window.
const BUCKET_MS: u64 = 200;
/// Part of the bound that is used. The rest covers sends that arrive in a later
/// window than they were counted in, and instances that are not known yet.
const USED_FRACTION: f64 = 0.8;

/// The bound on retries at one service over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries for each first try in the window.
    pub ratio: f64,
    /// Retries beyond that in one window.
    pub extra: f64,
    /// The window in milliseconds.
    pub window_ms: u64,
}

/// Tries of one service, counted by this process.
#[derive(Clone, Debug)]
pub struct RetryShare {
    bounds: RetryBounds,
    buckets: VecDeque<TryBucket>,
}

/// Tries that began within one bucket's time.
#[derive(Clone, Copy, Debug)]
struct TryBucket {
    start_ms: u64,
    first: u32,
    second: u32,
}

impl RetryShare {
    /// Counts for a service with these bounds.
    pub fn new(bounds: RetryBounds) -> Self {
        let buckets = VecDeque::new();
        Self { bounds, buckets }
    }

    /// Counts the first try of a request.
    pub fn note_first(&mut self, now_ms: u64) {
        self.bucket(now_ms).first += 1;
    }

    /// Takes one retry, if the share of one of `instances` allows it.
    ///
    /// ```
    /// use berylmount_policy::retry_share::{RetryShare, RetryBounds};
    ///
    /// let bounds = RetryBounds { ratio: 0.2, extra: 10.0, window_ms: 10_000 };
    /// let mut tries = RetryShare::new(bounds);
    /// let taken = (0..100).filter(|_| tries.take(1, 5)).count();
    /// assert_eq!(taken, 1); // a fifth of the fixed allowance, with its margin
    /// ```
    pub fn take(&mut self, now_ms: u64, instances: usize) -> bool {
        if !self.has_room(now_ms, instances) {
            return false;
        }
        self.bucket(now_ms).second += 1;
        true
    }

    /// Whether a retry could be taken now.
    pub fn has_room(&mut self, now_ms: u64, instances: usize) -> bool {
        self.left(now_ms, instances) >= 1.0
    }

    /// Retries that could be taken now.
    pub fn left(&mut self, now_ms: u64, instances: usize) -> f64 {
        self.expire(now_ms);
        let (mut first, mut second) = (0.0, 0.0);
        for bucket in &self.buckets {
            first += f64::from(bucket.first);
            second += f64::from(bucket.second);
        }
        let fixed = self.bounds.extra / instances.max(1) as f64;
        let allowed = (self.bounds.ratio * first + fixed) * USED_FRACTION;
        allowed - second
    }

    /// The bucket of this moment.
    fn bucket(&mut self, now_ms: u64) -> &mut TryBucket {
        self.expire(now_ms);
        let start_ms = now_ms - now_ms % BUCKET_MS;
        if self
            .buckets
            .back()
            .is_none_or(|last| last.start_ms < start_ms)
        {
            let bucket = TryBucket {
                start_ms,
                first: 0,
                second: 0,
            };
            self.buckets.push_back(bucket);
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Drops buckets that lie wholly before the window.
    fn expire(&mut self, now_ms: u64) {
        let oldest = now_ms.saturating_sub(self.bounds.window_ms + BUCKET_MS);
        while self
            .buckets
            .front()
            .is_some_and(|first| first.start_ms < oldest)
        {
            self.buckets.pop_front();
        }
    }
}
