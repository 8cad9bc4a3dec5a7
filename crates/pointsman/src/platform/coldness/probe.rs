//! Asking an endpoint for its health, and for how much longer it is cold.

use http::Method;
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::http::{Client, Request, single};
use trackbed::ids::InstanceId;

const ANSWER_LIMIT: Duration = Duration::from_millis(400);
const INSTANCE: &str = "ferryhinge-instance-id";
/// In milliseconds.
const COLD_REMAINING: &str = "ferryhinge-cold-remaining";
const MILLIS_IN_SECOND: f64 = 1000.0;
/// What an endpoint is never cold for, in milliseconds.
const LONGEST_COLD_MILLIS: f64 = 1e9;

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthWord {
    /// The life that answered.
    pub instance: InstanceId,
    /// For how much longer it is cold.
    pub cold_remaining: Duration,
}

/// Asks the endpoint at an address. Nothing where no answer comes in time, or none that names a life: an endpoint that is
/// full turns the question away like any request.
pub async fn ask_health(address: SocketAddr, path: String) -> Option<HealthWord> {
    let request = Request::own(Method::GET, path, &[], Default::default());
    let answer = Client::new(address).call(&request, ANSWER_LIMIT).await.ok()?;
    let instance = InstanceId::new(single(&answer.headers, INSTANCE)?);
    let cold_remaining = match single(&answer.headers, COLD_REMAINING) {
        Some(text) => text.trim().parse().ok().filter(|millis| (0.0..LONGEST_COLD_MILLIS).contains(millis))?,
        None => 0.0,
    };
    Some(HealthWord { instance, cold_remaining: Duration::from_secs_f64(cold_remaining / MILLIS_IN_SECOND) })
}
