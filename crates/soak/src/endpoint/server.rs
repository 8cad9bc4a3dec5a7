//! What an emulated endpoint answers: requests for keys that it holds, and calls about them.

use super::Endpoint;
use super::events::{Event, shared_micros};
use super::holds::{HigherFenceSeen, Hold};
use super::messages::{GrantCall, ReleaseCall, Settings, WhenFull};
use bytes::Bytes;
use http::Method;
use monoio::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use trackbed::http::{DoorLimits, Handler, JsonReturn, Request, Return, Serving, serve_listener};
use trackbed::net::bind_tcp;

/// How often a full endpoint looks whether it has room, and one with room whether it is full.
const ROOM_LOOK: Duration = Duration::from_millis(1);

/// Work of a request beyond the least: up to so much more.
const MORE_WORK_MILLIS: u64 = 80;
/// Share of answers lost while the endpoint loses them.
const LOST_SHARE: f64 = 0.4;
const ATTEMPT: &str = "ferryhinge-attempt-id";
const EXPECTED: &str = "ferryhinge-expected-instance";
const COLD_REMAINING: &str = "ferryhinge-cold-remaining";
const INSTANCE: &str = "ferryhinge-instance-id";
const NOT_EXECUTED: &str = "ferryhinge-not-executed";
const SHARD_KEY: &str = "ferryhinge-shard-key";
const STAMP: &str = "ferryhinge-server-stamp";
const HANDOFF: &str = "ferryhinge-duty-handoff";

/// What the endpoint answers at its address.
pub(super) struct Server(pub(super) Rc<Endpoint>);

impl Handler for Server {
    fn limits(&self) -> DoorLimits {
        DoorLimits::default()
    }

    async fn handle(self: Rc<Self>, request: Request) -> Option<Return> {
        let endpoint = &self.0;
        match (request.method.as_str(), request.path()) {
            ("GET", "/health") => Some(healthy(endpoint)),
            ("POST", "/v1/grant") => Some(granted(endpoint, &request)),
            ("POST", "/v1/release") => Some(released(endpoint, &request).await),
            _ => serve(endpoint, &request).await,
        }
    }
}

/// Serves at the endpoint's address for as long as the process runs, as many connections at once as the settings say.
pub(super) async fn serve_for_ever(endpoint: Rc<Endpoint>, first: TcpListener) {
    let serving = Rc::new(Serving::default());
    let Settings { address, max_connections, when_full, .. } = endpoint.settings;
    serving.most_open.set(max_connections);
    let server = Rc::new(Server(endpoint));
    if when_full == WhenFull::AcceptAndReset {
        return serve_listener(first, serving, server).await;
    }
    let mut listener = Some(first);
    loop {
        let Some(open) = listener.take().or_else(|| bind_tcp(address).ok()) else {
            monoio::time::sleep(ROOM_LOOK).await;
            continue;
        };
        monoio::select! {
            () = serve_listener(open, serving.clone(), server.clone()) => {}
            () = wait_until(|| serving.open.get() >= max_connections) => {}
        }
        wait_until(|| serving.open.get() < max_connections).await;
    }
}

async fn wait_until(is_so: impl Fn() -> bool) {
    while !is_so() {
        monoio::time::sleep(ROOM_LOOK).await;
    }
}

impl Endpoint {
    /// The key of a request; zero for all where the service isn't divided.
    fn key_of(&self, request: &Request) -> Option<u16> {
        match self.settings.is_divided {
            true => request.header(SHARD_KEY).and_then(|key| key.parse().ok()),
            false => Some(0),
        }
    }

    fn holds_key(&self, key: u16, now: u64) -> bool {
        !self.settings.is_divided || self.holds.borrow().holds(key, now)
    }
}

fn healthy(endpoint: &Endpoint) -> Return {
    let cold_millis = (endpoint.coldness.remaining_seconds(shared_micros()) * 1000.0).ceil();
    let answer = Return::text(200, "well").with_header(INSTANCE, &endpoint.life);
    answer.with_header(COLD_REMAINING, &cold_millis.to_string())
}

/// Whether a request is meant for another life.
fn is_for_another(endpoint: &Endpoint, request: &Request) -> bool {
    request.header(EXPECTED).is_some_and(|expected| expected != endpoint.life)
}

fn misdirected(endpoint: &Endpoint, attempt: &str) -> Return {
    let answer = Return::text(421, "not here").with_header(NOT_EXECUTED, "1").with_header(ATTEMPT, attempt);
    answer.with_header(INSTANCE, &endpoint.life)
}

fn granted(endpoint: &Endpoint, request: &Request) -> Return {
    if is_for_another(endpoint, request) {
        return misdirected(endpoint, "");
    }
    let Ok(call) = sonic_rs::from_slice::<GrantCall>(&request.body) else {
        return Return::fault(400, "no grant");
    };
    let at = shared_micros();
    let until = at + (call.hold_s * endpoint.clock() * 1e6) as u64;
    let (first, last, fence) = (call.source_version, call.target_version, call.fence_token);
    match endpoint.take(Hold { first, last, fence, until }, at) {
        Ok(()) => Return::json(200, "{}".into()),
        Err(HigherFenceSeen) => Return::fault(409, "a higher fence was seen"),
    }
}

async fn released(endpoint: &Endpoint, request: &Request) -> Return {
    let Ok(call) = sonic_rs::from_slice::<ReleaseCall>(&request.body) else {
        return Return::fault(400, "no release");
    };
    let (first, last) = (call.source_version, call.target_version);
    let held = endpoint.holds.borrow_mut().release(first, last);
    if held {
        endpoint.let_go(first, last);
    }
    while endpoint.is_working_on(first, last) {
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
    Return::json(200, "{}".into()).with_header(HANDOFF, &endpoint.handover())
}

async fn serve(endpoint: &Rc<Endpoint>, request: &Request) -> Option<Return> {
    let attempt = request.header(ATTEMPT).unwrap_or("").to_owned();
    let Some(key) = endpoint.key_of(request) else {
        return Some(Return::text(400, "no key"));
    };
    let now = shared_micros();
    if is_for_another(endpoint, request) || !endpoint.holds_key(key, now) {
        Event::Misdirected { at: now, life: endpoint.life.clone(), key }.tell();
        return Some(misdirected(endpoint, &attempt));
    }
    endpoint.bear_one_more(now);
    if endpoint.running.borrow().len() >= endpoint.settings.slots as usize {
        Event::Refused { at: now, life: endpoint.life.clone() }.tell();
        return Some(Return::text(503, "full").with_header(NOT_EXECUTED, "1").with_header(ATTEMPT, &attempt));
    }
    let safe = request.method == Method::GET;
    Event::Ran { at: now, life: endpoint.life.clone(), attempt: attempt.clone(), key, safe }.tell();
    endpoint.running.borrow_mut().push(key);
    let more = endpoint.random.borrow_mut().below(MORE_WORK_MILLIS);
    let work = Duration::from_millis(endpoint.settings.least_work_millis + more);
    monoio::time::sleep(work).await;
    let mut running = endpoint.running.borrow_mut();
    if let Some(at) = running.iter().position(|other| *other == key) {
        running.swap_remove(at);
    }
    let now = shared_micros();
    if now < endpoint.loses_answers_until.get() && endpoint.random.borrow_mut().chance(LOST_SHARE) {
        return None;
    }
    let status = if endpoint.holds_key(key, now) { 200 } else { 500 };
    let mut answer = Return::new(status).with_header(ATTEMPT, &attempt).with_header(STAMP, &endpoint.life);
    answer.body = Bytes::from(attempt.into_bytes());
    Some(answer)
}
