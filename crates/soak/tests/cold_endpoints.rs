//! Endpoints that start during traffic, or turn cold in an evacuation, bear little for a while and end where they get more.
//! Whatever restarts beside them, no cold one gets more than the contract allows, or more than it bears.

mod support;

use http::Method;
use nix::sys::signal::Signal;
use soak::endpoint::events::Event;
use soak::invariants::{ColdSecond, Witness, cold_seconds, fell_over};
use soak::layout::{Block, COLD_BOUND, CORES, Form, Grants, HOST, Layout, SAFE_PREFIX, Tier, empty_folder};
use soak::process::Process;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use support::{configure, events, starter, wait};
use trackbed::http::{Client, Request};

const ENDPOINTS: usize = 2;
const NODES: usize = 2;
/// The endpoint that is troubled, and the node beside it where there is one.
const TROUBLED: usize = 1;
/// Of the bound, and rounded down.
const AIM: usize = COLD_BOUND * 9 / 10;
const UNDIVIDED: &str = "\"is_divided\":false,";
const BETWEEN: Duration = Duration::from_millis(7);
const DEADLINE: Duration = Duration::from_millis(1000);
const ROUNDS: usize = 3;
/// In each round the node is killed so long after the endpoint's start.
const NODE_KILLED_AFTER: Duration = Duration::from_millis(1100);
const NODE_DOWN: Duration = Duration::from_millis(200);
const ROUND_ENDS_AFTER: Duration = Duration::from_millis(2900);
/// Longer than a cold time, so that it is warm again before the next.
const TURNS_COLD_EVERY: Duration = Duration::from_millis(4300);
/// An order is in force everywhere by then.
const EVACUATED_WITHIN: Duration = Duration::from_secs(5);
const COLD_BEFORE_THE_END: Duration = Duration::from_millis(1500);
/// The core node whose disk is lost.
const LOST_DISK: usize = 0;
const LEAST_SERVED: usize = 300;
/// Fewer would show that a cold endpoint is left alone, and not that it gets what it bears.
const LEAST_IN_A_SECOND: usize = 3;

/// Clients that send at an even rate to all nodes in turn, until this is dropped.
struct Traffic {
    stopped: Rc<Cell<bool>>,
    served: Rc<Cell<usize>>,
}

impl Traffic {
    fn start(layout: Layout) -> Self {
        let traffic = Self { stopped: Rc::default(), served: Rc::default() };
        let (stopped, served) = (traffic.stopped.clone(), traffic.served.clone());
        monoio::spawn(async move {
            for number in 0u64.. {
                if stopped.get() {
                    return;
                }
                monoio::spawn(request(layout, number, served.clone()));
                monoio::time::sleep(BETWEEN).await;
            }
        });
        traffic
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stopped.set(true);
    }
}

async fn request(layout: Layout, number: u64, served: Rc<Cell<usize>>) {
    let attempt = format!("{number:016x}");
    let headers = [("host", HOST), ("ferryhinge-attempt-id", attempt.as_str()), ("ferryhinge-deadline-ms", "1000")];
    let request = Request::own(Method::GET, format!("{SAFE_PREFIX}{number}"), &headers, Default::default());
    let node = layout.requests(number as usize % NODES);
    if Client::new(node).call(&request, DEADLINE).await.is_ok_and(|answer| answer.status == 200) {
        served.set(served.get() + 1);
    }
}

fn settings(layout: Layout, index: usize, starts_cold: bool) -> String {
    layout.cold_endpoint_settings(index, starts_cold).replacen('{', &format!("{{{UNDIVIDED}"), 1)
}

struct Fleet {
    layout: Layout,
    _block: Block,
    cores: Vec<Process>,
    nodes: Vec<Process>,
    endpoints: Vec<Process>,
    traffic: Traffic,
}

impl Fleet {
    /// All processes, with warm endpoints that serve what clients send.
    async fn start(tier: Tier, folder: &Path) -> Self {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form { tier, grants: Grants::Heartbeat }, cores: CORES };
        let starter = starter(layout, folder);
        let cores = starter.cores().unwrap();
        let nodes = starter.nodes(NODES).unwrap();
        configure(layout, layout.configuration(5).replace("\"sharded\":true", "\"sharded\":false")).await;
        let start = |index| starter.endpoint(index, &settings(layout, index, false)).unwrap();
        let endpoints: Vec<Process> = (0..ENDPOINTS).map(start).collect();
        let traffic = Traffic::start(layout);
        let served = traffic.served.clone();
        wait("requests that are served", || served.get() > LEAST_SERVED).await;
        Self { layout, _block: block, cores, nodes, endpoints, traffic }
    }

    fn witnesses(&self) -> Vec<Witness> {
        self.endpoints.iter().map(|endpoint| Witness { events: events(endpoint), ended: Vec::new() }).collect()
    }

    fn processes(&mut self) -> impl Iterator<Item = &mut Process> {
        self.cores.iter_mut().chain(&mut self.nodes).chain(&mut self.endpoints)
    }

    /// All processes end at once, and start again with as many disks empty as the settings allow to be lost.
    fn lose_power_and_a_disk(&mut self, folder: &Path) {
        self.processes().for_each(|process| process.signal(Signal::SIGKILL));
        self.processes().for_each(Process::kill);
        let data = starter(self.layout, folder).data_folder(LOST_DISK);
        empty_folder(&data).unwrap();
        for (index, core) in self.cores.iter().enumerate() {
            let data = starter(self.layout, folder).data_folder(index);
            core.write_settings(&self.layout.later_core_settings(index, &data)).unwrap();
        }
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            endpoint.write_settings(&settings(self.layout, index, true)).unwrap();
        }
        self.processes().for_each(|process| process.restart().unwrap());
    }

    /// Sends an order about the troubled endpoint's zone until it is acknowledged.
    async fn order(&self, method: Method) {
        let zone = format!("zone-{TROUBLED}");
        let request = Request::own(method, format!("/v1/evacuations/{zone}"), &[], Default::default());
        for attempt in 0..CORES * 2 {
            let mut core = Client::new(self.layout.core(attempt % CORES));
            match core.call(&request, DEADLINE * 2).await {
                Ok(answer) if answer.is_success() => return,
                Ok(answer) => assert!(answer.status >= 500, "an evacuation is answered {}", answer.status),
                Err(_) => {}
            }
        }
        panic!("an evacuation was never acknowledged");
    }
}

fn check(witnesses: &[Witness], served: usize, least_colds: usize) {
    let seconds: Vec<ColdSecond> = cold_seconds(witnesses);
    println!("busiest cold seconds, bound {COLD_BOUND}: {seconds:?}; {served} served");
    assert!(seconds.len() >= least_colds, "only {} lives were cold", seconds.len());
    assert!(served >= LEAST_SERVED, "only {served} requests were served");
    assert_eq!(fell_over(witnesses), 0, "{seconds:?}");
    assert!(seconds.iter().all(|second| second.arrivals <= AIM), "the bound is {COLD_BOUND}: {seconds:?}");
    assert!(seconds.iter().any(|second| second.arrivals >= LEAST_IN_A_SECOND), "{seconds:?}");
}

/// Requests that an endpoint was sent, over all its lives.
fn requests_at(endpoint: &Process) -> usize {
    let is_request =
        |event: &Event| matches!(event, Event::Ran { .. } | Event::Refused { .. } | Event::FellOver { .. });
    events(endpoint).iter().filter(|event| is_request(event)).count()
}

/// What happens to the troubled endpoint.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It starts anew again and again, and its node, or a gateway, soon after it.
    Restarts,
    /// Its zone is evacuated, it turns cold, and the zone is taken back.
    Evacuation,
    /// It turns cold again and again while it serves.
    TurnsCold,
    /// Its zone is evacuated, all power and a disk are lost, and the zone is taken back.
    LossOfPower,
}

impl Fleet {
    async fn restarts(&mut self) {
        self.endpoints[TROUBLED].write_settings(&settings(self.layout, TROUBLED, true)).unwrap();
        for _ in 0..ROUNDS {
            self.endpoints[TROUBLED].kill();
            self.endpoints[TROUBLED].restart().unwrap();
            monoio::time::sleep(NODE_KILLED_AFTER).await;
            self.nodes[TROUBLED].kill();
            monoio::time::sleep(NODE_DOWN).await;
            self.nodes[TROUBLED].restart().unwrap();
            monoio::time::sleep(ROUND_ENDS_AFTER).await;
        }
    }

    async fn evacuation(&mut self) {
        self.order(Method::POST).await;
        monoio::time::sleep(EVACUATED_WITHIN).await;
        let by_then = requests_at(&self.endpoints[TROUBLED]);
        self.endpoints[TROUBLED].signal(Signal::SIGHUP);
        monoio::time::sleep(COLD_BEFORE_THE_END).await;
        assert_eq!(requests_at(&self.endpoints[TROUBLED]), by_then, "its zone is evacuated");
        self.order(Method::DELETE).await;
        monoio::time::sleep(ROUND_ENDS_AFTER).await;
    }

    async fn turns_cold(&mut self) {
        for _ in 0..ROUNDS {
            self.endpoints[TROUBLED].signal(Signal::SIGHUP);
            monoio::time::sleep(TURNS_COLD_EVERY).await;
        }
    }

    async fn loss_of_power(&mut self, folder: &Path) {
        self.order(Method::POST).await;
        self.lose_power_and_a_disk(folder);
        let (served, before) = (self.traffic.served.clone(), requests_at(&self.endpoints[TROUBLED]));
        let by_then = served.get();
        wait("requests that are served again", || served.get() > by_then + LEAST_SERVED).await;
        let reached = requests_at(&self.endpoints[TROUBLED]) - before;
        assert_eq!(reached, 0, "its zone is evacuated, as was acknowledged before the loss");
        self.order(Method::DELETE).await;
        let troubled = &self.endpoints[TROUBLED];
        wait("requests to the zone that is taken back", || requests_at(troubled) > before + LEAST_IN_A_SECOND).await;
    }
}

async fn play(trouble: Trouble, tier: Tier, folder: &Path) -> (Vec<Witness>, usize) {
    let mut fleet = Fleet::start(tier, folder).await;
    let before = fleet.traffic.served.get();
    match trouble {
        Trouble::Restarts => fleet.restarts().await,
        Trouble::Evacuation => fleet.evacuation().await,
        Trouble::TurnsCold => fleet.turns_cold().await,
        Trouble::LossOfPower => fleet.loss_of_power(folder).await,
    }
    (fleet.witnesses(), fleet.traffic.served.get() - before)
}

fn no_cold_endpoint_is_flooded(trouble: Trouble, tier: Tier) {
    let folder = tempfile::tempdir().unwrap();
    let mut played = None;
    trackbed::kernel::run(async { played = Some(play(trouble, tier, folder.path()).await) }).unwrap();
    let (witnesses, served) = played.unwrap();
    let least_colds = match trouble {
        Trouble::Restarts => ROUNDS,
        Trouble::LossOfPower => ENDPOINTS,
        Trouble::Evacuation | Trouble::TurnsCold => 1,
    };
    check(&witnesses, served, least_colds);
}

/// Guards against cold endpoints that get what their slots carry (issue 50).
#[test]
fn a_cold_endpoint_beside_a_node_that_restarts_is_not_flooded() {
    no_cold_endpoint_is_flooded(Trouble::Restarts, Tier::Beside);
}

/// The same where several gateways send to it.
#[test]
fn a_cold_endpoint_behind_gateways_that_restart_is_not_flooded() {
    no_cold_endpoint_is_flooded(Trouble::Restarts, Tier::Gateway);
}

/// Guards against a zone that is taken back cold at full weight (issue 50).
#[test]
fn an_evacuated_zone_beside_nodes_gets_nothing_and_comes_back_slowly() {
    no_cold_endpoint_is_flooded(Trouble::Evacuation, Tier::Beside);
}

/// The same behind gateways.
#[test]
fn an_evacuated_zone_behind_gateways_gets_nothing_and_comes_back_slowly() {
    no_cold_endpoint_is_flooded(Trouble::Evacuation, Tier::Gateway);
}

/// Guards against a warm endpoint that turns cold between two heartbeats (issue 50).
#[test]
fn an_endpoint_that_turns_cold_while_it_serves_beside_a_node_is_not_flooded() {
    no_cold_endpoint_is_flooded(Trouble::TurnsCold, Tier::Beside);
}

/// The same behind gateways.
#[test]
fn an_endpoint_that_turns_cold_while_it_serves_behind_gateways_is_not_flooded() {
    no_cold_endpoint_is_flooded(Trouble::TurnsCold, Tier::Gateway);
}

/// Guards against an acknowledged evacuation that ends with a disk, or with the nodes that knew of it.
#[test]
fn an_evacuation_outlives_a_lost_disk_and_a_loss_of_power_beside_nodes() {
    no_cold_endpoint_is_flooded(Trouble::LossOfPower, Tier::Beside);
}

/// The same behind gateways.
#[test]
fn an_evacuation_outlives_a_lost_disk_and_a_loss_of_power_behind_gateways() {
    no_cold_endpoint_is_flooded(Trouble::LossOfPower, Tier::Gateway);
}
