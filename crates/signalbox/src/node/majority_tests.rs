use super::*;

#[test]
fn an_election_is_no_cut_and_a_cut_is_told_once() {
    let start = Moment::from_micros(1_000_000);
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut majority = Majority::new(start);
    assert_eq!(majority.note(false, at(1500)), None);
    assert!(!majority.is_cut_off());
    assert_eq!(majority.note(true, at(1600)), None);
    assert_eq!(majority.note(false, at(3500)), None);
    assert_eq!(majority.note(false, at(3700)), Some(MajorityChange::Lost));
    assert_eq!(majority.note(false, at(9000)), None);
    assert!(majority.is_cut_off());
    assert_eq!(majority.note(true, at(9100)), Some(MajorityChange::Regained));
    assert!(!majority.is_cut_off());
}
