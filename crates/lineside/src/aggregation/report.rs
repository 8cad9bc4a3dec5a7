//! What every node shows: made once by the primary, and the same wherever it is read.

use super::messages::WindowId;
use super::reservations::Reservations;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::logs::escape;

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ClientLine {
    pub name: String,
    /// The estimate, and between which bounds the true count is.
    pub requests: u64,
    pub at_least: u64,
    pub at_most: u64,
    /// Its count can't be told from a neighbour's in rank.
    pub is_rank_unsure: bool,
}

/// Invariant: never changed once made; two of one number are the same.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Report {
    /// The newest window in it.
    pub id: WindowId,
    /// How many windows it spans, and how long one is.
    pub windows: u32,
    pub window_millis: u32,
    /// Nodes counted in the newest window, and in the one with the fewest; of how many that are there.
    pub nodes: u32,
    pub nodes_least: u32,
    pub of: u32,
    /// All tries of all clients, and by how much one client's count may be off.
    pub requests: u64,
    pub error: u64,
    pub clients: Vec<ClientLine>,
    /// Room kept for urgent routes while this report is fresh.
    pub reservations: Reservations,
}

/// A report on its way, and how long ago it was made.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ReportTold {
    pub report: Rc<Report>,
    pub age_millis: u64,
}

/// A report as a node holds it.
#[derive(Clone, Debug)]
pub struct Shown {
    pub told: ReportTold,
    came: Moment,
}

/// Reports in a row that may fail to come before the last counts as stale.
const MISSED: u32 = 4;

impl Shown {
    pub fn of(told: ReportTold, now: Moment) -> Self {
        Self { told, came: now }
    }

    pub fn age(&self, now: Moment) -> Duration {
        Duration::from_millis(self.told.age_millis) + now.since(self.came)
    }

    pub fn is_stale(&self, now: Moment) -> bool {
        self.age(now) > Duration::from_millis(self.told.report.window_millis as u64) * MISSED
    }

    pub fn told_at(&self, now: Moment) -> ReportTold {
        ReportTold { report: self.told.report.clone(), age_millis: self.age(now).as_millis() as u64 }
    }

    /// The reservations in force: none once the report is stale.
    pub fn reservations(&self, now: Moment) -> Option<&Reservations> {
        Some(&self.told.report.reservations).filter(|_| !self.is_stale(now))
    }
}

impl Report {
    /// What all nodes show alike.
    fn list(&self) -> String {
        let line = |client: &ClientLine| {
            format!(
                "{{\"client\":\"{}\",\"requests\":{},\"at_least\":{},\"at_most\":{},\"rank_unsure\":{}}}",
                escape(&client.name),
                client.requests,
                client.at_least,
                client.at_most,
                client.is_rank_unsure
            )
        };
        let lines: Vec<String> = self.clients.iter().map(line).collect();
        format!(
            "{{\"span_s\":{:.1},\"nodes_counted\":{},\"nodes_counted_least\":{},\"nodes\":{},\"requests\":{},\"error\":{},\"top\":[{}]}}",
            (self.windows * self.window_millis) as f64 / 1000.0,
            self.nodes,
            self.nodes_least,
            self.of,
            self.requests,
            self.error,
            lines.join(",")
        )
    }
}

/// A node's answer to `GET /v1/clients`. `sealing`: whether anybody seals new windows, as far as is known here.
pub fn shown_json(shown: Option<&Shown>, sealing: bool, now: Moment) -> String {
    let Some(shown) = shown else {
        return format!("{{\"report\":null,\"stale\":true,\"sealing\":{sealing},\"clients\":null}}");
    };
    format!(
        "{{\"report\":\"{}\",\"age_s\":{:.1},\"stale\":{},\"sealing\":{sealing},\"clients\":{}}}",
        shown.told.report.id,
        shown.age(now).as_secs_f64(),
        shown.is_stale(now),
        shown.told.report.list()
    )
}

/// Who entered the top and who left it, as lines for the log.
pub fn client_changes(before: Option<&Report>, after: &Report) -> Vec<String> {
    fn names(report: &Report) -> BTreeSet<&str> {
        report.clients.iter().map(|client| client.name.as_str()).collect()
    }
    let (old, new) = (before.map(names).unwrap_or_default(), names(after));
    let entered = new.difference(&old).map(|name| format!("client {} is among the top", escape(name)));
    let left = old.difference(&new).map(|name| format!("client {} is no longer among the top", escape(name)));
    entered.chain(left).collect()
}
