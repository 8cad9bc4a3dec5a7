use super::*;

fn hold(holder: &str, fence: u64, from: u64, until: u64) -> Hold {
    let given = FenceGiven { sent: from - 1, answered: from, fence };
    Hold { lock: "l".into(), holder: holder.into(), fences: vec![given], from, until }
}

#[test]
fn one_holder_after_the_other_is_right() {
    assert!(violations(&[hold("a", 1, 10, 20), hold("b", 2, 20, 30), hold("a", 3, 31, 40)]).is_empty());
    assert!(violations(&[hold("a", 1, 10, 20), hold("a", 1, 15, 30)]).is_empty(), "a caller takes its own again");
}

#[test]
fn two_holders_at_once_are_found_in_any_order() {
    let (one, other) = (hold("a", 1, 10, 21), hold("b", 2, 20, 30));
    assert_eq!(violations(&[one.clone(), other.clone()]).len(), 1);
    assert_eq!(violations(&[other, one]).len(), 1);
}

#[test]
fn a_fence_that_does_not_rise_or_goes_to_two_holders_is_found() {
    assert_eq!(violations(&[hold("a", 5, 10, 20), hold("b", 4, 30, 40)]).len(), 1);
    assert!(!violations(&[hold("a", 5, 10, 20), hold("b", 5, 30, 40)]).is_empty());
}
