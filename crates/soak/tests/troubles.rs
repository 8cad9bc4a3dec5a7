//! A short form of the soak: two seeds of troubles, one beside nodes and one at gateways. No rule is broken and no invariant
//! is violated. How much is served depends on the machine, and is for the whole soak to say.

use soak::layout::{Form, Grants, Tier};
use soak::report::RunReport;
use soak::run::{Play, run};
use std::path::PathBuf;

const SECONDS: u64 = 6;

fn no_rule_is_broken(form: Form, seed: u64) {
    let folder = tempfile::tempdir().unwrap();
    let executable = PathBuf::from(env!("CARGO_BIN_EXE_soak"));
    let play = Play { form, seed, seconds: SECONDS, lost: None, executable, folder: folder.path().to_owned() };
    let mut report = None;
    trackbed::kernel::run(async { report = Some(run(&play).await) }).unwrap();
    let report = report.unwrap().unwrap();
    assert!(report.troubles >= 3, "{}", report.text());
    assert!(report.violations.is_empty(), "{}", report.text());
}

#[test]
fn under_troubles_no_rule_is_broken_beside_nodes() {
    no_rule_is_broken(Form { tier: Tier::Beside, grants: Grants::Call }, 2);
}

#[test]
fn under_troubles_no_rule_is_broken_at_gateways() {
    no_rule_is_broken(Form { tier: Tier::Gateway, grants: Grants::Heartbeat }, 4);
}
