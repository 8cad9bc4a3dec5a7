//! What is read, refused, kept and changed.

use super::*;
use assert_matches::assert_matches;

fn whole(route: &str) -> String {
    format!(
        r#"{{"version":"r7","routes":{{"a":{route},"b":{{"hostname":"h","path_prefix":"/b/","route_type":"upload",
        "timeout_s":1,"service_name":"s"}}}},"services":{{"s":{{"health_check_path":"/health","max_connections":9}}}},
        "limits":{{"max_header_bytes":100,"idle_timeout_s":0.5}},"extra":[1]}}"#
    )
}

const GOOD: &str = r#"{"hostname":"H","path_prefix":"/a/","route_type":"idempotent","timeout_s":0.5,
    "target_latency_s":0.2,"priority":2,"max_attempts":2,"traffic_split":[{"service_name":"s","weight":90}]}"#;

#[test]
fn every_fault_is_named() {
    let parse = |route: &str| Configuration::parse(whole(route).as_bytes());
    assert!(parse(GOOD).is_ok());
    let changed = |from: &str, to: &str| parse(&GOOD.replace(from, to)).unwrap_err();
    assert_matches!(changed("\"H\"", "\"\""), Fault::EmptyHost { .. });
    assert_matches!(changed("\"/a/\"", "\"a/\""), Fault::BarePrefix { .. });
    assert_matches!(changed("\"/a/\"", "\"/b/\""), Fault::SamePlace { .. });
    assert_matches!(changed("idempotent", "odd"), Fault::OddKind { .. });
    assert_matches!(changed("\"s\"", "\"t\""), Fault::UnknownService { .. });
    assert_matches!(changed("0.2", "60.5"), Fault::TargetOverTimeout { .. });
    assert_matches!(changed("90", "0"), Fault::NoWeight { .. });
    let text = whole(GOOD);
    assert_matches!(Configuration::parse(&text.as_bytes()[..text.len() - 3]), Err(Fault::Unreadable { .. }));
    assert_matches!(Configuration::parse(text.replace("r7", "7").as_bytes()), Err(Fault::Wrong { .. }));
}

#[test]
fn what_was_put_comes_back_and_patches_change_named_items() {
    let configuration = Configuration::parse(whole(GOOD).as_bytes()).unwrap();
    let again = Configuration::parse(configuration.to_json().as_bytes()).unwrap();
    assert_eq!(configuration, again);
    assert!(configuration.to_json().contains("\"extra\":[1]"));
    let patch = br#"{"version":"r9","upserts":{"routes":{"c":{"hostname":"h","path_prefix":"/c/",
        "route_type":"download","timeout_s":1,"service_name":"s"}}},"removals":{"routes":["a"]}}"#;
    let next = configuration.patched(&Patch::parse(patch).unwrap()).unwrap();
    let routes = next.typed().unwrap();
    assert_eq!(next.epoch, ConfigEpoch(9));
    assert!(routes.find("h", "/c/x").is_some());
    assert!(routes.find("h", "/a/x").is_none());
    let patch = br#"{"version":"r9","removals":{"services":["s"]}}"#;
    let fault = configuration.patched(&Patch::parse(patch).unwrap()).unwrap_err();
    assert_matches!(fault, Fault::UnknownService { .. });
}

#[test]
fn what_is_to_be_observed_is_checked_and_can_be_patched() {
    let with =
        |observation: &str| whole(GOOD).replace("\"extra\"", &format!("\"observation\":{observation},\"extra\""));
    let parse = |observation: &str| Configuration::parse(with(observation).as_bytes());
    let routes = |configuration: &Configuration| configuration.typed().unwrap();
    let configuration = parse(r#"{"client_header":"X-School"}"#).unwrap();
    assert_eq!(Configuration::parse(configuration.to_json().as_bytes()).unwrap(), configuration);
    assert_eq!(routes(&configuration).observation.client_header.as_deref(), Some("x-school"));
    assert!(routes(&configuration).observation.reservations);
    assert_matches!(parse("[]"), Err(Fault::Wrong { place, .. }) if place == "/observation");
    for wrong in [r#"{"client_header":"x y"}"#, r#"{"client_header":""}"#, r#"{"client_header":7}"#] {
        assert_matches!(parse(wrong), Err(Fault::Wrong { place, .. }) if place == "/observation/client_header");
    }
    assert_matches!(parse(r#"{"reservations":1}"#), Err(Fault::Wrong { place, .. }) if place == "/observation/reservations");
    let patch = br#"{"version":"r9","upserts":{"observation":{"reservations":false}}}"#;
    let next = configuration.patched(&Patch::parse(patch).unwrap()).unwrap();
    assert_eq!(routes(&next).observation, Observation { client_header: None, reservations: false });
}

#[test]
fn tenants_are_checked_as_strictly_and_found_by_claim_or_header() {
    let with = |tenants: &str| whole(GOOD).replace("\"extra\"", &format!("\"tenants\":{tenants},\"extra\""));
    let parse = |tenants: &str| Configuration::parse(with(tenants).as_bytes());
    let claim = |prefix: &str| format!(r#""claims":[{{"hostname":"H","path_prefix":"{prefix}"}}]"#);
    let good = format!(r#"{{"x":{{"regions":["r1"],{}}},"y":{{"regions":["r1","r2"]}}}}"#, claim("/a/"));
    let configuration = parse(&good).unwrap();
    assert_eq!(Configuration::parse(configuration.to_json().as_bytes()).unwrap(), configuration);
    let routes = configuration.typed().unwrap();
    let find = |path: &str, named: Option<&str>| {
        routes.tenants.find("h:80", path, named).map(|tenant| tenant.map(|tenant| tenant.name.clone()))
    };
    assert_eq!(find("/a/1", None), Ok(Some("x".into())));
    assert_eq!(find("/b/1", None), Ok(None));
    assert_eq!(find("/b/1", Some("y")), Ok(Some("y".into())));
    assert_eq!(find("/a/1", Some("y")), Err(crate::configuration::TenantDoubt::Contradicted));
    assert_eq!(find("/b/1", Some("z")), Err(crate::configuration::TenantDoubt::Unknown));
    let known = |region: &RegionName| region.as_str() == "r1";
    assert_matches!(configuration.check_regions(&known), Err(Fault::UnknownRegion { region, .. }) if region == "r2");
    assert_matches!(parse(r#"{"x":{"regions":[]}}"#), Err(Fault::NoRegions { .. }));
    assert_matches!(parse(r#"{"x y":{"regions":["r1"]}}"#), Err(Fault::BadTenantName { .. }));
    assert_matches!(parse(r#"{"x":{}}"#), Err(Fault::Wrong { .. }));
    let twice = format!(r#"{{"x":{{"regions":["r1"],{0}}},"y":{{"regions":["r1"],{0}}}}}"#, claim("/a/"));
    assert_matches!(parse(&twice), Err(Fault::DoubledClaim { .. }));
    let patch = br#"{"version":"r9","upserts":{"tenants":{"x":{"regions":["r2"]}}},"removals":{"tenants":["y"]}}"#;
    let next = configuration.patched(&Patch::parse(patch).unwrap()).unwrap().typed().unwrap();
    assert_eq!(next.tenants.all().map(|tenant| tenant.name.clone()).collect::<Vec<_>>(), ["x"]);
}
