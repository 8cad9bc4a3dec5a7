//! Headers between own nodes, and those that PROTOCOL names, typed at the door.

use super::binding::Binding;
use super::errand::{Errand, GoResult, Outcome, Passed};
use lineside::gossip::Occupancy;
use std::time::Duration;
use timetable::configuration::PlannedBy;
use trackbed::clock::Moment;
use trackbed::http::{Request, Return};
use trackbed::ids::InstanceId;

pub const ATTEMPT: &str = "ferryhinge-attempt-id";
pub const DEADLINE: &str = "ferryhinge-deadline-ms";
pub const EXPECTED: &str = "ferryhinge-expected-instance";
pub const STAMP: &str = "ferryhinge-server-stamp";
pub const NOT_EXECUTED: &str = "ferryhinge-not-executed";
/// The key of a request to a service that is divided by key.
const SHARD_KEY: &str = "ferryhinge-shard-key";
pub const CALLER: &str = "ferryhinge-caller-service";
/// Between own nodes only.
pub const PRIORITY: &str = "ferryhinge-line-priority";
pub const REPEATS: &str = "ferryhinge-line-repeats";
pub const TARGET: &str = "ferryhinge-line-target-ms";
pub const PATIENCE: &str = "ferryhinge-line-patience-ms";
pub const SPENT: &str = "ferryhinge-line-spent-us";
pub const PLANNED: &str = "ferryhinge-line-planned-by";
pub const OUTCOME: &str = "ferryhinge-line-outcome";
pub const OCCUPANCY: &str = "ferryhinge-line-occupancy";
pub const REGIONS: &str = "ferryhinge-line-regions";
pub const PERMIT: &str = "ferryhinge-line-permit";
pub const FREE_IN: &str = "ferryhinge-line-free-in-ms";

/// What never goes to an endpoint or requester, whoever sent it.
pub const LINE_HEADERS: [&str; 11] =
    [PERMIT, PLANNED, REPEATS, PRIORITY, TARGET, PATIENCE, OUTCOME, OCCUPANCY, FREE_IN, SPENT, REGIONS];

/// The key that a request names, where it can be read.
pub fn shard_key(request: &Request) -> Option<u16> {
    request.header(SHARD_KEY).and_then(|text| text.trim().parse().ok())
}

/// Reads what a peer node passes on.
pub fn read_errand(request: Request, sort: u64, now: Moment) -> Option<Errand> {
    let millis = |name: &str| request.header(name).and_then(|text| text.parse::<u64>().ok()).map(Duration::from_millis);
    let attempt = request.header(ATTEMPT)?.to_owned();
    let instance = InstanceId::new(request.header(EXPECTED)?);
    let caller = request.header(CALLER).unwrap_or_default().to_owned();
    let priority = request.header(PRIORITY)?.parse().ok()?;
    let (horizon, target) = (now + millis(DEADLINE)?, now + millis(TARGET)?);
    let repeats = request.header(REPEATS).is_some();
    let planned = request.header(PLANNED).and_then(PlannedBy::read).unwrap_or_default();
    let patience = millis(PATIENCE).unwrap_or(target.since(now));
    let binding = request.header(REGIONS).map(Binding::read).unwrap_or_default();
    let permit = request.header(PERMIT).and_then(|text| text.parse().ok());
    let key = shard_key(&request);
    Some(Errand {
        key,
        permit,
        request,
        attempt,
        instance,
        caller,
        priority,
        repeats,
        planned,
        sort,
        horizon,
        target,
        patience,
        binding,
    })
}

fn word_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotTaken { why: Passed::Gone, .. } => "gone",
        Outcome::NotTaken { why: Passed::NotHeld, .. } => "not_held",
        Outcome::NotTaken { why: Passed::Busy, .. } => "busy",
        Outcome::NotTaken { why: Passed::Late, .. } => "late",
        Outcome::NotTaken { why: Passed::Outside, .. } => "outside",
        Outcome::NotTaken { why: Passed::Stale, .. } => "stale",
        Outcome::NotExecuted | Outcome::Misdirected => "not-executed",
        Outcome::NotSent => "not-sent",
        Outcome::Failed(_) => "failed",
        Outcome::OverHorizon => "over-horizon",
    }
}

/// A go's result as an answer to a peer node.
pub fn write_outcome(result: GoResult, attempt: &str) -> Return {
    let word = word_of(&result.outcome);
    let free_in = match &result.outcome {
        Outcome::NotTaken { free_in, .. } => Some(free_in.as_millis().to_string()),
        _ => None,
    };
    let mut answer = match result.outcome {
        Outcome::Answered(answer) => answer,
        _ => Return::new(503),
    };
    answer.closes = false;
    for name in LINE_HEADERS {
        answer.headers.remove(name);
    }
    let mut answer = answer.with_header(OUTCOME, word).with_header(ATTEMPT, attempt);
    if let Some(spent) = result.spent {
        answer = answer.with_header(SPENT, &spent.as_micros().to_string());
    }
    if let Some(free_in) = free_in {
        answer = answer.with_header(FREE_IN, &free_in);
    }
    match result.occupancy {
        Some(occupancy) => answer.with_header(OCCUPANCY, &write_occupancy(&occupancy)),
        None => answer,
    }
}

/// The result that a peer's answer tells of; nothing when it tells of none.
pub fn read_outcome(mut answer: Return, attempt: &str) -> Option<GoResult> {
    let header = |name: &str| trackbed::http::single(&answer.headers, name);
    if header(ATTEMPT) != Some(attempt) {
        return None;
    }
    let occupancy = header(OCCUPANCY).and_then(read_occupancy);
    let free_in = header(FREE_IN).and_then(|text| text.parse().ok()).map(Duration::from_millis).unwrap_or_default();
    let spent = header(SPENT).and_then(|text| text.parse().ok()).map(Duration::from_micros);
    let not_taken = |why| Outcome::NotTaken { why, free_in };
    let outcome = match header(OUTCOME)? {
        "answered" => None,
        "gone" => Some(not_taken(Passed::Gone)),
        "not_held" => Some(not_taken(Passed::NotHeld)),
        "busy" => Some(not_taken(Passed::Busy)),
        "late" => Some(not_taken(Passed::Late)),
        "outside" => Some(not_taken(Passed::Outside)),
        "stale" => Some(not_taken(Passed::Stale)),
        "not-executed" => Some(Outcome::NotExecuted),
        "not-sent" => Some(Outcome::NotSent),
        "over-horizon" => Some(Outcome::OverHorizon),
        _ => Some(Outcome::Failed("the endpoint's answer was lost")),
    };
    for name in LINE_HEADERS {
        answer.headers.remove(name);
    }
    answer.closes = false;
    Some(GoResult { outcome: outcome.unwrap_or(Outcome::Answered(answer)), occupancy, spent })
}

fn write_occupancy(occupancy: &Occupancy) -> String {
    format!(
        "{},{},{},{},{},{}",
        occupancy.running,
        occupancy.queued,
        occupancy.slots,
        occupancy.service_micros,
        occupancy.closed as u8,
        occupancy.instance
    )
}

fn read_occupancy(text: &str) -> Option<Occupancy> {
    let mut parts = text.splitn(6, ',');
    let mut number = || parts.next()?.parse::<u32>().ok();
    let (running, queued, slots, service_micros, closed) = (number()?, number()?, number()?, number()?, number()?);
    let instance = InstanceId::new(parts.next()?);
    Some(Occupancy { instance, running, queued, slots, service_micros, closed: closed != 0 })
}
