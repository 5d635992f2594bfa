//! A copy of the objects of one kind, as of a revision of the store.
//!
//! Invariants:
//!
//! - The copy is complete up to its revision, and never goes back.
//! - An object is replaced only by a later revision of itself.

use berylmount_adapter::store_client::{ObjectChange, ObjectListing, StoredObject};

/// What became different in a copy.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaChange {
    /// An object is new or has changed.
    Updated(StoredObject),
    /// The object of this name is gone.
    Deleted(String),
}

/// What one instance passes on to another that lags.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaDelta {
    /// The revision up to which the delta is complete.
    pub revision: u64,
    /// Names of all objects.
    pub names: Vec<String>,
    /// Objects that changed after the revision that was asked for.
    pub objects: Vec<StoredObject>,
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct KindReplica {
    revision: u64,
    changed_at: u64,
    objects: Vec<StoredObject>,
}

impl KindReplica {
    /// The revision up to which the copy is complete; 0 before the first listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision of the last change that the copy holds.
    pub fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Takes a listing of all objects.
    ///
    /// ```
    /// use berylmount_adapter::store_client::{ObjectListing, StoredObject};
    /// use berylmount_gateway::{KindReplica, ReplicaChange};
    ///
    /// let object = StoredObject { name: "a".into(), revision: 4, spec: 1.into() };
    /// let mut replica = KindReplica::default();
    /// let full = ObjectListing { objects: vec![object.clone()], revision: 6 };
    /// assert_eq!(replica.apply_listing(&full), [ReplicaChange::Updated(object)]);
    /// let empty = ObjectListing { objects: Vec::new(), revision: 7 };
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
    pub fn apply_watch(&mut self, told: &[ObjectChange], revision: u64) -> Vec<ReplicaChange> {
        if revision <= self.revision {
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
    pub fn apply_delta(&mut self, delta: &ReplicaDelta) -> Vec<ReplicaChange> {
        if delta.revision <= self.revision {
            return Vec::new();
        }
        let names = delta.names.iter().map(String::as_str).collect();
        self.replace(names, &delta.objects, delta.revision)
    }

    /// What an instance whose copy is complete up to `since` lacks.
    pub fn delta(&self, since: u64) -> ReplicaDelta {
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
        revision: u64,
    ) -> Vec<ReplicaChange> {
        names.sort_unstable();
        let mut changes = self.delete_others(&names, revision);
        for object in objects {
            changes.extend(self.update(object));
        }
        self.revision = revision;
        changes
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|object| object.name.as_str().cmp(name))
    }

    fn update(&mut self, object: &StoredObject) -> Option<ReplicaChange> {
        match self.find(&object.name) {
            Ok(index) if self.objects[index].revision >= object.revision => return None,
            Ok(index) => self.objects[index] = object.clone(),
            Err(index) => self.objects.insert(index, object.clone()),
        }
        self.changed_at = self.changed_at.max(object.revision);
        Some(ReplicaChange::Updated(object.clone()))
    }

    fn delete(&mut self, name: &str, revision: u64) -> Option<ReplicaChange> {
        let index = self.find(name).ok()?;
        self.objects.remove(index);
        self.changed_at = self.changed_at.max(revision);
        Some(ReplicaChange::Deleted(name.to_owned()))
    }

    /// Deletes the objects whose names are not in the sorted `names`.
    fn delete_others(&mut self, names: &[&str], revision: u64) -> Vec<ReplicaChange> {
        let is_other = |o: &&StoredObject| names.binary_search(&o.name.as_str()).is_err();
        let others = self.objects.iter().filter(is_other);
        let others: Vec<String> = others.map(|object| object.name.clone()).collect();
        let deletions = others.iter().filter_map(|name| self.delete(name, revision));
        deletions.collect()
    }
}
