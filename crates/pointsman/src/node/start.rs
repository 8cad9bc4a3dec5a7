//! From settings to a running node, and to its end.

use super::aggregation::{self, Counting};
use super::coordination::{self, Coordination};
use super::doors::{InboundDoor, OutboundDoor, ReadinessDoor};
use super::key_demand::{self, KeyDemand};
use super::{Mode, NodeError, NodeMetrics, Pointsman, RoutesCheck, learn, routes_check};
use crate::dispatch::{Balance, Budgets, Pool};
use crate::platform::{BeatsDoor, Homes, Lines, Permits, Platform, ownership};
use lineside::call::{Caller, serve_peers};
use lineside::council::{Council, CouncilTiming};
use lineside::gossip::{Peer, Roster, RosterTiming};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{FleetState, Member};
use trackbed::clock;
use trackbed::config::{Command, LocalConfig};
use trackbed::http::{Handler, Pacer, Serving, serve_listener};
use trackbed::ids::Incarnation;
use trackbed::kernel::{self, LiveConfig, Signals};
use trackbed::net::{Datagrams, bind_tcp};
use trackbed::random::Random;

struct Doors {
    outbound: Rc<Serving>,
    inbound: Rc<Serving>,
}

/// A node that runs.
pub struct Launched {
    pub node: Rc<Pointsman>,
    doors: Doors,
}

/// Starts a node on the loop that this is called on. Several may share one.
pub fn launch(path: PathBuf, config: LocalConfig) -> Result<Launched, NodeError> {
    let mode = Mode::of(&config)?;
    let now = clock::now();
    let address = SocketAddr::new(config.ip_address, config.beside_port());
    let peer = Peer {
        name: config.node_name.clone(),
        incarnation: Incarnation(1),
        role: mode.role(),
        address,
        zone: config.zone.clone(),
        region: config.region.clone(),
    };
    let seeds = config.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), config.core_port())).collect();
    let roster = Roster::new(peer, seeds, RosterTiming::default(), Random::from_system(), now);
    let live = Rc::new(LiveConfig::new(path, config.clone()));
    let life = Random::from_system().draw();
    let me = Member { node: config.node_name.clone(), life, address };
    let lines = Rc::new(match mode {
        Mode::Beside => Lines::default(),
        Mode::Gateway => Lines::among_many(),
    });
    let node = Rc::new(Pointsman {
        mode,
        live: live.clone(),
        fleet: RefCell::new(FleetState::default()),
        roster: RefCell::new(roster),
        datagrams: Datagrams::bind(address)?,
        caller: Caller::default(),
        platform: Rc::new(Platform::new(config.app_address, lines.clone())),
        homes: Homes::new(lines.clone()),
        lines,
        life,
        routes_check: RoutesCheck::default(),
        council: RefCell::new(Council::new(me, CouncilTiming::default(), now)),
        book: RefCell::default(),
        coordination: Coordination::default(),
        permits: Permits::default(),
        pacer: Pacer::default(),
        balance: RefCell::new(Balance::default()),
        budgets: RefCell::new(Budgets::new(now)),
        peers: Pool::default(),
        sizes: RefCell::default(),
        tenants: RefCell::default(),
        counting: Counting::new(&config.node_name, life, &mut Random::from_system(), now),
        random: RefCell::new(Random::from_system()),
        assured: Cell::new(false),
        leaving: Cell::new(false),
        key_demand: KeyDemand::default(),
        metrics: NodeMetrics::default(),
        fetching: Cell::new(false),
    });
    node.platform.await_fleet();
    node.platform.link.set(config.limits.link_bytes);
    node.pacer.set_link(config.limits.link_bytes);
    node.bound_answers();
    monoio::spawn(serve_peers(bind_tcp(address)?, node.clone()));
    let doors = open_doors(&node, &config)?;
    monoio::spawn(learn::listen(node.clone()));
    monoio::spawn(learn::keep_time(node.clone()));
    monoio::spawn(learn::learn_all(node.clone()));
    monoio::spawn(learn::pull(node.clone()));
    monoio::spawn(routes_check::keep(node.clone()));
    monoio::spawn(coordination::keep(node.clone()));
    match node.mode {
        Mode::Beside => drop(monoio::spawn(ownership::keep(node.clone()))),
        Mode::Gateway => drop(monoio::spawn(key_demand::keep(node.clone()))),
    }
    Ok(Launched { node, doors })
}

pub fn run(command: Command) -> Result<(), NodeError> {
    let signals = Signals::register()?;
    let mut outcome = Ok(());
    kernel::run(async {
        outcome = async {
            let Launched { node, doors } = launch(command.path, command.config)?;
            kernel::watch_platform(&signals, &node.live).await;
            leave(&node, &doors).await;
            Ok::<(), NodeError>(())
        }
        .await;
    })?;
    outcome
}

fn open<H: Handler>(address: SocketAddr, most_open: usize, handler: H) -> Result<Rc<Serving>, NodeError> {
    let serving = Rc::new(Serving::default());
    serving.most_open.set(most_open);
    monoio::spawn(serve_listener(bind_tcp(address)?, serving.clone(), Rc::new(handler)));
    Ok(serving)
}

fn open_doors(node: &Rc<Pointsman>, config: &LocalConfig) -> Result<Doors, NodeError> {
    let wanted = "an address to listen at";
    let find = |field: &str, address| LocalConfig::require(field, address, wanted);
    // 200 descriptors are kept back, and as many for lines to peers and the endpoint.
    let most = (config.limits.file_descriptors as usize).saturating_sub(500).max(64);
    open(find("listen_addresses.readiness", config.listen.readiness)?, 32, ReadinessDoor(node.clone()))?;
    let outbound = match node.mode {
        Mode::Beside => {
            let beats = find("listen_addresses.control_plane", config.listen.control_plane)?;
            open(beats, 64, BeatsDoor(node.clone()))?;
            find("listen_addresses.outbound", config.listen.outbound)?
        }
        Mode::Gateway => find("listen_addresses.frontend", config.listen.frontend)?,
    };
    // What peers pass on comes only to nodes beside an endpoint.
    let inbound = match (node.mode, config.listen.inbound) {
        (Mode::Beside, Some(inbound)) => open(inbound, most / 3, InboundDoor(node.clone()))?,
        _ => Rc::default(),
    };
    Ok(Doors { inbound, outbound: open(outbound, most / 2, OutboundDoor(node.clone()))? })
}

/// How long after the word to leave new requests are taken. The platform has had two misses by then; whoever still comes
/// is turned away while others can serve it, and what was taken has the rest of the grace period to finish.
const TAKES_NEW_FOR: Duration = Duration::from_millis(2700);

/// Readiness off, serve on, finish, leave.
async fn leave(node: &Rc<Pointsman>, doors: &Doors) {
    log::info!("leaving");
    let begun = clock::now();
    let grace = node.live.get().bounds.grace_period();
    node.leaving.set(true);
    let actions = node.roster.borrow_mut().leave();
    learn::gossip(node, actions);
    // The peers are told before the endpoint's door closes to new errands.
    monoio::time::sleep(Duration::from_millis(250).min(grace / 10)).await;
    node.seat_endpoints();
    // At a gateway the endpoints have other homes by now; what still comes for them is served.
    node.platform.closed.set(true);
    doors.outbound.leaving.set(true);
    let last_word = node.clone();
    monoio::spawn(async move { aggregation::tell(&last_word, true).await });
    // The platform asks once a second and takes two misses.
    let shortest = begun + Duration::from_millis(2600).min(grace.mul_f64(0.5));
    let longest = begun + grace.mul_f64(0.88);
    let last_taken = begun + TAKES_NEW_FOR.min(grace.mul_f64(0.45));
    loop {
        monoio::time::sleep(Duration::from_millis(50)).await;
        let now = clock::now();
        if now >= last_taken {
            doors.outbound.refuses_new.set(true);
        }
        let busy = doors.outbound.under_way.get() + doors.inbound.under_way.get();
        if now >= longest {
            answer_what_is_left(doors).await;
            return;
        }
        if now >= shortest && busy == 0 && doors.outbound.open.get() == 0 {
            return;
        }
        if now >= shortest + Duration::from_millis(600) && busy == 0 {
            return;
        }
    }
}

/// Time for final answers to leave this machine before the process does.
const LAST_ANSWERS: Duration = Duration::from_millis(60);

/// The time to end has come with requests under way: none of them ends without an answer.
async fn answer_what_is_left(doors: &Doors) {
    log::warn!(
        "{} requests are under way at the end: their outcome is told as not known",
        doors.outbound.under_way.get()
    );
    doors.inbound.end();
    doors.outbound.end();
    monoio::time::sleep(LAST_ANSWERS).await;
}
