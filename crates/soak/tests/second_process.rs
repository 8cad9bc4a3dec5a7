//! A second process is started on a core node's settings and data folder while the first still runs, as a supervisor does
//! that doesn't wait for the end. Nothing acknowledged is lost.

mod support;

use http::Method;
use soak::layout::{Block, CORES, Form, Layout};
use soak::process::Process;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::{number_in, starter};
use trackbed::http::{Client, Request};

const LIMIT: Duration = Duration::from_secs(1);
const SPAN: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(5);
const CALLERS: usize = 24;
/// Second processes of each core node that are started at once.
const AT_ONCE: usize = 4;

async fn draw(client: &mut Client) -> Option<u64> {
    let request = Request::json(Method::POST, "/v1/numbers/n".into(), "{}".into());
    let answer = client.call(&request, LIMIT).await.ok().filter(|answer| answer.status == 200)?;
    number_in(&answer.body)
}

/// Draws numbers at one core node until told to stop, and notes the highest.
async fn draw_until(layout: Layout, core: usize, highest: Rc<Cell<u64>>, stopped: Rc<Cell<bool>>) {
    let mut client = Client::new(layout.core(core));
    while !stopped.get() {
        match draw(&mut client).await {
            Some(value) => highest.set(highest.get().max(value)),
            None => monoio::time::sleep(PAUSE).await,
        }
    }
}

/// How often a core node's log has these words.
fn logged(folder: &Path, index: usize, words: &str) -> usize {
    let text = std::fs::read_to_string(folder.join(format!("core-{index}.out"))).unwrap();
    text.lines().filter(|line| line.contains(words)).count()
}

#[test]
fn a_second_process_on_a_data_folder_in_use_loses_nothing_acknowledged() {
    let folder = tempfile::tempdir().unwrap();
    let (highest, next) = (Rc::new(Cell::new(0)), Cell::new(None));
    let told = highest.clone();
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form::ALL[0], cores: CORES };
        let starter = starter(layout, folder.path());
        let mut first = starter.cores().unwrap();
        let stopped = Rc::new(Cell::new(false));
        let callers = (0..CALLERS).map(|number| draw_until(layout, number % CORES, told.clone(), stopped.clone()));
        let callers: Vec<_> = callers.map(monoio::spawn).collect();
        let begun = Instant::now();
        while told.get() == 0 && begun.elapsed() < SPAN {
            monoio::time::sleep(PAUSE).await;
        }
        let begun = Instant::now();
        while begun.elapsed() < SPAN {
            let mut seconds: Vec<Process> = (0..CORES * AT_ONCE)
                .map(|number| starter.core(number % CORES, format!("second-{number}")).unwrap())
                .collect();
            let started = Instant::now();
            while started.elapsed() < LIMIT && !seconds.iter_mut().all(Process::has_ended) {
                monoio::time::sleep(PAUSE).await;
            }
        }
        stopped.set(true);
        first.iter_mut().for_each(Process::kill);
        for caller in callers {
            caller.await;
        }
        first.iter_mut().for_each(|process| process.restart().unwrap());
        let mut client = Client::new(layout.core(0));
        let begun = Instant::now();
        while next.get().is_none() && begun.elapsed() < SPAN {
            next.set(draw(&mut client).await);
            monoio::time::sleep(PAUSE).await;
        }
    })
    .unwrap();
    let damaged: Vec<usize> = (0..CORES).map(|index| logged(folder.path(), index, "lost something")).collect();
    assert_eq!(damaged, [0; CORES], "disks that lost something acknowledged");
    assert!(highest.get() > 0 && next.get() > Some(highest.get()), "{:?} after {}", next.get(), highest.get());
}
