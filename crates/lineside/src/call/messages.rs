//! What is asked and answered.

use crate::aggregation::{Counted, CountedTaken, Part, PartsTaken, ReportTold, WindowId};
use crate::council::{Fact, Fence, Grant, GrantAsk, Order};
use crate::gossip::Occupancy;
use crate::inspection::{DriftRecord, RoutesReport};
use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use std::net::SocketAddr;
use timetable::configuration::{Entry, PlannedBy};
use timetable::fleet::{FleetNews, Instance};
use timetable::shards::KeyRange;
use trackbed::ids::{InstanceId, MemberId, NodeName, ServiceName, Zxid};

/// A call of the operator or an application, as one node passes it to another.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ControlCall {
    pub method: String,
    pub path: String,
    pub query: String,
    pub if_match: Option<String>,
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ControlReturn {
    pub status: u16,
    pub body: String,
    pub retry_after_millis: Option<u32>,
}

impl ControlReturn {
    pub fn new(status: u16, body: String) -> Self {
        Self { status, body, retry_after_millis: None }
    }

    pub fn fault(status: u16, message: &str) -> Self {
        Self::new(status, format!("{{\"error_message\":\"{}\"}}", trackbed::logs::escape(message)))
    }

    /// Nothing was done and nothing will be.
    pub fn not_now(message: &str) -> Self {
        Self { retry_after_millis: Some(200), ..Self::fault(503, message) }
    }

    /// Whether it was done can't be told.
    pub fn unknown() -> Self {
        Self::fault(504, "whether this took effect is not known here: ask again")
    }
}

/// A slot of an endpoint that is at home at the asked node.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Permit {
    pub instance: InstanceId,
    pub priority: u8,
    pub sort: u64,
    pub horizon_millis: u32,
    pub target_millis: u32,
    pub patience_millis: u32,
    /// The route that it was planned by, and where that stands.
    pub planned: PlannedBy,
    pub hostname: String,
    pub prefix: String,
    /// Regions that may handle the request, where not all may.
    pub regions: Option<String>,
}

/// Keys whose load is told together.
pub const KEYS_IN_BUCKET: u16 = 64;

/// What the node beside an endpoint of a sharded service measured.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ShardLoad {
    pub service: ServiceName,
    pub instance: InstanceId,
    pub window_millis: u32,
    /// Mean time of one request at the endpoint; zero where none was measured.
    pub service_micros: u32,
    /// The keys that the endpoint held in the whole window: only of these is all known that was asked.
    pub covered: Vec<KeyRange>,
    /// Requests asked for in the window, by bucket of keys; none for covered buckets that are not named.
    pub requests: Vec<(u16, u32)>,
}

/// What a gateway saw of a sharded service whose endpoints have no node beside them.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ShardDemand {
    pub from: NodeName,
    pub service: ServiceName,
    pub window_millis: u32,
    /// Requests that began there in the window, by bucket of keys; none for those that are not named.
    pub requests: Vec<(u16, u32)>,
    /// Mean time of one request at each endpoint that is at home there, where one was measured.
    pub service_micros: Vec<(InstanceId, u32)>,
}

/// An endpoint has let go of keys that it was to let go.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ShardRelease {
    pub service: ServiceName,
    pub owner: InstanceId,
    /// Each with what the endpoint hands over.
    pub ranges: Vec<(KeyRange, String)>,
    /// How far the ordered state was known when the endpoint was told to let go.
    pub seen: Zxid,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Ask {
    /// What came after `since`; `assured` wants all that was acknowledged before the call.
    News {
        since: Zxid,
        assured: bool,
    },
    /// Is anybody there?
    Knock,
    Permit(Permit),
    /// The whole state, all that was acknowledged in it, for a node whose own is in doubt.
    Whole,
    /// Asks a member of the region's council for a lease.
    Grant(GrantAsk),
    /// A coordinator's order.
    Order(Order),
    /// For the coordinator: what the core could not be told.
    Fact(Fact),
    /// What a proxy's table comes to.
    Routes(RoutesReport),
    /// The same as other core nodes heard it, each with how many milliseconds ago.
    RoutesHeard(Vec<(RoutesReport, u32)>),
    /// What stands in the table with that root where it differs from these leaves.
    RoutesDetail {
        root: u64,
        leaves: Vec<u64>,
    },
    /// What the primary makes of all proxies, as JSON.
    RoutesVerdicts,
    /// How far the primary's committed state is, under its lease.
    Assure,
    Register(Instance),
    SignOff(InstanceId),
    /// Only a primary answers; anyone else says that it isn't one.
    Control(ControlCall),
    /// The endpoints that spoke at a core node since it last told, by hash of their ids.
    Heard {
        from: SocketAddr,
        heard: Vec<u64>,
    },
    /// What a node counted, for its collector.
    Counted(Counted),
    /// What a collector merged, for the primary; with the newest report and sealed window that it has.
    Parts {
        from: NodeName,
        parts: Vec<Part>,
        known: WindowId,
        sealed: WindowId,
        /// The time of day there, in milliseconds since 1970: the core goes by what most of it has.
        wall_millis: u64,
    },
    /// A newer report of the fleet's counts than this, if there is one.
    Report {
        known: WindowId,
    },
    /// What the primary foresees, as JSON.
    Forecast {
        service: Option<String>,
    },
    /// A member of the core is about to end: done once a majority of the others holds all that was acknowledged.
    HandOver {
        member: MemberId,
        /// How long the asker waits, in milliseconds.
        limit: u32,
    },
    /// What came after `since`, and how old the primary's word is that this is all.
    FreshNews {
        since: Zxid,
    },
    ShardLoad(ShardLoad),
    ShardRelease(ShardRelease),
    ShardDemand(ShardDemand),
    /// The endpoint beside the asker, of a service divided by key, is silent.
    EndpointSilent(InstanceId),
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Reply {
    News {
        news: Option<FleetNews>,
        zxid: Zxid,
    },
    Control(ControlReturn),
    Done,
    /// All that was acknowledged is at or before this.
    Upto(Zxid),
    Grant(Grant),
    /// An order was not taken: a higher right is known.
    Refused(Fence),
    /// The table is not what was meant: fetch the whole anew.
    OutOfStep,
    Drifts(Vec<DriftRecord>),
    RoutesDetail(Vec<Entry>),
    Text(String),
    /// The slot is the asker's until it releases it, or the horizon has passed.
    Permitted {
        number: u64,
        occupancy: Option<Occupancy>,
    },
    /// No slot: that life is not taken on here, or there is none in time.
    NotTaken {
        gone: bool,
        stale: bool,
        free_in_millis: u32,
        occupancy: Option<Occupancy>,
    },
    /// Nothing was done and nothing will be.
    NotNow(String),
    /// Whether it was done can't be told.
    Unknown,
    Counted(CountedTaken),
    Parts(PartsTaken),
    Report(Option<ReportTold>),
    /// All that a primary had committed when it was asked, under its lease, so many milliseconds before this reply.
    FreshNews {
        news: Option<FleetNews>,
        /// How far that brings the asker.
        zxid: Zxid,
        age_millis: u32,
    },
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerMessage {
    /// A message of Zab, which has its own encoding.
    Zab(Vec<u8>),
    Ask {
        number: u64,
        ask: Ask,
    },
    Reply {
        number: u64,
        reply: Reply,
    },
    /// The request that a slot was given for has ended, and what it showed.
    Release {
        number: u64,
        sign: u8,
        span_micros: u32,
    },
}

/// What a message that can't be read was about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum UnknownMessage {
    Ask(u64),
    Reply(u64),
    Other,
}

impl UnknownMessage {
    /// The kind's byte and the number come first, and stay where they are in later versions.
    pub fn read(body: &[u8]) -> Self {
        let number = body.get(1..9).and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes);
        match (body.first(), number) {
            (Some(1), Some(number)) => Self::Ask(number),
            (Some(2), Some(number)) => Self::Reply(number),
            _ => Self::Other,
        }
    }
}
