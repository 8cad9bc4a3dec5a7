//! The bound on virtual time: whatever a sender knows, and however long its requests take to go out.

use super::*;
use trackbed::random::Random;

const RATE: f64 = 9.8;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 8.0;
/// By the contract.
const BOUND: usize = (RATE * OVERAGE + SLACK) as usize;
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(3);
const LONGEST_WAY_OUT_MILLIS: u64 = 300;
const SEEDS: u64 = 30;

fn limits() -> ColdLimits {
    ColdLimits::new(RATE, OVERAGE, SLACK)
}

fn start() -> Moment {
    Moment::from_micros(5_000_000)
}

/// One sender with the requests that it has let in, each to go out at a moment, or never.
struct Sender {
    bound: ColdBound,
    on_their_way: Vec<(Moment, bool)>,
}

impl Sender {
    fn new(former: FormerSender, share: SendShare, now: Moment) -> Self {
        let mut bound = ColdBound::default();
        bound.set_limits(Some(limits()), true);
        bound.set_share(share);
        bound.begin_life(former, now);
        Self { bound, on_their_way: Vec::new() }
    }

    /// Lets in as much as is asked for, and sends what is due. Gives how many went out.
    fn step(&mut self, asked: usize, random: &mut Random, now: Moment) -> usize {
        for _ in 0..asked {
            if self.bound.admits(now) {
                self.bound.let_in();
                let way_out = Duration::from_millis(random.below(LONGEST_WAY_OUT_MILLIS));
                self.on_their_way.push((now + way_out, random.chance(0.9)));
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.on_their_way).into_iter().partition(|(at, _)| *at <= now);
        self.on_their_way = later;
        for (_, is_sent) in &due {
            match is_sent {
                true => self.bound.goes_out(now),
                false => self.bound.withdraw(),
            }
        }
        due.iter().filter(|(_, is_sent)| *is_sent).count()
    }
}

/// Arrivals at an endpoint while it is cold.
#[derive(Default)]
struct Arrivals(Vec<Moment>);

impl Arrivals {
    fn add(&mut self, count: usize, now: Moment) {
        self.0.extend(std::iter::repeat_n(now, count));
    }

    fn busiest_second(&self) -> usize {
        let within = |from: &Moment| self.0.iter().filter(|at| **at >= *from && at.since(*from) <= SECOND).count();
        self.0.iter().map(within).max().unwrap_or(0)
    }
}

#[test]
fn a_sender_keeps_to_its_limit_however_long_requests_take_to_go_out() {
    for seed in 0..SEEDS {
        let (mut random, mut now) = (Random::seeded(seed), start());
        let mut sender = Sender::new(FormerSender::Nobody, SendShare::Whole, now);
        sender.bound.introduced(Duration::from_secs(10), now);
        let mut arrivals = Arrivals::default();
        for _ in 0..2000 {
            now = now + STEP;
            let asked = random.below(4) as usize;
            arrivals.add(sender.step(asked, &mut random, now), now);
        }
        let busiest = arrivals.busiest_second();
        assert!(busiest <= limits().requests, "seed {seed}: {busiest} in a second");
        assert!(arrivals.0.len() > 40, "seed {seed}: it bears ten a second, and got {} in six", arrivals.0.len());
    }
}

/// Guards against a node that starts anew and has forgotten its last second.
#[test]
fn nodes_that_restart_again_and_again_stay_below_the_ceiling() {
    for seed in 0..SEEDS {
        let (mut random, mut now) = (Random::seeded(seed), start());
        let mut sender = Sender::new(FormerSender::Nobody, SendShare::Whole, now);
        let mut arrivals = Arrivals::default();
        let mut next_restart = now + Duration::from_millis(500);
        for _ in 0..3000 {
            now = now + STEP;
            if now >= next_restart {
                sender = Sender::new(FormerSender::Another, SendShare::Whole, now);
                next_restart = now + Duration::from_millis(1000 + random.below(2500));
                if random.chance(0.5) {
                    sender.bound.heard(Duration::from_secs(30), now);
                }
            }
            arrivals.add(sender.step(3, &mut random, now), now);
        }
        let busiest = arrivals.busiest_second();
        assert!(busiest <= limits().ceiling, "seed {seed}: {busiest} of {BOUND} in a second");
    }
}

/// Guards against a home and its deputy that each use the whole, and a new home that begins beside the last one's second.
#[test]
fn homes_that_change_and_their_deputies_stay_below_the_ceiling_together() {
    for seed in 0..SEEDS {
        let (mut random, mut now) = (Random::seeded(seed), start());
        let mut home = Sender::new(FormerSender::Another, SendShare::Whole, now);
        let mut deputy = Sender::new(FormerSender::Another, SendShare::Rest, now);
        let mut arrivals = Arrivals::default();
        let mut next_change = now;
        for _ in 0..3000 {
            now = now + STEP;
            if now >= next_change {
                next_change = now + Duration::from_millis(300 + random.below(2000));
                match random.chance(0.5) {
                    true => home = Sender::new(FormerSender::Another, SendShare::Whole, now),
                    false => deputy = Sender::new(FormerSender::Another, SendShare::Rest, now),
                }
            }
            arrivals.add(home.step(3, &mut random, now), now);
            arrivals.add(deputy.step(3, &mut random, now), now);
        }
        let busiest = arrivals.busiest_second();
        assert!(busiest <= limits().ceiling, "seed {seed}: {busiest} of {BOUND} in a second");
        assert!(arrivals.0.len() > 20, "seed {seed}: only {}", arrivals.0.len());
    }
}

/// Guards against an endpoint that turns cold while it serves, before its node is told.
#[test]
fn an_endpoint_that_turns_cold_while_it_serves_gets_no_more_than_the_ceiling() {
    for seed in 0..SEEDS {
        let (mut random, mut now) = (Random::seeded(seed), start());
        let mut sender = Sender::new(FormerSender::Nobody, SendShare::Whole, now);
        sender.bound.introduced(Duration::ZERO, now);
        sender.bound.set_in_touch(seed % 2 == 0);
        let turns_cold = now + Duration::from_millis(2000 + random.below(1000));
        let warm_again = turns_cold + Duration::from_secs(3);
        let mut arrivals = Arrivals::default();
        let mut asked: Option<(Asked, Moment, Duration)> = None;
        let mut while_warm = 0;
        for _ in 0..2000 {
            now = now + STEP;
            let is_cold = now >= turns_cold && now < warm_again;
            if let Some((question, answered_at, told)) = asked.filter(|(_, at, _)| *at <= now) {
                let told = told.saturating_sub(now.since(answered_at));
                sender.bound.answered(question, random.chance(0.8).then_some(told), now);
                asked = None;
            }
            if let Some(question) = sender.bound.ask(now) {
                let told = if is_cold { now.until(warm_again) } else { Duration::ZERO };
                asked = Some((question, now + Duration::from_millis(1 + random.below(30)), told));
            }
            let sent = sender.step(random.below(2) as usize, &mut random, now);
            match is_cold {
                true => arrivals.add(sent, now),
                false => while_warm += sent,
            }
        }
        let busiest = arrivals.busiest_second();
        assert!(busiest <= limits().ceiling, "seed {seed}: {busiest} of {BOUND} in a second");
        assert!(while_warm > 150, "seed {seed}: only {while_warm} while it was warm");
    }
}

#[test]
fn what_is_not_known_is_cold_and_no_word_shortens_a_cold_time() {
    let now = start();
    let mut bound = ColdBound::default();
    bound.set_limits(Some(limits()), true);
    bound.begin_life(FormerSender::Nobody, now);
    assert_eq!(bound.warmth(now), Warmth::Unknown);
    assert!(bound.is_limited(now));
    bound.heard(Duration::ZERO, now + Duration::from_millis(100));
    assert_eq!(bound.warmth(now), Warmth::Unknown, "a heartbeat may have been under way before");
    let asked = bound.ask(now).unwrap();
    assert_eq!(bound.ask(now), None, "it is asked once at a time");
    bound.answered(asked, Some(Duration::from_secs(3)), now);
    assert_eq!(bound.warmth(now), Warmth::Cold);
    bound.heard(Duration::ZERO, now);
    assert_eq!(bound.warmth(now), Warmth::Cold);
    let later = now + Duration::from_secs(4);
    assert!(!bound.is_limited(later));
    bound.forget(later);
    bound.answered(asked, Some(Duration::ZERO), later);
    assert_eq!(bound.warmth(later), Warmth::Unknown, "that was an answer to an earlier question");
    bound.heard(Duration::ZERO, later + HEARTBEAT_LAG);
    assert_eq!(bound.warmth(later + HEARTBEAT_LAG), Warmth::Warm);
    bound.forget(later);
    bound.set_limits(Some(ColdLimits { cold_start: Some(Duration::from_secs(3)), ..limits() }), true);
    assert_eq!(bound.warmth(later + Duration::from_millis(2999)), Warmth::Unknown);
    assert_eq!(bound.warmth(later + Duration::from_secs(3)), Warmth::Warm, "none is cold for longer");
}

#[test]
fn limits_follow_the_configuration_whatever_it_says() {
    for (rate, overage, slack) in
        [(9.8, 1.5, 8.0), (100.0, 1.1, 0.0), (0.2, 1.5, 8.0), (0.0, 1.0, 0.0), (3.0, 1.0, 0.0), (1e5, 2.0, 10.0)]
    {
        let limits = ColdLimits::new(rate, overage, slack);
        assert!(limits.requests >= 1 && limits.window >= SECOND && limits.ceiling >= limits.requests, "{limits:?}");
        assert!(limits.ceiling as f64 <= (rate * overage + slack).max(1.0), "{limits:?}");
        assert!(limits.requests + limits.beside_another() <= limits.ceiling.max(1), "{limits:?}");
    }
    assert_eq!(ColdBound::default().wait(5, start()), Duration::ZERO, "no limit, no wait");
}
