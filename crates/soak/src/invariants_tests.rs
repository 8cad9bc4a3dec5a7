//! The checks see what they are to see.

use super::*;

fn started(at: u64, life: &str) -> Event {
    Event::Started { at, life: life.into() }
}

fn held(at: u64, life: &str, first: u16, last: u16, until: u64) -> Event {
    Event::Held { at, life: life.into(), first, last, fence: 1, until }
}

fn ran(at: u64, life: &str, attempt: &str, key: u16) -> Event {
    Event::Ran { at, life: life.into(), attempt: attempt.into(), key, safe: false }
}

fn witness(events: Vec<Event>, ended: &[u64]) -> Witness {
    Witness { events, ended: ended.to_vec() }
}

#[test]
fn two_holders_are_seen_whether_or_not_both_begin_requests() {
    let one = vec![started(0, "a"), held(1, "a", 0, 99, 100), ran(60, "a", "x", 7)];
    let other = vec![started(0, "b"), held(50, "b", 5, 9, 150), ran(70, "b", "y", 8)];
    let found = violations(&[witness(one.clone(), &[]), witness(other.clone(), &[])]);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("OWNER: a and b held 5-9 together"), "{found:?}");
    let idle = vec![started(0, "b"), held(50, "b", 5, 9, 150)];
    assert_eq!(violations(&[witness(one.clone(), &[]), witness(idle, &[])]).len(), 1);
    let killed = violations(&[witness(one.clone(), &[49]), witness(other.clone(), &[])]);
    assert_eq!(killed, Vec::<String>::new(), "the first one's process had ended");
    let mut let_go = one;
    let_go.insert(2, Event::LetGo { at: 40, life: "a".into(), first: 0, last: 50 });
    assert_eq!(violations(&[witness(let_go, &[]), witness(other, &[])]), Vec::<String>::new(), "it had let go");
}

#[test]
fn a_request_that_was_refused_and_began_is_seen() {
    let record = |attempt: &str, outcome, safe| Record {
        at: 0,
        ended: 9,
        node: 0,
        attempt: attempt.into(),
        safe,
        key: 7,
        outcome,
        answer: Some("503".into()),
    };
    let began = witness(vec![started(0, "a"), ran(6, "a", "x", 7), ran(7, "a", "y", 7)], &[]);
    let records = [
        record("x", Outcome::Refused, false),
        record("y", Outcome::Failed, false),
        record("z", Outcome::Refused, false),
    ];
    let found = refused_and_ran(&[began], &records);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("REFUSED: x"), "{found:?}");
}

#[test]
fn a_request_that_began_twice_is_seen() {
    let one = vec![started(0, "a"), held(1, "a", 0, 9, 100), ran(6, "a", "x", 7), ran(7, "a", "y", 7)];
    let other = vec![started(0, "b"), ran(9, "b", "x", 8)];
    let found = violations(&[witness(one, &[]), witness(other, &[])]);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("TWICE: x"), "{found:?}");
}

#[test]
fn the_busiest_cold_second_counts_all_arrivals_but_those_while_warm() {
    let refused = |at: u64| Event::Refused { at, life: "a".into() };
    let cold = |at: u64, until: u64| Event::Cold { at, life: "a".into(), until };
    let misdirected = Event::Misdirected { at: 1_000_000, life: "a".into(), key: 7 };
    let events = vec![
        started(0, "a"),
        ran(10, "a", "before", 0),
        cold(1_000_000, 3_000_000),
        misdirected,
        ran(1_000_010, "a", "x", 0),
        refused(1_900_000),
        ran(2_000_010, "a", "y", 0),
        ran(2_900_010, "a", "z", 0),
        ran(3_100_000, "a", "after", 0),
    ];
    let found = cold_seconds(&[witness(events, &[])]);
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].life.as_str(), found[0].arrivals), ("a", 3), "{found:?}");
}
