//! Histories of coordination, with primaries that change and proposals that are lost, checked
//! against what callers may rely on.

use super::*;
use crate::ledger::Change;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use trackbed::ids::{ZoneName, Zxid};
use trackbed::random::Random;

/// A primary's context without the network: what it proposed is committed later, or lost with it.
struct Core {
    committed: Ledger,
    proposed: Ledger,
    holds: BTreeMap<String, Hold>,
    /// Proposed and not yet committed, with what is to be answered then.
    open: Vec<(Zxid, Change, usize, ControlReturn)>,
    epoch: u64,
    counter: u64,
    now: Moment,
    places: Places<'static>,
}

impl Core {
    fn new() -> Self {
        let ledger = Ledger::new(Duration::from_secs(20));
        Self {
            committed: ledger.clone(),
            proposed: ledger,
            holds: BTreeMap::new(),
            open: Vec::new(),
            epoch: 1,
            counter: 0,
            now: Moment::from_micros(1_000_000),
            places: Places::ANY,
        }
    }

    /// Decides a call. Answers that are due come back by `commit`.
    fn call(&mut self, number: usize, call: &ControlCall) -> Option<ControlReturn> {
        let (resource, name) = find(&call.path).expect("a known resource");
        let context = Context {
            proposed: &self.proposed,
            committed: &self.committed,
            holds: &mut self.holds,
            now: self.now,
            lock_metrics: &LockMetrics::default(),
            places: self.places,
        };
        match resource.decide(name, call, context) {
            Decision::Read(answer) => Some(answer),
            Decision::Committed(answer) if self.open.is_empty() => Some(answer),
            // It rests on what is open: answered after that, like a proposal that changes nothing.
            Decision::Committed(answer) => {
                let (zxid, change, _, _) = self.open.last().expect("looked at just now").clone();
                self.open.push((zxid, change, number, answer));
                None
            }
            Decision::Propose(change, answer) => {
                self.counter += 1;
                let zxid = Zxid::new(self.epoch, self.counter);
                self.proposed.apply(zxid, (*change).clone(), self.now).unwrap();
                self.open.push((zxid, *change, number, answer));
                None
            }
            Decision::Watch { .. } => unreachable!("not called here"),
        }
    }

    fn commit(&mut self, count: usize) -> Vec<(usize, ControlReturn)> {
        let due: Vec<_> = self.open.drain(..count).collect();
        let mut answers = Vec::new();
        for (zxid, change, number, answer) in due {
            if self.committed_before(zxid) {
                apply(&mut self.committed, zxid, change, self.now);
            }
            answers.push((number, answer));
        }
        answers
    }

    fn committed_before(&self, zxid: Zxid) -> bool {
        APPLIED.with(|applied| applied.get() < zxid)
    }

    /// Decides a call and commits all that it proposed.
    fn answer_to(&mut self, method: &str, path: &str, body: String) -> ControlReturn {
        let answer = self.call(self.counter as usize, &call(method, path, body));
        answer.unwrap_or_else(|| self.commit(self.open.len()).pop().expect("it is open").1)
    }

    /// Another primary takes over; a part of what was open survives, and nobody was told.
    fn change_primary(&mut self, random: &mut Random) {
        let kept = random.below(self.open.len() as u64 + 1) as usize;
        self.commit(kept);
        self.open.clear();
        self.epoch += 1;
        self.counter = 0;
        self.proposed = self.committed.clone();
        self.holds = self
            .committed
            .locks
            .iter()
            .map(|(lock, record)| (lock.clone(), Hold::counted_from(self.now, record)))
            .collect();
    }
}

thread_local! {
    static APPLIED: std::cell::Cell<Zxid> = const { std::cell::Cell::new(Zxid::ZERO) };
}

fn apply(ledger: &mut Ledger, zxid: Zxid, change: Change, now: Moment) {
    APPLIED.with(|applied| applied.set(zxid));
    ledger.apply(zxid, change, now).unwrap();
}

fn call(method: &str, path: &str, body: String) -> ControlCall {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    ControlCall { method: method.into(), path: path.into(), query: query.into(), if_match: None, body: body.into() }
}

fn number_in(body: &str, field: &str) -> u64 {
    Body::read(body.as_bytes()).and_then(|body| body.number(field)).expect("a number")
}

#[derive(Clone, Debug)]
enum Asked {
    Take { lock: u64, holder: u64, hold: Duration },
    Renew { lock: u64, holder: u64, hold: Duration },
    Release,
    Number { floor: u64 },
    Put { key: u64, value: u64, enabled: Option<u64> },
    Read { floor: u64 },
}

#[derive(Default)]
struct Observer {
    /// When a holder gave a lock back last: what it asked before that counts for nothing.
    released: HashMap<(u64, u64), Moment>,
    /// By lock: holder, fence, until when the holder counts itself holder.
    held: HashMap<u64, (u64, u64, Moment)>,
    highest_fence: HashMap<u64, (u64, u64)>,
    highest_number: u64,
    revision_of_value: HashMap<u64, u64>,
    value_of_revision: HashMap<u64, u64>,
    acknowledged: HashMap<u64, u64>,
}

impl Observer {
    fn see(&mut self, asked: &Asked, sent: Moment, answer: &ControlReturn, now: Moment) {
        match asked {
            Asked::Take { lock, holder, hold }
                if answer.status == 200 && self.released.get(&(*lock, *holder)).is_none_or(|at| *at < sent) =>
            {
                let fence = number_in(&answer.body, "fence_token");
                if let Some((other, _, until)) = self.held.get(lock) {
                    assert!(other == holder || *until < now, "two holders of one lock");
                }
                if let Some((other, highest)) = self.highest_fence.get(lock) {
                    assert!(fence > *highest || (other == holder && fence == *highest), "fences must rise");
                }
                self.highest_fence.insert(*lock, (*holder, fence));
                self.held.insert(*lock, (*holder, fence, sent + *hold));
            }
            Asked::Renew { lock, holder, hold } => {
                if answer.status == 200
                    && let Some((other, _, until)) = self.held.get_mut(lock)
                    && other == holder
                    && *until >= now
                {
                    *until = (*until).max(sent + *hold);
                }
            }
            Asked::Number { floor } => {
                let value = number_in(&answer.body, "value");
                assert!(value > *floor, "a number not above one given before it was asked for");
                self.highest_number = self.highest_number.max(value);
            }
            Asked::Put { key, value, enabled } => {
                let revision = number_in(&answer.body, "revision");
                if answer.status == 412 {
                    assert!(enabled.is_some_and(|enabled| enabled != revision));
                    return;
                }
                assert!(revision > 0);
                if let Some(first) = self.revision_of_value.insert(*value, revision) {
                    assert_eq!(first, revision, "a repeated put gets its first revision");
                }
                if let Some(other) = self.value_of_revision.insert(revision, *value) {
                    assert_eq!(other, *value, "a revision given twice");
                }
                let known = self.acknowledged.entry(*key).or_insert(0);
                *known = (*known).max(revision);
            }
            Asked::Read { floor } => {
                let revision = if answer.status == 404 { 0 } else { number_in(&answer.body, "revision") };
                assert!(revision >= *floor, "a stale read");
            }
            _ => {}
        }
    }
}

#[test]
fn callers_see_what_they_may_rely_on() {
    let mut takes = 0;
    for seed in 0..150 {
        APPLIED.with(|applied| applied.set(Zxid::ZERO));
        let mut random = Random::seeded(seed);
        let mut core = Core::new();
        let mut observer = Observer::default();
        let mut asked: Vec<(Asked, Moment)> = Vec::new();
        let mut next_value = 1;
        let mut repeats: Vec<(u64, u64, Option<u64>)> = Vec::new();
        for _ in 0..800 {
            core.now = core.now + Duration::from_millis(random.below(60));
            let (lock, holder, key) = (random.below(2), random.below(3), random.below(4));
            let hold = Duration::from_millis(200 + random.below(400));
            let seconds = hold.as_secs_f64();
            let fence = observer.held.get(&lock).filter(|held| held.0 == holder).map(|held| held.1);
            let path = format!("/v1/locks/l{lock}");
            let (what, made) = match (random.below(9), fence) {
                (0..3, _) => {
                    let body = format!("{{\"holder\":\"h{holder}\",\"hold_s\":{seconds}}}");
                    (Asked::Take { lock, holder, hold }, call("POST", &path, body))
                }
                (3, Some(fence)) => {
                    let body = format!("{{\"holder\":\"h{holder}\",\"fence_token\":{fence},\"hold_s\":{seconds}}}");
                    (Asked::Renew { lock, holder, hold }, call("PUT", &path, body))
                }
                (4, Some(fence)) if random.chance(0.3) => {
                    observer.held.remove(&lock);
                    observer.released.insert((lock, holder), core.now);
                    let body = format!("{{\"holder\":\"h{holder}\",\"fence_token\":{fence}}}");
                    (Asked::Release, call("DELETE", &path, body))
                }
                (5, _) => {
                    let floor = observer.highest_number;
                    (Asked::Number { floor }, call("POST", "/v1/numbers/n", "{}".into()))
                }
                (6, _) if !repeats.is_empty() && random.chance(0.4) => {
                    // No clear answer came: the same put goes out again.
                    let (key, value, enabled) = repeats[random.below(repeats.len() as u64) as usize];
                    put(key, value, enabled)
                }
                (6 | 7, _) => {
                    let enabled = random.chance(0.5).then(|| observer.acknowledged.get(&key).copied().unwrap_or(0));
                    let value = next_value;
                    next_value += 1;
                    repeats.push((key, value, enabled));
                    if repeats.len() > 6 {
                        repeats.remove(0);
                    }
                    put(key, value, enabled)
                }
                _ => {
                    let floor = observer.acknowledged.get(&key).copied().unwrap_or(0);
                    (Asked::Read { floor }, call("GET", &format!("/v1/cells/g.{key}"), String::new()))
                }
            };
            let sent = core.now;
            asked.push((what, sent));
            let number = asked.len() - 1;
            if let Some(answer) = core.call(number, &made) {
                observer.see(&asked[number].0, sent, &answer, core.now);
            }
            if random.chance(0.5) {
                core.now = core.now + Duration::from_millis(random.below(10));
                let count = random.below(core.open.len() as u64 + 1) as usize;
                for (number, answer) in core.commit(count) {
                    let (what, sent) = asked[number].clone();
                    takes += matches!(what, Asked::Take { .. }) as usize * (answer.status == 200) as usize;
                    observer.see(&what, sent, &answer, core.now);
                }
            }
            if random.chance(0.01) {
                core.change_primary(&mut random);
            }
        }
    }
    assert!(takes > 1000, "{takes}");
}

fn put(key: u64, value: u64, enabled: Option<u64>) -> (Asked, ControlCall) {
    let rest = enabled.map(|enabled| format!(",\"enabled\":{enabled}")).unwrap_or_default();
    let made = call("PUT", &format!("/v1/cells/g.{key}"), format!("{{\"value\":\"v{value}\"{rest}}}"));
    (Asked::Put { key, value, enabled }, made)
}

#[test]
fn watches_tell_every_put_and_say_when_they_can_not() {
    let mut ledger = Ledger::new(Duration::from_secs(2));
    let mut now = Moment::from_micros(0);
    for revision in 1..=50 {
        now = now + Duration::from_millis(200);
        let change = Change::CellPut { name: format!("g.{}", revision % 3), value: format!("v{revision}"), revision };
        ledger.apply(Zxid::new(1, revision), change, now).unwrap();
    }
    let told = watch::look(&ledger, "g.", 40, false).expect("there is something to tell");
    assert_eq!((told.status, told.body.matches("\"name\"").count()), (200, 10));
    assert!(told.body.ends_with("\"revision\":50}"));
    // 2 s are promised; 5 s are kept, which is 25 puts.
    assert_eq!(watch::look(&ledger, "g.", 26, false).map(|told| told.status), Some(200));
    assert_eq!(watch::look(&ledger, "g.", 3, false).map(|told| told.status), Some(410));
    assert!(watch::look(&ledger, "g.", 50, false).is_none(), "nothing to tell: it waits");
}

#[test]
fn one_of_two_changes_on_the_same_version_wins_and_repeats_are_known() {
    let mut core = Core::new();
    APPLIED.with(|applied| applied.set(Zxid::ZERO));
    let whole = |epoch: u64, path: &str| {
        let route = format!(
            "{{\"hostname\":\"h\",\"path_prefix\":\"{path}\",\"route_type\":\"upload\",\"service_name\":\"s\"}}"
        );
        let body = format!("{{\"version\":\"r{epoch}\",\"routes\":{{\"a\":{route}}},\"services\":{{\"s\":{{}}}}}}");
        ControlCall { if_match: Some("0".into()), ..call("PUT", "/v1/configuration", body) }
    };
    assert!(core.call(0, &whole(3, "/a/")).is_none());
    // The loser is told only once the winner is committed.
    assert!(core.call(1, &whole(4, "/b/")).is_none());
    let answers = core.commit(2);
    assert_eq!(answers.iter().map(|(_, answer)| answer.status).collect::<Vec<_>>(), [200, 412]);
    assert_eq!(core.call(2, &whole(3, "/a/")).map(|answer| answer.status), Some(200), "the same call again");
    assert_eq!(core.call(3, &whole(2, "a/")).map(|answer| answer.status), Some(400));
    assert_eq!(core.committed.fleet.epoch().0, 3);
}

fn configuration(base: &str, version: u64, path: &str) -> ControlCall {
    let route =
        format!("{{\"hostname\":\"h\",\"path_prefix\":\"{path}\",\"route_type\":\"upload\",\"service_name\":\"s\"}}");
    let body = format!("{{\"version\":\"r{version}\",\"routes\":{{\"a\":{route}}},\"services\":{{\"s\":{{}}}}}}");
    ControlCall { if_match: Some(base.into()), ..call("PUT", "/v1/configuration", body) }
}

/// Takes a number of configurations, each on top of the last.
fn core_with_taken(count: u64) -> Core {
    let mut core = Core::new();
    APPLIED.with(|applied| applied.set(Zxid::ZERO));
    for version in 1..=count {
        let order = configuration(&format!("r{}", version - 1), version, "/a/");
        assert!(core.call(0, &order).is_none(), "version {version} is proposed");
        assert_eq!(core.commit(1)[0].1.status, 200);
    }
    core
}

#[test]
fn a_repeat_is_acknowledged_or_unknown_however_late_it_comes() {
    let mut core = core_with_taken(1024 + 200);
    for version in [1, 2, 199, 200] {
        let late = core.call(0, &configuration(&format!("r{}", version - 1), version, "/a/"));
        assert_eq!(late.map(|answer| answer.status), Some(504), "version {version} is forgotten");
    }
    for version in [201, 1000, 1224] {
        let repeat = core.call(0, &configuration(&format!("r{}", version - 1), version, "/a/"));
        assert_eq!(repeat.map(|answer| answer.status), Some(200), "version {version} is remembered");
    }
    let loser = core.call(0, &configuration("r1222", 1300, "/b/"));
    assert_eq!(loser.map(|answer| answer.status), Some(412), "the order that won is remembered, and it is another");
}

#[test]
fn while_nothing_is_forgotten_an_old_base_is_refused() {
    let mut core = core_with_taken(40);
    let loser = core.call(0, &configuration("0", 50, "/b/"));
    assert_eq!(loser.map(|answer| answer.status), Some(412));
}

#[test]
fn orders_that_differ_in_bytes_that_are_no_text_are_two() {
    let order = |byte: u8| ControlCall { body: vec![byte].into(), ..configuration("0", 1, "/a/") };
    assert_ne!(configuration::digest(&order(0xfe)), configuration::digest(&order(0xff)));
    // What belongs to the number and what to the body is told apart.
    let split = |base: &str, body: &str| ControlCall {
        if_match: Some(base.into()),
        body: body.to_owned().into(),
        ..configuration("0", 1, "/a/")
    };
    assert_ne!(configuration::digest(&split("1\n2", "3")), configuration::digest(&split("1", "2\n3")));
    let missing = ControlCall { if_match: None, ..split("", "3") };
    assert_ne!(configuration::digest(&missing), configuration::digest(&split("", "3")));
}

#[test]
fn of_two_operators_at_one_number_one_wins_and_the_other_is_refused() {
    let mut core = core_with_taken(3);
    assert!(core.call(1, &configuration("r3", 4, "/one/")).is_none());
    assert!(core.call(2, &configuration("r3", 4, "/two/")).is_none());
    let answers: Vec<(usize, u16)> =
        core.commit(2).into_iter().map(|(number, answer)| (number, answer.status)).collect();
    assert_eq!(answers, [(1, 200), (2, 412)]);
}

#[test]
fn a_lock_is_not_given_on_before_a_slower_clock_ends_its_hold() {
    let mut core = Core::new();
    APPLIED.with(|applied| applied.set(Zxid::ZERO));
    let take = |holder: &str| call("POST", "/v1/locks/l", format!("{{\"holder\":\"{holder}\",\"hold_s\":10}}"));
    assert!(core.call(1, &take("first")).is_none());
    assert_eq!(core.commit(1)[0].1.status, 200);
    core.now = core.now + Duration::from_millis(10_050);
    assert_eq!(core.call(2, &take("second")).map(|answer| answer.status), Some(409));
    core.now = core.now + Duration::from_millis(100);
    assert!(core.call(3, &take("second")).is_none(), "it is proposed");
    assert_eq!(core.commit(1)[0].1.status, 200);
}

/// A core with one lock, and calls about it.
struct LockCase {
    core: Core,
}

impl LockCase {
    fn new() -> Self {
        APPLIED.with(|applied| applied.set(Zxid::ZERO));
        Self { core: Core::new() }
    }

    fn answer_to(&mut self, method: &str, body: String) -> ControlReturn {
        self.core.answer_to(method, "/v1/locks/l", body)
    }

    fn take(&mut self, holder: &str, hold_seconds: u64) -> ControlReturn {
        self.answer_to("POST", format!("{{\"holder\":\"{holder}\",\"hold_s\":{hold_seconds}}}"))
    }

    fn renew(&mut self, holder: &str, fence: u64, hold_seconds: u64) -> ControlReturn {
        let body = format!("{{\"holder\":\"{holder}\",\"fence_token\":{fence},\"hold_s\":{hold_seconds}}}");
        self.answer_to("PUT", body)
    }

    fn release(&mut self, holder: &str, fence: u64) -> ControlReturn {
        self.answer_to("DELETE", format!("{{\"holder\":\"{holder}\",\"fence_token\":{fence}}}"))
    }

    fn fence(answer: &ControlReturn) -> u64 {
        assert_eq!(answer.status, 200);
        number_in(&answer.body, "fence_token")
    }

    fn let_pass(&mut self, millis: u64) {
        self.core.now = self.core.now + Duration::from_millis(millis);
    }
}

#[test]
fn a_release_that_comes_late_frees_no_lock_that_its_holder_took_again() {
    let mut lock = LockCase::new();
    let first = LockCase::fence(&lock.take("a", 5));
    let again = LockCase::fence(&lock.take("a", 5));
    assert!(again > first);
    assert_eq!(lock.release("a", first).status, 200);
    assert_eq!(lock.take("b", 5).status, 409, "the first holder still counts itself holder");
    assert_eq!(lock.release("a", again).status, 200);
    assert!(LockCase::fence(&lock.take("b", 5)) > again);
}

#[test]
fn a_take_that_comes_late_loses_its_holder_nothing() {
    let mut lock = LockCase::new();
    let known = LockCase::fence(&lock.take("a", 5));
    let late = LockCase::fence(&lock.take("a", 1));
    lock.let_pass(3000);
    assert_eq!(lock.take("b", 5).status, 409, "a shorter hold ends no longer one");
    assert_eq!(LockCase::fence(&lock.renew("a", known, 5)), late, "the holder is told its newest fence");
    lock.let_pass(4000);
    assert_eq!(lock.take("b", 5).status, 409);
}

#[test]
fn a_fence_of_an_earlier_hold_renews_nothing() {
    let mut lock = LockCase::new();
    let first = LockCase::fence(&lock.take("a", 1));
    lock.let_pass(2000);
    let other = LockCase::fence(&lock.take("b", 1));
    lock.release("b", other);
    let again = LockCase::fence(&lock.take("a", 5));
    assert!(first < other && other < again);
    assert_eq!(lock.renew("a", first, 5).status, 409);
    assert_eq!(lock.renew("b", other, 5).status, 409);
    assert_eq!(lock.renew("a", again, 5).status, 200);
}

#[test]
fn a_new_primary_counts_the_longest_hold_given_under_any_of_its_fences() {
    let mut lock = LockCase::new();
    lock.take("a", 8);
    lock.take("a", 1);
    let mut random = Random::seeded(1);
    lock.core.change_primary(&mut random);
    lock.let_pass(6000);
    assert_eq!(lock.take("b", 1).status, 409);
}

#[test]
fn an_evacuation_is_ordered_once_and_taken_back_once_however_often_it_is_sent() {
    APPLIED.with(|applied| applied.set(Zxid::ZERO));
    let mut core = Core::new();
    let path = "/v1/evacuations/zone-a";
    let zone = ZoneName::new("zone-a");
    for _ in 0..3 {
        assert_eq!(core.answer_to("POST", path, String::new()).status, 200);
        assert!(core.committed.fleet.is_evacuated(&zone));
    }
    let ordered = core.committed.fleet.zxid();
    assert_eq!(core.answer_to("POST", path, String::new()).status, 200);
    assert_eq!(core.committed.fleet.zxid(), ordered, "the same order once more changes nothing");
    core.change_primary(&mut Random::seeded(1));
    assert_eq!(core.answer_to("POST", "/v1/evacuations/zone-b", String::new()).status, 200);
    for _ in 0..3 {
        assert_eq!(core.answer_to("DELETE", path, String::new()).status, 200);
        assert!(!core.committed.fleet.is_evacuated(&zone));
    }
    assert!(core.committed.fleet.is_evacuated(&ZoneName::new("zone-b")), "another zone's stands");
}

#[test]
fn an_evacuation_that_says_nonsense_is_refused_and_changes_nothing() {
    APPLIED.with(|applied| applied.set(Zxid::ZERO));
    let mut core = Core::new();
    core.places = Places { knows_zone: &|zone| zone.as_str() == "zone-a", ..Places::ANY };
    let unknown = core.answer_to("POST", "/v1/evacuations/zone-x", String::new());
    assert_eq!(unknown.status, 404);
    assert!(unknown.body.contains("zone-x"), "it names the zone");
    assert_eq!(core.answer_to("DELETE", "/v1/evacuations/zone-x", String::new()).status, 404);
    assert_eq!(core.answer_to("POST", "/v1/evacuations/zone-a", "{}".into()).status, 400);
    assert_eq!(core.answer_to("PUT", "/v1/evacuations/zone-a", String::new()).status, 405);
    assert_eq!(core.answer_to("DELETE", "/v1/evacuations/zone-a", String::new()).status, 200);
    assert_eq!(core.committed.fleet.zxid(), Zxid::ZERO);
}
