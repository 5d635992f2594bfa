//! Replica of the objects of one kind, as of a revision of the store.
//!
//! Invariants:
//!
//! - The replica is complete up to its revision, and its revision never decreases.
//!   Revisions are ordered by era first. A store at another address, which may have other
//!   revisions, is the only exception.
//! - An object is replaced only by a later revision of the same object or, under
//!   [`ReplicaRule::HighestVersion`], by a higher version of it.
//! - Under [`ReplicaRule::HighestVersion`], an object is never replaced by a lower version
//!   and never deleted, so that restoring the store from an older backup reverts nothing.

use berylmount_adapter::{
    objects::object_version,
    store_client::{EraRevision, ObjectChange, ObjectListing, StoredObject},
};

/// How later revisions of an object are merged into the replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReplicaRule {
    /// The latest revision wins, and deletions apply.
    #[default]
    Latest,
    /// Objects carry a version of their own, and the highest version wins.
    HighestVersion,
}

/// A change in a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// An object is new or has changed.
    Updated(StoredObject),
    /// The object with this name was deleted.
    Deleted(String),
    /// A lower version or a deletion of the object with this name was received. The
    /// replica retains its version.
    Retained(String),
}

/// The objects that one instance sends to another that lags.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaDelta {
    /// The revision up to which the delta is complete.
    pub revision: EraRevision,
    /// Names of all objects in the replica.
    pub names: Vec<String>,
    /// Objects that changed after the requested revision.
    pub objects: Vec<StoredObject>,
}

/// Replica of the objects of one kind.
#[derive(Clone, Debug, Default)]
pub struct KindReplica {
    rule: ReplicaRule,
    revision: EraRevision,
    changed_at: EraRevision,
    objects: Vec<StoredObject>,
}

impl KindReplica {
    /// Creates an empty replica.
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

    /// Whether the replica has been complete up to any revision.
    pub fn is_synced(&self) -> bool {
        self.revision > EraRevision::default()
    }

    /// Returns the revision up to which the replica is complete.
    pub fn revision(&self) -> EraRevision {
        self.revision
    }

    /// Returns the revision of the last change in the replica.
    pub fn changed_at(&self) -> EraRevision {
        self.changed_at
    }

    /// Applies a listing of all objects. Ignores it if it is older than the replica.
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

    /// Applies a listing of a store at another address. Revisions of the store before may denote
    /// other changes there, so they are not compared, and the replica has the revision of the
    /// listing afterwards. Ignores a listing of an earlier era.
    ///
    /// ```
    /// use berylmount_adapter::store_client::{EraRevision, ObjectListing, StoredObject};
    /// use berylmount_gateway::{KindReplica, ReplicaChange};
    ///
    /// let at = |revision| EraRevision { era: 1, revision };
    /// let object = StoredObject { name: "a".into(), revision: at(4), spec: 1.into() };
    /// let mut replica = KindReplica::default();
    /// let before = ObjectListing { objects: vec![object.clone()], revision: at(6) };
    /// replica.apply_listing(&before);
    /// let other = StoredObject { spec: 2.into(), ..object };
    /// let moved = ObjectListing { objects: vec![other.clone()], revision: at(5) };
    /// assert_eq!(replica.apply_moved_listing(&moved), [ReplicaChange::Updated(other)]);
    /// assert_eq!(replica.revision(), at(5));
    /// assert_eq!(replica.apply_moved_listing(&moved), []);
    /// ```
    pub fn apply_moved_listing(&mut self, listing: &ObjectListing) -> Vec<ReplicaChange> {
        let EraRevision { era, .. } = self.revision;
        if listing.revision.era != era {
            return self.apply_listing(listing);
        }
        let (known, changed_at) = (self.objects.clone(), self.changed_at);
        let is_behind = listing.revision < self.revision;
        self.begin_era(era);
        let names = listing.objects.iter().map(|object| object.name.as_str());
        let mut changes = self.replace(names.collect(), &listing.objects, listing.revision);
        // Objects that the store lacks are passed on to other instances as well.
        for object in self.objects.iter_mut().filter(|o| o.revision.revision == 0) {
            object.revision = listing.revision;
            self.changed_at = listing.revision;
        }
        if !is_behind {
            self.changed_at = self.changed_at.max(changed_at);
        }
        let is_known = |object: &StoredObject| {
            let found = known.binary_search_by(|known| known.name.cmp(&object.name));
            found.is_ok_and(|index| known[index] == *object)
        };
        changes.retain(|change| !matches!(change, ReplicaChange::Updated(o) if is_known(o)));
        changes
    }

    /// Applies the events of a watch, which are complete up to `revision`.
    ///
    /// Ignores events of an era other than that of the replica, because the changes in
    /// between are unknown.
    pub fn apply_watch(
        &mut self,
        events: &[ObjectChange],
        revision: EraRevision,
    ) -> Vec<ReplicaChange> {
        if revision <= self.revision || revision.era != self.revision.era {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for change in events {
            match change.is_deleted {
                true => changes.extend(self.delete(&change.object.name, revision)),
                false => changes.extend(self.update(&change.object)),
            }
        }
        self.revision = revision;
        changes
    }

    /// Applies a delta from another instance.
    ///
    /// If the replica of that instance is not newer, only higher versions of objects are
    /// applied.
    pub fn apply_delta(&mut self, delta: &ReplicaDelta) -> Vec<ReplicaChange> {
        if delta.revision <= self.revision {
            return match self.rule {
                ReplicaRule::Latest => Vec::new(),
                ReplicaRule::HighestVersion => self.apply_higher_versions(&delta.objects),
            };
        }
        let names = delta.names.iter().map(String::as_str).collect();
        self.replace(names, &delta.objects, delta.revision)
    }

    /// Returns the changes for an instance whose replica is complete up to `since`.
    pub fn delta(&self, since: EraRevision) -> ReplicaDelta {
        let newer = self.objects.iter().filter(|object| object.revision > since);
        ReplicaDelta {
            revision: self.revision,
            names: self.objects.iter().map(|o| o.name.clone()).collect(),
            objects: newer.cloned().collect(),
        }
    }

    /// Deletes all objects except those in `names`, and applies those of `objects` that are
    /// newer.
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

    /// Carries the objects into a new era at revision 0, so that every revision of the
    /// new era is later.
    fn begin_era(&mut self, era: u64) {
        let start = EraRevision { era, revision: 0 };
        for object in &mut self.objects {
            object.revision = start;
        }
        self.changed_at = start;
    }

    /// Applies objects that are new or have a higher version than in the replica. They get
    /// the current revision, so that other instances pull them from this one.
    fn apply_higher_versions(&mut self, objects: &[StoredObject]) -> Vec<ReplicaChange> {
        let mut changes = Vec::new();
        for object in objects {
            let revision = self.revision;
            let updated = StoredObject {
                revision,
                ..object.clone()
            };
            match self.find(&object.name) {
                Ok(index) if version_of(&self.objects[index]) >= version_of(object) => continue,
                Ok(index) => self.objects[index] = updated,
                Err(index) => self.objects.insert(index, updated),
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

    /// Whether an object has a lower version than the one in the replica at `index`.
    fn is_lower(&self, object: &StoredObject, index: usize) -> bool {
        let current = &self.objects[index];
        self.rule == ReplicaRule::HighestVersion && version_of(object) < version_of(current)
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

/// Returns the version in the spec of an object; 0 if there is none.
fn version_of(object: &StoredObject) -> u64 {
    object_version(&object.spec).unwrap_or_default()
}
