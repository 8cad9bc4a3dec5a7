//! Asking an endpoint for its health, and for how much longer it is cold.

use http::Method;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use trackbed::http::{Client, Request, Return, single};
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

/// The questions to one endpoint, over a connection that is kept.
pub struct HealthQuestions {
    address: Option<SocketAddr>,
    /// The connection of the last question, while no other is under way.
    kept: Cell<Option<Client>>,
}

impl HealthQuestions {
    /// Questions to the endpoint at an address.
    pub fn new(address: Option<SocketAddr>) -> Self {
        Self { address, kept: Cell::default() }
    }

    /// Asks the endpoint. Nothing where no answer comes in time, or none that tells how it is.
    pub async fn ask(&self, path: String) -> Option<HealthWord> {
        let mut client = match self.kept.take() {
            Some(client) => client,
            None => Client::new(self.address?),
        };
        let request = Request::own(Method::GET, path, &[], Default::default());
        let answer = client.call(&request, ANSWER_LIMIT).await.ok()?;
        self.kept.set(Some(client));
        HealthWord::read(&answer)
    }
}
