//! An endpoint's beat, read from its JSON.

use super::Instance;
use sonic_rs::{JsonValueTrait, Value};
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::ids::{InstanceId, NodeName, ServiceName, ZoneName};

/// What one beat says, as it was heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    pub instance: Instance,
    /// Rises with each call, so that a late one can be known.
    pub sequence: u64,
    pub cold: Duration,
}

/// The node beside an endpoint and where it takes requests, for those that have one.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    pub node: NodeName,
    pub beside: SocketAddr,
}

impl Beat {
    pub fn read(id: InstanceId, body: &[u8], post: Option<Post>, zone: &ZoneName) -> Result<Self, &'static str> {
        let value: Value = sonic_rs::from_slice(body).map_err(|_| "the body is not JSON")?;
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
        Ok(Self { instance, sequence, cold: Duration::from_secs_f64(cold) })
    }
}
