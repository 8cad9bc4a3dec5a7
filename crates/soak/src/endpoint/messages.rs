//! An emulated endpoint's settings, its heartbeats and the calls that it takes.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Deserialize)]
pub(super) struct Settings {
    pub(super) index: usize,
    pub(super) service: String,
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    pub(super) slots: u32,
    pub(super) heartbeats: Vec<SocketAddr>,
    pub(super) heartbeat_s: f64,
    /// Heartbeats bear lists of what is held and was let go.
    pub(super) lists: bool,
    /// Whether the service is divided by key. One that isn't runs any request.
    #[serde(default = "is_divided")]
    pub(super) is_divided: bool,
    /// Connections that it accepts from all callers together.
    #[serde(default = "max_connections")]
    pub(super) max_connections: usize,
    /// What becomes of the rest.
    #[serde(default)]
    pub(super) when_full: WhenFull,
    /// Work of a request: at least so much.
    #[serde(default = "least_work_millis")]
    pub(super) least_work_millis: u64,
    /// What it bears while it is cold; an endpoint without is never cold.
    #[serde(default)]
    pub(super) cold: Option<ColdSettings>,
}

/// What an endpoint bears for a while after its start, or when it turns cold later on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct ColdSettings {
    /// How long it stays cold, in seconds.
    pub(super) cold_start_s: f64,
    /// Whether it is cold from its start.
    #[serde(default = "starts_cold")]
    pub(super) starts_cold: bool,
    /// Requests in a second, above which its process ends.
    pub(super) falls_over_above: usize,
}

fn starts_cold() -> bool {
    true
}

/// How connections beyond the limit are reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WhenFull {
    /// They are accepted first.
    #[default]
    AcceptAndReset,
    /// Nobody listens until there is room: the machine refuses them.
    Refuse,
}

fn max_connections() -> usize {
    100
}

fn least_work_millis() -> u64 {
    40
}

fn is_divided() -> bool {
    true
}

#[derive(Deserialize)]
pub(super) struct GrantCall {
    pub(super) source_version: u16,
    pub(super) target_version: u16,
    pub(super) fence_token: u64,
    pub(super) hold_s: f64,
}

#[derive(Deserialize)]
pub(super) struct ReleaseCall {
    pub(super) source_version: u16,
    pub(super) target_version: u16,
}

#[derive(Deserialize)]
pub(super) struct HeartbeatAnswer {
    pub(super) heartbeat_target: Option<SocketAddr>,
    pub(super) holds: Option<Vec<(u16, u16, u64, String)>>,
    pub(super) hold_s: Option<f64>,
}

#[derive(Serialize)]
pub(super) struct Heartbeat<'a> {
    pub(super) service_name: &'a str,
    pub(super) address: SocketAddr,
    pub(super) zone: &'a str,
    pub(super) version: &'a str,
    pub(super) capacity_slots: u32,
    pub(super) lifecycle_state: &'a str,
    pub(super) cold_remaining_s: f64,
    pub(super) sequence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) holds: Option<Vec<(u16, u16, u64)>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) released: Option<Vec<(u16, u16, String)>>,
}
