//! Whether every proxy's routes are those meant for it: heard at any core node, judged by the primary.

use super::{Signalbox, primary};
use lineside::call::{Ask, Reply};
use lineside::gossip::{Role, Standing};
use lineside::inspection::{Inspection, RoutesReport, Want};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::entry_drifts;
use trackbed::clock::{self, Moment};
use trackbed::ids::NodeName;
use trackbed::logs::escape;

const EVERY: Duration = Duration::from_secs(1);
const ASK_LIMIT: Duration = Duration::from_millis(600);

/// A table was committed: it is what proxies are held against from now on.
pub fn adopt(node: &Signalbox) {
    let digest = node.committed.borrow().fleet.routes().map(|routes| routes.digest());
    if let Some(digest) = digest {
        node.inspector.borrow_mut().adopt(digest.epoch, digest.root(), clock::now());
        *node.meant.borrow_mut() = Some(digest);
    }
}

/// Takes the report that a proxy made of its own routes.
pub fn receive_report(node: &Signalbox, report: RoutesReport) -> Reply {
    // Whoever tells is told whether a majority stands behind this node.
    let backed = {
        let zab = node.zab.borrow();
        zab.primary().is_some() && (!zab.is_primary() || primary::lease_holds(node))
    };
    let now = clock::now();
    let mut inspector = node.inspector.borrow_mut();
    let wrong = inspector.is_drift(&report) == Some(true);
    inspector.take(report.clone(), now);
    if !node.zab.borrow().is_primary() {
        node.reports.borrow_mut().push((report, now));
    }
    match (backed, wrong) {
        (false, _) => Reply::NotNow("no majority stands behind this node".into()),
        (_, true) => Reply::OutOfStep,
        _ => Reply::Done,
    }
}

/// Takes the reports that another core node received and forwards to the primary.
pub fn receive_forwarded_reports(node: &Signalbox, reports: Vec<(RoutesReport, u32)>) -> Reply {
    let now = clock::now();
    let mut inspector = node.inspector.borrow_mut();
    for (report, ago) in reports {
        inspector.take(report, Moment::from_micros(now.micros().saturating_sub(ago as u64 * 1000)));
    }
    Reply::Drifts(inspector.hand_over(now))
}

fn proxies(node: &Signalbox) -> Vec<NodeName> {
    let roster = node.roster.borrow();
    let there = roster.cards().filter(|card| card.peer.role != Role::Core && card.standing < Standing::Leaving);
    there.map(|card| card.peer.name.clone()).collect()
}

pub async fn keep(node: Rc<Signalbox>) {
    loop {
        monoio::time::sleep(EVERY).await;
        let now = clock::now();
        let (primary, own) = {
            let zab = node.zab.borrow();
            (zab.primary(), zab.me().id)
        };
        let Some(primary) = primary else { continue };
        if primary.id != own {
            let reports = std::mem::take(&mut *node.reports.borrow_mut());
            let age = |at: Moment| now.since(at).as_millis() as u32;
            let reports: Vec<_> = reports.into_iter().map(|(report, at)| (report, age(at))).collect();
            if let Ok(Reply::Drifts(records)) =
                node.caller.call(primary.address, Ask::RoutesHeard(reports), ASK_LIMIT).await
            {
                let mut inspector = node.inspector.borrow_mut();
                inspector.inherit(records, now);
                inspector.news();
            }
            continue;
        }
        if !primary::lease_holds(&node) {
            continue;
        }
        let wants = {
            let mut inspector = node.inspector.borrow_mut();
            inspector.tidy(&proxies(&node), now);
            for line in inspector.news() {
                log::warn!("{line}");
            }
            inspector.wants(now)
        };
        for want in wants {
            monoio::spawn(ask_what_differs(node.clone(), want));
        }
    }
}

async fn ask_what_differs(node: Rc<Signalbox>, want: Want) {
    let meant = node.meant.borrow().clone().filter(|meant| meant.epoch == want.epoch);
    let Some(meant) = meant else { return };
    let ask = Ask::RoutesDetail { root: want.root, leaves: meant.leaves.clone() };
    let Ok(Reply::RoutesDetail(found)) = node.caller.call_for_much(want.address, ask, ASK_LIMIT).await else { return };
    let routes = node.committed.borrow().fleet.routes().cloned();
    let Some(routes) = routes.filter(|routes| routes.epoch == want.epoch) else { return };
    // Of the meant entries only those count whose leaves the proxy spoke of; leaves it left out are equal.
    let all: Vec<u32> = (0..meant.leaves.len() as u32).collect();
    let meant: Vec<_> = routes.entries(&all);
    let drifts = entry_drifts(&meant, &found);
    node.inspector.borrow_mut().detailed(&want.node, want.root, drifts);
}

fn line(inspection: &Inspection, now: Moment) -> String {
    let ago = |at: Option<Moment>| match at {
        Some(at) => format!("{:.3}", now.since(at).as_secs_f64()),
        None => "null".into(),
    };
    let mut text = format!(
        "{{\"node_name\":\"{}\",\"life\":\"{:x}\",\"verdict\":\"{}\",\"configuration\":\"{}\",\"heard_s_ago\":{},\"last_right_s_ago\":{},\"first_wrong_s_ago\":{},\"routes\":[",
        escape(inspection.node.as_str()),
        inspection.life,
        inspection.verdict.word(),
        inspection.epoch,
        ago(inspection.heard),
        ago(inspection.last_right),
        ago(inspection.first_wrong),
    );
    for (index, entry) in inspection.entries.iter().enumerate() {
        let quoted = |says: &Option<String>| match says {
            Some(says) => format!("\"{}\"", escape(says)),
            None => "null".into(),
        };
        let comma = if index > 0 { "," } else { "" };
        let (meant, found) = (quoted(&entry.meant), quoted(&entry.found));
        let _ = write!(text, "{comma}{{\"place\":\"{}\",\"meant\":{meant},\"found\":{found}}}", escape(&entry.place));
    }
    text.push_str("]}");
    text
}

/// What this primary makes of all proxies; nothing without a majority behind it.
pub fn verdicts(node: &Signalbox) -> Option<String> {
    let is_judge = node.zab.borrow().is_primary() && primary::lease_holds(node);
    is_judge.then(|| {
        let now = clock::now();
        let lines: Vec<String> = node
            .inspector
            .borrow()
            .inspect(&proxies(node), now)
            .iter()
            .map(|inspection| line(inspection, now))
            .collect();
        format!("[{}]", lines.join(","))
    })
}

/// The same, asked at any core node.
pub async fn verdicts_anywhere(node: &Signalbox) -> Option<String> {
    if let Some(verdicts) = verdicts(node) {
        return Some(verdicts);
    }
    let primary = node.zab.borrow().primary()?;
    match node.caller.call(primary.address, Ask::RoutesVerdicts, ASK_LIMIT).await {
        Ok(Reply::Text(text)) => Some(text),
        _ => None,
    }
}
