//! Calls as the primary decides and carries them out, and how the others pass them on.

use super::{Signalbox, turn};
use crate::ledger::Change;
use crate::resources::{self, Decision, Desk};
use futures_channel::oneshot;
use lineside::call::{Ask, CallError, ControlCall, ControlReturn, Reply};
use std::time::Duration;
use timetable::fleet::{FleetChange, FleetNews, FleetState, Instance};
use timetable::packed::Packed;
use trackbed::clock;
use trackbed::ids::{InstanceId, RegionName, Zxid};

/// A caller of its own moves on after a second of silence.
const CALL_LIMIT: Duration = Duration::from_millis(900);
const CONFIGURATION_LIMIT: Duration = Duration::from_millis(2500);
/// How long a call waits for an election to end.
const ELECTION_WAIT: Duration = Duration::from_millis(350);

/// Answers a call that came to this node, wherever the primary is.
pub async fn answer_anywhere(node: &Signalbox, call: ControlCall) -> ControlReturn {
    let given_up = clock::now() + ELECTION_WAIT;
    loop {
        let primary = node.zab.borrow().primary();
        if let Some(primary) = primary {
            if primary.id == node.zab.borrow().me().id {
                return run(node, &call).await;
            }
            let limit = limit_of(&call);
            match node.caller.call(primary.address, Ask::Control(call.clone()), limit).await {
                Ok(Reply::Control(answer)) => return answer,
                Ok(Reply::NotNow(_)) | Err(CallError::NotSent) => {}
                Ok(_) | Err(CallError::NoReply) => return ControlReturn::unknown(),
            }
        }
        if clock::now() >= given_up {
            return ControlReturn::not_now("no primary just now: ask again");
        }
        monoio::time::sleep(Duration::from_millis(60)).await;
    }
}

fn limit_of(call: &ControlCall) -> Duration {
    if call.path.starts_with("/v1/watch/") {
        let wait = call.query.split('&').find_map(|pair| pair.strip_prefix("wait_ms="));
        let wait = wait.and_then(|wait| wait.parse().ok()).unwrap_or(0u64).min(60_000);
        return CALL_LIMIT + Duration::from_millis(wait);
    }
    if call.path.starts_with("/v1/configuration") { CONFIGURATION_LIMIT } else { CALL_LIMIT }
}

pub async fn run_if_primary(node: &Signalbox, call: &ControlCall) -> Reply {
    if !node.zab.borrow().is_primary() {
        return Reply::NotNow("this node is not the primary".into());
    }
    Reply::Control(run(node, call).await)
}

async fn run(node: &Signalbox, call: &ControlCall) -> ControlReturn {
    let Some((resource, name)) = resources::find(&call.path) else {
        return ControlReturn::fault(404, "no such resource");
    };
    let decision = {
        let (ahead, settled) = (node.ahead.borrow(), node.settled.borrow());
        let Some(ahead) = ahead.as_ref() else {
            return ControlReturn::not_now("the primary has changed");
        };
        let mut holds = node.holds.borrow_mut();
        let config = node.live.get();
        let knows_region = |region: &RegionName| config.zones.values().any(|known| known == region);
        let now = clock::now();
        let desk = Desk { ahead, settled: &settled, holds: &mut holds, now, knows_region: &knows_region };
        resource.decide(name, call, desk)
    };
    match decision {
        Decision::Read(answer) => match lease_holds(node) {
            true => answer,
            false => ControlReturn::not_now("this node may no longer be the primary: ask again"),
        },
        Decision::Settled(answer) => {
            let last = node.zab.borrow().history().last();
            match settle(node, last).await && lease_holds(node) {
                true => answer,
                false => ControlReturn::unknown(),
            }
        }
        Decision::Propose(change, answer) => match propose(node, *change) {
            None => ControlReturn::not_now("the primary has changed"),
            Some(zxid) => match settle(node, zxid).await {
                true => answer,
                false => ControlReturn::unknown(),
            },
        },
        Decision::Watch { group, after, wait_millis } => watch(node, &group, after, wait_millis).await,
    }
}

pub fn lease_holds(node: &Signalbox) -> bool {
    node.zab.borrow().lease_holds(clock::now())
}

/// Broadcasts one change, and builds the next on it.
fn propose(node: &Signalbox, change: Change) -> Option<Zxid> {
    let now = clock::now();
    let payload = Packed::pack(&change).into_bytes();
    let (zxid, actions) = node.zab.borrow_mut().propose(vec![payload], now)?;
    if let Some(ahead) = node.ahead.borrow_mut().as_mut() {
        ahead.apply(zxid, change, now);
    }
    turn::act(node, actions);
    Some(zxid)
}

/// Waits until a transaction is delivered here; false when this node is deposed first.
async fn settle(node: &Signalbox, zxid: Zxid) -> bool {
    if node.zab.borrow().delivered() >= zxid {
        return true;
    }
    let (sender, receiver) = oneshot::channel();
    node.waiting.borrow_mut().entry(zxid).or_default().push(sender);
    receiver.await.is_ok()
}

async fn watch(node: &Signalbox, group: &str, after: u64, wait_millis: u64) -> ControlReturn {
    let end = clock::now() + Duration::from_millis(wait_millis);
    loop {
        let last_look = clock::now() >= end;
        let answer = resources::watch_look(&node.settled.borrow(), group, after, last_look);
        if let Some(answer) = answer {
            return match lease_holds(node) {
                true => answer,
                false => ControlReturn::not_now("this node may no longer be the primary: ask again"),
            };
        }
        let (sender, receiver) = oneshot::channel();
        {
            let mut watchers = node.watchers.borrow_mut();
            let waiting = watchers.entry(group.to_owned()).or_default();
            waiting.retain(|sender| !sender.is_canceled());
            waiting.push(sender);
        }
        if let Ok(Err(_)) = monoio::time::timeout(clock::now().until(end), receiver).await {
            return ControlReturn::not_now("the primary has changed: ask again");
        }
    }
}

/// How far all that was acknowledged goes: the primary's own word, under its lease.
pub fn assure(node: &Signalbox) -> Reply {
    let zab = node.zab.borrow();
    if !zab.is_primary() || !zab.lease_holds(clock::now()) {
        return Reply::NotNow("this node may no longer be the primary".into());
    }
    Reply::Upto(node.settled.borrow().fleet.zxid())
}

/// All that was acknowledged before the call, out of what this node holds: the primary only says how
/// far that is, so that it need not bring the state to every node of the fleet itself.
pub async fn assured_news(node: &Signalbox, since: Zxid) -> Reply {
    news_when_assured(node, |fleet| fleet.news_since(since)).await
}

/// The whole state, for a node whose own is in doubt.
pub async fn assured_whole(node: &Signalbox) -> Reply {
    news_when_assured(node, |fleet| Some(fleet.whole())).await
}

async fn news_when_assured(node: &Signalbox, news: impl Fn(&FleetState) -> Option<FleetNews>) -> Reply {
    let Some(primary) = node.zab.borrow().primary() else {
        return Reply::NotNow("no primary just now".into());
    };
    let own = primary.id == node.zab.borrow().me().id;
    let word = match own {
        true => Ok(assure(node)),
        false => node.caller.call(primary.address, Ask::Assure, CALL_LIMIT / 3).await,
    };
    let upto = match word {
        Ok(Reply::Upto(upto)) => upto,
        Ok(reply) => return reply,
        Err(error) => return Reply::NotNow(error.to_string()),
    };
    for _ in 0..10 {
        let behind = node.settled.borrow().fleet.zxid() < upto;
        if !behind {
            let settled = node.settled.borrow();
            return Reply::News { news: news(&settled.fleet), zxid: settled.fleet.zxid() };
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    Reply::NotNow("this node is behind: ask another".into())
}

pub async fn register(node: &Signalbox, instance: Instance) -> Reply {
    let ask = Ask::Register(instance.clone());
    order_fleet(node, ask, |fleet| {
        // A late word of an ended life changes nothing.
        let mut instance = instance.clone();
        instance.draining |= fleet.instance(&instance.id).is_some_and(|known| known.draining);
        let known = fleet.has_ended(&instance.id) || fleet.instance(&instance.id) == Some(&instance);
        (!known).then_some(FleetChange::Register(instance))
    })
    .await
}

/// Orders a change of the fleet that nobody waits for.
pub fn order(node: &Signalbox, change: FleetChange) {
    order_change(node, Change::Fleet(change));
}

/// Orders a change that nobody waits for.
pub fn order_change(node: &Signalbox, change: Change) {
    propose(node, change);
}

pub async fn sign_off(node: &Signalbox, id: InstanceId) -> Reply {
    let ask = Ask::SignOff(id.clone());
    order_fleet(node, ask, |fleet| (!fleet.has_ended(&id)).then(|| FleetChange::End(id.clone()))).await
}

async fn order_fleet(
    node: &Signalbox,
    ask: Ask,
    change: impl Fn(&timetable::fleet::FleetState) -> Option<FleetChange>,
) -> Reply {
    let Some(primary) = node.zab.borrow().primary() else {
        return Reply::NotNow("no primary just now".into());
    };
    if primary.id != node.zab.borrow().me().id {
        return match node.caller.call(primary.address, ask, CALL_LIMIT).await {
            Ok(reply) => reply,
            Err(CallError::NotSent) => Reply::NotNow("the primary can't be reached".into()),
            Err(CallError::NoReply) => Reply::Unknown,
        };
    }
    let change = match node.ahead.borrow().as_ref() {
        Some(ahead) => change(&ahead.fleet),
        None => return Reply::NotNow("the primary has changed".into()),
    };
    let zxid = match change {
        Some(change) => match propose(node, Change::Fleet(change)) {
            Some(zxid) => zxid,
            None => return Reply::NotNow("the primary has changed".into()),
        },
        None => node.zab.borrow().history().last(),
    };
    match settle(node, zxid).await {
        true => Reply::Done,
        false => Reply::Unknown,
    }
}
