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
    /// Reached only from its own machine. Invariant: one life at an address at a time.
    pub address: SocketAddr,
    pub zone: ZoneName,
    /// The node beside it, and where that takes requests for it.
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
}
