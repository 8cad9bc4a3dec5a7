//! Locks: one holder at a time, by fences that rise with each take, also of the same holder.

use super::lock_metrics::LockOutcome;
use super::{Body, Context, Decision, Resource, ResourcePlug, bad, not_allowed};
use crate::ledger::{Change, LockRecord};
use lineside::call::{ControlCall, ControlReturn};
use std::time::Duration;
use trackbed::clock::Moment;

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

    fn decide(&self, name: &str, call: &ControlCall, context: Context<'_>) -> Decision {
        let Some(body) = Body::read(&call.body) else {
            return bad("the body is not JSON");
        };
        let Some(holder) = body.text("holder").filter(|holder| !holder.is_empty()) else {
            return bad("holder is missing: name the caller");
        };
        match call.method.as_str() {
            "POST" => match body.millis("hold_s") {
                Some(hold_millis) => take(name, holder, hold_millis, context),
                None => bad("hold_s is missing: give a time in seconds"),
            },
            "PUT" => match (body.number("fence_token"), body.millis("hold_s")) {
                (Some(fence), Some(hold_millis)) => renew(name, holder, fence, hold_millis, context),
                _ => bad("fence_token or hold_s is missing"),
            },
            "DELETE" => match body.number("fence_token") {
                Some(fence) => release(name, holder, fence, context),
                None => bad("fence_token is missing"),
            },
            _ => not_allowed(),
        }
    }
}

/// Clocks of a holder and of a primary run at speeds that differ by less than this share.
const CLOCK_ALLOWANCE: f64 = 0.01;

/// When a holder's time is over on this clock, though its own may run more slowly.
fn held_until(now: Moment, hold_millis: u64) -> Moment {
    now + Duration::from_millis(hold_millis).mul_f64(1.0 + CLOCK_ALLOWANCE)
}

/// What a primary knows of a lock's hold beyond the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Until when the holder may count itself holder. Invariant: never moves back for a holder.
    until: Moment,
    /// The first fence that this primary knows the holder to have been given in this hold.
    first_fence: u64,
}

impl Hold {
    /// A hold that a new primary counts anew.
    pub fn counted_from(now: Moment, record: &LockRecord) -> Self {
        Self { until: held_until(now, record.hold_millis), first_fence: record.fence }
    }

    /// The holder's time runs from now at least, whatever was granted before.
    fn extend(&mut self, now: Moment, hold_millis: u64) {
        self.until = self.until.max(held_until(now, hold_millis));
    }
}

fn take(name: &str, holder: &str, hold_millis: u64, mut context: Context<'_>) -> Decision {
    let fence = context.proposed.last_fence + 1;
    if let Some(record) = context.proposed.locks.get(name) {
        if record.holder == holder {
            return take_again(name, record, fence, hold_millis, &mut context);
        }
        if context.holds.get(name).is_none_or(|hold| context.now <= hold.until) {
            context.lock_metrics.decided(LockOutcome::Refused, name, holder, record.fence);
            return Decision::Committed(held());
        }
    }
    // A new holder's time starts here; the last one's has run out.
    let until = held_until(context.now, hold_millis);
    context.holds.insert(name.to_owned(), Hold { until, first_fence: fence });
    context.lock_metrics.decided(LockOutcome::Taken, name, holder, fence);
    propose(name, holder, fence, hold_millis)
}

/// The holder takes its lock once more. It may have given it back by a call that is still under way, under the fence
/// that it had: with a higher one, that call frees nothing.
fn take_again(name: &str, record: &LockRecord, fence: u64, hold_millis: u64, context: &mut Context<'_>) -> Decision {
    extend(name, record, hold_millis, context);
    context.lock_metrics.decided(LockOutcome::TakenAgain, name, &record.holder, fence);
    propose(name, &record.holder, fence, hold_millis.max(record.hold_millis))
}

fn propose(name: &str, holder: &str, fence: u64, hold_millis: u64) -> Decision {
    let change = Change::LockTaken { lock: name.to_owned(), holder: holder.to_owned(), fence, hold_millis };
    Decision::Propose(Box::new(change), granted(fence))
}

fn extend(name: &str, record: &LockRecord, hold_millis: u64, context: &mut Context<'_>) {
    let now = context.now;
    let hold = context.holds.entry(name.to_owned()).or_insert_with(|| Hold::counted_from(now, record));
    hold.extend(now, hold_millis);
}

/// Whether a fence was given to the present holder in its present hold.
fn is_of_hold(name: &str, record: &LockRecord, fence: u64, context: &Context<'_>) -> bool {
    let first = context.holds.get(name).map_or(record.fence, |hold| hold.first_fence);
    (first..=record.fence).contains(&fence)
}

fn renew(name: &str, holder: &str, fence: u64, hold_millis: u64, mut context: Context<'_>) -> Decision {
    match context.proposed.locks.get(name) {
        Some(record) if record.holder == holder && is_of_hold(name, record, fence, &context) => {
            extend(name, record, hold_millis, &mut context);
            context.lock_metrics.decided(LockOutcome::Renewed, name, holder, fence);
            // The next primary must count a hold that is longer than the ordered one.
            match hold_millis > record.hold_millis {
                true => propose(name, holder, record.fence, hold_millis),
                false => Decision::Committed(granted(record.fence)),
            }
        }
        _ => {
            context.lock_metrics.decided(LockOutcome::Refused, name, holder, fence);
            Decision::Committed(ControlReturn::fault(409, "this lock is lost: take it anew"))
        }
    }
}

fn release(name: &str, holder: &str, fence: u64, context: Context<'_>) -> Decision {
    let done = ControlReturn::new(200, "{}".into());
    match context.proposed.locks.get(name) {
        Some(record) if record.holder == holder && record.fence == fence => {
            context.lock_metrics.decided(LockOutcome::Released, name, holder, fence);
            Decision::Propose(Box::new(Change::LockFreed { lock: name.to_owned(), fence }), done)
        }
        _ => {
            context.lock_metrics.decided(LockOutcome::ReleaseIgnored, name, holder, fence);
            Decision::Committed(done)
        }
    }
}
