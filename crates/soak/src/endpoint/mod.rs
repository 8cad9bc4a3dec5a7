//! An emulated endpoint of the divided service, as a process of its own: it serves requests for keys that it holds,
//! sends heartbeats, and says on standard output what it saw.

pub mod events;
pub mod holds;

use bytes::Bytes;
use events::{Event, shared_micros};
use holds::{Hold, Holds};
use http::Method;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use trackbed::http::{Client, DoorLimits, Handler, JsonReturn, Request, Return, Serving, serve_listener};
use trackbed::kernel;
use trackbed::net::bind_tcp;
use trackbed::random::Random;

/// An endpoint moves on to the next address after a second.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);
const LETTING_GO_EVERY: Duration = Duration::from_millis(80);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// For how long a signalled trouble lasts.
const TROUBLE_LASTS: Duration = Duration::from_secs(2);
/// An endpoint that leaves ends after so long, acknowledged or not.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);
/// How long it serves on after it was acknowledged as leaving.
const SERVES_ON: Duration = Duration::from_millis(1200);
/// Work of a request: at least so much, and up to so much more.
const LEAST_WORK_MILLIS: u64 = 40;
const MORE_WORK_MILLIS: u64 = 80;
/// Share of answers lost while the endpoint loses them.
const LOST_SHARE: f64 = 0.4;
/// A clock may run this much slow; those of every second endpoint do.
const SLOW_CLOCK: f64 = 1.02;

const ATTEMPT: &str = "ferryhinge-attempt-id";
const EXPECTED: &str = "ferryhinge-expected-instance";
const INSTANCE: &str = "ferryhinge-instance-id";
const NOT_EXECUTED: &str = "ferryhinge-not-executed";
const SHARD_KEY: &str = "ferryhinge-shard-key";
const STAMP: &str = "ferryhinge-server-stamp";
const HANDOFF: &str = "ferryhinge-duty-handoff";

#[derive(Deserialize)]
struct Settings {
    index: usize,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    heartbeats: Vec<SocketAddr>,
    heartbeat_s: f64,
    /// Heartbeats bear lists of what is held and was let go.
    lists: bool,
    /// Whether the service is divided by key. One that isn't runs any request.
    #[serde(default = "is_divided")]
    is_divided: bool,
}

fn is_divided() -> bool {
    true
}

#[derive(Deserialize)]
struct GrantCall {
    source_version: u16,
    target_version: u16,
    fence_token: u64,
    hold_s: f64,
}

#[derive(Deserialize)]
struct ReleaseCall {
    source_version: u16,
    target_version: u16,
}

#[derive(Deserialize)]
struct HeartbeatAnswer {
    heartbeat_target: Option<SocketAddr>,
    holds: Option<Vec<(u16, u16, u64, String)>>,
    hold_s: Option<f64>,
}

#[derive(Serialize)]
struct Heartbeat<'a> {
    service_name: &'a str,
    address: SocketAddr,
    zone: &'a str,
    version: &'a str,
    capacity_slots: u32,
    lifecycle_state: &'a str,
    cold_remaining_s: f64,
    sequence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    holds: Option<Vec<(u16, u16, u64)>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    released: Option<Vec<(u16, u16, String)>>,
}

struct Endpoint {
    settings: Settings,
    life: String,
    random: RefCell<Random>,
    holds: RefCell<Holds>,
    /// The keys of requests at work.
    running: RefCell<Vec<u16>>,
    /// What was let go since the last acknowledged heartbeat.
    released: RefCell<Vec<(u16, u16, String)>>,
    /// Let go, and still worked on.
    letting_go: RefCell<Vec<(u16, u16)>>,
    loses_answers_until: Cell<u64>,
    silent_until: Cell<u64>,
    is_draining: Cell<bool>,
    /// A heartbeat that said so was acknowledged.
    drain_is_known: Cell<bool>,
}

/// Runs an endpoint until its process is killed or asked to end; gives the process's status.
pub fn main(settings: &Path) -> i32 {
    let text = match std::fs::read(settings) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{}: {error}", settings.display())),
    };
    let settings: Settings = match sonic_rs::from_slice(&text) {
        Ok(settings) => settings,
        Err(error) => return fail(&format!("{}: {error}", settings.display())),
    };
    let (lose, silence, end) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default(), Arc::default());
    let signals = [
        signal_hook::flag::register(signal_hook::consts::SIGUSR1, lose.clone()),
        signal_hook::flag::register(signal_hook::consts::SIGUSR2, silence.clone()),
        signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&end)),
    ];
    if signals.iter().any(Result::is_err) {
        return fail("signals can't be taken over");
    }
    let mut random = Random::from_system();
    let life = format!("i-{}-{:x}", settings.index, random.draw() as u32);
    let endpoint = Rc::new(Endpoint {
        settings,
        life,
        random: RefCell::new(random),
        holds: RefCell::default(),
        running: RefCell::default(),
        released: RefCell::default(),
        letting_go: RefCell::default(),
        loses_answers_until: Cell::new(0),
        silent_until: Cell::new(0),
        is_draining: Cell::new(false),
        drain_is_known: Cell::new(false),
    });
    let outcome = kernel::run(async {
        let listener = match bind_tcp(endpoint.settings.address) {
            Ok(listener) => listener,
            Err(error) => return eprintln!("{}: {error}", endpoint.settings.address),
        };
        Event::Started { at: shared_micros(), life: endpoint.life.clone() }.tell();
        let serving = Rc::new(Serving::default());
        serving.most_open.set(100);
        monoio::spawn(serve_listener(listener, serving, Rc::new(Server(endpoint.clone()))));
        monoio::spawn(beat_for_ever(endpoint.clone()));
        while !end.load(Ordering::Relaxed) {
            let until = shared_micros() + TROUBLE_LASTS.as_micros() as u64;
            if lose.swap(false, Ordering::Relaxed) {
                endpoint.loses_answers_until.set(until);
            }
            if silence.swap(false, Ordering::Relaxed) {
                endpoint.silent_until.set(until);
            }
            monoio::time::sleep(LOOK_EVERY).await;
        }
        leave(&endpoint).await;
        Event::Ended { at: shared_micros(), life: endpoint.life.clone() }.tell();
    });
    outcome.is_err() as i32
}

/// Says that it leaves, serves on for a while, signs off.
async fn leave(endpoint: &Endpoint) {
    endpoint.is_draining.set(true);
    let last = shared_micros() + LEAVES_WITHIN.as_micros() as u64;
    while !endpoint.drain_is_known.get() && shared_micros() < last {
        monoio::time::sleep(LOOK_EVERY).await;
    }
    monoio::time::sleep(SERVES_ON).await;
    let path = format!("/v1/instances/{}", endpoint.life);
    let request = Request::own(Method::DELETE, path, &[], Bytes::new());
    for address in &endpoint.settings.heartbeats {
        if Client::new(*address).call(&request, HEARTBEAT_LIMIT).await.is_ok_and(|answer| answer.is_success()) {
            return;
        }
    }
}

fn fail(reason: &str) -> i32 {
    eprintln!("endpoint: {reason}");
    1
}

impl Endpoint {
    fn clock(&self) -> f64 {
        if self.settings.index % 2 == 1 { SLOW_CLOCK } else { 1.0 }
    }

    fn take(&self, hold: Hold, at: u64) -> Result<(), holds::HigherFenceSeen> {
        let Hold { first, last, fence, until } = hold;
        self.holds.borrow_mut().grant(hold)?;
        Event::Held { at, life: self.life.clone(), first, last, fence, until }.tell();
        Ok(())
    }

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

    fn let_go(&self, first: u16, last: u16) {
        Event::LetGo { at: shared_micros(), life: self.life.clone(), first, last }.tell();
    }

    fn is_working_on(&self, first: u16, last: u16) -> bool {
        self.running.borrow().iter().any(|key| first <= *key && *key <= last)
    }

    fn handover(&self) -> String {
        format!("{:016x}", self.random.borrow_mut().draw())
    }

    /// What a heartbeat says.
    fn heartbeat(&self, sequence: u64) -> String {
        let now = shared_micros();
        let lists = self.settings.lists;
        let holds = || {
            let held = self.holds.borrow().all(now);
            let rows: Vec<_> = held.iter().map(|hold| (hold.first, hold.last, hold.fence)).collect();
            rows
        };
        let heartbeat = Heartbeat {
            service_name: &self.settings.service,
            address: self.settings.address,
            zone: &self.settings.zone,
            version: "v1",
            capacity_slots: self.settings.slots,
            lifecycle_state: if self.is_draining.get() { "draining" } else { "ready" },
            cold_remaining_s: 0.0,
            sequence,
            holds: lists.then(holds),
            released: lists.then(|| self.released.borrow().clone()),
        };
        sonic_rs::to_string(&heartbeat).unwrap_or_default()
    }

    /// Takes what a heartbeat that was sent at `sent` was answered.
    fn heard(&self, answer: &[u8], sent: u64, told: usize) -> Option<SocketAddr> {
        let answer: HeartbeatAnswer = sonic_rs::from_slice(answer).ok()?;
        self.released.borrow_mut().drain(..told);
        if let (true, Some(rows), Some(hold_s)) = (self.settings.lists, answer.holds, answer.hold_s) {
            let until = sent + (hold_s * self.clock() * 1e6) as u64;
            let holds: Vec<Hold> =
                rows.into_iter().map(|(first, last, fence, _)| Hold { first, last, fence, until }).collect();
            let now = shared_micros();
            let let_go = self.holds.borrow_mut().replace(holds, now);
            for hold in self.holds.borrow().all(now) {
                let Hold { first, last, fence, until } = hold;
                Event::Held { at: now, life: self.life.clone(), first, last, fence, until }.tell();
            }
            let_go.iter().for_each(|(first, last)| self.let_go(*first, *last));
            self.letting_go.borrow_mut().extend(let_go);
        }
        answer.heartbeat_target
    }

    /// Moves what is not worked on any more to what was released; true while anything is left.
    fn finish_letting_go(&self) -> bool {
        let letting_go = std::mem::take(&mut *self.letting_go.borrow_mut());
        for (first, last) in letting_go {
            match self.is_working_on(first, last) {
                true => self.letting_go.borrow_mut().push((first, last)),
                false => self.released.borrow_mut().push((first, last, self.handover())),
            }
        }
        !self.letting_go.borrow().is_empty() || !self.released.borrow().is_empty()
    }
}

async fn beat_for_ever(endpoint: Rc<Endpoint>) {
    let period = Duration::from_secs_f64(endpoint.settings.heartbeat_s);
    let mut target = 0;
    let mut told_target: Option<SocketAddr> = None;
    for sequence in 1.. {
        while shared_micros() < endpoint.silent_until.get() {
            monoio::time::sleep(LOOK_EVERY).await;
        }
        let letting_go = endpoint.finish_letting_go();
        let says_draining = endpoint.is_draining.get();
        let told = endpoint.released.borrow().len();
        let address = told_target.unwrap_or(endpoint.settings.heartbeats[target]);
        let sent = shared_micros();
        let path = format!("/v1/instances/{}", endpoint.life);
        let request = Request::json(Method::PUT, path, endpoint.heartbeat(sequence));
        match Client::new(address).call(&request, HEARTBEAT_LIMIT).await {
            Ok(answer) if answer.is_success() => {
                told_target = endpoint.heard(&answer.body, sent, told).or(told_target);
                endpoint.drain_is_known.set(says_draining);
                monoio::time::sleep(if letting_go { LETTING_GO_EVERY } else { period }).await;
            }
            _ => {
                told_target = None;
                target = (target + 1) % endpoint.settings.heartbeats.len();
                monoio::time::sleep(LETTING_GO_EVERY).await;
            }
        }
    }
}

/// What the endpoint answers at its address.
struct Server(Rc<Endpoint>);

impl Handler for Server {
    fn limits(&self) -> DoorLimits {
        DoorLimits::default()
    }

    async fn handle(self: Rc<Self>, request: Request) -> Option<Return> {
        let endpoint = &self.0;
        match (request.method.as_str(), request.path()) {
            ("GET", "/health") => Some(Return::text(200, "well").with_header(INSTANCE, &endpoint.life)),
            ("POST", "/v1/grant") => Some(granted(endpoint, &request)),
            ("POST", "/v1/release") => Some(released(endpoint, &request).await),
            _ => serve(endpoint, &request).await,
        }
    }
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
        Err(holds::HigherFenceSeen) => Return::fault(409, "a higher fence was seen"),
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
    if endpoint.running.borrow().len() >= endpoint.settings.slots as usize {
        return Some(Return::text(503, "full").with_header(NOT_EXECUTED, "1").with_header(ATTEMPT, &attempt));
    }
    let safe = request.method == Method::GET;
    Event::Ran { at: now, life: endpoint.life.clone(), attempt: attempt.clone(), key, safe }.tell();
    endpoint.running.borrow_mut().push(key);
    let work = Duration::from_millis(LEAST_WORK_MILLIS + endpoint.random.borrow_mut().below(MORE_WORK_MILLIS));
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
