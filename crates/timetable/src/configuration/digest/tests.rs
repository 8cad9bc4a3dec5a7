//! What digests tell apart.

use super::*;
use crate::configuration::Configuration;

fn table(routes: &[(&str, &str, &str)]) -> Rc<Routes> {
    let route = |(name, prefix, service): &(&str, &str, &str)| {
        format!(
            r#""{name}":{{"hostname":"h","path_prefix":"{prefix}","route_type":"idempotent","timeout_s":1,"service_name":"{service}"}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let text = format!(r#"{{"version":"r3","routes":{{{}}},"services":{{"s":{{}},"t":{{}}}}}}"#, routes.join(","));
    Rc::new(Configuration::parse(text.as_bytes()).unwrap().typed().unwrap())
}

#[test]
fn only_what_differs_is_found_and_all_of_it() {
    let meant = table(&[("a", "/a/", "s"), ("b", "/b/", "s"), ("c", "/c/", "t")]);
    assert_eq!(meant.digest(), table(&[("c", "/c/", "t"), ("a", "/a/", "s"), ("b", "/b/", "s")]).digest());
    let found = table(&[("a", "/a/", "t"), ("c", "/c/", "t"), ("d", "/d/", "s")]);
    let (meant_digest, found_digest) = (meant.digest(), found.digest());
    assert_ne!(meant_digest.root(), found_digest.root());
    let leaves = meant_digest.differing(&found_digest.leaves);
    let drifts = entry_drifts(&meant.entries(&leaves), &found.entries(&leaves));
    let places: Vec<&str> = drifts.iter().map(|drift| drift.place.as_str()).collect();
    assert_eq!(places, ["h/a/", "h/b/", "h/d/"]);
    assert!(drifts[0].meant.as_ref().unwrap().contains("s:") && drifts[0].found.as_ref().unwrap().contains("t:"));
    assert!(drifts[1].found.is_none() && drifts[2].meant.is_none());
}

#[test]
fn a_plan_is_contradicted_by_tables_of_its_epoch_or_newer_only() {
    let old = table(&[("a", "/a/", "s")]);
    let mut newer = (*table(&[("a", "/a/", "t")])).clone();
    let found = |routes: &Routes| routes.find("h", "/a/1").cloned();
    let planned = PlannedBy::of(&old, &found(&old).unwrap());
    assert_eq!(PlannedBy::read(&planned.write()), Some(planned.clone()));
    let s = ServiceName::new("s");
    assert!(!planned.is_contradicted(&old, found(&old).as_deref(), &s));
    assert!(planned.is_contradicted(&newer, found(&newer).as_deref(), &s), "same epoch, other contents");
    newer.epoch = ConfigEpoch(2);
    assert!(!planned.is_contradicted(&newer, found(&newer).as_deref(), &s), "an older table says nothing");
    newer.epoch = ConfigEpoch(4);
    assert!(planned.is_contradicted(&newer, found(&newer).as_deref(), &s), "shifted to another service");
    assert!(planned.is_contradicted(&newer, None, &s), "removed");
    let mut same = (*old).clone();
    same.epoch = ConfigEpoch(9);
    assert!(!planned.is_contradicted(&same, found(&same).as_deref(), &s), "newer, and it still goes there");
}

#[test]
fn a_pass_takes_as_many_steps_as_it_is_long_and_no_step_more_than_its_part() {
    let names: Vec<String> = (0..600).map(|index| format!("h{index}")).collect();
    let routes: Vec<String> = names
        .iter()
        .map(|name| {
            format!(r#""{name}":{{"hostname":"{name}","path_prefix":"/","route_type":"upload","timeout_s":1,"service_name":"s"}}"#)
        })
        .collect();
    let text = format!(r#"{{"version":"r3","routes":{{{}}},"services":{{"s":{{}}}}}}"#, routes.join(","));
    let table = Rc::new(Configuration::parse(text.as_bytes()).unwrap().typed().unwrap());
    let mut pass = DigestPass::begin(table.clone());
    let mut steps = 1;
    let digest = loop {
        match pass.step(50) {
            Some(digest) => break digest,
            None => steps += 1,
        }
    };
    assert_eq!(digest, table.digest());
    assert!((12..=13).contains(&steps), "{steps}");
}
