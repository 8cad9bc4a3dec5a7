//! How many requests a cold endpoint may get.

use std::time::Duration;
use timetable::configuration::Routes;
use trackbed::config::Bounds;
use trackbed::ids::ServiceName;

/// Share of the contract's bound that all senders together keep to.
const SHARE_OF_BOUND: f64 = 0.9;
const SECOND: Duration = Duration::from_secs(1);
/// For a rate of next to nothing.
const LONGEST_WINDOW_SECONDS: f64 = 3600.0;

/// What the endpoints of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// One sender lets so many requests out within `window`.
    pub requests: usize,
    /// Invariant: a second or longer.
    pub window: Duration,
    /// All senders together keep to so many within any second. Invariant: not below `requests`.
    pub ceiling: usize,
    /// How long an endpoint stays cold, where the configuration says so.
    pub cold_start: Option<Duration>,
}

impl ColdLimits {
    /// By what an endpoint bears in a second, and by the bound: the rate times `overage`, and `slack` besides.
    pub fn new(rate: f64, overage: f64, slack: f64) -> Self {
        let ceiling = (((rate * overage + slack) * SHARE_OF_BOUND) as usize).max(1);
        let requests = (rate.ceil() as usize).clamp(1, ceiling);
        let seconds = (requests as f64 / rate).clamp(SECOND.as_secs_f64(), LONGEST_WINDOW_SECONDS);
        Self { requests, window: Duration::from_secs_f64(seconds), ceiling, cold_start: None }
    }

    /// The limits of a service; nothing where its configuration says nothing of cold endpoints.
    pub fn of(service: &ServiceName, routes: &Routes, bounds: &Bounds) -> Option<Self> {
        let service = routes.service(service)?;
        let limits = Self::new(service.cold_rate?, bounds.cold_overage(), bounds.cold_slack());
        Some(Self { cold_start: service.cold_start, ..limits })
    }

    /// What is left of the ceiling beside another sender that lets out as many as it may.
    pub fn beside_another(&self) -> usize {
        self.requests.min(self.ceiling - self.requests)
    }
}
