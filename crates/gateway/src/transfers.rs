//! What runners need not read of a prompt: transfers from stores and copies
//! from the homes of its prefix.

use crate::{
    kept::{is_retired, prefix_key, ScopedPrompt},
    placement::{weights_at, PlacingCall},
    roster::RunnerHandle,
    state::GatewayState,
};
use berylmount_adapter::request_headers::CacheTransfers;
use berylmount_fleet::EngineSpec;
use berylmount_policy::{
    ablation::PolicyMechanism,
    admission::AdmissionNeed,
    placing::{estimate, PlacingNeed, RunnerView},
    prefix_cache::{fetch_limit_ms, PromptTraits, TransferPlan},
    prefix_homes::{expect_cached, rank_homes, CachedPrompt},
    prompt_pools::PromptLength,
};
use std::rc::Rc;

/// How many times longer a copy takes between data centres.
const REMOTE_COPY: f64 = 2.0;
/// Part of failed requests from which on nothing is copied from a runner.
const BAD_SOURCE: f64 = 0.3;

/// Transfers of one prompt at runners of each data centre, worked out once.
pub(crate) struct TransferCache<'a> {
    pub(crate) state: &'a GatewayState,
    pub(crate) placing: &'a PlacingCall<'a>,
    pub(crate) traits: PromptTraits,
    pub(crate) now_ms: u64,
    pub(crate) may_fetch: bool,
    /// Prompts by version of the weights.
    pub(crate) prompts: Vec<(u64, Rc<ScopedPrompt>)>,
    /// Plans by version of the weights and data centre.
    pub(crate) plans: Vec<(u64, String, Rc<TransferPlan>)>,
    /// What runners that are no homes need not read, by version and data centre.
    pub(crate) elsewhere: Vec<(u64, String, CachedPrompt)>,
}

impl TransferCache<'_> {
    fn prompt(&mut self, version: u64) -> Option<Rc<ScopedPrompt>> {
        if let Some((_, known)) = self.prompts.iter().find(|(known, _)| *known == version) {
            return Some(known.clone());
        }
        let shape = self.placing.call.request.prompt.as_ref()?;
        let scoped = Rc::new(ScopedPrompt::new(shape, version, self.placing.customer));
        self.prompts.push((version, scoped.clone()));
        Some(scoped)
    }

    fn plan(&mut self, version: u64, data_centre: &str) -> Option<Rc<TransferPlan>> {
        let model = &self.placing.call.request.prompt.as_ref()?.model;
        let may_fetch = self.may_fetch && PolicyMechanism::KeptStores.is_on();
        if !may_fetch || is_retired(&self.state.retired.borrow(), model, version) {
            return None;
        }
        let is_same =
            |plan: &&(u64, String, Rc<TransferPlan>)| plan.0 == version && plan.1 == data_centre;
        if let Some((_, _, known)) = self.plans.iter().find(is_same) {
            return Some(known.clone());
        }
        let prompt = self.prompt(version)?;
        let plan = Rc::new(prompt.plan(self.state, data_centre, self.traits, self.now_ms));
        self.plans
            .push((version, data_centre.to_owned(), plan.clone()));
        Some(plan)
    }

    /// The order for a runner, with its saves noted, and the keys of the stores
    /// to fetch from. Without transfers it only keeps the parts apart from those
    /// of other weights and customers.
    pub(crate) fn order(
        &mut self,
        version: u64,
        data_centre: &str,
    ) -> Option<(CacheTransfers, Vec<u64>)> {
        let prompt = self.prompt(version)?;
        let Some(plan) = self.plan(version, data_centre) else {
            return Some((prompt.order_without_transfers(), Vec::new()));
        };
        let mut book = self.state.stores.borrow_mut();
        Some(prompt.order(&mut book, &plan, self.now_ms))
    }
}

/// The runners that a prompt's prefix returns to, first home first.
pub(crate) struct PromptHomes<'a> {
    homes: Vec<&'a Rc<RunnerHandle>>,
}

impl<'a> PromptHomes<'a> {
    /// The homes among those `candidates` that take prompts of this length first.
    pub(crate) fn new(
        placing: &PlacingCall<'_>,
        candidates: &[&'a Rc<RunnerHandle>],
        parts: Option<&[PromptLength]>,
        length: PromptLength,
    ) -> Self {
        let prompt = placing.call.request.prompt.as_ref();
        let Some(prefix) = prompt.and_then(prefix_key) else {
            return Self { homes: Vec::new() };
        };
        if !PolicyMechanism::PrefixHomes.is_on() {
            return Self { homes: Vec::new() };
        }
        let takes = |index: &usize| parts.is_none_or(|parts| parts[*index] == length);
        let takers: Vec<usize> = (0..candidates.len()).filter(takes).collect();
        let keys: Vec<u64> = takers.iter().map(|i| candidates[*i].key()).collect();
        let ranked = rank_homes(prefix, &keys).into_iter();
        let homes = ranked.map(|index| candidates[takers[index]]).collect();
        Self { homes }
    }

    /// The rank of a runner among them.
    pub(crate) fn rank(&self, runner: &Rc<RunnerHandle>) -> Option<usize> {
        self.homes.iter().position(|home| Rc::ptr_eq(home, runner))
    }

    /// The first other home with the same weights that can be copied from.
    pub(crate) fn source(
        &self,
        placing: &PlacingCall<'_>,
        runner: &Rc<RunnerHandle>,
        now_ms: u64,
    ) -> Option<&'a Rc<RunnerHandle>> {
        if !PolicyMechanism::RunnerCopies.is_on() {
            return None;
        }
        let weights = weights_at(placing, runner);
        let is_source = |home: &&Rc<RunnerHandle>| {
            !Rc::ptr_eq(home, runner)
                && weights_at(placing, home) == weights
                && home.failures(now_ms) < BAD_SOURCE
        };
        self.homes.iter().copied().find(is_source)
    }
}

/// Time to copy a prompt's shared parts between two runners, in milliseconds.
fn copy_ms(engine: &EngineSpec, prompt: &ScopedPrompt, is_remote: bool, lag_ms: f64) -> f64 {
    let shared = prompt.needs().split_last().map_or(&[][..], |(_, s)| s);
    let tokens: u32 = shared.iter().map(|need| need.tokens).sum();
    let bits = f64::from(tokens) * engine.token_bytes as f64 * 8.0;
    let factor = if is_remote { REMOTE_COPY } else { 1.0 };
    factor * bits / engine.link_bits_per_ms.max(1.0) + lag_ms
}

/// Time after which the runner should read the prompt in place of a fetch, in
/// milliseconds.
pub(crate) fn fetch_limit(runner: &RunnerView, asks: &PlacingNeed, need: &AdmissionNeed) -> f64 {
    let alone = RunnerView {
        known_tokens: 0,
        fetch_ms: 0.0,
        ..*runner
    };
    let first_ms = estimate(&alone, asks).first_ms;
    let spare_ms = need.target_ms - need.waited_ms - first_ms;
    let read_ms = f64::from(runner.known_tokens) / asks.prefill_per_ms;
    fetch_limit_ms(spare_ms, runner.fetch_ms, read_ms)
}

/// Copies the shared parts that no store holds from another runner.
pub(crate) fn copy_missing(
    order: &mut CacheTransfers,
    transfers: &TransferCache<'_>,
    weights: Option<u64>,
    source: &RunnerHandle,
) {
    let known = transfers.prompts.iter();
    let mut known = known.filter(|(version, _)| Some(*version) == weights);
    let Some((_, prompt)) = known.next() else {
        return;
    };
    order.fetch.resize(prompt.needs().len(), None);
    let shared = prompt.needs().len().saturating_sub(1);
    for fetch in order.fetch.iter_mut().take(shared) {
        fetch.get_or_insert(source.record().address);
    }
}

/// What a runner need not read of the prompt.
pub(crate) fn cached_prompt(
    placing: &PlacingCall<'_>,
    engine: Option<EngineSpec>,
    runner: &Rc<RunnerHandle>,
    homes: &PromptHomes<'_>,
    transfers: &mut TransferCache<'_>,
) -> CachedPrompt {
    let (Some(engine), Some(version)) = (engine, weights_at(placing, runner)) else {
        return CachedPrompt::default();
    };
    let record = runner.record();
    let rank = homes.rank(runner);
    // Only homes differ from the other runners of their data centre.
    let known = transfers.elsewhere.iter();
    let mut known = known.filter(|known| known.0 == version && known.1 == record.data_centre);
    if let Some((_, _, cached)) = known.next().filter(|_| rank.is_none()) {
        return *cached;
    }
    let plan = transfers.plan(version, &record.data_centre);
    let Some(prompt) = transfers.prompt(version) else {
        return CachedPrompt::default();
    };
    let source = homes.source(placing, runner, transfers.now_ms);
    let copy_ms = source.map(|source| {
        let is_remote = source.record().data_centre != record.data_centre;
        let lag_ms = transfers.state.stores.borrow().lag_ms(source.key());
        copy_ms(&engine, &prompt, is_remote, lag_ms)
    });
    let plan = plan.as_deref().cloned().unwrap_or_default();
    let cached = expect_cached(prompt.needs(), &plan, rank, copy_ms);
    if rank.is_none() {
        let place = (version, record.data_centre.clone(), cached);
        transfers.elsewhere.push(place);
    }
    cached
}
