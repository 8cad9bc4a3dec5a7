//! What a fleet uses of the network, the processors and the memory.

use super::REAL_NODES;
use super::fleet::Fleet;
use super::process::Process;
use crate::measure;
use std::collections::BTreeMap;
use std::time::Instant;

/// Measured values by their names, of which the first word is the role they are of.
pub(super) type Values = BTreeMap<&'static str, f64>;

/// Names of the sums over hollow nodes, with the fields that they are read from.
const HOLLOW_FIELDS: [(&str, &str); 5] = [
    ("node datagrams", "datagrams"),
    ("node datagram bytes", "datagram_bytes"),
    ("node calls", "calls"),
    ("node call bytes", "call_bytes"),
    ("node reply bytes", "reply_bytes"),
];

/// Counters of a fleet since its start, summed by role.
pub(super) struct Counters {
    at: Instant,
    values: Values,
}

impl Fleet<'_> {
    /// Reads all counters.
    pub(super) fn counters(&mut self, primary: usize) -> Counters {
        let mut values = Values::new();
        self.add_hollow_counters(&mut values);
        for real in &self.real {
            *values.entry("real processor").or_default() += measure::processor_seconds(real.id());
        }
        for index in 0..self.cores.len() {
            self.add_core_counters(index, index == primary, &mut values);
        }
        Counters { at: Instant::now(), values }
    }

    fn add_hollow_counters(&mut self, values: &mut Values) {
        for process in self.hollow.values_mut() {
            for (name, field) in HOLLOW_FIELDS {
                *values.entry(name).or_default() += process.field(field);
            }
            *values.entry("node processor").or_default() += measure::processor_seconds(process.id());
        }
    }

    fn add_core_counters(&self, index: usize, is_primary: bool, values: &mut Values) {
        let text = self.fleet_view(index).unwrap_or_default();
        let sent = |field: &str| measure::number(&text, field).unwrap_or(0.0);
        let bytes = sent("datagram_bytes_sent") + sent("call_bytes_sent");
        let messages = sent("datagrams_sent") + sent("calls_sent");
        let (bytes_name, messages_name, processor_name) = match is_primary {
            true => ("primary bytes", "primary messages", "primary processor"),
            false => ("follower bytes", "follower messages", "follower processor"),
        };
        *values.entry(bytes_name).or_default() += bytes;
        *values.entry(messages_name).or_default() += messages;
        *values.entry(processor_name).or_default() += measure::processor_seconds(self.cores[index].id());
    }

    /// The use since `before`, per second and node of each role.
    pub(super) fn usage_since(&mut self, before: &Counters, primary: usize) -> Values {
        let now = self.counters(primary);
        let seconds = now.at.duration_since(before.at).as_secs_f64();
        let hollow_nodes = self.hollow_nodes();
        let nodes_of_role = |name: &str| match name.split(' ').next() {
            Some("node") => hollow_nodes,
            Some("real") => REAL_NODES as f64,
            Some("follower") => (self.plan.cores - 1) as f64,
            _ => 1.0,
        };
        let each = |(name, value): (&&'static str, &f64)| {
            let before = before.values.get(name).copied().unwrap_or(0.0);
            (*name, (value - before) / nodes_of_role(name).max(1.0) / seconds)
        };
        now.values.iter().map(each).collect()
    }

    /// Adds the resident memory per node of each role, in KiB.
    pub(super) fn add_memory(&self, primary: usize, values: &mut Values) {
        let kb = |process: &Process| measure::resident_kb(process.id()) as f64;
        let hollow: f64 = self.hollow.values().map(kb).sum();
        let real: f64 = self.real.iter().map(kb).sum();
        let others = self.cores.iter().enumerate().filter(|(index, _)| *index != primary);
        let followers: f64 = others.map(|(_, core)| kb(core)).sum();
        values.insert("node memory kb", hollow / self.size as f64);
        values.insert("real memory kb", real / REAL_NODES as f64);
        values.insert("primary memory kb", kb(&self.cores[primary]));
        values.insert("follower memory kb", followers / (self.plan.cores - 1) as f64);
    }
}
