//! Every form of the contract on keys is served: real processes, no troubles.

use soak::layout::{Endpoints, Form, Grants, Tier};
use soak::report::RunReport;
use soak::run::{Play, run};
use std::path::PathBuf;

fn is_served(form: Form, lost: Option<usize>) {
    let folder = tempfile::tempdir().unwrap();
    let executable = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let play = Play {
        form,
        seed: 1,
        seconds: 0,
        lost,
        endpoints: Endpoints::Plain,
        executable,
        folder: folder.path().to_owned(),
    };
    let mut report = None;
    trackbed::kernel::run(async { report = Some(run(&play).await) }).unwrap();
    let report = report.unwrap().unwrap();
    assert!(report.passed(), "{}", report.text());
}

#[test]
fn keys_are_served_beside_by_heartbeat() {
    is_served(Form { tier: Tier::Beside, grants: Grants::Heartbeat }, None);
}

#[test]
fn keys_are_served_beside_by_calls() {
    is_served(Form { tier: Tier::Beside, grants: Grants::Call }, None);
}

#[test]
fn keys_are_served_at_gateways_by_heartbeat() {
    is_served(Form { tier: Tier::Gateway, grants: Grants::Heartbeat }, None);
}

#[test]
fn keys_are_served_at_gateways_by_calls() {
    is_served(Form { tier: Tier::Gateway, grants: Grants::Call }, None);
}

/// Both ways of telling, side by side.
fn lost_is_borne(tier: Tier) {
    let heartbeat = Form { tier, grants: Grants::Heartbeat };
    let calls = Form { tier, grants: Grants::Call };
    let other = std::thread::spawn(move || is_served(heartbeat, Some(1)));
    is_served(calls, Some(2));
    other.join().unwrap();
}

#[test]
fn keys_of_a_lost_endpoint_are_served_beside_nodes() {
    lost_is_borne(Tier::Beside);
}

#[test]
fn keys_of_a_lost_endpoint_are_served_at_gateways() {
    lost_is_borne(Tier::Gateway);
}
