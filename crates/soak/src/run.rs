//! One run: processes are started, troubled, left in peace for a while, and ended; then the rules are checked.

use crate::client::{Clients, Outcome, Record};
use crate::endpoint::events::{Event, shared_micros};
use crate::error::SoakError;
use crate::invariants::{self, Witness};
use crate::layout::{Block, CORES, ENDPOINTS, Endpoints, Form, Layout, NODES, empty_folder};
use crate::operator::Operator;
use crate::process::Process;
use crate::report::{LEAST_SERVED, Report, RunReport};
use crate::start::Starter;
use crate::trouble::{self, Kind, Target, Trouble};
use http::Method;
use nix::sys::signal::Signal;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use trackbed::http::{Client, Request};

const READY_LIMIT: Duration = Duration::from_secs(30);
/// Left in peace before the first trouble.
const BEFORE: Duration = Duration::from_secs(3);
/// Left in peace after the last trouble: holds of killed processes run out, and the rest is given out anew.
const SETTLE: Duration = Duration::from_secs(9);
/// The quiet span at the end, in which almost all must be served.
const QUIET: Duration = Duration::from_secs(3);
/// The last requests have ended by then.
const LAST_REQUESTS: Duration = Duration::from_millis(1700);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const METRICS_LIMIT: Duration = Duration::from_secs(1);
/// What the names of counters of violated invariants end with.
const VIOLATIONS: [&str; 2] = ["overdue_total", "above_ceiling_total"];

/// What to play.
#[derive(Clone, Debug)]
pub struct Play {
    /// The form of the contract.
    pub form: Form,
    /// Seed of troubles and requests.
    pub seed: u64,
    /// Seconds of troubles; none are played where it is zero.
    pub seconds: u64,
    /// An endpoint that is killed before the first trouble and never comes back.
    pub lost: Option<usize>,
    /// What the endpoints bear.
    pub endpoints: Endpoints,
    /// An executable of this crate: every process of the run is one of it.
    pub executable: PathBuf,
    /// Where settings, state and logs go.
    pub folder: PathBuf,
}

struct Fleet {
    cores: Vec<Process>,
    nodes: Vec<Process>,
    endpoints: Vec<Process>,
    /// When each endpoint's process was killed.
    ended: Vec<Vec<u64>>,
    lost: Option<usize>,
}

impl Fleet {
    fn start(play: &Play, layout: Layout) -> Result<Self, SoakError> {
        let starter = Starter { executable: &play.executable, layout, folder: &play.folder };
        Ok(Self {
            cores: starter.cores()?,
            nodes: starter.nodes(NODES)?,
            endpoints: (0..ENDPOINTS)
                .map(|index| starter.endpoint(index, &layout.settings_of(play.endpoints, index)))
                .collect::<Result<_, _>>()?,
            ended: vec![Vec::new(); ENDPOINTS],
            lost: None,
        })
    }

    fn process(&mut self, target: Target) -> &mut Process {
        match target {
            Target::Core(index) => &mut self.cores[index],
            Target::Node(index) => &mut self.nodes[index],
            Target::Endpoint(index) => &mut self.endpoints[index],
        }
    }

    fn begin(&mut self, trouble: &Trouble) {
        let process = self.process(trouble.target);
        match trouble.kind {
            Kind::Kill => process.kill(),
            Kind::Pause => process.signal(Signal::SIGSTOP),
            Kind::Terminate => process.signal(Signal::SIGTERM),
            Kind::LoseAnswers => process.signal(Signal::SIGUSR1),
            Kind::Silence => process.signal(Signal::SIGUSR2),
        }
        if let (Kind::Kill, Target::Endpoint(index)) = (trouble.kind, trouble.target) {
            self.ended[index].push(shared_micros());
        }
    }

    fn end(&mut self, trouble: &Trouble) -> Result<(), SoakError> {
        let process = self.process(trouble.target);
        match trouble.kind {
            Kind::Kill | Kind::Terminate => {
                let still_runs = !process.has_ended();
                process.restart()?;
                if let (true, Target::Endpoint(index)) = (still_runs, trouble.target) {
                    self.ended[index].push(shared_micros());
                }
                Ok(())
            }
            Kind::Pause => {
                process.signal(Signal::SIGCONT);
                Ok(())
            }
            Kind::LoseAnswers | Kind::Silence => Ok(()),
        }
    }

    /// Kills an endpoint for good.
    fn lose(&mut self, endpoint: usize) {
        self.endpoints[endpoint].kill();
        self.ended[endpoint].push(shared_micros());
        self.lost = Some(endpoint);
    }

    /// Processes that ended though nobody ended them.
    fn ended_by_themselves(&mut self) -> Vec<String> {
        let lost = self.lost;
        let endpoints = self.endpoints.iter_mut().enumerate().filter(|(index, _)| lost != Some(*index));
        let processes = self.cores.iter_mut().chain(&mut self.nodes).chain(endpoints.map(|(_, process)| process));
        processes.filter_map(|process| process.has_ended().then(|| process.name().to_owned())).collect()
    }

    fn stop(&mut self) {
        let processes = self.cores.iter_mut().chain(&mut self.nodes).chain(&mut self.endpoints);
        processes.for_each(Process::kill);
    }

    fn witnesses(&self) -> Result<Vec<Witness>, SoakError> {
        let witness = |(process, ended): (&Process, &Vec<u64>)| {
            Ok(Witness { events: read_events(process.output())?, ended: ended.clone() })
        };
        self.endpoints.iter().zip(&self.ended).map(witness).collect()
    }
}

/// The events of a file. A line that a kill cut off is passed over.
fn read_events(path: &Path) -> Result<Vec<Event>, SoakError> {
    let text = std::fs::read_to_string(path).map_err(|error| SoakError::io(path.display(), &error))?;
    Ok(text.lines().filter_map(|line| sonic_rs::from_str(line).ok()).collect())
}

/// Plays one run. Call it on a runtime of its own.
///
/// # Errors
///
/// [`SoakError`] where the system could not be started; a rule that was broken stands in the report.
pub async fn run(play: &Play) -> Result<Report, SoakError> {
    let block = Block::take()?;
    let layout = Layout { block: block.number(), form: play.form, cores: CORES };
    empty_folder(&play.folder)?;
    let mut fleet = Fleet::start(play, layout)?;
    let operator = Operator::new(layout);
    wait_until_ready(&operator, layout, play).await?;
    let clients = Clients::new(layout, play.seed);
    monoio::spawn(clients.clone().run());
    monoio::spawn(operator.clone().configure_for_ever());
    monoio::spawn(operator.clone().draw_for_ever());
    monoio::time::sleep(BEFORE).await;
    let troubles = trouble::plan(play.seed, play.seconds * 1000);
    let troubles: Vec<Trouble> = troubles
        .into_iter()
        .filter(|trouble| trouble.target != Target::Endpoint(play.lost.unwrap_or(usize::MAX)))
        .collect();
    if let Some(lost) = play.lost {
        fleet.lose(lost);
    }
    play_troubles(&mut fleet, &troubles).await?;
    clients.spread_evenly();
    monoio::time::sleep(SETTLE).await;
    let quiet_from = shared_micros();
    monoio::time::sleep(QUIET).await;
    clients.stop();
    operator.stop();
    monoio::time::sleep(LAST_REQUESTS).await;
    operator.read_back().await;
    let mut violations = violated_invariants(layout).await;
    for name in fleet.ended_by_themselves() {
        violations.push(format!("CRASH: {name} ended by itself"));
    }
    fleet.stop();
    let witnesses = fleet.witnesses()?;
    violations.extend(invariants::violations(&witnesses));
    violations.extend(operator.violations());
    let records = clients.records();
    let mixed = records.iter().filter(|record| record.outcome == Outcome::Mixed).count();
    if mixed > 0 {
        violations.push(format!("MIXED: {mixed} answers bore another request's body"));
    }
    violations.extend(invariants::refused_and_ran(&witnesses, &records));
    write_unserved(&play.folder, &records)?;
    let served = |from: u64| {
        let later = records.iter().filter(move |record| record.at >= from);
        (later.clone().count(), later.filter(|record| record.outcome == Outcome::Served).count())
    };
    let ((asked, all_served), (quiet_asked, quiet_served)) = (served(0), served(quiet_from));
    let mut report = Report {
        form: play.form.name(),
        seed: play.seed,
        seconds: play.seconds,
        troubles: troubles.len(),
        asked,
        served: all_served,
        quiet_asked,
        quiet_served,
        // Endpoints that accept few connections serve what they can.
        least_served: if play.endpoints == Endpoints::Full { 0.0 } else { LEAST_SERVED },
        let_go: invariants::let_go(&witnesses),
        quiet_misdirected: invariants::misdirected(&witnesses, quiet_from),
        violations,
        logs: None,
    };
    report.logs = (!report.passed()).then(|| play.folder.display().to_string());
    Ok(report)
}

/// What the processes themselves counted of violated invariants since they started.
async fn violated_invariants(layout: Layout) -> Vec<String> {
    let cores = (0..CORES).map(|index| layout.core(index));
    let nodes = (0..NODES).map(|index| layout.readiness(index));
    let mut found = Vec::new();
    for address in cores.chain(nodes) {
        let request = Request::own(Method::GET, trackbed::metrics::PATH.into(), &[], Default::default());
        let Ok(answer) = Client::new(address).call(&request, METRICS_LIMIT).await else { continue };
        let text = String::from_utf8_lossy(&answer.body);
        let counted =
            text.lines().filter(|line| !line.starts_with('#') && VIOLATIONS.iter().any(|name| line.contains(name)));
        let violated = counted.filter(|line| !line.ends_with(" 0"));
        found.extend(violated.map(|line| format!("INVARIANT: {address} counted {line}")));
    }
    found
}

/// Writes what was not served beside the logs, one JSON line each.
fn write_unserved(folder: &Path, records: &[Record]) -> Result<(), SoakError> {
    let unserved = records.iter().filter(|record| record.outcome != Outcome::Served);
    let lines: Vec<String> = unserved.filter_map(|record| sonic_rs::to_string(record).ok()).collect();
    let path = folder.join("unserved.jsonl");
    std::fs::write(&path, lines.join("\n")).map_err(|error| SoakError::io(path.display(), &error))
}

/// Waits for the first configuration and for every node's readiness.
async fn wait_until_ready(operator: &Operator, layout: Layout, play: &Play) -> Result<(), SoakError> {
    let logs = play.folder.display().to_string();
    let not_ready = || SoakError::NotReady { seconds: READY_LIMIT.as_secs(), logs: logs.clone() };
    let ready = async {
        operator.configure(1).await;
        for node in 0..NODES {
            let request = Request::own(Method::GET, "/v1/readiness".into(), &[], Default::default());
            let limit = Duration::from_millis(300);
            while !Client::new(layout.readiness(node))
                .call(&request, limit)
                .await
                .is_ok_and(|answer| answer.is_success())
            {
                monoio::time::sleep(LOOK_EVERY).await;
            }
        }
    };
    monoio::time::timeout(READY_LIMIT, ready).await.map_err(|_| not_ready())
}

/// Begins and ends troubles when they are due.
async fn play_troubles(fleet: &mut Fleet, troubles: &[Trouble]) -> Result<(), SoakError> {
    let begun = Instant::now();
    let mut steps: Vec<(u64, bool, &Trouble)> =
        troubles.iter().flat_map(|trouble| [(trouble.from, true, trouble), (trouble.until, false, trouble)]).collect();
    steps.sort_by_key(|(at, begins, _)| (*at, *begins));
    for (at, begins, trouble) in steps {
        let due = begun + Duration::from_millis(at);
        monoio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        match begins {
            true => fleet.begin(trouble),
            false => fleet.end(trouble)?,
        }
    }
    Ok(())
}
