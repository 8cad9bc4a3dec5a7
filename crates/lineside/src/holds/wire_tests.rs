//! The calls as they stand on the wire.

use super::*;
use std::time::Duration;
use timetable::shards::KeyRange;
use trackbed::ids::Zxid;

#[test]
fn calls_bear_the_fields_of_the_contract() {
    let (range, life) = (KeyRange::new(4096, 8191).unwrap(), InstanceId::new("i-1"));
    let hold = Duration::from_secs(4);
    let grant = |handover: &str| HoldCall::Grant { range, fence: 12, hold, handover: handover.into() };
    let body = |call: &HoldCall| String::from_utf8(request(call, &life).body.to_vec()).unwrap();
    let text = r#"{"source_version":4096,"target_version":8191,"fence_token":12,"hold_s":4.000,"handoff":"5c0e"}"#;
    assert_eq!(body(&grant("5c0e")), text);
    assert_eq!(body(&grant("")), r#"{"source_version":4096,"target_version":8191,"fence_token":12,"hold_s":4.000}"#);
    let release = HoldCall::Release { range, fence: 12, seen: Zxid::new(1, 1) };
    assert_eq!(body(&release), r#"{"source_version":4096,"target_version":8191,"fence_token":12}"#);
    assert_eq!(request(&release, &life).header(EXPECTED_INSTANCE), Some("i-1"));
}

#[test]
fn answers_are_told_apart() {
    let done = Return::new(200).with_header(HANDOFF, "5c0e");
    assert_eq!(outcome_of(&done), CallOutcome::Done { handover: "5c0e".into() });
    assert_eq!(outcome_of(&Return::new(409)), CallOutcome::HigherFence);
    assert_eq!(outcome_of(&Return::new(421)), CallOutcome::Declined { status: 421 });
    assert_eq!(outcome_of(&Return::new(503)), CallOutcome::Unclear, "it says nothing of what was done");
}
