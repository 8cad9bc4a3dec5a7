//! A short run over every target.

use fuzz::memory::CountingAllocator;
use fuzz::run::run;
use fuzz::targets::all;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SEED: u64 = 1;
const INPUTS: u64 = 4_000;

#[test]
fn no_input_ends_a_parser_or_takes_much_memory() {
    let count = all().len() as u64;
    let report = run(all, SEED, INPUTS).expect("no target panics");
    assert_eq!(report.inputs, INPUTS * count);
    assert!(report.over_memory.is_empty(), "{:#?}", report.over_memory);
}
