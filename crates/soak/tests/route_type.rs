//! A route stops being repeatable while a node stands still. What begins at that node afterwards runs once at most.

mod support;

use http::Method;
use nix::sys::signal::Signal;
use soak::endpoint::events::Event;
use soak::layout::{Block, CORES, ENDPOINTS, Form, HOST, Layout, NODES, SERVICE};
use soak::process::Process;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::starter;
use trackbed::http::{Client, Request};

const FROZEN: usize = 0;
const FREEZE: Duration = Duration::from_millis(2500);
const AFTER_WAKING: Duration = Duration::from_secs(2);
const BETWEEN: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(100);
const MOST_TRIES: usize = 100;

fn route(kind: &str) -> String {
    format!(
        r#""grades":{{"hostname":"{HOST}","path_prefix":"/grades/","route_type":"{kind}","timeout_s":3,"target_latency_s":1,"priority":1,"service_name":"{SERVICE}","max_attempts":2}}"#
    )
}

/// All processes of the run.
struct Fleet {
    layout: Layout,
    _cores: Vec<Process>,
    nodes: Vec<Process>,
    endpoints: Vec<Process>,
}

impl Fleet {
    fn start(layout: Layout, folder: &Path) -> Self {
        let starter = starter(layout, folder);
        let endpoint = |index| {
            let settings = layout.endpoint_settings(index).replacen('{', "{\"is_divided\":false,", 1);
            starter.endpoint(index, &settings).unwrap()
        };
        Self {
            layout,
            _cores: starter.cores().unwrap(),
            nodes: starter.nodes(NODES).unwrap(),
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
        }
    }

    /// Sends a change of the configuration until it is acknowledged.
    async fn configure(&self, method: Method, base: &str, body: &str) {
        let mut request = Request::json(method, "/v1/configuration".into(), body.to_owned());
        request.headers.insert("if-match", base.parse().unwrap());
        for attempt in 0..MOST_TRIES {
            let mut core = Client::new(self.layout.core(attempt % CORES));
            if core.call(&request, LIMIT).await.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            monoio::time::sleep(PAUSE).await;
        }
        panic!("the configuration on top of {base} was never acknowledged");
    }

    async fn wait_until_served(&self) {
        for attempt in 0..MOST_TRIES {
            let node = attempt % NODES;
            let answer = post(self.layout, node, format!("warm-{attempt}")).await;
            if answer == Some(200) && attempt >= NODES * 4 {
                return;
            }
            monoio::time::sleep(PAUSE).await;
        }
        panic!("requests are not served");
    }

    /// At how many places each request began.
    fn began(&self) -> BTreeMap<String, usize> {
        let mut began = BTreeMap::new();
        for endpoint in &self.endpoints {
            let text = std::fs::read_to_string(endpoint.output()).unwrap();
            for line in text.lines() {
                if let Ok(Event::Ran { attempt, .. }) = sonic_rs::from_str(line) {
                    *began.entry(attempt).or_insert(0) += 1;
                }
            }
        }
        began
    }
}

async fn post(layout: Layout, node: usize, attempt: String) -> Option<u16> {
    let headers = [("host", HOST), ("ferryhinge-attempt-id", attempt.as_str()), ("ferryhinge-deadline-ms", "3000")];
    let request = Request::own(Method::POST, "/grades/post".into(), &headers, "a mark".into());
    Client::new(layout.requests(node)).call(&request, LIMIT).await.ok().map(|answer| answer.status)
}

/// Sends requests to a node at an even rate for a time; gives their ids.
async fn send(layout: Layout, node: usize, span: Duration, ids: &Rc<RefCell<BTreeSet<String>>>) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        let attempt = format!("once-{}", ids.borrow().len());
        ids.borrow_mut().insert(attempt.clone());
        monoio::spawn(post(layout, node, attempt));
        monoio::time::sleep(BETWEEN).await;
    }
}

#[test]
fn a_request_that_is_planned_anew_as_not_repeatable_runs_once_at_most() {
    let folder = tempfile::tempdir().unwrap();
    let sent = Rc::new(RefCell::new(BTreeSet::new()));
    let mut began = BTreeMap::new();
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form::ALL[0], cores: CORES };
        let fleet = Fleet::start(layout, folder.path());
        let service = format!("\"{SERVICE}\":{{\"health_check_path\":\"/health\",\"max_connections\":100}}");
        let first = format!("{{\"version\":\"r5\",\"routes\":{{{}}},\"services\":{{{service}}}}}", route("idempotent"));
        fleet.configure(Method::PUT, "0", &first).await;
        fleet.wait_until_served().await;
        fleet.nodes[FROZEN].signal(Signal::SIGSTOP);
        let next = format!(
            "{{\"version\":\"r7\",\"upserts\":{{\"routes\":{{{}}}}},\"removals\":{{}}}}",
            route("non_idempotent")
        );
        fleet.configure(Method::PATCH, "r5", &next).await;
        monoio::time::sleep(PAUSE * 5).await;
        send(layout, FROZEN, FREEZE, &sent).await;
        fleet.endpoints.iter().for_each(|endpoint| endpoint.signal(Signal::SIGUSR1));
        fleet.nodes[FROZEN].signal(Signal::SIGCONT);
        send(layout, FROZEN, AFTER_WAKING, &sent).await;
        monoio::time::sleep(LIMIT).await;
        began = fleet.began();
    })
    .unwrap();
    let ran = sent.borrow().iter().filter(|attempt| began.contains_key(*attempt)).count();
    let twice: Vec<&String> = began
        .iter()
        .filter(|(attempt, times)| attempt.starts_with("once-") && **times > 1)
        .map(|(attempt, _)| attempt)
        .collect();
    assert!(ran >= 50, "only {ran} ran");
    assert!(twice.is_empty(), "of {ran} that ran, {} ran more than once: {twice:?}", twice.len());
}
