//! Mechanisms that an ablation run can disable, one at a time, to measure the
//! effect of each.
//!
//! The mechanism is selected at build time by the variable `BERYLMOUNT_ABLATE`
//! (`scripts/ablate`). A build without it enables all mechanisms, and no setting or
//! request can disable one at run time.

use strum::{EnumIter, IntoStaticStr};

/// A mechanism of placement, admission control or the kept cache.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyMechanism {
    /// Prompts are routed to the home runners of their prefix (prefix affinity).
    PrefixHomes,
    /// Runners copy a prefix's cache from its home runner.
    RunnerCopies,
    /// Long and short prompts use separate runners.
    PromptPools,
    /// The engines' prefill rate and base latency are learned from requests.
    LearnedPace,
    /// Instances exchange the engine pace that they have learned.
    SharedPace,
    /// The placement of a long prompt is broadcast to the other instances at once.
    #[strum(serialize = "told_placement")]
    PlacementBroadcast,
    /// Cache fetches have a time limit.
    FetchLimit,
    /// Stores that respond late are avoided.
    StoreLags,
    /// In a large fleet an instance chooses among a small sample of runners.
    RunnerSample,
    /// A runner is drawn at random, weighted by free slots, while these are scarce.
    #[strum(serialize = "placed_by_draw")]
    RandomPlacement,
    /// Requests that would start too late are refused at once.
    EarlyRefusal,
    /// A request that finds no capacity waits briefly before it is refused.
    RoomWait,
    /// Runners with a high failure rate are avoided.
    RunnerHealth,
    /// Errors from several healthy runners are attributed to the request.
    #[strum(serialize = "request_blame")]
    RequestFaults,
    /// The cache of prompt parts is kept in stores.
    KeptStores,
}

/// The mechanism that this build disables, if any.
const ABLATED: Option<&str> = option_env!("BERYLMOUNT_ABLATE");

impl PolicyMechanism {
    /// Whether this build has the mechanism enabled.
    ///
    /// ```
    /// use berylmount_policy::ablation::PolicyMechanism;
    ///
    /// assert!(PolicyMechanism::PrefixHomes.is_enabled());
    /// ```
    pub fn is_enabled(self) -> bool {
        ABLATED != Some(self.into())
    }
}
