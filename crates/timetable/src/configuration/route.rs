//! One route, service or set of limits, as typed values.

use super::checks::Fault;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::time::Duration;
use trackbed::ids::ServiceName;

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Idempotent,
    /// They run at most once.
    NonIdempotent,
    /// Large bodies; run at most once.
    Upload,
    /// Large answers; may run more than once.
    Download,
}

impl RouteKind {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "idempotent" => Some(Self::Idempotent),
            "non_idempotent" => Some(Self::NonIdempotent),
            "upload" => Some(Self::Upload),
            "download" => Some(Self::Download),
            _ => None,
        }
    }

    /// Whether a request may run more than once.
    pub fn repeats(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// One route, typed.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name in the configuration.
    pub name: String,
    /// Lower case, without a port.
    pub hostname: String,
    /// Invariant: begins with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// How long a request may be held.
    pub timeout: Duration,
    /// The time within which an answer earns its full worth.
    pub target: Duration,
    /// Its rank; 0 is highest.
    pub priority: u8,
    /// Invariant: one at least, and a weight above zero among them.
    pub split: Vec<(ServiceName, u64)>,
    /// Endpoints that one request may be offered to at most.
    pub max_goes: u32,
}

fn wrong(route: &str, field: &str, wanted: &'static str) -> Fault {
    Fault::Wrong { place: format!("/routes/{route}/{field}"), wanted }
}

fn seconds(value: &Value, route: &str, field: &str) -> Result<Option<Duration>, Fault> {
    match value.pointer([field].iter()) {
        None => Ok(None),
        Some(number) => number
            .as_f64()
            .filter(|number| number.is_finite() && *number >= 0.0 && *number < 1e7)
            .map(|number| Some(Duration::from_secs_f64(number)))
            .ok_or_else(|| wrong(route, field, "a time in seconds")),
    }
}

impl Route {
    /// Reads a route from its JSON.
    pub fn parse(name: &str, value: &Value) -> Result<Self, Fault> {
        if !value.is_object() {
            return Err(Fault::Wrong { place: format!("/routes/{name}"), wanted: "a table" });
        }
        let text = |field: &'static str| value.pointer([field].iter()).and_then(|value| value.as_str());
        let hostname = text("hostname").unwrap_or("").trim().to_ascii_lowercase();
        if hostname.is_empty() {
            return Err(Fault::EmptyHost { route: name.to_owned() });
        }
        let prefix = text("path_prefix").unwrap_or("").to_owned();
        if !prefix.starts_with('/') {
            return Err(Fault::BarePrefix { route: name.to_owned() });
        }
        let kind =
            text("route_type").and_then(RouteKind::parse).ok_or_else(|| Fault::OddKind { route: name.to_owned() })?;
        let timeout = seconds(value, name, "timeout_s")?;
        if timeout == Some(Duration::ZERO) {
            return Err(wrong(name, "timeout_s", "a time above zero"));
        }
        let timeout = timeout.unwrap_or(Duration::from_secs(30));
        let target = seconds(value, name, "target_latency_s")?.unwrap_or(timeout);
        if target >= timeout + Duration::from_secs(60) {
            return Err(Fault::TargetOverTimeout { route: name.to_owned() });
        }
        let split = match (value.pointer(["traffic_split"].iter()), text("service_name")) {
            (Some(list), _) => {
                let wanted = "a list of service_name and weight";
                let list = list.as_array().ok_or_else(|| wrong(name, "traffic_split", wanted))?;
                let mut split = Vec::new();
                for part in list.iter() {
                    let service = part
                        .pointer(["service_name"].iter())
                        .and_then(|service| service.as_str())
                        .ok_or_else(|| wrong(name, "traffic_split", wanted))?;
                    let weight = part
                        .pointer(["weight"].iter())
                        .and_then(|weight| weight.as_f64())
                        .filter(|weight| (0.0..1e9).contains(weight))
                        .ok_or_else(|| wrong(name, "traffic_split", wanted))?;
                    split.push((ServiceName::new(service), (weight * 1000.0).round() as u64));
                }
                if split.iter().map(|(_, weight)| weight).sum::<u64>() == 0 {
                    return Err(Fault::NoWeight { route: name.to_owned() });
                }
                split
            }
            (None, Some(service)) => vec![(ServiceName::new(service), 1)],
            (None, None) => return Err(wrong(name, "service_name", "a service, or traffic_split")),
        };
        let priority = match value.pointer(["priority"].iter()) {
            None => 1,
            Some(value) => value.as_u64().ok_or_else(|| wrong(name, "priority", "a whole number"))?.min(255) as u8,
        };
        let max_goes = match value.pointer(["max_attempts"].iter()) {
            None => 1,
            Some(value) => value.as_u64().ok_or_else(|| wrong(name, "max_attempts", "a whole number"))?.clamp(1, 1000),
        };
        Ok(Self {
            name: name.to_owned(),
            hostname,
            prefix,
            kind,
            timeout,
            target,
            priority,
            split,
            max_goes: max_goes as u32,
        })
    }

    /// The service for a request: by weight, and always the same one for the same number.
    pub fn service_for(&self, number: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut at = number % total.max(1);
        for (service, weight) in &self.split {
            if at < *weight {
                return service;
            }
            at -= weight;
        }
        &self.split[0].0
    }
}

/// How endpoints learn which keys they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantWay {
    /// In the answers to their heartbeats.
    Heartbeat,
    /// By calls to their address.
    Call,
    /// The configuration names no way that is known: endpoints whose heartbeats list their keys are answered with them,
    /// the others are called.
    Unnamed,
}

impl GrantWay {
    /// Whether an endpoint is told in the answers to its heartbeats, by whether those list its keys.
    pub fn is_by_heartbeat(self, lists_keys: bool) -> bool {
        match self {
            Self::Heartbeat => true,
            Self::Call => false,
            Self::Unnamed => lists_keys,
        }
    }
}

/// Figures of a service stay below this.
const MOST_IN_A_FIGURE: f64 = 1e9;

/// One service, typed.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Where its endpoints answer whether they are well.
    pub health_path: Option<String>,
    /// Connections that an endpoint takes from all callers together.
    pub max_connections: u32,
    /// Each of its keys is held by one endpoint, and requests name their key.
    pub sharded: bool,
    /// How endpoints of a sharded service are told what they hold.
    pub grants: GrantWay,
    /// Requests that an endpoint bears in a second while it is cold; nothing where it bears them all.
    pub cold_rate: Option<f64>,
    /// How long an endpoint stays cold after its start, where that is known.
    pub cold_start: Option<Duration>,
}

impl Service {
    /// Reads a service from its JSON.
    pub fn parse(name: &str, value: &Value) -> Result<Self, Fault> {
        if !value.is_object() {
            return Err(Fault::Wrong { place: format!("/services/{name}"), wanted: "a table" });
        }
        let health_path = value
            .pointer(["health_check_path"].iter())
            .and_then(|path| path.as_str())
            .filter(|path| path.starts_with('/'))
            .map(str::to_owned);
        let max_connections = value.pointer(["max_connections"].iter()).and_then(|count| count.as_u64()).unwrap_or(100);
        let sharded = value.pointer(["sharded"].iter()).and_then(|sharded| sharded.as_bool()).unwrap_or(false);
        let grants = match value.pointer(["grants"].iter()).and_then(|way| way.as_str()) {
            Some("heartbeat") => GrantWay::Heartbeat,
            Some("invocation") => GrantWay::Call,
            _ => GrantWay::Unnamed,
        };
        let max_connections = max_connections.clamp(1, 1_000_000) as u32;
        let number = |field: &str| match value.pointer([field].iter()) {
            None => Ok(None),
            Some(number) => match number.as_f64().filter(|number| (0.0..MOST_IN_A_FIGURE).contains(number)) {
                Some(number) => Ok(Some(number)),
                None => {
                    Err(Fault::Wrong { place: format!("/services/{name}/{field}"), wanted: "a number, zero or above" })
                }
            },
        };
        let cold_rate = number("cold_rate_s")?;
        let cold_start = number("cold_start_s")?.map(Duration::from_secs_f64);
        Ok(Self { health_path, max_connections, sharded, grants, cold_rate, cold_start })
    }
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest head, in bytes.
    pub header_bytes: u64,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// How long a head may take to arrive.
    pub header_time: Duration,
    /// How long a connection may rest.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

impl Limits {
    /// Reads limits; what is missing has its default.
    pub fn parse(value: &Value) -> Result<Self, Fault> {
        let standard = Self::default();
        let number = |field: &'static str, otherwise: f64| match value.pointer([field].iter()) {
            None => Ok(otherwise),
            Some(number) => number
                .as_f64()
                .filter(|number| number.is_finite() && *number > 0.0 && *number < 1e15)
                .ok_or(Fault::Wrong { place: format!("/limits/{field}"), wanted: "a number above zero" }),
        };
        Ok(Self {
            header_bytes: number("max_header_bytes", standard.header_bytes as f64)? as u64,
            body_bytes: number("max_body_bytes", standard.body_bytes as f64)? as u64,
            header_time: Duration::from_secs_f64(
                number("header_timeout_s", standard.header_time.as_secs_f64())?.min(1e6),
            ),
            idle_time: Duration::from_secs_f64(number("idle_timeout_s", standard.idle_time.as_secs_f64())?.min(1e6)),
        })
    }
}
