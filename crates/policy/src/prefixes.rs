//! Which runner probably holds a prompt's cache.
//!
//! A bounded index of hints, fed by finished runs and by cache events that come
//! late and with gaps. The engine says on admission what it really found.

use crate::runner_query::RunnerId;
use berylmount_model::PieceKey;
use std::collections::{BTreeMap, VecDeque};

/// Hints of which runner holds which pieces.
///
/// ```
/// use berylmount_model::PieceKey;
/// use berylmount_policy::{PrefixIndex, RunnerId};
///
/// let keys = ["11", "22"].map(|b| PieceKey::try_from(b.repeat(32)).unwrap());
/// let mut index = PrefixIndex::new(8);
/// index.note_kept(RunnerId(3), &keys[..1]);
/// let mut found = Vec::new();
/// index.held_pieces(&keys, &mut found);
/// assert_eq!(found, [(RunnerId(3), 1)]);
/// ```
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    pieces: BTreeMap<(PieceKey, RunnerId), u64>,
    /// Keys of each runner, oldest first, by dense id.
    ages: Vec<VecDeque<(PieceKey, u64)>>,
    held: Vec<usize>,
    most_pieces: usize,
    count: u64,
}

impl PrefixIndex {
    /// An empty index with at most `most_pieces` for each runner.
    ///
    /// ```
    /// use berylmount_policy::PrefixIndex;
    ///
    /// let index = PrefixIndex::new(256);
    /// ```
    pub fn new(most_pieces: usize) -> Self {
        Self {
            pieces: BTreeMap::new(),
            ages: Vec::new(),
            held: Vec::new(),
            most_pieces: most_pieces.max(1),
            count: 0,
        }
    }

    /// Notes that `runner` holds the prefix made of `keys`.
    ///
    /// The end of a prefix counts as older than its start, because the start
    /// serves more prompts.
    ///
    /// ```
    /// use berylmount_model::PieceKey;
    /// use berylmount_policy::{PrefixIndex, RunnerId};
    ///
    /// let key = PieceKey::try_from("11".repeat(32)).unwrap();
    /// let mut index = PrefixIndex::new(8);
    /// index.note_kept(RunnerId(3), &[key]);
    /// ```
    pub fn note_kept(&mut self, runner: RunnerId, keys: &[PieceKey]) {
        let place = runner.0 as usize;
        if self.ages.len() <= place {
            self.ages.resize_with(place + 1, VecDeque::new);
            self.held.resize(place + 1, 0);
        }
        for &key in keys.iter().rev() {
            self.count += 1;
            let known = self.pieces.insert((key, runner), self.count);
            self.held[place] += usize::from(known.is_none());
            self.ages[place].push_back((key, self.count));
        }
        while self.held[place] > self.most_pieces || self.is_stale(place) {
            self.drop_oldest(runner);
        }
    }

    /// Whether the ages hold too many entries that were renewed since.
    fn is_stale(&self, place: usize) -> bool {
        self.ages[place].len() > 2 * self.most_pieces
    }

    fn drop_oldest(&mut self, runner: RunnerId) {
        let place = runner.0 as usize;
        let Some((key, age)) = self.ages[place].pop_front() else {
            return;
        };
        if self.pieces.get(&(key, runner)) == Some(&age) {
            self.pieces.remove(&(key, runner));
            self.held[place] -= 1;
        }
    }

    /// Notes that `runner` no longer holds `key`.
    ///
    /// ```
    /// use berylmount_model::PieceKey;
    /// use berylmount_policy::{PrefixIndex, RunnerId};
    ///
    /// let key = PieceKey::try_from("11".repeat(32)).unwrap();
    /// let mut index = PrefixIndex::new(8);
    /// index.note_kept(RunnerId(3), &[key]);
    /// index.note_dropped(RunnerId(3), key);
    /// ```
    pub fn note_dropped(&mut self, runner: RunnerId, key: PieceKey) {
        if self.pieces.remove(&(key, runner)).is_some() {
            self.held[runner.0 as usize] -= 1;
        }
    }

    /// Forgets all about `runner`, such as after its restart.
    ///
    /// ```
    /// use berylmount_model::PieceKey;
    /// use berylmount_policy::{PrefixIndex, RunnerId};
    ///
    /// let key = PieceKey::try_from("11".repeat(32)).unwrap();
    /// let mut index = PrefixIndex::new(8);
    /// index.note_kept(RunnerId(3), &[key]);
    /// index.forget_runner(RunnerId(3));
    /// ```
    pub fn forget_runner(&mut self, runner: RunnerId) {
        let place = runner.0 as usize;
        if let Some(ages) = self.ages.get_mut(place) {
            for (key, _) in std::mem::take(ages) {
                self.pieces.remove(&(key, runner));
            }
            self.held[place] = 0;
        }
    }

    /// Puts into `found` each runner that holds a prefix, with its pieces.
    ///
    /// The result is sorted by runner; `found` is cleared first.
    ///
    /// ```
    /// use berylmount_model::PieceKey;
    /// use berylmount_policy::{PrefixIndex, RunnerId};
    ///
    /// let key = PieceKey::try_from("11".repeat(32)).unwrap();
    /// let mut index = PrefixIndex::new(8);
    /// let mut found = Vec::new();
    /// index.held_pieces(&[key], &mut found);
    /// assert!(found.is_empty());
    /// ```
    pub fn held_pieces(&self, keys: &[PieceKey], found: &mut Vec<(RunnerId, usize)>) {
        found.clear();
        for (depth, &key) in keys.iter().enumerate() {
            let range = (key, RunnerId(0))..=(key, RunnerId(u32::MAX));
            let mut deeper = false;
            for (&(_, runner), _) in self.pieces.range(range) {
                if depth == 0 {
                    found.push((runner, 1));
                    deeper = true;
                } else if let Ok(place) = found.binary_search_by_key(&runner, |&(r, _)| r) {
                    let held = &mut found[place].1;
                    deeper |= *held == depth;
                    *held += usize::from(*held == depth);
                }
            }
            if !deeper {
                break;
            }
        }
    }
}
