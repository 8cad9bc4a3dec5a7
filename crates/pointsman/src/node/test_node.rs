//! A node that listens on loopback addresses of its own, for tests.

use super::{Launched, Pointsman, launch};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use timetable::configuration::Configuration;
use timetable::fleet::{ConfigChange, FleetChange, FleetState};
use trackbed::clock;
use trackbed::config::LocalConfig;
use trackbed::ids::Zxid;

/// Starts a node beside an endpoint at 127.77.`block`.`host`. It knows an empty configuration.
pub fn start(block: u8, host: u8, endpoint: Option<SocketAddr>) -> Rc<Pointsman> {
    let ip = format!("127.77.{block}.{host}");
    let endpoint = endpoint.map(|address| format!("\"app_address\":\"{address}\",")).unwrap_or_default();
    let text = format!(
        r#"{{{endpoint}"node_name":"n{host}","zone":"z","region":"r","zones":{{"z":"r"}},"ip_address":"{ip}","internal_port_range":[7380,7395],
        "serves":["sidecar"],"seed_nodes":[],"service_name":"s","listen_addresses":{{"inbound":"{ip}:8146",
        "outbound":"{ip}:8147","readiness":"{ip}:8141","control_plane":"{ip}:8144"}},
        "limits":{{"memory_mb":160,"file_descriptors":4096,"link_mbps":5}}}}"#
    );
    let Launched { node, .. } = launch(PathBuf::new(), LocalConfig::parse(text.as_bytes(), "text").unwrap()).unwrap();
    let whole = Configuration::parse(br#"{"version":"r1","routes":{},"services":{}}"#).unwrap();
    let change = FleetChange::Configure { change: ConfigChange::Whole(whole), digest: 1 };
    let mut fleet = FleetState::default();
    fleet.apply(Zxid::new(0, 1), change);
    node.platform.follow(&fleet, &node.live.get().bounds, clock::now());
    node
}
