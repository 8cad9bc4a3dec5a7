//! How long requests take at an endpoint, by route, as measured.

use std::collections::HashMap;
use std::time::Duration;
use trackbed::clock::Moment;

const FIRST_GUESS_MICROS: f64 = 50_000.0;
/// Routes told apart at most.
const MOST_ROUTES: usize = 4096;
/// Share of the newest measurement in the mean over all routes, in the mean of late, and in that of a route.
const NEWEST_OF_ALL: f64 = 0.05;
const NEWEST_OF_LATE: f64 = 0.15;
const NEWEST_OF_ROUTE: f64 = 0.07;
/// Arrivals fade to a third in this time.
const ARRIVALS_FADE_MICROS: f64 = 1_000_000.0;
/// What a usual time is never taken to be below.
const SHORTEST_USUAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct RouteWork {
    /// Mean time and mean deviation from it, in microseconds; nothing before the first measurement.
    measured: Option<(f64, f64)>,
    /// Arrivals of late, fading.
    arrivals: f64,
    arrived: Moment,
}

impl RouteWork {
    fn arrivals_by(&self, now: Moment) -> f64 {
        self.arrivals * (-(now.since(self.arrived).as_micros() as f64) / ARRIVALS_FADE_MICROS).exp()
    }
}

pub struct WorkTimes {
    /// Microseconds of one request, over all routes.
    all: f64,
    /// Mean of the squares, over all routes.
    squares: f64,
    /// Microseconds of one request of late: what is told to others, so that a slow endpoint is soon known.
    late: f64,
    by_route: HashMap<u64, RouteWork>,
}

impl Default for WorkTimes {
    fn default() -> Self {
        Self {
            all: FIRST_GUESS_MICROS,
            squares: FIRST_GUESS_MICROS * FIRST_GUESS_MICROS,
            late: FIRST_GUESS_MICROS,
            by_route: HashMap::new(),
        }
    }
}

fn span(micros: f64) -> Duration {
    Duration::from_micros(micros.max(0.0) as u64)
}

impl WorkTimes {
    fn route(&mut self, sort: u64) -> &mut RouteWork {
        if self.by_route.len() > MOST_ROUTES {
            self.by_route.clear();
        }
        self.by_route.entry(sort).or_default()
    }

    pub fn arrived(&mut self, sort: u64, now: Moment) {
        let route = self.route(sort);
        route.arrivals = route.arrivals_by(now) + 1.0;
        route.arrived = now;
    }

    pub fn measured(&mut self, sort: u64, took: Duration) {
        let micros = took.as_micros() as f64;
        self.all += (micros - self.all) * NEWEST_OF_ALL;
        self.squares += (micros * micros - self.squares) * NEWEST_OF_ALL;
        self.late += (micros - self.late) * NEWEST_OF_LATE;
        let route = self.route(sort);
        let (mean, deviation) = route.measured.unwrap_or((micros, micros / 2.0));
        let deviation = deviation + ((micros - mean).abs() - deviation) * NEWEST_OF_ROUTE;
        route.measured = Some((mean + (micros - mean) * NEWEST_OF_ROUTE, deviation));
    }

    /// Mean time of a request, over all routes.
    pub fn mean(&self) -> Duration {
        span(self.all)
    }

    /// Mean time of what a look at a slot finds there: long work is found more often than short.
    pub fn occupying(&self) -> Duration {
        span(self.squares / self.all.max(1.0))
    }

    /// Mean time of a request of late, in microseconds.
    pub fn recent_micros(&self) -> f64 {
        self.late
    }

    fn measured_of(&self, sort: u64) -> Option<(f64, f64)> {
        self.by_route.get(&sort).and_then(|route| route.measured)
    }

    /// Mean time of a route, where one was measured.
    pub fn known(&self, sort: u64) -> Option<Duration> {
        self.measured_of(sort).map(|(mean, _)| span(mean))
    }

    /// Mean time of a route. What is not known yet counts as short: it is measured by being let in.
    pub fn expected(&self, sort: u64) -> Duration {
        self.known(sort).unwrap_or_default()
    }

    /// Mean deviation from the mean time of a route.
    pub fn spread(&self, sort: u64) -> Duration {
        span(self.measured_of(sort).map_or(0.0, |(_, deviation)| deviation))
    }

    /// What a request of a route usually takes.
    pub fn usual(&self, sort: u64) -> Duration {
        span(self.measured_of(sort).map_or(self.all, |(mean, _)| mean)).max(SHORTEST_USUAL)
    }

    /// Slots that routes fill whose work takes less than `share` of this one's.
    pub fn load_of_shorter(&self, sort: u64, share: f64, now: Moment) -> f64 {
        let Some((own, _)) = self.measured_of(sort) else { return 0.0 };
        let shorter = self.by_route.values().filter_map(|route| Some((route, route.measured?.0)));
        shorter
            .filter(|(_, mean)| *mean < own * share)
            .map(|(route, mean)| route.arrivals_by(now) * mean / ARRIVALS_FADE_MICROS)
            .sum()
    }
}
