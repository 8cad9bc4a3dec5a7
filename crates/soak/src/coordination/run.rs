//! One run: core nodes and callers are started, the nodes are troubled and left in peace; then the rules are checked.

use super::caller::Callers;
use super::history;
use super::report::CoordinationReport;
use super::trouble::{self, Due, Mix, Step};
use crate::endpoint::events::shared_micros;
use crate::error::SoakError;
use crate::layout::{Block, Form, Layout, empty_folder};
use crate::process::Process;
use crate::report::RunReport;
use crate::start::Starter;
use nix::sys::signal::Signal;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The core elects its first primary in this time.
const BEFORE: Duration = Duration::from_secs(2);
/// Left in peace after the last trouble: elections end, and what dead callers hold runs out.
const SETTLE: Duration = Duration::from_secs(8);
/// The calm time at the end, in which locks must be given.
const QUIET: Duration = Duration::from_secs(2);
/// Holds and calls under way end in this time.
const LAST_CALLS: Duration = Duration::from_secs(4);
/// Longest that the run itself may be held up at a step.
const STEP_TOLERANCE: Duration = Duration::from_millis(5);

/// What to play.
#[derive(Clone, Debug)]
pub struct CoordinationPlay {
    /// The kinds of trouble.
    pub mix: Mix,
    /// Seed of troubles and callers.
    pub seed: u64,
    /// Core nodes.
    pub cores: usize,
    /// Callers.
    pub callers: u64,
    /// Locks that they share.
    pub locks: u64,
    /// Seconds of troubles.
    pub seconds: u64,
    /// An executable of this crate: every process of the run is one of it.
    pub executable: PathBuf,
    /// Where settings, state and logs go.
    pub folder: PathBuf,
}

struct Cores<'a> {
    processes: Vec<Process>,
    starter: Starter<'a>,
}

impl<'a> Cores<'a> {
    fn start(play: &'a CoordinationPlay, layout: Layout) -> Result<Self, SoakError> {
        let starter = Starter { executable: &play.executable, layout, folder: &play.folder };
        Ok(Self { processes: starter.cores()?, starter })
    }

    fn carry_out(&mut self, due: &Due) -> Result<(), SoakError> {
        let process = &mut self.processes[due.core];
        match due.step {
            Step::Freeze => process.signal(Signal::SIGSTOP),
            Step::Thaw => process.signal(Signal::SIGCONT),
            Step::Kill => process.kill(),
            Step::Terminate => process.signal(Signal::SIGTERM),
            Step::HangUp => process.signal(Signal::SIGHUP),
            Step::Start => process.restart()?,
            Step::StartBeside => process.start_beside()?,
            Step::Ensure if process.has_ended() => process.restart()?,
            Step::Ensure => {}
            Step::StartEmpty => self.start_empty(due.core)?,
        }
        Ok(())
    }

    fn start_empty(&mut self, index: usize) -> Result<(), SoakError> {
        let data = self.starter.data_folder(index);
        let settings = self.starter.layout.later_core_settings(index, &data);
        let process = &mut self.processes[index];
        process.kill();
        empty_folder(&data)?;
        process.write_settings(&settings)?;
        process.restart()
    }

    /// Every process runs from now on.
    fn recover(&mut self) -> Result<(), SoakError> {
        for process in &mut self.processes {
            process.signal(Signal::SIGCONT);
            process.end_former();
            if process.has_ended() {
                process.restart()?;
            }
        }
        Ok(())
    }

    fn ended_by_themselves(&mut self) -> Vec<String> {
        let ended =
            self.processes.iter_mut().filter_map(|process| process.has_ended().then(|| process.name().to_owned()));
        ended.map(|name| format!("CRASH: {name} ended by itself")).collect()
    }
}

/// Threads that use all processors until this is dropped.
struct Load(Arc<AtomicBool>);

impl Load {
    fn start() -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let threads = std::thread::available_parallelism().map_or(1, |count| count.get() * 2);
        for _ in 0..threads {
            let ended = ended.clone();
            std::thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        Self(ended)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Plays one run. Call it on a runtime of its own.
///
/// # Errors
///
/// [`SoakError`] where the core could not be started; a rule that was broken stands in the report.
pub async fn run(play: &CoordinationPlay) -> Result<CoordinationReport, SoakError> {
    let block = Block::take()?;
    let layout = Layout { block: block.number(), form: Form::ALL[0], cores: play.cores };
    empty_folder(&play.folder)?;
    let mut cores = Cores::start(play, layout)?;
    monoio::time::sleep(BEFORE).await;
    let addresses = (0..play.cores).map(|index| layout.core(index)).collect();
    let callers = Callers::new(addresses, play.locks);
    callers.start(play.callers, play.seed);
    let steps = trouble::plan(play.mix, play.cores, play.seed, play.seconds * 1000);
    {
        let _load = (play.mix == Mix::Busy).then(Load::start);
        play_steps(&mut cores, &steps, Duration::from_secs(play.seconds)).await?;
    }
    cores.recover()?;
    monoio::time::sleep(SETTLE).await;
    let quiet_from = shared_micros();
    monoio::time::sleep(QUIET).await;
    callers.stop();
    monoio::time::sleep(LAST_CALLS).await;
    let holds = callers.holds();
    let mut violations = history::violations(&holds);
    violations.extend(cores.ended_by_themselves());
    let (calls, unanswered) = callers.calls();
    let mut report = CoordinationReport {
        mix: play.mix.name(),
        seed: play.seed,
        cores: play.cores,
        callers: play.callers,
        seconds: play.seconds,
        steps: steps.len(),
        calls,
        unanswered,
        holds: holds.len(),
        holds_at_end: holds.iter().filter(|hold| hold.from >= quiet_from).count(),
        violations,
        logs: None,
    };
    report.logs = (!report.passed()).then(|| play.folder.display().to_string());
    Ok(report)
}

/// Carries out the steps when they are due, and returns when the span is over.
async fn play_steps(cores: &mut Cores<'_>, steps: &[Due], span: Duration) -> Result<(), SoakError> {
    let begun = Instant::now();
    for due in steps {
        wait_until(begun + Duration::from_millis(due.at)).await;
        cores.carry_out(due)?;
    }
    wait_until(begun + span).await;
    Ok(())
}

async fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > STEP_TOLERANCE {
        monoio::time::sleep(left).await;
    }
}
