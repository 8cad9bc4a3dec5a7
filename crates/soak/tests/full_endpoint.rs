//! An endpoint that has all the connections that it accepts resets the rest. Its keys are moved, or a heartbeat comes late,
//! meanwhile. No key ever has two holders. Review cases 6 and 7.

mod support;

use nix::sys::signal::Signal;
use soak::endpoint::events::Event;
use soak::invariants::{self, Witness};
use soak::layout::{Block, CORES, Form, Grants, Layout, Tier};
use soak::process::Process;
use std::path::Path;
use std::time::{Duration, Instant};
use support::{POST_LIMIT, configure, events, post_once, settings_with, starter, wait};

const ENDPOINTS: usize = 2;
const NODES: usize = 2;
/// The endpoint that is full has fewer connections than slots.
const FULL: &str = "\"max_connections\":4,\"least_work_millis\":150,";
const BETWEEN: Duration = Duration::from_millis(25);
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(9);
const DEADLINE_MILLIS: &str = "1500";
/// Fewer requests show nothing.
const LEAST_RUNS: usize = 100;

/// What happens while the first endpoint is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// A second endpoint comes, and keys are to move to it.
    KeysMove,
    /// Heartbeats pause, once after the other.
    LateHeartbeats,
}

/// How the first endpoint treats connections that are too many.
const WHEN_FULL: [&str; 2] = ["refuse", "accept_and_reset"];

/// Sends requests at an even rate for a time, with keys all over.
async fn send(layout: Layout, span: Duration, sent: &mut u64) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        *sent += 1;
        let spread = sent.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
        let node = *sent as usize % NODES;
        monoio::spawn(post_once(layout, node, *sent, spread as u16, DEADLINE_MILLIS));
        monoio::time::sleep(BETWEEN).await;
    }
}

fn holds_keys(endpoint: &Process) -> bool {
    events(endpoint).iter().any(|event| matches!(event, Event::Held { .. }))
}

async fn play(form: Form, trouble: Trouble, when_full: &str, folder: &Path) -> Vec<Witness> {
    let block = Block::take().unwrap();
    let layout = Layout { block: block.number(), form, cores: CORES };
    let starter = starter(layout, folder);
    let _cores = starter.cores().unwrap();
    let _nodes = starter.nodes(NODES).unwrap();
    configure(layout, layout.configuration(5)).await;
    let fields = format!("{FULL}\"when_full\":\"{when_full}\",");
    let mut endpoints = vec![starter.endpoint(0, &settings_with(layout, 0, &fields)).unwrap()];
    if trouble == Trouble::LateHeartbeats {
        endpoints.push(starter.endpoint(1, &layout.endpoint_settings(1)).unwrap());
    }
    wait("keys for all", || endpoints.iter().all(holds_keys)).await;
    let mut sent = 0;
    send(layout, BEFORE, &mut sent).await;
    match trouble {
        Trouble::KeysMove => endpoints.push(starter.endpoint(1, &layout.endpoint_settings(1)).unwrap()),
        Trouble::LateHeartbeats => endpoints[0].signal(Signal::SIGUSR2),
    }
    send(layout, AFTER, &mut sent).await;
    monoio::time::sleep(POST_LIMIT).await;
    assert_eq!(endpoints.len(), ENDPOINTS);
    endpoints.iter().map(|endpoint| Witness { events: events(endpoint), ended: Vec::new() }).collect()
}

fn no_key_has_two_holders(form: Form, trouble: Trouble) {
    let plays = WHEN_FULL.map(|when_full| {
        std::thread::spawn(move || {
            let folder = tempfile::tempdir().unwrap();
            let mut witnesses = Vec::new();
            trackbed::kernel::run(async { witnesses = play(form, trouble, when_full, folder.path()).await }).unwrap();
            witnesses
        })
    });
    for (play, when_full) in plays.into_iter().zip(WHEN_FULL) {
        let witnesses = play.join().unwrap();
        let all = witnesses.iter().flat_map(|witness| &witness.events);
        let runs = all.filter(|event| matches!(event, Event::Ran { .. })).count();
        assert!(runs >= LEAST_RUNS, "{when_full}: only {runs} requests ran");
        let violations = invariants::violations(&witnesses);
        assert!(violations.is_empty(), "{when_full}: {violations:#?}");
    }
}

/// Guards against a refused release call that counts as the end of a process (issue 45).
#[test]
fn a_full_endpoint_beside_a_node_keeps_its_keys_until_it_lets_go() {
    no_key_has_two_holders(Form { tier: Tier::Beside, grants: Grants::Call }, Trouble::KeysMove);
}

/// The same where the primary calls the endpoint.
#[test]
fn a_full_endpoint_called_by_the_primary_keeps_its_keys_until_it_lets_go() {
    no_key_has_two_holders(Form { tier: Tier::Gateway, grants: Grants::Call }, Trouble::KeysMove);
}

/// Guards against refused looks after a late heartbeat that count as the end of a process (issue 45).
#[test]
fn a_full_endpoint_whose_heartbeat_is_late_keeps_its_keys() {
    no_key_has_two_holders(Form { tier: Tier::Beside, grants: Grants::Heartbeat }, Trouble::LateHeartbeats);
}
