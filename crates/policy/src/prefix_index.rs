//! Index of the runners that probably hold a prompt's cache.
//!
//! The entries are hints. They come from finished runs and from cache events, which
//! arrive late and with gaps. The engine reports on admission how much of the prompt
//! it found in its cache. The index is bounded for each runner.

use crate::runner_query::RunnerId;
use berylmount_model::PieceKey;
use std::collections::{BTreeMap, VecDeque};

/// Bounded index of the pieces that each runner probably holds.
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
    /// Insertion count at which each entry was last inserted.
    pieces: BTreeMap<(PieceKey, RunnerId), u64>,
    /// Keys of each runner with their insertion counts, oldest first, by dense runner
    /// id.
    ages: Vec<VecDeque<(PieceKey, u64)>>,
    /// Number of pieces that each runner probably holds, by dense runner id.
    held_counts: Vec<usize>,
    max_pieces: usize,
    /// Number of insertions so far.
    insert_count: u64,
}

impl PrefixIndex {
    /// Creates an empty index with at most `max_pieces` for each runner.
    ///
    /// ```
    /// use berylmount_policy::PrefixIndex;
    ///
    /// let index = PrefixIndex::new(256);
    /// ```
    pub fn new(max_pieces: usize) -> Self {
        Self {
            pieces: BTreeMap::new(),
            ages: Vec::new(),
            held_counts: Vec::new(),
            max_pieces: max_pieces.max(1),
            insert_count: 0,
        }
    }

    /// Records that `runner` holds the prefix made of `keys`.
    ///
    /// The end of a prefix is evicted before its start, because more prompts share the
    /// start.
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
        let index = runner.0 as usize;
        if self.ages.len() <= index {
            self.ages.resize_with(index + 1, VecDeque::new);
            self.held_counts.resize(index + 1, 0);
        }
        for &key in keys.iter().rev() {
            self.insert_count += 1;
            let known = self.pieces.insert((key, runner), self.insert_count);
            self.held_counts[index] += usize::from(known.is_none());
            self.ages[index].push_back((key, self.insert_count));
        }
        while self.held_counts[index] > self.max_pieces || self.is_stale(index) {
            self.drop_oldest(runner);
        }
    }

    /// Whether the age queue holds too many stale entries, that is, keys that were
    /// inserted again later.
    fn is_stale(&self, index: usize) -> bool {
        self.ages[index].len() > 2 * self.max_pieces
    }

    fn drop_oldest(&mut self, runner: RunnerId) {
        let index = runner.0 as usize;
        let Some((key, age)) = self.ages[index].pop_front() else {
            return;
        };
        if self.pieces.get(&(key, runner)) == Some(&age) {
            self.pieces.remove(&(key, runner));
            self.held_counts[index] -= 1;
        }
    }

    /// Records that `runner` no longer holds `key`.
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
            self.held_counts[runner.0 as usize] -= 1;
        }
    }

    /// Removes all entries of `runner`, for example after its restart.
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
        let index = runner.0 as usize;
        if let Some(ages) = self.ages.get_mut(index) {
            for (key, _) in std::mem::take(ages) {
                self.pieces.remove(&(key, runner));
            }
            self.held_counts[index] = 0;
        }
    }

    /// Fills `found` with each runner that holds a prefix of `keys`, and the number of
    /// leading pieces that it holds.
    ///
    /// `found` is cleared first and ends up sorted by runner.
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
            let mut extends_any = false;
            for (&(_, runner), _) in self.pieces.range(range) {
                if depth == 0 {
                    found.push((runner, 1));
                    extends_any = true;
                } else if let Ok(index) = found.binary_search_by_key(&runner, |&(r, _)| r) {
                    let held = &mut found[index].1;
                    extends_any |= *held == depth;
                    *held += usize::from(*held == depth);
                }
            }
            if !extends_any {
                break;
            }
        }
    }
}
