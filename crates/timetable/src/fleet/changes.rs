//! Changes of the fleet's state, as they are ordered.

use crate::configuration::{Configuration, Patch};
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use trackbed::ids::{InstanceId, NodeName, ServiceName, ZoneName};

/// One life of an endpoint.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Instance {
    pub id: InstanceId,
    pub service: ServiceName,
    /// Invariant: one life at an address at a time.
    pub address: SocketAddr,
    pub zone: ZoneName,
    /// The node beside it, and where that takes requests for it. Invariant: where none is beside,
    /// the name is empty and the address the endpoint's own; it has a home among the gateways then.
    pub node: NodeName,
    pub beside: SocketAddr,
    pub slots: u32,
    pub draining: bool,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum ConfigChange {
    Whole(Configuration),
    Patch(Patch),
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum FleetChange {
    /// `digest` names the very call, so that its repeat is known.
    Configure {
        change: ConfigChange,
        digest: u128,
    },
    Register(Instance),
    End(InstanceId),
    /// Silent for so long that it counts as gone. Invariant: a life that speaks again is taken back.
    Lost(InstanceId),
}

impl Instance {
    /// The name that stands where no node is beside an endpoint.
    pub fn nobody() -> NodeName {
        NodeName::new("")
    }

    pub fn has_node_beside(&self) -> bool {
        !self.node.as_str().is_empty()
    }
}
