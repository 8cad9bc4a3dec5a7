//! One machine's settings.

use super::bounds::Bounds;
use super::unread::ReadKeys;
use crate::ids::{NodeName, RegionName, ServiceName, ZoneName};
use crate::json;
use derive_more::{Display, Error};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[display("settings file {path} can't be read ({reason}): give its path as the argument or in FERRYHINGE_CONFIG")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        reason: String,
    },
    /// The file holds no JSON.
    #[display("settings file {path} is not JSON ({reason}): mend the file")]
    NotJson {
        /// The file.
        path: String,
        /// What the parser said.
        reason: String,
    },
    /// A field that the program can't do without is not there.
    #[display("settings field {field} is missing: add it, {wanted}")]
    Missing {
        /// The field, with dots between its parts.
        field: String,
        /// What is to stand there.
        wanted: &'static str,
    },
    /// A field holds something else than it should.
    #[display("settings field {field} is wrong: it must be {wanted}")]
    Wrong {
        /// The field, with dots between its parts.
        field: String,
        /// What is to stand there.
        wanted: &'static str,
    },
}

/// Invariant: an address is here only for what the machine's role serves.
#[derive(Clone, Debug, Default)]
pub struct ListenAddresses {
    /// Where clients call a gateway.
    pub frontend: Option<SocketAddr>,
    /// Where peer nodes pass requests on.
    pub inbound: Option<SocketAddr>,
    /// Where clients and the endpoint on the same machine send requests.
    pub outbound: Option<SocketAddr>,
    /// Where the platform asks whether this node is ready.
    pub readiness: Option<SocketAddr>,
    /// Where endpoints and the operator call.
    pub control_plane: Option<SocketAddr>,
}

/// What the machine lets a process have.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Open files and sockets, 200 of which are reserved.
    pub file_descriptors: u64,
    /// What the machine's link carries in a second, in bytes, where that is known.
    pub link_bytes: Option<f64>,
}

/// One machine's settings, typed.
#[derive(Clone, Debug)]
pub struct LocalConfig {
    /// The machine's name.
    pub node_name: NodeName,
    /// The zone that the machine is in.
    pub zone: ZoneName,
    /// The region that the zone is in.
    pub region: RegionName,
    /// Every zone known at the start, with its region.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// The machine's address.
    pub ip_address: std::net::IpAddr,
    /// What the machine's role serves to those outside the system.
    pub serves: Vec<String>,
    /// Where to listen for whom.
    pub listen: ListenAddresses,
    /// Invariant: first ≤ last, and two ports at least.
    pub internal_ports: (u16, u16),
    /// Addresses of core nodes, as the file had them when it was written.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time, with empty disks.
    pub initial_start: bool,
    /// Where the state is kept, on machines with a disk.
    pub data_directory: Option<PathBuf>,
    /// How often endpoints send heartbeats.
    pub heartbeat: Duration,
    /// What the machine lets this process have.
    pub limits: Limits,
    /// Core machines that may be lost at once with all rules kept.
    pub machine_losses: u64,
    /// The figures of the rules in force.
    pub bounds: Bounds,
    /// The endpoint beside this node.
    pub app_address: Option<SocketAddr>,
    /// The service of the endpoint beside this node.
    pub service_name: Option<ServiceName>,
    /// The parts of the users' rules that are in force.
    pub contracts: Vec<String>,
    /// How endpoints are told which keys they hold.
    pub grants: Option<String>,
    /// Where it is known from which endpoints there are.
    pub discovery_source: Option<String>,
    /// How clients arrive.
    pub entry_type: Option<String>,
    /// Keys of the file that nothing reads, with dots between their parts.
    pub unread: Vec<String>,
}

struct Fields<'a> {
    value: &'a Value,
    read: ReadKeys,
}

impl Fields<'_> {
    fn name(path: &[&str]) -> String {
        path.join(".")
    }
    fn find(&self, path: &[&str]) -> Option<&Value> {
        self.read.note(path);
        self.value.pointer(path.iter()).filter(|value| !value.is_null())
    }
    fn wanted(&self, path: &[&str], wanted: &'static str) -> Result<&Value, ConfigError> {
        self.find(path).ok_or(ConfigError::Missing { field: Self::name(path), wanted })
    }
    fn text(&self, path: &[&str], wanted: &'static str) -> Result<&str, ConfigError> {
        self.wanted(path, wanted)?
            .as_str()
            .filter(|text| !text.is_empty())
            .ok_or(ConfigError::Wrong { field: Self::name(path), wanted })
    }
    fn address(&self, path: &[&str]) -> Result<Option<SocketAddr>, ConfigError> {
        const WANTED: &str = "an address like \"10.0.0.1:8080\"";
        match self.find(path) {
            None => Ok(None),
            Some(value) => value
                .as_str()
                .and_then(|text| text.parse().ok())
                .map(Some)
                .ok_or(ConfigError::Wrong { field: Self::name(path), wanted: WANTED }),
        }
    }
    fn number(&self, path: &[&str], otherwise: f64) -> Result<f64, ConfigError> {
        match self.find(path) {
            None => Ok(otherwise),
            Some(value) => value
                .as_f64()
                .filter(|number| number.is_finite() && *number >= 0.0)
                .ok_or(ConfigError::Wrong { field: Self::name(path), wanted: "a number, zero or above" }),
        }
    }
}

impl LocalConfig {
    /// Reads a settings file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read(path)
            .map_err(|error| ConfigError::Unreadable { path: shown.clone(), reason: error.to_string() })?;
        Self::parse(&text, &shown)
    }

    /// Reads settings from their text. `shown` names the file in errors.
    pub fn parse(text: &[u8], shown: &str) -> Result<Self, ConfigError> {
        let value = json::parse(text)
            .map_err(|error| ConfigError::NotJson { path: shown.to_owned(), reason: error.to_string() })?;
        let fields = Fields { value: &value, read: ReadKeys::default() };
        let zone = ZoneName::new(fields.text(&["zone"], "the machine's zone")?);
        let region = RegionName::new(fields.text(&["region"], "the machine's region")?);
        let mut zones = BTreeMap::new();
        if let Some(table) = fields.find(&["zones"]).and_then(|value| value.as_object()) {
            for (name, value) in table.iter() {
                let wanted = "a table from zone to region";
                let region = value.as_str().ok_or(ConfigError::Wrong { field: "zones".into(), wanted })?;
                zones.insert(ZoneName::new(name), RegionName::new(region));
            }
        }
        zones.entry(zone.clone()).or_insert_with(|| region.clone());
        let wanted = "two ports, the first not above the last";
        let ports: Vec<u64> = fields
            .wanted(&["internal_port_range"], wanted)?
            .as_array()
            .map(|list| list.iter().filter_map(|port| port.as_u64()).collect())
            .unwrap_or_default();
        let internal_ports = match ports.as_slice() {
            [first, last] if first < last && *last <= u16::MAX as u64 => (*first as u16, *last as u16),
            _ => {
                return Err(ConfigError::Wrong { field: "internal_port_range".into(), wanted });
            }
        };
        let mut seeds = Vec::new();
        if let Some(list) = fields.find(&["seed_nodes"]) {
            let wanted = "a list of addresses like \"10.0.0.1:8080\"";
            let wrong = || ConfigError::Wrong { field: "seed_nodes".into(), wanted };
            for seed in list.as_array().ok_or_else(wrong)?.iter() {
                seeds.push(seed.as_str().and_then(|text| text.parse().ok()).ok_or_else(wrong)?);
            }
        }
        let mut serves = Vec::new();
        if let Some(list) = fields.find(&["serves"]) {
            let wanted = "a list of words like \"sidecar\"";
            let wrong = || ConfigError::Wrong { field: "serves".into(), wanted };
            for word in list.as_array().ok_or_else(wrong)?.iter() {
                serves.push(word.as_str().ok_or_else(wrong)?.to_owned());
            }
        }
        let bounds = match fields.find(&["bounds"]) {
            Some(value) if value.is_str() => Bounds::from_texts(value.as_str().into_iter()),
            Some(value) => Bounds::from_texts(
                value.as_array().into_iter().flat_map(|list| list.iter()).filter_map(|text| text.as_str()),
            ),
            None => Bounds::default(),
        };
        let named = |field: &str| {
            let text = fields.find(&[field]).and_then(|value| value.as_str());
            text.filter(|text| !text.is_empty()).map(str::to_owned)
        };
        let contracts = fields.find(&["active_contracts"]).and_then(|list| list.as_array());
        let contracts = contracts.into_iter().flat_map(|list| list.iter());
        let contracts = contracts.filter_map(|name| name.as_str().map(str::to_owned)).collect();
        let wanted = "the machine's IP address";
        let mut config = Self {
            node_name: NodeName::new(fields.text(&["node_name"], "the machine's name")?),
            zone,
            region,
            zones,
            ip_address: fields
                .text(&["ip_address"], wanted)?
                .parse()
                .map_err(|_| ConfigError::Wrong { field: "ip_address".into(), wanted })?,
            serves,
            listen: ListenAddresses {
                frontend: fields.address(&["listen_addresses", "frontend"])?,
                inbound: fields.address(&["listen_addresses", "inbound"])?,
                outbound: fields.address(&["listen_addresses", "outbound"])?,
                readiness: fields.address(&["listen_addresses", "readiness"])?,
                control_plane: fields.address(&["listen_addresses", "control_plane"])?,
            },
            internal_ports,
            seeds,
            initial_start: fields.find(&["initial_start"]).and_then(|value| value.as_bool()).unwrap_or(false),
            data_directory: fields.find(&["data_directory"]).and_then(|value| value.as_str()).map(PathBuf::from),
            heartbeat: Duration::from_secs_f64(fields.number(&["heartbeat_s"], 1.5)?.clamp(0.01, 3600.0)),
            limits: Limits {
                memory_mb: fields.number(&["limits", "memory_mb"], 256.0)? as u64,
                file_descriptors: fields.number(&["limits", "file_descriptors"], 1024.0)? as u64,
                link_bytes: Some(fields.number(&["limits", "link_mbps"], 0.0)?)
                    .filter(|mbps| *mbps > 0.0)
                    .map(|mbps| mbps * 1e6 / 8.0),
            },
            machine_losses: fields.number(&["fault_tolerance", "machine_losses"], 1.0)? as u64,
            bounds,
            app_address: fields.address(&["app_address"])?,
            service_name: fields.find(&["service_name"]).and_then(|value| value.as_str()).map(ServiceName::new),
            contracts,
            grants: named("grants"),
            discovery_source: named("discovery_source"),
            entry_type: named("entry_type"),
            unread: Vec::new(),
        };
        config.unread = fields.read.unread(&value);
        config.unread.extend(config.bounds.unread());
        Ok(config)
    }

    /// A field that this program can't do without.
    pub fn require<T>(field: &str, value: Option<T>, wanted: &'static str) -> Result<T, ConfigError> {
        value.ok_or(ConfigError::Missing { field: field.to_owned(), wanted })
    }

    /// Where a core node listens for its peers, on any machine.
    pub fn core_port(&self) -> u16 {
        self.internal_ports.0
    }

    /// Where a node that carries traffic listens for its peers, on any machine.
    pub fn beside_port(&self) -> u16 {
        self.internal_ports.0 + 1
    }

    /// Whether the machine's role serves callers of this kind.
    pub fn serves(&self, word: &str) -> bool {
        self.serves.iter().any(|served| served == word)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    const WHOLE: &str = r#"{"node_name":"n1","zone":"z","region":"r","ip_address":"10.0.0.1","zones":{"z":"r"},
        "internal_port_range":[7380,7395],"seed_nodes":["10.0.0.1:80"],"bounds":["drain_s=2.5","retry_slack=56"],
        "listen_addresses":{"control_plane":"10.0.0.1:80"},"unknown":{"a":[1]}}"#;

    #[test]
    fn unknown_fields_are_ignored_and_bounds_read() {
        let config = LocalConfig::parse(WHOLE.as_bytes(), "file").unwrap();
        assert_eq!(config.bounds.drain(), Duration::from_millis(2500));
        assert_eq!(config.bounds.retry_slack(), 56.0);
        assert_eq!(config.seeds.len(), 1);
    }

    #[test]
    fn keys_that_nothing_reads_are_told() {
        let text = WHOLE.replace("\"retry_slack=56\"", "\"retry_slack=56\",\"contact_s=3\"");
        let text = text.replace("\"unknown\"", "\"limits\":{\"memory_mb\":9,\"cpu_share\":0.1},\"unknown\"");
        let config = LocalConfig::parse(text.as_bytes(), "file").unwrap();
        assert_eq!(config.unread, ["limits.cpu_share", "unknown.a", "bounds.contact_s"]);
        assert_eq!(config.limits.memory_mb, 9);
    }

    #[test]
    fn errors_name_field_and_remedy() {
        let error = LocalConfig::parse(WHOLE.replace("node_name", "other").as_bytes(), "file").unwrap_err();
        assert_matches!(&error, ConfigError::Missing { field, .. } if field == "node_name");
        assert!(error.to_string().contains("add it"));
        let error = LocalConfig::parse(WHOLE.replace("[7380,7395]", "[9]").as_bytes(), "file").unwrap_err();
        assert_matches!(error, ConfigError::Wrong { field, .. } if field == "internal_port_range");
        assert_matches!(LocalConfig::parse(b"{", "file"), Err(ConfigError::NotJson { .. }));
    }
}
