//! Asking an endpoint for its health, and for how much longer it is cold.

use crate::platform::Lines;
use http::Method;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::http::{OpenConnections, Request, Return, single};
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

impl HealthWord {
    /// Reads an answer; nothing where it names no life. One that turns the question away says nothing of coldness.
    fn read(answer: &Return) -> Option<Self> {
        let instance = InstanceId::new(single(&answer.headers, INSTANCE)?);
        let millis = match single(&answer.headers, COLD_REMAINING) {
            Some(text) => text.trim().parse().ok().filter(|millis| (0.0..LONGEST_COLD_MILLIS).contains(millis))?,
            None if answer.status == 200 => 0.0,
            None => return None,
        };
        Some(Self { instance, cold_remaining: Duration::from_secs_f64(millis / MILLIS_IN_SECOND) })
    }
}

/// Asks the endpoint at an address, over a connection that requests use too: one that has all the connections that it
/// accepts has none for a question alone. Nothing where no answer comes in time, or none that tells how it is.
pub async fn ask_health(
    lines: &Lines,
    address: SocketAddr,
    path: String,
    connections: &Rc<OpenConnections>,
) -> Option<HealthWord> {
    let request = Request::own(Method::GET, path, &[], Default::default());
    let asking = lines.ask(address, &request, connections, HealthWord::read);
    monoio::time::timeout(ANSWER_LIMIT, asking).await.ok().flatten()
}
