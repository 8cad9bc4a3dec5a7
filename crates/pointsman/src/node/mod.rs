//! One node beside an endpoint: the loop, and the state that is passed down it.

pub mod core_calls;
mod doors;
mod error;
mod learn;
mod start;
pub mod tenancy;

pub use error::NodeError;
pub use start::run;
pub use tenancy::TenantCounts;

use crate::dispatch::{Balance, Budgets, Pool};
use crate::platform::Platform;
use lineside::call::Caller;
use lineside::gossip::Roster;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use timetable::fleet::FleetState;
use trackbed::kernel::LiveConfig;
use trackbed::net::Datagrams;
use trackbed::random::Random;

/// All that a node beside an endpoint holds.
pub struct Pointsman {
    pub live: Rc<LiveConfig>,
    /// Invariant: only moves on within one life of this process.
    pub fleet: RefCell<FleetState>,
    pub roster: RefCell<Roster>,
    pub datagrams: Datagrams,
    pub caller: Caller,
    pub platform: Platform,
    pub balance: RefCell<Balance>,
    pub budgets: RefCell<Budgets>,
    /// Lines to the nodes beside other endpoints.
    pub siblings: Pool,
    /// Measured size of answers, by route.
    pub sizes: RefCell<HashMap<u64, f64>>,
    pub tenants: RefCell<BTreeMap<String, TenantCounts>>,
    pub random: RefCell<Random>,
    /// All that was acknowledged before this process started is known here.
    pub assured: Cell<bool>,
    pub leaving: Cell<bool>,
    /// News are being fetched.
    pub fetching: Cell<bool>,
}
