//! The fuzzer as a program, for long runs by hand.

use fuzz::memory::CountingAllocator;
use fuzz::run::run;
use fuzz::targets::{Target, all};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const USAGE: &str = "usage: fuzz [--seed N] [--inputs N] [--target NAME]";

fn main() {
    std::process::exit(fuzz_all().unwrap_or_else(|error| {
        eprintln!("{error}\n{USAGE}");
        2
    }));
}

/// Runs what the arguments say; the status to end with.
fn fuzz_all() -> Result<i32, Box<dyn std::error::Error>> {
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "which inputs are drawn", "N");
    options.optopt("", "inputs", "how many for each target", "N");
    options.optopt("", "target", "only this one", "NAME");
    let given = options.parse(std::env::args().skip(1))?;
    let seed = given.opt_get_default("seed", 1)?;
    let inputs = given.opt_get_default("inputs", 100_000)?;
    let wanted = given.opt_str("target");
    let names: Vec<&'static str> = all().iter().map(Target::name).collect();
    let mut status = 0;
    for name in names.into_iter().filter(|name| wanted.as_deref().is_none_or(|wanted| wanted == *name)) {
        let begun = std::time::Instant::now();
        let targets = move || all().into_iter().filter(|target| target.name() == name).collect();
        match run(targets, seed, inputs) {
            Ok(report) => {
                println!("{name}: {} inputs in {:.1} s", report.inputs, begun.elapsed().as_secs_f64());
                report.over_memory.iter().for_each(|line| println!("over its memory: {line}"));
                status |= !report.over_memory.is_empty() as i32;
            }
            Err(_) => status = 1,
        }
    }
    Ok(status)
}
