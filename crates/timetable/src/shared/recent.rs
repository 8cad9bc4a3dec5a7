//! The last few keys that came, in their order, with quick search.

use borsh::{BorshDeserialize, BorshSerialize};
use rpds::{HashTrieMap, Queue};
use std::fmt;
use std::hash::Hash;
use std::io::{self, Read, Write};

/// The last keys that came, oldest first, each with a mark. Encoded as a `VecDeque` of marks and keys is.
/// Invariant: `counts` says how often each key stands in `order`.
#[derive(Clone)]
pub struct RecentKeys<K: Hash + Eq, M> {
    order: Queue<(M, K)>,
    counts: HashTrieMap<K, u32>,
}

impl<K: Hash + Eq + Clone, M> RecentKeys<K, M> {
    /// A queue without keys.
    pub fn new() -> Self {
        Self { order: Queue::new(), counts: HashTrieMap::new() }
    }

    /// Whether a key is remembered.
    pub fn contains(&self, key: &K) -> bool {
        self.counts.contains_key(key)
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The mark of the oldest key that is remembered.
    pub fn oldest_mark(&self) -> Option<&M> {
        self.order.peek().map(|(mark, _)| mark)
    }

    /// Adds a key, and forgets the oldest ones beyond a number.
    pub fn push(&mut self, mark: M, key: K, most: usize) {
        self.append(mark, key);
        while self.order.len() > most {
            self.forget_oldest();
        }
    }

    fn append(&mut self, mark: M, key: K) {
        let count = self.counts.get(&key).copied().unwrap_or(0);
        self.counts.insert_mut(key.clone(), count + 1);
        self.order.enqueue_mut((mark, key));
    }

    fn forget_oldest(&mut self) {
        let Some((_, key)) = self.order.peek() else { return };
        match self.counts.get(key).copied() {
            Some(count) if count > 1 => self.counts.insert_mut(key.clone(), count - 1),
            _ => {
                self.counts.remove_mut(key);
            }
        }
        self.order.dequeue_mut();
    }
}

impl<K: Hash + Eq + Clone, M> Default for RecentKeys<K, M> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Hash + Eq + fmt::Debug, M: fmt::Debug> fmt::Debug for RecentKeys<K, M> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.order.iter()).finish()
    }
}

impl<K: Hash + Eq, M: PartialEq> PartialEq for RecentKeys<K, M> {
    fn eq(&self, other: &Self) -> bool {
        self.order.iter().eq(other.order.iter())
    }
}

impl<K: Hash + Eq + BorshSerialize, M: BorshSerialize> BorshSerialize for RecentKeys<K, M> {
    fn serialize<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        let count = u32::try_from(self.order.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        count.serialize(writer)?;
        self.order.iter().try_for_each(|entry| entry.serialize(writer))
    }
}

impl<K: Hash + Eq + Clone + BorshDeserialize, M: BorshDeserialize> BorshDeserialize for RecentKeys<K, M> {
    fn deserialize_reader<R: Read>(reader: &mut R) -> io::Result<Self> {
        let count = u32::deserialize_reader(reader)?;
        let mut keys = Self::new();
        for _ in 0..count {
            let (mark, key) = <(M, K)>::deserialize_reader(reader)?;
            keys.append(mark, key);
        }
        Ok(keys)
    }
}
