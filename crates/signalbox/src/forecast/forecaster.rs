//! The primary's part: slots are closed, series fitted one by one, plans made ahead of their hour and judged in it.

use super::clock::{CoreTime, SlotClock};
use super::plan::{Capacity, plan_hour};
use super::{Forecast, Gathered, REST, SLOT_MILLIS, foresee, series_of};
use crate::ledger::{History, Plan, SlotRecord};
use lineside::aggregation::{Reservation, Reservations, SealedWindow};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::time::Duration;
use timetable::configuration::Routes;
use trackbed::clock::Moment;
use trackbed::logs::escape;

/// How long before its hour a plan is ordered, and from when on it is in force.
const ORDERED_AHEAD: Duration = Duration::from_secs(600);
const IN_FORCE_AHEAD: Duration = Duration::from_secs(300);
/// From when on in its hour a plan is judged by what is really asked for, and over how many windows.
const JUDGED_AFTER: Duration = Duration::from_secs(60);
const JUDGED_OVER: usize = 3;
/// Fewer requests than this share of the least foretold, and the room is given back; from the second on it is kept again.
const FAR_BELOW: f64 = 0.3;
const NEAR_AGAIN: f64 = 0.6;

/// Whether a service's plan fits what is really asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Judged {
    #[default]
    NotYet,
    Fits,
    FarBelow,
}

type ByRoute = BTreeMap<String, BTreeMap<String, u64>>;

/// Invariant: what is ordered is in the history or the plans; what is here can be lost with the primary.
#[derive(Default)]
pub struct Forecaster {
    pub time: CoreTime,
    slot: SlotClock,
    gathered: Gathered,
    /// Forecasts of the history that ends with this label, and the series still to be fitted.
    made_for: Option<u64>,
    due: VecDeque<u16>,
    fitting: BTreeMap<(String, String), Forecast>,
    foretold: BTreeMap<(String, String), Forecast>,
    recent: VecDeque<ByRoute>,
    judged: BTreeMap<String, Judged>,
    /// Fits made, and the processor time that they took.
    pub fits: u64,
    pub fit_time: Duration,
    pub longest_fit: Duration,
}

impl Forecaster {
    /// Takes in what was sealed. Returns the record of a slot that is over.
    pub fn sealed(
        &mut self,
        windows: &[SealedWindow],
        window_millis: u32,
        of: u32,
        history: &History,
        members: usize,
        now: Moment,
    ) -> Option<SlotRecord> {
        for window in windows {
            self.gathered.add(window, of);
            let mut by_route = ByRoute::new();
            for (service, route, demand) in window.summary.routes() {
                by_route.entry(service.to_owned()).or_default().insert(route.to_owned(), demand.requests);
            }
            self.recent.push_back(by_route);
            if self.recent.len() > JUDGED_OVER {
                self.recent.pop_front();
            }
        }
        let wall = self.time.now(members, now);
        let label = self.slot.step(history.last_label(), wall, now)?;
        let windows = (SLOT_MILLIS / window_millis.max(1) as u64) as u32;
        let record = std::mem::take(&mut self.gathered).record(history.last_number() + 1, label, windows);
        history.follows(&record).then_some(record)
    }

    /// Fits one series, if any is due: a slice of work that is over soon.
    pub fn fit_one(&mut self, history: &History, clock: impl Fn() -> Duration) {
        let last = history.last_label();
        if last.is_none() {
            return;
        }
        if self.made_for != last {
            self.made_for = last;
            self.due = (0..history.names().len() as u16).collect();
            self.fitting.clear();
        }
        let Some(place) = self.due.pop_front() else { return };
        let begun = clock();
        if let Some(forecast) = series_of(history, place).as_ref().and_then(foresee) {
            self.fitting.insert(history.names()[place as usize].clone(), forecast);
        }
        let took = clock().saturating_sub(begun);
        self.fits += 1;
        self.fit_time += took;
        self.longest_fit = self.longest_fit.max(took);
        if self.due.is_empty() {
            self.foretold = std::mem::take(&mut self.fitting);
        }
    }

    /// The plan for the next hour, once it is near and all series are fitted.
    pub fn plan(
        &mut self,
        plans: &[Plan],
        routes: &Routes,
        capacity: &Capacity,
        members: usize,
        now: Moment,
    ) -> Option<Plan> {
        let wall = self.time.now(members, now)?;
        let hour = wall / SLOT_MILLIS + 1;
        let left = Duration::from_millis(hour * SLOT_MILLIS - wall);
        if left > ORDERED_AHEAD || !self.due.is_empty() || plans.iter().any(|plan| plan.hour >= hour) {
            return None;
        }
        let plan = plan_hour(hour, routes, &self.foretold, capacity);
        (!plan.services.is_empty()).then_some(plan)
    }

    /// What is kept now: of the plans, those of this hour, and of the next shortly before it; not those that turned
    /// out far from what is asked.
    pub fn in_force(&mut self, plans: &[Plan], window_millis: u32, members: usize, now: Moment) -> Reservations {
        let Some(wall) = self.time.now(members, now) else { return Reservations::default() };
        let hour = wall / SLOT_MILLIS;
        let into = Duration::from_millis(wall - hour * SLOT_MILLIS);
        let left = Duration::from_millis(SLOT_MILLIS) - into;
        let mut services: BTreeMap<&str, Reservation> = BTreeMap::new();
        for plan in plans {
            let ahead = plan.hour == hour + 1 && left <= IN_FORCE_AHEAD;
            if plan.hour != hour && !ahead {
                continue;
            }
            for planned in &plan.services {
                let reservation = &planned.reservation;
                if !ahead {
                    let judged = self.judge(reservation, planned.urgent_least, window_millis, into);
                    self.judged.insert(reservation.service.clone(), judged);
                    if judged == Judged::FarBelow {
                        continue;
                    }
                }
                let known = services.get(reservation.service.as_str());
                if known.is_none_or(|known| known.deferrable_share > reservation.deferrable_share) {
                    services.insert(&reservation.service, reservation.clone());
                }
            }
        }
        Reservations { hour, services: services.into_values().collect() }
    }

    fn judge(&self, reservation: &Reservation, least: u64, window_millis: u32, into: Duration) -> Judged {
        let before = self.judged.get(&reservation.service).copied().unwrap_or_default();
        if into < JUDGED_AFTER || self.recent.len() < JUDGED_OVER {
            return Judged::NotYet;
        }
        let urgent = |by_route: &ByRoute| -> u64 {
            let routes = by_route.get(&reservation.service);
            let urgent = |(route, _): &(&String, &u64)| !reservation.deferrable.contains(route);
            routes.into_iter().flatten().filter(urgent).map(|(_, requests)| requests).sum()
        };
        let asked: u64 = self.recent.iter().map(urgent).sum();
        let foretold = least as f64 * (self.recent.len() as f64 * window_millis as f64) / SLOT_MILLIS as f64;
        match (before, asked as f64) {
            (Judged::FarBelow, asked) if asked < foretold * NEAR_AGAIN => Judged::FarBelow,
            (_, asked) if asked < foretold * FAR_BELOW => Judged::FarBelow,
            _ => Judged::Fits,
        }
    }

    /// Next week as JSON: per service, capacity and the hours that do not fit; per route and hour, with an interval.
    pub fn told(&self, history: &History, plans: &[Plan], capacity: &Capacity, service: Option<&str>) -> String {
        let mut text = format!(
            "{{\"history_slots\":{},\"last_hour\":{},\"enough\":{},\"fitting\":{},\"fits\":{},\"fit_s\":{:.3},\"longest_fit_s\":{:.4},\"services\":[",
            history.slot_count(),
            history.last_label().map(|label| label.to_string()).unwrap_or("null".into()),
            !self.foretold.is_empty(),
            self.due.len(),
            self.fits,
            self.fit_time.as_secs_f64(),
            self.longest_fit.as_secs_f64(),
        );
        let mut by_service: BTreeMap<&str, Vec<(&str, &Forecast)>> = BTreeMap::new();
        for ((of, route), forecast) in &self.foretold {
            if service.is_none_or(|service| service == of) {
                by_service.entry(of).or_default().push((route, forecast));
            }
        }
        for (index, (service, routes)) in by_service.iter().enumerate() {
            let capacity = capacity.get(*service).copied();
            let comma = if index > 0 { "," } else { "" };
            let quoted = capacity.map(|capacity| format!("{capacity:.1}")).unwrap_or("null".into());
            let _ =
                write!(text, "{comma}{{\"service\":\"{}\",\"capacity_work_s\":{quoted},\"over\":[", escape(service));
            self.push_over(&mut text, history, routes, capacity);
            text.push_str("],\"routes\":[");
            for (index, (route, forecast)) in routes.iter().enumerate() {
                let comma = if index > 0 { "," } else { "" };
                let name = if *route == REST { "(others)" } else { route };
                let _ = write!(
                    text,
                    "{comma}{{\"route\":\"{}\",\"model\":\"{}\",\"error\":{:.4},\"work_of_one_s\":{:.4},\"first_hour\":{},\"hours\":[",
                    escape(name),
                    forecast.model,
                    forecast.error,
                    forecast.work_of_one,
                    forecast.first
                );
                for (index, hour) in forecast.hours.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    let _ = write!(text, "{comma}[{:.0},{:.0},{:.0}]", hour.requests, hour.least, hour.most);
                }
                text.push_str("]}");
            }
            text.push_str("]}");
        }
        text.push_str("],\"plans\":[");
        for (index, plan) in plans.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            let _ = write!(text, "{comma}{{\"hour\":{},\"services\":[", plan.hour);
            for (index, planned) in plan.services.iter().enumerate() {
                let comma = if index > 0 { "," } else { "" };
                let routes: Vec<String> =
                    planned.reservation.deferrable.iter().map(|route| format!("\"{}\"", escape(route))).collect();
                let judged = self.judged.get(&planned.reservation.service).copied().unwrap_or_default();
                let _ = write!(
                    text,
                    "{comma}{{\"service\":\"{}\",\"deferrable_share\":{:.3},\"deferrable\":[{}],\"given_back\":{}}}",
                    escape(&planned.reservation.service),
                    planned.reservation.deferrable_share,
                    routes.join(","),
                    judged == Judged::FarBelow
                );
            }
            text.push_str("]}");
        }
        text.push_str("]}");
        text
    }

    /// The hours in which a service may be asked for more than its endpoints can do, and who drove them a week before.
    fn push_over(&self, text: &mut String, history: &History, routes: &[(&str, &Forecast)], capacity: Option<f64>) {
        let Some(capacity) = capacity else { return };
        let Some(first) = routes.iter().map(|(_, forecast)| forecast.first).max() else { return };
        let mut comma = "";
        for hour in first..first + super::WEEK as u64 {
            let at = |forecast: &Forecast| forecast.hours.get(hour.checked_sub(forecast.first)? as usize).copied();
            let sum = |part: fn(&super::Outlook) -> f64| -> f64 {
                let work = |(_, forecast): &(&str, &Forecast)| Some(part(&at(forecast)?) * forecast.work_of_one);
                routes.iter().filter_map(work).sum()
            };
            let (likely, most) = (sum(|hour| hour.requests), sum(|hour| hour.most));
            if most <= capacity {
                continue;
            }
            let driver = history.driver_at(hour - super::WEEK as u64);
            let driver = driver.map(|driver| format!("\"{}\"", escape(driver))).unwrap_or("null".into());
            let _ = write!(
                text,
                "{comma}{{\"hour\":{hour},\"work_s\":{likely:.1},\"most_work_s\":{most:.1},\"likely\":{},\"driven_by\":{driver}}}",
                likely > capacity
            );
            comma = ",";
        }
    }
}
