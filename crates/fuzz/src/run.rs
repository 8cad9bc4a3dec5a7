//! One run: so many inputs for each target, all drawn from one seed.

use crate::memory::peak_of;
use crate::targets::Target;
use crate::{json_text, mutation};
use arbitrary::Unstructured;
use std::cell::RefCell;
use trackbed::random::Random;

/// Memory that an input may take whatever its length, and for each of its bytes.
const FREE_BYTES: usize = 16 << 20;
const BYTES_FOR_EACH: usize = 24;
/// Stack of the thread that reads inputs: a fraction of what a process has.
const STACK_BYTES: usize = 1 << 20;
/// Bytes from which one JSON text is drawn.
const SOURCE_BYTES: usize = 256;
/// One input in so many is long.
const LONG_EVERY: u64 = 2_000;
/// The longest body that any listener ever took.
const LONGEST_INPUT: u64 = 32 << 20;

thread_local! {
    static CURRENT: RefCell<String> = const { RefCell::new(String::new()) };
}

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Inputs given to targets.
    pub inputs: u64,
    /// Inputs that took more memory than they may, each told in a line.
    pub over_memory: Vec<String>,
}

/// Gives each target so many inputs. A target that panics ends the thread, or the process, after a line that says
/// which input it was.
pub fn run(
    targets: impl FnOnce() -> Vec<Target> + Send + 'static,
    seed: u64,
    inputs: u64,
) -> std::thread::Result<Report> {
    tell_input_of_panics();
    let all = move || {
        let mut report = Report::default();
        for mut target in targets() {
            (0..inputs).for_each(|number| try_one(&mut target, seed, number, &mut report));
        }
        report
    };
    match std::thread::Builder::new().stack_size(STACK_BYTES).spawn(all) {
        Ok(thread) => thread.join(),
        Err(error) => Err(Box::new(error)),
    }
}

fn tell_input_of_panics() {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |information| {
        CURRENT.with_borrow(|current| eprintln!("while reading {current}"));
        before(information);
    }));
}

fn try_one(target: &mut Target, seed: u64, number: u64, report: &mut Report) {
    let mut random = Random::seeded(seed.wrapping_mul(0x9e37_79b9).wrapping_add(number));
    let input = draw_input(target, &mut random);
    let name = format!("{}, seed {seed}, input {number}, {} bytes", target.name(), input.len());
    CURRENT.set(name.clone());
    let peak = peak_of(|| target.read(&input));
    report.inputs += 1;
    if peak > FREE_BYTES + input.len() * BYTES_FOR_EACH {
        report.over_memory.push(format!("{name}: {peak} bytes of memory"));
    }
}

fn draw_input(target: &Target, random: &mut Random) -> Vec<u8> {
    if random.below(LONG_EVERY) == 0 {
        let bytes = random.below(LONGEST_INPUT) as usize >> random.below(12);
        return json_text::repeated(random.draw(), bytes);
    }
    let examples = target.examples();
    let example = |random: &mut Random| &examples[random.below(examples.len() as u64) as usize];
    let mut input = match target.reads_json() && random.chance(0.4) {
        true => drawn_json(random),
        false => example(random).clone(),
    };
    if random.chance(0.9) {
        mutation::mutate(&mut input, example(random), random);
    }
    input
}

fn drawn_json(random: &mut Random) -> Vec<u8> {
    let source: Vec<u8> = (0..SOURCE_BYTES).map(|_| random.draw() as u8).collect();
    json_text::draw(&mut Unstructured::new(&source)).unwrap_or_default().into_bytes()
}
