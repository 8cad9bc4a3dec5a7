//! The soak's command line. Every process of a run is this program too, told by its environment what to be.

use getopts::{Matches, Options};
use soak::coordination::run::{CoordinationPlay, run as run_locks};
use soak::coordination::trouble::Mix;
use soak::endpoint;
use soak::error::SoakError;
use soak::layout::{ENDPOINTS, Endpoints, Form};
use soak::process::{Program, end_with_parent};
use soak::report::RunReport;
use soak::run::{Play, run};
use std::path::{Path, PathBuf};
use trackbed::kernel;

const USAGE: &str = "Usage: soak run [options]
       soak locks [options]

Starts core nodes, nodes and endpoints as processes on this machine's loopback, kills, pauses and troubles them by a
seed, and checks the safety rules: with `run` from what the endpoints saw, with `locks` from what callers of core nodes
counted as theirs. Runs one seed of one form or mix after the other.
Status: 0 all passed; 1 a rule was broken or too little was served at the end; 2 wrong usage, or it could not start.";
const FORMS: &str = "beside-heartbeat, beside-calls, gateway-heartbeat, gateway-calls or all";
const MIXES: &str = "freezes, restarts, all, together, busy or every";
/// In every run of so many an endpoint is lost for good.
const LOST_EVERY: u64 = 3;
/// In every run of callers of so many there are five core nodes in place of three.
const FIVE_CORES_EVERY: u64 = 3;

/// What the options say.
struct Plan {
    forms: Vec<Form>,
    mixes: Vec<Mix>,
    callers: u64,
    locks: u64,
    first: u64,
    seeds: u64,
    seconds: u64,
    endpoints: Endpoints,
    json: bool,
    folder: PathBuf,
}

fn main() {
    let program = Program::of_this_process();
    if program.is_some() {
        end_with_parent();
    }
    let status = match program {
        Some(Program::Signalbox) => signalbox::main(),
        Some(Program::Pointsman) => pointsman::main(),
        Some(Program::Endpoint) => match std::env::args_os().nth(1) {
            Some(settings) => endpoint::main(&PathBuf::from(settings)),
            None => 2,
        },
        None => act(std::env::args().skip(1).collect()),
    };
    std::process::exit(status);
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("f", "form", &format!("with run: {FORMS}"), "FORM");
    options.optopt("m", "mix", &format!("with locks: {MIXES}"), "MIX");
    options.optopt("", "callers", "with locks: how many callers (default: 24)", "N");
    options.optopt("", "locks", "with locks: how many locks they share (default: 12)", "N");
    options.optopt("", "first", "the first seed (default: 1)", "SEED");
    options.optopt("n", "seeds", "how many seeds of each form or mix (default: 1)", "N");
    options.optopt("s", "seconds", "seconds of troubles (default: 20)", "N");
    options.optflag("", "full", "with run: half of the endpoints accept few connections and reset the rest");
    options.optflag(
        "",
        "cold",
        "with run: endpoints are cold after each start, and end where they get more than they bear",
    );
    options.optopt("o", "out", "folder for settings, state and logs (default: a new one)", "FOLDER");
    options.optflag("j", "json", "print a JSON line for each run");
    options
}

fn act(arguments: Vec<String>) -> i32 {
    let options = options();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return 0;
    }
    let plan = match Plan::read(&matches) {
        Ok(plan) => plan,
        Err(error) => return usage(&error.to_string()),
    };
    let Ok(executable) = std::env::current_exe() else { return 2 };
    let outcome = match matches.free.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["run"] => play_forms(&plan, &executable),
        ["locks"] => play_locks(&plan, &executable),
        _ => return usage("say run or locks"),
    };
    match outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("soak: {error}");
            2
        }
    }
}

fn usage(reason: &str) -> i32 {
    eprintln!("soak: {reason}\n{USAGE}");
    2
}

/// A whole number that an option gives.
fn number(matches: &Matches, option: &'static str, otherwise: u64, most: u64) -> Result<u64, SoakError> {
    let Some(text) = matches.opt_str(option) else { return Ok(otherwise) };
    let number = text.parse().ok().filter(|number| *number <= most);
    number.ok_or(SoakError::Option { option, wanted: "a whole number that is not too large" })
}

impl Plan {
    fn read(matches: &Matches) -> Result<Self, SoakError> {
        let forms = match matches.opt_str("form").as_deref() {
            None | Some("all") => Form::ALL.to_vec(),
            Some(name) => vec![Form::named(name).ok_or(SoakError::Option { option: "form", wanted: FORMS })?],
        };
        let mixes = match matches.opt_str("mix").as_deref() {
            None | Some("every") => Mix::ALL.to_vec(),
            Some(name) => vec![Mix::named(name).ok_or(SoakError::Option { option: "mix", wanted: MIXES })?],
        };
        let folder = match matches.opt_str("out") {
            Some(folder) => PathBuf::from(folder),
            None => std::env::temp_dir().join(format!("ferryhinge-soak-{}", std::process::id())),
        };
        let endpoints = match (matches.opt_present("full"), matches.opt_present("cold")) {
            (true, true) => return Err(SoakError::Option { option: "cold", wanted: "a run without full" }),
            (true, false) => Endpoints::Full,
            (false, true) => Endpoints::Cold,
            (false, false) => Endpoints::Plain,
        };
        Ok(Self {
            forms,
            mixes,
            callers: number(matches, "callers", 24, 1000)?,
            locks: number(matches, "locks", 12, 10_000)?,
            first: number(matches, "first", 1, u64::MAX / 2)?,
            seeds: number(matches, "seeds", 1, 100_000)?,
            seconds: number(matches, "seconds", 20, 3600)?,
            endpoints,
            json: matches.opt_present("json"),
            folder,
        })
    }

    fn all_seeds(&self) -> std::ops::Range<u64> {
        self.first..self.first + self.seeds
    }

    /// Prints a run's report and removes the folder of one that passed. Gives whether it passed.
    fn show(&self, report: &impl RunReport, folder: &Path) -> bool {
        match self.json {
            true => println!("{}", sonic_rs::to_string(report).unwrap_or_default()),
            false => println!("{}", report.text()),
        }
        if report.passed() {
            let _ = std::fs::remove_dir_all(folder);
        }
        report.passed()
    }
}

/// Plays every form with every seed. Gives whether all passed.
fn play_forms(plan: &Plan, executable: &Path) -> Result<bool, SoakError> {
    let mut all_passed = true;
    for seed in plan.all_seeds() {
        for form in &plan.forms {
            let play = Play {
                form: *form,
                seed,
                seconds: plan.seconds,
                lost: seed.is_multiple_of(LOST_EVERY).then_some((seed / LOST_EVERY) as usize % ENDPOINTS),
                endpoints: plan.endpoints,
                executable: executable.to_owned(),
                folder: plan.folder.join(format!("{}-{seed}", form.name())),
            };
            all_passed &= plan.show(&complete(run(&play))?, &play.folder);
        }
    }
    Ok(all_passed)
}

/// Plays every mix with every seed. Gives whether all passed.
fn play_locks(plan: &Plan, executable: &Path) -> Result<bool, SoakError> {
    let mut all_passed = true;
    for seed in plan.all_seeds() {
        for mix in &plan.mixes {
            let play = CoordinationPlay {
                mix: *mix,
                seed,
                cores: if seed.is_multiple_of(FIVE_CORES_EVERY) { 5 } else { 3 },
                callers: plan.callers,
                locks: plan.locks,
                seconds: plan.seconds,
                executable: executable.to_owned(),
                folder: plan.folder.join(format!("locks-{}-{seed}", mix.name())),
            };
            all_passed &= plan.show(&complete(run_locks(&play))?, &play.folder);
        }
    }
    Ok(all_passed)
}

/// What comes of a run on a runtime of its own.
fn complete<T>(work: impl Future<Output = Result<T, SoakError>>) -> Result<T, SoakError> {
    let mut outcome = None;
    kernel::run(async { outcome = Some(work.await) }).map_err(|error| SoakError::io("the runtime", &error))?;
    outcome.unwrap_or_else(|| Err(SoakError::io("the runtime", &std::io::ErrorKind::UnexpectedEof.into())))
}
