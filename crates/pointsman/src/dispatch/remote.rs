//! A go at the node beside another endpoint.

use super::errand::{Errand, GoResult, Outcome};
use super::headers::{
    CALLER, DEADLINE, EXPECTED, LINE_HEADERS, PATIENCE, PERMIT, PLANNED, PRIORITY, REGIONS, REPEATS, TARGET,
    read_outcome,
};
use super::pool::Pool;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::clock;
use trackbed::http::{Line, Pacer, Return, ReturnError, write_request};
use trackbed::net::connect;

/// How long a peer may take to accept a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// How long past the horizon the peer's own word is waited for.
const LAST_WORD: Duration = Duration::from_millis(25);
/// Longest body held.
pub const BODY_LIMIT: u64 = 64 << 20;
const IDLE: Duration = Duration::from_secs(20);

pub async fn deliver(pool: &Pool, pacer: &Pacer, beside: SocketAddr, errand: &Errand) -> GoResult {
    let now = clock::now();
    let line = match pool.take(beside, now, IDLE) {
        Some((line, _)) => Some(line),
        None => {
            let limit = CONNECT_LIMIT.min(errand.left(now));
            connect(beside, limit).await.ok().map(Line::new)
        }
    };
    let Some(mut line) = line else {
        pool.clear(beside);
        return GoResult::only(Outcome::NotSent);
    };
    let now = clock::now();
    let left = errand.left(now);
    if left.is_zero() {
        return GoResult::only(Outcome::NotSent);
    }
    let deadline = (left.as_millis().max(1)).to_string();
    let target = now.until(errand.target).as_millis().to_string();
    let patience = errand.patience.as_millis().to_string();
    let priority = errand.priority.to_string();
    let regions = errand.binding.write();
    let permit = errand.permit.map(|number| number.to_string());
    let mut replaced = vec![
        (EXPECTED, errand.instance.as_str()),
        (DEADLINE, deadline.as_str()),
        (TARGET, target.as_str()),
        (PATIENCE, patience.as_str()),
        (PRIORITY, priority.as_str()),
    ];
    let planned = errand.planned.write();
    replaced.push((PLANNED, &planned));
    if errand.repeats {
        replaced.push((REPEATS, "1"));
    }
    if !errand.caller.is_empty() {
        replaced.push((CALLER, &errand.caller));
    }
    if let Some(permit) = &permit {
        replaced.push((PERMIT, permit));
    }
    if let Some(regions) = &regions {
        replaced.push((REGIONS, regions));
    }
    let bytes = write_request(&errand.request, &replaced, &LINE_HEADERS);
    let bodyless = errand.request.method == Method::HEAD;
    let reservation = pool.reserve_answer();
    let exchange = async move {
        pacer.write(&mut line, bytes).await.map_err(|_| ReturnError::Silent)?;
        line.read_return_or_flow(bodyless, BODY_LIMIT, reservation).await
    };
    match monoio::time::timeout(left + LAST_WORD, exchange).await {
        Ok(Ok((answer, line))) => {
            let closes = answer.closes;
            match read_outcome(answer, &errand.attempt) {
                Some(mut result) => {
                    if let Outcome::Answered(Return { flow: Some(flow), .. }) = &mut result.outcome {
                        flow.end_by(errand.horizon + LAST_WORD);
                    }
                    if let Some(line) = line.filter(|_| !closes) {
                        pool.keep(beside, line, clock::now(), IDLE);
                    }
                    result
                }
                None => {
                    if let Some(line) = line {
                        line.break_off();
                    }
                    GoResult::only(Outcome::Failed("the peer's answer belongs to another request"))
                }
            }
        }
        Ok(Err(_)) => {
            pool.clear(beside);
            GoResult::only(Outcome::Failed("the peer's connection broke off"))
        }
        // The line went with the exchange, and is closed.
        Err(_) => GoResult::only(Outcome::OverHorizon),
    }
}
