//! How this node comes to know the fleet: all of it at the start, then news from whoever is ahead.

use super::{Mode, Pointsman, aggregation, coordination, core_calls};
use crate::platform::{FormerSender, Life, sign_of_word};
use borsh::BorshDeserialize;
use lineside::call::{Answering, Ask, Reply};
use lineside::gossip::{Datagram, GossipAction, Peer, Role};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::FleetNews;
use trackbed::clock::{self, Moment};
use trackbed::ids::Zxid;

const PULL_EVERY: Duration = Duration::from_millis(700);
/// A full link holds answers up for half a second and more: whoever gives up sooner never hears any news.
const FETCH_SILENCE: Duration = Duration::from_millis(1100);
const CATCH_UP: Duration = Duration::from_millis(250);
/// The longest ask that is taken, in bytes: an order about every endpoint of a region is the longest that there is.
const LONGEST_ASK: usize = 4 << 20;
/// Share of the time in which an evacuation is to be in force, for which nothing may be heard of the core.
const SHARE_OF_EVACUATION: f64 = 0.6;
const KNOCK_LIMIT: Duration = Duration::from_millis(900);

impl Answering for Pointsman {
    fn longest_frame(&self) -> usize {
        LONGEST_ASK
    }

    fn on_zab(&self, _: &[u8]) {}

    fn on_release(&self, number: u64, sign: u8, span: Duration) {
        self.permits.release(number, sign_of_word(sign), span);
    }

    async fn answer(self: Rc<Self>, ask: Ask) -> Reply {
        match ask {
            Ask::Knock => Reply::Done,
            Ask::RoutesDetail { root, leaves } => self.routes_check.detail(root, &leaves),
            Ask::Grant(ask) => Reply::Grant(self.council.borrow_mut().asked(&ask, clock::now())),
            Ask::Order(order) => match coordination::take_order(&self, order, clock::now()) {
                Ok(()) => Reply::Done,
                Err(fence) => Reply::Refused(fence),
            },
            Ask::Fact(fact) => {
                coordination::take_fact(&self, fact);
                Reply::Done
            }
            Ask::Permit(permit) => self.permits.ask(&self, permit).await,
            Ask::Report { known } => Reply::Report(self.counting.report_for(known)),
            Ask::News { since, assured: false } => {
                let fleet = self.fleet.borrow();
                Reply::News { news: fleet.news_since(since), zxid: fleet.zxid() }
            }
            _ => Reply::NotNow("this node holds no order: ask a core node".into()),
        }
    }
}

/// Learns all that was acknowledged so far, from a node that a majority backs.
pub async fn learn_all(node: Rc<Pointsman>) {
    loop {
        let since = node.fleet.borrow().zxid();
        let ask = Ask::News { since, assured: true };
        if let Some(Reply::News { news, .. }) = core_calls::ask_core(&node, ask, Duration::from_secs(2)).await {
            take(&node, since, news);
            coordination::core_spoke(&node);
            if !node.assured.replace(true) {
                log::info!("the fleet's state is known up to {}", node.fleet.borrow().zxid());
            }
            if node.fleet.borrow().routes().is_some() {
                return;
            }
        }
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Takes the whole state in place of what is here.
pub fn replace(node: &Rc<Pointsman>, whole: FleetNews) {
    let replaced = node.fleet.borrow_mut().replace(whole);
    if replaced {
        moved_on(node);
    }
}

/// Fetches what a peer has and this node lacks, and waits for it a moment.
pub async fn catch_up(node: &Rc<Pointsman>, peer: SocketAddr) {
    let since = node.fleet.borrow().zxid();
    let ask = Ask::News { since, assured: false };
    if let Ok(Reply::News { news, .. }) = node.caller.call_lightly(peer, ask, CATCH_UP).await {
        take(node, since, news);
    }
}

/// Takes news asked for at `since`.
pub fn take(node: &Rc<Pointsman>, since: Zxid, news: Option<FleetNews>) {
    let Some(news) = news else { return };
    if node.fleet.borrow_mut().take(since, news) {
        moved_on(node);
    }
}

fn moved_on(node: &Rc<Pointsman>) {
    let region = node.live.get().region.clone();
    if let Some(charter) = node.fleet.borrow().charter(&region) {
        node.council.borrow_mut().take_charter(charter);
    }
    adopt_life(node);
    node.platform.follow(&node.fleet.borrow(), &node.live.get().bounds, clock::now());
    node.seat_endpoints();
    let fleet = node.fleet.borrow();
    node.balance.borrow_mut().forget_all_but(|instance| fleet.instance(instance).is_some());
    let actions = {
        let mut roster = node.roster.borrow_mut();
        roster.set_configuration(fleet.epoch());
        roster.fleet_moved(fleet.zxid(), clock::now())
    };
    drop(fleet);
    gossip(node, actions);
}

/// A node that started anew rebuilds what it knew of its endpoint from what was ordered.
fn adopt_life(node: &Pointsman) {
    if node.mode == Mode::Gateway {
        return;
    }
    let name = node.live.get().node_name.clone();
    let fleet = node.fleet.borrow();
    let mut life = node.platform.life.borrow_mut();
    if let Some(life) = life.as_mut() {
        if fleet.has_ended(&life.instance.id) {
            life.leaving = true;
        }
        return;
    }
    let own =
        fleet.instances().find(|instance| instance.node == name && Some(instance.address) == node.platform.address);
    if let Some(instance) = own {
        let now = clock::now();
        node.platform.admission.set_slots(instance.slots);
        *life = Some(Life {
            instance: instance.clone(),
            sequence: 0,
            heard: now,
            leaving: instance.draining,
            lists_keys: true,
        });
        drop(life);
        node.platform.follow(&fleet, &node.live.get().bounds, now);
        node.platform.admission.change_cold(|cold| cold.begin_life(FormerSender::Another, now));
    }
}

/// Fetches what a peer has and this node lacks.
fn fetch(node: &Rc<Pointsman>, peer: Peer) {
    if node.fetching.replace(true) {
        return;
    }
    let node = node.clone();
    monoio::spawn(async move {
        let since = node.fleet.borrow().zxid();
        let ask = Ask::News { since, assured: false };
        let reply = node.caller.call_for_much(peer.address, ask, FETCH_SILENCE).await;
        node.fetching.set(false);
        if let Ok(Reply::News { news, .. }) = reply {
            take(&node, since, news);
        }
    });
}

/// Asks a peer that datagrams don't reach over a stream.
fn knock(node: &Rc<Pointsman>, peer: Peer) {
    let node = node.clone();
    monoio::spawn(async move {
        if node.caller.call(peer.address, Ask::Knock, KNOCK_LIMIT).await == Ok(Reply::Done) {
            node.roster.borrow_mut().vouch(&peer.name, clock::now());
        }
    });
}

pub async fn listen(node: Rc<Pointsman>) {
    loop {
        let (bytes, from) = node.datagrams.receive().await;
        if let Ok(datagram) = Datagram::try_from_slice(&bytes) {
            let now = clock::now();
            if let Some(occupancy) = &datagram.occupancy {
                node.balance.borrow_mut().told(occupancy, now);
            }
            let actions = node.roster.borrow_mut().receive(from, datagram, now);
            gossip(&node, actions);
            node.seat_endpoints();
        }
    }
}

pub fn gossip(node: &Rc<Pointsman>, actions: Vec<GossipAction>) {
    for action in actions {
        match action {
            GossipAction::Send { to, datagram } => {
                let bytes = borsh::to_vec(&datagram).expect("writing to memory can't fail");
                node.datagrams.send(&bytes, to);
            }
            GossipAction::Ahead { peer } => fetch(node, peer),
            GossipAction::Knock { peer } => knock(node, peer),
        }
    }
}

/// Asks a peer of this zone now and then whether there is news. Datagrams are the first to be lost
/// where a way is full, and a node that none reaches must not stay behind.
pub async fn pull(node: Rc<Pointsman>) {
    loop {
        monoio::time::sleep(PULL_EVERY).await;
        let peer = {
            let roster = node.roster.borrow();
            let zone = node.live.get().zone.clone();
            let near: Vec<&Peer> = [Role::Core, node.mode.role()]
                .into_iter()
                .flat_map(|role| roster.alive(role))
                .filter(|peer| peer.zone == zone)
                .collect();
            let any = |role| roster.alive(role).next().cloned();
            match near.len() {
                0 => any(Role::Core).or_else(|| any(node.mode.role())),
                count => Some(near[node.random.borrow_mut().below(count as u64) as usize].clone()),
            }
        };
        if let Some(peer) = peer {
            fetch(&node, peer);
        }
    }
}

/// Whether a core node that a majority backs has answered so short a time ago that no order is in force unheard.
fn hears_orders(node: &Pointsman, now: Moment) -> bool {
    let longest = node.live.get().bounds.evacuation().mul_f64(SHARE_OF_EVACUATION);
    now.since(node.council.borrow().core_heard()) < longest
}

/// Turns of [`keep_time`] in a second.
const TURNS_OF_A_SECOND: u64 = 10;

/// Counts what went out to endpoints, and tells of those that may be cold.
fn note_sends(node: &Pointsman) {
    let mut tallies = node.homes.take_cold_tallies();
    tallies.push(node.platform.take_cold_tally());
    for tally in tallies {
        node.metrics.cold.add(&tally);
        if tally.cold + tally.unknown > 0 {
            log::info!("sent within a second to an endpoint that may be cold: {tally:?}");
        }
    }
}

pub async fn keep_time(node: Rc<Pointsman>) {
    let mut turns = 0u64;
    loop {
        let now = clock::now();
        node.permits.tidy(now);
        node.routes_check.step(node.fleet.borrow().routes());
        aggregation::step(&node, now);
        let is_in_touch = hears_orders(&node, now);
        node.platform.note_touch(is_in_touch, node.live.get().heartbeat, now);
        node.homes.note_touch(is_in_touch);
        let actions = {
            let mut roster = node.roster.borrow_mut();
            roster.set_occupancy(node.platform.occupancy(now));
            if turns.is_multiple_of(10) {
                let config = node.live.get();
                roster.set_seeds(
                    config.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), config.core_port())).collect(),
                );
                node.peers.tidy(now);
                node.homes.tidy(&config.node_name, now);
                node.lines.tidy(now);
            }
            roster.tick(now)
        };
        gossip(&node, actions);
        node.seat_endpoints();
        if turns.is_multiple_of(TURNS_OF_A_SECOND) {
            note_sends(&node);
        }
        if turns.is_multiple_of(100) {
            super::tenancy::tell(&node);
            log::info!("own datagrams {:?}; calls {:?}", node.datagrams.tally(), node.caller.tally());
        }
        turns += 1;
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
}
