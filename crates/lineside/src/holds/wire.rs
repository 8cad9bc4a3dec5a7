//! One call to an endpoint, over HTTP.

use super::calls::{CallOutcome, HoldCall};
use http::Method;
use trackbed::http::{CallFault, Client, Request, Return};
use trackbed::ids::InstanceId;
use trackbed::logs::escape;

const EXPECTED_INSTANCE: &str = "ferryhinge-expected-instance";
const HANDOFF: &str = "ferryhinge-duty-handoff";

fn request(call: &HoldCall, instance: &InstanceId) -> Request {
    let range = call.range();
    let keys = format!("\"source_version\":{},\"target_version\":{}", range.first(), range.last());
    let (path, body) = match call {
        HoldCall::Grant { fence, hold, handover, .. } => {
            let handoff = match handover.is_empty() {
                true => String::new(),
                false => format!(",\"handoff\":\"{}\"", escape(handover)),
            };
            let hold = hold.as_secs_f64();
            ("/v1/grant", format!("{{{keys},\"fence_token\":{fence},\"hold_s\":{hold:.3}{handoff}}}"))
        }
        HoldCall::Release { fence, .. } => ("/v1/release", format!("{{{keys},\"fence_token\":{fence}}}")),
    };
    let headers = [("content-type", "application/json"), (EXPECTED_INSTANCE, instance.as_str())];
    Request::own(Method::POST, path.into(), &headers, body.into())
}

fn outcome_of(answer: &Return) -> CallOutcome {
    match answer.status {
        200..300 => {
            let handover = answer.headers.get(HANDOFF).and_then(|value| value.to_str().ok());
            CallOutcome::Done { handover: handover.unwrap_or("").to_owned() }
        }
        409 => CallOutcome::HigherFence,
        status @ 400..500 => CallOutcome::Declined { status },
        _ => CallOutcome::Unclear,
    }
}

/// Makes a call to the life of that id. After a call without an answer the connection is broken off.
pub async fn call_endpoint(client: &mut Client, instance: &InstanceId, call: &HoldCall) -> CallOutcome {
    let answer = client.call(&request(call, instance), call.limit()).await;
    match answer {
        Ok(answer) => outcome_of(&answer),
        Err(CallFault::Refused) => CallOutcome::Refused,
        Err(CallFault::NotSent) => CallOutcome::NotSent,
        Err(CallFault::NoAnswer) => CallOutcome::Unclear,
    }
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
