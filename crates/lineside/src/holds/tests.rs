//! What calls an endpoint is due.

use super::*;
use std::time::Duration;
use timetable::shards::{AssignedRange, Assignment, KeyRange, RevokedRange};
use trackbed::clock::Moment;
use trackbed::ids::Zxid;

const HOLD_MAX: Duration = Duration::from_secs(10);

fn at(millis: u64) -> Moment {
    Moment::from_micros(100_000_000 + millis * 1000)
}

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange::new(first, last).unwrap()
}

fn held(first: u16, last: u16) -> Assignment {
    let row = AssignedRange { range: range(first, last), fence: 5, handover: "h".into() };
    Assignment { held: vec![row], revoked: Vec::new() }
}

fn revoked(first: u16, last: u16) -> Assignment {
    let row = RevokedRange { range: range(first, last), fence: Some(5), revoked: Zxid::new(1, 9) };
    Assignment { held: Vec::new(), revoked: vec![row] }
}

fn terms(vouched: u64) -> HoldTerms {
    HoldTerms { vouched: Some(at(vouched)), hold_max: HOLD_MAX, known: Zxid::new(1, 9) }
}

fn done(handover: &str) -> CallOutcome {
    CallOutcome::Done { handover: handover.into() }
}

#[test]
fn a_grant_is_made_by_a_fresh_word_and_renewed_as_time_passes() {
    let mut calls = HoldCalls::default();
    let assignment = held(0, 99);
    let nobody = HoldTerms { vouched: None, ..terms(0) };
    assert!(calls.due(&assignment, nobody, at(0)).is_empty(), "nobody vouched for it");
    assert!(calls.due(&assignment, terms(0), at(9600)).is_empty(), "the word is too old");
    let due = calls.due(&assignment, terms(0), at(0));
    let hold = HOLD_MAX - Duration::from_millis(200) - CALL_LIMIT;
    assert_eq!(due, [HoldCall::Grant { range: range(0, 99), fence: 5, hold, handover: "h".into() }]);
    assert!(calls.due(&assignment, terms(0), at(10)).is_empty(), "it is under way");
    assert_eq!(calls.answered(&due[0], &done(""), &assignment, HOLD_MAX, at(0), at(2)), None);
    assert_eq!(calls.held(), [(range(0, 99), at(0) + hold)]);
    assert!(calls.due(&assignment, terms(2000), at(2000)).is_empty(), "not worth a call yet");
    assert_eq!(calls.due(&assignment, terms(2600), at(2600)).len(), 1);
}

#[test]
fn a_release_waits_for_the_grant_under_way_and_counts_only_when_no_grant_is_unclear() {
    let mut calls = HoldCalls::default();
    let grant = calls.due(&held(0, 99), terms(0), at(0)).remove(0);
    let revocation = revoked(0, 99);
    assert!(calls.due(&revocation, terms(0), at(10)).is_empty(), "the grant may still be taken");
    calls.answered(&grant, &CallOutcome::Unclear, &revocation, HOLD_MAX, at(0), at(500));
    let release = calls.due(&revocation, terms(0), at(800)).remove(0);
    assert_eq!(release, HoldCall::Release { range: range(0, 99), fence: 5, seen: Zxid::new(1, 9) });
    let answered = calls.answered(&release, &done("x"), &revocation, HOLD_MAX, at(800), at(810));
    assert_eq!(answered, None, "the grant that got no answer may be taken after this release");
    assert!(calls.due(&revocation, terms(0), at(1200)).is_empty(), "it is not called again: the hold will run out");
}

#[test]
fn what_was_let_go_is_told_with_what_was_known() {
    let mut calls = HoldCalls::default();
    let revocation = revoked(10, 19);
    let release = calls.due(&revocation, terms(0), at(0)).remove(0);
    assert_eq!(calls.answered(&release, &CallOutcome::NotSent, &revocation, HOLD_MAX, at(0), at(5)), None);
    assert!(calls.due(&revocation, terms(0), at(100)).is_empty(), "it rests after a failure");
    let again = calls.due(&revocation, terms(0), at(300)).remove(0);
    let told = calls.answered(&again, &done("x"), &revocation, HOLD_MAX, at(300), at(310));
    assert_eq!(told, Some(EndpointRelease { range: range(10, 19), handover: "x".into(), seen: Zxid::new(1, 9) }));
}

/// Guards against keys with two holders where a full endpoint refuses the connection for a release.
#[test]
fn a_refused_release_lets_go_of_nothing_before_the_hold_has_run_out() {
    let mut calls = HoldCalls::default();
    let grant = calls.due(&held(0, 99), terms(0), at(0)).remove(0);
    let revocation = revoked(0, 99);
    calls.answered(&grant, &done(""), &revocation, HOLD_MAX, at(0), at(5));
    for time in [800, 3000, 6000, 9000] {
        let release = calls.due(&revocation, terms(time), at(time)).remove(0);
        let told = calls.answered(&release, &CallOutcome::Refused, &revocation, HOLD_MAX, at(time), at(time + 1));
        assert_eq!(told, None);
        assert!(calls.run_out(&revocation, terms(time), at(time + 2)).is_empty());
    }
    assert!(calls.run_out(&revocation, terms(10_900), at(10_900)).is_empty(), "a former caller's grant may last");
    let run_out = EndpointRelease { range: range(0, 99), handover: String::new(), seen: Zxid::new(1, 9) };
    assert_eq!(calls.run_out(&revocation, terms(11_001), at(11_001)), [run_out]);
    assert!(calls.run_out(&revocation, terms(11_100), at(11_100)).is_empty(), "it is told once");
}

#[test]
fn what_a_lost_grant_may_have_given_runs_out_later() {
    let mut calls = HoldCalls::default();
    calls.due(&Assignment::default(), terms(0), at(0));
    let grant = calls.due(&held(0, 99), terms(5000), at(5000)).remove(0);
    let revocation = revoked(0, 99);
    calls.answered(&grant, &CallOutcome::Unclear, &revocation, HOLD_MAX, at(5000), at(5500));
    assert!(calls.run_out(&revocation, terms(16_000), at(16_000)).is_empty());
    assert_eq!(calls.run_out(&revocation, terms(16_600), at(16_600)).len(), 1);
}

#[test]
fn revoked_keys_whose_fence_is_not_known_run_out() {
    let mut assignment = revoked(0, 9);
    assignment.revoked[0].fence = None;
    assert!(HoldCalls::default().due(&assignment, terms(0), at(0)).is_empty());
}

#[test]
fn a_grant_that_was_refused_for_its_fence_is_not_made_again_under_it() {
    let mut calls = HoldCalls::default();
    let assignment = held(0, 99);
    let grant = calls.due(&assignment, terms(0), at(0)).remove(0);
    calls.answered(&grant, &CallOutcome::HigherFence, &assignment, HOLD_MAX, at(0), at(2));
    assert!(calls.due(&assignment, terms(5000), at(5000)).is_empty());
    let mut granted_anew = assignment.clone();
    granted_anew.held[0].fence = 7;
    assert_eq!(calls.due(&granted_anew, terms(5000), at(5000)).len(), 1);
}

#[test]
fn a_grant_that_waited_for_the_calls_before_it_grants_less() {
    let hold = Duration::from_secs(3);
    let grant = |hold| HoldCall::Grant { range: range(0, 9), fence: 5, hold, handover: String::new() };
    assert_eq!(grant(hold).made_later(Duration::from_secs(2)), Some(grant(Duration::from_secs(1))));
    assert_eq!(grant(hold).made_later(hold), None);
    let release = HoldCall::Release { range: range(0, 9), fence: 5, seen: Zxid::new(1, 1) };
    assert_eq!(release.made_later(Duration::from_secs(60)), Some(release));
}
