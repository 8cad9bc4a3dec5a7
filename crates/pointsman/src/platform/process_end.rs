//! Whether the endpoint's process is over, by what connections to it show.
//!
//! A refused connection alone shows nothing: an endpoint that has all the connections that it accepts refuses too. Sure are
//! two things. The end of a process ends all its connections; and an endpoint that is up refuses only while connections to it
//! are open or its queue is long, and no request stays in a queue beyond its deadline. Only this machine reaches the endpoint, by
//! this node. So its process is over where, throughout a span as long as the deadline of any request that it may still have,
//! no connection to it was open, each new one was refused, and no heartbeat came. A process that stands still accepts
//! connections, which begins the span anew.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use timetable::shards::certainly_over;
use trackbed::clock::Moment;
use trackbed::http::OpenConnections;

/// Refusals that show more than one unlucky moment.
const REFUSALS_WANTED: u32 = 2;
/// What an endpoint may count a deadline longer than this node.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Refused connections in a row, with no other connection open or opened meanwhile.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    since: Moment,
    last: Moment,
    count: u32,
    /// Connections opened before the first.
    opened: u64,
}

/// What one life of the endpoint has shown so far.
#[derive(Debug, Default)]
pub struct ProcessEnd {
    connections: Rc<OpenConnections>,
    refusals: Cell<Option<Refusals>>,
    /// The longest deadline of a request that this life was passed and has not answered.
    longest_unanswered: Cell<Duration>,
    /// Until then it may have requests from an earlier process of this node.
    has_unknown_until: Cell<Moment>,
}

/// A request that the endpoint was passed, until it is known to be answered.
pub struct PassedOn<'a> {
    process_end: &'a ProcessEnd,
    deadline: Duration,
}

impl PassedOn<'_> {
    /// The whole answer has come: the endpoint doesn't have it any more.
    pub fn answered(mut self) {
        self.deadline = Duration::ZERO;
    }
}

impl Drop for PassedOn<'_> {
    fn drop(&mut self) {
        let longest = &self.process_end.longest_unanswered;
        longest.set(longest.get().max(self.deadline));
    }
}

impl ProcessEnd {
    /// Where all connections to the endpoint are counted.
    pub fn connections(&self) -> &Rc<OpenConnections> {
        &self.connections
    }

    /// A request goes to the endpoint, with a deadline that it counts from its arrival.
    pub fn passed_on(&self, deadline: Duration) -> PassedOn<'_> {
        PassedOn { process_end: self, deadline }
    }

    /// Another life begins at the address: nothing was passed to it so far.
    pub fn start_anew(&self) {
        self.refusals.set(None);
        self.longest_unanswered.set(Duration::ZERO);
        self.has_unknown_until.set(Moment::default());
    }

    /// The first life that this process hears of: an earlier process of this node may have passed requests to it.
    pub fn adopt(&self, hold_max: Duration, now: Moment) {
        self.has_unknown_until.set(now + certainly_over(hold_max));
    }

    /// A new connection was refused.
    pub fn refused(&self, now: Moment) {
        let opened = self.connections.opened();
        if self.connections.open() > 0 {
            return self.refusals.set(None);
        }
        let before = self.refusals.get().filter(|refusals| refusals.opened == opened);
        let refusals = before.unwrap_or(Refusals { since: now, last: now, count: 0, opened });
        self.refusals.set(Some(Refusals { last: now, count: refusals.count + 1, ..refusals }));
    }

    /// A new connection was not refused, whatever else came of it.
    pub fn not_refused(&self) {
        self.refusals.set(None);
    }

    /// The endpoint sent something at a moment: whatever was refused before is no evidence.
    pub fn heard(&self, at: Moment) {
        self.refusals.set(self.refusals.get().filter(|refusals| at < refusals.since));
    }

    /// Since when all connections were refused, with none open.
    fn current(&self) -> Option<Refusals> {
        let is_current =
            |refusals: &Refusals| self.connections.open() == 0 && self.connections.opened() == refusals.opened;
        self.refusals.get().filter(is_current)
    }

    /// Whether a connection was refused, and nothing has come from the endpoint since.
    pub fn is_refusing(&self) -> bool {
        self.current().is_some()
    }

    /// Whether the process seems to be over.
    pub fn is_likely(&self) -> bool {
        self.current().is_some_and(|refusals| refusals.count >= REFUSALS_WANTED)
    }

    /// Whether the process is over, and its holds with it.
    pub fn is_certain(&self, hold_max: Duration) -> bool {
        let Some(refusals) = self.current().filter(|_| self.is_likely()) else { return false };
        // Without a heartbeat or a call that was answered, every hold has run out by then.
        let run_out = certainly_over(hold_max);
        let span = match refusals.since < self.has_unknown_until.get() {
            true => run_out,
            false => (self.longest_unanswered.get() + DEADLINE_MARGIN).min(run_out),
        };
        refusals.last.since(refusals.since) >= span
    }
}

#[cfg(test)]
#[path = "process_end_tests.rs"]
mod tests;
