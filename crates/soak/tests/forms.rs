//! Every form of the contract on keys is served: real processes, no troubles.

use soak::layout::{Form, Grants, Tier};
use soak::run::{Play, run};
use std::path::PathBuf;

fn is_served(form: Form, block: u8) {
    let folder = tempfile::tempdir().unwrap();
    let executable = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let play = Play { form, seed: 1, seconds: 0, block, executable, folder: folder.path().to_owned() };
    let mut report = None;
    trackbed::kernel::run(async { report = Some(run(&play).await) }).unwrap();
    let report = report.unwrap().unwrap();
    assert!(report.passed(), "{}", report.text());
}

#[test]
fn keys_are_served_beside_by_heartbeat() {
    is_served(Form { tier: Tier::Beside, grants: Grants::Heartbeat }, 81);
}

#[test]
fn keys_are_served_beside_by_calls() {
    is_served(Form { tier: Tier::Beside, grants: Grants::Call }, 82);
}

#[test]
fn keys_are_served_at_gateways_by_heartbeat() {
    is_served(Form { tier: Tier::Gateway, grants: Grants::Heartbeat }, 83);
}

#[test]
fn keys_are_served_at_gateways_by_calls() {
    is_served(Form { tier: Tier::Gateway, grants: Grants::Call }, 84);
}
