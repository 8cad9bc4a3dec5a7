//! The room that is kept in an hour: worked out as data, ordered ahead of the hour.

use super::{Forecast, REST};
use crate::ledger::{Plan, PlannedService};
use lineside::aggregation::Reservation;
use std::collections::BTreeMap;
use timetable::configuration::{Route, Routes};

/// Room is kept where an hour may ask for more than this share of what the endpoints can do.
const TIGHT: f64 = 0.75;
/// Routes that can wait have this share of the slots at least, so that none starves.
const LEAST_DEFERRABLE: f64 = 0.2;
/// Kept beyond what the urgent routes are foretold to take at most: arrivals come in bunches.
const HEADROOM: f64 = 1.25;
/// A route can wait whose target is so many times that of the most urgent one.
const LONGER: f64 = 2.0;

/// Seconds of work that a service's endpoints can do in an hour.
pub type Capacity = BTreeMap<String, f64>;

/// Routes of a service that can wait, and the urgent ones. Nothing can wait that is as urgent as the most urgent, nor
/// what may not run twice: a client that is told to come back may not.
fn split<'a>(routes: &[&'a Route]) -> (Vec<&'a Route>, Vec<&'a Route>) {
    let first = routes.iter().map(|route| route.priority).min().unwrap_or(0);
    let soonest = routes.iter().map(|route| route.target).min().unwrap_or_default();
    let can_wait = |route: &&Route| {
        let longer = route.target >= soonest.mul_f64(LONGER);
        route.kind.repeats() && longer && (route.priority > first || routes.iter().all(|other| other.priority == first))
    };
    routes.iter().copied().partition(can_wait)
}

/// The plan of one hour. `foretold`: by service and route.
pub fn plan_hour(
    hour: u64,
    routes: &Routes,
    foretold: &BTreeMap<(String, String), Forecast>,
    capacity: &Capacity,
) -> Plan {
    let mut by_service: BTreeMap<&str, Vec<&Route>> = BTreeMap::new();
    for route in routes.each() {
        for (service, weight) in &route.split {
            if *weight > 0 {
                by_service.entry(service.as_str()).or_default().push(route);
            }
        }
    }
    let mut services = Vec::new();
    for (service, routes) in by_service {
        let Some(capacity) = capacity.get(service).copied().filter(|capacity| *capacity > 0.0) else { continue };
        let (deferrable, urgent) = split(&routes);
        if deferrable.is_empty() || urgent.is_empty() {
            continue;
        }
        let at = |route: &str| {
            let forecast = foretold.get(&(service.to_owned(), route.to_owned()))?;
            let outlook = *forecast.hours.get(hour.checked_sub(forecast.first)? as usize)?;
            Some((outlook, forecast.work_of_one))
        };
        let most = |(outlook, work): (super::Outlook, f64)| outlook.most * work;
        let urgent: Vec<_> = urgent.iter().filter_map(|route| at(&route.name)).collect();
        if urgent.is_empty() {
            continue;
        }
        let urgent_work: f64 = urgent.iter().copied().map(most).sum();
        let waits: f64 = deferrable.iter().filter_map(|route| at(&route.name)).map(most).sum();
        let rest = at(REST).map(most).unwrap_or(0.0);
        if urgent_work + waits + rest < capacity * TIGHT {
            continue;
        }
        let kept = (urgent_work + rest) * HEADROOM / capacity;
        let reservation = Reservation {
            service: service.to_owned(),
            deferrable_share: (1.0 - kept).clamp(LEAST_DEFERRABLE, 1.0 - LEAST_DEFERRABLE),
            deferrable: deferrable.iter().map(|route| route.name.clone()).collect(),
        };
        let urgent_least = urgent.iter().map(|(outlook, _)| outlook.least).sum::<f64>() as u64;
        services.push(PlannedService { reservation, urgent_least });
    }
    Plan { hour, services }
}
