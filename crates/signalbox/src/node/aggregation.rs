//! The fleet's counts at a core node: collected from nodes near it, and at the primary sealed.

use super::{Signalbox, forecast, primary};
use lineside::aggregation::{
    Collector, Counted, Part, PartsTaken, ReportTold, SealedWindow, Sealer, SealerTiming, WindowId, client_changes,
    shown_json,
};
use lineside::call::{Ask, Reply};
use lineside::gossip::Role;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use trackbed::clock::{self, Moment};
use trackbed::ids::NodeName;
use trackbed::random::Random;

const LOOK_EVERY: Duration = Duration::from_millis(250);
const ASK_LIMIT: Duration = Duration::from_millis(800);
pub const PATH: &str = "/v1/clients";

/// What a core node holds of the fleet's counts.
pub struct Aggregation {
    pub collector: RefCell<Collector>,
    /// Invariant: only while this node is the primary, and of its epoch.
    pub sealer: RefCell<Option<Sealer>>,
}

impl Aggregation {
    pub fn new(random: &mut Random) -> Self {
        Self { collector: RefCell::new(Collector::new(random.draw())), sealer: RefCell::default() }
    }
}

/// The time of day here. It labels what people read and decides nothing by itself.
pub fn wall_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map(|span| span.as_millis() as u64).unwrap_or(0)
}

/// A node's word.
pub fn counted(node: &Signalbox, counted: Counted) -> Reply {
    Reply::Counted(node.aggregation.collector.borrow_mut().answer(counted, clock::now()))
}

pub fn report(node: &Signalbox, known: WindowId) -> Reply {
    Reply::Report(node.aggregation.collector.borrow().report_for(known, clock::now()))
}

/// A collector's word, at the primary.
pub fn parts(node: &Signalbox, from: &NodeName, parts: Vec<Part>, known: WindowId, sealed: WindowId) -> Reply {
    match take(node, from, parts, known, sealed, clock::now()) {
        Some(taken) => Reply::Parts(taken),
        None => Reply::NotNow("this node seals no windows just now".into()),
    }
}

fn take(
    node: &Signalbox,
    from: &NodeName,
    parts: Vec<Part>,
    known: WindowId,
    sealed: WindowId,
    now: Moment,
) -> Option<PartsTaken> {
    let mut sealer = node.aggregation.sealer.borrow_mut();
    let sealer = sealer.as_mut().filter(|_| primary::lease_holds(node))?;
    let not_yours = sealer.take(from, parts, now);
    let (windows, is_whole) = sealer.sealed_after(sealed);
    let report = node.aggregation.collector.borrow().report_for(known, now);
    Some(PartsTaken { standing: sealer.standing(now), not_yours, report, windows, is_whole })
}

pub async fn keep(node: Rc<Signalbox>) {
    loop {
        monoio::time::sleep(LOOK_EVERY).await;
        let now = clock::now();
        let windows = seal(&node, now);
        if !windows.is_empty() {
            publish(&node, &windows, now);
        }
        if node.aggregation.collector.borrow().is_due(now) {
            hand_on(&node, now).await;
        }
    }
}

/// Seals what is due, while a majority stands behind this primary.
fn seal(node: &Signalbox, now: Moment) -> Vec<SealedWindow> {
    let epoch = {
        let zab = node.zab.borrow();
        zab.is_primary().then(|| zab.epoch())
    };
    let mut sealer = node.aggregation.sealer.borrow_mut();
    let Some(epoch) = epoch else {
        sealer.take();
        return Vec::new();
    };
    if !primary::lease_holds(node) {
        return Vec::new();
    }
    if sealer.as_ref().is_none_or(|sealer| sealer.epoch() != epoch) {
        let collector = node.aggregation.collector.borrow();
        *sealer = Some(Sealer::new(epoch, collector.sealed(now), SealerTiming::default(), now));
    }
    sealer.as_mut().map(|sealer| sealer.seal(now)).unwrap_or_default()
}

/// Makes the report of what was just sealed, and has the forecast take the windows in.
fn publish(node: &Rc<Signalbox>, windows: &[SealedWindow], now: Moment) {
    let of = {
        let roster = node.roster.borrow();
        (roster.alive(Role::Beside).count() + roster.alive(Role::Gate).count()) as u32
    };
    let reservations = forecast::sealed(node, windows, of, now);
    let made = {
        let sealer = node.aggregation.sealer.borrow();
        let sealer = sealer.as_ref();
        sealer.and_then(|sealer| Some((sealer.report(of, reservations)?, sealer.standing(now), sealer.last_windows())))
    };
    let Some((report, standing, windows)) = made else { return };
    let mut collector = node.aggregation.collector.borrow_mut();
    for line in client_changes(collector.report().map(|shown| &*shown.told.report), &report) {
        log::info!("{line}");
    }
    let report = Some(ReportTold { report: Rc::new(report), age_millis: 0 });
    collector.heard(PartsTaken { standing, not_yours: Vec::new(), report, windows, is_whole: true }, now);
}

/// Passes on what came in here.
async fn hand_on(node: &Rc<Signalbox>, now: Moment) {
    let (primary, own) = {
        let zab = node.zab.borrow();
        (zab.primary(), zab.me().id)
    };
    let Some(primary) = primary else { return };
    let name = node.live.get().node_name.clone();
    let (parts, known, sealed) = {
        let mut collector = node.aggregation.collector.borrow_mut();
        (collector.hand_on(now), collector.known(), collector.last_sealed())
    };
    let wall_millis = wall_millis();
    let taken = if primary.id == own {
        forecast::record_member_time(node, &name, wall_millis);
        take(node, &name, parts, known, sealed, now)
    } else {
        let ask = Ask::Parts { from: name, parts, known, sealed, wall_millis };
        match node.caller.call_lightly(primary.address, ask, ASK_LIMIT).await {
            Ok(Reply::Parts(taken)) => Some(taken),
            _ => None,
        }
    };
    if let Some(taken) = taken {
        node.aggregation.collector.borrow_mut().heard(taken, clock::now());
    }
}

/// `GET /v1/clients`.
pub fn view(node: &Signalbox) -> String {
    let sealing = node.zab.borrow().primary().is_some();
    shown_json(node.aggregation.collector.borrow().report(), sealing, clock::now())
}
