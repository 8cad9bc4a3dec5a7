//! Calls that no core process may end by: each is answered 4xx, and the core goes on.

mod support;

use http::Method;
use soak::layout::{Block, CORES, Form, Layout};
use soak::process::Process;
use std::time::Duration;
use support::starter;
use trackbed::http::{Client, Request};

const LIMIT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(100);
const MOST_TRIES: usize = 50;
const LEVELS: usize = 100_000;

fn bad_calls() -> Vec<Request> {
    let lists = "[".repeat(LEVELS);
    let tables = "{\"a\":".repeat(LEVELS);
    let mut configuration =
        Request::json(Method::PUT, "/v1/configuration".into(), format!("{{\"version\":\"r1\",\"routes\":{lists}"));
    configuration.headers.insert("if-match", "0".parse().unwrap());
    let mut change =
        Request::json(Method::PATCH, "/v1/configuration".into(), format!("{{\"version\":\"r1\",\"upserts\":{tables}"));
    change.headers.insert("if-match", "0".parse().unwrap());
    vec![
        configuration,
        change,
        Request::json(Method::POST, "/v1/locks/l".into(), format!("{{\"holder\":{lists}")),
        Request::json(Method::PUT, "/v1/cells/g.k".into(), format!("{{\"value\":{tables}")),
        Request::json(Method::PUT, "/v1/instances/i-1".into(), lists),
        Request::json(Method::POST, "/v1/locks/l".into(), "{\"holder\":\"\u{1}\",\"hold_s\":1e308}".into()),
        Request::json(Method::POST, "/v1/locks/l".into(), "{\"holder\":\"a\",\"hold_s\":-1}".into()),
    ]
}

/// The status that a core node in touch with a primary gives.
async fn status(layout: Layout, core: usize, request: &Request) -> u16 {
    for _ in 0..MOST_TRIES {
        match Client::new(layout.core(core)).call(request, LIMIT).await {
            Ok(answer) if answer.status < 500 => return answer.status,
            _ => monoio::time::sleep(PAUSE).await,
        }
    }
    panic!("no clear answer to {} {}", request.method, request.target);
}

/// What core processes made of some calls, each made at every one of them.
struct Outcome {
    statuses: Vec<u16>,
    has_ended: Vec<bool>,
}

fn make(calls: Vec<Request>) -> Outcome {
    let folder = tempfile::tempdir().unwrap();
    let mut outcome = Outcome { statuses: Vec::new(), has_ended: Vec::new() };
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form::ALL[0], cores: CORES };
        let mut cores = starter(layout, folder.path()).cores().unwrap();
        let number = Request::json(Method::POST, "/v1/numbers/n".into(), "{}".into());
        assert_eq!(status(layout, 0, &number).await, 200);
        for request in calls {
            for core in 0..CORES {
                outcome.statuses.push(status(layout, core, &request).await);
            }
        }
        assert_eq!(status(layout, 0, &number).await, 200);
        outcome.has_ended = cores.iter_mut().map(Process::has_ended).collect();
    })
    .unwrap();
    outcome
}

#[test]
fn no_call_ends_a_core_process() {
    let outcome = make(bad_calls());
    assert!(outcome.statuses.iter().all(|status| (400..500).contains(status)), "{:?}", outcome.statuses);
    assert_eq!(outcome.has_ended, [false; CORES]);
}

/// Guards against the stack overflow of every primary that read one configuration of 100,000 nested lists (issue 38).
#[test]
fn a_configuration_nested_too_deep_ends_no_primary() {
    let routes = "[".repeat(LEVELS);
    let body = format!("{{\"version\":\"r1\",\"routes\":{routes}");
    let mut configuration = Request::json(Method::PUT, "/v1/configuration".into(), body);
    configuration.headers.insert("if-match", "0".parse().unwrap());
    let outcome = make(vec![configuration]);
    assert_eq!((outcome.statuses, outcome.has_ended), (vec![400; CORES], vec![false; CORES]));
}
