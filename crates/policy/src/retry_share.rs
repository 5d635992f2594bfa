//! One process's share of the retries that a service may get.
//!
//! If a runner or link fails while many requests are in flight, every instance
//! wants to retry its requests. The operator limits the retries at a service over
//! all instances and any sliding window. Each instance therefore applies the ratio
//! to its own requests and takes an equal share of the fixed allowance. This needs
//! no messages, and the total limit holds whatever the other instances do.
//!
//! Invariants:
//!
//! - Retries under the ratio are paid for by requests that the same process received,
//!   so they need no knowledge of earlier processes or of other instances.
//! - A process uses the fixed allowance only once it has run for a whole window. By
//!   then all retries of earlier processes of its instance have left the window, so
//!   restarts do not renew the allowance.
//! - A process that does not know the size of the fleet uses no fixed allowance.

use std::collections::VecDeque;

/// Length of a counting bucket, in milliseconds; a fiftieth of the usual window.
const BUCKET_MS: u64 = 200;
/// Fraction of the limit that is used. The rest covers requests that arrive in a
/// later window than the one they were counted in, and instances not yet known.
const USED_FRACTION: f64 = 0.8;

/// The limit on retries at one service over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per first attempt in the window.
    pub ratio: f64,
    /// Fixed number of retries allowed in addition, per window.
    pub extra: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// The instance whose process counts the attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryOwner {
    /// When the process started, in milliseconds.
    pub started_ms: u64,
    /// Number from 0 to 1 by which the share of the instance is rounded. If the numbers of
    /// all instances are spread evenly, the shares of a large fleet add up to the allowance
    /// even where the share of one instance is below one retry.
    pub rounding: f64,
}

/// The attempts at one service that this process has counted.
#[derive(Clone, Debug)]
pub struct RetryShare {
    bounds: RetryBounds,
    owner: RetryOwner,
    buckets: VecDeque<AttemptBucket>,
}

/// Attempts that began within one bucket's time.
#[derive(Clone, Copy, Debug)]
struct AttemptBucket {
    start_ms: u64,
    first_attempts: u32,
    retries: u32,
}

impl RetryShare {
    /// Returns empty counts for a service with these limits.
    pub fn new(bounds: RetryBounds, owner: RetryOwner) -> Self {
        let buckets = VecDeque::new();
        Self {
            bounds,
            owner,
            buckets,
        }
    }

    /// Replaces the limits; the attempts that were counted remain.
    ///
    /// ```
    /// use berylmount_policy::retry_share::{RetryBounds, RetryOwner, RetryShare};
    ///
    /// let bounds = RetryBounds { ratio: 2.0, extra: 0.0, window_ms: 10_000 };
    /// let owner = RetryOwner { started_ms: 0, rounding: 0.0 };
    /// let mut share = RetryShare::new(bounds, owner);
    /// share.note_first(5000);
    /// assert!(share.take(5000, None));
    /// share.set_bounds(RetryBounds { ratio: 0.0, ..bounds });
    /// assert!(!share.take(5000, None));
    /// ```
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts the first attempt of a request.
    pub fn note_first(&mut self, now_ms: u64) {
        self.bucket(now_ms).first_attempts += 1;
    }

    /// Takes one retry if this process's share among `instances` allows it. `None` means
    /// that the number of instances is unknown.
    ///
    /// ```
    /// use berylmount_policy::retry_share::{RetryBounds, RetryOwner, RetryShare};
    ///
    /// let bounds = RetryBounds { ratio: 0.2, extra: 10.0, window_ms: 10_000 };
    /// let owner = RetryOwner { started_ms: 0, rounding: 0.0 };
    /// let mut share = RetryShare::new(bounds, owner);
    /// // An earlier process of this instance may have used the fixed allowance.
    /// assert!(!share.take(5000, Some(5)));
    /// let taken = (0..100).filter(|_| share.take(10_000, Some(5))).count();
    /// assert_eq!(taken, 1); // a fifth of the fixed allowance, less the margin
    /// ```
    pub fn take(&mut self, now_ms: u64, instances: Option<usize>) -> bool {
        if self.left(now_ms, instances) < 1.0 {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    /// Returns the number of retries that could be taken now.
    pub fn left(&mut self, now_ms: u64, instances: Option<usize>) -> f64 {
        self.expire(now_ms);
        let (mut first_attempts, mut retries) = (0.0, 0.0);
        for bucket in &self.buckets {
            first_attempts += f64::from(bucket.first_attempts);
            retries += f64::from(bucket.retries);
        }
        let earned = self.bounds.ratio * first_attempts * USED_FRACTION;
        let age_ms = now_ms.saturating_sub(self.owner.started_ms);
        let instances = instances.filter(|_| age_ms >= self.bounds.window_ms);
        let fixed = instances.map_or(0.0, |instances| {
            self.bounds.extra / instances.max(1) as f64 * USED_FRACTION + self.owner.rounding
        });
        earned + fixed - retries
    }

    /// Returns the bucket of `now_ms`.
    fn bucket(&mut self, now_ms: u64) -> &mut AttemptBucket {
        self.expire(now_ms);
        let start_ms = now_ms - now_ms % BUCKET_MS;
        if self
            .buckets
            .back()
            .is_none_or(|last| last.start_ms < start_ms)
        {
            let bucket = AttemptBucket {
                start_ms,
                first_attempts: 0,
                retries: 0,
            };
            self.buckets.push_back(bucket);
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Drops buckets that lie entirely before the window.
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
