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
use trackbed::clock::Moment;
use trackbed::net::connect;

/// A heartbeat is late after so many of its periods: the endpoint's address is looked at.
const LATE_AFTER: f64 = 1.4;
/// An endpoint that missed so many heartbeats is silent; and the shortest such silence.
const HEARTBEATS_MISSED: u32 = 4;
const SHORTEST_SILENCE: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(300);
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// Connections refused in a row that show that nobody listens any more.
const REFUSALS_WANTED: u32 = 2;

/// What looks at the endpoint's address have shown.
#[derive(Default)]
pub(super) struct Silence {
    refused: Cell<u32>,
    is_looking: Cell<bool>,
    looked: Cell<Moment>,
}

impl Silence {
    fn heard(&self) {
        self.refused.set(0);
    }

    fn is_over(&self) -> bool {
        self.refused.get() >= REFUSALS_WANTED
    }
}

/// Looks after an endpoint whose heartbeats are late.
pub(super) fn watch(node: &Rc<Pointsman>, life: &Life, now: Moment) {
    let silence = &node.platform.ownership.silence;
    let period = node.live.get().heartbeat;
    let silent_for = now.since(life.heard);
    if silent_for < period.mul_f64(LATE_AFTER) {
        return silence.heard();
    }
    if now.since(silence.looked.get()) < LOOK_EVERY || silence.is_looking.replace(true) {
        return;
    }
    silence.looked.set(now);
    let longest = (period * HEARTBEATS_MISSED).max(SHORTEST_SILENCE);
    let (node, life) = (node.clone(), life.clone());
    monoio::spawn(async move {
        look(&node, &life).await;
        let silence = &node.platform.ownership.silence;
        if silence.is_over() || silent_for > longest {
            let ask = Ask::EndpointSilent(life.instance.id.clone());
            core_calls::ask_core(&node, ask, CALL_LIMIT / 3).await;
        }
        if silence.is_over() {
            free_revoked(&node, &life);
        }
        silence.is_looking.set(false);
    });
}

/// Whether anybody listens at the endpoint's address. Only an open refusal counts: a process that is frozen is not over.
async fn look(node: &Pointsman, life: &Life) {
    let silence = &node.platform.ownership.silence;
    match connect(life.instance.address, CONNECT_LIMIT).await {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => silence.refused.set(silence.refused.get() + 1),
        _ => silence.heard(),
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
