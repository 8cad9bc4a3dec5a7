//! The command line that both programs share.

use super::local::{ConfigError, LocalConfig};
use super::support::unsupported;
use getopts::Options;
use log::LevelFilter;
use std::path::PathBuf;

const DEFAULT_PATH: &str = "/etc/ferryhinge/local.json";

/// How a program was called.
pub struct Command {
    /// The settings file.
    pub path: PathBuf,
    /// The least severe log lines that are written.
    pub level: LevelFilter,
    /// The settings, checked.
    pub config: LocalConfig,
}

/// What a command line comes to.
pub enum CommandOutcome {
    /// The program is to run.
    Run(Box<Command>),
    /// Nothing to run: the text goes out, and the process ends with the status.
    Done {
        /// What to print.
        text: String,
        /// The status to end with.
        status: i32,
    },
}

impl Command {
    /// What both daemons' `main` does: reads the command line, runs, and gives the process's status.
    pub fn main<E: std::fmt::Display>(
        program: &'static str,
        about: &str,
        check: fn(&LocalConfig) -> Result<(), ConfigError>,
        run: fn(Command) -> Result<(), E>,
    ) -> i32 {
        match Self::read(program, about, check) {
            CommandOutcome::Done { text, status } => {
                if status == 0 {
                    println!("{text}");
                } else {
                    eprintln!("{text}");
                }
                status
            }
            CommandOutcome::Run(command) => {
                crate::logs::start(program, command.config.node_name.as_str(), command.level);
                unsupported(&command.config).iter().for_each(|found| log::error!("{found}"));
                command.config.unread.iter().for_each(|key| log::info!("nothing reads settings key {key}"));
                match run(*command) {
                    Ok(()) => 0,
                    Err(error) => {
                        log::error!("{error}");
                        1
                    }
                }
            }
        }
    }

    /// Reads the command line of this process and the settings that it names. `check` says what the program can't do without.
    pub fn read(program: &str, about: &str, check: fn(&LocalConfig) -> Result<(), ConfigError>) -> CommandOutcome {
        let mut options = Options::new();
        options.optflag("h", "help", "print this text");
        options.optflag("V", "version", "print the version");
        options.optflag("c", "check", "read the settings, report, and end");
        options.optopt("l", "log-level", "error, warn, info, debug or trace (default: warn)", "LEVEL");
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let matches = match options.parse(&arguments) {
            Ok(matches) => matches,
            Err(error) => {
                return CommandOutcome::Done { text: format!("{program}: {error}; see {program} --help"), status: 2 };
            }
        };
        if matches.opt_present("help") {
            let brief = format!(
                "Usage: {program} [options] [SETTINGS]\n\n{about}\nSETTINGS: path of the settings file; else FERRYHINGE_CONFIG, else {DEFAULT_PATH}"
            );
            return CommandOutcome::Done { text: options.usage(&brief), status: 0 };
        }
        if matches.opt_present("version") {
            return CommandOutcome::Done { text: format!("{program} {}", env!("CARGO_PKG_VERSION")), status: 0 };
        }
        let level = match matches.opt_str("log-level").unwrap_or_else(|| "warn".into()).parse() {
            Ok(level) => level,
            Err(_) => {
                return CommandOutcome::Done {
                    text: format!("{program}: --log-level must be error, warn, info, debug or trace"),
                    status: 2,
                };
            }
        };
        let path = matches
            .free
            .first()
            .map(PathBuf::from)
            .or_else(|| std::env::var_os("FERRYHINGE_CONFIG").map(PathBuf::from))
            .unwrap_or_else(|| PathBuf::from(DEFAULT_PATH));
        let config = match LocalConfig::read(&path).and_then(|config| check(&config).map(|()| config)) {
            Ok(config) => config,
            Err(error) => {
                return CommandOutcome::Done { text: format!("{program}: {error}"), status: 1 };
            }
        };
        if matches.opt_present("check") {
            let unsupported = unsupported(&config);
            if !unsupported.is_empty() {
                let lines: Vec<String> = unsupported.iter().map(|found| format!("{program}: {found}")).collect();
                return CommandOutcome::Done { text: lines.join("\n"), status: 1 };
            }
            let complete = format!("{program}: settings of {} in {} are complete", config.node_name, path.display());
            let unread = config.unread.iter().map(|key| format!("{program}: nothing reads settings key {key}"));
            let text = std::iter::once(complete).chain(unread).collect::<Vec<_>>().join("\n");
            return CommandOutcome::Done { text, status: 0 };
        }
        CommandOutcome::Run(Box::new(Command { path, level, config }))
    }
}
