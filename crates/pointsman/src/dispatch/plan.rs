//! What is to be done with a request, as data.

use super::headers::{ATTEMPT, DEADLINE, shard_key};
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::{PlannedBy, Route, Routes};
use trackbed::clock::Moment;
use trackbed::http::Request;
use trackbed::ids::ServiceName;
use trackbed::random::stable_hash;

#[derive(Debug)]
pub struct Plan {
    pub attempt: String,
    pub route: Rc<Route>,
    pub planned: PlannedBy,
    pub service: ServiceName,
    pub horizon: Moment,
    pub target: Moment,
    /// The key by which its service is divided; nothing where it is not.
    pub key: Option<u16>,
    /// Endpoints it may be offered to at most.
    pub goes: u32,
}

/// Why there is no plan: the request is wrong, or nothing is known yet.
#[derive(Debug, PartialEq)]
pub enum Unplanned {
    Malformed(&'static str),
    NoRoute,
    NothingKnown,
}

impl Plan {
    pub fn make(request: &Request, routes: Option<&Rc<Routes>>, now: Moment) -> Result<Self, Unplanned> {
        let attempt = request.header(ATTEMPT).filter(|attempt| !attempt.is_empty() && attempt.len() <= 256);
        let attempt = attempt.ok_or(Unplanned::Malformed("Ferryhinge-Attempt-Id is missing or not single"))?;
        let deadline = match request.headers.get_all(DEADLINE).iter().count() {
            0 => None,
            _ => {
                let millis = request.header(DEADLINE).and_then(|text| text.parse::<f64>().ok());
                let millis = millis.filter(|millis| millis.is_finite() && *millis >= 0.0 && *millis < 1e9);
                let millis = millis.ok_or(Unplanned::Malformed("Ferryhinge-Deadline-Ms is not a number"))?;
                Some(Duration::from_secs_f64(millis / 1000.0))
            }
        };
        let host = request.header("host").ok_or(Unplanned::Malformed("Host is missing"))?;
        let routes = routes.ok_or(Unplanned::NothingKnown)?;
        let route = routes.find(host, request.path()).ok_or(Unplanned::NoRoute)?;
        let span = deadline.map(|deadline| deadline.min(route.timeout)).unwrap_or(route.timeout);
        let service = route.service_for(stable_hash(attempt)).clone();
        Ok(Self {
            attempt: attempt.to_owned(),
            key: key_of(request, routes, &service)?,
            service,
            horizon: now + span,
            target: now + route.target.min(span),
            goes: route.max_goes,
            planned: PlannedBy::of(routes, route),
            route: route.clone(),
        })
    }
}

/// The key of a request to a sharded service.
fn key_of(request: &Request, routes: &Routes, service: &ServiceName) -> Result<Option<u16>, Unplanned> {
    if !routes.service(service).is_some_and(|service| service.sharded) {
        return Ok(None);
    }
    let wanted = "Ferryhinge-Shard-Key is missing or not a number from 0 to 65535: this service is divided by key";
    shard_key(request).map(Some).ok_or(Unplanned::Malformed(wanted))
}
