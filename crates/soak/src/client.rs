//! Clients of the divided service: requests at an even rate to any node, with keys by chance.

use crate::endpoint::events::shared_micros;
use crate::layout::{HOST, Layout, NODES, SAFE_PREFIX, UNSAFE_PREFIX};
use bytes::Bytes;
use http::Method;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use trackbed::http::{Client, Request};
use trackbed::random::Random;

/// Time between two requests.
const EVERY: Duration = Duration::from_millis(12);
const DEADLINE: Duration = Duration::from_millis(1500);
/// Share of requests that may run once at most.
const UNSAFE_SHARE: f64 = 0.4;

/// What came of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200, with the request's own body.
    Served,
    /// 503, 429, 408 or 421: it has not run.
    Refused,
    /// Anything else, or nothing.
    Failed,
    /// 200 with another request's body or id.
    Mixed,
}

/// One request that ended.
#[derive(Clone, Debug)]
pub struct Record {
    /// When it was sent, on the shared clock.
    pub at: u64,
    /// What came of it.
    pub outcome: Outcome,
}

/// All clients of a run.
pub struct Clients {
    layout: Layout,
    random: RefCell<Random>,
    records: RefCell<Vec<Record>>,
    stopped: Cell<bool>,
}

impl Clients {
    /// Clients whose choices follow from the seed.
    pub fn new(layout: Layout, seed: u64) -> Rc<Self> {
        let random = RefCell::new(Random::seeded(seed));
        Rc::new(Self { layout, random, records: RefCell::default(), stopped: Cell::new(false) })
    }

    /// Sends requests until [`Clients::stop`].
    pub async fn run(self: Rc<Self>) {
        for number in 0u64.. {
            if self.stopped.get() {
                return;
            }
            let clients = self.clone();
            monoio::spawn(async move { clients.request(number).await });
            monoio::time::sleep(EVERY).await;
        }
    }

    /// No further requests.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// What came of all requests so far.
    pub fn records(&self) -> Vec<Record> {
        self.records.borrow().clone()
    }

    async fn request(&self, number: u64) {
        let (node, key, safe) = {
            let mut random = self.random.borrow_mut();
            (random.below(NODES as u64) as usize, random.below(65536), !random.chance(UNSAFE_SHARE))
        };
        let attempt = format!("a{number:x}");
        let (method, prefix) = if safe { (Method::GET, SAFE_PREFIX) } else { (Method::POST, UNSAFE_PREFIX) };
        let headers = [
            ("host", HOST),
            ("ferryhinge-attempt-id", attempt.as_str()),
            ("ferryhinge-shard-key", &key.to_string()),
            ("ferryhinge-deadline-ms", &DEADLINE.as_millis().to_string()),
        ];
        let body = if safe { Bytes::new() } else { Bytes::from_static(b"{}") };
        let request = Request::own(method, format!("{prefix}{number}"), &headers, body);
        let at = shared_micros();
        let answer = Client::new(self.layout.requests(node)).call(&request, DEADLINE).await;
        let outcome = match answer {
            Ok(answer) if answer.status == 200 && answer.body.as_ref() == attempt.as_bytes() => Outcome::Served,
            Ok(answer) if answer.status == 200 => Outcome::Mixed,
            Ok(answer) if matches!(answer.status, 408 | 421 | 429 | 503) => Outcome::Refused,
            _ => Outcome::Failed,
        };
        self.records.borrow_mut().push(Record { at, outcome });
    }
}
