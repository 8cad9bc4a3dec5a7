//! Where each process of a run listens, and its settings.

use crate::error::SoakError;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;

/// Core nodes of a run.
pub const CORES: usize = 3;
/// Nodes that carry requests.
pub const NODES: usize = 4;
/// Endpoints of the divided service; beside nodes there is one for each.
pub const ENDPOINTS: usize = 4;
/// The service that is divided by key.
pub const SERVICE: &str = "fonts";
/// The host of its routes.
pub const HOST: &str = "fonts.example";
/// Requests under this prefix may run more than once.
pub const SAFE_PREFIX: &str = "/safe/";
/// Requests under this prefix may run once at most.
pub const UNSAFE_PREFIX: &str = "/unsafe/";
/// Requests that an endpoint works on at once.
pub const SLOTS: u32 = 6;
/// The longest hold that the settings allow, in seconds.
pub const HOLD_MAX_SECONDS: f64 = 4.0;
/// For how long an endpoint is cold after its start, in seconds.
pub const COLD_SECONDS: u64 = 3;
/// Requests that a cold endpoint bears in a second, by the configuration.
pub const COLD_RATE: usize = 10;
/// Requests that a cold endpoint may get within any second: the rate, half of it more, and 8.
pub const COLD_BOUND: usize = COLD_RATE * 3 / 2 + 8;
/// How often endpoints send heartbeats.
pub const HEARTBEAT_SECONDS: f64 = 0.5;
/// Memory of a machine, in MB.
pub const MACHINE_MEMORY_MB: u64 = 256;

const CONTROL_PLANE: u16 = 8144;
const READINESS: u16 = 8141;
const ENDPOINT: u16 = 8145;
const INBOUND: u16 = 8146;
const REQUESTS: u16 = 8147;
const ZONES: usize = 2;

/// How endpoints of the divided service are told what they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grants {
    /// In answers to their heartbeats.
    Heartbeat,
    /// By calls to their address.
    Call,
}

/// What stands before the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// A node beside each endpoint.
    Beside,
    /// Gateways; endpoints have no node beside them.
    Gateway,
}

/// What a run's endpoints bear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Endpoints {
    /// All that their slots carry.
    #[default]
    Plain,
    /// Half of them accept fewer connections than they have slots, and reset the rest.
    Full,
    /// All are cold after each start, and end where they get more than they bear meanwhile.
    Cold,
}

/// One form of the contract on keys that endpoints hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Form {
    /// What stands before the endpoints.
    pub tier: Tier,
    /// How they are told what they hold.
    pub grants: Grants,
}

impl Form {
    /// Every form.
    pub const ALL: [Form; 4] = [
        Form { tier: Tier::Beside, grants: Grants::Heartbeat },
        Form { tier: Tier::Beside, grants: Grants::Call },
        Form { tier: Tier::Gateway, grants: Grants::Heartbeat },
        Form { tier: Tier::Gateway, grants: Grants::Call },
    ];

    /// The name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match (self.tier, self.grants) {
            (Tier::Beside, Grants::Heartbeat) => "beside-heartbeat",
            (Tier::Beside, Grants::Call) => "beside-calls",
            (Tier::Gateway, Grants::Heartbeat) => "gateway-heartbeat",
            (Tier::Gateway, Grants::Call) => "gateway-calls",
        }
    }

    /// The form of that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|form| form.name() == name)
    }
}

/// A block of loopback addresses that no other run on this machine uses. Invariant: given back when this is dropped.
pub struct Block {
    number: u8,
    _guard: TcpListener,
}

const FIRST_BLOCK: u8 = 100;
const LAST_BLOCK: u8 = 199;
const GUARD: u16 = 8139;

impl Block {
    /// Takes the first block that is free.
    ///
    /// # Errors
    ///
    /// [`SoakError::Io`] where all are taken.
    pub fn take() -> Result<Self, SoakError> {
        for number in FIRST_BLOCK..=LAST_BLOCK {
            if let Ok(guard) = TcpListener::bind((Ipv4Addr::new(127, number, 0, 1), GUARD)) {
                return Ok(Self { number, _guard: guard });
            }
        }
        Err(SoakError::io("loopback addresses", &std::io::ErrorKind::AddrInUse.into()))
    }

    /// The second number of its addresses.
    pub fn number(&self) -> u8 {
        self.number
    }
}

/// An empty folder for a run. What an earlier run left there is removed: its state names members at addresses that
/// another run may have now.
///
/// # Errors
///
/// [`SoakError::Io`] where it can't be made.
pub fn empty_folder(folder: &Path) -> Result<(), SoakError> {
    if folder.exists() {
        std::fs::remove_dir_all(folder).map_err(|error| SoakError::io(folder.display(), &error))?;
    }
    std::fs::create_dir_all(folder).map_err(|error| SoakError::io(folder.display(), &error))
}

/// The addresses of one run. Two runs with different blocks may go on side by side.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// The second number of all addresses.
    pub block: u8,
    /// The form that is played.
    pub form: Form,
    /// Core nodes.
    pub cores: usize,
}

/// Seeds that every settings file names at most.
const MOST_SEEDS: usize = 3;

impl Layout {
    fn ip(self, part: u8, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, part, 10 + index as u8)
    }

    /// Where a core node serves operators and endpoints.
    pub fn core(self, index: usize) -> SocketAddr {
        (self.ip(1, index), CONTROL_PLANE).into()
    }

    /// Where a node takes requests from clients.
    pub fn requests(self, node: usize) -> SocketAddr {
        (self.ip(2, node), REQUESTS).into()
    }

    /// Where a node says whether it is ready.
    pub fn readiness(self, node: usize) -> SocketAddr {
        (self.ip(2, node), READINESS).into()
    }

    /// Where an endpoint takes requests.
    pub fn endpoint(self, index: usize) -> SocketAddr {
        match self.form.tier {
            Tier::Beside => (self.ip(2, index), ENDPOINT).into(),
            Tier::Gateway => (self.ip(3, index), ENDPOINT).into(),
        }
    }

    /// Where an endpoint sends its heartbeats; the next where one fails.
    pub fn heartbeats(self, endpoint: usize) -> Vec<SocketAddr> {
        match self.form.tier {
            Tier::Beside => vec![(self.ip(2, endpoint), CONTROL_PLANE).into()],
            Tier::Gateway => (0..self.cores).map(|index| self.core((endpoint + index) % self.cores)).collect(),
        }
    }

    fn settings(self, name: &str, ip: Ipv4Addr, zone: usize, rest: &str) -> String {
        let losses = (self.cores - 1) / 2;
        let seeds: Vec<String> =
            (0..self.cores.min(MOST_SEEDS)).map(|index| format!("\"{}\"", self.core(index))).collect();
        let zones: Vec<String> = (0..ZONES).map(|zone| format!("\"zone-{zone}\":\"region\"")).collect();
        format!(
            r#"{{"node_name":"{name}","ip_address":"{ip}","zone":"zone-{}","region":"region","zones":{{{}}},"seed_nodes":[{}],
"internal_port_range":[7380,7395],"heartbeat_s":{HEARTBEAT_SECONDS},"initial_start":true,
"limits":{{"memory_mb":{MACHINE_MEMORY_MB},"file_descriptors":4096}},"fault_tolerance":{{"machine_losses":{losses}}},
"bounds":["config_apply_s=3","drain_s=1","grace_period_s=4","retry_budget_ratio=0.2","budget_window_s=10","retry_slack=100",
"hold_max_s={HOLD_MAX_SECONDS}","history_s=20","address_reuse_s=2","cold_overage=1.5","cold_slack=8","evacuation_s=5"],{rest}}}"#,
            zone % ZONES,
            zones.join(","),
            seeds.join(",")
        )
    }

    /// A core node's settings.
    pub fn core_settings(self, index: usize, data: &Path) -> String {
        let ip = self.ip(1, index);
        let rest = format!(
            r#""serves":["control_plane"],"data_directory":"{}","listen_addresses":{{"control_plane":"{ip}:{CONTROL_PLANE}"}}"#,
            data.display()
        );
        self.settings(&format!("core-{index}"), ip, index, &rest)
    }

    /// The settings of a core node whose disk was lost after the system's first start.
    pub fn later_core_settings(self, index: usize, data: &Path) -> String {
        self.core_settings(index, data).replace("\"initial_start\":true", "\"initial_start\":false")
    }

    /// The settings of a node that carries requests.
    pub fn node_settings(self, index: usize) -> String {
        let ip = self.ip(2, index);
        let rest = match self.form.tier {
            Tier::Beside => format!(
                r#""serves":["sidecar"],"service_name":"{SERVICE}","app_address":"{ip}:{ENDPOINT}",
"listen_addresses":{{"inbound":"{ip}:{INBOUND}","outbound":"{ip}:{REQUESTS}","readiness":"{ip}:{READINESS}","control_plane":"{ip}:{CONTROL_PLANE}"}}"#
            ),
            Tier::Gateway => format!(
                r#""serves":["edge"],"listen_addresses":{{"frontend":"{ip}:{REQUESTS}","readiness":"{ip}:{READINESS}"}}"#
            ),
        };
        self.settings(&format!("node-{index}"), ip, index, &rest)
    }

    /// An endpoint's settings, read by [`crate::endpoint`].
    pub fn endpoint_settings(self, index: usize) -> String {
        let heartbeats: Vec<String> = self.heartbeats(index).iter().map(|address| format!("\"{address}\"")).collect();
        format!(
            r#"{{"index":{index},"service":"{SERVICE}","address":"{}","zone":"zone-{}","slots":{SLOTS},"heartbeats":[{}],"heartbeat_s":{HEARTBEAT_SECONDS},"lists":{}}}"#,
            self.endpoint(index),
            index % ZONES,
            heartbeats.join(","),
            self.form.grants == Grants::Heartbeat
        )
    }

    /// The same for an endpoint that may be full: every second one accepts fewer connections than it has slots, and resets
    /// the rest; some refuse them, some accept them first.
    pub fn full_endpoint_settings(self, index: usize) -> String {
        let settings = self.endpoint_settings(index);
        if index.is_multiple_of(2) {
            return settings;
        }
        let when_full = if index % 4 == 1 { "refuse" } else { "accept_and_reset" };
        settings.replacen('{', &format!(r#"{{"max_connections":{},"when_full":"{when_full}","#, SLOTS - 2), 1)
    }

    /// The same for an endpoint that is cold, from its start or after `SIGHUP` only.
    pub fn cold_endpoint_settings(self, index: usize, starts_cold: bool) -> String {
        let cold = format!(
            r#"{{"cold":{{"cold_start_s":{COLD_SECONDS},"starts_cold":{starts_cold},"falls_over_above":{COLD_BOUND}}},"#
        );
        self.endpoint_settings(index).replacen('{', &cold, 1)
    }

    /// The settings of an endpoint of a run.
    pub fn settings_of(self, endpoints: Endpoints, index: usize) -> String {
        match endpoints {
            Endpoints::Plain => self.endpoint_settings(index),
            Endpoints::Full => self.full_endpoint_settings(index),
            Endpoints::Cold => self.cold_endpoint_settings(index, true),
        }
    }

    /// A configuration of the divided service with its routes.
    pub fn configuration(self, version: u64) -> String {
        let route = |name: &str, prefix: &str, kind: &str| {
            format!(
                r#""{name}":{{"hostname":"{HOST}","path_prefix":"{prefix}","route_type":"{kind}","timeout_s":2,"target_latency_s":1,"priority":1,"service_name":"{SERVICE}","max_attempts":2}}"#
            )
        };
        let grants = match self.form.grants {
            Grants::Heartbeat => "heartbeat",
            Grants::Call => "invocation",
        };
        format!(
            r#"{{"version":"r{version}","routes":{{{},{}}},"services":{{"{SERVICE}":{{"health_check_path":"/health","max_connections":100,"sharded":true,"warmup_s":1,"grants":"{grants}","cold_start_s":{COLD_SECONDS},"cold_rate_s":{COLD_RATE}}}}}}}"#,
            route("safe", SAFE_PREFIX, "idempotent"),
            route("unsafe", UNSAFE_PREFIX, "non_idempotent"),
        )
    }
}
