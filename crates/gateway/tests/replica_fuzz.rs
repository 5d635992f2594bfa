//! Model-based test of replicas.
//!
//! Replicas copy from a store that is restored from older backups, and from each other.
//! Their contents are checked against the history of the store.

#![allow(clippy::unwrap_used)]

use berylmount_adapter::store_client::{EraRevision, ObjectChange, ObjectListing, StoredObject};
use berylmount_gateway::{KindReplica, ReplicaRule};
use proptest::prelude::*;
use serde_json::json;

const NAMES: [&str; 3] = ["a", "b", "c"];
const REPLICAS: usize = 3;

/// Model of the store for one kind, with the complete history of the current era.
#[derive(Clone, Default)]
struct ModelStore {
    era: u64,
    revision: u64,
    /// Every change: index of the name, revision, and the version written; `None` for a
    /// deletion.
    history: Vec<(usize, u64, Option<u64>)>,
}

impl ModelStore {
    fn write(&mut self, name: usize, version: Option<u64>) {
        self.revision += 1;
        self.history.push((name, self.revision, version));
    }

    fn at(&self, revision: u64) -> EraRevision {
        EraRevision {
            era: self.era,
            revision,
        }
    }

    fn object(&self, name: usize, revision: u64, version: u64) -> StoredObject {
        StoredObject {
            name: NAMES[name].to_owned(),
            revision: self.at(revision),
            spec: json!({"Version": version, "written": revision}),
        }
    }

    fn listing(&self) -> ObjectListing {
        let last = |name: usize| {
            let mut changes = self.history.iter().rev();
            let (_, revision, version) = changes.find(|(n, _, _)| *n == name)?;
            Some(self.object(name, *revision, (*version)?))
        };
        ObjectListing {
            objects: (0..NAMES.len()).filter_map(last).collect(),
            revision: self.at(self.revision),
        }
    }

    /// Returns the events of a watch; `None` if `since` is not in the history.
    fn watch(&self, since: EraRevision) -> Option<(Vec<ObjectChange>, EraRevision)> {
        if since.era != self.era || since.revision > self.revision {
            return None;
        }
        let newer = self.history.iter().filter(|(_, r, _)| *r > since.revision);
        let changes = newer.map(|(name, revision, version)| ObjectChange {
            object: self.object(*name, *revision, version.unwrap_or_default()),
            is_deleted: version.is_none(),
        });
        Some((changes.collect(), self.at(self.revision)))
    }
}

#[derive(Clone, Debug)]
enum ModelStep {
    Write(usize, Option<u64>),
    Backup,
    Restore,
    List(usize),
    Watch(usize),
    Pull(usize, usize),
    /// Applies a listing that was read before the last restore.
    LateListing(usize),
    Restart(usize),
}

fn step() -> impl Strategy<Value = ModelStep> {
    let (name, index) = (0..NAMES.len(), 0..REPLICAS);
    prop_oneof![
        8 => (name, prop_oneof![6 => (1u64..30).prop_map(Some), 1 => Just(None)])
            .prop_map(|(name, version)| ModelStep::Write(name, version)),
        2 => Just(ModelStep::Backup),
        1 => Just(ModelStep::Restore),
        3 => index.clone().prop_map(ModelStep::List),
        6 => index.clone().prop_map(ModelStep::Watch),
        4 => (index.clone(), 0..REPLICAS).prop_map(|(to, from)| ModelStep::Pull(to, from)),
        1 => index.clone().prop_map(ModelStep::LateListing),
        1 => index.prop_map(ModelStep::Restart),
    ]
}

fn version(replica: &KindReplica, name: &str) -> Option<u64> {
    let all = replica.delta(EraRevision::default()).objects;
    let found = all.into_iter().find(|object| object.name == name)?;
    found.spec["Version"].as_u64()
}

fn run_steps(rule: ReplicaRule, steps: &[ModelStep]) -> Result<(), TestCaseError> {
    let mut store = ModelStore::default();
    let mut backup = store.clone();
    let mut late_listing = store.listing();
    let mut replicas: Vec<KindReplica> = (0..REPLICAS).map(|_| KindReplica::new(rule)).collect();
    for step in steps {
        let before = replicas.clone();
        match *step {
            ModelStep::Write(name, version) => store.write(name, version),
            ModelStep::Backup => backup = store.clone(),
            ModelStep::Restore => {
                late_listing = store.listing();
                let era = store.era + 1;
                store = ModelStore {
                    era,
                    ..backup.clone()
                };
            }
            ModelStep::List(index) => drop(replicas[index].apply_listing(&store.listing())),
            ModelStep::LateListing(index) => drop(replicas[index].apply_listing(&late_listing)),
            ModelStep::Watch(index) => match store.watch(replicas[index].revision()) {
                Some((events, revision)) => drop(replicas[index].apply_watch(&events, revision)),
                None => drop(replicas[index].apply_listing(&store.listing())),
            },
            ModelStep::Pull(to, from) => {
                let delta = replicas[from].delta(replicas[to].revision());
                replicas[to].apply_delta(&delta);
            }
            ModelStep::Restart(index) => replicas[index] = KindReplica::new(rule),
        }
        for (index, (before, after)) in before.iter().zip(&replicas).enumerate() {
            if matches!(step, ModelStep::Restart(restarted) if *restarted == index) {
                continue;
            }
            prop_assert!(after.revision() >= before.revision(), "{step:?}");
            prop_assert!(after.changed_at() >= before.changed_at(), "{step:?}");
            if rule == ReplicaRule::HighestVersion {
                for name in NAMES {
                    prop_assert!(version(after, name) >= version(before, name), "{step:?}");
                }
            }
        }
    }
    // After a final listing, every replica equals the store or has higher versions.
    let listing = store.listing();
    for replica in &mut replicas {
        replica.apply_listing(&listing);
        for name in NAMES {
            let stored = listing.objects.iter().find(|object| object.name == name);
            let stored = stored.and_then(|object| object.spec["Version"].as_u64());
            match rule {
                ReplicaRule::Latest => prop_assert_eq!(version(replica, name), stored),
                ReplicaRule::HighestVersion => prop_assert!(version(replica, name) >= stored),
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn replicas_match_the_store_across_eras(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        run_steps(ReplicaRule::Latest, &steps)?;
        run_steps(ReplicaRule::HighestVersion, &steps)?;
    }
}
