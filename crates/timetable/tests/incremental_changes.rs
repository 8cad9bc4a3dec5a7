//! A configuration that was changed step by step is the one that a whole parse gives: the same table, the same
//! digest, the same refusals.

use std::collections::BTreeMap;
use std::rc::Rc;
use timetable::configuration::{Configuration, DigestPass, Fault, Patch, Route, Routes, TableDigest};
use timetable::fleet::ConfigChange;
use trackbed::random::Random;

const SEEDS: u64 = 60;
const STEPS: u64 = 120;

fn pick<'a>(random: &mut Random, choices: &[&'a str]) -> &'a str {
    choices[random.below(choices.len() as u64) as usize]
}

/// Mostly sound routes; about one in six has a fault.
fn route(random: &mut Random) -> String {
    if random.chance(0.03) {
        return pick(random, &["[]", "7", "null", "{}", "\"x\""]).to_owned();
    }
    let service = |random: &mut Random| format!("s{}", random.below(5));
    let target = match random.chance(0.5) {
        true => format!(
            r#""traffic_split":[{{"service_name":"{}","weight":{}}},{{"service_name":"{}","weight":1}}]"#,
            service(random),
            random.below(3),
            service(random)
        ),
        false => format!(r#""service_name":"{}""#, service(random)),
    };
    format!(
        r#"{{"hostname":"{}","path_prefix":"{}","route_type":"{}","timeout_s":{},{target}}}"#,
        pick(random, &["h", "H", "g.example", "i", "j", "k", "l", "m", "n", "o", "p", "q", ""]),
        pick(random, &["/", "/a", "/a/", "/a/b", "/ä", "/ab/", "/abc", "/x/y/z/", "/p", "/q/", "bare"]),
        pick(random, &["idempotent", "upload", "download", "non_idempotent", "idempotent", "upload", "odd"]),
        pick(random, &["1", "2.5", "30", "1", "1", "0", "\"x\""]),
    )
}

fn service(random: &mut Random) -> String {
    pick(random, &["{}", r#"{"max_connections":7}"#, r#"{"health_check_path":"/h"}"#, "{ }", "{}", "[]"]).to_owned()
}

fn tenant(random: &mut Random) -> String {
    let regions = pick(random, &[r#""r1""#, r#""r1","r2""#, r#""r3""#, ""]);
    let claims = match random.chance(0.6) {
        true => format!(
            r#","claims":[{{"hostname":"{}","path_prefix":"{}"}}]"#,
            pick(random, &["h", "g", "i", "j"]),
            pick(random, &["/", "/a", "/a/", "/b", "/c/d"])
        ),
        false => String::new(),
    };
    format!(r#"{{"regions":[{regions}]{claims}}}"#)
}

fn limits(random: &mut Random) -> String {
    pick(random, &[r#"{"max_body_bytes":9}"#, r#"{"idle_timeout_s":1}"#, r#"{"max_body_bytes":0}"#, "{}"]).to_owned()
}

fn observation(random: &mut Random) -> String {
    pick(random, &["{}", r#"{"client_header":"x-a"}"#, r#"{"reservations":false}"#, r#"{"reservations":1}"#]).to_owned()
}

fn table_of(items: impl IntoIterator<Item = (String, String)>) -> String {
    let items: BTreeMap<String, String> = items.into_iter().collect();
    let items: Vec<String> = items.iter().map(|(name, item)| format!("\"{name}\":{item}")).collect();
    format!("{{{}}}", items.join(","))
}

type MakeItem = fn(&mut Random) -> String;

fn patch(random: &mut Random, version: u64) -> String {
    let kinds: [(&str, &str, u64, MakeItem); 3] =
        [("routes", "r", 12, route), ("services", "s", 5, service), ("tenants", "t", 4, tenant)];
    let mut upserts = Vec::new();
    let mut removals = Vec::new();
    for (table, initial, names, make) in kinds {
        let name = |random: &mut Random| format!("{initial}{}", random.below(names));
        if random.chance(0.4) {
            let items: Vec<_> = (0..1 + random.below(3)).map(|_| (name(random), make(random))).collect();
            upserts.push(format!("\"{table}\":{}", table_of(items)));
        }
        if random.chance(0.2) {
            let names: Vec<String> = (0..1 + random.below(2)).map(|_| format!("\"{}\"", name(random))).collect();
            removals.push(format!("\"{table}\":[{}]", names.join(",")));
        }
    }
    if random.chance(0.1) {
        upserts.push(format!("\"limits\":{}", limits(random)));
    }
    if random.chance(0.1) {
        upserts.push(format!("\"observation\":{}", observation(random)));
    }
    if random.chance(0.03) {
        removals.push(r#""limits":["limits","extra"]"#.to_owned());
    }
    if random.chance(0.02) {
        upserts.push(r#""unknown":{}"#.to_owned());
    }
    format!(r#"{{"version":"r{version}","upserts":{{{}}},"removals":{{{}}}}}"#, upserts.join(","), removals.join(","))
}

/// A whole configuration with some items of another, by text, and some of its own.
fn whole(random: &mut Random, version: u64) -> String {
    let routes: Vec<_> = (0..random.below(4)).map(|index| (format!("r{index}"), route(random))).collect();
    let services: Vec<_> = (0..5).map(|index| (format!("s{index}"), "{}".to_owned())).collect();
    let tenants: Vec<_> = (0..random.below(2)).map(|index| (format!("t{index}"), tenant(random))).collect();
    let (routes, services, tenants) = (table_of(routes), table_of(services), table_of(tenants));
    format!(
        r#"{{"version":"r{version}","routes":{routes},"services":{services},"tenants":{tenants},"extra":[{version}]}}"#
    )
}

fn walked(routes: &Rc<Routes>) -> TableDigest {
    DigestPass::begin(routes.clone()).step(usize::MAX).expect("one step is enough")
}

/// As another member reads it: no typed value is left.
fn reread(configuration: &Configuration) -> Configuration {
    borsh::from_slice(&borsh::to_vec(configuration).unwrap()).unwrap()
}

/// What a check of everything, item by item, makes of a configuration.
fn from_scratch(configuration: &Configuration) -> Result<Rc<Routes>, Fault> {
    reread(configuration).typed().map(Rc::new)
}

/// A configuration with the patch's items in place and nothing checked, made by text alone.
fn merged_text(before: &Configuration, patch: &str, version: u64) -> String {
    use sonic_rs::{JsonContainerTrait, JsonValueMutTrait, JsonValueTrait, Value, json};
    let mut whole: Value = sonic_rs::from_str(&before.to_json()).unwrap();
    let patch: Value = sonic_rs::from_str(patch).unwrap();
    whole.as_object_mut().unwrap().insert(&"version", format!("r{version}").as_str());
    for (table, names) in patch["removals"].as_object().unwrap().iter() {
        let names: Vec<String> =
            names.as_array().unwrap().iter().map(|name| name.as_str().unwrap().to_owned()).collect();
        let target = match table {
            "limits" => Some(&mut whole),
            _ => whole.get_mut(table),
        };
        let Some(target) = target.and_then(|target| target.as_object_mut()) else { continue };
        names.iter().for_each(|name| {
            target.remove(name);
        });
    }
    for (table, items) in patch["upserts"].as_object().unwrap().iter() {
        if table == "limits" || table == "observation" {
            whole.as_object_mut().unwrap().insert(&table, items.clone());
            continue;
        }
        let whole = whole.as_object_mut().unwrap();
        if !whole.contains_key(&table) {
            whole.insert(&table, json!({}));
        }
        let target = whole.get_mut(&table).unwrap().as_object_mut().unwrap();
        items.as_object().unwrap().iter().for_each(|(name, item)| {
            target.insert(&name, item.clone());
        });
    }
    sonic_rs::to_string(&whole).unwrap()
}

/// The route with the longest prefix that begins the path, by a look at every route.
fn searched(routes: &Routes, host: &str, path: &str) -> Option<Rc<Route>> {
    let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
    let fitting = routes.all().into_iter().filter(|route| route.hostname == name && path.starts_with(&route.prefix));
    fitting.max_by_key(|route| route.prefix.len())
}

fn assert_same_table(incremental: &Rc<Routes>, full: &Rc<Routes>) {
    assert_eq!(incremental.digest(), full.digest());
    assert_eq!(incremental.digest(), walked(incremental), "the digest kept is that of the table's entries");
    assert_eq!(incremental.all(), full.all());
    assert!(incremental.services().eq(full.services()));
    assert!(incremental.tenants.all().eq(full.tenants.all()));
    assert_eq!((&incremental.limits, &incremental.observation), (&full.limits, &full.observation));
    for host in ["h", "g.example:80", "H", "i", "j", "p", "q", "none"] {
        for path in ["/", "/a", "/a/", "/a/b/c", "/äb", "/abcd", "/x/y/z/1", "/q/1", ""] {
            assert_eq!(incremental.find(host, path), full.find(host, path), "{host}{path}");
            assert_eq!(incremental.find(host, path), searched(full, host, path).as_ref(), "{host}{path}");
            assert_eq!(incremental.tenants.find(host, path, None), full.tenants.find(host, path, None));
        }
    }
}

#[test]
fn patches_and_wholes_give_what_a_parse_of_everything_gives() {
    let (mut taken, mut refused) = (0u64, BTreeMap::<String, u64>::new());
    for seed in 0..SEEDS {
        let mut random = Random::seeded(seed);
        let mut present = Configuration::default();
        for version in 1..STEPS {
            let (outcome, full) = match random.chance(0.15) || version == 1 {
                true => {
                    let text = whole(&mut random, version);
                    let full = Configuration::parse(text.as_bytes());
                    let outcome = Configuration::parse_after(text.as_bytes(), &present);
                    if let Ok(full) = &full {
                        let received = reread(full).after(&present).unwrap();
                        assert_eq!(&received, full);
                        assert_same_table(received.table().unwrap(), full.table().unwrap());
                    }
                    (outcome, full)
                }
                false => {
                    let text = patch(&mut random, version);
                    let Ok(read) = Patch::parse(text.as_bytes()) else { continue };
                    let outcome = present.patched(&read);
                    if text.contains("unknown") {
                        assert!(matches!(outcome, Err(Fault::Wrong { place, .. }) if place == "/upserts/unknown"));
                        continue;
                    }
                    (outcome, Configuration::parse(merged_text(&present, &text, version).as_bytes()))
                }
            };
            match (outcome, full) {
                (Ok(next), Ok(full)) => {
                    let again = Configuration::parse(next.to_json().as_bytes()).unwrap();
                    assert_eq!(next, again);
                    assert_same_table(next.table().unwrap(), full.table().unwrap());
                    assert_same_table(next.table().unwrap(), &from_scratch(&next).unwrap());
                    present = next;
                    taken += 1;
                }
                (Err(fault), Err(full)) => {
                    assert_eq!(fault, full, "seed {seed}, version {version}");
                    let kind = format!("{fault:?}").split([' ', '{']).next().unwrap().to_owned();
                    *refused.entry(kind).or_default() += 1;
                }
                (outcome, full) => panic!("seed {seed}, version {version}: {outcome:?}, but {full:?}"),
            }
        }
    }
    assert!(taken > SEEDS * STEPS / 10, "{taken} taken, refused {refused:?}");
    for kind in ["UnknownService", "SamePlace", "DoubledClaim", "OddKind", "EmptyHost", "BarePrefix", "NoRegions"] {
        assert!(refused.contains_key(kind), "{kind} never came up: {refused:?}");
    }
}

#[test]
fn change_kinds_agree_on_one_next_configuration() {
    let mut random = Random::seeded(9);
    let mut state = timetable::fleet::FleetState::default();
    for version in 1..200 {
        let text = whole(&mut random, version);
        let Ok(configuration) = Configuration::parse(text.as_bytes()) else { continue };
        let change = ConfigChange::Whole(reread(&configuration));
        let next = state.next_configuration(&change).unwrap();
        assert_eq!(next, configuration);
        let change = timetable::fleet::FleetChange::Configure { change, digest: version as u128 };
        state.apply(trackbed::ids::Zxid::new(1, version), change);
        assert_eq!(state.configuration(), Some(&configuration));
        assert!(state.has_taken(version as u128) && !state.has_taken(version as u128 + 1));
    }
}
