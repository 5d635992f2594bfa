//! The order in which requests wait at an instance for room at the runners of a service.
//!
//! The load that it answers is a burst of one customer or one kind of request while the runners
//! are full. Requests wait by class, then in a fair share of the cost between customers and
//! between the subjects of a customer, then by how soon they must be served. As in the virtual
//! token counter (VTC), each customer and each subject has a counter of what it was served, the
//! lowest counter goes first. Counters decay, and one that is new starts at zero.
//!
//! Only the first request of the queue may take room. A large prompt at the head therefore gets
//! the room that becomes free, rather than smaller ones behind it.
//!
//! Invariants:
//!
//! - At most [`MAX_WAITING`] requests wait, and none longer than its limit.
//! - A request that is bound to certain runners never holds up those behind it.
//! - A request that cannot get its turn within its limit is refused when it arrives.

use crate::{admission_level::AdmissionClass, decay::decayed};
use std::cmp::Ordering;

/// Maximum number of requests that wait for one service.
pub const MAX_WAITING: usize = 256;
/// Maximum number of customers or subjects whose service is counted.
const MAX_COUNTERS: usize = 1024;

/// Half-life of what customers and subjects were served, in milliseconds. It is as long as a
/// short burst.
const HALF_LIFE_MS: f64 = 4000.0;

/// A request that waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitingRequest {
    /// Its class.
    pub class: AdmissionClass,
    /// Key of its customer.
    pub customer: u64,
    /// Key of its subject, which is the last part of the prompt that others share.
    pub subject: u64,
    /// Its cost in slots.
    pub cost: f64,
    /// Until when it may wait, in milliseconds.
    pub until_ms: u64,
    /// Whether only certain runners may run it.
    pub is_bound: bool,
}

/// Why a request does not join a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// Others wait whose turn comes before, and they use up its limit.
    TooLate,
    /// The queue is full of requests that precede it.
    Full,
}

/// A request that has joined a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JoinedQueue {
    /// Identifies the request in the queue.
    pub ticket: u64,
    /// The ticket of a request that had to leave a full queue.
    pub displaced: Option<u64>,
}

/// How the wait of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitEnd {
    /// It got room.
    Placed,
    /// It was refused, or its caller left.
    Left,
}

/// What customers or subjects were served recently, in slots: key, amount, and when it was
/// that. Sorted by key.
#[derive(Clone, Debug, Default)]
struct ServiceCounters(Vec<(u64, f64, u64)>);

impl ServiceCounters {
    fn of(&self, key: u64, now_ms: u64) -> f64 {
        let found = self.0.binary_search_by_key(&key, |(known, _, _)| *known);
        found.map_or(0.0, |index| {
            let (_, served, at_ms) = self.0[index];
            decayed(served, now_ms.saturating_sub(at_ms), HALF_LIFE_MS)
        })
    }

    fn charge(&mut self, key: u64, cost: f64, now_ms: u64) {
        let counter = (key, self.of(key, now_ms) + cost, now_ms);
        match self.0.binary_search_by_key(&key, |(known, _, _)| *known) {
            Ok(index) => self.0[index] = counter,
            Err(index) => {
                self.0.insert(index, counter);
                if self.0.len() > MAX_COUNTERS {
                    self.forget_least(now_ms);
                }
            }
        }
    }

    /// Forgets the half that was served least.
    fn forget_least(&mut self, now_ms: u64) {
        let counters = self.0.iter().map(|(key, _, _)| self.of(*key, now_ms));
        let mut served: Vec<f64> = counters.collect();
        let middle = served.len() / 2;
        let (_, median, _) = served.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.0.retain(|(_, served, at_ms)| {
            decayed(*served, now_ms.saturating_sub(*at_ms), HALF_LIFE_MS) > median
        });
    }
}

/// The requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    waiting: Vec<(u64, WaitingRequest)>,
    customers: ServiceCounters,
    subjects: ServiceCounters,
    next_ticket: u64,
}

impl AdmissionQueue {
    /// Returns how many requests wait.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::AdmissionQueue;
    ///
    /// assert_eq!(AdmissionQueue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::AdmissionQueue;
    ///
    /// assert!(AdmissionQueue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request, or refuses it. `placed_per_s` is the rate at which requests of this queue
    /// get room, in slots per second, if it is known.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::{AdmissionQueue, QueueRefusal, WaitingRequest};
    ///
    /// let mut queue = AdmissionQueue::default();
    /// let request = WaitingRequest { cost: 2.0, until_ms: 100, ..WaitingRequest::default() };
    /// assert!(queue.join(request, None, 0).is_ok());
    /// assert!(queue.join(request, Some(50.0), 0).is_ok());
    /// assert_eq!(queue.join(request, Some(20.0), 0), Err(QueueRefusal::TooLate));
    /// ```
    pub fn join(
        &mut self,
        request: WaitingRequest,
        placed_per_s: Option<f64>,
        now_ms: u64,
    ) -> Result<JoinedQueue, QueueRefusal> {
        let key = self.order_key(u64::MAX, &request, now_ms);
        let ahead = self.ahead_of(&request, now_ms);
        let ahead: f64 = ahead.map(|waiting| waiting.cost).sum();
        let wait_ms = placed_per_s.map_or(0.0, |per_s| ahead * 1000.0 / per_s.max(f64::EPSILON));
        let allowed_ms = request.until_ms.saturating_sub(now_ms) as f64;
        if ahead > 0.0 && !request.is_bound && wait_ms > allowed_ms {
            return Err(QueueRefusal::TooLate);
        }
        let mut displaced = None;
        if self.waiting.len() >= MAX_WAITING {
            let last = self.order(now_ms).pop().unwrap_or_default();
            let is_last = self.find(last).is_none_or(|index| {
                let (ticket, waiting) = &self.waiting[index];
                self.order_key(*ticket, waiting, now_ms) < key
            });
            if is_last {
                return Err(QueueRefusal::Full);
            }
            self.leave(last, WaitEnd::Left, now_ms);
            displaced = Some(last);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push((ticket, request));
        Ok(JoinedQueue { ticket, displaced })
    }

    /// Returns the tickets whose turn it is: those of bound requests, and that of the first other
    /// one.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::{AdmissionQueue, WaitingRequest};
    ///
    /// let mut queue = AdmissionQueue::default();
    /// let request = WaitingRequest { until_ms: 100, ..WaitingRequest::default() };
    /// let bound = queue.join(WaitingRequest { is_bound: true, ..request }, None, 0).unwrap();
    /// let first = queue.join(request, None, 0).unwrap();
    /// let second = queue.join(request, None, 0).unwrap();
    /// assert_eq!(queue.turns(0), [bound.ticket, first.ticket]);
    /// ```
    pub fn turns(&self, now_ms: u64) -> Vec<u64> {
        let is_bound = |index: usize| self.waiting[index].1.is_bound;
        let (mut turns, mut has_first) = (Vec::new(), false);
        for ticket in self.order(now_ms) {
            if self.find(ticket).is_some_and(is_bound) {
                turns.push(ticket);
            } else if !has_first {
                has_first = true;
                turns.push(ticket);
            }
        }
        turns
    }

    /// Returns the tickets in the order in which they get room.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::{AdmissionQueue, WaitEnd, WaitingRequest};
    ///
    /// let mut queue = AdmissionQueue::default();
    /// let many = WaitingRequest { customer: 1, cost: 1.0, until_ms: 100, ..WaitingRequest::default() };
    /// let first = queue.join(many, None, 0).unwrap().ticket;
    /// let second = queue.join(many, None, 0).unwrap().ticket;
    /// let other = queue.join(WaitingRequest { customer: 2, ..many }, None, 0).unwrap().ticket;
    /// assert_eq!(queue.order(0), [first, second, other]);
    /// queue.leave(first, WaitEnd::Placed, 0);
    /// assert_eq!(queue.order(0), [other, second]);
    /// ```
    pub fn order(&self, now_ms: u64) -> Vec<u64> {
        let keyed = self
            .waiting
            .iter()
            .map(|(ticket, request)| self.order_key(*ticket, request, now_ms));
        let mut keyed: Vec<OrderKey> = keyed.collect();
        keyed.sort_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        keyed.into_iter().map(|key| key.ticket).collect()
    }

    /// Removes a request and, if it got room, counts it for its customer and its subject.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::{AdmissionQueue, WaitEnd, WaitingRequest};
    ///
    /// let mut queue = AdmissionQueue::default();
    /// let ticket = queue.join(WaitingRequest::default(), None, 0).unwrap().ticket;
    /// assert!(queue.leave(ticket, WaitEnd::Placed, 0));
    /// assert!(!queue.leave(ticket, WaitEnd::Placed, 0));
    /// ```
    pub fn leave(&mut self, ticket: u64, end: WaitEnd, now_ms: u64) -> bool {
        let Some(index) = self.find(ticket) else {
            return false;
        };
        let (_, request) = self.waiting.remove(index);
        if end == WaitEnd::Placed {
            self.charge(&request, now_ms);
        }
        true
    }

    /// Counts a request that got room for its customer and its subject.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::{AdmissionQueue, WaitingRequest};
    ///
    /// let mut queue = AdmissionQueue::default();
    /// let request = WaitingRequest { customer: 1, cost: 1.0, until_ms: 9, ..WaitingRequest::default() };
    /// queue.charge(&request, 0);
    /// let first = queue.join(request, None, 0).unwrap().ticket;
    /// let other = queue.join(WaitingRequest { customer: 2, ..request }, None, 0).unwrap().ticket;
    /// assert_eq!(queue.order(0), [other, first]);
    /// ```
    pub fn charge(&mut self, request: &WaitingRequest, now_ms: u64) {
        self.customers
            .charge(request.customer, request.cost, now_ms);
        self.subjects.charge(request.subject, request.cost, now_ms);
    }

    /// Returns whether a request with this ticket waits.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::AdmissionQueue;
    ///
    /// assert!(!AdmissionQueue::default().is_waiting(0));
    /// ```
    pub fn is_waiting(&self, ticket: u64) -> bool {
        self.find(ticket).is_some()
    }

    /// Returns whether a request that does not wait yet precedes all that do, apart from bound ones.
    ///
    /// ```
    /// use berylmount_policy::{
    ///     admission_level::AdmissionClass, admission_queue::{AdmissionQueue, WaitingRequest},
    /// };
    ///
    /// let mut queue = AdmissionQueue::default();
    /// let class = AdmissionClass::new(1, false);
    /// let request = WaitingRequest { class, until_ms: 9, ..WaitingRequest::default() };
    /// assert!(queue.precedes(&request, 0));
    /// queue.join(request, None, 0).unwrap();
    /// assert!(!queue.precedes(&request, 0));
    /// let urgent = WaitingRequest { class: AdmissionClass::new(0, false), ..request };
    /// assert!(queue.precedes(&urgent, 0));
    /// ```
    pub fn precedes(&self, request: &WaitingRequest, now_ms: u64) -> bool {
        self.ahead_of(request, now_ms).next().is_none()
    }

    /// Returns how many requests, apart from bound ones, precede one that does not wait yet.
    ///
    /// ```
    /// use berylmount_policy::admission_queue::{AdmissionQueue, WaitingRequest};
    ///
    /// let mut queue = AdmissionQueue::default();
    /// let request = WaitingRequest { until_ms: 100, ..WaitingRequest::default() };
    /// queue.join(request, None, 0).unwrap();
    /// assert_eq!(queue.ahead_count(&request, 0), 1);
    /// let urgent = WaitingRequest { until_ms: 50, ..request };
    /// assert_eq!(queue.ahead_count(&urgent, 0), 0);
    /// ```
    pub fn ahead_count(&self, request: &WaitingRequest, now_ms: u64) -> usize {
        self.ahead_of(request, now_ms).count()
    }

    /// Returns those that precede a request that does not wait yet, apart from bound ones.
    fn ahead_of(
        &self,
        request: &WaitingRequest,
        now_ms: u64,
    ) -> impl Iterator<Item = &WaitingRequest> {
        let key = self.order_key(u64::MAX, request, now_ms);
        let others = self.waiting.iter();
        let ahead = others.filter(move |(ticket, other)| {
            !other.is_bound && self.order_key(*ticket, other, now_ms) < key
        });
        ahead.map(|(_, other)| other)
    }

    fn find(&self, ticket: u64) -> Option<usize> {
        // Tickets increase, and removals keep the order.
        self.waiting
            .binary_search_by_key(&ticket, |(known, _)| *known)
            .ok()
    }

    fn order_key(&self, ticket: u64, request: &WaitingRequest, now_ms: u64) -> OrderKey {
        OrderKey {
            class: request.class,
            customer_served: self.customers.of(request.customer, now_ms),
            subject_served: self.subjects.of(request.subject, now_ms),
            until_ms: request.until_ms,
            ticket,
        }
    }
}

/// What the order depends on. The fields are compared from first to last.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct OrderKey {
    class: AdmissionClass,
    customer_served: f64,
    subject_served: f64,
    until_ms: u64,
    ticket: u64,
}
