//! The work for a configuration change goes with the change, not with the configuration. Counted, not timed.

use std::fmt::Write;
use timetable::configuration::{Configuration, Patch};
use timetable::fleet::{ConfigChange, FleetChange, FleetState};
use timetable::work::Work;
use trackbed::ids::Zxid;

const ROUTE_COUNTS: [u64; 3] = [10, 600, 5_000];
const CHANGE_COUNTS: [u64; 2] = [10, 1_000];
/// Whole configurations are long: fewer of them are put.
const WHOLE_COUNTS: [u64; 2] = [3, 20];
/// Items of work for one change of one route: generous, and the same for every size.
const MOST_WORK_PER_CHANGE: u64 = 8;
const ROUTES_PER_SERVICE: u64 = 10;

fn route(index: u64, timeout: u64) -> String {
    let service = index / ROUTES_PER_SERVICE;
    format!(
        r#"{{"hostname":"h{}.example","path_prefix":"/p{index}/","route_type":"idempotent","timeout_s":{timeout},"service_name":"s{service}"}}"#,
        index % 7
    )
}

/// A whole configuration; each version has another timeout on one route.
fn whole(routes: u64, version: u64) -> String {
    let mut text = format!(r#"{{"version":"r{version}","routes":{{"#);
    for index in 0..routes {
        let timeout = if index == version % routes { version + 1 } else { 1 };
        let comma = if index > 0 { "," } else { "" };
        write!(text, r#"{comma}"r{index}":{}"#, route(index, timeout)).unwrap();
    }
    text.push_str(r#"},"services":{"#);
    for index in 0..routes.div_ceil(ROUTES_PER_SERVICE) {
        let comma = if index > 0 { "," } else { "" };
        write!(text, r#"{comma}"s{index}":{{}}"#).unwrap();
    }
    text.push_str("}}");
    text
}

fn patch(routes: u64, version: u64) -> String {
    let index = version % routes;
    format!(r#"{{"version":"r{version}","upserts":{{"routes":{{"r{index}":{}}}}}}}"#, route(index, version + 1))
}

fn configure(change: ConfigChange, digest: u64) -> FleetChange {
    FleetChange::Configure { change, digest: digest as u128 }
}

/// As it comes from the wire or the disk: nothing typed is left of it.
fn over_the_wire(change: FleetChange) -> FleetChange {
    borsh::from_slice(&borsh::to_vec(&change).unwrap()).unwrap()
}

fn first(routes: u64) -> FleetState {
    let mut state = FleetState::default();
    let configuration = Configuration::parse(whole(routes, 1).as_bytes()).unwrap();
    state.apply(Zxid::new(1, 1), configure(ConfigChange::Whole(configuration), 1));
    state
}

fn assert_within(work: Work, changes: u64, what: &str) {
    let most = changes * MOST_WORK_PER_CHANGE;
    assert!(work.items_parsed <= most, "{what}: {work:?}");
    assert!(work.items_copied <= most, "{what}: {work:?}");
    assert!(work.routes_placed <= most, "{what}: {work:?}");
    assert!(work.routes_digested <= most, "{what}: {work:?}");
    assert!(work.values_packed <= most, "{what}: {work:?}");
}

#[test]
fn the_work_for_a_patch_does_not_grow_with_the_routes() {
    for routes in ROUTE_COUNTS {
        for changes in CHANGE_COUNTS {
            let mut state = first(routes);
            let before = Work::so_far();
            for version in 2..changes + 2 {
                let change = ConfigChange::Patch(Patch::parse(patch(routes, version).as_bytes()).unwrap());
                state.apply(Zxid::new(1, version), over_the_wire(configure(change, version)));
                state.routes().unwrap().digest();
            }
            assert_eq!(state.epoch().0, changes + 1);
            assert_within(Work::since(before), changes, &format!("{changes} patches of {routes} routes"));
        }
    }
}

#[test]
fn the_typed_work_for_a_whole_configuration_goes_with_what_differs() {
    for routes in ROUTE_COUNTS {
        for changes in WHOLE_COUNTS {
            let mut state = first(routes);
            let wholes: Vec<FleetChange> = (2..changes + 2)
                .map(|version| {
                    let configuration = Configuration::parse(whole(routes, version).as_bytes()).unwrap();
                    over_the_wire(configure(ConfigChange::Whole(configuration), version))
                })
                .collect();
            let before = Work::so_far();
            for (version, change) in (2..).zip(wholes) {
                state.apply(Zxid::new(1, version), change);
                state.routes().unwrap().digest();
            }
            assert_eq!(state.epoch().0, changes + 1);
            assert_within(Work::since(before), changes, &format!("{changes} wholes of {routes} routes"));
        }
    }
}
