//! When the holder of a lease may send orders to targets.
//!
//! Orders for weights, adapters and the role of a target come from the holder
//! of a lease, under the lease's fencing number.
//!
//! - A target that checks the number refuses an order with an old one, however
//!   late it comes. Nothing else is needed there.
//! - For a target that does not check, two waits keep the orders of two holders
//!   apart: the old holder sends nothing after its lease has run out by its own
//!   monotonic clock, checked right before each send, and the new holder sends
//!   nothing until the old lease and the longest flight of an order are over.
//!
//! # What stays open
//!
//! For targets that do not check the number:
//!
//! - A process that is paused between the check of its clock and the send sends
//!   an order after its lease. [`send_order`] finds that out only afterwards.
//! - A network that holds an order back for longer than the flight limit and
//!   delivers it later.
//! - Monotonic clocks whose rates differ by more than [`MAX_DRIFT_PER_MILLE`].
//!
//! In these cases an old order can be applied after a new one. The holder
//! compares the reported state again and again and corrects it
//! ([`RolloutPlanner`](crate::RolloutPlanner)), so such a state is bounded by
//! the lag of the report and one load.

use crate::{
    engine::{EngineClient, TargetOrder},
    fault::TargetFault,
};
use berylmount_model::RequestVerdict;

/// The most by which the rates of two monotonic clocks may differ, in 1/1000.
pub const MAX_DRIFT_PER_MILLE: u64 = 10;

/// Whether a target refuses an order with an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// The target compares the number.
    Checked,
    /// The target takes every order.
    Unchecked,
}

/// Why an order may not be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FenceRefusal {
    /// The lease has run out by our own clock.
    #[error("the lease is over")]
    LeaseOver,
    /// An order of the last holder may still be under way.
    #[error("an older order may be under way for {wait_ms} ms")]
    OldOrders {
        /// Time to wait, in milliseconds.
        wait_ms: u64,
    },
}

/// A lease as the platform granted it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Its fencing number, above that of every earlier holder.
    pub fence: u64,
    /// When we sent the call that took it, in monotonic milliseconds.
    pub asked_ms: u64,
    /// When we had the answer.
    pub granted_ms: u64,
    /// How long it lasts, in milliseconds; the last holder's lasted as long.
    pub length_ms: u64,
}

/// Decides whether the holder of a lease may send an order now.
///
/// ```
/// use berylmount_targets::{FenceCheck, LeaseGrant, OrderFence};
///
/// let grant = LeaseGrant { fence: 4, asked_ms: 0, granted_ms: 10, length_ms: 1_000 };
/// let mut fence = OrderFence::new(grant, 500);
/// assert_eq!(fence.may_send(10, FenceCheck::Checked), Ok(4));
/// assert!(fence.may_send(10, FenceCheck::Unchecked).is_err());
/// fence.renew(900);
/// assert_eq!(fence.may_send(1_600, FenceCheck::Unchecked), Ok(4));
/// assert!(fence.may_send(1_900, FenceCheck::Checked).is_err());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct OrderFence {
    fence: u64,
    length_ms: u64,
    valid_until_ms: u64,
    quiet_until_ms: u64,
    flight_ms: u64,
}

impl OrderFence {
    /// The fence of a new holder; orders are in flight for at most `flight_ms`.
    pub fn new(grant: LeaseGrant, flight_ms: u64) -> Self {
        let old_lease_ms = stretched(grant.length_ms).saturating_add(flight_ms);
        Self {
            fence: grant.fence,
            length_ms: grant.length_ms,
            valid_until_ms: grant.asked_ms.saturating_add(shrunk(grant.length_ms)),
            quiet_until_ms: grant.granted_ms.saturating_add(old_lease_ms),
            flight_ms,
        }
    }

    /// Notes a renewal that the platform confirmed and that was asked for at
    /// `asked_ms`.
    pub fn renew(&mut self, asked_ms: u64) {
        let until_ms = asked_ms.saturating_add(shrunk(self.length_ms));
        self.valid_until_ms = self.valid_until_ms.max(until_ms);
    }

    /// The fencing number, if an order may be sent at `now_ms`.
    ///
    /// Ask right before the send, with the clock read for it.
    ///
    /// # Errors
    ///
    /// Returns a [`FenceRefusal`] that says why not, and how long to wait.
    pub fn may_send(&self, now_ms: u64, check: FenceCheck) -> Result<u64, FenceRefusal> {
        if now_ms >= self.valid_until_ms {
            return Err(FenceRefusal::LeaseOver);
        }
        let wait_ms = self.quiet_until_ms.saturating_sub(now_ms);
        match check {
            FenceCheck::Unchecked if wait_ms > 0 => Err(FenceRefusal::OldOrders { wait_ms }),
            FenceCheck::Checked | FenceCheck::Unchecked => Ok(self.fence),
        }
    }
}

/// A length on the slowest clock that we allow for.
fn stretched(length_ms: u64) -> u64 {
    length_ms.saturating_add(length_ms.saturating_mul(MAX_DRIFT_PER_MILLE) / 1_000)
}

/// A length on the fastest clock that we allow for.
fn shrunk(length_ms: u64) -> u64 {
    length_ms.saturating_sub(length_ms.saturating_mul(MAX_DRIFT_PER_MILLE) / 1_000)
}

/// Why an order was not confirmed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OrderFault {
    /// It was not sent.
    #[error("the order was not sent: {0}")]
    Fenced(FenceRefusal),
    /// The target failed or refused it.
    #[error("the order failed: {0}")]
    Target(TargetFault),
    /// It was applied, but so late that another holder may be at work.
    #[error("the order took {0} ms, longer than one may be in flight")]
    Late(u64),
}

impl OrderFault {
    /// Whether the target did nothing and the order's place is free again.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Fenced(_) => true,
            Self::Target(fault) => fault.verdict == RequestVerdict::NotRun,
            Self::Late(_) => false,
        }
    }
}

/// Sends `order` if `fence` allows it by the clock read right before.
///
/// # Errors
///
/// Returns an [`OrderFault`]; after [`OrderFault::Late`] and faults that may
/// have run, compare the target's reported state.
pub fn send_order(
    engine: &EngineClient,
    fence: &OrderFence,
    check: FenceCheck,
    clock_ms: &impl Fn() -> u64,
    order: &TargetOrder,
) -> Result<(), OrderFault> {
    let sent_ms = clock_ms();
    let number = fence.may_send(sent_ms, check);
    let number = number.map_err(OrderFault::Fenced)?;
    engine.order(number, order).map_err(OrderFault::Target)?;
    let took_ms = clock_ms().saturating_sub(sent_ms);
    if check == FenceCheck::Unchecked && took_ms > fence.flight_ms {
        log::warn!(target: "fence", engine:% = engine.address(), took_ms; "order was late");
        return Err(OrderFault::Late(took_ms));
    }
    Ok(())
}
