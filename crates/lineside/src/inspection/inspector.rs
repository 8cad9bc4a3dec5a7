//! The judge: a pure state machine over reports and time.

use super::messages::{DriftRecord, RoutesReport, Verdict};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use timetable::configuration::EntryDrift;
use trackbed::clock::Moment;
use trackbed::ids::{ConfigEpoch, NodeName};

/// Tables remembered, so that an older one with other contents is not taken for right.
const REMEMBERED: usize = 32;

#[derive(Clone, Copy, Debug)]
pub struct InspectorTiming {
    /// Within which a new table has to be in force everywhere.
    pub apply: Duration,
    /// After which a proxy that tells nothing counts as unheard.
    pub fresh: Duration,
    /// After which a proxy that is gone is forgotten.
    pub memory: Duration,
}

#[derive(Clone, Debug)]
struct Drift {
    life: u64,
    epoch: ConfigEpoch,
    root: u64,
    last_right: Option<Moment>,
    first_wrong: Moment,
    entries: Vec<EntryDrift>,
    /// The proxy was asked what differs, when last.
    asked: Option<Moment>,
}

#[derive(Clone, Debug)]
struct Proxy {
    report: RoutesReport,
    at: Moment,
    last_right: Option<Moment>,
    /// Invariant: only of the life that told last.
    drift: Option<Drift>,
}

/// What a drifted proxy is to be asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Want {
    pub node: NodeName,
    pub address: SocketAddr,
    pub epoch: ConfigEpoch,
    pub root: u64,
}

/// One proxy's line in the inspection.
#[derive(Clone, Debug)]
pub struct Inspection {
    pub node: NodeName,
    pub life: u64,
    pub verdict: Verdict,
    pub epoch: ConfigEpoch,
    /// When it was last heard of, and last seen right.
    pub heard: Option<Moment>,
    pub last_right: Option<Moment>,
    pub first_wrong: Option<Moment>,
    pub entries: Vec<EntryDrift>,
}

/// Invariant: a verdict rests on reports alone; whoever told nothing is unheard, and never in step.
pub struct Inspector {
    timing: InspectorTiming,
    /// What each epoch's table comes to, and since when it is in force. Invariant: epochs rise.
    meant: VecDeque<(ConfigEpoch, u64, Moment)>,
    proxies: BTreeMap<NodeName, Proxy>,
    /// Drifts that another core node knew of, for proxies that have told nothing here yet.
    inherited: BTreeMap<NodeName, Drift>,
    news: Vec<String>,
}

impl Inspector {
    pub fn new(timing: InspectorTiming) -> Self {
        Self { timing, meant: VecDeque::new(), proxies: BTreeMap::new(), inherited: BTreeMap::new(), news: Vec::new() }
    }

    /// A table was committed.
    pub fn adopt(&mut self, epoch: ConfigEpoch, root: u64, now: Moment) {
        if self.meant.back().is_some_and(|(last, ..)| *last >= epoch) {
            return;
        }
        self.meant.push_back((epoch, root, now));
        if self.meant.len() > REMEMBERED {
            self.meant.pop_front();
        }
    }

    fn meant_of(&self, epoch: ConfigEpoch) -> Option<u64> {
        self.meant.iter().find(|(known, ..)| *known == epoch).map(|(_, root, _)| *root)
    }

    /// Whether a report tells of other contents than were meant; `None` where that is not known.
    pub fn is_drift(&self, report: &RoutesReport) -> Option<bool> {
        self.meant_of(report.epoch).map(|root| root != report.root)
    }

    /// Takes a report that was made at `at`.
    pub fn take(&mut self, report: RoutesReport, at: Moment) {
        let wrong = self.is_drift(&report);
        let known = self.proxies.get(&report.node);
        if known.is_some_and(|known| known.at >= at) {
            return;
        }
        let same_life = known.filter(|known| known.report.life == report.life);
        let inherited = self.inherited.remove(&report.node).filter(|drift| drift.life == report.life);
        let mut last_right = same_life.and_then(|known| known.last_right);
        last_right = last_right.or(inherited.as_ref().and_then(|drift| drift.last_right));
        let mut drift = same_life.and_then(|known| known.drift.clone()).or(inherited);
        match wrong {
            Some(true) => {
                let changed =
                    drift.as_ref().is_none_or(|drift| drift.root != report.root || drift.epoch != report.epoch);
                if drift.is_none() {
                    self.news.push(format!("routes of {} drifted from {}", report.node, report.epoch));
                }
                let first_wrong = drift.as_ref().map(|drift| drift.first_wrong).unwrap_or(at);
                if changed {
                    drift = Some(Drift {
                        life: report.life,
                        epoch: report.epoch,
                        root: report.root,
                        last_right,
                        first_wrong,
                        entries: drift.map(|drift| drift.entries).unwrap_or_default(),
                        asked: None,
                    });
                }
            }
            Some(false) => {
                last_right = Some(at);
                if drift.take().is_some() {
                    self.news.push(format!("routes of {} are in step again", report.node));
                }
            }
            None => {}
        }
        self.proxies.insert(report.node.clone(), Proxy { report, at, last_right, drift });
    }

    /// What those told last that were heard of late.
    pub fn fresh(&self, now: Moment) -> impl Iterator<Item = &RoutesReport> {
        let fresh = self.timing.fresh;
        self.proxies.values().filter(move |proxy| now.since(proxy.at) <= fresh).map(|proxy| &proxy.report)
    }

    /// Who is to be asked what differs.
    pub fn wants(&mut self, now: Moment) -> Vec<Want> {
        let mut wants = Vec::new();
        for proxy in self.proxies.values_mut() {
            let Some(drift) = &mut proxy.drift else { continue };
            let due =
                drift.asked.is_none_or(|asked| now.since(asked) > Duration::from_secs(2) && drift.entries.is_empty());
            if due {
                drift.asked = Some(now);
                let RoutesReport { node, address, .. } = proxy.report.clone();
                wants.push(Want { node, address, epoch: drift.epoch, root: drift.root });
            }
        }
        wants
    }

    /// What a drifted proxy said of its table.
    pub fn detailed(&mut self, node: &NodeName, root: u64, entries: Vec<EntryDrift>) {
        let drift = self.proxies.get_mut(node).and_then(|proxy| proxy.drift.as_mut());
        if let Some(drift) = drift.filter(|drift| drift.root == root) {
            let places: Vec<&str> = entries.iter().map(|entry| entry.place.as_str()).collect();
            self.news.push(format!("routes of {node} that drifted: {}", places.join(", ")));
            drift.entries = entries;
        }
    }

    /// What is to be logged since the last time.
    pub fn news(&mut self) -> Vec<String> {
        std::mem::take(&mut self.news)
    }

    fn verdict(&self, proxy: &Proxy, now: Moment) -> Verdict {
        if now.since(proxy.at) > self.timing.fresh {
            return Verdict::Unheard;
        }
        if proxy.drift.is_some() {
            return Verdict::Drifted;
        }
        let epoch = proxy.report.epoch;
        match self.meant.iter().find(|(known, ..)| *known > epoch) {
            None if self.meant.back().is_some_and(|(newest, ..)| *newest == epoch) => Verdict::InStep,
            None => Verdict::Unknown,
            // What it told counts as of when it told it, and the first newer epoch is the one it has missed.
            Some((_, _, since)) if proxy.at <= *since + self.timing.apply => Verdict::OnItsWay,
            Some(_) => Verdict::Late,
        }
    }

    /// One line for each proxy that there is, by the roster or by its own word.
    pub fn inspect(&self, expected: &[NodeName], now: Moment) -> Vec<Inspection> {
        let mut lines: BTreeMap<&NodeName, Inspection> = BTreeMap::new();
        for (node, proxy) in &self.proxies {
            let verdict = self.verdict(proxy, now);
            let drift = proxy.drift.as_ref();
            lines.insert(
                node,
                Inspection {
                    node: node.clone(),
                    life: proxy.report.life,
                    verdict,
                    epoch: proxy.report.epoch,
                    heard: Some(proxy.at),
                    last_right: drift.map(|drift| drift.last_right).unwrap_or(proxy.last_right),
                    first_wrong: drift.map(|drift| drift.first_wrong),
                    entries: drift.map(|drift| drift.entries.clone()).unwrap_or_default(),
                },
            );
        }
        for node in expected {
            lines.entry(node).or_insert_with(|| {
                let drift = self.inherited.get(node);
                Inspection {
                    node: node.clone(),
                    life: drift.map(|drift| drift.life).unwrap_or_default(),
                    verdict: Verdict::Unheard,
                    epoch: drift.map(|drift| drift.epoch).unwrap_or_default(),
                    heard: None,
                    last_right: drift.and_then(|drift| drift.last_right),
                    first_wrong: drift.map(|drift| drift.first_wrong),
                    entries: drift.map(|drift| drift.entries.clone()).unwrap_or_default(),
                }
            });
        }
        lines.into_values().collect()
    }

    /// The drifts known here, for whoever may have to judge next.
    pub fn hand_over(&self, now: Moment) -> Vec<DriftRecord> {
        let own = self.proxies.iter().filter_map(|(node, proxy)| Some((node, proxy.drift.as_ref()?)));
        let ago = |at: Moment| now.since(at).as_millis() as u64;
        own.chain(self.inherited.iter())
            .map(|(node, drift)| DriftRecord {
                node: node.clone(),
                life: drift.life,
                epoch: drift.epoch,
                root: drift.root,
                last_right_ago_millis: drift.last_right.map(ago),
                first_wrong_ago_millis: ago(drift.first_wrong),
                entries: drift.entries.clone(),
            })
            .collect()
    }

    /// What the judge knows, at a node that may have to judge next.
    pub fn inherit(&mut self, records: Vec<DriftRecord>, now: Moment) {
        let back = |millis: u64| Moment::from_micros(now.micros().saturating_sub(millis * 1000));
        self.inherited = records
            .into_iter()
            .map(|record| {
                let drift = Drift {
                    life: record.life,
                    epoch: record.epoch,
                    root: record.root,
                    last_right: record.last_right_ago_millis.map(back),
                    first_wrong: back(record.first_wrong_ago_millis),
                    entries: record.entries,
                    asked: None,
                };
                (record.node, drift)
            })
            .collect();
    }

    /// Forgets those that neither tell anything nor stand on the roster.
    pub fn tidy(&mut self, expected: &[NodeName], now: Moment) {
        let memory = self.timing.memory;
        self.proxies.retain(|node, proxy| expected.contains(node) || now.since(proxy.at) < memory);
        self.inherited.retain(|node, _| expected.contains(node));
    }
}
