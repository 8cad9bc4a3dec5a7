//! When requests went out to one endpoint.

use std::collections::VecDeque;
use std::time::Duration;
use trackbed::clock::Moment;

/// Two sends as far apart as the window lie within it.
const JUST_AFTER: Duration = Duration::from_micros(1);

/// Requests to one endpoint: those let in that have not gone out yet, and when the last ones went out.
///
/// Whoever lets a request in only where [`Sends::within`] is below a limit sends no more than the limit within any span as
/// long as the window, however long each request takes from being let in to going out. Of the requests that go out within
/// such a span take the one that was let in last: each other one had gone out by then, within the window before, or was
/// still open. Both were counted.
#[derive(Debug, Default)]
pub struct Sends {
    /// Let in, and not gone out as far as is known here.
    open: usize,
    /// When requests went out. Invariant: rises.
    gone_out: VecDeque<Moment>,
}

impl Sends {
    /// Nothing has gone out but what another sender may have sent just now. What was let in stays open until it is known to
    /// be over.
    pub fn begin_anew(&mut self, by_another: usize, now: Moment) {
        self.gone_out = std::iter::repeat_n(now, by_another).collect();
    }

    /// Requests that were let in and have not gone out.
    pub fn open(&self) -> usize {
        self.open
    }

    /// A request is let in.
    pub fn let_in(&mut self) {
        self.open += 1;
    }

    /// A request that was let in goes out now, or has done so by now.
    pub fn goes_out(&mut self, window: Duration, now: Moment) {
        self.withdraw();
        self.gone_out.push_back(now);
        while self.gone_out.front().is_some_and(|at| now.since(*at) > window) {
            self.gone_out.pop_front();
        }
    }

    /// A request that was let in will never go out.
    pub fn withdraw(&mut self) {
        debug_assert!(self.open > 0);
        self.open = self.open.saturating_sub(1);
    }

    /// Requests that count within the window that ends now.
    pub fn within(&self, window: Duration, now: Moment) -> usize {
        let first = self.first_within(window, now);
        self.open + self.gone_out.len() - first
    }

    /// Requests that went out within the window that ends now.
    pub fn gone_out_within(&self, window: Duration, now: Moment) -> usize {
        self.gone_out.len() - self.first_within(window, now)
    }

    fn first_within(&self, window: Duration, now: Moment) -> usize {
        self.gone_out.partition_point(|at| now.since(*at) > window)
    }

    /// How long until fewer than `limit` count, with `ahead` more let in before.
    pub fn wait(&self, limit: usize, ahead: usize, window: Duration, now: Moment) -> Duration {
        let surplus = (self.within(window, now) + ahead + 1).saturating_sub(limit);
        if surplus == 0 {
            return Duration::ZERO;
        }
        let leaves_at = self.gone_out.get(self.first_within(window, now) + surplus - 1);
        match leaves_at {
            Some(at) => now.until(*at + window + JUST_AFTER),
            None => window,
        }
    }
}
