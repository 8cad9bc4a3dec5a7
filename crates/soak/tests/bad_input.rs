//! Calls that no core process may end by: each is answered 4xx, and the core goes on.

mod support;

use http::Method;
use soak::layout::{Block, CORES, Form, Layout};
use soak::process::Process;
use std::time::Duration;
use support::start_cores;
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

#[test]
fn no_call_ends_a_core_process() {
    let folder = tempfile::tempdir().unwrap();
    let mut statuses = Vec::new();
    let mut has_ended = Vec::new();
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form::ALL[0], cores: CORES };
        let mut cores = start_cores(layout, folder.path());
        let number = Request::json(Method::POST, "/v1/numbers/n".into(), "{}".into());
        assert_eq!(status(layout, 0, &number).await, 200);
        for request in bad_calls() {
            for core in 0..CORES {
                statuses.push(status(layout, core, &request).await);
            }
        }
        assert_eq!(status(layout, 0, &number).await, 200);
        has_ended = cores.iter_mut().map(Process::has_ended).collect();
    })
    .unwrap();
    assert!(statuses.iter().all(|status| (400..500).contains(status)), "{statuses:?}");
    assert_eq!(has_ended, [false; CORES]);
}
