//! When a range counts as overdue.

use super::*;
use timetable::shards::ShardChange;
use trackbed::ids::{InstanceId, Zxid};

const HOLD_MAX: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Moment {
    Moment::from_micros(seconds * 1_000_000)
}

#[test]
fn a_free_range_and_one_that_is_not_let_go_become_overdue_once() {
    let mut invariant = ShardInvariant::default();
    let mut map = ShardMap::default();
    assert!(invariant.look(&map, false, HOLD_MAX, at(0)).is_empty());
    assert!(invariant.look(&map, false, HOLD_MAX, at(60)).is_empty(), "nobody is there to hold it");
    assert!(invariant.look(&map, true, HOLD_MAX, at(61)).is_empty());
    assert_eq!(invariant.look(&map, true, HOLD_MAX, at(66)).len(), 1);
    assert!(invariant.look(&map, true, HOLD_MAX, at(67)).is_empty(), "it is told once");
    let owner = InstanceId::new("i");
    map.apply(Zxid::new(1, 1), &ShardChange::Grant(vec![(KeyRange::ALL, owner.clone())]));
    assert!(invariant.look(&map, true, HOLD_MAX, at(200)).is_empty());
    map.apply(Zxid::new(1, 2), &ShardChange::Revoke(vec![(KeyRange::ALL, owner)]));
    assert!(invariant.look(&map, true, HOLD_MAX, at(201)).is_empty());
    assert!(invariant.look(&map, true, HOLD_MAX, at(213)).is_empty(), "its hold may not have run out");
    assert_eq!(invariant.look(&map, true, HOLD_MAX, at(215))[0].range, KeyRange::ALL);
}
