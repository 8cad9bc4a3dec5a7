//! Keys told in answers to the endpoint's heartbeats.

use super::{Telling, releases, telling};
use crate::node::Pointsman;
use lineside::call::ShardRelease;
use lineside::holds::HeartbeatRows;
use std::rc::Rc;
use timetable::fleet::Beat;
use timetable::shards::renewable_for;
use trackbed::clock::Moment;

/// The body of the answer to a heartbeat: what the endpoint is to hold, where that is known for sure.
pub fn answer_to(node: &Rc<Pointsman>, beat: &Beat, arrived: Moment) -> String {
    if telling(node, &beat.instance.service, beat.lists_keys) != Some(Telling::ByHeartbeat) {
        return "{}".into();
    }
    let ownership = &node.platform.ownership;
    note_released(node, beat);
    let longest = node.live.get().bounds.hold_max();
    // The endpoint counts from when it sent the beat, which was before it arrived here.
    let hold = ownership.vouched.get().and_then(|vouched| renewable_for(vouched, arrived, longest));
    let Some(hold) = hold else { return "{}".into() };
    let rows = HeartbeatRows::of(node.fleet.borrow().shards(&beat.instance.service).map(Rc::as_ref), beat);
    let until = arrived + hold;
    *ownership.granted.borrow_mut() = Some(rows.ranges().map(|range| (range, until)).collect());
    format!("{{{}}}", rows.written(hold))
}

/// Keeps what the endpoint says that it has let go, until the core has taken it.
fn note_released(node: &Rc<Pointsman>, beat: &Beat) {
    if beat.released.is_empty() {
        return;
    }
    let release = ShardRelease {
        service: beat.instance.service.clone(),
        owner: beat.instance.id.clone(),
        ranges: beat.released.clone(),
        seen: node.fleet.borrow().zxid(),
    };
    releases::note(node, release);
}
