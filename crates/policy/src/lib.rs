//! Pure scheduling and routing decisions of a berylmount process.
//!
//! This crate does no I/O, reads no clock and creates no random numbers of its own.
//! Callers pass the time as `now_ms`, a `u64` of monotonic milliseconds, and a random
//! number generator. Processes, fuzz tests and benches therefore run the same code.
//!
//! | module | decides |
//! | --- | --- |
//! | [`ablation`] | which mechanisms are on in this build |
//! | [`admission`] | whether a request starts now, waits or is refused |
//! | [`admission_level`] | which requests a fleet admits while room is scarce |
//! | [`admission_queue`] | in which order requests wait for room at an instance |
//! | [`assignment`] | which member serves a customer, owns a group or stores a prompt |
//! | [`limits`] | whether a customer may start another request |
//! | [`queue`] | what runs next, and what is refused at once |
//! | [`runners`] | which runner of a group takes a request from a dispatch queue |
//! | [`prefix_homes`] | which runners a shared prompt prefix returns to |
//! | [`prompt_pools`] | which runners take long prompts, and which short ones |
//! | [`prefix_index`] | which runner probably holds a prompt's cache |
//! | [`cache_fetch`] | whether to fetch KV cache from a store or to recompute it |
//! | [`cache_retention`] | which KV cache to keep when a run ends, and where |
//! | [`prefix_cache`] | which cache parts to fetch from stores or save there |
//! | [`idle_limits`] | how long a caller's connection may stay idle
//! | [`kept_time`] | for how long a stream may be taken up |
//! | [`engine_pace`] | how fast engines prefill prompts |
//! | [`retries`] | whether to retry, hedge or give up |
//! | [`groups`] | which dispatch group an entry sends a request to |
//! | [`pacing`] | when a refused caller should retry |
//! | [`runner_placement`] | which runner of a service takes a request from a gateway instance |
//! | [`runner_clock`] | the current time on the clock of runners and stores |
//! | [`runner_health`] | how reliable a runner is |
//! | [`misdirection`] | which runners lost their addresses to other servers |
//! | [`blamed_parts`] | what becomes of prompts with parts that crash runners |
//! | [`part_evidence`] | what an instance observes about prompt parts and crashes |
//! | [`part_verdicts`] | which prompt parts crash runners |
//! | [`runner_limits`] | how many requests a runner accepts, over all instances |
//! | [`runner_rooms`] | whether a brittle runner has room for a request, over all instances |
//! | [`response_memory`] | how much memory a response may use |
//! | [`service_path`] | whether an instance has a network path to the runners of a service |
//! | [`software_versions`] | which software version a stream may go on at |
//! | [`store_lags`] | which stores of kept cache answer late |
//! | [`duty_lease`] | which instance holds the lease of a singleton duty |
//! | [`request_times`] | since when weights may have been requested |
//! | [`save_orders`] | which parts in stores no save is left of, over all instances |
//! | [`sent_orders`] | which orders to runners are in progress |
//! | [`weights_rollout`] | which runners load the requested weights next |
//! | [`shared_duties`] | which instances perform a duty that needs only a few |
//! | [`retry_share`] | how many retries this process may send to a service |
//!
//! The decisions rely on hints, such as load reports and cache indexes, that may be
//! out of date or incomplete. A wrong hint costs time but never correctness.
//!
//! Terms:
//!
//! - An *entry* process accepts requests and sends them to *dispatch* processes, which
//!   queue them for groups of runners. The *instances* of the gateway send requests to
//!   runners without a queue.
//! - A *runner* is a target that runs an inference engine.
//! - A *piece* is a fixed number of a prompt's tokens. Its key is a hash chain over the
//!   whole prefix up to its end.
//! - A *part* is a section of a prompt that requests share by its id.
//! - *Kept cache* is KV cache that is stored outside the engines, in *stores of kept
//!   cache*. The *object store* holds the shared state of the instances instead.
//! - The *first event* is the first event of a response stream. It shows that the
//!   prefill has ended, as the first token does.

pub mod ablation;
pub mod admission;
pub mod admission_level;
pub mod admission_queue;
pub mod assignment;
pub mod blamed_parts;
mod buckets;
pub mod cache_fetch;
pub mod cache_retention;
pub mod caller_memory;
mod capacity;
mod class_queue;
mod decay;
pub mod duty_lease;
pub mod engine_pace;
pub mod groups;
pub mod idle_limits;
pub mod kept_time;
pub mod limits;
pub mod misdirection;
pub mod pacing;
pub mod part_evidence;
pub mod part_verdicts;
pub mod prefix_cache;
pub mod prefix_homes;
pub mod prefix_index;
pub mod prompt_pools;
pub mod queue;
pub mod request_times;
pub mod response_memory;
pub mod retries;
pub mod retry_share;
pub mod runner_clock;
mod runner_events;
pub mod runner_health;
pub mod runner_limits;
pub mod runner_placement;
mod runner_query;
pub mod runner_rooms;
mod runner_state;
pub mod runners;
pub mod save_orders;
pub mod sent_orders;
pub mod service_path;
pub mod shared_duties;
pub mod software_versions;
pub mod store_lags;
pub mod weights_rollout;

pub use crate::{
    assignment::{MemberWeight, TargetGroup},
    cache_fetch::{FetchPlan, LinkId, LinkTracker},
    cache_retention::{RetentionPlan, RetentionPlanner, StoreId, StoreTier},
    capacity::{QueueCapacity, QueueRoom},
    groups::{GroupBalancer, GroupChoice, GroupId, GroupQuery},
    limits::{CustomerLimiter, LimitRefusal, LimitShare},
    pacing::RetryPacer,
    prefix_index::PrefixIndex,
    queue::{QueueRefusal, WorkItem, WorkQueue, WorkTicket},
    retries::{RetryBudget, RetryDecision},
    runner_query::{RunnerChoice, RunnerId, RunnerQuery, RunnerReport, RunnerSettings},
    runners::RunnerBalancer,
};
