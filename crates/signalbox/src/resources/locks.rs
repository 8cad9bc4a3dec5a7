//! Locks: one holder at a time, by fences that only rise.

use super::{Body, Decision, Desk, Resource, ResourcePlug, bad, not_allowed};
use crate::ledger::Change;
use lineside::call::{ControlCall, ControlReturn};
use std::time::Duration;

struct Locks;
inventory::submit! { ResourcePlug(&Locks) }

fn granted(fence: u64) -> ControlReturn {
    ControlReturn::new(200, format!("{{\"fence_token\":{fence}}}"))
}

fn held() -> ControlReturn {
    ControlReturn::fault(409, "another holds this lock: ask again later")
}

impl Resource for Locks {
    fn prefix(&self) -> &'static str {
        "/v1/locks/"
    }

    fn decide(&self, name: &str, call: &ControlCall, desk: Desk<'_>) -> Decision {
        let Some(body) = Body::read(&call.body) else {
            return bad("the body is not JSON");
        };
        let Some(holder) = body.text("holder").filter(|holder| !holder.is_empty()) else {
            return bad("holder is missing: name the caller");
        };
        match call.method.as_str() {
            "POST" => match body.millis("hold_s") {
                Some(hold_millis) => take(name, holder, hold_millis, desk),
                None => bad("hold_s is missing: give a time in seconds"),
            },
            "PUT" => match (body.number("fence_token"), body.millis("hold_s")) {
                (Some(fence), Some(hold_millis)) => renew(name, holder, fence, hold_millis, desk),
                _ => bad("fence_token or hold_s is missing"),
            },
            "DELETE" => match body.number("fence_token") {
                Some(fence) => release(name, holder, fence, desk),
                None => bad("fence_token is missing"),
            },
            _ => not_allowed(),
        }
    }
}

/// The holder's time runs from now at least, whatever was granted before.
fn extend(name: &str, hold_millis: u64, desk: &mut Desk<'_>) {
    let until = desk.now + Duration::from_millis(hold_millis);
    let known = desk.holds.entry(name.to_owned()).or_insert(until);
    *known = (*known).max(until);
}

fn take(name: &str, holder: &str, hold_millis: u64, mut desk: Desk<'_>) -> Decision {
    if let Some(record) = desk.ahead.locks.get(name) {
        if record.holder == holder {
            let fence = record.fence;
            let known = record.hold_millis;
            extend(name, hold_millis, &mut desk);
            return lengthened(name, holder, fence, known, hold_millis);
        }
        if desk.holds.get(name).is_none_or(|until| desk.now <= *until) {
            return Decision::Settled(held());
        }
    }
    let fence = desk.ahead.last_fence + 1;
    // A new holder's time starts here; the last one's has run out.
    desk.holds.insert(name.to_owned(), desk.now + Duration::from_millis(hold_millis));
    let change = Change::LockTaken { lock: name.to_owned(), holder: holder.to_owned(), fence, hold_millis };
    Decision::Propose(Box::new(change), granted(fence))
}

/// A hold longer than the ordered one is ordered too: the next primary must count it.
fn lengthened(name: &str, holder: &str, fence: u64, known: u64, hold_millis: u64) -> Decision {
    if hold_millis <= known {
        return Decision::Settled(granted(fence));
    }
    let change = Change::LockTaken { lock: name.to_owned(), holder: holder.to_owned(), fence, hold_millis };
    Decision::Propose(Box::new(change), granted(fence))
}

fn renew(name: &str, holder: &str, fence: u64, hold_millis: u64, mut desk: Desk<'_>) -> Decision {
    match desk.ahead.locks.get(name) {
        Some(record) if record.holder == holder && record.fence == fence => {
            let known = record.hold_millis;
            extend(name, hold_millis, &mut desk);
            lengthened(name, holder, fence, known, hold_millis)
        }
        _ => Decision::Settled(ControlReturn::fault(409, "this lock is lost: take it anew")),
    }
}

fn release(name: &str, holder: &str, fence: u64, desk: Desk<'_>) -> Decision {
    let done = ControlReturn::new(200, "{}".into());
    match desk.ahead.locks.get(name) {
        Some(record) if record.holder == holder && record.fence == fence => {
            Decision::Propose(Box::new(Change::LockFreed { lock: name.to_owned(), fence }), done)
        }
        _ => Decision::Settled(done),
    }
}
