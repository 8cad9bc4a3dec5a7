//! Shared collections do what the standard ones do, and copies change apart.

use super::{RecentKeys, SharedMap};
use std::collections::{BTreeMap, VecDeque};
use trackbed::random::Random;

#[test]
fn a_shared_map_does_what_a_standard_map_does() {
    let mut random = Random::seeded(3);
    let mut kept: Vec<(SharedMap<u64, u64>, BTreeMap<u64, u64>)> = Vec::new();
    let (mut shared, mut plain) = (SharedMap::new(), BTreeMap::new());
    for step in 0..3_000u64 {
        let key = random.below(200);
        match random.below(3) {
            0 => assert_eq!(shared.remove(&key), plain.remove(&key)),
            _ => {
                shared.insert(key, step);
                plain.insert(key, step);
            }
        }
        assert_eq!(shared.get(&key), plain.get(&key));
        assert_eq!((shared.len(), shared.is_empty()), (plain.len(), plain.is_empty()));
        assert_eq!(shared.first(), plain.first_key_value());
        if step % 100 == 0 {
            kept.push((shared.clone(), plain.clone()));
        }
    }
    kept.push((shared, plain));
    for (shared, plain) in &kept {
        assert!(shared.iter().eq(plain.iter()));
        assert!(shared.range(50..).eq(plain.range(50..)));
        let bytes = borsh::to_vec(plain).unwrap();
        assert_eq!(borsh::to_vec(shared).unwrap(), bytes);
        assert_eq!(&borsh::from_slice::<SharedMap<u64, u64>>(&bytes).unwrap(), shared);
    }
}

#[test]
fn recent_keys_are_those_of_a_queue() {
    let mut random = Random::seeded(4);
    let (mut recent, mut queue) = (RecentKeys::new(), VecDeque::new());
    let first = recent.clone();
    for step in 0..2_000u64 {
        let key = random.below(60);
        recent.push(step, key, 40);
        queue.push_back((step, key));
        if queue.len() > 40 {
            queue.pop_front();
        }
        let key = random.below(60);
        assert_eq!(recent.contains(&key), queue.iter().any(|(_, known)| *known == key));
    }
    let bytes = borsh::to_vec(&queue).unwrap();
    assert_eq!(borsh::to_vec(&recent).unwrap(), bytes);
    let again: RecentKeys<u64, u64> = borsh::from_slice(&bytes).unwrap();
    assert_eq!(again, recent);
    assert!((0..60).all(|key| again.contains(&key) == recent.contains(&key) && !first.contains(&key)));
}
