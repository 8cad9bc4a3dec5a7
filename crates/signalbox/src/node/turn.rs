//! The loop's turns: time, the disk's completions, and what Zab wants done.

use super::disk::Write;
use super::start::core_address;
use super::{Signalbox, inspection, members, peers};
use crate::ledger::{Change, Ledger, LogGrowth};
use futures_channel::mpsc::UnboundedReceiver;
use futures_core::Stream;
use interlocking::storage::{FileDisk, Storage};
use interlocking::zab::{Action, Envelope, Ticket};
use lineside::call::PeerMessage;
use lineside::gossip::Role;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::FleetChange;
use timetable::packed::Packed;
use trackbed::clock::{self, Moment};
use trackbed::http::Serving;
use trackbed::ids::Zxid;

const TICK: Duration = Duration::from_millis(50);
/// Transactions kept for those a little behind.
const TAIL_ENTRIES: usize = 1000;

pub async fn watch_disk(node: Rc<Signalbox>, mut completions: UnboundedReceiver<Ticket>) {
    loop {
        let next = std::future::poll_fn(|context| Pin::new(&mut completions).poll_next(context)).await;
        let Some(ticket) = next else { return };
        let actions = node.zab.borrow_mut().durable(ticket, clock::now());
        act(&node, actions);
    }
}

pub async fn keep_time(node: Rc<Signalbox>) {
    let mut turns = 0u64;
    loop {
        let now = clock::now();
        if turns.is_multiple_of(10) {
            refresh_contacts(&node);
        }
        let actions = node.zab.borrow_mut().tick(now);
        act(&node, actions);
        if turns.is_multiple_of(2) {
            let actions = node.roster.borrow_mut().tick(now);
            peers::gossip(&node, actions);
            peers::knock(&node);
            members::tend(&node, now);
            fold(&node);
        }
        if turns.is_multiple_of(200) {
            log::info!("own datagrams {:?}; calls {:?}", node.datagrams.tally(), node.caller.tally());
        }
        turns += 1;
        monoio::time::sleep(TICK).await;
    }
}

fn refresh_contacts(node: &Signalbox) {
    let config = node.live.get();
    let seeds: Vec<SocketAddr> = config.seeds.iter().map(|seed| core_address(&config, *seed)).collect();
    let mut contacts = seeds.clone();
    contacts.extend(node.roster.borrow().alive(Role::Core).map(|peer| peer.address));
    contacts.sort();
    contacts.dedup();
    node.zab.borrow_mut().set_contacts(contacts);
    node.roster.borrow_mut().set_seeds(seeds);
}

/// Carries out what Zab wants.
pub fn act(node: &Signalbox, actions: Vec<Action>) {
    if actions.is_empty() {
        return;
    }
    let now = clock::now();
    for action in actions {
        match action {
            Action::Send { to, message } => {
                let from = node.zab.borrow().me().clone();
                let envelope = Envelope { from, to: to.id, message };
                let bytes = borsh::to_vec(&envelope).expect("writing to memory can't fail");
                node.caller.tell(to.address, &PeerMessage::Zab(bytes));
            }
            Action::Persist { ticket, records } => {
                let records = records.iter().map(|record| borsh::to_vec(record).expect("writing to memory can't fail"));
                // The writer ends only with the process.
                let _ = node.disk.send(Write::Append { ticket, records: records.collect() });
            }
            Action::Deliver { zxid, payload } => match Packed::read::<Change>(&payload) {
                Ok(change) => deliver(node, zxid, change, Packed::from_bytes(payload), now),
                Err(error) => log::error!("a transaction can't be read ({error}): upgrade this node"),
            },
            Action::DeliverFrame { zxid, state } => {
                match Ledger::decode(&state, node.live.get().bounds.history(), now) {
                    Ok(ledger) => *node.settled.borrow_mut() = ledger,
                    Err(error) => log::error!("the frame at {zxid} can't be read ({error}): upgrade this node"),
                }
                inspection::adopt(node);
                tell_fleet(node);
            }
            Action::Ready { epoch } => {
                log::info!("primary of epoch {epoch}");
                take_over(node, now);
                node.heard.borrow_mut().start_anew(now);
            }
            Action::Deposed => {
                log::info!("no longer primary");
                node.ahead.borrow_mut().take();
                node.waiting.borrow_mut().clear();
                node.watchers.borrow_mut().clear();
                node.holds.borrow_mut().clear();
            }
        }
    }
    let delivered = node.zab.borrow().delivered();
    let mut waiting = node.waiting.borrow_mut();
    while let Some(first) = waiting.first_entry() {
        if *first.key() > delivered {
            break;
        }
        for sender in first.remove() {
            let _ = sender.send(());
        }
    }
}

/// Every hold is counted anew: what the last primary granted without an order ends before this does.
fn take_over(node: &Signalbox, now: Moment) {
    let settled = node.settled.borrow();
    *node.holds.borrow_mut() = settled
        .locks
        .iter()
        .map(|(lock, record)| (lock.clone(), now + Duration::from_millis(record.hold_millis)))
        .collect();
    *node.ahead.borrow_mut() = Some(settled.for_proposals());
}

fn deliver(node: &Signalbox, zxid: Zxid, change: Change, payload: Packed, now: Moment) {
    let group = match &change {
        Change::CellPut { name, .. } => Some(crate::ledger::group_of(name).to_owned()),
        _ => None,
    };
    let is_fleet = matches!(change, Change::Fleet(_));
    let is_configuration = matches!(change, Change::Fleet(FleetChange::Configure { .. }));
    node.settled.borrow_mut().apply_delivered(zxid, change, payload, now);
    if let Some(group) = group
        && let Some(watchers) = node.watchers.borrow_mut().remove(&group)
    {
        for watcher in watchers {
            let _ = watcher.send(());
        }
    }
    if is_configuration {
        inspection::adopt(node);
    }
    if is_fleet {
        tell_fleet(node);
    }
}

fn tell_fleet(node: &Signalbox) {
    let (zxid, epoch) = {
        let settled = node.settled.borrow();
        (settled.fleet.zxid(), settled.fleet.epoch())
    };
    let actions = {
        let mut roster = node.roster.borrow_mut();
        roster.set_configuration(epoch);
        roster.fleet_moved(zxid, clock::now())
    };
    peers::gossip(node, actions);
}

/// Folds a long history into an image on the slot not in use.
fn fold(node: &Signalbox) {
    let mut zab = node.zab.borrow_mut();
    let growth = LogGrowth::of(zab.history(), zab.delivered());
    if !growth.wants_snapshot(zab.history().frame.state.len()) {
        return;
    }
    let state = node.settled.borrow().encode();
    zab.compact(state, TAIL_ENTRIES);
    node.imaged_weight.set(zab.history().weight());
    let encoded = Storage::<FileDisk>::encode_image(&zab.image());
    let _ = node.disk.send(Write::Image { encoded });
}

/// Ends in order: no new calls, those under way get their answers.
pub async fn leave(node: &Signalbox, serving: &Serving) {
    node.leaving.set(true);
    serving.leaving.set(true);
    let actions = node.roster.borrow_mut().leave();
    peers::gossip(node, actions);
    let limit = clock::now() + node.live.get().bounds.grace_period().mul_f64(0.3).min(Duration::from_millis(600));
    while clock::now() < limit && serving.under_way.get() > 0 {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    let actions = node.zab.borrow_mut().retire(clock::now());
    act(node, actions);
    // What was said has to leave this machine before the process does.
    monoio::time::sleep(Duration::from_millis(60)).await;
}
