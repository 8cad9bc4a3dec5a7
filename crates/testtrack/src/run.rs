//! One scale run: sizes in turn, phases in turn, everything counted and everything ended.

use crate::error::TrackError;
use crate::{hollow, layout, measure};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Processes that the hollow nodes are split over, at least: one of them is a tenth.
const PROCESSES: usize = 10;
/// Nodes with a process of their own.
const REAL: usize = 2;
const MOST_PROCESSES: usize = 200;
/// What one hollow node may take, for the check beforehand.
const KB_A_NODE: u64 = 4096;
const DESCRIPTORS_A_NODE: u64 = 24;
const START_LIMIT: Duration = Duration::from_secs(90);
const PHASE_LIMIT: Duration = Duration::from_secs(60);
const REST: Duration = Duration::from_secs(15);
/// Counts settle for so long before a phase is measured.
const SETTLE: Duration = Duration::from_secs(6);

#[derive(Debug)]
pub struct Plan {
    pub sizes: Vec<usize>,
    pub cores: usize,
    pub programs: PathBuf,
    pub out: PathBuf,
}

impl Plan {
    pub fn read(
        sizes: Option<&str>,
        cores: Option<&str>,
        programs: Option<PathBuf>,
        out: Option<PathBuf>,
    ) -> Result<Self, TrackError> {
        let wrong = |option, wanted| TrackError::Option { option, wanted };
        let wanted = "four or more numbers, each at least double the one before, like 40,80,160,320";
        let sizes: Option<Vec<usize>> =
            sizes.unwrap_or("40,80,160,320,640").split(',').map(|size| size.trim().parse().ok()).collect();
        let doubles = |sizes: &Vec<usize>| sizes.windows(2).all(|pair| pair[1] >= pair[0] * 2);
        let sizes = sizes.filter(|sizes| sizes.len() >= 4 && sizes[0] >= PROCESSES && doubles(sizes));
        let sizes = sizes.ok_or_else(|| wrong("sizes", wanted))?;
        let cores = cores.unwrap_or("5").parse().ok().filter(|cores| (3..=40).contains(cores));
        let cores = cores.ok_or_else(|| wrong("cores", "a number from 3 to 40"))?;
        let here = std::env::current_exe().ok().and_then(|path| path.parent().map(Path::to_path_buf));
        let programs = programs.or(here).ok_or_else(|| wrong("programs", "a folder"))?;
        let out = out.ok_or_else(|| wrong("out", "a file for the counts"))?;
        Ok(Self { sizes, cores, programs, out })
    }
}

/// What must hold before anything is started.
pub fn check(plan: &Plan) -> Result<(), TrackError> {
    for program in ["signalbox", "pointsman", "testtrack"] {
        if !plan.programs.join(program).is_file() {
            return Err(TrackError::NoProgram { program: plan.programs.join(program).display().to_string() });
        }
    }
    let most = plan.sizes.iter().copied().max().unwrap_or(0);
    let (wanted, there) =
        (most.div_ceil(processes(most)) as u64 * DESCRIPTORS_A_NODE + 200, measure::descriptors_allowed());
    if wanted > there {
        return Err(TrackError::Descriptors { wanted, there });
    }
    let (wanted_mb, there_mb) = (most as u64 * KB_A_NODE / 1024 + 500, measure::memory_kb() / 2048);
    if wanted_mb > there_mb || processes(most) + plan.cores + REAL > MOST_PROCESSES {
        return Err(TrackError::Memory { wanted_mb, there_mb });
    }
    Ok(())
}

fn processes(size: usize) -> usize {
    size.div_ceil(layout::IN_A_PROCESS).max(PROCESSES)
}

/// A process of this run. Invariant: ends with it.
struct Started {
    child: Child,
    lines: Option<Receiver<String>>,
    last: String,
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Started {
    fn begin(mut command: Command, tells: bool, log: &Path) -> Result<Self, TrackError> {
        let io = |error: std::io::Error| TrackError::Io { place: log.display().to_string(), reason: error.to_string() };
        let file = fs::File::create(log).map_err(io)?;
        command.stdin(Stdio::null()).stderr(file.try_clone().map_err(io)?);
        command.stdout(if tells { Stdio::piped() } else { Stdio::from(file) });
        let mut child = command.spawn().map_err(io)?;
        let lines = child.stdout.take().map(|stdout| {
            let (sender, receiver) = channel();
            std::thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    if sender.send(line).is_err() {
                        return;
                    }
                }
            });
            receiver
        });
        Ok(Self { child, lines, last: String::new() })
    }

    fn pid(&self) -> u32 {
        self.child.id()
    }

    fn field(&mut self, name: &str) -> f64 {
        if let Some(line) =
            self.lines.iter().flat_map(|lines| lines.try_iter()).filter(|line| line.starts_with("{\"nodes\"")).last()
        {
            self.last = line;
        }
        measure::number(&self.last, name).unwrap_or(0.0)
    }
}

/// What was counted so far, by what it is of.
#[derive(Clone, Default)]
struct Counts {
    at: Option<Instant>,
    values: BTreeMap<&'static str, f64>,
}

struct Fleet<'a> {
    plan: &'a Plan,
    run: u32,
    size: usize,
    folder: PathBuf,
    cores: Vec<Started>,
    hollow: BTreeMap<usize, Started>,
    real: Vec<Started>,
    version: u64,
}

impl Fleet<'_> {
    fn write(&self, name: &str, text: String) -> Result<PathBuf, TrackError> {
        let path = self.folder.join(name);
        let io =
            |error: std::io::Error| TrackError::Io { place: path.display().to_string(), reason: error.to_string() };
        fs::write(&path, text).map_err(io)?;
        Ok(path.clone())
    }

    fn begin_core(&mut self, index: usize) -> Result<(), TrackError> {
        let data = self.folder.join(format!("data-{index}"));
        let _ = fs::create_dir_all(&data);
        let settings = layout::core_settings(self.run, self.plan.cores, index, &data.display().to_string());
        let path = self.write(&format!("core-{index}.json"), settings)?;
        let mut command = Command::new(self.plan.programs.join("signalbox"));
        command.arg(path);
        self.cores.push(Started::begin(command, false, &self.folder.join(format!("core-{index}.log")))?);
        Ok(())
    }

    fn begin_hollow(&mut self, process: usize) -> Result<(), TrackError> {
        let mut command = Command::new(self.plan.programs.join("testtrack"));
        command.arg("hollow").arg(&self.folder).arg(process.to_string());
        let started = Started::begin(command, true, &self.folder.join(format!("hollow-{process}.log")))?;
        self.hollow.insert(process, started);
        Ok(())
    }

    fn begin(&mut self) -> Result<(), TrackError> {
        for index in 0..self.plan.cores {
            self.begin_core(index)?;
        }
        let processes = processes(self.size);
        let mut places = vec![0; processes];
        for index in 0..self.size {
            let process = index % processes;
            let settings = layout::node_settings(self.run, self.plan.cores, index, process);
            let path = hollow::settings_path(&self.folder, process, places[process]);
            places[process] += 1;
            let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            self.write(&name, settings)?;
        }
        for process in 0..processes {
            self.begin_hollow(process)?;
        }
        for index in self.size..self.size + REAL {
            let settings = layout::node_settings(self.run, self.plan.cores, index, index - self.size);
            let path = self.write(&format!("real-{index}.json"), settings)?;
            let mut command = Command::new(self.plan.programs.join("pointsman"));
            command.arg(path);
            self.real.push(Started::begin(command, false, &self.folder.join(format!("real-{index}.log")))?);
        }
        Ok(())
    }

    fn wait(
        &mut self,
        phase: &'static str,
        limit: Duration,
        mut over: impl FnMut(&mut Self) -> bool,
    ) -> Result<f64, TrackError> {
        let begun = Instant::now();
        while !over(self) {
            if begun.elapsed() > limit {
                let logs = self.folder.display().to_string();
                return Err(TrackError::Unfinished { phase, seconds: limit.as_secs(), logs });
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        Ok(begun.elapsed().as_secs_f64())
    }

    fn all(&mut self, holds: impl Fn(&mut Started) -> bool) -> bool {
        self.hollow.values_mut().all(holds)
    }

    /// Whether everybody knows everybody, all endpoints, and the newest configuration.
    fn in_step(&mut self) -> bool {
        let there: f64 = self.hollow.values_mut().map(|process| process.field("nodes")).sum();
        let peers = there + (REAL + self.cores.len()) as f64 - 1.0;
        let version = self.version as f64;
        self.all(|process| {
            process.field("nodes") > 0.0
                && process.field("assured") == process.field("nodes")
                && process.field("configuration") >= version
                && process.field("endpoints") >= there
                && process.field("peers") >= peers
        })
    }

    fn order(&mut self, body: impl Fn(u64) -> String, method: &str) -> bool {
        let matched = if self.version == 0 { "0".to_owned() } else { format!("r{}", self.version) };
        let next = self.version + 1;
        for index in 0..self.plan.cores {
            let address: SocketAddr = layout::control_plane(self.run, index);
            let answer = measure::http(address, method, "/v1/configuration", Some(&matched), &body(next));
            if answer.is_some_and(|(status, _)| status == 200) {
                self.version = next;
                return true;
            }
        }
        false
    }

    fn primary(&self) -> Option<usize> {
        let view = |index: usize| measure::http(layout::control_plane(self.run, index), "GET", "/v1/fleet", None, "");
        let text = (0..self.plan.cores).find_map(view)?.1;
        let address: SocketAddr = measure::text_of(&text, "primary")?.parse().ok()?;
        (0..self.plan.cores).find(|index| layout::control_plane(self.run, *index).ip() == address.ip())
    }

    fn counts(&mut self, primary: usize) -> Counts {
        let mut values: BTreeMap<&'static str, f64> = BTreeMap::new();
        for process in self.hollow.values_mut() {
            for (name, field) in [
                ("node datagrams", "datagrams"),
                ("node datagram bytes", "datagram_bytes"),
                ("node calls", "calls"),
                ("node call bytes", "call_bytes"),
                ("node reply bytes", "reply_bytes"),
            ] {
                *values.entry(name).or_default() += process.field(field);
            }
            *values.entry("node processor").or_default() += measure::processor_seconds(process.pid());
        }
        for real in &self.real {
            *values.entry("real processor").or_default() += measure::processor_seconds(real.pid());
        }
        for (index, core) in self.cores.iter().enumerate() {
            let view = measure::http(layout::control_plane(self.run, index), "GET", "/v1/fleet", None, "");
            let text = view.map(|(_, text)| text).unwrap_or_default();
            let sent = |field: &str| measure::number(&text, field).unwrap_or(0.0);
            let bytes = sent("datagram_bytes_sent") + sent("call_bytes_sent");
            let messages = sent("datagrams_sent") + sent("calls_sent");
            let (bytes_name, messages_name, processor_name) = match index == primary {
                true => ("primary bytes", "primary messages", "primary processor"),
                false => ("follower bytes", "follower messages", "follower processor"),
            };
            *values.entry(bytes_name).or_default() += bytes;
            *values.entry(messages_name).or_default() += messages;
            *values.entry(processor_name).or_default() += measure::processor_seconds(core.pid());
        }
        Counts { at: Some(Instant::now()), values }
    }

    /// What a span cost, per node of each role and second.
    fn since(&mut self, before: &Counts, primary: usize) -> BTreeMap<&'static str, f64> {
        let now = self.counts(primary);
        let seconds = match (before.at, now.at) {
            (Some(before), Some(now)) => now.duration_since(before).as_secs_f64(),
            _ => 1.0,
        };
        let nodes = self.hollow.values_mut().map(|process| process.field("nodes")).sum::<f64>();
        let of = |name: &str| match name.split(' ').next() {
            Some("node") => nodes,
            Some("real") => REAL as f64,
            Some("follower") => (self.plan.cores - 1) as f64,
            _ => 1.0,
        };
        let each = |(name, value): (&&'static str, &f64)| {
            let before = before.values.get(name).copied().unwrap_or(0.0);
            (*name, (value - before) / of(name).max(1.0) / seconds)
        };
        now.values.iter().map(each).collect()
    }

    fn resident(&mut self, primary: usize, values: &mut BTreeMap<&'static str, f64>) {
        let kb = |started: &Started| measure::resident_kb(started.pid()) as f64;
        let hollow: f64 = self.hollow.values().map(kb).sum();
        values.insert("node memory kb", hollow / self.size as f64);
        values.insert("real memory kb", self.real.iter().map(kb).sum::<f64>() / REAL as f64);
        values.insert("primary memory kb", kb(&self.cores[primary]));
        let others = self.cores.iter().enumerate().filter(|(index, _)| *index != primary);
        values
            .insert("follower memory kb", others.map(|(_, core)| kb(core)).sum::<f64>() / (self.plan.cores - 1) as f64);
    }
}

fn line(phase: &str, seconds: Option<f64>, values: &BTreeMap<&'static str, f64>) -> String {
    let mut text = format!("\"{phase}\":{{");
    let mut comma = "";
    if let Some(seconds) = seconds {
        let _ = write!(text, "\"seconds\":{seconds:.3}");
        comma = ",";
    }
    for (name, value) in values {
        let _ = write!(text, "{comma}\"{name}\":{value:.6}");
        comma = ",";
    }
    text.push('}');
    text
}

fn one_size(plan: &Plan, run: u32, size: usize) -> Result<String, TrackError> {
    let folder = std::env::temp_dir().join(format!("testtrack-{}-{size}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let io = |error: std::io::Error| TrackError::Io { place: folder.display().to_string(), reason: error.to_string() };
    fs::create_dir_all(&folder).map_err(io)?;
    let mut fleet = Fleet {
        plan,
        run,
        size,
        folder: folder.clone(),
        cores: Vec::new(),
        hollow: BTreeMap::new(),
        real: Vec::new(),
        version: 0,
    };
    let begun = Instant::now();
    fleet.begin()?;
    fleet.wait("the first configuration", START_LIMIT, |fleet| {
        fleet.order(|version| layout::configuration(version, size, 4.0), "PUT")
    })?;
    fleet.wait("the start", START_LIMIT, Fleet::in_step)?;
    let started = begun.elapsed().as_secs_f64();
    fleet.wait("the first report", START_LIMIT, |fleet| {
        fleet.all(|process| process.field("reports") == process.field("nodes"))
    })?;
    std::thread::sleep(SETTLE);
    let primary = fleet.primary().unwrap_or(0);
    let mut phases = Vec::new();

    let before = fleet.counts(primary);
    std::thread::sleep(REST);
    let mut rest = fleet.since(&before, primary);
    fleet.resident(primary, &mut rest);
    phases.push(line("rest", None, &rest));

    let before = fleet.counts(primary);
    fleet.wait("a change", PHASE_LIMIT, |fleet| fleet.order(|version| layout::patch(version, 3.5), "PATCH"))?;
    let seconds = fleet.wait("a change everywhere", PHASE_LIMIT, Fleet::in_step)?;
    phases.push(line("change", Some(seconds), &fleet.since(&before, primary)));

    std::thread::sleep(SETTLE);
    let before = fleet.counts(primary);
    let gone = fleet.hollow.remove(&0);
    drop(gone);
    let begun = Instant::now();
    fleet.begin_hollow(0)?;
    fleet.wait("a tenth to be back", PHASE_LIMIT, |fleet| {
        fleet.hollow.get_mut(&0).is_some_and(|process| process.field("nodes") > 0.0) && fleet.in_step()
    })?;
    let seconds = begun.elapsed().as_secs_f64();
    phases.push(line("restart", Some(seconds), &fleet.since(&before, primary)));

    std::thread::sleep(SETTLE);
    let before = fleet.counts(primary);
    let zone = layout::ZONES - 1;
    let zone: Vec<usize> = fleet.hollow.keys().copied().filter(|process| process % layout::ZONES == zone).collect();
    zone.iter().for_each(|process| drop(fleet.hollow.remove(process)));
    let left: f64 = fleet.hollow.values_mut().map(|process| process.field("nodes")).sum();
    let peers = left + (REAL + plan.cores) as f64 - 1.0;
    let seconds = fleet.wait("a lost zone to be known to all", PHASE_LIMIT, |fleet| {
        fleet.all(|process| process.field("peers_most") <= peers)
    })?;
    phases.push(line("zone", Some(seconds), &fleet.since(&before, primary)));

    std::thread::sleep(SETTLE);
    let _ = fleet.cores[primary].child.kill();
    let begun = Instant::now();
    fleet.wait("another primary", PHASE_LIMIT, |fleet| fleet.order(|version| layout::patch(version, 3.0), "PATCH"))?;
    let ordered = begun.elapsed().as_secs_f64();
    let version = fleet.version as f64;
    fleet.wait("its change everywhere", PHASE_LIMIT, |fleet| {
        fleet.all(|process| process.field("configuration") >= version)
    })?;
    let values = [("ordered after", ordered)].into();
    phases.push(line("primary", Some(begun.elapsed().as_secs_f64()), &values));

    drop(fleet);
    let _ = fs::remove_dir_all(&folder);
    Ok(format!(
        "{{\"size\":{size},\"cores\":{},\"services\":{},\"start\":{{\"seconds\":{started:.3}}},{}}}",
        plan.cores,
        layout::services(size),
        phases.join(",")
    ))
}

pub fn run(plan: &Plan) -> Result<(), TrackError> {
    let io =
        |error: std::io::Error| TrackError::Io { place: plan.out.display().to_string(), reason: error.to_string() };
    let mut out = fs::File::create(&plan.out).map_err(io)?;
    for (place, size) in plan.sizes.iter().enumerate() {
        let run = std::process::id().wrapping_add(place as u32);
        let line = one_size(plan, run, *size)?;
        eprintln!("testtrack: {size} nodes counted");
        writeln!(out, "{line}").map_err(io)?;
    }
    Ok(())
}
