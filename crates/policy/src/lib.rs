//! Pure decisions of a berylmount process.
//!
//! Nothing here does I/O, reads a clock or draws randomness by itself: time is
//! a `u64` of monotonic milliseconds called `now_ms`, and a generator is passed
//! in. Processes, fuzz tests and benches therefore drive the same code.
//!
//! | module | decides |
//! | --- | --- |
//! | [`ablation`] | which mechanisms this build has |
//! | [`admission`] | whether a request starts now, waits or is refused |
//! | [`assignment`] | which member serves a customer, owns a group or keeps a prompt |
//! | [`limits`] | whether a customer may start another request |
//! | [`queue`] | what runs next, and what is refused at once |
//! | [`runners`] | which runner takes a request |
//! | [`prefix_homes`] | which runners a shared prompt prefix returns to |
//! | [`prompt_pools`] | which runners take long prompts, and which short ones |
//! | [`prefixes`] | which runner probably holds a prompt's cache |
//! | [`cache_fetch`] | whether to fetch kept cache or to recompute it |
//! | [`cache_retention`] | what to keep when a run ends, and where |
//! | [`prefix_cache`] | what stores hold, and which parts to fetch or save |
//! | [`engine_pace`] | how fast engines read prompts |
//! | [`retries`] | whether to try again, hedge or give up |
//! | [`groups`] | which dispatch group an entry asks |
//! | [`pacing`] | when a refused caller should come back |
//! | [`placing`] | which runner takes a request, by the time to its first event |
//! | [`runner_clock`] | what the clock of runners and stores shows |
//! | [`runner_health`] | how far a runner can be trusted |
//! | [`lateness`] | which stores of kept cache answer late |
//! | [`duty_lease`] | which instance does a duty that only one may do |
//! | [`weights_rollout`] | which runners load named weights next |
//! | [`shared_duties`] | which instances do what only a few must do |
//! | [`retry_share`] | whether a request may be sent once more |
//!
//! Everything here works on hints. A wrong hint costs time, never correctness.

pub mod ablation;
pub mod admission;
pub mod assignment;
mod buckets;
pub mod cache_fetch;
pub mod cache_retention;
mod capacity;
mod class_queue;
mod decay;
pub mod duty_lease;
pub mod engine_pace;
pub mod groups;
pub mod lateness;
pub mod limits;
pub mod pacing;
pub mod placing;
pub mod prefix_cache;
pub mod prefix_homes;
pub mod prefixes;
pub mod prompt_pools;
pub mod queue;
pub mod retries;
pub mod retry_share;
pub mod runner_clock;
mod runner_events;
pub mod runner_health;
mod runner_query;
mod runner_state;
pub mod runners;
pub mod shared_duties;
pub mod weights_rollout;

pub use crate::{
    assignment::{MemberWeight, TargetGroup},
    cache_fetch::{FetchPlan, LinkId, LinkTracker},
    cache_retention::{RetentionPlan, RetentionPlanner, StoreId, StoreTier},
    capacity::{QueueCapacity, QueueRoom},
    groups::{GroupBalancer, GroupChoice, GroupId, GroupQuery},
    limits::{CustomerLimiter, LimitRefusal, LimitShare},
    pacing::RetryPacer,
    prefixes::PrefixIndex,
    queue::{QueueRefusal, WorkItem, WorkQueue, WorkTicket},
    retries::{RetryBudget, RetryDecision},
    runner_query::{RunnerChoice, RunnerId, RunnerQuery, RunnerReport, RunnerSettings},
    runners::RunnerBoard,
};
