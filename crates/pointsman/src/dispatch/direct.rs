//! A go at an endpoint that is at home at another gateway: its home gives the slot, and the request
//! goes to the endpoint from here.

use super::balance::Candidate;
use super::errand::{Errand, GoResult, Outcome, Passed, gone};
use super::remote;
use crate::node::Pointsman;
use crate::platform::{RightToSend, Sign, at_endpoint, sign_of, word_of_sign};
use lineside::call::{Ask, PeerMessage, Permit, Reply};
use lineside::gossip::Occupancy;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::Route;
use timetable::fleet::Instance;
use trackbed::clock;
use trackbed::http::Return;

/// Longest patience that still counts as a look.
const SHORT_LOOK: Duration = Duration::from_millis(60);
/// How long past the patience the home's own word is waited for.
const LAST_WORD: Duration = Duration::from_millis(250);

/// A slot given to this gateway. Invariant: the home hears of its end exactly once.
struct Held {
    node: Rc<Pointsman>,
    home: SocketAddr,
    number: u64,
    sign: Option<Sign>,
    span: Duration,
    /// The home has it back already.
    is_redeemed: bool,
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.is_redeemed {
            return;
        }
        let release = PeerMessage::Release {
            number: self.number,
            sign: word_of_sign(self.sign),
            span_micros: self.span.as_micros().min(u32::MAX as u128) as u32,
        };
        self.node.caller.tell(self.home, &release);
    }
}

/// Asks the node that holds an endpoint's slots for one; or says what came of it instead.
async fn ask_permit(
    node: &Rc<Pointsman>,
    home: SocketAddr,
    route: &Route,
    errand: &Errand,
) -> Result<(Held, Option<Occupancy>), GoResult> {
    let begun = clock::now();
    let left = errand.left(begun);
    let permit = Permit {
        instance: errand.instance.clone(),
        priority: errand.priority,
        sort: errand.sort,
        horizon_millis: left.as_millis() as u32,
        target_millis: begun.until(errand.target).as_millis() as u32,
        patience_millis: errand.patience.as_millis() as u32,
        planned: errand.planned.clone(),
        hostname: route.hostname.clone(),
        prefix: route.prefix.clone(),
        regions: errand.binding.write(),
    };
    let limit = left.min(errand.patience + LAST_WORD);
    match node.caller.call_lightly(home, Ask::Permit(permit), limit).await {
        Ok(Reply::Permitted { number, occupancy }) => {
            let held = Held { node: node.clone(), home, number, sign: None, span: Duration::ZERO, is_redeemed: false };
            Ok((held, occupancy))
        }
        Ok(Reply::NotTaken { gone, stale, free_in_millis, occupancy }) => {
            let why = match (stale, gone) {
                (true, _) => Passed::Stale,
                (_, true) => Passed::Gone,
                _ => Passed::Busy,
            };
            let outcome = Outcome::NotTaken { why, free_in: Duration::from_millis(free_in_millis as u64) };
            // A short look tells how the way is; a wait in a queue does not.
            let spent = (errand.patience < SHORT_LOOK).then_some(Duration::ZERO);
            Err(GoResult { outcome, occupancy, spent })
        }
        // A slot given in an answer that comes too late comes back to the home with the horizon.
        Ok(_) | Err(_) => Err(GoResult::only(Outcome::NotSent)),
    }
}

/// Passes on a request with a long body: it goes out only to where a slot was given, so that no narrow way carries it
/// in vain.
pub async fn deliver_long(
    node: &Rc<Pointsman>,
    home: SocketAddr,
    beside: SocketAddr,
    route: &Route,
    errand: &Errand,
) -> GoResult {
    let (mut held, occupancy) = match ask_permit(node, home, route, errand).await {
        Ok(permitted) => permitted,
        Err(result) => return result,
    };
    let permitted = Errand { permit: Some(held.number), ..errand.clone() };
    let going = remote::deliver(&node.peers, &node.pacer, beside, &permitted);
    // The node beside the endpoint sees through what the endpoint is at.
    let Some(result) = errand.request.presence.unless_left(going).await else {
        return GoResult::only(Outcome::abandoned());
    };
    // Whoever has answered has taken the slot over.
    held.is_redeemed = !matches!(result.outcome, Outcome::NotSent | Outcome::Failed(_));
    GoResult { occupancy: result.occupancy.or(occupancy), ..result }
}

pub async fn deliver(node: &Rc<Pointsman>, candidate: &Candidate, route: &Route, errand: &Errand) -> GoResult {
    let (mut held, occupancy) = match ask_permit(node, candidate.beside, route, errand).await {
        Ok(permitted) => permitted,
        Err(result) => return result,
    };
    if errand.request.presence.has_left() {
        return GoResult { outcome: Outcome::abandoned(), occupancy, spent: None };
    }
    // What was ordered meanwhile holds here too.
    let address = {
        let fleet = node.fleet.borrow();
        let instance = fleet.instance(&errand.instance);
        let instance = instance.filter(|instance| !instance.draining && !fleet.is_evacuated(&instance.zone));
        let holds_key = |instance: &&Instance| {
            let shards = errand.key.zip(fleet.shards(&instance.service));
            shards.is_none_or(|(key, shards)| shards.owner_of(key) == Some(&errand.instance))
        };
        instance.filter(holds_key).map(|instance| instance.address)
    };
    let granted = clock::now();
    let mut outcome = match address {
        Some(address) => at_endpoint(address, &node.lines, errand, RightToSend::Permit, None).await,
        None => gone().outcome,
    };
    held.span = clock::now().since(granted);
    let usual = Duration::from_micros(occupancy.as_ref().map(|told| told.service_micros as u64).unwrap_or(100_000));
    held.sign = sign_of(&outcome, held.span, usual);
    let spent = (errand.patience < SHORT_LOOK).then_some(held.span);
    if let Outcome::Answered(Return { flow: Some(flow), .. }) = &mut outcome {
        // The endpoint is at it until the body has gone through.
        flow.hold(Box::new(held));
    }
    GoResult { outcome, occupancy, spent }
}
