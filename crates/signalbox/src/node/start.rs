//! From settings and disk to a running node.

use super::aggregation::{self, Aggregation};
use super::calls::OpenCalls;
use super::configuration_turns::ConfigurationTurns;
use super::endpoint_keys::{self, EndpointKeys};
use super::fitness::Fitness;
use super::majority::Majority;
use super::metrics::NodeMetrics;
use super::stall::StallWatch;
use super::{NodeError, Signalbox, beats, councils, disk, forecast, inspection, listeners, peers, shards, turn};
use crate::ledger::Ledger;
use crate::replica::Replica;
use futures_channel::mpsc::unbounded;
use interlocking::storage::{FileDisk, Recovered, Storage, StorageError};
use interlocking::zab::{Image, Timing, Voter, Zab};
use lineside::call::{Caller, Complaints, serve_peers};
use lineside::gossip::{Peer, Role, Roster, RosterTiming};
use lineside::inspection::{Inspector, InspectorTiming};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock;
use trackbed::config::{Command, LocalConfig};
use trackbed::ids::{Incarnation, MemberId};
use trackbed::kernel::{self, LiveConfig, Signals};
use trackbed::net::{Datagrams, bind_tcp};
use trackbed::random::{Random, stable_hash};

/// Longer than a process may take to leave: what the platform needs to end it.
const PREDECESSOR_MARGIN: Duration = Duration::from_secs(2);
const PREDECESSOR_PAUSE: Duration = Duration::from_millis(20);

/// The core address beside a control-plane address, on the same machine.
pub(super) fn core_address(config: &LocalConfig, control_plane: SocketAddr) -> SocketAddr {
    SocketAddr::new(control_plane.ip(), config.core_port())
}

/// Founders are the first seeds; every founder works out the same ids for all of them.
fn founder(config: &LocalConfig, control_plane: SocketAddr) -> Voter {
    let id = MemberId(stable_hash(&format!("founder {control_plane}")) | 1);
    Voter { id, address: core_address(config, control_plane) }
}

/// What a start makes of an empty disk. Only the first start of the whole system founds anything:
/// a lost disk has lost its promises, and learns before it votes.
fn first_image(config: &LocalConfig, random: &mut Random) -> Image {
    let own = config.listen.control_plane;
    if config.initial_start && own.is_some_and(|own| config.seeds.contains(&own)) {
        let mut voters: Vec<Voter> = config.seeds.iter().map(|seed| founder(config, *seed)).collect();
        voters.sort_by_key(|voter| voter.id);
        voters.dedup();
        let member = own.map(|own| founder(config, own).id).unwrap_or_default();
        return Image::empty(member, voters);
    }
    Image::empty(MemberId(random.draw() | 1), Vec::new())
}

/// Opens the data folder. A process that is still leaving may have it for a while.
fn open_disk(folder: &Path, config: &LocalConfig, signals: &Signals) -> Result<FileDisk, StorageError> {
    let given_up = clock::now() + config.bounds.grace_period() + PREDECESSOR_MARGIN;
    let mut has_told = false;
    loop {
        match FileDisk::open(folder) {
            Err(StorageError::InUse) if clock::now() < given_up && !signals.terminated() => {}
            outcome => return outcome,
        }
        if !has_told {
            log::warn!("another process uses the data folder: this one waits for its end");
            has_told = true;
        }
        std::thread::sleep(PREDECESSOR_PAUSE);
    }
}

pub fn run(command: Command) -> Result<(), NodeError> {
    let signals = Signals::register()?;
    let config = command.config.clone();
    let data = LocalConfig::require("data_directory", config.data_directory.clone(), "a folder for the state")?;
    let control_plane =
        LocalConfig::require("listen_addresses.control_plane", config.listen.control_plane, "an address to serve at")?;
    let mut random = Random::from_system();
    let (mut storage, recovered) = Storage::recover(open_disk(&data, &config, &signals)?)?;
    let image = match recovered {
        Recovered::Whole(image) => *image,
        Recovered::Nothing => {
            let image = first_image(&config, &mut random);
            storage.write_image(&image)?;
            image
        }
        Recovered::Damaged { what } => {
            log::error!("the disk has lost something acknowledged ({what}): this node goes on as a new member");
            let image = Image::empty(MemberId(random.draw() | 1), Vec::new());
            storage.write_image(&image)?;
            image
        }
    };
    log::info!("member {} starts at epoch {}, {} records", image.member, image.current, image.entries.len());
    let now = clock::now();
    let address = SocketAddr::new(config.ip_address, config.core_port());
    let committed = Ledger::decode(&image.snapshot.state, config.bounds.history(), now)?;
    let me = Voter { id: image.member, address };
    let zab = Zab::start(image, me, Timing::default(), random.draw(), now);
    let replica = Replica::new(zab, committed, config.bounds.history());
    let metrics = NodeMetrics::new(replica.lock_metrics());
    let peer = Peer {
        name: config.node_name.clone(),
        incarnation: Incarnation(1),
        role: Role::Core,
        address,
        zone: config.zone.clone(),
        region: config.region.clone(),
    };
    let seeds = config.seeds.iter().map(|seed| core_address(&config, *seed)).collect();
    let roster = Roster::new(peer, seeds, RosterTiming::default(), random, now);
    let timing = InspectorTiming {
        apply: config.bounds.config_apply(),
        fresh: Duration::from_secs(7),
        memory: Duration::from_secs(60),
    };
    let (done, completions) = unbounded();
    let disk = disk::start(storage, done)?;
    let mut outcome = Ok(());
    kernel::run(async {
        outcome = async {
            let live = Rc::new(LiveConfig::new(command.path, config));
            let node = Rc::new(Signalbox {
                live: live.clone(),
                zab: replica.zab().clone(),
                committed: replica.committed().clone(),
                proposed: replica.proposed().clone(),
                replica: RefCell::new(replica),
                calls: OpenCalls::default(),
                disk,
                configuration_turns: ConfigurationTurns::default(),
                caller: Caller::default(),
                replication: Caller::default(),
                roster: RefCell::new(roster),
                datagrams: Datagrams::bind(address)?,
                heartbeats: RefCell::default(),
                own_address: address,
                inspector: RefCell::new(Inspector::new(timing)),
                meant: RefCell::default(),
                reports: RefCell::default(),
                aggregation: Aggregation::new(&mut Random::from_system()),
                forecaster: RefCell::default(),
                to_probe_over_stream: RefCell::default(),
                next_members: Cell::new(now),
                leaving: Cell::new(false),
                majority: RefCell::new(Majority::new(now)),
                stall: RefCell::new(StallWatch::new(now)),
                complaints: Complaints::default(),
                sharding: shards::Sharding::default(),
                metrics,
                fitness: Fitness::default(),
                endpoint_keys: EndpointKeys::default(),
                assurance: Cell::new(None),
            });
            monoio::spawn(serve_peers(bind_tcp(address)?, node.clone()));
            let serving = listeners::open(control_plane, &node)?;
            monoio::spawn(turn::watch_disk(node.clone(), completions));
            monoio::spawn(turn::keep_time(node.clone()));
            monoio::spawn(peers::listen(node.clone()));
            monoio::spawn(beats::keep_watch(node.clone()));
            inspection::adopt(&node);
            monoio::spawn(inspection::keep(node.clone()));
            monoio::spawn(councils::keep(node.clone()));
            monoio::spawn(aggregation::keep(node.clone()));
            monoio::spawn(forecast::keep(node.clone()));
            monoio::spawn(shards::keep(node.clone()));
            monoio::spawn(endpoint_keys::keep(node.clone()));
            kernel::watch_platform(&signals, &live).await;
            turn::leave(&node, &serving).await;
            Ok::<(), NodeError>(())
        }
        .await;
    })?;
    outcome
}
