//! A copy of the objects of one kind, as of a revision of the store.
//!
//! Invariants:
//!
//! - The copy is complete up to its revision, and never goes back; revisions are
//!   compared with their era first.
//! - An object is replaced only by a later revision of itself.
//! - A versioned object is never replaced by a lower version and never deleted,
//!   so that a store that comes back from an older copy undoes nothing.

use berylmount_adapter::{
    objects::object_version,
    store_client::{EraRevision, ObjectChange, ObjectListing, StoredObject},
};

/// What a later revision of an object may do to the copy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReplicaRule {
    /// Each later revision holds, and deletions do.
    #[default]
    Latest,
    /// Objects carry a version of their own, and the highest one holds.
    HighestVersion,
}

/// What became different in a copy.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// An object is new or has changed.
    Updated(StoredObject),
    /// The object of this name is gone.
    Deleted(String),
    /// The store told of a lower version of the object of this name, or of none;
    /// the one that is held stays.
    Retained(String),
}

/// What one instance passes on to another that lags.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaDelta {
    /// The revision up to which the delta is complete.
    pub revision: EraRevision,
    /// Names of all objects.
    pub names: Vec<String>,
    /// Objects that changed after the revision that was asked for.
    pub objects: Vec<StoredObject>,
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct KindReplica {
    rule: ReplicaRule,
    revision: EraRevision,
    changed_at: EraRevision,
    objects: Vec<StoredObject>,
}

impl KindReplica {
    /// An empty copy.
    ///
    /// ```
    /// use berylmount_gateway::{KindReplica, ReplicaRule};
    ///
    /// assert!(!KindReplica::new(ReplicaRule::HighestVersion).is_synced());
    /// ```
    pub fn new(rule: ReplicaRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// Whether the copy has been complete up to any revision.
    pub fn is_synced(&self) -> bool {
        self.revision > EraRevision::default()
    }

    /// The revision up to which the copy is complete.
    pub fn revision(&self) -> EraRevision {
        self.revision
    }

    /// The revision of the last change that the copy holds.
    pub fn changed_at(&self) -> EraRevision {
        self.changed_at
    }

    /// Takes a listing of all objects.
    ///
    /// ```
    /// use berylmount_adapter::store_client::{EraRevision, ObjectListing, StoredObject};
    /// use berylmount_gateway::{KindReplica, ReplicaChange};
    ///
    /// let at = |revision| EraRevision { era: 1, revision };
    /// let object = StoredObject { name: "a".into(), revision: at(4), spec: 1.into() };
    /// let mut replica = KindReplica::default();
    /// let full = ObjectListing { objects: vec![object.clone()], revision: at(6) };
    /// assert_eq!(replica.apply_listing(&full), [ReplicaChange::Updated(object)]);
    /// let empty = ObjectListing { objects: Vec::new(), revision: at(7) };
    /// assert_eq!(replica.apply_listing(&empty), [ReplicaChange::Deleted("a".into())]);
    /// assert_eq!(replica.apply_listing(&full), []);
    /// ```
    pub fn apply_listing(&mut self, listing: &ObjectListing) -> Vec<ReplicaChange> {
        if listing.revision < self.revision {
            return Vec::new();
        }
        let names = listing.objects.iter().map(|object| object.name.as_str());
        self.replace(names.collect(), &listing.objects, listing.revision)
    }

    /// Takes what a watch told, up to `revision`.
    ///
    /// Changes of another era than the copy's say nothing of what lies between.
    pub fn apply_watch(
        &mut self,
        told: &[ObjectChange],
        revision: EraRevision,
    ) -> Vec<ReplicaChange> {
        if revision <= self.revision || revision.era != self.revision.era {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for change in told {
            match change.is_deleted {
                true => changes.extend(self.delete(&change.object.name, revision)),
                false => changes.extend(self.update(&change.object)),
            }
        }
        self.revision = revision;
        changes
    }

    /// Takes what another instance passed on.
    ///
    /// Of a copy that is not newer only the higher versions are taken.
    pub fn apply_delta(&mut self, delta: &ReplicaDelta) -> Vec<ReplicaChange> {
        if delta.revision <= self.revision {
            return match self.rule {
                ReplicaRule::Latest => Vec::new(),
                ReplicaRule::HighestVersion => self.take_higher(&delta.objects),
            };
        }
        let names = delta.names.iter().map(String::as_str).collect();
        self.replace(names, &delta.objects, delta.revision)
    }

    /// What an instance whose copy is complete up to `since` lacks.
    pub fn delta(&self, since: EraRevision) -> ReplicaDelta {
        let newer = self.objects.iter().filter(|object| object.revision > since);
        ReplicaDelta {
            revision: self.revision,
            names: self.objects.iter().map(|o| o.name.clone()).collect(),
            objects: newer.cloned().collect(),
        }
    }

    /// Keeps the objects of these names only, and takes the newer `objects`.
    fn replace(
        &mut self,
        mut names: Vec<&str>,
        objects: &[StoredObject],
        revision: EraRevision,
    ) -> Vec<ReplicaChange> {
        names.sort_unstable();
        if revision.era > self.revision.era {
            self.begin_era(revision.era);
        }
        let mut changes = self.delete_others(&names, revision);
        for object in objects {
            changes.extend(self.update(object));
        }
        self.revision = revision;
        changes
    }

    /// Carries what is held into a new era, before anything in it is known: every
    /// revision there is later than these.
    fn begin_era(&mut self, era: u64) {
        let start = EraRevision { era, revision: 0 };
        for object in &mut self.objects {
            object.revision = start;
        }
        self.changed_at = start;
    }

    /// Takes objects that are new or have a higher version than held. They count
    /// as changed now, so that they are passed on.
    fn take_higher(&mut self, objects: &[StoredObject]) -> Vec<ReplicaChange> {
        let mut changes = Vec::new();
        for object in objects {
            let revision = self.revision;
            let held = StoredObject {
                revision,
                ..object.clone()
            };
            match self.find(&object.name) {
                Ok(index) if version_of(&self.objects[index]) >= version_of(object) => continue,
                Ok(index) => self.objects[index] = held,
                Err(index) => self.objects.insert(index, held),
            }
            self.changed_at = self.changed_at.max(revision);
            changes.push(ReplicaChange::Updated(object.clone()));
        }
        changes
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|object| object.name.as_str().cmp(name))
    }

    fn update(&mut self, object: &StoredObject) -> Option<ReplicaChange> {
        match self.find(&object.name) {
            Ok(index) if self.objects[index].revision >= object.revision => return None,
            Ok(index) if self.is_lower(object, index) => {
                self.objects[index].revision = object.revision;
                self.changed_at = self.changed_at.max(object.revision);
                return Some(ReplicaChange::Retained(object.name.clone()));
            }
            Ok(index) => self.objects[index] = object.clone(),
            Err(index) => self.objects.insert(index, object.clone()),
        }
        self.changed_at = self.changed_at.max(object.revision);
        Some(ReplicaChange::Updated(object.clone()))
    }

    /// Whether an object has a lower version than the one held at `index`.
    fn is_lower(&self, object: &StoredObject, index: usize) -> bool {
        let held = &self.objects[index];
        self.rule == ReplicaRule::HighestVersion && version_of(object) < version_of(held)
    }

    fn delete(&mut self, name: &str, revision: EraRevision) -> Option<ReplicaChange> {
        let index = self.find(name).ok()?;
        if self.rule == ReplicaRule::HighestVersion {
            return Some(ReplicaChange::Retained(name.to_owned()));
        }
        self.objects.remove(index);
        self.changed_at = self.changed_at.max(revision);
        Some(ReplicaChange::Deleted(name.to_owned()))
    }

    /// Deletes the objects whose names are not in the sorted `names`.
    fn delete_others(&mut self, names: &[&str], revision: EraRevision) -> Vec<ReplicaChange> {
        let is_other = |o: &&StoredObject| names.binary_search(&o.name.as_str()).is_err();
        let others = self.objects.iter().filter(is_other);
        let others: Vec<String> = others.map(|object| object.name.clone()).collect();
        let deletions = others.iter().filter_map(|name| self.delete(name, revision));
        deletions.collect()
    }
}

/// The version that an object states of itself; 0 if it states none.
fn version_of(object: &StoredObject) -> u64 {
    object_version(&object.spec).unwrap_or_default()
}
