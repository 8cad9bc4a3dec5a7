//! Many nodes in one process: the code of `pointsman`, each with an endpoint that only beats.

use http::{HeaderMap, Method};
use pointsman::node::{Launched, Pointsman, launch};
use pointsman::platform::BeatsDoor;
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use trackbed::config::LocalConfig;
use trackbed::http::{Handler, Request};
use trackbed::kernel;

/// How often a process says how its nodes stand.
const TELL_EVERY: Duration = Duration::from_millis(100);
const BEAT_EVERY: Duration = Duration::from_millis(1500);

pub fn settings_path(folder: &Path, process: usize, node: usize) -> PathBuf {
    folder.join(format!("hollow-{process}-{node}.json"))
}

fn beat(node: &Pointsman, sequence: u64) -> Request {
    let config = node.live.get();
    let address = config.app_address.map(|address| address.to_string()).unwrap_or_default();
    let service = config.service_name.as_ref().map(|service| service.as_str().to_owned()).unwrap_or_default();
    let body = format!(
        r#"{{"service_name":"{service}","address":"{address}","zone":"{}","version":"v1","capacity_slots":6,"lifecycle_state":"ready","cold_remaining_s":0,"sequence":{sequence}}}"#,
        config.zone
    );
    Request {
        method: Method::PUT,
        target: format!("/v1/instances/i-{}-{:x}", config.node_name, node.life),
        headers: HeaderMap::new(),
        body: body.into(),
        keeps: true,
        from: None,
        presence: Default::default(),
    }
}

/// Says how all nodes of this process stand, as one JSON line.
pub fn standing(nodes: &[Rc<Pointsman>]) -> String {
    let least = |value: &dyn Fn(&Pointsman) -> u64| nodes.iter().map(|node| value(node)).min().unwrap_or(0);
    let most = |value: &dyn Fn(&Pointsman) -> u64| nodes.iter().map(|node| value(node)).max().unwrap_or(0);
    let sum = |value: &dyn Fn(&Pointsman) -> u64| nodes.iter().map(|node| value(node)).sum::<u64>();
    let is_alive = |node: &Pointsman| {
        node.roster.borrow().cards().filter(|card| card.standing <= lineside::gossip::Standing::Suspect).count() as u64
    };
    format!(
        "{{\"nodes\":{},\"assured\":{},\"peers\":{},\"peers_most\":{},\"configuration\":{},\"endpoints\":{},\"reports\":{},\"datagrams\":{},\"datagram_bytes\":{},\"calls\":{},\"call_bytes\":{},\"reply_bytes\":{}}}",
        nodes.len(),
        sum(&|node| node.assured.get() as u64),
        least(&is_alive),
        most(&is_alive),
        least(&|node| node.fleet.borrow().epoch().0),
        least(&|node| node.fleet.borrow().instances().count() as u64),
        sum(&|node| node.counting.has_report() as u64),
        sum(&|node| node.datagrams.tally().sent),
        sum(&|node| node.datagrams.tally().sent_bytes),
        sum(&|node| node.caller.tally().sent),
        sum(&|node| node.caller.tally().sent_bytes),
        sum(&|node| node.caller.tally().received_bytes),
    )
}

/// Starts the nodes of one process on this loop.
pub fn start(folder: &Path, process: usize) -> Vec<Rc<Pointsman>> {
    let mut nodes = Vec::new();
    for index in 0.. {
        let path = settings_path(folder, process, index);
        if !path.exists() {
            break;
        }
        let launched = LocalConfig::read(&path)
            .map_err(|error| error.to_string())
            .and_then(|config| launch(path.clone(), config).map_err(|error| error.to_string()));
        match launched {
            Ok(Launched { node, .. }) => nodes.push(node),
            Err(error) => log::error!("{}: {error}", path.display()),
        }
    }
    for (index, node) in nodes.iter().enumerate() {
        let door = Rc::new(BeatsDoor(node.clone()));
        monoio::spawn(async move {
            monoio::time::sleep(BEAT_EVERY.mul_f64(index as f64 / 64.0 % 1.0)).await;
            for sequence in 1.. {
                let request = beat(&door.0, sequence);
                let _ = door.clone().handle(request).await;
                monoio::time::sleep(BEAT_EVERY).await;
            }
        });
    }
    nodes
}

pub fn run(folder: PathBuf, process: usize) -> i32 {
    trackbed::logs::start("hollow", &format!("process-{process}"), log::LevelFilter::Error);
    let failed = Cell::new(false);
    let outcome = kernel::run(async {
        let nodes = start(&folder, process);
        failed.set(nodes.is_empty());
        // The run that started this process closes its end when it is over.
        while !failed.get() {
            use std::io::Write;
            let line = standing(&nodes);
            if writeln!(std::io::stdout(), "{line}").is_err() {
                return;
            }
            monoio::time::sleep(TELL_EVERY).await;
        }
    });
    (outcome.is_err() || failed.get()) as i32
}
