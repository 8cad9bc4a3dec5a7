//! Full endpoints, frozen ones and ones that are over, on virtual time.

use super::*;
use trackbed::http::CountedConnection;
use trackbed::random::Random;

const HOLD_MAX: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(20);
const LOOK_EVERY: u64 = 15;
const STEPS: u64 = 3000;
const SEEDS: u64 = 200;
/// A crash is certain so long after the longest deadline of what was unanswered, and what looks take.
const SEEN_WITHIN: Duration = Duration::from_millis(1000);

fn at(millis: u64) -> Moment {
    Moment::from_micros(100_000_000 + millis * 1000)
}

fn refuse(end: &ProcessEnd, times: u64, from: u64) {
    (0..times).for_each(|time| end.refused(at(from + time * 300)));
}

#[test]
fn a_refused_connection_is_no_evidence_while_a_request_may_still_be_at_work() {
    let end = ProcessEnd::default();
    end.passed_on(Duration::from_secs(3)).answered();
    drop(end.passed_on(Duration::from_secs(2)));
    refuse(&end, 7, 0);
    assert!(end.is_likely() && !end.is_certain(HOLD_MAX));
    end.refused(at(2100));
    assert!(end.is_certain(HOLD_MAX));
    end.heard(at(2200));
    assert!(!end.is_refusing(), "it has sent a heartbeat since");
    refuse(&end, 2, 2300);
    end.not_refused();
    assert!(!end.is_refusing(), "it has accepted a connection since");
    refuse(&end, 8, 3000);
    let open = CountedConnection::new(end.connections());
    assert!(!end.is_refusing(), "a connection is open");
    drop(open);
    assert!(!end.is_refusing(), "one was open meanwhile");
}

#[test]
fn requests_of_an_earlier_process_of_this_node_may_still_be_at_work() {
    let end = ProcessEnd::default();
    end.adopt(HOLD_MAX, at(0));
    refuse(&end, 36, 1000);
    assert!(!end.is_certain(HOLD_MAX));
    end.refused(at(12_001));
    assert!(end.is_certain(HOLD_MAX));
    end.start_anew();
    refuse(&end, 2, 20_000);
    assert!(end.is_certain(HOLD_MAX), "another life has nothing of them");
}

/// The endpoint as it is, and what this node knows of it.
struct World {
    random: Random,
    end: ProcessEnd,
    now: Moment,
    step: u64,
    open: Vec<CountedConnection>,
    /// Requests at work or in its queue whose connection has ended: each ends by its deadline.
    without_connection: Vec<Moment>,
    /// Requests in its sockets, with their deadlines, while it stands still.
    unread: Vec<Duration>,
    frozen_until: Moment,
    over_since: Option<Moment>,
    longest_unanswered: Duration,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: Random::seeded(seed),
            end: ProcessEnd::default(),
            now: at(0),
            step: 0,
            open: Vec::new(),
            without_connection: Vec::new(),
            unread: Vec::new(),
            frozen_until: Moment::default(),
            over_since: None,
            longest_unanswered: Duration::ZERO,
        }
    }

    fn is_frozen(&self) -> bool {
        self.now < self.frozen_until
    }

    /// Whether a new connection is refused now: the machine accepts for a process that stands still.
    fn refuses(&self) -> bool {
        let is_full = !self.open.is_empty() || !self.without_connection.is_empty();
        self.over_since.is_some() || (!self.is_frozen() && is_full)
    }

    fn connect(&mut self) -> bool {
        if self.refuses() {
            self.end.refused(self.now);
            return false;
        }
        self.open.push(CountedConnection::new(self.end.connections()));
        true
    }

    /// A request goes out over a new connection and stays without an answer: its connection ends early.
    fn request(&mut self) {
        let deadline = Duration::from_millis(200 + self.random.below(3000));
        if !self.connect() {
            return;
        }
        let passed_on = self.end.passed_on(deadline);
        if self.random.chance(0.5) {
            passed_on.answered();
            return;
        }
        drop(passed_on);
        self.longest_unanswered = self.longest_unanswered.max(deadline);
        match self.is_frozen() {
            true => self.unread.push(deadline),
            false => self.without_connection.push(self.now + deadline),
        }
    }

    fn trouble(&mut self) {
        if self.random.chance(0.005) {
            self.frozen_until = self.now + Duration::from_millis(self.random.below(6000));
        }
        if self.random.chance(0.05) && !self.open.is_empty() {
            self.open.remove(0);
        }
        if self.random.chance(0.001) && self.over_since.is_none() {
            self.over_since = Some(self.now);
            self.open.clear();
        }
        if !self.is_frozen() {
            let now = self.now;
            self.without_connection.extend(self.unread.drain(..).map(|deadline| now + deadline));
        }
        self.without_connection.retain(|until| self.now < *until);
    }

    fn run(mut self, seed: u64) -> Option<Duration> {
        while self.step < STEPS {
            self.step += 1;
            self.now = self.now + STEP;
            self.trouble();
            if self.random.chance(0.05) {
                self.request();
            }
            if self.step.is_multiple_of(LOOK_EVERY) && self.connect() {
                // A look closes its connection at once.
                self.open.pop();
                self.end.not_refused();
            }
            let is_certain = self.end.is_certain(HOLD_MAX);
            let Some(over_since) = self.over_since else {
                assert!(!is_certain, "seed {seed}: at {:?} the process is up", self.now);
                continue;
            };
            let took = self.now.since(over_since);
            if is_certain {
                return Some(took);
            }
            assert!(took < self.longest_unanswered + SEEN_WITHIN, "seed {seed}: its end is not seen");
        }
        None
    }
}

/// Guards against keys with two holders where refused connections count as the end of an endpoint that is full.
#[test]
fn only_a_process_that_is_over_is_taken_for_over_and_soon() {
    let seen = (0..SEEDS).filter_map(|seed| World::new(seed).run(seed)).count() as u64;
    assert!(seen > SEEDS / 2, "{seen} ends were seen");
}
