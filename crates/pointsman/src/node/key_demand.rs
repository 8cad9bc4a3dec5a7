//! What is asked of keys at a gateway. No node stands beside the endpoints, so each gateway tells the core what begins at
//! it, and how long requests take at the endpoints that are at home here.

use super::{Pointsman, core_calls};
use lineside::call::{Ask, KEYS_IN_BUCKET, ShardDemand};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::ids::ServiceName;

const TELL_EVERY: Duration = Duration::from_millis(2000);
const TELL_LIMIT: Duration = Duration::from_millis(500);

/// Requests that began here since the last telling, by service and bucket of keys.
#[derive(Default)]
pub struct KeyDemand {
    requests: RefCell<BTreeMap<ServiceName, BTreeMap<u16, u32>>>,
    told: Cell<Moment>,
}

impl KeyDemand {
    /// A request for a key began here.
    pub fn began(&self, service: &ServiceName, key: u16) {
        let mut requests = self.requests.borrow_mut();
        if !requests.contains_key(service) {
            requests.insert(service.clone(), BTreeMap::new());
        }
        if let Some(buckets) = requests.get_mut(service) {
            *buckets.entry(key / KEYS_IN_BUCKET).or_default() += 1;
        }
    }
}

/// Tells the core every two seconds; nobody waits for it.
pub async fn keep(node: Rc<Pointsman>) {
    loop {
        monoio::time::sleep(TELL_EVERY).await;
        let now = clock::now();
        let window = now.since(node.key_demand.told.replace(now));
        let mut requests = std::mem::take(&mut *node.key_demand.requests.borrow_mut());
        for service in divided_services(&node) {
            let buckets = requests.remove(&service).unwrap_or_default();
            let demand = ShardDemand {
                from: node.live.get().node_name.clone(),
                service_micros: node.homes.mean_micros(&service),
                service,
                window_millis: window.as_millis().min(u32::MAX as u128) as u32,
                requests: buckets.into_iter().collect(),
            };
            if window <= TELL_EVERY * 4 {
                core_calls::ask_core(&node, Ask::ShardDemand(demand), TELL_LIMIT).await;
            }
        }
    }
}

fn divided_services(node: &Pointsman) -> Vec<ServiceName> {
    let fleet = node.fleet.borrow();
    let services = fleet.routes().into_iter().flat_map(|routes| routes.services());
    services.filter(|(_, service)| service.sharded).map(|(name, _)| ServiceName::new(name)).collect()
}
