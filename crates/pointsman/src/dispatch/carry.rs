//! Carrying a plan out: goes at one endpoint after the other, as far as rule and budget allow.

use super::balance::Candidate;
use super::binding::Binding;
use super::candidates::candidates;
use super::errand::{Errand, GoResult, Outcome, Passed};
use super::headers::CALLER;
use super::plan::Plan;
use super::{BudgetBounds, direct, remote};
use crate::node::{KeyRefusal, Mode, Pointsman, learn, tenancy};
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::Route;
use trackbed::clock::{self, Moment};
use trackbed::http::{Request, Return};
use trackbed::ids::InstanceId;

/// Nodes asked in vain before a request is given up.
const ASKED_IN_VAIN: u32 = 5;
/// Nodes asked whether a slot is free before any queue is stood in.
const LOOKS_FOR_FREE: u32 = 2;
const LOOKS_OF_A_GATEWAY: u32 = 3;
/// What counts as no wait, of the time to the target.
const NO_WAIT: f64 = 0.03;
/// What a go in another zone must save to be worth its way and its bytes, in microseconds.
const FAR_COST: f64 = 10_000.0;
const FAR_COST_OF_A_BYTE: f64 = 20.0;
/// Heads on the way there and back.
const HEAD_BYTES: f64 = 700.0;
/// What tells how the way to a node is.
const SHORT_ANSWER: usize = 12 << 10;
const SHUN_UNREACHABLE: Duration = Duration::from_millis(600);
/// Plans made anew for one request.
const STALE_AT_MOST: u32 = 3;
const SHUN_NODE: Duration = Duration::from_millis(1500);
const SHUN_GONE: Duration = Duration::from_millis(300);
const SHUN_FAILING: Duration = Duration::from_millis(150);

/// Has not run and never will: says when to come back.
pub fn come_back(node: &Pointsman, wait: Duration, reason: &str) -> Return {
    let spread = node.random.borrow_mut().below(60) as u32;
    let wait = wait.clamp(Duration::from_millis(15), Duration::from_millis(400)) + Duration::from_millis(spread as u64);
    Return::text(503, reason).with_header("retry-after", &format!("{:.3}", wait.as_secs_f64()))
}

fn budget(node: &Pointsman) -> BudgetBounds {
    let config = node.live.get();
    let beside = node.roster.borrow().cards().filter(|card| card.peer.role != lineside::gossip::Role::Core).count();
    // While the core is away, never more than it would have allotted, nor than the coordinator does.
    let ordered = node.book.borrow().in_force().map(|order| order.nodes).unwrap_or(0);
    BudgetBounds {
        ratio: config.bounds.retry_budget_ratio(),
        slack: config.bounds.retry_slack(),
        window: config.bounds.budget_window(),
        nodes: (beside + 1).max(ordered as usize),
    }
}

/// A long answer takes its time on any way.
fn is_short(outcome: &Outcome) -> bool {
    !matches!(outcome, Outcome::Answered(answer) if answer.flow.is_some() || answer.body.len() > SHORT_ANSWER)
}

/// One request on its way to an endpoint, counted there until dropped.
struct UnderWay<'a> {
    node: &'a Pointsman,
    instance: &'a InstanceId,
}

impl<'a> UnderWay<'a> {
    fn begin(node: &'a Pointsman, instance: &'a InstanceId) -> Self {
        node.balance.borrow_mut().begin(instance);
        Self { node, instance }
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.node.balance.borrow_mut().end(self.instance);
    }
}

/// The client has left: nobody reads this answer, unless it has closed one direction only.
fn client_left(may_run_yet: bool) -> Return {
    let status = if may_run_yet { 502 } else { 503 };
    Return::text(status, "the client has left").closing()
}

async fn go(node: &Rc<Pointsman>, candidate: &Candidate, route: &Route, errand: &Errand) -> GoResult {
    let begun = clock::now();
    let under_way = UnderWay::begin(node, &candidate.instance);
    let result = if candidate.is_local {
        match node.platform_of(&candidate.instance) {
            Some(platform) => platform.run(errand).await,
            None => super::errand::gone(),
        }
    } else {
        match node.mode {
            Mode::Beside => match peer_of(node, candidate).filter(|_| errand.is_long()) {
                Some(home) => direct::deliver_long(node, home, candidate.beside, route, errand).await,
                None => remote::deliver(&node.peers, &node.pacer, candidate.beside, errand).await,
            },
            Mode::Gateway => direct::deliver(node, candidate, route, errand).await,
        }
    };
    if matches!(result.outcome, Outcome::Answered(_))
        && !errand.binding.permits(node.live.get().zones.get(&candidate.zone))
    {
        tenancy::violated(node, &errand.binding);
    }
    let now = clock::now();
    if !candidate.is_local && result.occupancy.is_some() {
        node.roster.borrow_mut().vouch(&candidate.node, now);
    }
    drop(under_way);
    let mut balance = node.balance.borrow_mut();
    if let Some(occupancy) = &result.occupancy {
        balance.told(occupancy, now);
    }
    if let Some(spent) = result.spent.filter(|_| is_short(&result.outcome)) {
        balance.way_took(&candidate.node, now.since(begun).saturating_sub(spent), now);
    }
    match &result.outcome {
        Outcome::Answered(_) | Outcome::OverHorizon => balance.went_well(&candidate.instance),
        // At a gateway it is the home that could not be reached, and another may stand in for it.
        Outcome::NotSent if result.occupancy.is_none() && node.mode == Mode::Gateway => {
            balance.shun_node(&candidate.node, now, SHUN_NODE)
        }
        Outcome::NotSent => balance.shun(&candidate.instance, now, SHUN_UNREACHABLE),
        Outcome::NotTaken { why: Passed::Gone | Passed::NotHeld | Passed::Outside, .. } => {
            balance.shun(&candidate.instance, now, SHUN_GONE)
        }
        Outcome::Failed(_) | Outcome::NotExecuted | Outcome::Misdirected => {
            balance.shun(&candidate.instance, now, SHUN_FAILING)
        }
        Outcome::NotTaken { .. } => {}
    }
    result
}

/// Where the node that was asked takes calls.
fn peer_of(node: &Pointsman, candidate: &Candidate) -> Option<std::net::SocketAddr> {
    node.roster.borrow().address_of(&candidate.node)
}

/// Counts an outcome that says that the request's key is held elsewhere.
fn count_key_refusal(node: &Pointsman, outcome: &Outcome) {
    match outcome {
        Outcome::NotTaken { why: Passed::NotHeld, .. } => node.metrics.keys.refused(KeyRefusal::NotHeld),
        Outcome::Misdirected => node.metrics.keys.refused(KeyRefusal::Misdirected),
        _ => {}
    }
}

/// The plan by the table that is in force here now, for a request that arrived then, and where it may be handled.
fn plan_anew(node: &Pointsman, request: &Request, arrived: Moment) -> Result<(Plan, Binding), Box<Return>> {
    let routes = node.fleet.borrow().routes().cloned();
    let plan = Plan::make(request, routes.as_ref(), arrived);
    let plan = plan.map_err(|_| Box::new(Return::text(404, "no route leads there")))?;
    let binding = tenancy::bind(node, request, routes.as_deref())?;
    Ok((plan, binding))
}

/// Whether the table that is in force here now lets the request run more than once.
fn repeats_now(node: &Pointsman, request: &Request) -> bool {
    let host = request.header("host").unwrap_or("");
    let fleet = node.fleet.borrow();
    fleet.routes().and_then(|routes| routes.find(host, request.path())).is_some_and(|route| route.kind.repeats())
}

/// Whether a go may be broken off when the client leaves. What may not run twice is seen through where it may be at work; the
/// node beside the endpoint sees to that itself, and withdraws what still waits there when its connection ends.
fn may_break_off(node: &Pointsman, candidate: &Candidate, errand: &Errand) -> bool {
    let is_passed_to_peer = node.mode == Mode::Beside && !candidate.is_local;
    // A slot that was asked for must be given back.
    errand.repeats || (is_passed_to_peer && !errand.is_long())
}

/// Sees a request through to its answer.
pub async fn carry_out(node: &Rc<Pointsman>, mut plan: Plan, request: Request, binding: Binding) -> Return {
    let arrived = clock::now();
    let now = arrived;
    let bounds = budget(node);
    let own_service = node.live.get().service_name.clone();
    let caller = own_service.map(|service| service.as_str().to_owned()).unwrap_or_default();
    let mut errand = Errand::by(&plan, request, caller, binding);
    errand.request.headers.remove(CALLER);
    let mut left = candidates(node, &plan, &errand.binding, now);
    if let Some(key) = plan.key.filter(|_| node.mode == Mode::Gateway) {
        node.key_demand.began(&plan.service, key);
    }
    if plan.key.is_some() && left.is_empty() {
        node.metrics.keys.refused(KeyRefusal::NoHolder);
    }
    // Those that had no slot free, and could be waited for.
    let mut full: Vec<Candidate> = Vec::new();
    let mut asked_in_vain = 0;
    let mut stale = 0;
    let mut offered = 0;
    let mut may_have_run = None;
    let mut endpoint_said = None;
    let mut free_in = Duration::from_millis(60);
    node.budgets.borrow_mut().first_go(&plan.service, now, bounds.window);
    let bytes = HEAD_BYTES + errand.request.body.len() as f64 + node.sizes.borrow().get(&errand.sort).unwrap_or(&0.0);
    let mut span = now.until(plan.target);
    // At a gateway, and for what is long, a look is a few bytes; elsewhere the whole request goes along.
    let mut looks = match node.mode {
        Mode::Gateway => LOOKS_OF_A_GATEWAY,
        Mode::Beside if errand.is_long() => LOOKS_OF_A_GATEWAY,
        Mode::Beside => node.balance.borrow().looks_worth_it(&plan.service, LOOKS_FOR_FREE),
    };
    if looks == 0 && node.random.borrow_mut().chance(0.1) {
        looks = 1;
    }
    if left.len() == 1 {
        // There is no other to look at.
        looks = 0;
    }
    let far_cost = FAR_COST + FAR_COST_OF_A_BYTE * bytes;
    // What another machine's and this one's link take for it, where they are narrow.
    let link = node.live.get().limits.link_bytes;
    let way_cost = link.map(|link| 2.0 * bytes / link.max(1.0) * 1e6).unwrap_or(0.0);
    if far_cost > span.as_micros() as f64 && left.iter().any(|candidate| candidate.same_zone) {
        // Too much for the way: it is for its own zone to run it.
        left.retain(|candidate| candidate.same_zone);
    }
    loop {
        let now = clock::now();
        if errand.left(now).is_zero() {
            break;
        }
        if errand.request.presence.has_left() {
            return client_left(may_have_run.is_some());
        }
        // Whoever is free is looked for first; only then is anybody's queue stood in.
        let looks_for_free = asked_in_vain < looks && !left.is_empty();
        if !looks_for_free {
            left.append(&mut full);
        }
        errand.patience = if looks_for_free { span.mul_f64(NO_WAIT) } else { span };
        let chosen = {
            let mut random = node.random.borrow_mut();
            node.balance.borrow().choose(left.iter(), now, far_cost, way_cost, &mut random).cloned()
        };
        let Some(candidate) = chosen else { break };
        let further = offered > 0;
        if further && !node.budgets.borrow_mut().further_go(&plan.service, now, bounds) {
            break;
        }
        errand.instance = candidate.instance.clone();
        left.retain(|other| other.instance != candidate.instance);
        let presence = errand.request.presence.clone();
        let going = go(node, &candidate, &plan.route, &errand);
        let result = presence.unless_left_where(may_break_off(node, &candidate, &errand), going).await;
        let Some(GoResult { outcome, .. }) = result else { return client_left(!errand.repeats) };
        if looks_for_free && !candidate.is_local {
            let free = !matches!(outcome, Outcome::NotTaken { why: Passed::Busy, .. });
            node.balance.borrow_mut().looked(&plan.service, free);
        }
        count_key_refusal(node, &outcome);
        match outcome {
            Outcome::Answered(answer) => {
                // An endpoint's own failure of a repeatable request may go better elsewhere.
                let failed = answer.status >= 500 && errand.repeats && repeats_now(node, &errand.request);
                let length = answer.length() as f64;
                let mut sizes = node.sizes.borrow_mut();
                let size = sizes.entry(errand.sort).or_insert(length);
                *size = *size * 0.9 + length * 0.1;
                drop(sizes);
                offered += 1;
                if !failed || offered >= plan.goes || left.is_empty() {
                    return answer;
                }
                endpoint_said = Some(answer);
            }
            Outcome::NotTaken { why: Passed::Stale, .. } => {
                // One of the two tables is behind, or wrong. What is newer is fetched, and the plan made anew.
                stale += 1;
                if stale > STALE_AT_MOST {
                    break;
                }
                if let Some(peer) = peer_of(node, &candidate) {
                    learn::catch_up(node, peer).await;
                }
                let may_have_begun = may_have_run.is_some() || endpoint_said.is_some();
                match plan_anew(node, &errand.request, arrived) {
                    Ok((next, _)) if next.planned == plan.planned => node.routes_check.doubt(),
                    Ok((next, binding)) if !may_have_begun => {
                        if next.service != plan.service {
                            node.budgets.borrow_mut().first_go(&next.service, now, bounds.window);
                        }
                        plan = next;
                        errand = errand.by_another(&plan, binding);
                        span = arrived.until(plan.target);
                        left = candidates(node, &plan, &errand.binding, now);
                        full.clear();
                    }
                    // By the route in force now, the one run that it may have had is all it may have.
                    Ok((next, _)) if !next.route.kind.repeats() => break,
                    Ok(_) => {}
                    Err(answer) if offered == 0 => return *answer,
                    Err(_) => break,
                }
            }
            Outcome::NotTaken { free_in: wait, why } => {
                free_in = if asked_in_vain == 0 { wait } else { free_in.min(wait) };
                asked_in_vain += 1;
                if looks_for_free && why == Passed::Busy {
                    full.push(candidate);
                } else if asked_in_vain >= ASKED_IN_VAIN {
                    break;
                }
            }
            Outcome::NotSent => {
                asked_in_vain += 1;
                if asked_in_vain >= ASKED_IN_VAIN * 2 {
                    break;
                }
            }
            Outcome::NotExecuted | Outcome::Misdirected => {
                offered += 1;
                if offered >= plan.goes {
                    break;
                }
            }
            Outcome::Failed(reason) => {
                offered += 1;
                may_have_run = Some(reason);
                if !errand.repeats || !repeats_now(node, &errand.request) || offered >= plan.goes {
                    break;
                }
            }
            Outcome::OverHorizon => return Return::text(504, "the endpoint did not answer in time"),
        }
    }
    if let Some(answer) = endpoint_said {
        return answer;
    }
    match may_have_run {
        Some(reason) => Return::text(502, reason),
        None => come_back(node, free_in, "no endpoint could take this request in time: it has not run"),
    }
}
