//! Which runner of a pool should serve which weight version.
//!
//! A pure decision: runners are shared among the versions that the table names
//! by the weight of the customers that see each, at least one runner each while
//! there are enough. Few runners change when a share or a runner changes.

use berylmount_model::{InstanceName, ModelName, PoolName, TableRow, VersionName};
use berylmount_policy::assignment::pair_hash;
use berylmount_table::TableView;
use berylmount_targets::WantedVersion;

/// A version of a model with the weight of the customers that see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionShare {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// The customers' weights, added up.
    pub weight: u64,
}

/// The versions that work on `pool` needs, sorted by model and version.
pub fn version_shares(view: &TableView, pool: &PoolName) -> Vec<VersionShare> {
    let mut shares: Vec<VersionShare> = Vec::new();
    let rows = || view.rows().map(|stored| &stored.row);
    let works = rows().filter_map(|row| match row {
        TableRow::Work(work) if work.pool == *pool => work.model.clone(),
        _ => None,
    });
    let mut models: Vec<ModelName> = works.collect();
    models.sort();
    models.dedup();
    for model in models {
        let Some(row) = view.model(&model) else {
            continue;
        };
        // The model's own version counts even without a customer that sees it.
        add_share(&mut shares, &model, &row.version, 1);
        let customers = rows().filter_map(|row| match row {
            TableRow::Customer(customer) => Some(customer),
            _ => None,
        });
        for customer in customers {
            let version = customer.version.as_ref().unwrap_or(&row.version);
            add_share(&mut shares, &model, version, customer.weight.into());
        }
    }
    shares
}

/// Adds `weight` to the share of a version.
fn add_share(
    shares: &mut Vec<VersionShare>,
    model: &ModelName,
    version: &VersionName,
    weight: u64,
) {
    let slot =
        shares.binary_search_by(|share| (&share.model, &share.version).cmp(&(model, version)));
    match slot {
        Ok(slot) => shares[slot].weight += weight,
        Err(slot) => {
            let share = VersionShare {
                model: model.clone(),
                version: version.clone(),
                weight,
            };
            shares.insert(slot, share);
        }
    }
}

/// How many of `runners` each share gets: by weight, at least one each.
///
/// With fewer runners than shares, those with the most weight get one.
///
/// ```
/// use berylmount_dispatch::runner_counts;
///
/// assert_eq!(runner_counts(&[90, 10], 12), [11, 1]);
/// assert_eq!(runner_counts(&[1, 1, 1], 2), [1, 1, 0]);
/// ```
pub fn runner_counts(weights: &[u64], runners: usize) -> Vec<usize> {
    let total: u64 = weights.iter().sum::<u64>().max(1);
    let mut counts = vec![0; weights.len()];
    for _ in 0..runners {
        // The share that is furthest below its part gets the next runner.
        let below = |place: usize| {
            let part = weights[place] as f64 * runners as f64 / total as f64;
            let floor = if counts[place] == 0 { 1e9 } else { 0.0 };
            part - counts[place] as f64 + floor
        };
        let next = (0..weights.len()).max_by(|&a, &b| {
            let by_need = below(a).total_cmp(&below(b));
            by_need.then(weights[a].cmp(&weights[b])).then(b.cmp(&a))
        });
        if let Some(place) = next {
            counts[place] += 1;
        }
    }
    counts
}

/// What each of `runners` should serve.
///
/// Each version draws its runners by rendezvous hashing, so a change of one
/// share moves few runners of the others.
pub fn wanted_versions(shares: &[VersionShare], runners: &[InstanceName]) -> Vec<WantedVersion> {
    let weights: Vec<u64> = shares.iter().map(|share| share.weight).collect();
    let counts = runner_counts(&weights, runners.len());
    let mut order: Vec<usize> = (0..shares.len()).collect();
    // Small shares draw first, so that a large one keeps most of its runners.
    order.sort_by_key(|&place| (counts[place], place));
    let mut left: Vec<&InstanceName> = runners.iter().collect();
    let mut wanted = Vec::new();
    for place in order {
        let share = &shares[place];
        let key = format!("{}/{}", share.model, share.version);
        left.sort_by_key(|name| std::cmp::Reverse(pair_hash(key.as_bytes(), name.as_str())));
        let taken = left.drain(..counts[place].min(left.len()));
        wanted.extend(taken.map(|instance| WantedVersion {
            instance: instance.clone(),
            model: share.model.clone(),
            version: share.version.clone(),
        }));
    }
    wanted.sort_by(|a, b| a.instance.cmp(&b.instance));
    wanted
}
