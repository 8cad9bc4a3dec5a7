//! An endpoint as the users' pages describe it: it beats, holds keys, works on so many requests at once and queues a few
//! more, and accepts so many connections.

use crate::http::{self, Message};
use crate::util::{below, note, now, number, random, sleep, text, whole};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Requests that wait in the endpoint itself, beyond those at work.
const QUEUE: usize = 8;
/// It closes a connection that rested for so long.
const IDLE: Duration = Duration::from_secs(10);

#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub heartbeats: Vec<SocketAddr>,
    pub slots: usize,
    /// Connections that it accepts from all callers together; it resets the rest.
    pub max_connections: usize,
    pub work_millis: u64,
    /// It runs only requests for keys that it holds.
    pub is_divided: bool,
    /// Bytes of the body of an answer to a GET; the attempt's id where there are none, and in all other answers.
    pub answer_bytes: usize,
    /// It lists its keys in its heartbeats, and takes what their answers say.
    pub lists_keys: bool,
}

/// One span in which keys are held without a break.
#[derive(Clone, Debug)]
pub struct Hold {
    pub first: u64,
    pub last: u64,
    pub fence: u64,
    pub from: u64,
    pub until: u64,
}

/// One request that began.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub attempt: String,
    pub key: u64,
    pub path: String,
}

#[derive(Default)]
struct State {
    holds: Vec<Hold>,
    /// Spans of holds that are over.
    past: Vec<Hold>,
    seen: Vec<(u64, u64, u64)>,
    working: Vec<u64>,
    waiting: usize,
    runs: Vec<Run>,
    /// Let go, and still worked on.
    letting_go: Vec<(u64, u64)>,
    /// Let go since the last acknowledged heartbeat.
    released: Vec<(u64, u64, String)>,
}

pub struct Endpoint {
    pub kind: Kind,
    pub life: String,
    state: Mutex<State>,
    freed: Condvar,
    connections: AtomicUsize,
    pub resets: AtomicUsize,
    /// Its process is over.
    ended: AtomicBool,
    pub draining: AtomicBool,
    /// The next heartbeat comes so many milliseconds late.
    pub next_beat_late: AtomicU64,
}

fn overlap(one: (u64, u64), other: (u64, u64)) -> bool {
    one.0 <= other.1 && other.0 <= one.1
}

impl State {
    fn holds_key(&self, key: u64, at: u64) -> bool {
        self.holds.iter().any(|hold| hold.first <= key && key <= hold.last && at < hold.until)
    }

    /// Ends what is held of a range at a time.
    fn cut(&mut self, first: u64, last: u64, at: u64) {
        for hold in std::mem::take(&mut self.holds) {
            if !overlap((hold.first, hold.last), (first, last)) {
                self.holds.push(hold);
                continue;
            }
            let inside = Hold {
                first: hold.first.max(first),
                last: hold.last.min(last),
                until: hold.until.min(at),
                ..hold.clone()
            };
            self.past.push(inside);
            if hold.first < first {
                self.holds.push(Hold { last: first - 1, ..hold.clone() });
            }
            if last < hold.last {
                self.holds.push(Hold { first: last + 1, ..hold });
            }
        }
    }

    /// Takes or renews a hold; false where a higher fence was seen on one of the keys.
    fn take(&mut self, next: Hold) -> bool {
        let keys = (next.first, next.last);
        if self.seen.iter().any(|(first, last, fence)| *fence > next.fence && overlap((*first, *last), keys)) {
            return false;
        }
        self.seen.push((next.first, next.last, next.fence));
        let renewed = self.holds.iter_mut().find(|hold| {
            (hold.first, hold.last, hold.fence) == (next.first, next.last, next.fence) && next.from < hold.until
        });
        match renewed {
            Some(hold) => hold.until = next.until,
            None => {
                self.cut(next.first, next.last, next.from);
                self.holds.push(next);
            }
        }
        true
    }
}

impl Endpoint {
    /// Starts to listen and to beat.
    pub fn start(kind: Kind) -> Arc<Self> {
        let life = format!("i-{}-{:08x}", kind.name, random() as u32);
        let endpoint = Arc::new(Self {
            kind,
            life,
            state: Mutex::default(),
            freed: Condvar::new(),
            connections: AtomicUsize::new(0),
            resets: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            next_beat_late: AtomicU64::new(0),
        });
        note(&format!("endpoint {} starts at {}", endpoint.life, endpoint.kind.address));
        let (listening, beating) = (endpoint.clone(), endpoint.clone());
        std::thread::spawn(move || listening.listen());
        std::thread::spawn(move || beating.beat());
        endpoint
    }

    /// The process ends at once, as by a kill.
    pub fn crash(&self) {
        note(&format!("endpoint {} is killed", self.life));
        self.ended.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        state.cut(0, 65_535, now());
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// All spans in which keys were held, those that are not over among them.
    pub fn all_holds(&self) -> Vec<Hold> {
        let state = self.state.lock().unwrap();
        state.past.iter().chain(&state.holds).filter(|hold| hold.from < hold.until).cloned().collect()
    }

    /// It accepts connections up to its limit. Beyond it the listening socket is closed, so that the machine resets the
    /// rest, and opened again once there is room.
    fn listen(self: Arc<Self>) {
        let mut listener: Option<TcpListener> = None;
        while !self.ended.load(Ordering::SeqCst) {
            if self.connections.load(Ordering::SeqCst) >= self.kind.max_connections {
                if listener.take().is_some() {
                    self.resets.fetch_add(1, Ordering::SeqCst);
                    note(&format!("endpoint {} has {} connections and resets the rest", self.life, self.kind.max_connections));
                }
                sleep(1);
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.kind.address).ok().filter(|new| new.set_nonblocking(true).is_ok());
                continue;
            };
            match open.accept() {
                Ok((stream, _)) => {
                    self.connections.fetch_add(1, Ordering::SeqCst);
                    let endpoint = self.clone();
                    std::thread::spawn(move || {
                        let _ = endpoint.serve(stream);
                        endpoint.connections.fetch_sub(1, Ordering::SeqCst);
                    });
                }
                Err(_) => sleep(1),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IDLE))?;
        let mut held = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut held)? {
            if self.ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let (status, headers, body) = self.answer(&request);
            if self.ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let mut all: Vec<(&str, &str)> = headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
            all.push(("Keep-Alive", "timeout=10"));
            http::write(&mut stream, &format!("HTTP/1.1 {status} X"), &all, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, Vec<(&'static str, String)>, String) {
        let own = vec![("Ferryhinge-Instance-Id", self.life.clone())];
        let attempt = request.header("ferryhinge-attempt-id").unwrap_or("").to_owned();
        let mut headers = own.clone();
        if !attempt.is_empty() {
            headers.push(("Ferryhinge-Attempt-Id", attempt.clone()));
        }
        if request.path() == "/health" {
            return (200, own, String::new());
        }
        let not_run = |mut headers: Vec<(&'static str, String)>, status: u16| {
            headers.push(("Ferryhinge-Not-Executed", "1".into()));
            (status, headers, String::new())
        };
        if request.header("ferryhinge-expected-instance").is_some_and(|expected| expected != self.life) {
            return not_run(headers, 421);
        }
        match request.path() {
            "/v1/grant" => return self.granted(&request.text()),
            "/v1/release" => return self.released(&request.text()),
            _ => {}
        }
        let key = request.header("ferryhinge-shard-key").and_then(|key| key.parse().ok()).unwrap_or(0u64);
        let mut state = self.state.lock().unwrap();
        if state.waiting >= QUEUE {
            return not_run(headers, 503);
        }
        state.waiting += 1;
        while state.working.len() >= self.kind.slots {
            state = self.freed.wait(state).unwrap();
        }
        state.waiting -= 1;
        let at = now();
        if self.kind.is_divided && !state.holds_key(key, at) {
            return not_run(headers, 421);
        }
        state.working.push(key);
        state.runs.push(Run { at, attempt: attempt.clone(), key, path: request.path().to_owned() });
        drop(state);
        note(&format!("{} begins {attempt} for key {key}", self.life));
        sleep(self.kind.work_millis * 3 / 4 + below(self.kind.work_millis / 2));
        let mut state = self.state.lock().unwrap();
        if let Some(place) = state.working.iter().position(|other| *other == key) {
            state.working.swap_remove(place);
        }
        let holds = !self.kind.is_divided || state.holds_key(key, now());
        drop(state);
        self.freed.notify_all();
        headers.push(("Ferryhinge-Server-Stamp", format!("{}.{attempt}", self.life)));
        let body = match self.kind.answer_bytes {
            bytes if bytes > 0 && request.method() == "GET" => "x".repeat(bytes),
            _ => attempt,
        };
        (if holds { 200 } else { 500 }, headers, body)
    }

    fn granted(&self, body: &str) -> (u16, Vec<(&'static str, String)>, String) {
        let read = || Some((whole(body, "source_version")?, whole(body, "target_version")?, whole(body, "fence_token")?));
        let (Some((first, last, fence)), Some(hold_s)) = (read(), number(body, "hold_s")) else {
            return (400, Vec::new(), "{}".into());
        };
        let from = now();
        let until = from + (hold_s * 1000.0) as u64;
        let taken = self.state.lock().unwrap().take(Hold { first, last, fence, from, until });
        note(&format!("{} is granted keys {first}-{last}, fence {fence}, for {hold_s} s: {taken}", self.life));
        (if taken { 200 } else { 409 }, Vec::new(), "{}".into())
    }

    fn released(&self, body: &str) -> (u16, Vec<(&'static str, String)>, String) {
        let (Some(first), Some(last)) = (whole(body, "source_version"), whole(body, "target_version")) else {
            return (400, Vec::new(), "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        state.cut(first, last, now());
        note(&format!("{} releases keys {first}-{last}", self.life));
        while state.working.iter().any(|key| first <= *key && *key <= last) {
            state = self.freed.wait(state).unwrap();
        }
        (200, vec![("Ferryhinge-Duty-Handoff", format!("{:016x}", random()))], "{}".into())
    }

    /// What the next heartbeat lists: holds, and what was let go.
    fn lists(&self) -> (String, usize, bool) {
        if !self.kind.lists_keys {
            return (String::new(), 0, false);
        }
        let mut state = self.state.lock().unwrap();
        for (first, last) in std::mem::take(&mut state.letting_go) {
            match state.working.iter().any(|key| first <= *key && *key <= last) {
                true => state.letting_go.push((first, last)),
                false => state.released.push((first, last, format!("{:016x}", random()))),
            }
        }
        let at = now();
        let held = state.holds.iter().filter(|hold| at < hold.until);
        let held: Vec<String> = held.map(|hold| format!("[{},{},{}]", hold.first, hold.last, hold.fence)).collect();
        let released: Vec<String> =
            state.released.iter().map(|(first, last, handover)| format!("[{first},{last},\"{handover}\"]")).collect();
        let lists = format!(",\"holds\":[{}],\"released\":[{}]", held.join(","), released.join(","));
        (lists, state.released.len(), !state.letting_go.is_empty() || !state.released.is_empty())
    }

    /// Takes the answer to a heartbeat that was sent at a time and listed so much as released.
    fn heard(&self, answer: &str, sent: u64, told: usize) {
        let mut state = self.state.lock().unwrap();
        state.released.drain(..told);
        let (Some(rows), Some(hold_s)) = (rows(answer), number(answer, "hold_s")) else { return };
        if !self.kind.lists_keys {
            return;
        }
        let at = now();
        let until = sent + (hold_s * 1000.0) as u64;
        let before: Vec<(u64, u64)> =
            state.holds.iter().filter(|hold| at < hold.until).map(|hold| (hold.first, hold.last)).collect();
        for (first, last) in before {
            let mut kept = vec![(first, last)];
            for (from, to, _) in &rows {
                kept = kept.into_iter().flat_map(|part| without(part, (*from, *to))).collect();
            }
            for (first, last) in kept {
                note(&format!("{} is told to let go of keys {first}-{last}", self.life));
                state.cut(first, last, at);
                state.letting_go.push((first, last));
            }
        }
        for (first, last, fence) in rows {
            let taken = state.take(Hold { first, last, fence, from: at, until });
            note(&format!("{} is told to hold keys {first}-{last}, fence {fence}, to {until} ms: {taken}", self.life));
        }
    }

    fn beat(self: Arc<Self>) {
        let mut target = 0;
        let mut told_target: Option<SocketAddr> = None;
        for sequence in 1u64.. {
            let late = self.next_beat_late.swap(0, Ordering::SeqCst);
            if late > 0 {
                note(&format!("a heartbeat of {} comes {late} ms late", self.life));
                sleep(late);
            }
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
            let (lists, told, letting_go) = self.lists();
            let body = format!(
                "{{\"service_name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity_slots\":{},\
                 \"lifecycle_state\":\"{state}\",\"cold_remaining_s\":0,\"sequence\":{sequence}{lists}}}",
                self.kind.service, self.kind.address, self.kind.zone, self.kind.slots
            );
            let to = told_target.unwrap_or(self.kind.heartbeats[target % self.kind.heartbeats.len()]);
            let sent = now();
            match http::json(to, "PUT", &format!("/v1/instances/{}", self.life), None, &body, 1000) {
                Ok(answer) if (200..300).contains(&answer.status()) => {
                    let answer = answer.text();
                    told_target = text(&answer, "heartbeat_target").and_then(|address| address.parse().ok());
                    self.heard(&answer, sent, told);
                    sleep(if letting_go { 90 } else { crate::fleet::HEARTBEAT_MILLIS });
                }
                _ => {
                    told_target = None;
                    target += 1;
                    sleep(100);
                }
            }
        }
    }
}

/// What is left of a range without another.
fn without(range: (u64, u64), cut: (u64, u64)) -> Vec<(u64, u64)> {
    if !overlap(range, cut) {
        return vec![range];
    }
    let mut left = Vec::new();
    if range.0 < cut.0 {
        left.push((range.0, cut.0 - 1));
    }
    if cut.1 < range.1 {
        left.push((cut.1 + 1, range.1));
    }
    left
}

/// The rows of `holds` in an answer to a heartbeat; nothing where it has none.
fn rows(answer: &str) -> Option<Vec<(u64, u64, u64)>> {
    let rest = answer.split_once("\"holds\":[")?.1;
    let mut found = Vec::new();
    let mut rest = rest.trim_start();
    while let Some(row) = rest.strip_prefix('[') {
        let (inside, after) = row.split_once(']')?;
        let mut fields = inside.split(',').map(str::trim);
        let mut whole = || fields.next()?.parse::<u64>().ok();
        found.push((whole()?, whole()?, whole()?));
        rest = after.trim_start().trim_start_matches(',').trim_start();
    }
    Some(found)
}
