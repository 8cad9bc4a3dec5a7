//! One node of the data plane: the loop, and the state that is passed down it.

pub mod aggregation;
pub mod coordination;
pub mod core_calls;
mod doors;
mod error;
pub mod key_demand;
pub mod learn;
mod metrics;
mod mode;
mod routes_check;
mod start;
pub mod tenancy;
#[cfg(test)]
pub mod test_node;

pub use error::NodeError;
pub use metrics::{KeyMetrics, KeyRefusal, NodeMetrics};
pub use mode::Mode;
pub use routes_check::RoutesCheck;
pub use start::{Launched, launch, run};
pub use tenancy::TenantCounts;

use crate::dispatch::{Balance, Budgets, Pool};
use crate::platform::{Homes, Lines, Permits, Platform};
use aggregation::Counting;
use coordination::Coordination;
use lineside::call::Caller;
use lineside::council::{Council, OrderBook};
use lineside::gossip::Roster;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use timetable::configuration::{PlannedBy, Route, Routes};
use timetable::fleet::FleetState;
use trackbed::clock;
use trackbed::http::Pacer;
use trackbed::ids::{InstanceId, ServiceName};
use trackbed::kernel::LiveConfig;
use trackbed::net::Datagrams;
use trackbed::random::Random;

/// All that a node holds.
pub struct Pointsman {
    pub mode: Mode,
    pub live: Rc<LiveConfig>,
    /// Invariant: only moves on within one life of this process.
    pub fleet: RefCell<FleetState>,
    pub roster: RefCell<Roster>,
    pub datagrams: Datagrams,
    pub caller: Caller,
    /// The endpoint beside this node. Invariant: has no life at a gateway.
    pub platform: Rc<Platform>,
    /// Long bodies go out by it, answers and requests alike.
    pub pacer: Pacer,
    /// Connections to endpoints.
    pub lines: Rc<Lines>,
    /// One life of this process.
    pub life: u64,
    pub routes_check: RoutesCheck,
    pub council: RefCell<Council>,
    /// A coordinator's orders. Invariant: in force only while the core is not heard.
    pub book: RefCell<OrderBook>,
    pub coordination: Coordination,
    /// Slots given out to other gateways.
    pub permits: Permits,
    /// Endpoints that have nobody beside them. Invariant: empty beside an endpoint.
    pub homes: Homes,
    pub balance: RefCell<Balance>,
    pub budgets: RefCell<Budgets>,
    /// Lines to the nodes beside other endpoints.
    pub peers: Pool,
    /// Measured size of answers, by route.
    pub sizes: RefCell<HashMap<u64, f64>>,
    pub tenants: RefCell<BTreeMap<String, TenantCounts>>,
    /// What begins and ends here, counted for the fleet.
    pub counting: Counting,
    pub random: RefCell<Random>,
    /// All that was acknowledged before this process started is known here.
    pub assured: Cell<bool>,
    pub leaving: Cell<bool>,
    /// What is asked of keys, where this node is a gateway.
    pub key_demand: key_demand::KeyDemand,
    /// What this node counts of itself.
    pub metrics: NodeMetrics,
    /// News are being fetched.
    pub fetching: Cell<bool>,
}

impl Pointsman {
    /// The platform that holds a life's slots here.
    pub fn platform_of(&self, instance: &InstanceId) -> Option<Rc<Platform>> {
        match self.mode {
            Mode::Beside => Some(self.platform.clone()),
            Mode::Gateway => {
                let config = self.live.get();
                self.homes.platform(instance, &self.fleet.borrow(), &config.bounds, clock::now())
            }
        }
    }

    /// Whether this node's table contradicts a plan made elsewhere. Where both are of the same epoch one of
    /// the two is wrong: both tell the core at once, whose word counts.
    pub fn contradicts(
        &self,
        planned: &PlannedBy,
        routes: &Routes,
        found: Option<&Route>,
        service: &ServiceName,
    ) -> bool {
        let contradicted = planned.is_contradicted(routes, found, service);
        if contradicted && planned.epoch == routes.epoch {
            self.routes_check.doubt();
        }
        // A table that was found wrong and could not be mended turns nobody away.
        contradicted && !self.routes_check.is_mistrusted()
    }

    /// Seats the endpoints anew where fleet or roster moved on.
    pub fn seat_endpoints(&self) {
        if self.mode == Mode::Gateway {
            let (fleet, roster) = (self.fleet.borrow(), self.roster.borrow());
            let book = self.book.borrow();
            let gone = book.in_force().map(|order| order.gone.as_slice());
            self.homes.refresh(&fleet, &roster, gone, &self.live.get().bounds, clock::now());
        }
    }
}
