//! An evening rush on virtual time: configurations change on the way, proxies restart and fall silent, the
//! judge fails over, and one proxy's table is pushed out of step. It alone is to be flagged.

use super::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::{Configuration, PlannedBy, Routes, entry_drifts};
use trackbed::clock::Moment;
use trackbed::ids::{ConfigEpoch, NodeName};
use trackbed::random::Random;

const PROXIES: usize = 12;
const CULPRIT: usize = 7;

/// How the culprit's table goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wrong {
    OldService,
    Missing,
    OneTooMany,
    Weight,
    NeverRenewed,
}

fn table(epoch: u64, wrong: Option<Wrong>) -> Rc<Routes> {
    // Submissions move between two services as configurations follow each other.
    let home = |epoch: u64| if epoch % 4 < 2 { "tasks" } else { "marks" };
    let service = if wrong == Some(Wrong::OldService) { home(epoch + 2) } else { home(epoch) };
    let weight = if wrong == Some(Wrong::Weight) { 7 } else { 9 };
    let mut routes = vec![format!(
        r#""submit":{{"hostname":"h","path_prefix":"/submit/","route_type":"non_idempotent","timeout_s":1,"service_name":"{service}"}}"#
    )];
    if wrong != Some(Wrong::Missing) {
        routes.push(format!(
            r#""read":{{"hostname":"h","path_prefix":"/read/","route_type":"idempotent","timeout_s":{epoch},"traffic_split":[{{"service_name":"tasks","weight":{weight}}},{{"service_name":"marks","weight":1}}]}}"#
        ));
    }
    if wrong == Some(Wrong::OneTooMany) {
        routes.push(
            r#""ghost":{"hostname":"h","path_prefix":"/ghost/","route_type":"upload","timeout_s":1,"service_name":"tasks"}"#
                .into(),
        );
    }
    let text = format!(
        r#"{{"version":"r{epoch}","routes":{{{}}},"services":{{"tasks":{{}},"marks":{{}}}}}}"#,
        routes.join(",")
    );
    Rc::new(Configuration::parse(text.as_bytes()).unwrap().typed().unwrap())
}

struct Proxy {
    life: u64,
    routes: Rc<Routes>,
    /// Tables on their way here.
    coming: Vec<(Moment, u64)>,
    silent_until: Moment,
    /// It takes no new table.
    stuck: bool,
}

#[derive(Default, Debug)]
struct Evening {
    flagged: BTreeSet<(usize, &'static str)>,
    span_holds: bool,
    entries: BTreeSet<String>,
    ran_by_stale_route: usize,
    served: usize,
    turned_away_by_others: usize,
    ended_in_step: bool,
    false_in_step: usize,
}

fn node(index: usize) -> NodeName {
    NodeName::new(&format!("proxy-{index}"))
}

fn evening(seed: u64, wrong: Wrong, receiver_checks: bool) -> Evening {
    let mut random = Random::seeded(seed);
    let timing = InspectorTiming {
        apply: Duration::from_secs(2),
        fresh: Duration::from_secs(7),
        memory: Duration::from_secs(60),
    };
    let names: Vec<NodeName> = (0..PROXIES).map(node).collect();
    let mut now = Moment::from_micros(1_000_000);
    let mut inspector = Inspector::new(timing);
    let mut epoch = 1;
    let mut tables: BTreeMap<u64, Rc<Routes>> = BTreeMap::from([(1, table(1, None))]);
    inspector.adopt(ConfigEpoch(1), tables[&1].digest().root(), now);
    let mut proxies: Vec<Proxy> = (0..PROXIES)
        .map(|index| Proxy {
            life: index as u64,
            routes: tables[&1].clone(),
            coming: Vec::new(),
            silent_until: now,
            stuck: false,
        })
        .collect();
    let mut flying: Vec<(Moment, Moment, RoutesReport)> = Vec::new();
    let mut evening = Evening::default();
    let pushed = now + Duration::from_secs(30);
    let mended = now + Duration::from_secs(60);
    let (mut is_pushed, mut is_mended) = (false, false);
    for tick in 0..9000u64 {
        now = now + Duration::from_millis(10);
        // Configurations, sometimes in quick succession.
        if random.chance(if tick % 1500 < 150 { 0.02 } else { 0.001 }) {
            epoch += 1;
            let next = table(epoch, None);
            inspector.adopt(ConfigEpoch(epoch), next.digest().root(), now);
            tables.insert(epoch, next);
            for proxy in &mut proxies {
                proxy.coming.push((now + Duration::from_millis(20 + random.below(1500)), epoch));
            }
        }
        for (index, proxy) in proxies.iter_mut().enumerate() {
            let due = proxy.coming.iter().filter(|(at, _)| *at <= now).map(|(_, epoch)| *epoch).max();
            proxy.coming.retain(|(at, _)| *at > now);
            if let Some(due) = due.filter(|due| ConfigEpoch(*due) > proxy.routes.epoch && !proxy.stuck) {
                // An error in applying stays in what is taken next.
                let spoiled = index == CULPRIT && is_pushed && !is_mended;
                proxy.routes = if spoiled { table(due, Some(wrong)) } else { tables[&due].clone() };
            }
            if index != CULPRIT && random.chance(0.0003) {
                proxy.life += 1000;
                proxy.routes = tables[&epoch].clone();
            }
            if index != CULPRIT && random.chance(0.0003) {
                proxy.silent_until = now + Duration::from_millis(random.below(12_000));
            }
        }
        if now >= pushed && !is_pushed {
            is_pushed = true;
            let culprit = &mut proxies[CULPRIT];
            match wrong {
                Wrong::NeverRenewed => culprit.stuck = true,
                _ => culprit.routes = table(culprit.routes.epoch.0, Some(wrong)),
            }
        }
        if now >= mended && !is_mended {
            is_mended = true;
            proxies[CULPRIT].stuck = false;
            proxies[CULPRIT].routes = tables[&epoch].clone();
        }
        // Reports, late now and then, some lost.
        for (index, proxy) in proxies.iter().enumerate() {
            if (tick + index as u64 * 17).is_multiple_of(200) && now >= proxy.silent_until && !random.chance(0.1) {
                let report = RoutesReport {
                    node: node(index),
                    life: proxy.life,
                    address: SocketAddr::from(([10, 0, 0, index as u8], 1)),
                    epoch: proxy.routes.epoch,
                    root: proxy.routes.digest().root(),
                    fleet: Default::default(),
                };
                flying.push((now + Duration::from_millis(random.below(1200)), now, report));
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = flying.drain(..).partition(|(at, ..)| *at <= now);
        flying = later;
        for (_, made, report) in due {
            inspector.take(report, made);
        }
        if tick % 100 == 0 {
            for want in inspector.wants(now) {
                let culprit = proxies.iter().position(|proxy| proxy.routes.digest().root() == want.root);
                if let Some(culprit) = culprit.filter(|culprit| node(*culprit) == want.node) {
                    let meant = &tables[&want.epoch.0];
                    let found = &proxies[culprit].routes;
                    let leaves = meant.digest().differing(&found.digest().leaves);
                    inspector.detailed(
                        &want.node,
                        want.root,
                        entry_drifts(&meant.entries(&leaves), &found.entries(&leaves)),
                    );
                }
            }
            // The judge fails over, and the next one knows what this one knew.
            if random.chance(0.03) {
                let mut next = Inspector::new(timing);
                tables.iter().for_each(|(epoch, table)| next.adopt(ConfigEpoch(*epoch), table.digest().root(), now));
                next.inherit(inspector.hand_over(now), now);
                inspector = next;
            }
        }
        for line in inspector.inspect(&names, now) {
            let index = names.iter().position(|name| *name == line.node).unwrap();
            if matches!(line.verdict, Verdict::Drifted | Verdict::Late) {
                evening.flagged.insert((index, line.verdict.word()));
                evening.entries.extend(line.entries.iter().map(|entry| entry.place.clone()));
                if let (Some(last), Some(first)) = (line.last_right, line.first_wrong) {
                    evening.span_holds |= last <= pushed && pushed <= first;
                }
            }
            let long_silent = line.heard.is_none_or(|at| now.since(at) > timing.fresh);
            evening.false_in_step += (long_silent && line.verdict == Verdict::InStep) as usize;
        }
        // Submissions: planned at one proxy, run beside another.
        for _ in 0..3 {
            let (door, beside) = (random.below(PROXIES as u64) as usize, random.below(PROXIES as u64) as usize);
            let routes = proxies[door].routes.clone();
            let Some(route) = routes.find("h", "/submit/1") else { continue };
            let service = route.service_for(random.draw()).clone();
            let planned = PlannedBy::of(&routes, route);
            let own = &proxies[beside].routes;
            let contradicted = planned.is_contradicted(own, own.find("h", "/submit/1").map(|route| &**route), &service);
            if receiver_checks && contradicted {
                let involved = door == CULPRIT || beside == CULPRIT || routes.epoch != own.epoch;
                evening.turned_away_by_others += (!involved) as usize;
                continue;
            }
            evening.served += 1;
            // What no table of that epoch or a newer one says, as far as the receiver can know.
            let meant = &tables[&routes.epoch.0];
            let allows =
                |table: &Routes| table.find("h", "/submit/1").is_some_and(|route| route.allows(false, &service));
            let meant_allows = allows(meant) || allows(own);
            let known = own.epoch >= routes.epoch && beside != CULPRIT && door != beside;
            evening.ran_by_stale_route += (known && !meant_allows) as usize;
        }
    }
    let last = inspector.inspect(&names, now);
    evening.ended_in_step = last.iter().any(|line| line.node == node(CULPRIT) && line.verdict == Verdict::InStep);
    evening
}

#[test]
fn the_one_out_of_step_is_flagged_alone_with_its_routes_and_since_when() {
    for (wrong, place) in [
        (Wrong::OldService, Some("h/submit/")),
        (Wrong::Missing, Some("h/read/")),
        (Wrong::OneTooMany, Some("h/ghost/")),
        (Wrong::Weight, Some("h/read/")),
        (Wrong::NeverRenewed, None),
    ] {
        for seed in 0..4 {
            let evening = evening(seed, wrong, true);
            let word = if wrong == Wrong::NeverRenewed { "late" } else { "drifted" };
            assert!(evening.flagged.contains(&(CULPRIT, word)), "{wrong:?} {seed}: {evening:?}");
            assert!(evening.flagged.iter().all(|(index, _)| *index == CULPRIT), "{wrong:?} {seed}: {evening:?}");
            if let Some(place) = place {
                assert!(evening.entries.contains(place), "{wrong:?} {seed}: {evening:?}");
                assert!(evening.entries.iter().all(|found| found == place), "{wrong:?} {seed}: {evening:?}");
                assert!(evening.span_holds, "{wrong:?} {seed}: {evening:?}");
            }
            assert!(evening.ended_in_step, "{wrong:?} {seed}: the alarm ends");
            assert_eq!(evening.false_in_step, 0);
            assert_eq!(evening.ran_by_stale_route, 0, "{wrong:?} {seed}");
            assert_eq!(evening.turned_away_by_others, 0, "{wrong:?} {seed}");
            assert!(evening.served > 10_000, "the others serve on: {evening:?}");
        }
    }
}

#[test]
fn without_the_receivers_check_a_stale_route_is_taken() {
    let stale: usize = (0..4).map(|seed| evening(seed, Wrong::OldService, false).ran_by_stale_route).sum();
    assert!(stale > 0, "the check of this test can fail");
}

#[test]
fn who_tells_nothing_is_unheard_and_an_unknown_epoch_is_not_a_drift() {
    let timing = InspectorTiming {
        apply: Duration::from_secs(2),
        fresh: Duration::from_secs(7),
        memory: Duration::from_secs(60),
    };
    let now = Moment::from_micros(5_000_000);
    let mut inspector = Inspector::new(timing);
    inspector.adopt(ConfigEpoch(3), 33, now);
    let report = |index: usize, epoch: u64, root: u64| RoutesReport {
        node: node(index),
        life: 1,
        address: ([10, 0, 0, 1], 1).into(),
        epoch: ConfigEpoch(epoch),
        root,
        fleet: Default::default(),
    };
    inspector.take(report(1, 3, 33), now);
    inspector.take(report(2, 4, 44), now);
    let names = [node(0), node(1), node(2)];
    let verdicts = |inspector: &Inspector, now| -> Vec<Verdict> {
        inspector.inspect(&names, now).into_iter().map(|line| line.verdict).collect()
    };
    assert_eq!(verdicts(&inspector, now), [Verdict::Unheard, Verdict::InStep, Verdict::Unknown]);
    let later = now + Duration::from_secs(8);
    assert_eq!(verdicts(&inspector, later), [Verdict::Unheard; 3]);
    inspector.adopt(ConfigEpoch(5), 55, later);
    inspector.take(report(1, 3, 33), later);
    assert_eq!(verdicts(&inspector, later)[1], Verdict::OnItsWay);
    // Another epoch on top does not give it more time for the first.
    inspector.adopt(ConfigEpoch(6), 66, later + Duration::from_secs(5));
    inspector.take(report(1, 3, 33), later + Duration::from_secs(6));
    assert_eq!(verdicts(&inspector, later + Duration::from_secs(6))[1], Verdict::Late);
}
