//! Operators and applications. Like the real ones they go to another member after a second of silence
//! or a 5xx, with the very same bytes, and count a call as open until it gets a clear answer.

use crate::histories::{
    ConfigurationOperation, KeyOperation, LockEvent, NumberGiven, OrderOutcome, PutOutcome, Recorded, WatchTold,
};
use crate::world::{ClientId, Host, World};
use lineside::call::{ControlCall, ControlReturn};
use std::time::Duration;
use trackbed::clock::Moment;

const SILENCE: Duration = Duration::from_secs(1);
const CONFIGURATION_SILENCE: Duration = Duration::from_secs(3);
const FIRST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Shorter than keys' history, so that a repeated put is always known for one.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(10);
const WATCH_WAIT: Duration = Duration::from_secs(2);
const KEYS: u64 = 3;
const LOCKS: u64 = 2;
/// Share of releases without an answer after which the client takes the same lock again at once.
const RELEASE_GIVEN_UP_SHARE: f64 = 0.6;
/// Share of a lock user's calls, while it holds a lock, that renew it.
const RENEWAL_SHARE: f64 = 0.3;
const MOST_SCRIPTED_ATTEMPTS: usize = 100;
/// Stands for a scenario's own calls in place of a client.
const SCRIPT: ClientId = usize::MAX;
const GROUP: &str = "g.";

/// What a client spends its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads the configuration back, and orders changes on top of it.
    Operator,
    /// Only reads the configuration back.
    Reader,
    /// Takes locks and numbers, and puts and reads keys.
    Application,
    /// Only takes, renews and gives back locks.
    LockUser,
    /// Follows a group of keys.
    Watcher,
}

/// What a client asked for.
#[derive(Clone, Copy, Debug)]
enum Asked {
    ReadConfiguration,
    Order { base: u64, version: u64, order: u64 },
    Take { lock: u64, hold: Duration },
    Renew { lock: u64, hold: Duration },
    Release { lock: u64 },
    Number,
    Put { key: u64, value: u64, enabled: Option<u64> },
    ReadKey { key: u64 },
    Watch { after: u64 },
}

/// An operation under way.
struct Operation {
    asked: Asked,
    call: ControlCall,
    called: u64,
    started: Moment,
    /// When the present attempt was sent.
    sent: Moment,
    pause: Duration,
}

/// A lock that a client counts as its own.
#[derive(Clone, Copy)]
struct Hold {
    lock: u64,
    fence: u64,
    until: Moment,
}

pub struct Client {
    role: Role,
    /// Members it calls. All of them, unless a scenario says otherwise.
    hosts: Vec<Host>,
    think: Duration,
    operation: Option<Operation>,
    attempt: u64,
    /// Of an operator: the version it builds on.
    known_version: Option<u64>,
    /// Of an application: the last revision it saw of each key.
    known_revisions: Vec<u64>,
    hold: Option<Hold>,
    /// Of an application: the lock that it takes next.
    next_lock: Option<u64>,
    watched: u64,
    is_stopped: bool,
    /// Operations that got a clear answer.
    pub clear_answers: usize,
}

impl Client {
    /// It calls one more member from now on.
    pub fn reach_also(&mut self, host: Host) {
        self.hosts.push(host);
    }

    /// It calls a member no more.
    pub fn reach_no_more(&mut self, host: Host) {
        self.hosts.retain(|known| *known != host);
    }
}

impl World {
    /// Adds a client that starts at once; it pauses for up to `think` between operations.
    pub fn add_client(&mut self, role: Role, hosts: Vec<Host>, think: Duration) -> ClientId {
        self.clients.push(Client {
            role,
            hosts,
            think,
            operation: None,
            attempt: 0,
            known_version: None,
            known_revisions: vec![0; KEYS as usize],
            hold: None,
            next_lock: None,
            watched: 0,
            is_stopped: false,
            clear_answers: 0,
        });
        let client = self.clients.len() - 1;
        self.wake_client(client, Duration::from_millis(1));
        client
    }

    /// The usual mix: two operators, a reader, three applications and a watcher.
    pub fn add_usual_clients(&mut self) {
        let all: Vec<Host> = (0..self.member_count()).collect();
        let roles = [Role::Operator, Role::Operator, Role::Reader, Role::Application, Role::Application];
        for role in roles.into_iter().chain([Role::Application, Role::Watcher]) {
            self.add_client(role, all.clone(), Duration::from_millis(300));
        }
    }

    /// Lets every client finish what is under way and begin nothing new.
    pub fn stop_clients(&mut self) {
        self.clients.iter_mut().for_each(|client| client.is_stopped = true);
    }

    /// Records all that never got a clear answer.
    pub fn give_up_open_operations(&mut self) {
        for client in 0..self.clients.len() {
            if let Some(operation) = self.clients[client].operation.take() {
                self.record_unknown(&operation);
            }
        }
    }

    pub fn client_wakes(&mut self, client: ClientId) {
        match &self.clients[client].operation {
            Some(_) => self.send_attempt(client),
            None if self.clients[client].is_stopped => {}
            None => self.begin(client),
        }
    }

    /// Sends one call of a scenario's own, once. The answer is found by the number given back.
    pub fn send_scripted(&mut self, host: Host, call: ControlCall) -> u64 {
        let attempt = self.next_place();
        self.request(host, SCRIPT, attempt, call);
        attempt
    }

    /// Sends one call of a scenario's own, and waits for its answer.
    pub fn ask_once(&mut self, host: Host, call: ControlCall) -> Option<ControlReturn> {
        let attempt = self.send_scripted(host, call);
        let end = self.now + CONFIGURATION_SILENCE;
        while self.now < end && !self.script_answers.contains_key(&attempt) {
            self.run(Duration::from_millis(5));
        }
        self.script_answers.remove(&attempt)
    }

    /// Repeats one call, at one member after the other, until its answer is clear.
    pub fn ask_until_clear(&mut self, hosts: &[Host], call: &ControlCall) -> ControlReturn {
        for attempt in 0..MOST_SCRIPTED_ATTEMPTS {
            let answer = self.ask_once(hosts[attempt % hosts.len()], call.clone());
            if let Some(answer) = answer.filter(|answer| answer.status < 500) {
                return answer;
            }
            self.run(FIRST_PAUSE);
        }
        panic!("no clear answer to {} {}", call.method, call.path);
    }

    fn begin(&mut self, client: ClientId) {
        let asked = self.choose(client);
        let call = call_of(client, asked, self.clients[client].hold);
        let (called, now) = (self.next_place(), self.now);
        if let Asked::Release { .. } = asked
            && let Some(hold) = self.clients[client].hold.take()
        {
            let released = LockEvent::Released { holder: client as u64 };
            self.histories.locks.entry(hold.lock).or_default().push(released);
        }
        let operation = Operation { asked, call, called, started: now, sent: now, pause: FIRST_PAUSE };
        self.clients[client].operation = Some(operation);
        self.send_attempt(client);
    }

    fn send_attempt(&mut self, client: ClientId) {
        let now = self.now;
        let at = &mut self.clients[client];
        let Some(operation) = at.operation.as_mut() else { return };
        if now.since(operation.started) > GIVEN_UP_AFTER {
            let operation = at.operation.take().expect("looked at just now");
            self.record_unknown(&operation);
            self.rest(client);
            return;
        }
        operation.sent = now;
        at.attempt += 1;
        let (attempt, call, limit) = (at.attempt, operation.call.clone(), silence_of(operation.asked));
        let host = at.hosts[self.random.below(at.hosts.len() as u64) as usize];
        self.request(host, client, attempt, call);
        self.limit_client(client, attempt, limit);
    }

    pub fn client_waited_enough(&mut self, client: ClientId, attempt: u64) {
        if self.clients[client].attempt != attempt {
            return;
        }
        match self.clients[client].operation.as_ref().map(|operation| operation.asked) {
            Some(Asked::Release { lock }) if self.random.chance(RELEASE_GIVEN_UP_SHARE) => {
                self.clients[client].attempt += 1;
                self.clients[client].operation = None;
                self.clients[client].next_lock = Some(lock);
                self.wake_client(client, FIRST_PAUSE);
            }
            Some(_) => self.send_attempt(client),
            None => {}
        }
    }

    pub fn client_answered(&mut self, client: ClientId, attempt: u64, answer: ControlReturn) {
        if client == SCRIPT {
            self.script_answers.insert(attempt, answer);
            return;
        }
        if self.clients[client].attempt != attempt {
            return;
        }
        let Some(mut operation) = self.clients[client].operation.take() else { return };
        // What comes for this attempt from now on counts for nothing.
        self.clients[client].attempt += 1;
        if answer.status >= 500 {
            let pause = operation.pause;
            operation.pause = (pause * 2).min(LONGEST_PAUSE);
            self.clients[client].operation = Some(operation);
            self.wake_client(client, pause);
            return;
        }
        self.clients[client].clear_answers += 1;
        self.record(client, &operation, &answer);
        self.rest(client);
    }

    fn rest(&mut self, client: ClientId) {
        let think = self.clients[client].think.as_micros() as u64;
        let think = Duration::from_micros(1_000 + self.random.below(think));
        self.wake_client(client, think);
    }

    fn choose(&mut self, client: ClientId) -> Asked {
        match self.clients[client].role {
            Role::Operator => self.choose_order(client),
            Role::Reader => Asked::ReadConfiguration,
            Role::Application => self.choose_for_application(client),
            Role::LockUser => self.choose_for_lock_user(client),
            Role::Watcher => Asked::Watch { after: self.clients[client].watched },
        }
    }

    fn choose_order(&mut self, client: ClientId) -> Asked {
        match self.clients[client].known_version {
            Some(base) if !self.random.chance(0.2) => {
                let version = base + 1 + self.random.below(2);
                Asked::Order { base, version, order: self.next_place() }
            }
            _ => Asked::ReadConfiguration,
        }
    }

    /// What a client holds; nothing once its time has run out.
    fn present_hold(&mut self, client: ClientId) -> Option<Hold> {
        let held = self.clients[client].hold.filter(|held| held.until > self.now);
        self.clients[client].hold = held;
        held
    }

    fn draw_hold_time(&mut self) -> Duration {
        Duration::from_millis(200 + self.random.below(1500))
    }

    fn choose_for_lock_user(&mut self, client: ClientId) -> Asked {
        let hold = self.draw_hold_time();
        let lock = self.clients[client].next_lock.take().unwrap_or(self.random.below(LOCKS));
        match self.present_hold(client) {
            None => Asked::Take { lock, hold },
            Some(held) if self.random.chance(RENEWAL_SHARE) => Asked::Renew { lock: held.lock, hold },
            Some(held) => Asked::Release { lock: held.lock },
        }
    }

    fn choose_for_application(&mut self, client: ClientId) -> Asked {
        let key = self.random.below(KEYS);
        let hold = self.draw_hold_time();
        let held = self.present_hold(client);
        if let Some(lock) = self.clients[client].next_lock.take() {
            return Asked::Take { lock, hold };
        }
        match (self.random.below(10), held) {
            (0, _) => Asked::Number,
            (1..=3, None) => Asked::Take { lock: self.random.below(LOCKS), hold },
            (1, Some(held)) => Asked::Renew { lock: held.lock, hold },
            (2 | 3, Some(held)) => Asked::Release { lock: held.lock },
            (4..=6, _) => {
                let known = self.clients[client].known_revisions[key as usize];
                let enabled = self.random.chance(0.6).then_some(known);
                Asked::Put { key, value: self.next_place(), enabled }
            }
            _ => Asked::ReadKey { key },
        }
    }

    fn record(&mut self, client: ClientId, operation: &Operation, answer: &ControlReturn) {
        let returned = self.next_place();
        let called = operation.called;
        match operation.asked {
            Asked::ReadConfiguration => self.record_read(client, called, returned, answer),
            Asked::Order { base, version, order } => {
                let outcome = match answer.status {
                    200 => OrderOutcome::Acknowledged,
                    412 => OrderOutcome::Refused,
                    status => panic!("an order in good form got {status}: {}", answer.body),
                };
                self.clients[client].known_version = (outcome == OrderOutcome::Acknowledged).then_some(version);
                let operation = ConfigurationOperation::Order { base, version, order, outcome };
                self.histories.configuration.push(Recorded { called, returned: Some(returned), operation });
            }
            Asked::Take { lock, hold } | Asked::Renew { lock, hold } => {
                self.record_hold(client, lock, operation.sent + hold, answer);
            }
            Asked::Release { .. } => {}
            Asked::Number => {
                let operation = NumberGiven { value: number_in(&answer.body, "value") };
                self.histories.numbers.push(Recorded { called, returned: Some(returned), operation });
            }
            Asked::Put { key, value, enabled } => {
                let revision = number_in(&answer.body, "revision");
                let outcome = match answer.status {
                    200 => PutOutcome::Done(revision),
                    412 => PutOutcome::Refused(revision),
                    status => panic!("a put in good form got {status}: {}", answer.body),
                };
                self.clients[client].known_revisions[key as usize] = revision;
                self.push_key(key, called, Some(returned), KeyOperation::Put { value, enabled, outcome });
            }
            Asked::ReadKey { key } => {
                let (value, revision) = match answer.status {
                    404 => (0, 0),
                    _ => (value_in(&answer.body), number_in(&answer.body, "revision")),
                };
                self.clients[client].known_revisions[key as usize] = revision;
                self.push_key(key, called, Some(returned), KeyOperation::Read { value, revision });
            }
            Asked::Watch { after } => self.record_watch(client, after, answer),
        }
    }

    fn record_read(&mut self, client: ClientId, called: u64, returned: u64, answer: &ControlReturn) {
        let (version, order) = match answer.status {
            404 => (0, 0),
            _ => (version_in(&answer.body), order_in(&answer.body)),
        };
        self.clients[client].known_version = Some(version);
        let operation = ConfigurationOperation::Read { version, order };
        self.histories.configuration.push(Recorded { called, returned: Some(returned), operation });
    }

    fn record_hold(&mut self, client: ClientId, lock: u64, until: Moment, answer: &ControlReturn) {
        let now = self.now;
        let before = self.clients[client].hold.take();
        if answer.status != 200 || until <= now {
            return;
        }
        let fence = match before {
            // A renewal counts only while the hold it renews lasts.
            Some(hold) if hold.lock == lock && hold.until > now => hold.fence,
            Some(_) => return,
            None => number_in(&answer.body, "fence_token"),
        };
        self.clients[client].hold = Some(Hold { lock, fence, until });
        let held = LockEvent::Held { holder: client as u64, fence, at: now, until };
        self.histories.locks.entry(lock).or_default().push(held);
    }

    fn record_watch(&mut self, client: ClientId, after: u64, answer: &ControlReturn) {
        if answer.status == 410 {
            self.clients[client].watched = 0;
            return;
        }
        let revision = last_revision_in(&answer.body);
        self.clients[client].watched = revision;
        if after > 0 {
            let events = events_in(&answer.body);
            self.histories.watches.push(WatchTold { after, revision, events });
        }
    }

    fn record_unknown(&mut self, operation: &Operation) {
        let called = operation.called;
        match operation.asked {
            Asked::Order { base, version, order } => {
                let outcome = OrderOutcome::Unknown;
                let operation = ConfigurationOperation::Order { base, version, order, outcome };
                self.histories.configuration.push(Recorded { called, returned: None, operation });
            }
            Asked::Put { key, value, enabled } => {
                let outcome = PutOutcome::Unknown;
                self.push_key(key, called, None, KeyOperation::Put { value, enabled, outcome });
            }
            _ => {}
        }
    }

    fn push_key(&mut self, key: u64, called: u64, returned: Option<u64>, operation: KeyOperation) {
        self.histories.keys.entry(key).or_default().push(Recorded { called, returned, operation });
    }
}

fn silence_of(asked: Asked) -> Duration {
    match asked {
        Asked::ReadConfiguration | Asked::Order { .. } => CONFIGURATION_SILENCE,
        Asked::Watch { .. } => SILENCE + WATCH_WAIT,
        _ => SILENCE,
    }
}

fn call_of(client: ClientId, asked: Asked, hold: Option<Hold>) -> ControlCall {
    let seconds = |hold: Duration| hold.as_secs_f64();
    match asked {
        Asked::ReadConfiguration => control_call("GET", "/v1/configuration", None, String::new()),
        Asked::Order { base, version, order } => order_call(base, version, order),
        Asked::Take { lock, hold } => {
            let body = format!("{{\"holder\":\"h{client}\",\"hold_s\":{}}}", seconds(hold));
            control_call("POST", &format!("/v1/locks/l{lock}"), None, body)
        }
        Asked::Renew { lock, hold: length } => {
            let fence = hold.map(|hold| hold.fence).unwrap_or(0);
            let length = seconds(length);
            let body = format!("{{\"holder\":\"h{client}\",\"fence_token\":{fence},\"hold_s\":{length}}}");
            control_call("PUT", &format!("/v1/locks/l{lock}"), None, body)
        }
        Asked::Release { lock } => {
            let fence = hold.map(|hold| hold.fence).unwrap_or_default();
            let body = format!("{{\"holder\":\"h{client}\",\"fence_token\":{fence}}}");
            control_call("DELETE", &format!("/v1/locks/l{lock}"), None, body)
        }
        Asked::Number => control_call("POST", "/v1/numbers/n", None, "{}".into()),
        Asked::Put { key, value, enabled } => {
            let rest = enabled.map(|enabled| format!(",\"enabled\":{enabled}")).unwrap_or_default();
            let body = format!("{{\"value\":\"v{value}\"{rest}}}");
            control_call("PUT", &format!("/v1/cells/{GROUP}{key}"), None, body)
        }
        Asked::ReadKey { key } => control_call("GET", &format!("/v1/cells/{GROUP}{key}"), None, String::new()),
        Asked::Watch { after } => {
            let wait = WATCH_WAIT.as_millis();
            let mut call = control_call("GET", &format!("/v1/watch/{GROUP}"), None, String::new());
            call.query = format!("after={after}&wait_ms={wait}");
            call
        }
    }
}

pub fn control_call(method: &str, path: &str, if_match: Option<String>, body: String) -> ControlCall {
    let (method, path) = (method.into(), path.into());
    ControlCall { method, path, query: String::new(), if_match, body: body.into() }
}

/// An order that names itself in the route it sets. Every other one is a patch.
pub fn order_call(base: u64, version: u64, order: u64) -> ControlCall {
    let routes = format!(
        "{{\"a\":{{\"hostname\":\"h\",\"path_prefix\":\"/order{order}/\",\"route_type\":\"upload\",\"service_name\":\"s\"}}}}"
    );
    let if_match = Some(if base == 0 { "0".to_owned() } else { format!("r{base}") });
    let (method, body) = match base > 0 && order.is_multiple_of(2) {
        true => {
            ("PATCH", format!("{{\"version\":\"r{version}\",\"upserts\":{{\"routes\":{routes}}},\"removals\":{{}}}}"))
        }
        false => ("PUT", format!("{{\"version\":\"r{version}\",\"routes\":{routes},\"services\":{{\"s\":{{}}}}}}")),
    };
    control_call(method, "/v1/configuration", if_match, body)
}

fn digits_after(text: &str, mark: &str) -> u64 {
    let rest = text.split_once(mark).unwrap_or_else(|| panic!("no {mark} in {text}")).1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or_else(|_| panic!("no number after {mark} in {text}"))
}

pub fn number_in(body: &str, field: &str) -> u64 {
    digits_after(body, &format!("\"{field}\":"))
}

pub fn version_in(body: &str) -> u64 {
    digits_after(body, "\"version\":\"r")
}

pub fn order_in(body: &str) -> u64 {
    digits_after(body, "/order")
}

/// The group's revision, which stands behind those of the events.
fn last_revision_in(body: &str) -> u64 {
    let start = body.rfind("\"revision\"").unwrap_or_else(|| panic!("no revision in {body}"));
    number_in(&body[start..], "revision")
}

fn value_in(body: &str) -> u64 {
    digits_after(body, "\"value\":\"v")
}

fn events_in(body: &str) -> Vec<(u64, u64, u64)> {
    let name = format!("\"name\":\"{GROUP}");
    let event = |text: &str| {
        let key = text.chars().take_while(char::is_ascii_digit).collect::<String>().parse().expect("a key");
        (key, value_in(text), number_in(text, "revision"))
    };
    body.split(name.as_str()).skip(1).map(event).collect()
}
