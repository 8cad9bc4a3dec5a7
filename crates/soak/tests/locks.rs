//! Locks of real core processes under freezes, kills, orderly ends and restarts that overlap: never two holders.

mod support;

use http::Method;
use nix::sys::signal::Signal;
use soak::coordination::run::{CoordinationPlay, run};
use soak::coordination::trouble::Mix;
use soak::layout::{Block, CORES, Form, Layout};
use soak::process::Process;
use soak::report::RunReport;
use sonic_rs::JsonValueTrait;
use std::path::PathBuf;
use std::time::Duration;
use support::starter;
use trackbed::http::{Client, Request};

const PATIENCE: Duration = Duration::from_secs(1);
const HOLD_SECONDS: u64 = 6;
const MOST_TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(100);

/// The status and fence of one call about a lock.
async fn call(layout: Layout, core: usize, method: Method, lock: &str, body: String) -> Option<(u16, Option<u64>)> {
    let request = Request::json(method, format!("/v1/locks/{lock}"), body);
    let answer = Client::new(layout.core(core)).call(&request, PATIENCE).await.ok()?;
    let body: Option<sonic_rs::Value> = sonic_rs::from_slice(&answer.body).ok();
    let fence = body.and_then(|body| body.pointer(["fence_token"].iter()).and_then(|fence| fence.as_u64()));
    Some((answer.status, fence))
}

/// The status of a take, once it is neither a failure nor a 5xx.
async fn clear_answer(layout: Layout, core: usize, lock: &str, body: String) -> u16 {
    for _ in 0..MOST_TRIES {
        match call(layout, core, Method::POST, lock, body.clone()).await {
            Some((status, _)) if status < 500 => return status,
            _ => monoio::time::sleep(PAUSE).await,
        }
    }
    panic!("no clear answer about {lock}");
}

/// Asks the given core nodes in turn until one gives the lock.
async fn take(layout: Layout, cores: &[usize], lock: &str, holder: &str) -> u64 {
    for attempt in 0..MOST_TRIES {
        let body = format!("{{\"holder\":\"{holder}\",\"hold_s\":{HOLD_SECONDS}}}");
        let answer = call(layout, cores[attempt % cores.len()], Method::POST, lock, body).await;
        if let Some((200, Some(fence))) = answer {
            return fence;
        }
        monoio::time::sleep(PAUSE).await;
    }
    panic!("{lock} was not given to {holder}");
}

/// The holder's release meets a process that is stopped; the holder takes the lock again, and the process goes on.
async fn second_holder_after_a_late_release(layout: Layout, processes: &[Process], stopped: usize) -> bool {
    let lock = format!("lock-{stopped}");
    let others: Vec<usize> = (0..CORES).filter(|core| *core != stopped).collect();
    let fence = take(layout, &[stopped], &lock, "a.1").await;
    processes[stopped].signal(Signal::SIGSTOP);
    let release = format!("{{\"holder\":\"a.1\",\"fence_token\":{fence}}}");
    assert_eq!(call(layout, stopped, Method::DELETE, &lock, release).await, None);
    take(layout, &others, &lock, "a.1").await;
    processes[stopped].signal(Signal::SIGCONT);
    monoio::time::sleep(PAUSE * 5).await;
    let body = format!("{{\"holder\":\"b.1\",\"hold_s\":{HOLD_SECONDS}}}");
    clear_answer(layout, others[0], &lock, body).await == 200
}

#[test]
fn a_release_read_by_a_process_that_was_stopped_frees_no_lock_that_its_holder_took_again() {
    let folder = tempfile::tempdir().unwrap();
    let mut overlaps = Vec::new();
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form::ALL[0], cores: CORES };
        let processes = starter(layout, folder.path()).cores().unwrap();
        for stopped in 0..CORES {
            if second_holder_after_a_late_release(layout, &processes, stopped).await {
                overlaps.push(stopped);
            }
        }
    })
    .unwrap();
    assert!(overlaps.is_empty(), "two holders after core nodes {overlaps:?} were stopped");
}

#[test]
fn a_take_whose_caller_left_while_the_process_was_stopped_blocks_nobody() {
    let folder = tempfile::tempdir().unwrap();
    let mut refused = Vec::new();
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form::ALL[0], cores: CORES };
        let processes = starter(layout, folder.path()).cores().unwrap();
        take(layout, &[0, 1, 2], "first", "a.1").await;
        for (stopped, process) in processes.iter().enumerate() {
            let lock = format!("lock-{stopped}");
            let body = |holder: &str| format!("{{\"holder\":\"{holder}\",\"hold_s\":{HOLD_SECONDS}}}");
            process.signal(Signal::SIGSTOP);
            assert_eq!(call(layout, stopped, Method::POST, &lock, body("a.1")).await, None);
            process.signal(Signal::SIGCONT);
            monoio::time::sleep(PAUSE * 10).await;
            if clear_answer(layout, (stopped + 1) % CORES, &lock, body("b.1")).await != 200 {
                refused.push(stopped);
            }
        }
    })
    .unwrap();
    assert!(refused.is_empty(), "refused after core nodes were stopped: {refused:?}");
}

fn no_lock_has_two_holders(mix: Mix, cores: usize, seed: u64) {
    let folder = tempfile::tempdir().unwrap();
    let play = CoordinationPlay {
        mix,
        seed,
        cores,
        callers: 24,
        locks: 12,
        seconds: 12,
        executable: PathBuf::from(env!("CARGO_BIN_EXE_soak")),
        folder: folder.path().to_owned(),
    };
    let mut report = None;
    trackbed::kernel::run(async { report = Some(run(&play).await) }).unwrap();
    let report = report.unwrap().unwrap();
    assert!(report.holds > 0 && report.violations.is_empty(), "{}", report.text());
}

#[test]
fn no_lock_has_two_holders_while_core_nodes_freeze_and_restart() {
    let other = std::thread::spawn(|| no_lock_has_two_holders(Mix::Together, 3, 1));
    no_lock_has_two_holders(Mix::All, 5, 2);
    other.join().unwrap();
}
