//! Values by path prefix, with structural sharing.

use rpds::HashTrieMap;

/// Values by path prefix; a search finds the longest prefix that begins a path.
/// Invariant: `lengths` holds the length of every prefix, longest first, with the number of prefixes of it.
#[derive(Clone, Debug)]
pub(super) struct Prefixes<V> {
    by_prefix: HashTrieMap<String, V>,
    lengths: Vec<(usize, usize)>,
}

impl<V> Default for Prefixes<V> {
    fn default() -> Self {
        Self { by_prefix: HashTrieMap::new(), lengths: Vec::new() }
    }
}

impl<V: Clone> Prefixes<V> {
    pub fn is_empty(&self) -> bool {
        self.lengths.is_empty()
    }

    pub fn get(&self, prefix: &str) -> Option<&V> {
        self.by_prefix.get(prefix)
    }

    /// The value at the longest prefix that begins the path.
    pub fn longest(&self, path: &str) -> Option<&V> {
        self.lengths.iter().find_map(|(length, _)| self.by_prefix.get(path.get(..*length)?))
    }

    /// Whether any prefix has a length: cheaper than a search for one that can't be there.
    pub fn has_length(&self, length: usize) -> bool {
        self.place_of(length).is_ok()
    }

    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.by_prefix.values()
    }

    pub fn insert(&mut self, prefix: &str, value: V) {
        if !self.by_prefix.contains_key(prefix) {
            match self.place_of(prefix.len()) {
                Ok(place) => self.lengths[place].1 += 1,
                Err(place) => self.lengths.insert(place, (prefix.len(), 1)),
            }
        }
        self.by_prefix.insert_mut(prefix.to_owned(), value);
    }

    pub fn remove(&mut self, prefix: &str) {
        if !self.by_prefix.remove_mut(prefix) {
            return;
        }
        if let Ok(place) = self.place_of(prefix.len()) {
            self.lengths[place].1 -= 1;
            if self.lengths[place].1 == 0 {
                self.lengths.remove(place);
            }
        }
    }

    fn place_of(&self, length: usize) -> Result<usize, usize> {
        self.lengths.binary_search_by(|(known, _)| length.cmp(known))
    }
}
