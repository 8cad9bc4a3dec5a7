//! One core node: the loop, and the state that is passed down it.

mod aggregation;
mod beats;
mod calls;
mod configuration_turns;
mod councils;
mod disk;
mod endpoint_keys;
mod error;
mod fitness;
mod fleet_view;
mod forecast;
mod inspection;
mod listeners;
mod majority;
mod members;
mod memory;
mod metrics;
mod peers;
mod primary;
mod shard_invariant;
mod shards;
mod stall;
mod start;
mod turn;

pub use error::NodeError;
pub use start::run;

use crate::forecast::Forecaster;
use crate::ledger::Ledger;
use crate::node::calls::OpenCalls;
use crate::node::configuration_turns::ConfigurationTurns;
use crate::node::disk::Write;
use crate::node::majority::Majority;
use crate::node::stall::StallWatch;
use crate::replica::Replica;
use interlocking::zab::Zab;
use lineside::call::{Caller, Complaints};
use lineside::gossip::{Peer, Roster};
use lineside::inspection::{Inspector, RoutesReport};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use timetable::configuration::TableDigest;
use trackbed::clock::Moment;
use trackbed::ids::Zxid;
use trackbed::kernel::LiveConfig;
use trackbed::net::Datagrams;

/// All that a core node holds.
pub struct Signalbox {
    pub live: Rc<LiveConfig>,
    /// Decides every call, and holds the order of changes with the state they make.
    pub replica: RefCell<Replica>,
    /// The replica's own, for the duties that read it.
    pub zab: Rc<RefCell<Zab>>,
    pub disk: mpsc::Sender<Write>,
    pub caller: Caller,
    /// Carries Zab's messages, on streams of their own: a long call must not hold up a heartbeat.
    pub replication: Caller,
    pub roster: RefCell<Roster>,
    pub datagrams: Datagrams,
    /// The replica's committed state.
    pub committed: Rc<RefCell<Ledger>>,
    /// The committed state with all proposals applied. Invariant: present only while this node is the primary.
    pub proposed: Rc<RefCell<Option<Ledger>>>,
    /// Calls that the replica has not finished yet.
    pub calls: OpenCalls,
    /// Calls about the configuration, of which one is decided at a time.
    pub configuration_turns: ConfigurationTurns,
    /// Heartbeats of endpoints: those received here and, at the primary, those of all core nodes.
    pub heartbeats: RefCell<beats::EndpointHeartbeats>,
    /// Where peers call this node.
    pub own_address: SocketAddr,
    /// Judges proxies' tables. At nodes other than the primary it holds what the primary knows.
    pub inspector: RefCell<Inspector>,
    /// What the table in force comes to.
    pub meant: RefCell<Option<TableDigest>>,
    /// Proxies' reports that the primary has not been told of yet.
    pub reports: RefCell<Vec<(RoutesReport, Moment)>>,
    /// The fleet's counts, as they are gathered and sealed.
    pub aggregation: aggregation::Aggregation,
    /// Only at the primary does it hold anything.
    pub forecaster: RefCell<Forecaster>,
    /// Peers that leave datagrams unanswered, to be probed over a stream.
    pub to_probe_over_stream: RefCell<Vec<Peer>>,
    pub next_members: Cell<Moment>,
    pub leaving: Cell<bool>,
    pub majority: RefCell<Majority>,
    /// Whether this process stood still.
    pub stall: RefCell<StallWatch>,
    /// Messages of members that can't be read.
    pub complaints: Complaints,
    /// What the primary knows of services divided by key, beyond the log.
    pub sharding: shards::Sharding,
    /// What this node counts of itself.
    pub metrics: metrics::NodeMetrics,
    /// Which endpoints may hold keys.
    pub fitness: fitness::Fitness,
    /// Keys of endpoints that have no node beside them.
    pub endpoint_keys: endpoint_keys::EndpointKeys,
    /// When a primary was last asked how far its committed state goes, and what it said.
    pub assurance: Cell<Option<(Moment, Zxid)>>,
}
