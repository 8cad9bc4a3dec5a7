//! What several tests of real processes need.
#![allow(dead_code)]

use http::Method;
use soak::endpoint::events::Event;
use soak::layout::{CORES, HOST, Layout, UNSAFE_PREFIX};
use soak::process::Process;
use soak::start::Starter;
use sonic_rs::JsonValueTrait;
use std::path::Path;
use std::time::Duration;
use trackbed::http::{Client, Request};

const CALL_LIMIT: Duration = Duration::from_secs(4);
/// How long [`post_once`] waits for its answer.
pub const POST_LIMIT: Duration = Duration::from_millis(2500);
const NUMBER_LIMIT: Duration = Duration::from_secs(1);
const NUMBER_TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(100);
const MOST_TRIES: usize = 200;

/// Starts processes of this test's own executable.
pub fn starter(layout: Layout, folder: &Path) -> Starter<'_> {
    Starter { executable: Path::new(env!("CARGO_BIN_EXE_soak")), layout, folder }
}

/// An endpoint's settings with some fields besides, written as JSON with a comma behind each.
pub fn settings_with(layout: Layout, index: usize, fields: &str) -> String {
    layout.endpoint_settings(index).replacen('{', &format!("{{{fields}"), 1)
}

/// Sends the first configuration until it is acknowledged.
pub async fn configure(layout: Layout, configuration: String) {
    let mut request = Request::json(Method::PUT, "/v1/configuration".into(), configuration);
    request.headers.insert("if-match", "0".parse().unwrap());
    for attempt in 0..MOST_TRIES {
        let mut core = Client::new(layout.core(attempt % CORES));
        if core.call(&request, CALL_LIMIT).await.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        monoio::time::sleep(PAUSE).await;
    }
    panic!("the configuration was never acknowledged");
}

/// Sends a request for a key that may run once at most, and passes over what comes of it.
pub async fn post_once(layout: Layout, node: usize, number: u64, key: u16, deadline_millis: &'static str) {
    let (attempt, key) = (format!("{number:016x}"), key.to_string());
    let headers = [
        ("host", HOST),
        ("ferryhinge-attempt-id", attempt.as_str()),
        ("ferryhinge-deadline-ms", deadline_millis),
        ("ferryhinge-shard-key", key.as_str()),
    ];
    let request = Request::own(Method::POST, format!("{UNSAFE_PREFIX}submit"), &headers, "work".into());
    let _ = Client::new(layout.requests(node)).call(&request, POST_LIMIT).await;
}

/// A number, from whichever core node gives one; nothing where none does for a while.
pub async fn draw_number(layout: Layout) -> Option<u64> {
    let request = Request::json(Method::POST, "/v1/numbers/n".into(), "{}".into());
    for turn in 0..NUMBER_TRIES {
        match Client::new(layout.core(turn % CORES)).call(&request, NUMBER_LIMIT).await {
            Ok(answer) if answer.status == 200 => return number_in(&answer.body),
            _ => monoio::time::sleep(PAUSE).await,
        }
    }
    None
}

/// The number that an answer gives.
pub fn number_in(body: &[u8]) -> Option<u64> {
    let body: sonic_rs::Value = sonic_rs::from_slice(body).ok()?;
    body.pointer(["value"].iter()).and_then(|value| value.as_u64())
}

/// Waits until something is so.
pub async fn wait(wanted: &str, mut is_so: impl FnMut() -> bool) {
    for _ in 0..MOST_TRIES {
        if is_so() {
            return;
        }
        monoio::time::sleep(PAUSE).await;
    }
    panic!("waited in vain for {wanted}");
}

/// What an endpoint has seen so far.
pub fn events(endpoint: &Process) -> Vec<Event> {
    let text = std::fs::read_to_string(endpoint.output()).unwrap();
    text.lines().filter_map(|line| sonic_rs::from_str(line).ok()).collect()
}
