//! Random changes in random order: one holder a key, fences that rise, all keys covered.

use super::*;
use std::collections::HashMap;
use trackbed::random::Random;

const OWNERS: u64 = 5;

fn owner(index: u64) -> InstanceId {
    InstanceId::new(&format!("i{index}"))
}

fn any_range(random: &mut Random) -> KeyRange {
    let (one, other) = (random.below(65536) as u16, random.below(65536) as u16);
    KeyRange::new(one.min(other), one.max(other)).unwrap()
}

fn any_change(random: &mut Random, zxid: Zxid) -> ShardChange {
    let owner = owner(random.below(OWNERS));
    let range = any_range(random);
    let earlier = Zxid::new(1, random.below(zxid.counter + 1));
    match random.below(4) {
        0 => ShardChange::Grant(vec![(range, owner)]),
        1 => ShardChange::Revoke(vec![(range, owner)]),
        2 => ShardChange::Released { owner, ranges: vec![(range, "h".into())], seen: earlier },
        _ => ShardChange::Expired { owner, revoked: earlier },
    }
}

fn check_cover(map: &ShardMap) {
    let mut next = 0u32;
    for pair in map.shards().windows(2) {
        assert_ne!(pair[0].holding, pair[1].holding, "neighbours differ");
    }
    for shard in map.shards() {
        assert_eq!(shard.range.first() as u32, next, "no gap and no overlap");
        next = shard.range.last() as u32 + 1;
    }
    assert_eq!(next, LAST_KEY as u32 + 1);
}

/// A key goes from one holder to another only over a time in which nobody holds it.
fn check_steps(before: &ShardMap, after: &ShardMap, fences: &mut HashMap<u16, u64>) {
    for key in (0..=LAST_KEY).step_by(257) {
        let (old, new) = (&before.shard_of(key).holding, &after.shard_of(key).holding);
        if let (Some(old), Some(new)) = (old.owner(), new.owner()) {
            assert_eq!(old, new, "key {key} changed hands in one step");
        }
        if let Holding::Held { fence, .. } = new
            && old != new
        {
            let last = fences.insert(key, *fence).unwrap_or(0);
            assert!(*fence > last, "the fence of key {key} did not rise");
        }
    }
}

#[test]
fn keys_are_covered_and_change_hands_only_over_free_under_rising_fences() {
    for seed in 0..40 {
        let mut random = Random::seeded(seed);
        let mut map = ShardMap::default();
        let mut fences = HashMap::new();
        let mut granted = 0;
        for counter in 1..400 {
            let zxid = Zxid::new(1, counter);
            let before = map.clone();
            match random.below(20) {
                0 => drop(map.revoke_all(&owner(random.below(OWNERS)), zxid)),
                1 => drop(map.free_all(&owner(random.below(OWNERS)))),
                _ => map.apply(zxid, &any_change(&mut random, zxid)),
            }
            check_cover(&map);
            check_steps(&before, &map, &mut fences);
            granted += (before != map) as usize;
        }
        assert!(granted > 50, "changes took effect: {granted}");
    }
}

#[test]
fn a_release_that_was_told_before_the_range_was_revoked_again_frees_nothing() {
    let mut map = ShardMap::default();
    let (first, second) = (owner(1), owner(2));
    map.apply(Zxid::new(1, 1), &ShardChange::Grant(vec![(KeyRange::ALL, first.clone())]));
    let released = |seen: u64| ShardChange::Released {
        owner: first.clone(),
        ranges: vec![(KeyRange::ALL, "h1".into())],
        seen: Zxid::new(1, seen),
    };
    map.apply(Zxid::new(1, 2), &released(1));
    assert_eq!(map.owner_of(9), Some(&first), "it was not asked to let go");
    map.apply(Zxid::new(1, 3), &ShardChange::Revoke(vec![(KeyRange::ALL, first.clone())]));
    map.apply(Zxid::new(1, 4), &released(2));
    assert_eq!(map.owner_of(9), Some(&first), "told by somebody who had not seen the revocation");
    map.apply(Zxid::new(1, 5), &ShardChange::Grant(vec![(KeyRange::ALL, second.clone())]));
    assert_eq!(map.owner_of(9), Some(&first), "not free yet");
    map.apply(Zxid::new(1, 6), &released(3));
    map.apply(Zxid::new(1, 7), &ShardChange::Grant(vec![(KeyRange::ALL, second.clone())]));
    let held: Vec<_> = map.held_by(&second).collect();
    assert_eq!(held, [(KeyRange::ALL, fence_at(Zxid::new(1, 7)), "h1")]);
    assert!(fence_at(Zxid::new(2, 1)) > fence_at(Zxid::new(1, 1 << 30)));
}
