use super::*;

#[test]
fn a_pause_between_two_turns_is_told_once() {
    let start = Moment::from_micros(1_000_000);
    let mut watch = StallWatch::new(start);
    let late = start + Duration::from_millis(2500);
    assert_eq!(watch.note_turn(start + Duration::from_millis(60)), None);
    assert_eq!(watch.note_turn(late), Some(Duration::from_millis(2440)));
    assert_eq!(watch.note_turn(late + Duration::from_millis(60)), None);
}
