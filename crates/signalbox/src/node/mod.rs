//! One core node: the loop, and the state that is passed down it.

mod aggregation;
mod beats;
mod councils;
mod disk;
mod doors;
mod error;
mod fleet_view;
mod forecast;
mod inspection;
mod members;
mod peers;
mod primary;
mod start;
mod turn;

pub use error::NodeError;
pub use start::run;

use crate::forecast::Forecaster;
use crate::ledger::Ledger;
use crate::node::disk::Write;
use futures_channel::oneshot;
use interlocking::zab::Zab;
use lineside::call::Caller;
use lineside::gossip::{Peer, Roster};
use lineside::inspection::{Inspector, RoutesReport};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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
    pub zab: RefCell<Zab>,
    pub disk: mpsc::Sender<Write>,
    pub caller: Caller,
    pub roster: RefCell<Roster>,
    pub datagrams: Datagrams,
    /// Invariant: exactly what Zab delivered here.
    pub settled: RefCell<Ledger>,
    /// Invariant: only while this node is the primary; `settled` and all that was proposed since.
    pub ahead: RefCell<Option<Ledger>>,
    /// Until when each holder may count itself holder. Only while this node is the primary.
    pub holds: RefCell<BTreeMap<String, Moment>>,
    /// Who waits for a transaction to be delivered.
    pub waiting: RefCell<BTreeMap<Zxid, Vec<oneshot::Sender<()>>>>,
    /// Who waits for something new in a group of keys.
    pub watchers: RefCell<BTreeMap<String, Vec<oneshot::Sender<()>>>>,
    /// Weight of the history when the last image was written.
    pub imaged_weight: Cell<usize>,
    /// Which endpoints spoke here, and at the primary anywhere.
    pub heard: RefCell<beats::Heard>,
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
    /// Silent peers to be asked over a stream.
    pub to_knock: RefCell<Vec<Peer>>,
    pub next_members: Cell<Moment>,
    pub leaving: Cell<bool>,
}
