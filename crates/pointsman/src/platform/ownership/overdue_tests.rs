//! When a range counts as overdue.

use super::*;

#[test]
fn a_range_is_overdue_once_and_only_where_it_was_missing_all_the_time() {
    let at = |seconds: u64| Moment::from_micros(seconds * 1_000_000);
    let (one, other) = (KeyRange::new(0, 9).unwrap(), KeyRange::new(10, 19).unwrap());
    let mut overdue = Overdue::default();
    assert!(overdue.note(&[(one, 1), (other, 1)], at(10)).is_empty());
    assert!(overdue.note(&[(one, 1)], at(13)).is_empty());
    assert_eq!(overdue.note(&[(one, 1), (other, 1)], at(17)), [one], "the other was taken in between");
    assert!(overdue.note(&[(one, 1), (other, 1)], at(18)).is_empty(), "it is told once");
    assert!(overdue.note(&[(one, 2)], at(30)).is_empty(), "another grant has its own time");
}
