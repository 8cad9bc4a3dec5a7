//! The emulated endpoint keeps the users' contract on keys.

use super::*;

fn hold(first: u16, last: u16, fence: u64) -> Hold {
    Hold { first, last, fence, until: 100 }
}

#[test]
fn a_grant_under_a_lower_fence_is_refused_and_a_part_may_be_released() {
    let mut holds = Holds::default();
    assert_eq!(holds.grant(hold(0, 99, 5)), Ok(()));
    assert_eq!(holds.grant(hold(50, 59, 7)), Ok(()));
    assert_eq!(holds.grant(hold(0, 55, 6)), Err(HigherFenceSeen), "a higher fence was seen on 50 to 55");
    assert_eq!(holds.grant(hold(0, 49, 5)), Ok(()), "the same call renews");
    assert!(holds.release(10, 19));
    assert!(holds.holds(9, 99) && !holds.holds(10, 99) && !holds.holds(19, 99) && holds.holds(20, 99));
    assert!(!holds.holds(9, 100), "the hold has run out");
    assert_eq!(holds.grant(hold(50, 59, 6)), Err(HigherFenceSeen), "also once it was let go");
}

#[test]
fn an_answer_to_a_heartbeat_is_all_that_is_held() {
    let mut holds = Holds::default();
    assert!(holds.replace(vec![hold(0, 99, 5), hold(200, 299, 6)], 1).is_empty());
    assert_eq!(holds.replace(vec![hold(0, 49, 5)], 2), [(50, 99), (200, 299)]);
    assert_eq!(holds.all(3), [hold(0, 49, 5)]);
}
