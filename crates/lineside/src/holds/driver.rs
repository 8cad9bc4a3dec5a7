//! Carries out the calls that one life of an endpoint is due.

use super::calls::{CallOutcome, EndpointRelease, HoldCall, HoldCalls, HoldTerms};
use super::metrics::HoldMetrics;
use super::wire::call_endpoint;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use timetable::shards::{Assignment, KeyRange};
use trackbed::clock::{self, Moment};
use trackbed::http::{Client, OpenConnections};
use trackbed::ids::InstanceId;

/// Where a driver learns what its endpoint is to hold, and tells what it has let go.
pub trait HoldSource {
    /// What the ordered state says now of the endpoint's keys.
    fn assignment(&self, endpoint: &InstanceId) -> Assignment;
    /// By what holds may be granted now.
    fn terms(&self) -> HoldTerms;
    /// The endpoint has let go of keys: the core is to be told.
    fn released(&self, endpoint: &InstanceId, release: EndpointRelease);
    /// Where calls are counted.
    fn metrics(&self) -> &HoldMetrics;
}

/// The calls to one life of an endpoint, and the connection that grants go over.
pub struct HoldDriver {
    endpoint: InstanceId,
    address: SocketAddr,
    /// Where its connections to the endpoint are counted.
    connections: Rc<OpenConnections>,
    calls: RefCell<HoldCalls>,
    grants: RefCell<Option<Client>>,
    is_granting: Cell<bool>,
}

impl HoldDriver {
    /// For a life whose process listens at an address. Its connections are counted among `connections`.
    pub fn new(endpoint: InstanceId, address: SocketAddr, connections: Rc<OpenConnections>) -> Rc<Self> {
        let grants = RefCell::new(Some(Client::counted(address, connections.clone())));
        let (calls, is_granting) = (RefCell::default(), Cell::new(false));
        Rc::new(Self { endpoint, address, connections, calls, grants, is_granting })
    }

    fn client(&self) -> Client {
        Client::counted(self.address, self.connections.clone())
    }

    /// Lets go of the connection that is kept for calls, where the endpoint has closed it.
    pub fn drop_closed(&self) {
        if let Some(client) = self.grants.borrow_mut().as_mut() {
            client.drop_closed();
        }
    }

    /// The life that is called.
    pub fn endpoint(&self) -> &InstanceId {
        &self.endpoint
    }

    /// What the endpoint is known to hold, each range until when at least.
    pub fn held(&self) -> Vec<(KeyRange, Moment)> {
        self.calls.borrow().held()
    }

    /// Starts the calls that are due now. Releases go side by side, as each waits for the work on its keys; grants one
    /// after the other over one connection.
    pub fn step<S: HoldSource + 'static>(self: &Rc<Self>, source: &Rc<S>) {
        if self.is_granting.get() {
            return;
        }
        let assignment = source.assignment(&self.endpoint);
        let now = clock::now();
        let terms = source.terms();
        for release in self.calls.borrow_mut().run_out(&assignment, terms, now) {
            source.released(&self.endpoint, release);
        }
        let due = self.calls.borrow_mut().due(&assignment, terms, now);
        let (grants, releases): (Vec<HoldCall>, Vec<HoldCall>) =
            due.into_iter().partition(|call| matches!(call, HoldCall::Grant { .. }));
        for release in releases {
            let (driver, source) = (self.clone(), source.clone());
            monoio::spawn(async move {
                let mut client = driver.client();
                driver.make(&mut client, &release, now, &*source).await;
            });
        }
        if grants.is_empty() {
            return;
        }
        self.is_granting.set(true);
        let (driver, source) = (self.clone(), source.clone());
        monoio::spawn(async move {
            let mut client = driver.grants.borrow_mut().take().unwrap_or_else(|| driver.client());
            for grant in grants {
                driver.make(&mut client, &grant, now, &*source).await;
            }
            *driver.grants.borrow_mut() = Some(client);
            driver.is_granting.set(false);
        });
    }

    /// Makes a call that was due at a moment. Holds are reckoned from then, however long the calls before it took.
    async fn make<S: HoldSource>(&self, client: &mut Client, call: &HoldCall, due: Moment, source: &S) {
        let outcome = match call.made_later(clock::now().since(due)) {
            Some(call) => call_endpoint(client, &self.endpoint, &call).await,
            None => CallOutcome::NotSent,
        };
        source.metrics().count(call, &outcome);
        let assignment = source.assignment(&self.endpoint);
        let hold_max = source.terms().hold_max;
        let now = clock::now();
        let released = self.calls.borrow_mut().answered(call, &outcome, &assignment, hold_max, due, now);
        if let Some(release) = released {
            source.released(&self.endpoint, release);
        }
    }
}
