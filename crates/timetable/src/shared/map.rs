//! An ordered map with structural sharing.

use borsh::{BorshDeserialize, BorshSerialize};
use rpds::RedBlackTreeMap;
use std::borrow::Borrow;
use std::fmt;
use std::io::{self, Read, Write};
use std::ops::RangeBounds;

/// An ordered map with structural sharing. Encoded as a `BTreeMap` is.
#[derive(Clone)]
pub struct SharedMap<K: Ord, V>(RedBlackTreeMap<K, V>);

impl<K: Ord, V> SharedMap<K, V> {
    /// A map without entries.
    pub fn new() -> Self {
        Self(RedBlackTreeMap::new())
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.0.size()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The value with this key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.0.get(key)
    }

    /// Whether there is an entry with this key.
    pub fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.0.contains_key(key)
    }

    /// The entry with the lowest key.
    pub fn first(&self) -> Option<(&K, &V)> {
        self.0.first()
    }

    /// Entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.0.iter()
    }

    /// Keys in their order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.0.keys()
    }

    /// Values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.0.values()
    }

    /// Entries in a range of keys, in their order.
    pub fn range(&self, keys: impl RangeBounds<K>) -> impl Iterator<Item = (&K, &V)> {
        self.0.range(keys)
    }
}

impl<K: Ord + Clone, V: Clone> SharedMap<K, V> {
    /// Puts an entry in, in place of one with the same key.
    pub fn insert(&mut self, key: K, value: V) {
        self.0.insert_mut(key, value);
    }

    /// Takes an entry out and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        let value = self.0.get(key).cloned()?;
        self.0.remove_mut(key);
        Some(value)
    }
}

impl<K: Ord, V> Default for SharedMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Ord + fmt::Debug, V: fmt::Debug> fmt::Debug for SharedMap<K, V> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_map().entries(self.iter()).finish()
    }
}

impl<K: Ord, V: PartialEq> PartialEq for SharedMap<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len() == other.len() && self.iter().eq(other.iter())
    }
}

impl<K: Ord + Clone, V: Clone> FromIterator<(K, V)> for SharedMap<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut map = Self::new();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}

impl<K: Ord + BorshSerialize, V: BorshSerialize> BorshSerialize for SharedMap<K, V> {
    fn serialize<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        let count = u32::try_from(self.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        count.serialize(writer)?;
        self.iter().try_for_each(|entry| entry.serialize(writer))
    }
}

impl<K: Ord + Clone + BorshDeserialize, V: Clone + BorshDeserialize> BorshDeserialize for SharedMap<K, V> {
    fn deserialize_reader<R: Read>(reader: &mut R) -> io::Result<Self> {
        let count = u32::deserialize_reader(reader)?;
        let mut map = Self::new();
        for _ in 0..count {
            let (key, value) = <(K, V)>::deserialize_reader(reader)?;
            map.insert(key, value);
        }
        Ok(map)
    }
}
