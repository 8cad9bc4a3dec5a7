//! The loop's turns: time, the disk's completions, and what Zab wants done.

use super::disk::Write;
use super::start::core_address;
use super::{Signalbox, members, peers};
use crate::ledger::LogGrowth;
use crate::replica::Effect;
use futures_channel::mpsc::UnboundedReceiver;
use futures_core::Stream;
use interlocking::storage::{FileDisk, Storage};
use interlocking::zab::{Action, TailLimits, Ticket};
use lineside::call::PeerMessage;
use lineside::gossip::Role;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::Routes;
use trackbed::clock::{self, Moment};
use trackbed::http::Serving;

const TICK: Duration = Duration::from_millis(50);
/// Transactions kept for those a little behind.
const TAIL: TailLimits = TailLimits { entries: 1000, bytes: 4 << 20 };

pub async fn watch_disk(node: Rc<Signalbox>, mut completions: UnboundedReceiver<Ticket>) {
    loop {
        let next = std::future::poll_fn(|context| Pin::new(&mut completions).poll_next(context)).await;
        let Some(ticket) = next else { return };
        let effects = node.replica.borrow_mut().durable(ticket, clock::now());
        carry_out(&node, effects);
    }
}

/// Notes whether a majority stands behind this member, and tells in the log when that changes for long.
fn note_majority(node: &Signalbox, now: Moment) {
    let has_majority = node.replica.borrow().zab().borrow().has_majority(now);
    if let Some(change) = node.majority.borrow_mut().note(has_majority, now) {
        log::warn!("{change}");
    }
}

/// Tells and counts how long this process stood still, where it did.
fn note_stall(node: &Signalbox, now: Moment) {
    let Some(pause) = node.stall.borrow_mut().note_turn(now) else { return };
    node.metrics.stalls.inc();
    node.metrics.stalled_millis.inc_by(pause.as_millis() as u64);
    log::warn!("this process stood still for {:.3} s", pause.as_secs_f64());
}

pub async fn keep_time(node: Rc<Signalbox>) {
    let mut turns = 0u64;
    loop {
        let now = clock::now();
        note_stall(&node, now);
        note_majority(&node, now);
        if turns.is_multiple_of(10) {
            refresh_contacts(&node);
        }
        let effects = node.replica.borrow_mut().tick(now);
        carry_out(&node, effects);
        if turns.is_multiple_of(2) {
            let actions = node.roster.borrow_mut().tick(now);
            peers::gossip(&node, actions);
            peers::probe_over_stream(&node);
            members::tend(&node, now);
            fold(&node);
        }
        if turns.is_multiple_of(200) {
            let (calls, replication) = (node.caller.tally(), node.replication.tally());
            log::info!("own datagrams {:?}; calls {calls:?}; replication {replication:?}", node.datagrams.tally());
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
    node.replica.borrow_mut().set_history(config.bounds.history());
    node.roster.borrow_mut().set_seeds(seeds);
}

/// Takes in what Zab did, and carries out what comes of it.
pub fn act(node: &Signalbox, actions: Vec<Action>) {
    if actions.is_empty() {
        return;
    }
    let effects = node.replica.borrow_mut().advance(actions, clock::now());
    carry_out(node, effects);
}

/// Carries out what the replica wants.
pub fn carry_out(node: &Signalbox, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Send { to, envelope } => {
                node.replication.tell(to, &PeerMessage::Zab(envelope.encode()));
            }
            Effect::Persist { ticket, records } => {
                let records = records.iter().map(|record| borsh::to_vec(record).expect("writing to memory can't fail"));
                // The writer ends only with the process.
                let _ = node.disk.send(Write::Append { ticket, records: records.collect() });
            }
            Effect::Finish { call, outcome } => node.calls.finish(call, outcome),
            Effect::ConfigurationCommitted(routes) => adopt_routes(node, &routes),
            Effect::FleetMoved => tell_fleet(node),
            Effect::BecamePrimary { epoch } => {
                log::info!("primary of epoch {epoch}");
                node.heartbeats.borrow_mut().start_anew(clock::now());
            }
            Effect::Deposed => log::info!("no longer primary"),
        }
    }
}

/// A table was committed: it is what proxies are held against from now on.
fn adopt_routes(node: &Signalbox, routes: &Rc<Routes>) {
    let digest = routes.digest();
    node.inspector.borrow_mut().adopt(digest.epoch, digest.root(), clock::now());
    *node.meant.borrow_mut() = Some(digest);
}

fn tell_fleet(node: &Signalbox) {
    let (zxid, epoch) = {
        let committed = node.committed.borrow();
        (committed.fleet.zxid(), committed.fleet.epoch())
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
    if !growth.wants_snapshot(zab.history().snapshot.state.len()) {
        return;
    }
    let state = node.committed.borrow().encode();
    zab.compact(state, TAIL);
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
    members::hand_over(node).await;
    let actions = node.zab.borrow_mut().retire(clock::now());
    act(node, actions);
    // What was said has to leave this machine before the process does.
    monoio::time::sleep(Duration::from_millis(60)).await;
}
