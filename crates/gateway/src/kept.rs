//! Stores of kept cache: what they hold, and transfers for prompts.

mod follow;

pub(crate) use follow::{follow_stores, hear_gossip, StoreSnapshot};

use crate::{peers::spoken_key, state::GatewayState};
use berylmount_adapter::request_headers::CacheTransfers;
use berylmount_fleet::{
    CacheStore, PromptPart, PromptShape, RouteTable, ServiceKind, ServingCustomer,
};
use berylmount_policy::{
    ablation::PolicyMechanism,
    prefix_cache::{
        plan_transfers, KeptPart, PartKey, PartNeed, PromptTraits, StoreCatalogue, StoreView,
        TransferPlan,
    },
    prefix_homes::home_part,
};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The scope's part for customers that share their prompts.
const SHARED_WALL: &str = "shared";

/// One store with its catalogue.
#[derive(Debug)]
pub(crate) struct KnownStore {
    /// The service's name.
    name: String,
    /// The key under which instances speak of it.
    key: u64,
    store: CacheStore,
    catalogue: StoreCatalogue,
    /// Whether this instance asks the store itself.
    is_followed: bool,
    /// Whether another instance is being asked for all that it keeps.
    is_pulling: bool,
}

/// Parts of one store that may be freed.
#[derive(Clone, Debug)]
pub(crate) struct RetiredParts {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) epoch: u64,
    /// Scope and id of each part.
    pub(crate) parts: Vec<(String, String)>,
}

/// Whether weights are older than those that are still in use.
pub(crate) fn is_retired(retired: &[(String, u64)], model: &str, version: u64) -> bool {
    retired
        .iter()
        .any(|(known, least)| known == model && version < *least)
}

/// All stores of the route table, by name.
#[derive(Debug, Default)]
pub(crate) struct StoreBook {
    stores: Vec<KnownStore>,
    /// Lags of stores by key, in milliseconds.
    lags: Vec<(u64, u32)>,
}

impl StoreBook {
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

    /// Takes the stores of a table; returns the names of those that are new.
    fn take_table(&mut self, table: &RouteTable) -> Vec<String> {
        let mut added = Vec::new();
        let mut stores = Vec::new();
        for service in table.services() {
            let ServiceKind::Store(store) = &service.kind else {
                continue;
            };
            let known = self.find(&service.name);
            let known = known.filter(|index| self.stores[*index].store.address == store.address);
            let catalogue = match known {
                Some(index) => std::mem::take(&mut self.stores[index].catalogue),
                None => {
                    added.push(service.name.clone());
                    StoreCatalogue::default()
                }
            };
            stores.push(KnownStore {
                name: service.name.clone(),
                key: spoken_key(&service.name),
                store: store.clone(),
                catalogue,
                is_followed: true,
                is_pulling: false,
            });
        }
        self.stores = stores;
        added
    }

    /// Notes whether this instance asks a store itself. One that begins to do so
    /// starts anew, because others pass on less than the store tells.
    fn set_followed(&mut self, name: &str, is_followed: bool, was_followed: bool) {
        let Some(index) = self.find(name) else { return };
        let known = &mut self.stores[index];
        known.is_followed = is_followed;
        if is_followed && !was_followed {
            known.catalogue = StoreCatalogue::default();
        }
    }

    /// What is known of a store that this instance follows.
    pub(crate) fn snapshot(&self, store: u64) -> Option<StoreSnapshot> {
        let mut stores = self.stores.iter();
        let known = stores.find(|known| known.key == store && known.is_followed)?;
        let catalogue = &known.catalogue;
        let parts = catalogue.parts().iter();
        Some(StoreSnapshot {
            epoch: catalogue.epoch()?,
            next: catalogue.next(),
            parts: parts
                .map(|part| (part.key.0, part.number, part.tokens))
                .collect(),
        })
    }

    /// Takes the lags of stores, by key; plans reckon with them from now on.
    pub(crate) fn set_lags(&mut self, lags: Vec<(u64, u32)>) {
        self.lags = lags;
    }

    /// How many stores lag.
    pub(crate) fn lagging(&self) -> usize {
        self.lags.len()
    }

    /// The lag of a store, or of a runner that parts are copied from.
    pub(crate) fn lag_ms(&self, store: u64) -> f64 {
        if !PolicyMechanism::StoreLags.is_on() {
            return 0.0;
        }
        let found = self.lags.binary_search_by_key(&store, |(key, _)| *key);
        found.map_or(0.0, |index| f64::from(self.lags[index].1))
    }

    /// Keys of the stores that a plan fetches from.
    fn fetched_from(&self, plan: &TransferPlan) -> Vec<u64> {
        let stores = plan.fetch.iter().flatten();
        let mut keys: Vec<u64> = stores.map(|index| self.stores[*index].key).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    /// Takes parts out that the store was told to free.
    pub(crate) fn forget(&mut self, freed: &RetiredParts) {
        if let Some(catalogue) = self.catalogue(&freed.name) {
            let keys = freed.parts.iter().map(|(scope, id)| part_key(scope, id));
            keys.for_each(|key| catalogue.remove(key));
        }
    }

    /// Parts at trusted stores that were made under older weights than those
    /// `retired`: for each store its address, epoch, and the parts.
    pub(crate) fn retired_parts(
        &self,
        retired: &[(String, u64)],
        most: usize,
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
        let found = trusted.filter_map(|known| {
            let parts = known.catalogue.parts().iter().filter(is_retired).take(most);
            let parts: Vec<_> = parts.map(|p| (p.scope.clone(), p.id.clone())).collect();
            Some(RetiredParts {
                name: known.name.clone(),
                address: known.store.address,
                epoch: known.catalogue.epoch()?,
                parts,
            })
        });
        found.filter(|found| !found.parts.is_empty()).collect()
    }

    /// Plans the transfers for a prompt's parts at a runner.
    fn plan(
        &self,
        needs: &[PartNeed],
        data_centre: &str,
        traits: PromptTraits,
        now_ms: u64,
    ) -> TransferPlan {
        let stores = self.stores.iter();
        let views = stores.map(|known| known.view(self.lag_ms(known.key)));
        let views: Vec<StoreView<'_>> = views.collect();
        plan_transfers(needs, &views, data_centre, traits, now_ms)
    }
}

impl KnownStore {
    /// What a plan sees of it, with its lag.
    fn view(&self, lag_ms: f64) -> StoreView<'_> {
        StoreView {
            name: &self.name,
            data_centre: &self.store.data_centre,
            memory_tokens: self.store.memory_tokens,
            link_bits_per_ms: self.store.link_bits_per_ms,
            first_ms: self.store.transfer_latency.as_secs_f64() * 1000.0 + lag_ms,
            catalogue: &self.catalogue,
        }
    }
}

/// The parts of a prompt under one version of the weights.
#[derive(Clone, Debug)]
pub(crate) struct ScopedPrompt {
    scope: String,
    needs: Vec<PartNeed>,
}

impl ScopedPrompt {
    /// The parts of `prompt`, apart from those of other weights and of
    /// customers that share nothing.
    pub(crate) fn new(
        prompt: &PromptShape,
        version: u64,
        customer: Option<&ServingCustomer>,
    ) -> Self {
        let isolated = customer.filter(|customer| customer.is_isolated);
        let wall = isolated.map_or(SHARED_WALL, |customer| customer.name.as_str());
        let scope = format!("{version}.{}.{wall}", prompt.model);
        let need = |part: &PromptPart| PartNeed {
            key: part_key(&scope, &part.id),
            tokens: part.tokens,
        };
        let needs = prompt.parts.iter().map(need).collect();
        Self { scope, needs }
    }

    /// Its parts with their keys.
    pub(crate) fn needs(&self) -> &[PartNeed] {
        &self.needs
    }

    /// Plans its transfers at a runner in `data_centre`.
    pub(crate) fn plan(
        &self,
        state: &GatewayState,
        data_centre: &str,
        traits: PromptTraits,
        now_ms: u64,
    ) -> TransferPlan {
        let book = state.stores.borrow();
        book.plan(&self.needs, data_centre, traits, now_ms)
    }

    /// An order that only keeps the parts apart.
    pub(crate) fn order_without_transfers(&self) -> CacheTransfers {
        CacheTransfers {
            scope: self.scope.clone(),
            ..CacheTransfers::default()
        }
    }

    /// Turns a plan into an order, and notes its saves; also returns the keys of
    /// the stores to fetch from.
    pub(crate) fn order(
        &self,
        book: &mut StoreBook,
        plan: &TransferPlan,
        now_ms: u64,
    ) -> (CacheTransfers, Vec<u64>) {
        for (need, store) in self.needs.iter().zip(&plan.save) {
            if let Some(store) = store {
                let catalogue = &mut book.stores[*store].catalogue;
                catalogue.note_saving(need.key, need.tokens, now_ms);
            }
        }
        let address = |store: &Option<usize>| store.map(|index| book.stores[index].store.address);
        let order = CacheTransfers {
            scope: self.scope.clone(),
            fetch: plan.fetch.iter().map(address).collect(),
            save: plan.save.iter().map(address).collect(),
            fetch_until_ms: None,
        };
        (order, book.fetched_from(plan))
    }
}

/// The key of the part that decides a prompt's homes, under all weights; `None`
/// if it shares nothing.
pub(crate) fn prefix_key(prompt: &PromptShape) -> Option<u64> {
    let need = |part: &PromptPart| PartNeed {
        key: PartKey::default(),
        tokens: part.tokens,
    };
    let needs: Vec<PartNeed> = prompt.parts.iter().map(need).collect();
    let home = &prompt.parts[home_part(&needs)?];
    Some(xxh3_64(home.id.as_bytes()))
}

/// The version and model that a scope names; `None` for a scope of another system.
fn scope_weights(scope: &str) -> Option<(u64, &str)> {
    let mut fields = scope.splitn(3, '.');
    let version = fields.next()?.parse().ok()?;
    let model = fields.next()?;
    fields.next()?;
    Some((version, model))
}

/// The key of a part within a scope.
fn part_key(scope: &str, id: &str) -> PartKey {
    PartKey(xxh3_64(format!("{scope}/{id}").as_bytes()))
}
