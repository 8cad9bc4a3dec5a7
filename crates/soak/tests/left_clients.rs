//! Clients leave while their requests wait, at the node that took them or at another one. None of these requests reaches
//! an endpoint later than half a second after its client has left, and none that may run once runs twice. Review case 9.

mod support;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use soak::endpoint::events::{Event, shared_micros};
use soak::layout::{Block, CORES, Form, Grants, HOST, Layout, SAFE_PREFIX, Tier, UNSAFE_PREFIX};
use std::cell::RefCell;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use support::{configure, events, settings_with, starter, wait};
use trackbed::random::Random;

const NODES: usize = 2;
/// The only endpoint: beside the second node, where nodes stand beside endpoints.
const ENDPOINT: usize = 1;
const SETTINGS: &str = "\"is_divided\":false,\"least_work_millis\":400,";
/// The times of the layout's routes, and those of this test's: requests wait longer than their clients do.
const LAYOUT_TIMES: &str = "\"timeout_s\":2,\"target_latency_s\":1";
const TIMES: &str = "\"timeout_s\":5,\"target_latency_s\":3";
const SAFE_SHARE: f64 = 0.1;
const REQUESTS: u64 = 500;
/// About three times what the endpoint can do.
const BETWEEN: Duration = Duration::from_millis(25);
const LEAVES_AFTER: Duration = Duration::from_millis(250);
const STAYS: Duration = Duration::from_secs(6);
/// By the rule of the contract.
const REACHES_WITHIN: Duration = Duration::from_millis(500);
/// Every so many requests has a body for which a slot is asked before it is passed on.
const LONG_BODY_EVERY: u64 = 5;
const LONG_BODY_BYTES: usize = 20 << 10;
const LEAST_LEFT: usize = 100;
const LEAST_RUNS: usize = 50;

#[derive(Default)]
struct Seen {
    /// When clients closed their connections, by the ids of their requests.
    left: HashMap<String, u64>,
}

fn request_text(number: u64, is_safe: bool) -> (String, String) {
    let attempt = format!("{}-{number}", if is_safe { "safe" } else { "once" });
    let (method, prefix) = if is_safe { ("GET", SAFE_PREFIX) } else { ("POST", UNSAFE_PREFIX) };
    let body = match !is_safe && number.is_multiple_of(LONG_BODY_EVERY) {
        true => "x".repeat(LONG_BODY_BYTES),
        false => String::new(),
    };
    let head = format!(
        "{method} {prefix}{number} HTTP/1.1\r\nHost: {HOST}\r\nFerryhinge-Attempt-Id: {attempt}\r\nFerryhinge-Deadline-Ms: 5000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    (attempt, head + &body)
}

/// One client: sends a request and waits for its answer, or leaves.
async fn client(layout: Layout, number: u64, is_safe: bool, leaves: bool, seen: Rc<RefCell<Seen>>) {
    let (attempt, text) = request_text(number, is_safe);
    let Ok(mut stream) = TcpStream::connect_addr(layout.requests(number as usize % NODES)).await else { return };
    if stream.write_all(text.into_bytes()).await.0.is_err() {
        return;
    }
    let wait = if leaves { LEAVES_AFTER } else { STAYS };
    let answered = monoio::time::timeout(wait, stream.read(Vec::with_capacity(4096))).await;
    drop(stream);
    if answered.is_err() {
        seen.borrow_mut().left.insert(attempt, shared_micros());
    }
}

async fn play(form: Form, folder: &Path) -> (HashMap<String, u64>, Vec<Event>) {
    let block = Block::take().unwrap();
    let layout = Layout { block: block.number(), form, cores: CORES };
    let starter = starter(layout, folder);
    let _cores = starter.cores().unwrap();
    let _nodes = starter.nodes(NODES).unwrap();
    let configuration = layout.configuration(5).replace("\"sharded\":true", "\"sharded\":false");
    configure(layout, configuration.replace(LAYOUT_TIMES, TIMES)).await;
    let endpoint = starter.endpoint(ENDPOINT, &settings_with(layout, ENDPOINT, SETTINGS)).unwrap();
    let seen = Rc::new(RefCell::new(Seen::default()));
    let mut random = Random::seeded(45);
    let mut warm = 0;
    wait("requests that are served", || {
        monoio::spawn(client(
            layout,
            {
                warm += 1;
                warm
            },
            true,
            false,
            seen.clone(),
        ));
        events(&endpoint).iter().filter(|event| matches!(event, Event::Ran { .. })).count() > 2 * NODES
    })
    .await;
    for number in 1000..1000 + REQUESTS {
        monoio::spawn(client(layout, number, random.chance(SAFE_SHARE), random.chance(0.5), seen.clone()));
        monoio::time::sleep(BETWEEN).await;
    }
    monoio::time::sleep(STAYS).await;
    let left = std::mem::take(&mut seen.borrow_mut().left);
    (left, events(&endpoint))
}

fn what_clients_left_reaches_no_endpoint(tier: Tier) {
    let folder = tempfile::tempdir().unwrap();
    let mut played = None;
    let form = Form { tier, grants: Grants::Heartbeat };
    trackbed::kernel::run(async { played = Some(play(form, folder.path()).await) }).unwrap();
    let (left, events) = played.unwrap();
    let mut began: HashMap<&str, usize> = HashMap::new();
    let mut late = Vec::new();
    for event in &events {
        let Event::Ran { at, attempt, .. } = event else { continue };
        *began.entry(attempt).or_default() += 1;
        let after = left.get(attempt).and_then(|left| at.checked_sub(*left)).map(Duration::from_micros);
        late.extend(after.filter(|after| *after > REACHES_WITHIN).map(|after| (attempt, after)));
    }
    let twice: Vec<_> = began.iter().filter(|(attempt, runs)| attempt.starts_with("once-") && **runs > 1).collect();
    assert!(left.len() >= LEAST_LEFT && began.len() >= LEAST_RUNS, "{} left, {} ran", left.len(), began.len());
    assert!(late.is_empty(), "{} of {} that ran came late: {late:?}", late.len(), began.len());
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}

/// Guards against requests that wait in another node's queue after their clients have left (issue 45).
#[test]
fn what_clients_left_reaches_no_endpoint_beside_a_node() {
    what_clients_left_reaches_no_endpoint(Tier::Beside);
}

/// The same where slots are asked for at another gateway.
#[test]
fn what_clients_left_reaches_no_endpoint_behind_gateways() {
    what_clients_left_reaches_no_endpoint(Tier::Gateway);
}
