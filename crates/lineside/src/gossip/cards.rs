//! What goes over the line in datagrams.

use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;
use trackbed::ids::{ConfigEpoch, Incarnation, InstanceId, NodeName, RegionName, ZoneName, Zxid};

#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Role {
    Core,
    /// Stands beside one endpoint.
    Beside,
    /// A gateway: home to endpoints near it.
    Gate,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Peer {
    pub name: NodeName,
    pub incarnation: Incarnation,
    pub role: Role,
    /// Where it takes datagrams, and calls over streams.
    pub address: SocketAddr,
    pub zone: ZoneName,
    pub region: RegionName,
}

/// Of two of the same incarnation the later in this list counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub enum Standing {
    Alive,
    Suspect,
    Leaving,
    Dead,
}

/// How busy the endpoint beside a node is.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Occupancy {
    pub instance: InstanceId,
    pub running: u32,
    pub queued: u32,
    pub slots: u32,
    /// Measured time of one request at the endpoint.
    pub service_micros: u32,
    /// It takes nothing now: not well, cold, draining or on its way out.
    pub closed: bool,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Card {
    pub peer: Peer,
    pub standing: Standing,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Kind {
    Ping {
        number: u64,
    },
    Ack {
        number: u64,
    },
    /// Asks a third node to probe a silent one.
    SecondOpinion {
        number: u64,
        about: SocketAddr,
    },
    /// The sender's roster, part by part: who differs in a part answers with the cards of it.
    Compare {
        parts: Vec<u32>,
    },
    /// Cards that were asked for.
    Cards,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Datagram {
    pub from: Card,
    /// How far the sender's fleet state is.
    pub fleet: Zxid,
    /// The configuration in force there.
    pub configuration: ConfigEpoch,
    /// What the sender's roster comes to, to find gaps by.
    pub roster: u64,
    pub occupancy: Option<Occupancy>,
    pub kind: Kind,
    pub news: Vec<Card>,
}
