//! The digest of a membership table, by which two nodes find out where their tables differ.
//!
//! Members are spread over a fixed number of buckets by a hash of their names. Each bucket is the XOR of the
//! fingerprints of its members, so that a change of one member is applied without a look at the others.

use crate::gossip::{Card, Standing};
use trackbed::ids::NodeName;
use trackbed::random::stable_hash;

/// Number of buckets in a digest.
const BUCKETS: usize = 32;
/// Odd multipliers that spread the bits of a fingerprint.
const MIX_FACTS: u64 = 0x9e37_79b9_7f4a_7c15;
const MIX_FINGERPRINT: u64 = 0xbf58_476d_1ce4_e5b9;

/// The digest of a table, bucket by bucket.
pub(super) struct Digest {
    buckets: [u32; BUCKETS],
}

impl Digest {
    /// The digest of an empty table.
    pub(super) fn new() -> Self {
        Self { buckets: [0; BUCKETS] }
    }

    /// Adds a card to the digest, or removes it when it was added before.
    pub(super) fn toggle(&mut self, card: &Card) {
        self.buckets[bucket_of(&card.peer.name)] ^= fingerprint(card);
    }

    /// All buckets folded into one number.
    pub(super) fn summary(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |summary: u64, bucket| summary.rotate_left(5).wrapping_mul(MIX_FACTS) ^ *bucket as u64)
    }

    /// The buckets as they go over the wire.
    pub(super) fn buckets(&self) -> Vec<u32> {
        self.buckets.to_vec()
    }

    /// Whether the bucket of the member `name` differs from that in another node's buckets.
    pub(super) fn differs_for(&self, name: &NodeName, others: &[u32]) -> bool {
        let bucket = bucket_of(name);
        others.get(bucket) != Some(&self.buckets[bucket])
    }
}

/// The bucket that the member `name` belongs to.
fn bucket_of(name: &NodeName) -> usize {
    (stable_hash(name.as_str()) % BUCKETS as u64) as usize
}

/// What a card contributes to its bucket. Dead members contribute nothing: nodes forget them at different times, and
/// a table that still has a dead member alive differs all the same.
fn fingerprint(card: &Card) -> u32 {
    if card.standing == Standing::Dead {
        return 0;
    }
    let facts = card.peer.incarnation.0.wrapping_mul(8).wrapping_add(card.standing as u64 + 1);
    let mixed = stable_hash(card.peer.name.as_str()) ^ facts.wrapping_mul(MIX_FACTS);
    (mixed.wrapping_mul(MIX_FINGERPRINT) >> 32) as u32
}
