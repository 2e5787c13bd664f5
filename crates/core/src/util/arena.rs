//! Arenas: append-only storage of records with small `Copy` keys.
//! Input: records. State: the records in the order in which they were added.
//!
//! Records refer to each other by key, never by reference or name. Keys have four bytes and hash
//! fast, so one event can contain all its references without an allocation.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::marker::PhantomData;

/// Index of a `T` in its [`Arena`].
pub struct Key<T> {
    index: u32,
    of: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// The key with this index; valid only for the arena that returned it.
    pub fn from_index(index: u32) -> Key<T> {
        Key { index, of: PhantomData }
    }

    /// The index as a `u32`, for logs.
    pub fn number(self) -> u32 {
        self.index
    }

    /// The index as a `usize`.
    pub fn index(self) -> usize {
        self.index as usize
    }
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index
    }
}

impl<T> Eq for Key<T> {}

impl<T> PartialOrd for Key<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Key<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.index.cmp(&other.index)
    }
}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.index.hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}", self.index)
    }
}

/// Records that can be added and changed, but not removed.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    records: Vec<T>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Arena { records: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Adds a record.
    ///
    /// # Panics
    ///
    /// Panics above `u32::MAX` records; no input of a caller can reach that number.
    pub fn push(&mut self, record: T) -> Key<T> {
        let index = u32::try_from(self.records.len()).expect("fewer than u32::MAX records");
        self.records.push(record);
        Key::from_index(index)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All records with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.records
            .iter()
            .enumerate()
            .map(|(index, record)| (Key::from_index(index as u32), record))
    }

    /// All records with their keys, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key<T>, &mut T)> {
        let records = self.records.iter_mut().enumerate();
        records.map(|(index, record)| (Key::from_index(index as u32), record))
    }
}

impl<T> std::ops::Index<Key<T>> for Arena<T> {
    type Output = T;

    fn index(&self, key: Key<T>) -> &T {
        &self.records[key.index()]
    }
}

impl<T> std::ops::IndexMut<Key<T>> for Arena<T> {
    fn index_mut(&mut self, key: Key<T>) -> &mut T {
        &mut self.records[key.index()]
    }
}
