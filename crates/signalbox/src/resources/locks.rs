//! Locks: one holder at a time, by fences that only rise.

use super::lock_metrics::LockOutcome;
use super::{Body, Context, Decision, Resource, ResourcePlug, bad, not_allowed};
use crate::ledger::Change;
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
pub fn held_until(now: Moment, hold_millis: u64) -> Moment {
    now + Duration::from_millis(hold_millis).mul_f64(1.0 + CLOCK_ALLOWANCE)
}

/// The holder's time runs from now at least, whatever was granted before.
fn extend(name: &str, hold_millis: u64, context: &mut Context<'_>) {
    let until = held_until(context.now, hold_millis);
    let known = context.holds.entry(name.to_owned()).or_insert(until);
    *known = (*known).max(until);
}

fn take(name: &str, holder: &str, hold_millis: u64, mut context: Context<'_>) -> Decision {
    if let Some(record) = context.proposed.locks.get(name) {
        if record.holder == holder {
            let fence = record.fence;
            let known = record.hold_millis;
            extend(name, hold_millis, &mut context);
            context.lock_metrics.decided(LockOutcome::TakenAgain, name, holder, fence);
            return lengthened(name, holder, fence, known, hold_millis);
        }
        if context.holds.get(name).is_none_or(|until| context.now <= *until) {
            context.lock_metrics.decided(LockOutcome::Refused, name, holder, record.fence);
            return Decision::Committed(held());
        }
    }
    let fence = context.proposed.last_fence + 1;
    // A new holder's time starts here; the last one's has run out.
    context.holds.insert(name.to_owned(), held_until(context.now, hold_millis));
    context.lock_metrics.decided(LockOutcome::Taken, name, holder, fence);
    let change = Change::LockTaken { lock: name.to_owned(), holder: holder.to_owned(), fence, hold_millis };
    Decision::Propose(Box::new(change), granted(fence))
}

/// A hold longer than the ordered one is ordered too: the next primary must count it.
fn lengthened(name: &str, holder: &str, fence: u64, known: u64, hold_millis: u64) -> Decision {
    if hold_millis <= known {
        return Decision::Committed(granted(fence));
    }
    let change = Change::LockTaken { lock: name.to_owned(), holder: holder.to_owned(), fence, hold_millis };
    Decision::Propose(Box::new(change), granted(fence))
}

fn renew(name: &str, holder: &str, fence: u64, hold_millis: u64, mut context: Context<'_>) -> Decision {
    match context.proposed.locks.get(name) {
        Some(record) if record.holder == holder && record.fence == fence => {
            let known = record.hold_millis;
            extend(name, hold_millis, &mut context);
            context.lock_metrics.decided(LockOutcome::Renewed, name, holder, fence);
            lengthened(name, holder, fence, known, hold_millis)
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
