//! Checks an operator's configuration, alone or against the fleet as it is. Changes nothing.

mod against;
mod ask;
mod clients;
mod finding;
mod forecast;
mod routes;

use finding::{Finding, Level};
use getopts::Options;
use std::net::SocketAddr;
use timetable::configuration::{Configuration, Fault, Patch, unread_keys};

const USAGE: &str = "Usage: gauge check FILE [--fleet ADDRESS] [--json] [--strict]
       gauge routes --fleet ADDRESS [--json]
       gauge region --fleet ADDRESS
       gauge clients --fleet ADDRESS [--fleet ADDRESS ...] [--json]
       gauge forecast --fleet ADDRESS [--service NAME] [--json]

Reads a configuration, or a change to one (with upserts or removals), and checks it as signalbox does.
With --fleet it also asks a core node's control_plane address what is in place, and compares.
Status: 0 good; 1 faults, or warnings with --strict; 2 wrong usage, unreadable file, no answer.

routes: whether every proxy's routes are those meant for it, by the primary behind a core node's control_plane
address. Status: 0 all in step; 1 drift or late; 2 unheard proxies, wrong usage, no answer, no majority.

region: what a pointsman (at its readiness address) says of its region: in touch with the core or cut off,
coordinator, term, council, provisional facts.

clients: which clients send most right now, and whether all nodes named (a pointsman's readiness address, a core
node's control_plane address) show the same. Status: 0 alike, or one window apart; 1 differing lists under one
number, too far apart, or stale; 2 wrong usage, no answer.

forecast: how busy next week will be, per service and route, and the hours that do not fit, by a core node's
control_plane address. Status: 0 fits; 1 some hour does not; 2 too little history, wrong usage, no answer.";

fn main() {
    std::process::exit(run(std::env::args().skip(1).collect()));
}

fn run(arguments: Vec<String>) -> i32 {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options.optmulti("f", "fleet", "whom to ask: control_plane address of a core node, or as said above", "ADDRESS");
    options.optopt("", "service", "only this service's forecast", "NAME");
    options.optflag("j", "json", "findings as JSON");
    options.optflag("s", "strict", "warnings count as faults");
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return 0;
    }
    if matches.opt_present("version") {
        println!("gauge {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    let asked: Result<Vec<SocketAddr>, _> = matches.opt_strs("fleet").iter().map(|text| text.parse()).collect();
    let Ok(asked) = asked else { return usage("--fleet wants an address like 10.0.0.1:8080") };
    let fleet = asked.first().copied();
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let file = match (words.as_slice(), fleet) {
        (["check", file], _) => *file,
        (["routes"], Some(address)) => return routes::routes(address, matches.opt_present("json")),
        (["region"], Some(address)) => return routes::region(address),
        (["clients"], Some(_)) => return clients::clients(&asked, matches.opt_present("json")),
        (["forecast"], Some(address)) => {
            let service = matches.opt_str("service");
            let plain = |name: &str| name.bytes().all(|byte| byte.is_ascii_graphic() && !b"&#?%".contains(&byte));
            if service.as_deref().is_some_and(|name| name.is_empty() || !plain(name)) {
                return usage("--service wants a service's name, without spaces");
            }
            return forecast::forecast(address, service.as_deref(), matches.opt_present("json"));
        }
        (["routes" | "region" | "clients" | "forecast"], None) => return usage("say whom to ask with --fleet ADDRESS"),
        _ => return usage("give check and a file, or routes, region, clients or forecast"),
    };
    let body = match std::fs::read(file) {
        Ok(body) => body,
        Err(error) => {
            eprintln!("gauge: {file} can't be read: {error}");
            return 2;
        }
    };
    let now = match fleet.map(ask::fleet_now).transpose() {
        Ok(now) => now,
        Err(error) => {
            eprintln!("gauge: {error}");
            return 2;
        }
    };
    let findings = check(&body, now.as_ref());
    print(&findings, matches.opt_present("json"));
    let counts = |finding: &Finding| finding.level == Level::Fault || matches.opt_present("strict");
    findings.iter().any(counts) as i32
}

fn usage(reason: &str) -> i32 {
    eprintln!("gauge: {reason}\n{USAGE}");
    2
}

/// All that is to be said of a configuration or a change.
fn check(body: &[u8], now: Option<&ask::FleetNow>) -> Vec<Finding> {
    let current = now.and_then(|now| now.configuration.as_ref());
    let whole = if is_patch(body) {
        let base = current.cloned().unwrap_or_default();
        Patch::parse(body).and_then(|patch| base.patched(&patch))
    } else {
        Configuration::parse(body)
    };
    let read = whole.and_then(|whole| whole.typed().map(|routes| (whole, routes)));
    let (whole, routes) = match read {
        Ok(read) => read,
        Err(fault @ Fault::UnknownService { .. }) if is_patch(body) && now.is_none() => {
            let remedy = "ask with --fleet, so that the change is checked on top of what is in place";
            return vec![Finding::warning("", &fault.to_string(), remedy)];
        }
        Err(fault) => return vec![Finding::fault("", &fault.to_string(), "mend it as said")],
    };
    let mut findings = against::alone(&routes);
    let remedy = "leave it out, or don't count on it";
    findings.extend(unread_keys(body).iter().map(|place| Finding::warning(place, "is read by nothing", remedy)));
    if let Some(now) = now {
        findings.extend(against::fleet(&whole, &routes, now));
    }
    findings
}

fn is_patch(body: &[u8]) -> bool {
    use sonic_rs::JsonValueTrait;
    trackbed::json::parse(body)
        .is_ok_and(|value| value.pointer(["upserts"].iter()).is_some() || value.pointer(["removals"].iter()).is_some())
}

fn print(findings: &[Finding], json: bool) {
    if json {
        let items: Vec<String> = findings.iter().map(Finding::to_json).collect();
        println!("[{}]", items.join(","));
        return;
    }
    for finding in findings {
        println!("{finding}");
    }
    if findings.is_empty() {
        println!("nothing found");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"version":"r7","routes":{
        "a":{"hostname":"h","path_prefix":"/a/","route_type":"idempotent","timeout_s":0.5,"service_name":"s"},
        "b":{"hostname":"h","path_prefix":"/a/b/","route_type":"upload","timeout_s":1,
             "traffic_split":[{"service_name":"s","weight":1},{"service_name":"t","weight":9}]}},
        "services":{"s":{"max_connections":3},"t":{}},"tenants":{"x":{"regions":["far"]}}}"#;

    const FLEET: &str = r#"{"configuration":"r7","nodes":[{"role":"beside","region":"near"}],"endpoints":[
        {"instance_id":"i1","service_name":"s","capacity_slots":6,"draining":false,"service_s":0.7},
        {"instance_id":"i2","service_name":"t","capacity_slots":6,"draining":true}]}"#;

    #[test]
    fn alone_it_says_what_signalbox_would_say_and_what_shadows() {
        let findings = check(GOOD.as_bytes(), None);
        assert_eq!(findings.iter().map(|finding| finding.place.as_str()).collect::<Vec<_>>(), ["/routes/b"]);
        let findings = check(GOOD.replace("\"/a/\"", "\"a/\"").as_bytes(), None);
        assert_eq!(findings[0].level, Level::Fault);
        assert!(findings[0].message.contains("path_prefix"));
    }

    #[test]
    fn against_the_fleet_each_difference_is_found_once() {
        let now = ask::FleetNow::read(FLEET.as_bytes(), None).unwrap();
        let findings = check(GOOD.as_bytes(), Some(&now));
        let found = |place: &str, word: &str| {
            findings.iter().filter(|finding| finding.place == place && finding.message.contains(word)).count()
        };
        assert_eq!(found("/version", "above"), 1);
        assert_eq!(found("/routes/a/timeout_s", "usual"), 1);
        assert_eq!(found("/routes/b/traffic_split", "drain"), 1);
        assert_eq!(found("/tenants/x/regions", "region"), 1);
        assert_eq!(found("/services/s/max_connections", "slots"), 1);
        assert_eq!(findings.iter().filter(|finding| finding.level == Level::Fault).count(), 1);
    }

    #[test]
    fn wrong_usage_is_told_by_its_own_status() {
        assert_eq!(run(vec!["check".into()]), 2);
        assert_eq!(run(vec!["routes".into()]), 2);
        assert_eq!(run(vec!["region".into(), "more".into()]), 2);
        assert_eq!(run(vec!["clients".into()]), 2);
        assert_eq!(run(vec!["forecast".into(), "--fleet".into(), "10.0.0".into()]), 2);
        let odd = ["forecast", "--fleet", "127.0.0.1:1", "--service", "a b"];
        assert_eq!(run(odd.iter().map(|word| (*word).to_owned()).collect()), 2);
        assert_eq!(run(vec!["clients".into(), "--fleet".into(), "127.0.0.1:1".into()]), 2, "nobody answers");
        assert_eq!(run(vec!["check".into(), "/no/such/file".into()]), 2);
        assert_eq!(run(vec!["check".into(), "x".into(), "--fleet".into(), "nowhere".into()]), 2);
    }
}
