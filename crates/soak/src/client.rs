//! Clients of the divided service: requests at an even rate to any node, with keys by chance.

use crate::endpoint::events::shared_micros;
use crate::layout::{HOST, Layout, NODES, SAFE_PREFIX, UNSAFE_PREFIX};
use bytes::Bytes;
use http::Method;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use trackbed::http::{CallFault, Client, Request};
use trackbed::random::Random;

/// Time between two requests.
const EVERY: Duration = Duration::from_millis(12);
const DEADLINE: Duration = Duration::from_millis(1500);
const KEYS: u64 = 65536;
/// Share of requests that are for hot keys, and how many of these there are.
const HOT_SHARE: f64 = 0.75;
const HOT_KEYS: u64 = 4096;
/// After so many requests other keys are hot, that far on.
const REQUESTS_OF_A_WINDOW: u64 = 800;
const WINDOW_STRIDE: u64 = 26_111;
/// Share of requests that may run once at most.
const UNSAFE_SHARE: f64 = 0.4;
/// Share of clients that leave early, and after how many milliseconds at most.
const LEAVING_SHARE: f64 = 0.06;
const LEAVES_WITHIN_MILLIS: u64 = 400;

/// What came of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// 200, with the request's own body.
    Served,
    /// 503, 429, 408 or 421: it has not run.
    Refused,
    /// Anything else, or nothing.
    Failed,
    /// 200 with another request's body or id.
    Mixed,
    /// The client closed its connection before the answer.
    Left,
}

/// One request that ended.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    /// When it was sent, on the shared clock.
    pub at: u64,
    /// When it ended.
    pub ended: u64,
    /// The node that it was sent to.
    pub node: usize,
    /// The id of the try.
    pub attempt: String,
    /// Whether it may run more than once.
    pub safe: bool,
    /// Its key.
    pub key: u64,
    /// What came of it.
    pub outcome: Outcome,
    /// The answer's status and text, where it was not served.
    pub answer: Option<String>,
}

/// All clients of a run.
pub struct Clients {
    layout: Layout,
    random: RefCell<Random>,
    records: RefCell<Vec<Record>>,
    stopped: Cell<bool>,
    /// Whether some keys are far busier than others, and which changes.
    has_hot_keys: Cell<bool>,
}

impl Clients {
    /// Clients whose choices follow from the seed.
    pub fn new(layout: Layout, seed: u64) -> Rc<Self> {
        let random = RefCell::new(Random::seeded(seed));
        Rc::new(Self {
            layout,
            random,
            records: RefCell::default(),
            stopped: Cell::new(false),
            has_hot_keys: Cell::new(true),
        })
    }

    /// From now on all keys are asked for alike.
    pub fn spread_evenly(&self) {
        self.has_hot_keys.set(false);
    }

    /// The key of a request. While there are hot keys, most requests are for a window that moves on.
    fn draw_key(&self, random: &mut Random, number: u64) -> u64 {
        if !self.has_hot_keys.get() || !random.chance(HOT_SHARE) {
            return random.below(KEYS);
        }
        let window = number / REQUESTS_OF_A_WINDOW;
        let first = window.wrapping_mul(WINDOW_STRIDE) % KEYS;
        (first + random.below(HOT_KEYS)) % KEYS
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
        let (node, key, safe, leaves) = {
            let mut random = self.random.borrow_mut();
            let key = self.draw_key(&mut random, number);
            let node = random.below(NODES as u64) as usize;
            let safe = !random.chance(UNSAFE_SHARE);
            let leaves =
                random.chance(LEAVING_SHARE).then(|| Duration::from_millis(random.below(LEAVES_WITHIN_MILLIS)));
            (node, key, safe, leaves)
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
        let mut client = Client::new(self.layout.requests(node));
        let answered = monoio::time::timeout(leaves.unwrap_or(DEADLINE * 2), client.call(&request, DEADLINE)).await;
        drop(client);
        let has_left = answered.is_err();
        let answer = answered.unwrap_or(Err(CallFault::NoAnswer));
        let outcome = match &answer {
            _ if has_left => Outcome::Left,
            Ok(answer) if answer.status == 200 && answer.body.as_ref() == attempt.as_bytes() => Outcome::Served,
            Ok(answer) if answer.status == 200 => Outcome::Mixed,
            Ok(answer) if matches!(answer.status, 408 | 421 | 429 | 503) => Outcome::Refused,
            _ => Outcome::Failed,
        };
        let shown = match answer {
            Ok(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
            Err(fault) => fault.to_string(),
        };
        let answer = (outcome != Outcome::Served).then_some(shown);
        self.records.borrow_mut().push(Record {
            at,
            ended: shared_micros(),
            node,
            attempt,
            safe,
            key,
            outcome,
            answer,
        });
    }
}
