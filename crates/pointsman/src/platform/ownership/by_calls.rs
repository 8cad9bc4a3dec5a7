//! Keys told by calls to the endpoint.

use super::releases;
use crate::node::Pointsman;
use lineside::call::ShardRelease;
use lineside::holds::{EndpointRelease, HoldDriver, HoldMetrics, HoldSource, HoldTerms};
use std::rc::Rc;
use timetable::fleet::Instance;
use timetable::shards::Assignment;
use trackbed::ids::{InstanceId, ServiceName};

/// What the calls to the endpoint go by, and their driver.
pub(super) struct EndpointCalls {
    source: Rc<NodeSource>,
    driver: Rc<HoldDriver>,
}

impl EndpointCalls {
    pub(super) fn drop_closed(&self) {
        self.driver.drop_closed();
    }
}

struct NodeSource {
    node: Rc<Pointsman>,
    service: ServiceName,
}

impl HoldSource for NodeSource {
    fn assignment(&self, endpoint: &InstanceId) -> Assignment {
        let fleet = self.node.fleet.borrow();
        fleet.shards(&self.service).map(|shards| shards.assignment_of(endpoint)).unwrap_or_default()
    }

    fn terms(&self) -> HoldTerms {
        HoldTerms {
            vouched: self.node.platform.ownership.vouched.get(),
            hold_max: self.node.live.get().bounds.hold_max(),
            known: self.node.fleet.borrow().zxid(),
        }
    }

    fn released(&self, endpoint: &InstanceId, release: EndpointRelease) {
        let EndpointRelease { range, handover, seen } = release;
        let (service, owner) = (self.service.clone(), endpoint.clone());
        releases::note(&self.node, ShardRelease { service, owner, ranges: vec![(range, handover)], seen });
    }

    fn metrics(&self) -> &HoldMetrics {
        &self.node.metrics.holds
    }
}

/// Makes the calls that the endpoint is due, and takes over what it is known to hold.
pub(super) fn step(node: &Rc<Pointsman>, instance: &Instance) {
    let ownership = &node.platform.ownership;
    let mut calls = ownership.calls.borrow_mut();
    let is_same_life = calls.as_ref().is_some_and(|calls| *calls.driver.endpoint() == instance.id);
    if !is_same_life {
        let source = Rc::new(NodeSource { node: node.clone(), service: instance.service.clone() });
        let connections = node.platform.process_end.connections().clone();
        let driver = HoldDriver::new(instance.id.clone(), instance.address, connections);
        *calls = Some(EndpointCalls { source, driver });
    }
    let Some(EndpointCalls { source, driver }) = calls.as_ref() else { return };
    driver.step(source);
    let held = driver.held();
    // Before the first call was answered, a process that started anew doesn't know what its endpoint holds.
    if !held.is_empty() || ownership.granted.borrow().is_some() {
        *ownership.granted.borrow_mut() = Some(held);
    }
}
