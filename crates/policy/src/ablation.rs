//! Mechanisms that a trial can leave out, one at a time, to see what each is worth.
//!
//! The choice is made when the code is built, by the variable `BERYLMOUNT_ABLATE`
//! (`scripts/ablate`). A build without it has all of them, and nothing that a
//! caller or an operator sets changes that.

use strum::{EnumIter, IntoStaticStr};

/// A mechanism of placing, admission or kept cache.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PolicyMechanism {
    /// Prompts return to the homes of their prefix.
    PrefixHomes,
    /// Runners copy a prefix from its home.
    RunnerCopies,
    /// Long prompts have runners of their own.
    PromptPools,
    /// The pace of engines is learned.
    LearnedPace,
    /// Instances tell each other the pace that they have learned.
    SharedPace,
    /// Long prompts are told to the others at once.
    #[strum(serialize = "told_placement")]
    PlacementBroadcast,
    /// Fetches have a time limit.
    FetchLimit,
    /// Stores that answer late are avoided.
    StoreLags,
    /// In a large fleet the choice is among a few runners.
    RunnerSample,
    /// A request is placed by draw while places are short.
    #[strum(serialize = "placed_by_draw")]
    RandomPlacement,
    /// What would start too late is refused at once.
    EarlyRefusal,
    /// A request without room waits a moment.
    RoomWait,
    /// Runners that fail are avoided.
    RunnerHealth,
    /// Errors of sound runners are held against the request.
    #[strum(serialize = "request_blame")]
    RequestFaults,
    /// Parts of prompts are kept in stores.
    KeptStores,
}

/// The mechanism that this build leaves out.
const ABLATED: Option<&str> = option_env!("BERYLMOUNT_ABLATE");

impl PolicyMechanism {
    /// Whether this build has the mechanism.
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
