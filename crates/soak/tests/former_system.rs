//! A core node of a former system comes back, with its old disk, at an address that a new system has by now.

mod support;

use soak::layout::{Block, CORES, Form, Layout};
use soak::process::Process;
use std::time::Duration;
use support::{draw_number, starter};

const PAUSE: Duration = Duration::from_millis(100);
/// Numbers that each system gives before anything happens to it.
const FORMER_NUMBERS: usize = 40;
const NUMBERS: usize = 20;
/// Restarts of the former system, each of which brings another epoch.
const FORMER_RESTARTS: usize = 3;
const RETURNING: usize = 2;

/// Guards against numbers that a member of another system gives, as ids of founders follow from their addresses.
#[test]
fn a_member_of_a_former_system_changes_nothing_in_a_new_one() {
    let (former, new) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let mut numbers = Vec::new();
    trackbed::kernel::run(async {
        let block = Block::take().unwrap();
        let layout = Layout { block: block.number(), form: Form::ALL[0], cores: CORES };
        let mut cores = starter(layout, former.path()).cores().unwrap();
        for _ in 0..FORMER_RESTARTS {
            for _ in 0..FORMER_NUMBERS {
                assert!(draw_number(layout).await.is_some());
            }
            cores.iter_mut().for_each(Process::kill);
            cores.iter_mut().for_each(|core| core.restart().unwrap());
        }
        assert!(draw_number(layout).await.is_some());
        cores.iter_mut().for_each(Process::kill);

        let mut cores = starter(layout, new.path()).cores().unwrap();
        for _ in 0..NUMBERS {
            numbers.push(draw_number(layout).await.expect("the new system gives numbers"));
        }
        cores[RETURNING].kill();
        let _returned = starter(layout, former.path()).core(RETURNING, "returned".into()).unwrap();
        monoio::time::sleep(PAUSE * 10).await;
        cores[0].kill();
        while let Some(number) = draw_number(layout).await.filter(|_| numbers.len() < NUMBERS * 2) {
            numbers.push(number);
        }
    })
    .unwrap();
    let expected: Vec<u64> = (1..=numbers.len() as u64).collect();
    assert_eq!(numbers, expected, "numbers of the new system alone, one after the other");
}
