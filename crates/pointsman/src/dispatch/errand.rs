//! One request on its way, and what may come of one go.

use super::binding::Binding;
use super::plan::Plan;
use crate::platform::Claim;
use lineside::gossip::Occupancy;
use std::time::Duration;
use timetable::configuration::PlannedBy;
use trackbed::clock::Moment;
use trackbed::http::{Request, Return};
use trackbed::ids::InstanceId;
use trackbed::random::stable_hash;

const LONG_BODY: usize = 8 << 10;

/// A request as the node beside the endpoint gets it.
#[derive(Clone, Debug)]
pub struct Errand {
    pub request: Request,
    /// The id of the requester's try, unchanged on the whole way.
    pub attempt: String,
    /// The life that is to run it. Any other declines.
    pub instance: InstanceId,
    /// The service on the machine where the request began.
    pub caller: String,
    pub priority: u8,
    /// May run more than once.
    pub repeats: bool,
    /// The route that it was planned by.
    pub planned: PlannedBy,
    /// Names the route, for what is measured of it.
    pub sort: u64,
    /// Nobody waits for an answer after this.
    pub horizon: Moment,
    /// Where it may be handled.
    pub binding: Binding,
    /// An answer by then earns its full worth.
    pub target: Moment,
    /// How long it may stand in a queue, as far as that can be told beforehand.
    pub patience: Duration,
    /// The key by which its service is divided, where it is.
    pub key: Option<u16>,
    /// The slot that the node beside the endpoint has given for it.
    pub permit: Option<u64>,
}

impl Errand {
    /// A request that goes out by a plan.
    pub fn by(plan: &Plan, request: Request, caller: String, binding: Binding) -> Self {
        Self {
            request,
            attempt: plan.attempt.clone(),
            instance: InstanceId::new(""),
            caller,
            priority: plan.route.priority,
            repeats: plan.route.kind.repeats(),
            planned: plan.planned.clone(),
            sort: stable_hash(&plan.route.name),
            horizon: plan.horizon,
            binding,
            target: plan.target,
            patience: Duration::ZERO,
            key: plan.key,
            permit: None,
        }
    }

    /// The same request by another plan: nothing that the last one allowed is left.
    pub fn by_another(self, plan: &Plan, binding: Binding) -> Self {
        Self::by(plan, self.request, self.caller, binding)
    }

    pub fn claim(&self) -> Claim {
        let Self { priority, sort, horizon, target, patience, .. } = *self;
        Claim { priority, sort, horizon, target, patience }
    }

    /// Whether its body is worth asking for a slot before it is sent anywhere.
    pub fn is_long(&self) -> bool {
        self.request.body.len() > LONG_BODY
    }

    pub fn left(&self, now: Moment) -> Duration {
        now.until(self.horizon)
    }
}

/// Why a node did not take an errand. Invariant: the endpoint was not offered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// That life is not here, or is on its way out.
    Gone,
    /// The endpoint doesn't hold the request's key, as far as its node knows.
    NotHeld,
    /// It could not be run in time.
    Busy,
    /// This node may not handle it.
    Outside,
    /// Its horizon passed in the queue.
    Late,
    /// The node's table contradicts the route that it was planned by.
    Stale,
}

#[derive(Debug)]
pub enum Outcome {
    /// The endpoint's whole answer.
    Answered(Return),
    /// Not taken: it has not run, and the endpoint never saw it.
    NotTaken { why: Passed, free_in: Duration },
    /// The endpoint says that it did not run it.
    NotExecuted,
    /// Another endpoint has the address, or it doesn't hold the request's key: it has not run.
    Misdirected,
    /// The way to the node or endpoint could not be opened: it has not run.
    NotSent,
    /// It may have run.
    Failed(&'static str),
    /// The horizon passed while the endpoint was at work.
    OverHorizon,
}

impl Outcome {
    /// The client has left before the endpoint was offered the request.
    pub fn abandoned() -> Self {
        Self::NotTaken { why: Passed::Late, free_in: Duration::ZERO }
    }
}

/// The route that it was planned by is not in force here.
pub fn stale() -> GoResult {
    GoResult::not_taken(Passed::Stale, Duration::from_millis(20))
}

/// That life is not here.
pub fn gone() -> GoResult {
    GoResult::not_taken(Passed::Gone, Duration::from_millis(50))
}

/// What one go at one node brought, with how busy its endpoint is.
#[derive(Debug)]
pub struct GoResult {
    pub outcome: Outcome,
    pub occupancy: Option<Occupancy>,
    /// How long the node beside the endpoint had it, where that node says so.
    pub spent: Option<Duration>,
}

impl GoResult {
    /// An outcome that says nothing of the endpoint.
    pub fn only(outcome: Outcome) -> Self {
        Self { outcome, occupancy: None, spent: None }
    }

    pub fn not_taken(why: Passed, free_in: Duration) -> Self {
        Self::only(Outcome::NotTaken { why, free_in })
    }
}
