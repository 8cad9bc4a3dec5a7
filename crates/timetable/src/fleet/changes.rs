//! Changes of the fleet's state, as they are ordered.

use crate::configuration::{Configuration, Patch};
use crate::shards::ShardChange;
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use trackbed::ids::{InstanceId, NodeName, RegionName, ServiceName, ZoneName, Zxid};

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

/// One life of a node in a council.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Member {
    pub node: NodeName,
    /// Invariant: drawn anew at each start. A life that is over is never again in a council.
    pub life: u64,
    pub address: SocketAddr,
}

/// A region's council, as the core ordered it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Charter {
    pub region: RegionName,
    /// Where in the order it stands.
    pub zxid: Zxid,
    pub members: Vec<Member>,
    /// The council before this one.
    pub before: Vec<Member>,
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
    /// A region's council, one member more or one less than before.
    Council {
        region: RegionName,
        members: Vec<Member>,
    },
    /// A step of the assignment of a service's keys.
    Shards {
        service: ServiceName,
        change: ShardChange,
    },
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
