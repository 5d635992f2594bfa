//! KV cache stores: their catalogues, and the cache transfers for prompts.

mod watch;

pub(crate) use watch::{apply_gossip, watch_stores, StoreSnapshot};

use crate::{peers::name_hash, state::GatewayState};
use berylmount_adapter::request_headers::CacheTransfers;
use berylmount_fleet::{
    CacheStore, CustomerRecord, HomeRegions, PromptPart, PromptShape, RouteTable, ServiceKind,
};
use berylmount_policy::{
    ablation::PolicyMechanism,
    prefix_cache::{
        plan_transfers, KeptPart, KeyedPart, PartKey, PromptCosts, StoreCatalogue, StoreView,
        TransferPlan, UnsettledPart,
    },
    prefix_homes::home_part,
    save_orders::{SavedPart, SettledParts, StoreProgress},
};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Longest time that gossip about a response of a store takes, in milliseconds.
const MAX_GOSSIP_MS: u64 = 500;

/// One KV cache store with its catalogue.
#[derive(Debug)]
pub(crate) struct StoreEntry {
    /// Name of the store's service.
    name: String,
    /// Key of the store in messages between instances.
    key: u64,
    store: CacheStore,
    catalogue: StoreCatalogue,
    /// Whether this instance polls the store itself.
    is_watched: bool,
    /// Whether a snapshot has been requested from another instance.
    is_snapshot_pending: bool,
}

/// Parts of one store that can be freed.
#[derive(Clone, Debug)]
pub(crate) struct RetiredParts {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) epoch: u64,
    /// The scope and id of each part.
    pub(crate) parts: Vec<(String, String)>,
}

/// Returns whether a weights version is older than the oldest one in use, which
/// `retired` holds for each model.
pub(crate) fn is_retired(retired: &[(String, u64)], model: &str, version: u64) -> bool {
    retired
        .iter()
        .any(|(retired_model, min_version)| retired_model == model && version < *min_version)
}

/// All KV cache stores of the route table, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct StoreRegistry {
    stores: Vec<StoreEntry>,
    /// Lag of each slow store, sorted by key. The lag is its additional latency in
    /// milliseconds.
    lags: Vec<(u64, u32)>,
}

impl StoreRegistry {
    fn find(&self, name: &str) -> Option<usize> {
        let found = self
            .stores
            .binary_search_by(|store| store.name.as_str().cmp(name));
        found.ok()
    }

    fn catalogue(&mut self, name: &str) -> Option<&mut StoreCatalogue> {
        let index = self.find(name)?;
        Some(&mut self.stores[index].catalogue)
    }

    /// Replaces the stores with those of a route table; returns the names of new ones.
    fn apply_table(&mut self, table: &RouteTable) -> Vec<String> {
        let mut added = Vec::new();
        let mut stores = Vec::new();
        for service in table.services() {
            let ServiceKind::Store(store) = &service.kind else {
                continue;
            };
            let existing = self.find(&service.name);
            let existing =
                existing.filter(|index| self.stores[*index].store.address == store.address);
            let catalogue = match existing {
                Some(index) => std::mem::take(&mut self.stores[index].catalogue),
                None => {
                    added.push(service.name.clone());
                    StoreCatalogue::default()
                }
            };
            stores.push(StoreEntry {
                name: service.name.clone(),
                key: name_hash(&service.name),
                store: store.clone(),
                catalogue,
                is_watched: true,
                is_snapshot_pending: false,
            });
        }
        self.stores = stores;
        added
    }

    /// Sets whether this instance polls a store itself. The catalogue is reset when
    /// polling starts, because gossip from other instances lacks the scope and id of
    /// the parts.
    fn set_watched(&mut self, name: &str, is_watched: bool, was_watched: bool) {
        let Some(index) = self.find(name) else { return };
        let entry = &mut self.stores[index];
        entry.is_watched = is_watched;
        if is_watched && !was_watched {
            entry.catalogue = entry.catalogue.cleared();
        }
    }

    /// Returns a snapshot of the catalogue of a store that this instance polls; `None` if the
    /// store has not responded recently, or a listing of it is under way.
    pub(crate) fn snapshot(&self, store: u64, now_ms: u64) -> Option<StoreSnapshot> {
        let mut stores = self.stores.iter();
        let entry = stores.find(|entry| entry.key == store && entry.is_watched)?;
        let catalogue = &entry.catalogue;
        if !catalogue.is_trusted(now_ms) || !catalogue.is_complete() {
            return None;
        }
        let parts = catalogue.parts().iter();
        Some(StoreSnapshot {
            epoch: catalogue.epoch()?,
            next: catalogue.next(),
            parts: parts
                .map(|part| (part.key.0, part.number, part.tokens))
                .collect(),
        })
    }

    /// Whether the route table has no store.
    pub(crate) fn is_empty(&self) -> bool {
        self.stores.is_empty()
    }

    /// Returns when the store with this key made its last response, by the boot clock; 0 if it is
    /// unreachable, and `None` if there is no such store.
    pub(crate) fn responded_ms(&self, store: u64) -> Option<u64> {
        let entry = self.stores.iter().find(|entry| entry.key == store)?;
        Some(entry.responded_ms())
    }

    /// Returns what is known of each store, sorted by key. Orders of an earlier process of this
    /// instance may begin until `forgotten_until_ms`.
    pub(crate) fn progress(&self, forgotten_until_ms: u64) -> Vec<StoreProgress> {
        let stores = self.stores.iter().filter_map(|entry| {
            let (epoch, known, settled) = entry.catalogue.progress()?;
            Some(StoreProgress {
                store: entry.key,
                epoch,
                known,
                settled,
                has_forgotten: entry.responded_ms() < forgotten_until_ms,
            })
        });
        let mut stores: Vec<StoreProgress> = stores.collect();
        stores.sort_unstable_by_key(|progress| progress.store);
        stores
    }

    /// Returns the number of parts that are not settled.
    pub(crate) fn unsettled_count(&self) -> usize {
        let catalogues = self.stores.iter().map(|entry| &entry.catalogue);
        catalogues
            .map(|catalogue| catalogue.unsettled().len())
            .sum()
    }

    /// Returns the parts that are not settled, sorted.
    pub(crate) fn unsettled(&self) -> Vec<PartKey> {
        let catalogues = self.stores.iter().map(|entry| &entry.catalogue);
        let parts = catalogues.flat_map(|catalogue| catalogue.unsettled());
        let mut keys: Vec<PartKey> = parts.map(|part| part.key).collect();
        keys.sort_unstable();
        keys
    }

    /// Records which parts are settled now.
    pub(crate) fn settle(&mut self, settled: &SettledParts) {
        for entry in &mut self.stores {
            let Some(epoch) = entry.catalogue.epoch() else {
                continue;
            };
            let (store, responded_ms) = (entry.key, entry.responded_ms());
            let is_settled =
                |part: &UnsettledPart| settled.covers(store, epoch, responded_ms, part);
            entry.catalogue.settle(is_settled);
        }
    }

    /// Replaces the lags of stores, sorted by key. Later plans add them to the latency
    /// of the stores.
    pub(crate) fn set_lags(&mut self, lags: Vec<(u64, u32)>) {
        self.lags = lags;
    }

    /// Returns the number of lagging stores.
    pub(crate) fn lagging_count(&self) -> usize {
        self.lags.len()
    }

    /// Returns the lag of a store, or of a runner that parts are copied from.
    pub(crate) fn lag_ms(&self, store: u64) -> f64 {
        if !PolicyMechanism::StoreLags.is_enabled() {
            return 0.0;
        }
        let found = self.lags.binary_search_by_key(&store, |(key, _)| *key);
        found.map_or(0.0, |index| f64::from(self.lags[index].1))
    }

    /// Returns the keys of the stores that a plan fetches from.
    fn fetched_from(&self, plan: &TransferPlan) -> Vec<u64> {
        let stores = plan.fetch.iter().flatten();
        let mut keys: Vec<u64> = stores.map(|index| self.stores[*index].key).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    /// Removes parts from the catalogue that the store has freed.
    pub(crate) fn forget(&mut self, freed: &RetiredParts) {
        if let Some(catalogue) = self.catalogue(&freed.name) {
            let keys = freed.parts.iter().map(|(scope, id)| part_key(scope, id));
            keys.for_each(|key| catalogue.remove(key));
        }
    }

    /// Returns the parts at trusted stores that were computed under retired weights,
    /// at most `max_parts` for each store.
    pub(crate) fn retired_parts(
        &self,
        retired: &[(String, u64)],
        max_parts: usize,
        now_ms: u64,
    ) -> Vec<RetiredParts> {
        let is_retired = |part: &&KeptPart| {
            let weights = scope_weights(&part.scope);
            weights.is_some_and(|(version, model)| is_retired(retired, model, version))
        };
        let trusted = self
            .stores
            .iter()
            .filter(|s| s.catalogue.is_trusted(now_ms));
        let found = trusted.filter_map(|entry| {
            let parts = entry
                .catalogue
                .parts()
                .iter()
                .filter(is_retired)
                .take(max_parts);
            let parts: Vec<_> = parts.map(|p| (p.scope.clone(), p.id.clone())).collect();
            Some(RetiredParts {
                name: entry.name.clone(),
                address: entry.store.address,
                epoch: entry.catalogue.epoch()?,
                parts,
            })
        });
        found.filter(|found| !found.parts.is_empty()).collect()
    }

    /// Plans the transfers for a prompt's parts to a runner in `data_centre`.
    fn plan(
        &self,
        parts: &[KeyedPart],
        data_centre: &str,
        costs: PromptCosts,
        now_ms: u64,
    ) -> TransferPlan {
        let stores = self.stores.iter();
        let views = stores.map(|entry| entry.view(self.lag_ms(entry.key)));
        let views: Vec<StoreView<'_>> = views.collect();
        plan_transfers(parts, &views, data_centre, costs, now_ms)
    }
}

impl StoreEntry {
    /// Returns when the store made its last response, by the boot clock; 0 if it is unreachable.
    fn responded_ms(&self) -> u64 {
        let gossip_ms = if self.is_watched { 0 } else { MAX_GOSSIP_MS };
        self.catalogue.responded_ms().saturating_sub(gossip_ms)
    }

    /// Returns the planner's view of the store; `lag_ms` is added to its latency.
    fn view(&self, lag_ms: f64) -> StoreView<'_> {
        StoreView {
            name: &self.name,
            data_centre: &self.store.data_centre,
            memory_tokens: self.store.memory_tokens,
            link_bits_per_ms: self.store.link_bits_per_ms,
            latency_ms: self.store.transfer_latency.as_secs_f64() * 1000.0 + lag_ms,
            catalogue: &self.catalogue,
        }
    }
}

/// Cache transfers of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannedTransfers {
    /// What the runner is told.
    pub(crate) transfers: CacheTransfers,
    /// Keys of the stores and runners that parts are fetched from.
    pub(crate) sources: Vec<u64>,
    /// Parts that the runner is to save.
    pub(crate) saved: Vec<SavedPart>,
}

/// The parts of a prompt, scoped to one version of the weights.
#[derive(Clone, Debug)]
pub(crate) struct ScopedPrompt {
    scope: String,
    parts: Vec<KeyedPart>,
    /// The regions that the parts may be moved to.
    homes: HomeRegions,
}

impl ScopedPrompt {
    /// Creates the parts of `prompt` in a scope that separates them from other
    /// models, weights versions and isolated customers, and from requests that are bound to other
    /// regions or none, which may move them elsewhere.
    pub(crate) fn new(
        prompt: &PromptShape,
        version: u64,
        table: &RouteTable,
        customer: Option<&CustomerRecord>,
        homes: &HomeRegions,
    ) -> Self {
        let namespace = table.cache_namespace(customer);
        let mut scope = format!("{version}.{}.{namespace}", prompt.model);
        if let Some(names) = homes.names() {
            let homes = xxh3_64(names.join("\n").as_bytes());
            scope.push_str(&format!("-in-{homes:016x}"));
        }
        let keyed = |part: &PromptPart| KeyedPart {
            key: part_key(&scope, &part.id),
            tokens: part.tokens,
        };
        let parts = prompt.parts.iter().map(keyed).collect();
        Self {
            scope,
            parts,
            homes: homes.clone(),
        }
    }

    /// Returns the parts with their keys.
    pub(crate) fn parts(&self) -> &[KeyedPart] {
        &self.parts
    }

    /// Plans the prompt's transfers to a runner in `data_centre`.
    pub(crate) fn plan(
        &self,
        state: &GatewayState,
        data_centre: &str,
        costs: PromptCosts,
        now_ms: u64,
    ) -> TransferPlan {
        let registry = state.stores.borrow();
        let mut plan = registry.plan(&self.parts, data_centre, costs, now_ms);
        if self.homes.names().is_some() {
            let regions = &state.settings().regions;
            plan.retain_saves(|index| {
                let data_centre = &registry.stores[index].store.data_centre;
                self.homes.allows_data_centre(regions, data_centre)
            });
        }
        plan
    }

    /// Returns the scope for a runner, without any transfers.
    pub(crate) fn scope_without_transfers(&self) -> CacheTransfers {
        CacheTransfers {
            scope: self.scope.clone(),
            ..CacheTransfers::default()
        }
    }

    /// Converts a plan into transfers for the runner and records its saves as pending.
    pub(crate) fn transfers(
        &self,
        registry: &mut StoreRegistry,
        plan: &TransferPlan,
        now_ms: u64,
    ) -> PlannedTransfers {
        let mut saved = Vec::new();
        for (part, store) in self.parts.iter().zip(&plan.save) {
            if let Some(store) = store {
                let catalogue = &mut registry.stores[*store].catalogue;
                catalogue.note_saving(part.key, part.tokens, now_ms);
                let store = registry.stores[*store].key;
                let key = part.key;
                saved.push(SavedPart { key, store });
            }
        }
        let address =
            |store: &Option<usize>| store.map(|index| registry.stores[index].store.address);
        let transfers = CacheTransfers {
            scope: self.scope.clone(),
            fetch: plan.fetch.iter().map(address).collect(),
            save: plan.save.iter().map(address).collect(),
            fetch_until_ms: plan.fetch_until_ms,
        };
        PlannedTransfers {
            transfers,
            sources: registry.fetched_from(plan),
            saved,
        }
    }
}

/// Returns the key of the part that determines a prompt's home runners, independent
/// of the weights; `None` if the prompt has no shared part.
pub(crate) fn prefix_key(prompt: &PromptShape) -> Option<u64> {
    let keyed = |part: &PromptPart| KeyedPart {
        key: PartKey::default(),
        tokens: part.tokens,
    };
    let parts: Vec<KeyedPart> = prompt.parts.iter().map(keyed).collect();
    let home = &prompt.parts[home_part(&parts)?];
    Some(xxh3_64(home.id.as_bytes()))
}

/// Parses the weights version and the model from a scope; `None` if another system
/// wrote the scope.
fn scope_weights(scope: &str) -> Option<(u64, &str)> {
    let (version, rest) = scope.split_once('.')?;
    // Names of models may contain dots; namespaces do not.
    let (model, _) = rest.rsplit_once('.')?;
    Some((version.parse().ok()?, model))
}

/// Returns the key of a part within a scope.
fn part_key(scope: &str, id: &str) -> PartKey {
    PartKey(xxh3_64(format!("{scope}/{id}").as_bytes()))
}
