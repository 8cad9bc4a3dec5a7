//! A bounded, exhaustive check of the real `Zab` state machine. See docs/design/model.md.

mod checker;
mod cluster;
mod member;
mod observer;
mod quiet_panic;
mod scenario;
mod scenarios;
mod start;

use checker::{Counterexample, End, Report, TraceStep, replay, search};
use cluster::ClusterModel;
use scenario::{Fault, Scenario};

/// The variables that `replay_a_trace` and `the_long_searches_hold` read.
const CHOSEN_SCENARIO: &str = "MODEL_SCENARIO";
const CHOSEN_DEPTH: &str = "MODEL_DEPTH";
const REPLAYED_TRACE: &str = "MODEL_TRACE";

fn run(scenario: Scenario) -> Report {
    let report = search(&ClusterModel::new(scenario), scenario.bounds.depth);
    println!("{}: {report}", scenario.name);
    report
}

/// No violation, and the search got far enough to mean something.
fn assert_holds(scenario: Scenario) {
    let report = run(scenario);
    if let Some(counterexample) = report.counterexample {
        panic!("{}\n{counterexample}", scenario.name);
    }
    assert_ne!(report.end, End::FrontierTooLarge, "{}: the bounds are too wide for the memory", scenario.name);
    for milestone in scenario.milestones {
        assert!(report.milestones & milestone.bit() != 0, "{}: {milestone:?} was not reached", scenario.name);
    }
}

fn find_counterexample(scenario: Scenario) -> Counterexample {
    let report = run(scenario);
    assert_eq!(report.end, End::Violated, "the checker has to find the fault");
    report.counterexample.expect("a violated search has one")
}

fn indices(steps: &[TraceStep]) -> Vec<usize> {
    steps.iter().map(|step| step.index).collect()
}

#[test]
fn the_first_election_keeps_the_properties() {
    assert_holds(scenarios::COLD_START);
}

#[test]
fn doubled_and_late_messages_keep_the_properties() {
    assert_holds(scenarios::DUPLICATES);
}

#[test]
fn a_follower_brought_into_step_again_keeps_the_properties() {
    assert_holds(scenarios::RESYNCHRONISATION);
}

#[test]
fn a_late_history_after_a_follower_asked_again_keeps_the_properties() {
    assert_holds(scenarios::ASKED_AGAIN);
}

#[test]
fn crashes_with_and_without_disks_keep_the_properties() {
    assert_holds(scenarios::CRASHES);
}

#[test]
fn an_election_after_a_crashed_quorum_keeps_the_properties() {
    assert_holds(scenarios::INTERRUPTED);
}

#[test]
fn an_election_during_a_lease_keeps_the_properties() {
    assert_holds(scenarios::LEASES);
}

#[test]
fn a_takeover_from_a_primary_with_a_lease_keeps_the_properties() {
    assert_holds(scenarios::TAKEOVER);
}

#[test]
fn a_change_of_voters_keeps_the_properties() {
    assert_holds(scenarios::VOTERS);
}

#[test]
fn an_election_among_voters_of_two_sets_keeps_the_properties() {
    assert_holds(scenarios::VOTER_ADDED);
}

#[test]
fn the_checker_finds_an_acknowledgement_before_the_write_is_durable() {
    let found = find_counterexample(scenarios::CRASHES.with_fault(Fault::AcknowledgedBeforeDurable));
    assert!(found.violation.starts_with("durability"), "{found}");
}

#[test]
fn the_checker_finds_a_replaced_disk_that_votes_as_the_lost_one() {
    let found = find_counterexample(scenarios::CRASHES.with_fault(Fault::WipedDiskKeepsIdentity));
    assert!(found.violation.starts_with("durability"), "{found}");
}

#[test]
fn the_checker_finds_a_lease_that_is_trusted_too_long() {
    let found = find_counterexample(scenarios::TAKEOVER.with_fault(Fault::LeaseTrustedTooLong));
    assert!(found.violation.starts_with("leases"), "{found}");
}

#[test]
fn a_counterexample_is_the_same_in_every_run_and_replays() {
    let scenario = scenarios::CRASHES.with_fault(Fault::AcknowledgedBeforeDurable);
    let (first, second) = (find_counterexample(scenario), find_counterexample(scenario));
    assert_eq!(indices(&first.steps), indices(&second.steps));
    let (descriptions, violation) = replay(&ClusterModel::new(scenario), &indices(&first.steps));
    assert_eq!(violation.as_ref(), Some(&first.violation));
    assert_eq!(descriptions.len(), first.steps.len());
}

#[test]
#[ignore = "minutes in a release build; MODEL_SCENARIO and MODEL_DEPTH choose one search and its depth"]
fn the_long_searches_hold() {
    let chosen = std::env::var(CHOSEN_SCENARIO).ok();
    let depth: Option<usize> = std::env::var(CHOSEN_DEPTH).ok().map(|depth| depth.parse().expect("a number"));
    let is_chosen = |scenario: &Scenario| chosen.as_deref().is_none_or(|name| name == scenario.name);
    let mut failures = 0;
    for scenario in scenarios::long().into_iter().filter(is_chosen) {
        let report = run(scenario.with_bounds(|bounds| bounds.depth = depth.unwrap_or(bounds.depth)));
        failures += usize::from(!matches!(report.end, End::Exhausted | End::DepthReached));
        report.counterexample.iter().for_each(|counterexample| println!("{counterexample}"));
    }
    assert_eq!(failures, 0, "searches that failed");
}

#[test]
#[ignore = "needs MODEL_SCENARIO and MODEL_TRACE, as a counterexample of the long searches prints them"]
fn replay_a_trace() {
    let name = std::env::var(CHOSEN_SCENARIO).expect("MODEL_SCENARIO names a scenario");
    let trace = std::env::var(REPLAYED_TRACE).expect("MODEL_TRACE holds the indices with commas between");
    let trace: Vec<usize> = trace.split(',').map(|index| index.trim().parse().expect("an index")).collect();
    let searches = scenarios::long();
    let scenario = *searches.iter().find(|scenario| scenario.name == name).expect("a known scenario");
    let (descriptions, violation) = replay(&ClusterModel::new(scenario), &trace);
    descriptions.iter().for_each(|description| println!("{description}"));
    println!("violated: {violation:?}");
}
