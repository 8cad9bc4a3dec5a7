//! The doors: requesters and the endpoint's own calls, peer nodes, and the platform's probes.

use super::{Pointsman, aggregation, coordination, tenancy};
use crate::dispatch::{self, Binding, PLANNED, Plan, Unplanned, gone, read_errand, write_outcome};
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::{PlannedBy, Route, Routes};
use trackbed::clock;
use trackbed::http::{BodyLimits, DoorLimits, Handler, JsonReturn, Pacer, Request, Return};
use trackbed::metrics;
use trackbed::random::stable_hash;

/// The longest body of a probe, and what all that are read at once may take, in bytes.
const PROBE_BODY: u64 = 4 << 10;
const PROBES_ROOM: u64 = 256 << 10;

/// Requests begin here.
pub struct OutboundDoor(pub Rc<Pointsman>);
/// Peer nodes pass requests on here.
pub struct InboundDoor(pub Rc<Pointsman>);
pub struct ReadinessDoor(pub Rc<Pointsman>);

/// Parts of the memory that the bodies at one listener may take, and the answers of endpoints or of peers.
const BODIES_SHARE: u64 = 6;
const ANSWERS_SHARE: u64 = 10;
const LEAST_ROOM: u64 = 1 << 20;

impl Pointsman {
    fn share_of_memory(&self, share: u64) -> u64 {
        ((self.live.get().limits.memory_mb << 20) / share).max(LEAST_ROOM)
    }

    /// What bodies may take at one listener, in bytes.
    fn body_room(&self) -> u64 {
        self.share_of_memory(BODIES_SHARE)
    }

    /// Shares the memory out to answers that are held, of endpoints and of peers.
    pub(super) fn bound_answers(&self) {
        let room = self.share_of_memory(ANSWERS_SHARE);
        self.lines.set_answer_room(room);
        self.peers.set_answer_room(room);
    }
}

impl Handler for OutboundDoor {
    fn limits(&self) -> DoorLimits {
        let fleet = self.0.fleet.borrow();
        let Some(routes) = fleet.routes() else {
            let body = BodyLimits { room: self.0.body_room(), ..BodyLimits::default() };
            return DoorLimits { body, ..DoorLimits::default() };
        };
        DoorLimits {
            header_bytes: routes.limits.header_bytes as usize,
            body: BodyLimits { longest: routes.limits.body_bytes, room: self.0.body_room() },
            header_time: routes.limits.header_time,
            idle_time: routes.limits.idle_time,
            ..DoorLimits::default()
        }
    }

    fn pacer(&self) -> Option<&Pacer> {
        Some(&self.0.pacer)
    }

    fn turned_away(&self, status: u16, reason: &str) -> Return {
        match status {
            503 => dispatch::come_back(&self.0, Duration::from_millis(200), reason),
            status => Return::text(status, reason),
        }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Option<Return> {
        let node = &self.0;
        let now = clock::now();
        let routes = node.fleet.borrow().routes().cloned();
        Some(match Plan::make(&request, routes.as_ref(), now) {
            Ok(plan) => match tenancy::bind(node, &request, routes.as_deref()) {
                Ok(binding) => {
                    let tenant = binding.tenant.clone();
                    if let Some(routes) = &routes {
                        aggregation::begun(node, &request, &plan, routes, tenant.as_deref());
                    }
                    let (service, route) = (plan.service.clone(), plan.route.clone());
                    let answer = dispatch::carry_out(node, plan, request, binding).await;
                    aggregation::ended(node, &service, &route.name, &answer);
                    if answer.status >= 500 {
                        node.platform.begun_failed.set(clock::now());
                    }
                    tenancy::count(node, tenant.as_deref(), &answer);
                    answer
                }
                Err(declined) => *declined,
            },
            Err(Unplanned::Malformed(reason)) => Return::text(400, reason),
            Err(Unplanned::NoRoute) => Return::text(404, "no route leads there"),
            Err(Unplanned::NothingKnown) => dispatch::come_back(
                node,
                Duration::from_millis(200),
                "no configuration is known here yet: it has not run",
            ),
        })
    }
}

impl Handler for InboundDoor {
    fn limits(&self) -> DoorLimits {
        DoorLimits {
            header_bytes: 128 << 10,
            body: BodyLimits { room: self.0.body_room(), ..BodyLimits::default() },
            idle_time: Duration::from_secs(30),
            ..DoorLimits::default()
        }
    }

    fn pacer(&self) -> Option<&Pacer> {
        Some(&self.0.pacer)
    }

    async fn handle(self: Rc<Self>, request: Request) -> Option<Return> {
        let routes = self.0.fleet.borrow().routes().cloned();
        let route = request
            .header("host")
            .zip(routes.clone())
            .and_then(|(host, routes)| routes.find(host, request.path()).cloned());
        let sort = route.as_ref().map(|route| stable_hash(&route.name)).unwrap_or_default();
        let contradicted = route_contradicts(&self.0, &request, routes.as_deref(), route.as_deref());
        let own = routes.as_deref().map(|routes| Binding::of(&request, routes)).unwrap_or(Ok(Binding::default()));
        let Some(mut errand) = read_errand(request, sort, clock::now()) else {
            return Some(Return::text(400, "only peer nodes pass requests on here").closing());
        };
        if contradicted {
            return Some(write_outcome(dispatch::stale(), &errand.attempt));
        }
        let permitted = tenancy::accept(&self.0, &mut errand, own);
        if !permitted {
            return Some(write_outcome(tenancy::turned_away(), &errand.attempt));
        }
        let begun = clock::now();
        let mut result = match self.0.platform_of(&errand.instance) {
            Some(platform) => {
                let given = errand.permit.and_then(|number| self.0.permits.redeem(number, &platform));
                let presence = errand.request.presence.clone();
                let running = platform.run_in(&errand, given);
                presence.unless_left_where(errand.repeats, running).await.unwrap_or_else(gone)
            }
            None => gone(),
        };
        result.spent = Some(clock::now().since(begun));
        Some(write_outcome(result, &errand.attempt))
    }
}

/// Whether this node's table contradicts the route by which a peer planned a request. Where both are of
/// the same epoch one of the two is wrong: both tell the core at once, and the core's word counts.
fn route_contradicts(node: &Pointsman, request: &Request, routes: Option<&Routes>, route: Option<&Route>) -> bool {
    let planned = request.header(PLANNED).and_then(PlannedBy::read);
    let service = node.platform.life.borrow().as_ref().map(|life| life.instance.service.clone());
    let (Some(planned), Some(routes), Some(service)) = (planned, routes, service) else { return false };
    node.contradicts(&planned, routes, route, &service)
}

impl Handler for ReadinessDoor {
    fn limits(&self) -> DoorLimits {
        DoorLimits { body: BodyLimits { longest: PROBE_BODY, room: PROBES_ROOM }, ..DoorLimits::default() }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Option<Return> {
        let node = &self.0;
        if request.path() == "/v1/fleet" {
            return Some(Return::json(200, coordination::view(node)));
        }
        if request.path() == "/v1/clients" {
            return Some(Return::json(200, aggregation::view(node)));
        }
        if request.path() == metrics::PATH {
            return Some(metrics::answer(&node.metrics.registry));
        }
        if request.path() != "/v1/readiness" {
            return Some(Return::text(404, "ask for /v1/readiness, /v1/fleet, /v1/clients or /v1/metrics"));
        }
        let knows = node.assured.get() && node.fleet.borrow().routes().is_some();
        if node.routes_check.is_mistrusted() && !node.leaving.get() {
            return Some(Return::text(503, "the routes here are not those meant, and fetching them anew did not help"));
        }
        Some(match (knows, node.leaving.get()) {
            (true, false) => Return::text(200, "ready"),
            (_, true) => Return::text(503, "leaving"),
            (false, _) => Return::text(503, "the fleet's state is not known yet"),
        })
    }
}
