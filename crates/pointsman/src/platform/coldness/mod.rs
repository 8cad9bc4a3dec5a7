//! The bound on requests to an endpoint that is cold, or may be.
//!
//! An endpoint bears little for a while after its start, and may turn cold again in the same life. Whatever lets requests
//! go to it asks [`ColdBound`]: the queue for its slots is the only place that does. What isn't known is cold.
//! `docs/design/cold-endpoints.md` has the proof for each kind of sender.

mod limits;
mod probe;
mod sends;
mod tally;
#[cfg(test)]
mod tests;

pub use limits::ColdLimits;
pub use probe::ask_health;
pub use tally::ColdTally;

use sends::Sends;
use std::time::Duration;
use trackbed::clock::Moment;

/// The span of the contract's bound, and how long sends are remembered where no limit is known yet.
const REMEMBERED: Duration = Duration::from_secs(1);
/// A heartbeat may be older than what was learned since. So long after, it counts.
const HEARTBEAT_LAG: Duration = Duration::from_secs(1);

/// Share of the ceiling that goes to a warm endpoint before it is asked again.
const ASKED_AFTER: f64 = 0.75;

/// What is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    /// Nothing since that moment.
    Unknown(Moment),
    /// It is cold until then, and warm afterwards.
    ColdUntil(Moment),
}

/// The same, at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    /// It may be cold.
    Unknown,
    /// It said that it is cold.
    Cold,
    /// It said that it is warm, or that it would be by now.
    Warm,
}

/// Which part of what an endpoint bears this sender may use while the endpoint may be cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SendShare {
    /// Nobody else sends to it.
    #[default]
    Whole,
    /// Another sender may have the whole: what is left beside that.
    Rest,
    /// Two others may send to it.
    Nothing,
}

/// Who may have sent to an endpoint within the last second before this sender began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormerSender {
    /// Nobody: the life has just begun.
    Nobody,
    /// An earlier process of this node, or another node.
    Another,
}

/// Names what was known when an endpoint was asked, so that its answer counts for that alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    generation: u64,
    gone_out: u64,
}

/// How many requests may go to one endpoint now. Has no clock of its own.
#[derive(Debug)]
pub struct ColdBound {
    limits: Option<ColdLimits>,
    share: SendShare,
    knowledge: Knowledge,
    sends: Sends,
    /// Requests let in so far, and those of them that had gone out when the endpoint was last asked, or spoke.
    let_in: u64,
    gone_out_by_word: u64,
    /// An order that concerns the endpoint would be heard here, and its heartbeats are.
    is_in_touch: bool,
    /// The endpoint answers how it is when it is asked.
    can_ask: bool,
    /// Rises when what was known becomes void.
    generation: u64,
    is_asking: bool,
    tally: ColdTally,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            limits: None,
            share: SendShare::Whole,
            knowledge: Knowledge::Unknown(Moment::default()),
            sends: Sends::default(),
            let_in: 0,
            gone_out_by_word: 0,
            is_in_touch: true,
            can_ask: false,
            generation: 0,
            is_asking: false,
            tally: ColdTally::default(),
        }
    }
}

impl ColdBound {
    /// What the configuration says from now on, and whether it names a place to ask the endpoint at.
    pub fn set_limits(&mut self, limits: Option<ColdLimits>, can_ask: bool) {
        self.limits = limits;
        self.can_ask = can_ask;
    }

    /// Which part of it this sender may use from now on.
    pub fn set_share(&mut self, share: SendShare) {
        self.share = share;
    }

    /// Whether orders and heartbeats reach this node.
    pub fn set_in_touch(&mut self, is_in_touch: bool) {
        self.is_in_touch = is_in_touch;
    }

    /// Whether they do, as last told.
    pub fn is_in_touch(&self) -> bool {
        self.is_in_touch
    }

    /// Another life begins, or this sender does.
    pub fn begin_life(&mut self, former: FormerSender, now: Moment) {
        let count = self.limits.map_or(0, |limits| match former {
            FormerSender::Nobody => 0,
            FormerSender::Another => limits.requests,
        });
        self.sends.begin_anew(count, now);
        self.forget(now);
    }

    /// The endpoint may have turned cold: what it said before is void.
    pub fn forget(&mut self, now: Moment) {
        self.generation += 1;
        self.is_asking = false;
        self.knowledge = Knowledge::Unknown(now);
        self.gone_out_by_word = self.gone_out();
    }

    /// The endpoint is to be asked now; nothing where that is not needed, or under way.
    pub fn ask(&mut self, now: Moment) -> Option<Asked> {
        if !self.wants_word(now) {
            return None;
        }
        self.is_asking = true;
        Some(Asked { generation: self.generation, gone_out: self.gone_out() })
    }

    /// Whether an answer to a question still counts.
    pub fn is_open(&self, asked: Asked) -> bool {
        asked.generation == self.generation
    }

    /// Whether the endpoint is to be asked how it is.
    pub fn wants_word(&self, now: Moment) -> bool {
        let Some(limits) = self.limits.filter(|_| self.can_ask && !self.is_asking) else { return false };
        match self.warmth(now) {
            Warmth::Unknown => true,
            Warmth::Cold => false,
            Warmth::Warm => self.since_word() as f64 >= limits.ceiling as f64 * ASKED_AFTER,
        }
    }

    /// The endpoint was asked, and has answered or not.
    pub fn answered(&mut self, asked: Asked, remaining: Option<Duration>, now: Moment) {
        if !self.is_open(asked) {
            return;
        }
        self.is_asking = false;
        if let Some(remaining) = remaining {
            self.is_cold_for(remaining, now);
            self.gone_out_by_word = asked.gone_out;
        }
    }

    /// No word shortens a cold time: it may be older than what is known.
    fn is_cold_for(&mut self, remaining: Duration, now: Moment) {
        let known = match self.knowledge {
            Knowledge::ColdUntil(until) => until,
            Knowledge::Unknown(_) => now,
        };
        let longest = self.limits.and_then(|limits| limits.cold_start).unwrap_or(remaining);
        let remaining = remaining.min(longest);
        self.knowledge = Knowledge::ColdUntil(known.max(now + remaining));
    }

    /// A heartbeat says for how much longer it is cold.
    pub fn heard(&mut self, remaining: Duration, now: Moment) {
        match self.knowledge {
            Knowledge::Unknown(since) if remaining.is_zero() && now.since(since) < HEARTBEAT_LAG => {}
            _ => {
                self.is_cold_for(remaining, now);
                if !self.can_ask {
                    self.gone_out_by_word = self.gone_out();
                }
            }
        }
    }

    /// The first heartbeat of a life says for how much longer it is cold.
    pub fn introduced(&mut self, remaining: Duration, now: Moment) {
        self.is_cold_for(remaining, now);
    }

    /// What is known now.
    pub fn warmth(&self, now: Moment) -> Warmth {
        match self.knowledge {
            Knowledge::Unknown(since) if self.is_over(since, now) => Warmth::Warm,
            Knowledge::Unknown(_) => Warmth::Unknown,
            Knowledge::ColdUntil(until) if now < until => Warmth::Cold,
            Knowledge::ColdUntil(_) => Warmth::Warm,
        }
    }

    /// Whether an endpoint that was cold by then is so no longer.
    fn is_over(&self, since: Moment, now: Moment) -> bool {
        let cold_start = self.limits.and_then(|limits| limits.cold_start);
        cold_start.is_some_and(|cold_start| now >= since + cold_start)
    }

    /// Requests that went out so far, or never will.
    fn gone_out(&self) -> u64 {
        self.let_in - self.sends.open() as u64
    }

    /// Requests that go out after the endpoint last spoke, or may.
    fn since_word(&self) -> usize {
        (self.let_in - self.gone_out_by_word) as usize
    }

    /// How many requests count within a window, and how many may; nothing where there is no limit now.
    fn limit_now(&self, now: Moment) -> Option<(usize, Duration)> {
        let limits = self.limits?;
        let is_told = self.is_in_touch && !self.can_ask;
        let has_credit = is_told || self.since_word() < limits.ceiling;
        if self.warmth(now) == Warmth::Warm && has_credit {
            return None;
        }
        let requests = match self.share {
            SendShare::Whole => limits.requests,
            SendShare::Rest => limits.beside_another(),
            SendShare::Nothing => 0,
        };
        Some((requests, limits.window))
    }

    /// Whether requests are held back now, however few there were.
    pub fn is_limited(&self, now: Moment) -> bool {
        self.limit_now(now).is_some()
    }

    /// Whether one more request may be let in.
    pub fn admits(&self, now: Moment) -> bool {
        self.limit_now(now).is_none_or(|(limit, window)| self.sends.within(window, now) < limit)
    }

    /// How long until one more may be let in, with `ahead` others before it, as far as is known now.
    pub fn wait(&self, ahead: usize, now: Moment) -> Duration {
        match self.limit_now(now) {
            Some((0, window)) => window,
            Some((limit, window)) => self.sends.wait(limit, ahead, window, now),
            None => Duration::ZERO,
        }
    }

    /// A request is let in.
    pub fn let_in(&mut self) {
        self.let_in += 1;
        self.sends.let_in();
    }

    /// A request that was let in goes out now, or has done so by now.
    pub fn goes_out(&mut self, now: Moment) {
        let window = self.limits.map_or(REMEMBERED, |limits| limits.window);
        self.sends.goes_out(window, now);
        if let Some(limits) = self.limits {
            let warmth = self.warmth(now);
            self.tally.went_out(warmth, self.sends.gone_out_within(REMEMBERED, now), limits.ceiling);
        }
    }

    /// A request was not let in at once for this bound alone.
    pub fn held_back(&mut self) {
        self.tally.held_back += 1;
    }

    /// What went out since this was last taken.
    pub fn take_tally(&mut self) -> ColdTally {
        std::mem::take(&mut self.tally)
    }

    /// A request that was let in will never go out.
    pub fn withdraw(&mut self) {
        self.sends.withdraw();
    }
}
