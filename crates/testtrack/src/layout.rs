//! Where each node of a scale run is, and its settings.

use std::net::{Ipv4Addr, SocketAddr};

pub const ZONES: usize = 5;
const REGIONS: usize = 2;
/// Hollow nodes in one process.
pub const IN_A_PROCESS: usize = 64;
/// Endpoints of one service: what 16,000 endpoints in 440 services come to.
const OF_A_SERVICE: usize = 36;
const ROUTES_OF_A_SERVICE: usize = 2;
pub const CONTROL_PLANE: u16 = 8144;
pub const READINESS: u16 = 8141;

pub fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn region(zone: usize) -> String {
    format!("region-{}", zone % ZONES % REGIONS)
}

/// Every run has addresses of its own, so that two may go on side by side.
fn block(run: u32) -> u8 {
    32 + (run % 180) as u8
}

pub fn core_ip(run: u32, index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, block(run), 255, 10 + index as u8)
}

pub fn node_ip(run: u32, index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, block(run), (index / 200) as u8, 10 + (index % 200) as u8)
}

pub fn control_plane(run: u32, index: usize) -> SocketAddr {
    (core_ip(run, index), CONTROL_PLANE).into()
}

pub fn service(index: usize) -> String {
    format!("service-{}", index / OF_A_SERVICE)
}

pub fn services(nodes: usize) -> usize {
    nodes.div_ceil(OF_A_SERVICE).max(1)
}

fn settings(run: u32, cores: usize, name: &str, ip: Ipv4Addr, zone_index: usize, rest: &str) -> String {
    let zones: Vec<String> = (0..ZONES).map(|index| format!("\"{}\":\"{}\"", zone(index), region(index))).collect();
    let seeds: Vec<String> = (0..cores.min(3)).map(|index| format!("\"{}\"", control_plane(run, index))).collect();
    format!(
        r#"{{"node_name":"{name}","ip_address":"{ip}","zone":"{}","region":"{}","zones":{{{}}},"seed_nodes":[{}],
"internal_port_range":[7380,7395],"heartbeat_s":1.5,"limits":{{"memory_mb":256,"file_descriptors":4096}},
"bounds":["config_apply_s=17","drain_s=2.5","grace_period_s=10","retry_budget_ratio=0.2","budget_window_s=10","retry_slack=100","history_s=20"],
"fault_tolerance":{{"machine_losses":1}},{rest}}}"#,
        zone(zone_index),
        region(zone_index),
        zones.join(","),
        seeds.join(",")
    )
}

pub fn core_settings(run: u32, cores: usize, index: usize, data: &str) -> String {
    let ip = core_ip(run, index);
    let rest = format!(
        r#""role":"signalbox","machine_class":"core","serves":["control_plane"],"initial_start":true,"data_directory":"{data}",
"listen_addresses":{{"control_plane":"{ip}:{CONTROL_PLANE}"}}"#
    );
    settings(run, cores, &format!("core-{index}"), ip, index, &rest)
}

pub fn node_settings(run: u32, cores: usize, index: usize, process: usize) -> String {
    let ip = node_ip(run, index);
    let rest = format!(
        r#""role":"pointsman","machine_class":"sidecar","serves":["sidecar"],"initial_start":true,"data_directory":null,
"service_name":"{}","app_address":"{ip}:8145",
"listen_addresses":{{"inbound":"{ip}:8146","outbound":"{ip}:8147","readiness":"{ip}:{READINESS}","control_plane":"{ip}:{CONTROL_PLANE}"}}"#,
        service(index)
    );
    // A process's nodes are of one zone, so that a zone can go as a whole.
    settings(run, cores, &format!("node-{index}"), ip, process, &rest)
}

/// A configuration of as many services and routes as there are to be at that size.
pub fn configuration(version: u64, nodes: usize, timeout: f64) -> String {
    let services = services(nodes);
    let routes: Vec<String> = (0..services * ROUTES_OF_A_SERVICE)
        .map(|index| {
            format!(
                r#""route-{index}":{{"hostname":"host-{index}.example","path_prefix":"/r{index}/","route_type":"idempotent",
"timeout_s":{timeout},"target_latency_s":0.5,"priority":1,"service_name":"service-{}","max_attempts":2}}"#,
                index % services
            )
        })
        .collect();
    let services: Vec<String> = (0..services)
        .map(|index| format!(r#""service-{index}":{{"health_check_path":"/health","max_connections":100}}"#))
        .collect();
    format!(r#"{{"version":"r{version}","routes":{{{}}},"services":{{{}}}}}"#, routes.join(","), services.join(","))
}

/// A change of one route.
pub fn patch(version: u64, timeout: f64) -> String {
    format!(
        r#"{{"version":"r{version}","upserts":{{"routes":{{"route-0":{{"hostname":"host-0.example","path_prefix":"/r0/",
"route_type":"idempotent","timeout_s":{timeout},"target_latency_s":0.5,"priority":1,"service_name":"service-0","max_attempts":2}}}}}}}}"#
    )
}
