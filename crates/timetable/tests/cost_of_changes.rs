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

/// Patches that add a service with a route and a tenant, change them, and take them away again.
fn patch_of_every_kind(routes: u64, version: u64) -> String {
    let index = version % routes;
    let route = route(index, version + 1).replace(&format!("\"s{}\"", index / ROUTES_PER_SERVICE), "\"new\"");
    match version % 3 {
        0 => format!(
            r#"{{"version":"r{version}","upserts":{{"services":{{"new":{{}}}},"routes":{{"new":{}}},
            "tenants":{{"new":{{"regions":["a"],"claims":[{{"hostname":"h","path_prefix":"/n"}}]}}}}}}}}"#,
            route.replace("/p", "/new")
        ),
        1 => format!(
            r#"{{"version":"r{version}","upserts":{{"services":{{"new":{{"max_connections":{version}}}}},
            "tenants":{{"new":{{"regions":["b"]}}}},"limits":{{"max_body_bytes":{version}}}}}}}"#
        ),
        _ => format!(
            r#"{{"version":"r{version}","removals":{{"services":["new"],"routes":["new"],"tenants":["new"]}}}}"#
        ),
    }
}

#[test]
fn the_work_for_services_and_tenants_does_not_grow_either() {
    for routes in ROUTE_COUNTS {
        let changes = 300;
        let mut state = first(routes);
        let before = Work::so_far();
        for version in 3..changes + 3 {
            let text = patch_of_every_kind(routes, version);
            let change = ConfigChange::Patch(Patch::parse(text.as_bytes()).unwrap());
            state.apply(Zxid::new(1, version), over_the_wire(configure(change, version)));
            assert_eq!(state.epoch().0, version);
        }
        assert_within(Work::since(before), changes, &format!("{changes} patches of every kind, {routes} routes"));
    }
}

#[test]
fn a_refused_change_parses_only_what_it_brings() {
    for routes in ROUTE_COUNTS {
        let state = first(routes);
        let refusals = [
            r#"{"version":"r2","removals":{"services":["s0"]}}"#,
            r#"{"version":"r2","upserts":{"routes":{"r1":[]}}}"#,
            r#"{"version":"r2","upserts":{"tenants":{"x":{"regions":[]}}}}"#,
            r#"{"version":"r2","upserts":{"routes":{"new":{"hostname":"h0.example","path_prefix":"/p0/",
            "route_type":"upload","service_name":"s0"}}}}"#,
        ];
        for refusal in refusals {
            let change = ConfigChange::Patch(Patch::parse(refusal.as_bytes()).unwrap());
            let before = Work::so_far();
            assert!(state.next_configuration(&change).is_err(), "{refusal}");
            let work = Work::since(before);
            assert!(work.items_parsed <= MOST_WORK_PER_CHANGE, "{routes} routes: {work:?} for {refusal}");
        }
    }
}

#[test]
fn a_whole_that_was_checked_is_not_checked_again() {
    for routes in ROUTE_COUNTS {
        let mut state = first(routes);
        let body = whole(routes, 2);
        let before = Work::so_far();
        let next = state.parse_next(body.as_bytes()).unwrap();
        assert_within(Work::since(before), 1, &format!("a whole of {routes} routes read"));
        let mut ahead = state.without_news();
        let before = Work::so_far();
        let change = ConfigChange::Whole(next);
        assert_eq!(ahead.next_configuration(&change).unwrap().epoch.0, 2);
        ahead.apply(Zxid::new(1, 2), configure(change.clone(), 2));
        assert_eq!(Work::since(before), Work::default(), "{routes} routes: it was checked when it was read");
        state.apply(Zxid::new(1, 2), over_the_wire(configure(change, 2)));
        assert_eq!(state.snapshot(), ahead.snapshot());
    }
}
