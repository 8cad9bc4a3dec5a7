//! The forecast at a core node: slots and plans are ordered by the primary, which also tells of them.

use super::{Signalbox, primary};
use crate::forecast::{Capacity, Forecaster};
use crate::ledger::Change;
use lineside::aggregation::{Reservations, SealedWindow, SealerTiming};
use lineside::call::{Ask, Reply};
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::ids::NodeName;

pub const PATH: &str = "/v1/forecast";
/// One series is fitted at a time, and the loop goes round in between.
const FIT_EVERY: Duration = Duration::from_millis(500);
const ASK_LIMIT: Duration = Duration::from_millis(900);

fn window_millis() -> u32 {
    SealerTiming::default().window.as_millis() as u32
}

/// Records a member's time of day, which comes with its part of the counts.
pub fn record_member_time(node: &Signalbox, from: &NodeName, wall_millis: u64) {
    node.forecaster.borrow_mut().time.heard(from, wall_millis, clock::now());
}

/// Takes in what was sealed here, orders what comes of it, and says what is reserved now.
pub fn sealed(node: &Signalbox, windows: &[SealedWindow], of: u32, now: Moment) -> Reservations {
    let members = node.zab.borrow().voters().len();
    let record = {
        let proposed = node.proposed.borrow();
        let Some(proposed) = proposed.as_ref() else { return Reservations::default() };
        node.forecaster.borrow_mut().sealed(windows, window_millis(), of, &proposed.history, members, now)
    };
    if let Some(record) = record {
        primary::order_change(node, Change::Slot(record));
    }
    let plan = {
        let proposed = node.proposed.borrow();
        let routes = proposed.as_ref().and_then(|proposed| proposed.fleet.routes().cloned());
        let (Some(proposed), Some(routes)) = (proposed.as_ref(), routes) else { return Reservations::default() };
        if !routes.observation.reservations {
            return Reservations::default();
        }
        node.forecaster.borrow_mut().plan(&proposed.plans, &routes, &capacity(node), members, now)
    };
    if let Some(plan) = plan {
        log::info!("room is kept in hour {} for {} services", plan.hour, plan.services.len());
        primary::order_change(node, Change::Plan(plan));
    }
    // Only what is committed is in force.
    let committed = node.committed.borrow();
    node.forecaster.borrow_mut().in_force(&committed.plans, window_millis(), members, now)
}

/// What the endpoints there are now can do in an hour.
fn capacity(node: &Signalbox) -> Capacity {
    let mut capacity = Capacity::new();
    for instance in node.committed.borrow().fleet.instances().filter(|instance| !instance.draining) {
        *capacity.entry(instance.service.as_str().to_owned()).or_default() += instance.slots as f64 * 3600.0;
    }
    capacity
}

/// Fits series, one at a time, while this node is the primary; forgets all when it no longer is.
pub async fn keep(node: Rc<Signalbox>) {
    let mut was_primary = false;
    loop {
        monoio::time::sleep(FIT_EVERY).await;
        let is_primary = node.zab.borrow().is_primary();
        if was_primary != is_primary {
            was_primary = is_primary;
            *node.forecaster.borrow_mut() = Forecaster::default();
        }
        if is_primary {
            let history = node.committed.borrow().history.clone();
            let since = |moment: Moment| Duration::from_micros(moment.micros());
            node.forecaster.borrow_mut().fit_one(&history, || since(clock::now()));
        }
    }
}

/// The forecast of this primary as JSON; none at another node, or without a majority.
pub fn report(node: &Signalbox, service: Option<&str>) -> Option<String> {
    let is_primary = node.zab.borrow().is_primary() && primary::lease_holds(node);
    is_primary.then(|| {
        let committed = node.committed.borrow();
        node.forecaster.borrow().told(&committed.history, &committed.plans, &capacity(node), service)
    })
}

/// The forecast as JSON, fetched from the primary when this node is another.
pub async fn report_anywhere(node: &Signalbox, service: Option<&str>) -> Option<String> {
    if let Some(report) = report(node, service) {
        return Some(report);
    }
    let primary = node.zab.borrow().primary()?;
    let ask = Ask::Forecast { service: service.map(str::to_owned) };
    match node.caller.call_for_much(primary.address, ask, ASK_LIMIT).await {
        Ok(Reply::Text(text)) => Some(text),
        _ => None,
    }
}
