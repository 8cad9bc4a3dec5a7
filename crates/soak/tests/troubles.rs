//! A short form of the soak: five seeds of troubles, beside nodes, at gateways, with endpoints that are full and with cold ones. No rule is broken and no invariant
//! is violated. How much is served depends on the machine, and is for the whole soak to say.

use soak::layout::{Endpoints, Form, Grants, Tier};
use soak::report::RunReport;
use soak::run::{Play, run};
use std::path::PathBuf;

const SECONDS: u64 = 6;

fn no_rule_is_broken(form: Form, seed: u64, endpoints: Endpoints) {
    let folder = tempfile::tempdir().unwrap();
    let executable = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let folder_path = folder.path().to_owned();
    let play = Play { form, seed, seconds: SECONDS, lost: None, endpoints, executable, folder: folder_path };
    let mut report = None;
    trackbed::kernel::run(async { report = Some(run(&play).await) }).unwrap();
    let report = report.unwrap().unwrap();
    assert!(report.troubles >= 3, "{}", report.text());
    assert!(report.violations.is_empty(), "{}", report.text());
}

#[test]
fn under_troubles_no_rule_is_broken_beside_nodes() {
    no_rule_is_broken(Form { tier: Tier::Beside, grants: Grants::Call }, 2, Endpoints::Plain);
}

#[test]
fn under_troubles_no_rule_is_broken_at_gateways() {
    no_rule_is_broken(Form { tier: Tier::Gateway, grants: Grants::Heartbeat }, 4, Endpoints::Plain);
}

#[test]
fn under_troubles_no_rule_is_broken_with_full_endpoints() {
    no_rule_is_broken(Form { tier: Tier::Beside, grants: Grants::Heartbeat }, 6, Endpoints::Full);
}

#[test]
fn under_troubles_no_cold_endpoint_is_flooded_beside_nodes() {
    no_rule_is_broken(Form { tier: Tier::Beside, grants: Grants::Heartbeat }, 8, Endpoints::Cold);
}

#[test]
fn under_troubles_no_cold_endpoint_is_flooded_at_gateways() {
    no_rule_is_broken(Form { tier: Tier::Gateway, grants: Grants::Heartbeat }, 10, Endpoints::Cold);
}
