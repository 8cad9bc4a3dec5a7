//! An endpoint that is told its keys by calls stands still for longer than its hold and goes on. Grants that were made to
//! it meanwhile, and broken off, are still in its sockets. Review case 2.

mod support;

use nix::sys::signal::Signal;
use soak::endpoint::events::{Event, shared_micros};
use soak::invariants::{self, Witness};
use soak::layout::{Block, CORES, Form, Grants, Layout, Tier};
use soak::process::Process;
use std::path::Path;
use std::time::{Duration, Instant};
use support::{POST_LIMIT, configure, events, post_once, starter, wait};

const ENDPOINTS: usize = 8;
/// Endpoints that stay: the others leave in order before the freeze, so that these hold several ranges each.
const STAY: usize = 3;
const FROZEN: usize = 1;
const BEFORE: Duration = Duration::from_secs(4);
const FREEZE: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(5);
const BETWEEN: Duration = Duration::from_millis(10);
const PAUSE: Duration = Duration::from_millis(100);
const MOST_TRIES: usize = 200;
/// Deadlines of requests for keys of the endpoint that stands still, and of all others, in milliseconds.
const SHORT_DEADLINE: &str = "150";
const LONG_DEADLINE: &str = "2000";
/// Fewer requests show nothing.
const LEAST_RUNS: usize = 200;

struct Fleet {
    layout: Layout,
    _cores: Vec<Process>,
    _nodes: Vec<Process>,
    endpoints: Vec<Process>,
}

impl Fleet {
    async fn start(layout: Layout, folder: &Path) -> Self {
        let starter = starter(layout, folder);
        let (cores, nodes) = (starter.cores().unwrap(), starter.nodes(ENDPOINTS).unwrap());
        configure(layout, layout.configuration(5)).await;
        let fleet = Self { layout, _cores: cores, _nodes: nodes, endpoints: starter.endpoints(ENDPOINTS).unwrap() };
        wait("keys for all", || (0..ENDPOINTS).all(|index| !fleet.held_now(index).is_empty())).await;
        fleet
    }

    /// Has those that don't stay leave in order, one after the other.
    async fn shrink(&mut self) {
        for leaving in STAY..ENDPOINTS {
            self.endpoints[leaving].signal(Signal::SIGTERM);
            for _ in 0..MOST_TRIES {
                if self.endpoints[leaving].has_ended() {
                    break;
                }
                monoio::time::sleep(PAUSE).await;
            }
        }
    }

    fn events(&self, index: usize) -> Vec<Event> {
        events(&self.endpoints[index])
    }

    /// The ranges that an endpoint holds now, in the order of their keys.
    fn held_now(&self, index: usize) -> Vec<(u16, u16)> {
        let now = shared_micros();
        let is_held = |event: Event| match event {
            Event::Held { first, last, until, .. } if until > now => Some((first, last)),
            _ => None,
        };
        let mut ranges: Vec<(u16, u16)> = self.events(index).into_iter().filter_map(is_held).collect();
        ranges.sort();
        ranges.dedup();
        ranges
    }
}

/// Sends requests at an even rate for a time: every second one for some keys of the endpoint that stands still.
async fn send(layout: Layout, busy: &[(u16, u16)], span: Duration, sent: &mut u64) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        *sent += 1;
        let spread = sent.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16;
        let (first, last) = busy[spread as usize % busy.len()];
        let inside = first + (spread % (last as u64 - first as u64 + 1)) as u16;
        let (key, deadline) = match sent.is_multiple_of(2) {
            true => (inside, SHORT_DEADLINE),
            false => (spread as u16, LONG_DEADLINE),
        };
        let node = *sent as usize % STAY;
        monoio::spawn(post_once(layout, node, *sent, key, deadline));
        monoio::time::sleep(BETWEEN).await;
    }
}

/// Guards against grants that an endpoint takes long after their calls were broken off, beside the keys' new holder.
#[test]
fn an_endpoint_that_stood_still_holds_no_keys_beside_their_new_holder() {
    let folder = tempfile::tempdir().unwrap();
    let mut witnesses = Vec::new();
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let form = Form { tier: Tier::Beside, grants: Grants::Call };
        let mut fleet = Fleet::start(Layout { block: block.number(), form, cores: CORES }, folder.path()).await;
        fleet.shrink().await;
        monoio::time::sleep(BEFORE).await;
        let ranges = fleet.held_now(FROZEN);
        let busy = &ranges[ranges.len().min(4) - 1..];
        let mut sent = 0;
        send(fleet.layout, busy, BEFORE, &mut sent).await;
        fleet.endpoints[FROZEN].signal(Signal::SIGSTOP);
        send(fleet.layout, busy, FREEZE, &mut sent).await;
        fleet.endpoints[FROZEN].signal(Signal::SIGCONT);
        send(fleet.layout, busy, AFTER, &mut sent).await;
        monoio::time::sleep(POST_LIMIT).await;
        witnesses = (0..ENDPOINTS).map(|index| Witness { events: fleet.events(index), ended: Vec::new() }).collect();
    })
    .unwrap();
    let events = witnesses.iter().flat_map(|witness| &witness.events);
    let runs = events.filter(|event| matches!(event, Event::Ran { .. })).count();
    assert!(runs >= LEAST_RUNS, "only {runs} requests ran");
    let violations = invariants::violations(&witnesses);
    assert!(violations.is_empty(), "{violations:#?}");
}
