//! This node's part in its region while the core can't be reached: in the council, as the coordinator,
//! and under its orders.

use super::Pointsman;
use lineside::call::{Ask, Reply};
use lineside::council::{CouncilAction, Fact, Fence, Order};
use lineside::gossip::{Peer, Role, Standing};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::Instance;
use trackbed::clock::{self, Moment};
use trackbed::ids::InstanceId;
use trackbed::logs::escape;

const EVERY: Duration = Duration::from_millis(250);
const ORDER_EVERY: Duration = Duration::from_secs(1);
const CALL_LIMIT: Duration = Duration::from_millis(450);
/// Facts held at most.
const MOST_FACTS: usize = 256;

/// What this node knows as the coordinator. Invariant: provisional; the core's word takes its place.
#[derive(Default)]
pub struct Coordination {
    facts: RefCell<Vec<Fact>>,
    sequence: Cell<u64>,
    last_order: Cell<Moment>,
    was_in_touch: Cell<Option<(bool, Moment)>>,
}

/// A core node that a majority backs answered.
pub fn core_spoke(node: &Pointsman) {
    let now = clock::now();
    node.council.borrow_mut().core_spoke(now);
    let had_orders = node.book.borrow().in_force().is_some();
    node.book.borrow_mut().core_spoke();
    node.coordination.facts.borrow_mut().clear();
    if had_orders {
        log::warn!("the core speaks again: a coordinator's orders are void");
        node.seat_endpoints();
    }
}

pub async fn keep(node: Rc<Pointsman>) {
    loop {
        monoio::time::sleep(EVERY).await;
        let now = clock::now();
        tell_touch(&node, now);
        let actions = node.council.borrow_mut().tick(now);
        for action in actions {
            match action {
                CouncilAction::Ask { to, ask } => {
                    let node = node.clone();
                    monoio::spawn(async move {
                        let fence = ask.fence;
                        let reply = node.caller.call_lightly(to.address, Ask::Grant(ask), CALL_LIMIT).await;
                        if let Ok(Reply::Grant(grant)) = reply {
                            let actions = node.council.borrow_mut().answered(&to.node, fence, grant, clock::now());
                            actions.iter().for_each(tell);
                        }
                    });
                }
                other => tell(&other),
            }
        }
        let fence = node.council.borrow().holds(now);
        if let Some(fence) = fence.filter(|_| now.since(node.coordination.last_order.get()) >= ORDER_EVERY) {
            node.coordination.last_order.set(now);
            give_order(&node, fence, now);
        }
    }
}

fn tell(action: &CouncilAction) {
    match action {
        CouncilAction::Began { fence } => {
            log::warn!("coordinator of the region by {} term {}", fence.charter, fence.term)
        }
        CouncilAction::Ended { fence, why } => log::warn!("no longer coordinator (term {}): {why}", fence.term),
        CouncilAction::Ask { .. } => {}
    }
}

fn tell_touch(node: &Pointsman, now: Moment) {
    let in_touch = node.council.borrow().is_in_touch(now);
    let before = node.coordination.was_in_touch.get();
    if before.is_none_or(|(before, _)| before != in_touch) {
        node.coordination.was_in_touch.set(Some((in_touch, now)));
        match (before, in_touch) {
            (Some(_), false) => log::warn!("no core node that a majority backs has answered for a while"),
            (Some(_), true) => log::warn!("in touch with the core again"),
            _ => {}
        }
    }
}

fn region(node: &Pointsman) -> Vec<(Peer, Standing)> {
    let own = node.live.get().region.clone();
    let roster = node.roster.borrow();
    let there = roster.cards().filter(|card| card.peer.role != Role::Core && card.peer.region == own);
    there.map(|card| (card.peer.clone(), card.standing)).collect()
}

fn give_order(node: &Rc<Pointsman>, fence: Fence, now: Moment) {
    let coordination = &node.coordination;
    coordination.sequence.set(coordination.sequence.get() + 1);
    let peers = region(node);
    let gone = peers.iter().filter(|(_, standing)| *standing >= Standing::Leaving);
    let facts = coordination.facts.borrow();
    let order = Order {
        fence,
        sequence: coordination.sequence.get(),
        coordinator: node.live.get().node_name.clone(),
        gone: gone.map(|(peer, _)| peer.name.clone()).collect(),
        nodes: peers.len() as u32 + 1,
        seen: facts
            .iter()
            .filter_map(|fact| if let Fact::Seen(seen) = fact { Some(seen.clone()) } else { None })
            .collect(),
        leaving: facts
            .iter()
            .filter_map(|fact| if let Fact::Leaving(id) = fact { Some(id.clone()) } else { None })
            .collect(),
    };
    drop(facts);
    let _ = take_order(node, order.clone(), now);
    for (peer, _) in peers.into_iter().filter(|(_, standing)| *standing <= Standing::Suspect) {
        let (node, order) = (node.clone(), order.clone());
        monoio::spawn(async move {
            let _ = node.caller.call_lightly(peer.address, Ask::Order(order), CALL_LIMIT).await;
        });
    }
}

/// An order, from here or elsewhere. It is refused by whoever hears the core or knows a higher right.
pub fn take_order(node: &Pointsman, order: Order, now: Moment) -> Result<(), Fence> {
    let (charter, in_touch) = {
        let council = node.council.borrow();
        (council.charter().map(|charter| charter.zxid).unwrap_or_default(), council.is_in_touch(now))
    };
    let from_elsewhere = order.coordinator != node.live.get().node_name;
    let coordinator = order.coordinator.clone();
    let before = node.book.borrow().in_force().map(|order| (order.coordinator.clone(), order.fence));
    node.book.borrow_mut().take(order.clone(), charter, in_touch, now)?;
    if before.is_none_or(|before| before != (coordinator.clone(), order.fence)) {
        log::warn!("{coordinator} coordinates the region by {} term {}", order.fence.charter, order.fence.term);
    }
    if from_elsewhere {
        node.council.borrow_mut().other_spoke(now);
    }
    node.seat_endpoints();
    Ok(())
}

/// A fact that the core could not be told, at the coordinator.
pub fn take_fact(node: &Pointsman, fact: Fact) {
    let mut facts = node.coordination.facts.borrow_mut();
    let about = |fact: &Fact| match fact {
        Fact::Seen(instance) => instance.id.clone(),
        Fact::Leaving(id) => id.clone(),
    };
    // What leaves never comes back in one life.
    let id = about(&fact);
    if facts.iter().any(|known| *known == Fact::Leaving(id.clone())) {
        return;
    }
    facts.retain(|known| about(known) != id);
    if facts.len() < MOST_FACTS {
        facts.push(fact);
    }
}

/// Tells the coordinator what the core could not be told. Nobody is told that it was ordered.
pub fn tell_fact(node: &Rc<Pointsman>, fact: Fact) {
    let coordinator = node.book.borrow().in_force().map(|order| order.coordinator.clone());
    let Some(coordinator) = coordinator else { return };
    if coordinator == node.live.get().node_name {
        take_fact(node, fact);
        return;
    }
    let address = node.roster.borrow().address_of(&coordinator);
    if let Some(address) = address {
        let node = node.clone();
        monoio::spawn(async move {
            let _ = node.caller.call_lightly(address, Ask::Fact(fact), CALL_LIMIT).await;
        });
    }
}

/// Endpoints that a coordinator holds as seen, and whether one of them leaves.
pub fn provisional(node: &Pointsman) -> (Vec<Instance>, Vec<InstanceId>) {
    match node.book.borrow().in_force() {
        Some(order) => (order.seen.clone(), order.leaving.clone()),
        None => (Vec::new(), Vec::new()),
    }
}

/// This node and its region, for operators.
pub fn view(node: &Pointsman) -> String {
    let now = clock::now();
    let council = node.council.borrow();
    let book = node.book.borrow();
    let order = book.in_force();
    let quoted = |name: Option<&str>| match name {
        Some(name) => format!("\"{}\"", escape(name)),
        None => "null".into(),
    };
    let members: Vec<String> = council
        .charter()
        .into_iter()
        .flat_map(|charter| &charter.members)
        .map(|member| quoted(Some(member.node.as_str())))
        .collect();
    let config = node.live.get();
    let mut text = format!(
        "{{\"node_name\":{},\"region\":{},\"in_touch\":{},\"core_heard_s_ago\":{:.3},\"council\":[{}],\"charter\":{},\"coordinator\":{},\"term\":{},\"is_coordinator\":{}",
        quoted(Some(config.node_name.as_str())),
        quoted(Some(config.region.as_str())),
        council.is_in_touch(now),
        now.since(council.core_heard()).as_secs_f64(),
        members.join(","),
        quoted(council.charter().map(|charter| charter.zxid.to_string()).as_deref()),
        quoted(order.map(|order| order.coordinator.as_str())),
        order.map(|order| order.fence.term.to_string()).unwrap_or_else(|| "null".into()),
        council.holds(now).is_some(),
    );
    let seen = order.map(|order| order.seen.iter().map(|seen| quoted(Some(seen.id.as_str()))).collect::<Vec<_>>());
    let leaving = order.map(|order| order.leaving.iter().map(|id| quoted(Some(id.as_str()))).collect::<Vec<_>>());
    let fleet = node.fleet.borrow();
    let (datagrams, calls) = (node.datagrams.tally(), node.caller.tally());
    let _ = write!(
        text,
        ",\"provisional_seen\":[{}],\"provisional_leaving\":[{}],\"fleet\":\"{}\",\"configuration\":\"{}\",\"routes_mistrusted\":{}",
        seen.unwrap_or_default().join(","),
        leaving.unwrap_or_default().join(","),
        fleet.zxid(),
        fleet.epoch(),
        node.routes_check.is_mistrusted(),
    );
    let _ = write!(
        text,
        ",\"datagrams_sent\":{},\"datagram_bytes_sent\":{},\"datagrams_received\":{},\"datagram_bytes_received\":{},\"calls_sent\":{},\"call_bytes_sent\":{},\"connections_opened\":{},\"connections_reused\":{}}}",
        datagrams.sent,
        datagrams.sent_bytes,
        datagrams.received,
        datagrams.received_bytes,
        calls.sent,
        calls.sent_bytes,
        node.lines.opened.get(),
        node.lines.reused.get(),
    );
    text
}
