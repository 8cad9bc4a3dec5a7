//! Ranges of keys.

use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::Display;
use std::io::{self, Read};

/// The highest key. Keys begin at zero.
pub const LAST_KEY: u16 = u16::MAX;

/// Keys from `first` to `last`, both inside. Invariant: `first` ≤ `last`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize)]
#[display("{first}-{last}")]
pub struct KeyRange {
    first: u16,
    last: u16,
}

impl BorshDeserialize for KeyRange {
    fn deserialize_reader<R: Read>(reader: &mut R) -> io::Result<Self> {
        let (first, last) = <(u16, u16)>::deserialize_reader(reader)?;
        Self::new(first, last).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

impl KeyRange {
    /// All keys.
    pub const ALL: KeyRange = KeyRange { first: 0, last: LAST_KEY };

    /// `None` where the first key is above the last.
    pub fn new(first: u16, last: u16) -> Option<Self> {
        (first <= last).then_some(Self { first, last })
    }

    /// The lowest key.
    pub fn first(self) -> u16 {
        self.first
    }

    /// The highest key.
    pub fn last(self) -> u16 {
        self.last
    }

    /// How many keys there are in it.
    pub fn length(self) -> u32 {
        (self.last - self.first) as u32 + 1
    }

    /// Whether a key is in it.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Whether all keys of another range are in it.
    pub fn covers(self, other: KeyRange) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// What is left without another range's keys: the keys before it and those after it.
    pub fn without(self, cut: KeyRange) -> impl Iterator<Item = KeyRange> {
        let disjoint = self.intersection(cut).is_none().then_some(self);
        let inside = self.intersection(cut);
        let before = inside.and_then(|inside| Self::new(self.first, inside.first.checked_sub(1)?));
        let after = inside.and_then(|inside| Self::new(inside.last.checked_add(1)?, self.last));
        [disjoint, before, after].into_iter().flatten()
    }

    /// The keys that are in both.
    pub fn intersection(self, other: KeyRange) -> Option<KeyRange> {
        Self::new(self.first.max(other.first), self.last.min(other.last))
    }
}
