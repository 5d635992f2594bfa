//! Plays copies of a store that comes back from older copies, and of other
//! copies, and checks what they hold against the store's own history.

#![allow(clippy::unwrap_used)]

use berylmount_adapter::store_client::{EraRevision, ObjectChange, ObjectListing, StoredObject};
use berylmount_gateway::{KindReplica, ReplicaRule};
use proptest::prelude::*;
use serde_json::json;

const NAMES: [&str; 3] = ["a", "b", "c"];
const REPLICAS: usize = 3;

/// The store of one kind, with its whole history of one era.
#[derive(Clone, Default)]
struct PlayedStore {
    era: u64,
    revision: u64,
    /// Every change: name, revision, and the version it wrote; `None` deletes.
    history: Vec<(usize, u64, Option<u64>)>,
}

impl PlayedStore {
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

    /// What a watch tells; `None` if the history is not this one's.
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
enum PlayedStep {
    Write(usize, Option<u64>),
    Keep,
    ComeBack,
    List(usize),
    Watch(usize),
    Pull(usize, usize),
    /// A listing that was read before the last drill arrives late.
    LateListing(usize),
    Restart(usize),
}

fn step() -> impl Strategy<Value = PlayedStep> {
    let (name, who) = (0..NAMES.len(), 0..REPLICAS);
    prop_oneof![
        8 => (name, prop_oneof![6 => (1u64..30).prop_map(Some), 1 => Just(None)])
            .prop_map(|(name, version)| PlayedStep::Write(name, version)),
        2 => Just(PlayedStep::Keep),
        1 => Just(PlayedStep::ComeBack),
        3 => who.clone().prop_map(PlayedStep::List),
        6 => who.clone().prop_map(PlayedStep::Watch),
        4 => (who.clone(), 0..REPLICAS).prop_map(|(to, from)| PlayedStep::Pull(to, from)),
        1 => who.clone().prop_map(PlayedStep::LateListing),
        1 => who.prop_map(PlayedStep::Restart),
    ]
}

fn version(replica: &KindReplica, name: &str) -> Option<u64> {
    let all = replica.delta(EraRevision::default()).objects;
    let found = all.into_iter().find(|object| object.name == name)?;
    found.spec["Version"].as_u64()
}

fn play(rule: ReplicaRule, steps: &[PlayedStep]) -> Result<(), TestCaseError> {
    let mut store = PlayedStore::default();
    let mut copy = store.clone();
    let mut late = store.listing();
    let mut replicas: Vec<KindReplica> = (0..REPLICAS).map(|_| KindReplica::new(rule)).collect();
    for step in steps {
        let before = replicas.clone();
        match *step {
            PlayedStep::Write(name, version) => store.write(name, version),
            PlayedStep::Keep => copy = store.clone(),
            PlayedStep::ComeBack => {
                late = store.listing();
                let era = store.era + 1;
                store = PlayedStore {
                    era,
                    ..copy.clone()
                };
            }
            PlayedStep::List(who) => drop(replicas[who].apply_listing(&store.listing())),
            PlayedStep::LateListing(who) => drop(replicas[who].apply_listing(&late)),
            PlayedStep::Watch(who) => match store.watch(replicas[who].revision()) {
                Some((told, revision)) => drop(replicas[who].apply_watch(&told, revision)),
                None => drop(replicas[who].apply_listing(&store.listing())),
            },
            PlayedStep::Pull(to, from) => {
                let delta = replicas[from].delta(replicas[to].revision());
                replicas[to].apply_delta(&delta);
            }
            PlayedStep::Restart(who) => replicas[who] = KindReplica::new(rule),
        }
        for (who, (before, after)) in before.iter().zip(&replicas).enumerate() {
            if matches!(step, PlayedStep::Restart(restarted) if *restarted == who) {
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
    // At rest every copy holds what the store does, or a higher version.
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
    fn copies_follow_the_store_through_its_eras(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        play(ReplicaRule::Latest, &steps)?;
        play(ReplicaRule::HighestVersion, &steps)?;
    }
}
