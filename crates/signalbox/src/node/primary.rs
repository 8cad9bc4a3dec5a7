//! Calls as the primary decides and carries them out, and how the others pass them on.

use super::{Signalbox, turn};
use crate::ledger::Change;
use crate::replica::{CALL_LIMIT, ForwardReply, Forwarding, Outcome, Step};
use crate::resources::{CONFIGURATION_PATH, Places};
use futures_channel::oneshot;
use interlocking::zab::Voter;
use lineside::call::{Ask, CallError, ControlCall, ControlReturn, Reply};
use std::time::Duration;
use timetable::fleet::{FleetChange, FleetNews, FleetState, Instance};
use trackbed::clock;
use trackbed::ids::{InstanceId, Zxid};

/// Answers a call that came to this node, wherever the primary is.
pub async fn answer_anywhere(node: &Signalbox, call: ControlCall) -> ControlReturn {
    let forwarding = Forwarding::begin(&call, clock::now());
    loop {
        let route = node.replica.borrow().route();
        let mut step = forwarding.next(route, clock::now());
        if let Step::Ask { primary, limit } = step {
            let reply = ask_primary(node, &call, &primary, limit).await;
            step = forwarding.after(reply, clock::now());
        }
        match step {
            Step::DecideHere => return run(node, call).await,
            Step::Answer(answer) => return answer,
            Step::Pause(pause) => monoio::time::sleep(pause).await,
            Step::Ask { .. } => {}
        }
    }
}

async fn ask_primary(node: &Signalbox, call: &ControlCall, primary: &Voter, limit: Duration) -> ForwardReply {
    match node.caller.call(primary.address, Ask::Control(call.clone()), limit).await {
        Ok(Reply::Control(answer)) => ForwardReply::Answered(answer),
        Ok(Reply::NotNow(_)) | Err(CallError::NotSent) => ForwardReply::NotNow,
        Ok(_) | Err(CallError::NoReply) => ForwardReply::NoReply,
    }
}

pub async fn run_if_primary(node: &Signalbox, call: ControlCall) -> Reply {
    if !node.zab.borrow().is_primary() {
        return Reply::NotNow("this node is not the primary".into());
    }
    Reply::Control(run(node, call).await)
}

async fn run(node: &Signalbox, call: ControlCall) -> ControlReturn {
    let decided = match call.path == CONFIGURATION_PATH {
        true => node.configuration_turns.run(|| decide(node, call)).await,
        false => Some(decide(node, call)),
    };
    let Some(outcome) = decided else {
        return ControlReturn::not_now("other configurations are being decided: it has not run, ask again");
    };
    match outcome.await {
        Ok(Outcome::Answered(answer)) => answer,
        _ => ControlReturn::unknown(),
    }
}

/// The call ends here: its body may be long, and nobody needs it while the answer waits for a quorum.
fn decide(node: &Signalbox, call: ControlCall) -> oneshot::Receiver<Outcome> {
    let (id, outcome) = node.calls.open();
    let config = node.live.get();
    let places = Places {
        knows_zone: &|zone| config.zones.contains_key(zone),
        knows_region: &|region| config.zones.values().any(|known| known == region),
    };
    let effects = node.replica.borrow_mut().call(id, &call, places, clock::now());
    turn::carry_out(node, effects);
    outcome
}

/// Whether a majority stands behind this node as the primary.
pub fn lease_holds(node: &Signalbox) -> bool {
    node.zab.borrow().lease_holds(clock::now())
}

/// How far all that was acknowledged goes: the primary's own word, under its lease.
pub fn assure(node: &Signalbox) -> Reply {
    let zab = node.zab.borrow();
    if !zab.is_primary() || !zab.lease_holds(clock::now()) {
        return Reply::NotNow("this node may no longer be the primary".into());
    }
    Reply::Upto(node.committed.borrow().fleet.zxid())
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

/// A primary's word of how far its committed state goes is used for others that ask within this time.
const WORD_SHARED_FOR: Duration = Duration::from_millis(400);

/// What came after `since`, with how long ago a primary said under its lease that this is all.
pub async fn fresh_news(node: &Signalbox, since: Zxid) -> Reply {
    let recent = node.assurance.get().filter(|(at, _)| clock::now().since(*at) < WORD_SHARED_FOR);
    let (at, upto) = match recent {
        Some(word) => word,
        None => {
            let at = clock::now();
            match ask_how_far(node).await {
                Ok(upto) => {
                    node.assurance.set(Some((at, upto)));
                    (at, upto)
                }
                Err(reply) => return reply,
            }
        }
    };
    if !wait_until_known(node, upto).await {
        return Reply::NotNow("this node is behind: ask another".into());
    }
    let committed = node.committed.borrow();
    let (news, zxid) = (committed.fleet.news_since(since), committed.fleet.zxid());
    Reply::FreshNews { news, zxid, age_millis: clock::now().since(at).as_millis() as u32 + 1 }
}

/// How far the primary's committed state goes, by its own word under its lease.
pub async fn ask_how_far(node: &Signalbox) -> Result<Zxid, Reply> {
    let Some(primary) = node.zab.borrow().primary() else {
        return Err(Reply::NotNow("no primary just now".into()));
    };
    let own = primary.id == node.zab.borrow().me().id;
    let word = match own {
        true => Ok(assure(node)),
        false => node.caller.call(primary.address, Ask::Assure, CALL_LIMIT / 3).await,
    };
    match word {
        Ok(Reply::Upto(upto)) => Ok(upto),
        Ok(reply) => Err(reply),
        Err(error) => Err(Reply::NotNow(error.to_string())),
    }
}

/// Waits a moment until this node's committed state goes so far.
pub async fn wait_until_known(node: &Signalbox, upto: Zxid) -> bool {
    for _ in 0..10 {
        if node.committed.borrow().fleet.zxid() >= upto {
            return true;
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

async fn news_when_assured(node: &Signalbox, news: impl Fn(&FleetState) -> Option<FleetNews>) -> Reply {
    let upto = match ask_how_far(node).await {
        Ok(upto) => upto,
        Err(reply) => return reply,
    };
    if !wait_until_known(node, upto).await {
        return Reply::NotNow("this node is behind: ask another".into());
    }
    let committed = node.committed.borrow();
    Reply::News { news: news(&committed.fleet), zxid: committed.fleet.zxid() }
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
    let effects = node.replica.borrow_mut().order(change, clock::now());
    turn::carry_out(node, effects);
}

pub async fn sign_off(node: &Signalbox, id: InstanceId) -> Reply {
    let ask = Ask::SignOff(id.clone());
    order_fleet(node, ask, |fleet| (!fleet.has_ended(&id)).then(|| FleetChange::End(id.clone()))).await
}

pub async fn order_fleet(node: &Signalbox, ask: Ask, change: impl FnOnce(&FleetState) -> Option<FleetChange>) -> Reply {
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
    let (id, outcome) = node.calls.open();
    let effects = node.replica.borrow_mut().order_fleet(id, change, clock::now());
    turn::carry_out(node, effects);
    match outcome.await {
        Ok(Outcome::Committed) => Reply::Done,
        Ok(Outcome::NotPrimary) => Reply::NotNow("the primary has changed".into()),
        _ => Reply::Unknown,
    }
}
