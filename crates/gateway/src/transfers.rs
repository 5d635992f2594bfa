//! Prompt tokens that runners need not prefill: transfers from KV cache stores, and
//! copies from the home runners of the prompt's prefix.

use crate::{
    cache_stores::{is_retired, prefix_key, PlannedTransfers, ScopedPrompt},
    placement::{weights_version_at, PlacementQuery},
    runner_registry::RunnerHandle,
    state::GatewayState,
};
use berylmount_adapter::request_headers::CacheTransfers;
use berylmount_fleet::EngineSpec;
use berylmount_policy::{
    ablation::PolicyMechanism,
    admission::AdmissionRequest,
    prefix_cache::{fetch_limit_ms, PromptCosts, TransferPlan},
    prefix_homes::{estimate_cached, rank_homes, CachedPrompt},
    prompt_pools::PromptLength,
    runner_placement::{estimate, PlacementDemand, RunnerView},
};
use std::rc::Rc;

/// Factor on the time of a copy between data centres.
const REMOTE_COPY_FACTOR: f64 = 2.0;
/// Failure rate at or above which nothing is copied from a runner.
const MAX_SOURCE_FAILURE_RATE: f64 = 0.3;

/// Plans the transfers of one prompt, once for each data centre and weights version.
pub(crate) struct TransferPlanner<'a> {
    pub(crate) state: &'a GatewayState,
    pub(crate) query: &'a PlacementQuery<'a>,
    pub(crate) costs: PromptCosts,
    pub(crate) now_ms: u64,
    pub(crate) may_fetch: bool,
    /// Scoped prompts by weights version.
    pub(crate) prompts: Vec<(u64, Rc<ScopedPrompt>)>,
    /// Plans by weights version and data centre.
    pub(crate) plans: Vec<(u64, String, Rc<TransferPlan>)>,
    /// Cached tokens of the prompt and the time to fetch them, for runners that are not
    /// homes, by weights version and data centre.
    pub(crate) non_home_cached: Vec<(u64, String, CachedPrompt)>,
}

impl TransferPlanner<'_> {
    fn prompt(&mut self, version: u64) -> Option<Rc<ScopedPrompt>> {
        if let Some((_, cached)) = self.prompts.iter().find(|(cached, _)| *cached == version) {
            return Some(cached.clone());
        }
        let shape = self.query.call.request.prompt.as_ref()?;
        let (table, customer) = (self.query.table, self.query.customer);
        let scoped = Rc::new(ScopedPrompt::new(
            shape,
            version,
            table,
            customer,
            self.query.homes,
        ));
        self.prompts.push((version, scoped.clone()));
        Some(scoped)
    }

    fn plan(&mut self, version: u64, data_centre: &str) -> Option<Rc<TransferPlan>> {
        let model = &self.query.call.request.prompt.as_ref()?.model;
        let may_fetch = self.may_fetch && PolicyMechanism::KeptStores.is_enabled();
        if !may_fetch || is_retired(&self.state.retired.borrow(), model, version) {
            return None;
        }
        let is_same =
            |plan: &&(u64, String, Rc<TransferPlan>)| plan.0 == version && plan.1 == data_centre;
        if let Some((_, _, cached)) = self.plans.iter().find(is_same) {
            return Some(cached.clone());
        }
        let prompt = self.prompt(version)?;
        let plan = Rc::new(prompt.plan(self.state, data_centre, self.costs, self.now_ms));
        self.plans
            .push((version, data_centre.to_owned(), plan.clone()));
        Some(plan)
    }

    /// Returns the cache transfers for a runner, and records the saves as pending if the runner
    /// `may_save`. Parts that another instance has ordered to be saved are left to it. Without a
    /// plan, only the scope is set, which separates the parts from other weights and customers.
    pub(crate) fn transfers(
        &mut self,
        version: u64,
        data_centre: &str,
        may_save: bool,
    ) -> Option<PlannedTransfers> {
        let prompt = self.prompt(version)?;
        let Some(plan) = self.plan(version, data_centre) else {
            return Some(PlannedTransfers {
                transfers: prompt.scope_without_transfers(),
                ..PlannedTransfers::default()
            });
        };
        let mut plan = (*plan).clone();
        let fleet = self.state.fleet_saves.borrow();
        let silence_ms = self.state.peers.borrow().silence_ms();
        for (part, save) in prompt.parts().iter().zip(&mut plan.save) {
            let is_ordered = || fleet.has_order(part.key, silence_ms, self.now_ms);
            *save = save.filter(|_| may_save && !is_ordered());
        }
        let mut registry = self.state.stores.borrow_mut();
        Some(prompt.transfers(&mut registry, &plan, self.now_ms))
    }
}

/// The home runners of a prompt's prefix, by rank, for prefix affinity.
pub(crate) struct PromptHomes<'a> {
    homes: Vec<&'a Rc<RunnerHandle>>,
}

impl<'a> PromptHomes<'a> {
    /// Ranks the homes among the `candidates` that prefer prompts of this length.
    /// `pools` holds the preferred length of each candidate.
    pub(crate) fn new(
        query: &PlacementQuery<'_>,
        candidates: &[&'a Rc<RunnerHandle>],
        pools: Option<&[PromptLength]>,
        length: PromptLength,
    ) -> Self {
        let prompt = query.call.request.prompt.as_ref();
        let Some(prefix) = prompt.and_then(prefix_key) else {
            return Self { homes: Vec::new() };
        };
        if !PolicyMechanism::PrefixHomes.is_enabled() {
            return Self { homes: Vec::new() };
        }
        let is_in_pool = |index: &usize| pools.is_none_or(|pools| pools[*index] == length);
        let members: Vec<usize> = (0..candidates.len()).filter(is_in_pool).collect();
        let keys: Vec<u64> = members.iter().map(|i| candidates[*i].key()).collect();
        let ranked = rank_homes(prefix, &keys).into_iter();
        let homes = ranked.map(|index| candidates[members[index]]).collect();
        Self { homes }
    }

    /// Returns the rank of a runner; `None` if it is not a home.
    pub(crate) fn rank(&self, runner: &Rc<RunnerHandle>) -> Option<usize> {
        self.homes.iter().position(|home| Rc::ptr_eq(home, runner))
    }

    /// Returns the first other home with the same weights that parts can be copied
    /// from.
    pub(crate) fn source(
        &self,
        query: &PlacementQuery<'_>,
        runner: &Rc<RunnerHandle>,
        now_ms: u64,
    ) -> Option<&'a Rc<RunnerHandle>> {
        if !PolicyMechanism::RunnerCopies.is_enabled() {
            return None;
        }
        let weights = weights_version_at(query, runner);
        let is_source = |home: &&Rc<RunnerHandle>| {
            !Rc::ptr_eq(home, runner)
                && weights_version_at(query, home) == weights
                && home.failure_rate(now_ms) < MAX_SOURCE_FAILURE_RATE
        };
        self.homes.iter().copied().find(is_source)
    }
}

/// Estimates the time to copy a prompt's shared parts between two runners, in
/// milliseconds.
fn copy_ms(engine: &EngineSpec, prompt: &ScopedPrompt, is_remote: bool, lag_ms: f64) -> f64 {
    let shared = prompt.parts().split_last().map_or(&[][..], |(_, s)| s);
    let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    let bits = f64::from(tokens) * engine.token_bytes as f64 * 8.0;
    let factor = if is_remote { REMOTE_COPY_FACTOR } else { 1.0 };
    factor * bits / engine.link_bits_per_ms.max(1.0) + lag_ms
}

/// Returns the time after which the runner should abandon a fetch and prefill the
/// prompt instead, in milliseconds.
pub(crate) fn fetch_limit(
    view: &RunnerView,
    demand: &PlacementDemand,
    admission: &AdmissionRequest,
) -> f64 {
    let uncached = RunnerView {
        cached_tokens: 0,
        fetch_ms: 0.0,
        ..*view
    };
    let first_ms = estimate(&uncached, demand).first_ms;
    let spare_ms = admission.target_ms - admission.waited_ms - first_ms;
    let prefill_ms = f64::from(view.cached_tokens) / demand.prefill_per_ms;
    fetch_limit_ms(spare_ms, view.fetch_ms, prefill_ms)
}

/// Adds fetches from another runner, for the shared parts that no store supplies.
pub(crate) fn copy_missing(
    transfers: &mut CacheTransfers,
    planner: &TransferPlanner<'_>,
    weights: Option<u64>,
    source: &RunnerHandle,
) {
    let prompts = planner.prompts.iter();
    let mut prompts = prompts.filter(|(version, _)| Some(*version) == weights);
    let Some((_, prompt)) = prompts.next() else {
        return;
    };
    transfers.fetch.resize(prompt.parts().len(), None);
    let shared = prompt.parts().len().saturating_sub(1);
    for fetch in transfers.fetch.iter_mut().take(shared) {
        fetch.get_or_insert(source.record().address);
    }
}

/// Estimates which tokens of the prompt a runner need not prefill.
pub(crate) fn cached_prompt(
    query: &PlacementQuery<'_>,
    engine: Option<EngineSpec>,
    runner: &Rc<RunnerHandle>,
    homes: &PromptHomes<'_>,
    planner: &mut TransferPlanner<'_>,
) -> CachedPrompt {
    let (Some(engine), Some(version)) = (engine, weights_version_at(query, runner)) else {
        return CachedPrompt::default();
    };
    let record = runner.record();
    let rank = homes.rank(runner);
    // All runners that are not homes have the same estimate if their data centre and
    // weights are the same.
    let estimates = planner.non_home_cached.iter();
    let mut estimates =
        estimates.filter(|entry| entry.0 == version && entry.1 == record.data_centre);
    if let Some((_, _, cached)) = estimates.next().filter(|_| rank.is_none()) {
        return *cached;
    }
    let plan = planner.plan(version, &record.data_centre);
    let Some(prompt) = planner.prompt(version) else {
        return CachedPrompt::default();
    };
    let source = homes.source(query, runner, planner.now_ms);
    let copy_ms = source.map(|source| {
        let is_remote = source.record().data_centre != record.data_centre;
        let lag_ms = planner.state.stores.borrow().lag_ms(source.key());
        copy_ms(&engine, &prompt, is_remote, lag_ms)
    });
    let plan = plan.as_deref().cloned().unwrap_or_default();
    let cached = estimate_cached(prompt.parts(), &plan, rank, copy_ms);
    if rank.is_none() {
        let estimate = (version, record.data_centre.clone(), cached);
        planner.non_home_cached.push(estimate);
    }
    cached
}
