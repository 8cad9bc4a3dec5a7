//! An endpoint that is silent: the core is told, so that its keys find other holders. Where its process is certainly
//! over, its keys are free as soon as they are revoked.

use super::{CALL_LIMIT, releases};
use crate::node::{Pointsman, core_calls};
use crate::platform::Life;
use lineside::call::{Ask, ShardRelease};
use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::{self, Moment};
use trackbed::net::connect;

/// A heartbeat is late after so many of its periods: the endpoint's address is looked at.
const LATE_AFTER: f64 = 1.4;
/// An endpoint that missed so many heartbeats is silent; and the shortest such silence.
const HEARTBEATS_MISSED: u32 = 4;
const SHORTEST_SILENCE: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(300);
const CONNECT_LIMIT: Duration = Duration::from_millis(200);

/// Looks at the endpoint's address.
#[derive(Default)]
pub(super) struct Silence {
    is_looking: Cell<bool>,
    looked: Cell<Moment>,
}

/// Looks after an endpoint whose heartbeats are late, or that refuses connections.
pub(super) fn watch(node: &Rc<Pointsman>, life: &Life, now: Moment) {
    let silence = &node.platform.ownership.silence;
    let period = node.live.get().heartbeat;
    let silent_for = now.since(life.heard);
    let is_late = silent_for >= period.mul_f64(LATE_AFTER);
    if !is_late && !node.platform.process_end.is_refusing() {
        return;
    }
    if now.since(silence.looked.get()) < LOOK_EVERY || silence.is_looking.replace(true) {
        return;
    }
    silence.looked.set(now);
    let longest = (period * HEARTBEATS_MISSED).max(SHORTEST_SILENCE);
    let (node, life) = (node.clone(), life.clone());
    monoio::spawn(async move {
        look(&node, &life).await;
        let end = &node.platform.process_end;
        let is_same_life = node.platform.life.borrow().as_ref().is_some_and(|now| now.instance.id == life.instance.id);
        if is_late && is_same_life && (end.is_likely() || silent_for > longest) {
            let ask = Ask::EndpointSilent(life.instance.id.clone());
            core_calls::ask_core(&node, ask, CALL_LIMIT / 3).await;
        }
        if is_late && is_same_life && end.is_certain(node.live.get().bounds.hold_max()) {
            free_revoked(&node, &life);
        }
        node.platform.ownership.silence.is_looking.set(false);
    });
}

/// Whether the endpoint refuses a new connection while none to it is open.
async fn look(node: &Pointsman, life: &Life) {
    let platform = &node.platform;
    let outcome = connect(life.instance.address, CONNECT_LIMIT).await;
    platform.lines.drop_closed(life.instance.address);
    platform.ownership.drop_closed_calls();
    match outcome {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => platform.process_end.refused(clock::now()),
        _ => platform.process_end.not_refused(),
    }
}

/// The process that held them is over: what was revoked of its keys is let go, with nothing handed over.
fn free_revoked(node: &Rc<Pointsman>, life: &Life) {
    let (revoked, seen) = {
        let fleet = node.fleet.borrow();
        let assignment = fleet.shards(&life.instance.service).map(|shards| shards.assignment_of(&life.instance.id));
        (assignment.unwrap_or_default().revoked, fleet.zxid())
    };
    if revoked.is_empty() {
        return;
    }
    let ranges = revoked.iter().map(|row| (row.range, String::new())).collect();
    let (service, owner) = (life.instance.service.clone(), life.instance.id.clone());
    releases::note(node, ShardRelease { service, owner, ranges, seen });
}

#[cfg(test)]
#[path = "silence_tests.rs"]
mod tests;
