//! A short form of the soak: three seeds of troubles, beside nodes, at gateways and with endpoints that are full. No rule is broken and no invariant
//! is violated. How much is served depends on the machine, and is for the whole soak to say.

use soak::layout::{Form, Grants, Tier};
use soak::report::RunReport;
use soak::run::{Play, run};
use std::path::PathBuf;

const SECONDS: u64 = 6;

fn no_rule_is_broken(form: Form, seed: u64, has_full_endpoints: bool) {
    let folder = tempfile::tempdir().unwrap();
    let executable = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let folder_path = folder.path().to_owned();
    let play = Play { form, seed, seconds: SECONDS, lost: None, has_full_endpoints, executable, folder: folder_path };
    let mut report = None;
    trackbed::kernel::run(async { report = Some(run(&play).await) }).unwrap();
    let report = report.unwrap().unwrap();
    assert!(report.troubles >= 3, "{}", report.text());
    assert!(report.violations.is_empty(), "{}", report.text());
}

#[test]
fn under_troubles_no_rule_is_broken_beside_nodes() {
    no_rule_is_broken(Form { tier: Tier::Beside, grants: Grants::Call }, 2, false);
}

#[test]
fn under_troubles_no_rule_is_broken_at_gateways() {
    no_rule_is_broken(Form { tier: Tier::Gateway, grants: Grants::Heartbeat }, 4, false);
}

#[test]
fn under_troubles_no_rule_is_broken_with_full_endpoints() {
    no_rule_is_broken(Form { tier: Tier::Beside, grants: Grants::Heartbeat }, 6, true);
}
