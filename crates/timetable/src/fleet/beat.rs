//! An endpoint's beat, read from its JSON.

use super::Instance;
use crate::shards::KeyRange;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::ids::{InstanceId, NodeName, ServiceName, ZoneName};
use trackbed::json;

/// What one beat says, as it was heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    /// The endpoint, as it describes itself.
    pub instance: Instance,
    /// Rises with each call, so that a late one can be known.
    pub sequence: u64,
    /// For how much longer it is slow from its start.
    pub cold: Duration,
    /// Keys that it holds, or still works on.
    pub holds: Vec<(KeyRange, u64)>,
    /// Whether it lists keys at all, though it may hold none.
    pub lists_keys: bool,
    /// Keys that it has let go since its last acknowledged beat, each with what it hands over.
    pub released: Vec<(KeyRange, String)>,
}

/// The node beside an endpoint and where it takes requests, for those that have one.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    /// The node's name.
    pub node: NodeName,
    /// Where the node takes requests for the endpoint.
    pub beside: SocketAddr,
}

impl Beat {
    /// Reads a beat. `zone` stands in where it names none.
    pub fn read(id: InstanceId, body: &[u8], post: Option<Post>, zone: &ZoneName) -> Result<Self, &'static str> {
        let value = json::parse(body).map_err(|_| "the body is not JSON, or nested too deep")?;
        let text = |field: &str| value.pointer([field].iter()).and_then(|value| value.as_str());
        let number = |field: &str| value.pointer([field].iter()).and_then(|value| value.as_f64());
        let address: SocketAddr =
            text("address").and_then(|text| text.parse().ok()).ok_or("address is missing or can't be read")?;
        let slots = number("capacity_slots").filter(|slots| *slots >= 1.0).unwrap_or(1.0) as u32;
        let draining = match text("lifecycle_state") {
            Some("draining") => true,
            Some("ready") | None => false,
            Some(_) => return Err("lifecycle_state is neither ready nor draining"),
        };
        let post = post.unwrap_or_else(|| Post { node: Instance::nobody(), beside: address });
        let instance = Instance {
            id,
            service: ServiceName::new(text("service_name").ok_or("service_name is missing")?),
            address,
            zone: text("zone").map(ZoneName::new).unwrap_or_else(|| zone.clone()),
            node: post.node,
            beside: post.beside,
            slots: slots.min(10_000),
            draining,
        };
        let cold = number("cold_remaining_s").filter(|cold| (0.0..1e6).contains(cold)).unwrap_or(0.0);
        let sequence = number("sequence").filter(|sequence| *sequence >= 0.0).unwrap_or(0.0) as u64;
        let holds = rows(&value, "holds", |third| third.as_u64()).ok_or("holds is no list of [from, to, fence]")?;
        let released = rows(&value, "released", |third| third.as_str().map(str::to_owned))
            .ok_or("released is no list of [from, to, handover]")?;
        let lists_keys = value.pointer(["holds"].iter()).is_some_and(|list| list.is_array());
        Ok(Self { instance, sequence, cold: Duration::from_secs_f64(cold), holds, lists_keys, released })
    }
}

/// Rows of first key, last key and a third value. None where the field is there and can't be read.
fn rows<T>(value: &Value, field: &str, third: impl Fn(&Value) -> Option<T>) -> Option<Vec<(KeyRange, T)>> {
    let Some(list) = value.pointer([field].iter()).filter(|list| !list.is_null()) else { return Some(Vec::new()) };
    let key = |value: &Value| value.as_u64().and_then(|key| u16::try_from(key).ok());
    let row = |row: &Value| {
        let row = row.as_array()?;
        let range = KeyRange::new(key(row.first()?)?, key(row.get(1)?)?)?;
        Some((range, third(row.get(2)?)?))
    };
    list.as_array()?.iter().map(row).collect()
}
