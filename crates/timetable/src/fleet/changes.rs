//! Changes of the fleet's state, as they are ordered.

use crate::configuration::{Configuration, Patch};
use crate::shards::ShardChange;
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use trackbed::ids::{InstanceId, NodeName, RegionName, ServiceName, ZoneName, Zxid};

/// One life of an endpoint.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Instance {
    /// Its id, new with each life.
    pub id: InstanceId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Invariant: one life at an address at a time.
    pub address: SocketAddr,
    /// The zone that it is in.
    pub zone: ZoneName,
    /// The node beside it, and where that takes requests for it. Invariant: where none is beside,
    /// the name is empty and the address the endpoint's own; it has a home among the gateways then.
    pub node: NodeName,
    /// Where requests for it are taken.
    pub beside: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It leaves: nothing new goes to it.
    pub draining: bool,
}

/// One life of a node in a council.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Member {
    /// The node's name.
    pub node: NodeName,
    /// Invariant: drawn anew at each start. A life that is over is never again in a council.
    pub life: u64,
    /// Where peers call it.
    pub address: SocketAddr,
}

/// A region's council, as the core ordered it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Charter {
    /// The region.
    pub region: RegionName,
    /// Where in the order it stands.
    pub zxid: Zxid,
    /// Who sits in it.
    pub members: Vec<Member>,
    /// The council before this one.
    pub before: Vec<Member>,
}

/// What an operator ordered.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum ConfigChange {
    /// A whole configuration.
    Whole(Configuration),
    /// A change of named items.
    Patch(Patch),
}

/// One change of the fleet's state.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum FleetChange {
    /// `digest` names the very call, so that its repeat is known.
    Configure {
        /// What was ordered.
        change: ConfigChange,
        /// Names the very call.
        digest: u128,
    },
    /// An endpoint is there, or says something new of itself.
    Register(Instance),
    /// A life is over, or has signed off.
    End(InstanceId),
    /// Silent for so long that it counts as gone. Invariant: a life that speaks again is taken back.
    Lost(InstanceId),
    /// A region's council, one member more or one less than before.
    Council {
        /// The region.
        region: RegionName,
        /// Who sits in it from now on.
        members: Vec<Member>,
    },
    /// A step of the assignment of a service's keys.
    Shards {
        /// The service.
        service: ServiceName,
        /// The step.
        change: ShardChange,
    },
    /// Nothing more is to go to the endpoints of a zone.
    Evacuate(ZoneName),
    /// A zone's evacuation is taken back.
    EndEvacuation(ZoneName),
}

impl Instance {
    /// The name that stands where no node is beside an endpoint.
    pub fn nobody() -> NodeName {
        NodeName::new("")
    }

    /// Whether a node is beside it.
    pub fn has_node_beside(&self) -> bool {
        !self.node.as_str().is_empty()
    }
}
