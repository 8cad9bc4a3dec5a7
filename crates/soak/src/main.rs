//! The soak's command line. Every process of a run is this program too, told by its environment what to be.

use getopts::Options;
use soak::endpoint;
use soak::error::SoakError;
use soak::layout::{ENDPOINTS, Form};
use soak::process::Program;
use soak::report::Report;
use soak::run::{Play, run};
use std::path::PathBuf;
use trackbed::kernel;

const USAGE: &str = "Usage: soak run [options]

Starts core nodes, nodes and endpoints as processes on this machine's loopback, kills, pauses and troubles them by a
seed, and checks the safety rules from what the endpoints saw. Runs one seed of one form after the other.
Status: 0 all passed; 1 a rule was broken or too little was served at the end; 2 wrong usage, or it could not start.";
const FORMS: &str = "beside-heartbeat, beside-calls, gateway-heartbeat, gateway-calls or all";
/// In every run of so many an endpoint is lost for good.
const LOST_EVERY: u64 = 3;

struct Plan {
    forms: Vec<Form>,
    first: u64,
    seeds: u64,
    seconds: u64,
    json: bool,
    folder: PathBuf,
}

fn main() {
    let status = match Program::of_this_process() {
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

fn act(arguments: Vec<String>) -> i32 {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optopt("f", "form", FORMS, "FORM");
    options.optopt("", "first", "the first seed (default: 1)", "SEED");
    options.optopt("n", "seeds", "how many seeds of each form (default: 1)", "N");
    options.optopt("s", "seconds", "seconds of troubles (default: 20)", "N");
    options.optopt("o", "out", "folder for settings, state and logs (default: a new one)", "FOLDER");
    options.optflag("j", "json", "print a JSON line for each run");
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return 0;
    }
    if matches.free != ["run"] {
        return usage("say run");
    }
    match Plan::read(&matches) {
        Ok(plan) => play_all(&plan),
        Err(error) => usage(&error.to_string()),
    }
}

fn usage(reason: &str) -> i32 {
    eprintln!("soak: {reason}\n{USAGE}");
    2
}

impl Plan {
    fn read(matches: &getopts::Matches) -> Result<Self, SoakError> {
        let number = |option: &'static str, otherwise: u64, most: u64| match matches.opt_str(option) {
            None => Ok(otherwise),
            Some(text) => text
                .parse()
                .ok()
                .filter(|number| *number <= most)
                .ok_or(SoakError::Option { option, wanted: "a whole number that is not too large" }),
        };
        let forms = match matches.opt_str("form").as_deref() {
            None | Some("all") => Form::ALL.to_vec(),
            Some(name) => vec![Form::named(name).ok_or(SoakError::Option { option: "form", wanted: FORMS })?],
        };
        let folder = match matches.opt_str("out") {
            Some(folder) => PathBuf::from(folder),
            None => std::env::temp_dir().join(format!("ferryhinge-soak-{}", std::process::id())),
        };
        Ok(Self {
            forms,
            first: number("first", 1, u64::MAX / 2)?,
            seeds: number("seeds", 1, 100_000)?,
            seconds: number("seconds", 20, 3600)?,
            json: matches.opt_present("json"),
            folder,
        })
    }
}

fn play_all(plan: &Plan) -> i32 {
    let Ok(executable) = std::env::current_exe() else { return 2 };
    let mut status = 0;
    for seed in plan.first..plan.first + plan.seeds {
        for form in &plan.forms {
            let play = Play {
                form: *form,
                seed,
                seconds: plan.seconds,
                lost: (seed % LOST_EVERY == 0).then_some((seed / LOST_EVERY) as usize % ENDPOINTS),
                executable: executable.clone(),
                folder: plan.folder.join(format!("{}-{seed}", form.name())),
            };
            match play_one(&play) {
                Ok(report) => {
                    println!("{}", shown(&report, plan.json));
                    if report.passed() {
                        let _ = std::fs::remove_dir_all(&play.folder);
                    } else {
                        status = 1;
                    }
                }
                Err(error) => {
                    eprintln!("soak: {error}");
                    return 2;
                }
            }
        }
    }
    status
}

fn play_one(play: &Play) -> Result<Report, SoakError> {
    let mut outcome = None;
    kernel::run(async { outcome = Some(run(play).await) }).map_err(|error| SoakError::io("the runtime", &error))?;
    outcome.unwrap_or(Err(SoakError::NotReady { seconds: 0, logs: play.folder.display().to_string() }))
}

fn shown(report: &Report, json: bool) -> String {
    match json {
        true => sonic_rs::to_string(report).unwrap_or_default(),
        false => report.text(),
    }
}
