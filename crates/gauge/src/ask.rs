//! What the running system says of itself.

use derive_more::{Display, Error};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use timetable::configuration::Configuration;
use trackbed::http::{Client, Request, Return};
use trackbed::ids::ConfigEpoch;

/// How long one answer may take, whole.
const LIMIT: Duration = Duration::from_secs(10);

#[derive(Debug, Display, Error)]
pub enum AskError {
    #[display("the fleet at {address} gives no answer to {path}: name another core node's control_plane address")]
    NoAnswer { address: SocketAddr, path: String },
    #[display("the fleet's answer can't be read: use a gauge of the same version as signalbox")]
    Unreadable,
    #[display("the fleet tells nothing of its proxies' routes: upgrade signalbox, or ask another core node")]
    TellsNoDigest,
    #[display("no majority stands behind an answer just now: ask again when the core has a primary")]
    NoMajority,
    #[display("that node tells nothing of clients: upgrade it, or name another")]
    TellsNoClients,
    #[display("that node tells no forecast: name a core node's control_plane address, or upgrade signalbox")]
    TellsNoForecast,
    #[display("that node says nothing of its region: name the readiness address of a pointsman")]
    NotAProxy,
}

pub struct Endpoint {
    pub service: String,
    pub slots: u64,
    pub draining: bool,
    pub service_time: Option<Duration>,
}

pub struct FleetNow {
    pub epoch: ConfigEpoch,
    pub configuration: Option<Configuration>,
    pub endpoints: Vec<Endpoint>,
    /// Where there are nodes beside endpoints.
    pub regions: BTreeSet<String>,
}

impl FleetNow {
    pub fn read(fleet: &[u8], configuration: Option<Configuration>) -> Option<Self> {
        let value: Value = trackbed::json::parse(fleet).ok()?;
        let epoch = ConfigEpoch::parse(value.pointer(["configuration"].iter())?.as_str()?)?;
        let mut endpoints = Vec::new();
        for item in value.pointer(["endpoints"].iter())?.as_array()?.iter() {
            let field = |name: &str| item.pointer([name].iter());
            endpoints.push(Endpoint {
                service: field("service_name")?.as_str()?.to_owned(),
                slots: field("capacity_slots")?.as_u64()?,
                draining: field("draining")?.as_bool()?,
                service_time: field("service_s").and_then(|span| span.as_f64()).map(Duration::from_secs_f64),
            });
        }
        let nodes = value.pointer(["nodes"].iter()).and_then(|nodes| nodes.as_array());
        let regions = nodes
            .into_iter()
            .flat_map(|nodes| nodes.iter())
            .filter(|node| node.pointer(["role"].iter()).and_then(|role| role.as_str()) == Some("beside"))
            .filter_map(|node| node.pointer(["region"].iter())?.as_str().map(str::to_owned))
            .collect();
        Some(Self { epoch, configuration, endpoints, regions })
    }
}

async fn get(address: SocketAddr, path: &str) -> Result<Return, AskError> {
    let request = Request::own(http::Method::GET, path.to_owned(), &[], Default::default());
    let answer = Client::new(address).call(&request, LIMIT).await;
    answer.map_err(|_| AskError::NoAnswer { address, path: path.to_owned() })
}

/// The body of one answer.
pub fn get_now(address: SocketAddr, path: &str) -> Result<Vec<u8>, AskError> {
    let mut outcome = Err(AskError::NoAnswer { address, path: path.to_owned() });
    let run = trackbed::kernel::run(async {
        outcome = get(address, path).await.and_then(|answer| match answer.status {
            200 => Ok(answer.body.to_vec()),
            _ => Err(AskError::NoAnswer { address, path: path.to_owned() }),
        });
    });
    run.map_err(|_| AskError::NoAnswer { address, path: path.to_owned() })?;
    outcome
}

pub fn fleet_now(address: SocketAddr) -> Result<FleetNow, AskError> {
    let mut outcome = Err(AskError::Unreadable);
    let run = trackbed::kernel::run(async {
        outcome = async {
            let fleet = get(address, "/v1/fleet").await?;
            let configuration = get(address, "/v1/configuration").await?;
            let configuration = match configuration.status {
                404 => None,
                _ => Some(Configuration::parse(&configuration.body).map_err(|_| AskError::Unreadable)?),
            };
            FleetNow::read(&fleet.body, configuration).ok_or(AskError::Unreadable)
        }
        .await;
    });
    run.map_err(|_| AskError::NoAnswer { address, path: "/v1/fleet".to_owned() })?;
    outcome
}
