//! How a member that is not the primary gets a call answered.

use super::effect::Route;
use interlocking::zab::Voter;
use lineside::call::{ControlCall, ControlReturn};
use std::time::Duration;
use trackbed::clock::Moment;

/// A caller of its own moves on after a second of silence.
pub const CALL_LIMIT: Duration = Duration::from_millis(900);
const CONFIGURATION_LIMIT: Duration = Duration::from_millis(2500);
/// How long a call waits for an election to end.
const ELECTION_WAIT: Duration = Duration::from_millis(350);
const RETRY_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_WATCH_MILLIS: u64 = 60_000;

/// What the primary, or the way to it, made of a call.
pub enum ForwardReply {
    Answered(ControlReturn),
    /// It did not arrive, or whoever got it is not the primary: nothing was done.
    NotNow,
    NoReply,
}

/// What to do next about a call.
pub enum Step {
    DecideHere,
    Ask { primary: Voter, limit: Duration },
    Pause(Duration),
    Answer(ControlReturn),
}

/// One call that came to this member.
pub struct Forwarding {
    given_up: Moment,
    limit: Duration,
}

impl Forwarding {
    pub fn begin(call: &ControlCall, now: Moment) -> Self {
        Self { given_up: now + ELECTION_WAIT, limit: limit_of(call) }
    }

    /// What to do, given where the call is to be decided.
    pub fn next(&self, route: Route, now: Moment) -> Step {
        match route {
            Route::Here => Step::DecideHere,
            Route::Forward(primary) => Step::Ask { primary, limit: self.limit },
            Route::NoPrimary => self.pause(now),
        }
    }

    /// What to do after the primary was asked.
    pub fn after(&self, reply: ForwardReply, now: Moment) -> Step {
        match reply {
            ForwardReply::Answered(answer) => Step::Answer(answer),
            ForwardReply::NotNow => self.pause(now),
            ForwardReply::NoReply => Step::Answer(ControlReturn::unknown()),
        }
    }

    fn pause(&self, now: Moment) -> Step {
        match now >= self.given_up {
            true => Step::Answer(ControlReturn::not_now("no primary just now: ask again")),
            false => Step::Pause(RETRY_PAUSE),
        }
    }
}

fn limit_of(call: &ControlCall) -> Duration {
    if call.path.starts_with("/v1/watch/") {
        let wait = call.query.split('&').find_map(|pair| pair.strip_prefix("wait_ms="));
        let wait = wait.and_then(|wait| wait.parse().ok()).unwrap_or(0u64).min(LONGEST_WATCH_MILLIS);
        return CALL_LIMIT + Duration::from_millis(wait);
    }
    if call.path.starts_with("/v1/configuration") { CONFIGURATION_LIMIT } else { CALL_LIMIT }
}
