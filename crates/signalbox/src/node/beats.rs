//! Beats of endpoints that have no node beside them, and what silence means.
//!
//! A beat that says nothing new is answered here, from what is committed, and costs the primary
//! nothing. Once a second each core node tells the primary whom it heard. An endpoint of which the
//! primary was told nothing for long is taken off the list; it is taken back when it speaks again.

use super::{Signalbox, endpoint_keys, primary};
use lineside::call::{Ask, Reply};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{Beat, FleetChange, FleetState};
use trackbed::clock::{self, Moment};
use trackbed::http::{JsonReturn, Request, Return};
use trackbed::ids::InstanceId;
use trackbed::random::stable_hash;

pub const PREFIX: &str = "/v1/instances/";
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Silence in beats after which an endpoint counts as gone; and the shortest such silence.
const BEATS_MISSED: u32 = 8;
const SHORTEST_SILENCE: Duration = Duration::from_secs(12);
/// Endpoints taken off the list at once.
const AT_ONCE: usize = 8;

/// Heartbeats of endpoints received here and, at the primary, those reported by all core nodes.
#[derive(Default)]
pub struct EndpointHeartbeats {
    /// The highest sequence of each life. Invariant: a beat that is not above it changes nothing.
    sequences: HashMap<InstanceId, u64>,
    /// Hashes of the endpoints whose heartbeats arrived here since the last report.
    fresh: BTreeSet<u64>,
    /// At the primary only: when any core node last received a heartbeat of each.
    last: HashMap<u64, Moment>,
    /// At the primary only: when each core node last reported.
    reports: BTreeMap<SocketAddr, Moment>,
    /// Since when silence counts. Invariant: not before this node became primary.
    counted_from: Moment,
    /// When the silent were last looked for here.
    looked: Moment,
}

impl EndpointHeartbeats {
    /// A new primary, or one that was cut off, knows of nobody's silence.
    pub fn start_anew(&mut self, now: Moment) {
        self.last.clear();
        self.reports.clear();
        self.counted_from = now;
    }

    pub fn reported(&mut self, from: SocketAddr, heard: Vec<u64>, now: Moment) {
        self.reports.insert(from, now);
        self.last.extend(heard.into_iter().map(|name| (name, now)));
    }

    /// How long an endpoint has been silent; nothing while that can't be told.
    pub fn silence_of(&self, endpoint: &InstanceId, core: usize, now: Moment) -> Option<Duration> {
        if !self.hears_well(core, now) {
            return None;
        }
        let last = *self.last.get(&stable_hash(endpoint.as_str()))?;
        Some(now.since(last.max(self.counted_from)))
    }

    /// Whether every core node reports, and this one was not frozen just now.
    fn hears_well(&self, core: usize, now: Moment) -> bool {
        let recent = |at: Moment| now.since(at) < REPORT_EVERY * 3;
        recent(self.looked) && self.reports.values().filter(|at| recent(**at)).count() >= core
    }

    /// Takes a look at the list. The silence of an endpoint that is new to this node begins now: whoever registered it has
    /// heard it, and the report of that is still on its way.
    fn look(&mut self, fleet: &FleetState, now: Moment) {
        if now.since(self.looked) >= REPORT_EVERY * 3 {
            // This node was frozen: what it has not heard meanwhile is nobody's silence.
            self.counted_from = now;
        }
        self.looked = now;
        let homeless = fleet.instances().filter(|instance| !instance.has_node_beside());
        let listed: BTreeSet<u64> = homeless.map(|instance| stable_hash(instance.id.as_str())).collect();
        self.last.retain(|name, _| listed.contains(name));
        for name in listed {
            self.last.entry(name).or_insert(now);
        }
    }

    /// Those silent for too long. Nobody, while the core itself can't hear well: when a core node
    /// does not report, or most endpoints are silent at once, silence is told of the core and not
    /// of the endpoints, and is counted anew.
    fn silent(&mut self, fleet: &FleetState, core: usize, longest: Duration, now: Moment) -> Vec<InstanceId> {
        self.look(fleet, now);
        if !self.hears_well(core, now) {
            self.counted_from = now;
            return Vec::new();
        }
        let from = self.counted_from;
        let silence = |id: &InstanceId| {
            let last = self.last.get(&stable_hash(id.as_str())).copied().unwrap_or(from);
            now.since(last.max(from))
        };
        let homeless: Vec<&InstanceId> =
            fleet.instances().filter(|instance| !instance.has_node_beside()).map(|instance| &instance.id).collect();
        let mut silent: Vec<InstanceId> =
            homeless.iter().filter(|id| silence(id) > longest).map(|id| (*id).clone()).collect();
        if silent.len() * 2 > homeless.len() {
            self.counted_from = now;
            return Vec::new();
        }
        silent.truncate(AT_ONCE);
        silent
    }
}

fn acknowledged() -> Return {
    Return::json(200, "{}".into())
}

fn to_response(reply: Reply) -> Return {
    match reply {
        Reply::Done => acknowledged(),
        _ => Return::fault(503, "the order can't be reached just now: beat again").with_header("retry-after", "0.2"),
    }
}

pub async fn answer(node: &Rc<Signalbox>, request: &Request) -> Return {
    let id = request.path().strip_prefix(PREFIX).unwrap_or("");
    if id.is_empty() || id.len() > 200 {
        return Return::fault(404, "no such resource: beats go to /v1/instances/ID");
    }
    if node.majority.borrow().is_cut_off() {
        // What is committed elsewhere is not known here: an endpoint could count as listed though it was taken off.
        return to_response(Reply::NotNow("no majority stands behind this node".into()));
    }
    let id = InstanceId::new(id);
    match request.method.as_str() {
        "PUT" => beat(node, id, request).await,
        "DELETE" => to_response(primary::sign_off(node, id).await),
        _ => Return::fault(405, "use PUT to beat and DELETE to sign off"),
    }
}

async fn beat(node: &Rc<Signalbox>, id: InstanceId, request: &Request) -> Return {
    let arrived = clock::now();
    let zone = node.live.get().zone.clone();
    let beat = match Beat::read(id, &request.body, None, &zone) {
        Ok(beat) => beat,
        Err(reason) => return Return::fault(400, reason),
    };
    let id = beat.instance.id.clone();
    {
        let mut heartbeats = node.heartbeats.borrow_mut();
        heartbeats.fresh.insert(stable_hash(id.as_str()));
        let known = heartbeats.sequences.entry(id.clone()).or_insert(0);
        if beat.sequence < *known {
            return acknowledged();
        }
        *known = beat.sequence;
    }
    let ordered = {
        let committed = node.committed.borrow();
        committed.fleet.has_ended(&id) || committed.fleet.instance(&id) == Some(&beat.instance)
    };
    if !ordered {
        let reply = primary::register(node, beat.instance.clone()).await;
        if reply != Reply::Done {
            return to_response(reply);
        }
    }
    Return::json(200, endpoint_keys::answer_to(node, &beat, arrived).await)
}

/// Tells the primary who was heard here, and judges the silent if this is the primary.
pub async fn keep_watch(node: Rc<Signalbox>) {
    loop {
        monoio::time::sleep(REPORT_EVERY).await;
        let now = clock::now();
        let primary = node.zab.borrow().primary();
        let Some(primary) = primary else { continue };
        let heard: Vec<u64> = std::mem::take(&mut node.heartbeats.borrow_mut().fresh).into_iter().collect();
        if primary.id != node.zab.borrow().me().id {
            let any = node.committed.borrow().fleet.instances().any(|instance| !instance.has_node_beside());
            if any {
                let ask = Ask::Heard { from: node.own_address, heard };
                let _ = node.caller.call(primary.address, ask, REPORT_EVERY / 2).await;
            }
            continue;
        }
        node.heartbeats.borrow_mut().reported(node.own_address, heard, now);
        take_off_the_silent(&node, now);
    }
}

fn take_off_the_silent(node: &Signalbox, now: Moment) {
    let core = node.zab.borrow().voters().len();
    let longest = (node.live.get().heartbeat * BEATS_MISSED).max(SHORTEST_SILENCE);
    let silent = {
        let committed = node.committed.borrow();
        let mut heartbeats = node.heartbeats.borrow_mut();
        heartbeats.sequences.retain(|id, _| committed.fleet.instance(id).is_some());
        heartbeats.silent(&committed.fleet, core, longest, now)
    };
    for id in silent {
        log::warn!("endpoint {id} has been silent for over {} s: it is taken off the list", longest.as_secs());
        primary::order(node, FleetChange::Lost(id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use timetable::fleet::Instance;
    use trackbed::ids::{ServiceName, ZoneName, Zxid};

    fn fleet(count: u16) -> FleetState {
        let mut fleet = FleetState::default();
        for index in 0..count {
            let address = ([10, 0, 0, 1], index + 1).into();
            let instance = Instance {
                id: InstanceId::new(&format!("i{index}")),
                service: ServiceName::new("s"),
                address,
                zone: ZoneName::new("z"),
                node: Instance::nobody(),
                beside: address,
                slots: 2,
                draining: false,
            };
            fleet.apply(Zxid::new(1, index as u64 + 1), FleetChange::Register(instance));
        }
        fleet
    }

    #[test]
    fn an_endpoint_that_has_just_come_is_not_silent_though_nobody_reported_it_yet() {
        let mut heartbeats = EndpointHeartbeats::default();
        let longest = Duration::from_secs(12);
        let mut now = Moment::from_micros(1_000_000);
        heartbeats.start_anew(now);
        for second in 0..30 {
            now = now + Duration::from_secs(1);
            // The tenth is registered after the primary has been one for long, and its first report is still on its way.
            let fleet = fleet(if second < 20 { 9 } else { 10 });
            let speaking = (0..9).map(|index| stable_hash(&format!("i{index}"))).collect();
            heartbeats.reported(core(0), speaking, now);
            assert_eq!(heartbeats.silent(&fleet, 1, longest, now), [], "second {second}");
        }
        let newest = InstanceId::new("i9");
        assert!(heartbeats.silence_of(&newest, 1, now).is_some_and(|silence| silence < Duration::from_secs(11)));
    }

    #[test]
    fn after_a_freeze_of_the_primary_nobody_counts_as_silent() {
        let fleet = fleet(4);
        let mut heartbeats = EndpointHeartbeats::default();
        let mut now = Moment::from_micros(1_000_000);
        heartbeats.start_anew(now);
        let all = || (0..4).map(|index| stable_hash(&format!("i{index}"))).collect::<Vec<u64>>();
        for _ in 0..10 {
            now = now + Duration::from_secs(1);
            heartbeats.reported(core(0), all(), now);
            heartbeats.silent(&fleet, 1, Duration::from_secs(12), now);
        }
        now = now + Duration::from_secs(30);
        // Reports that waited in its sockets are read before it looks again.
        heartbeats.reported(core(0), Vec::new(), now);
        let id = InstanceId::new("i1");
        assert_eq!(heartbeats.silence_of(&id, 1, now), None);
        assert_eq!(heartbeats.silent(&fleet, 1, Duration::from_secs(12), now), []);
        assert_eq!(heartbeats.silence_of(&id, 1, now), Some(Duration::ZERO));
    }

    fn core(index: u8) -> SocketAddr {
        ([10, 0, 1, index], 1).into()
    }

    #[test]
    fn only_the_truly_silent_are_taken_off() {
        let fleet = fleet(10);
        let name = |index: usize| stable_hash(&format!("i{index}"));
        let longest = Duration::from_secs(12);
        let mut heartbeats = EndpointHeartbeats::default();
        let mut now = Moment::from_micros(1_000_000);
        heartbeats.start_anew(now);
        let mut gone = Vec::new();
        for second in 0..60 {
            now = now + Duration::from_secs(1);
            // One never speaks again after ten seconds; for a time no core node but the primary is heard;
            // later all endpoints are silent at once.
            let cut = (20..40).contains(&second);
            let dark = second >= 45;
            let speaking = (0..10).filter(|index| !dark && (*index != 3 || second < 10)).map(name).collect();
            heartbeats.reported(core(0), speaking, now);
            if !cut {
                heartbeats.reported(core(1), Vec::new(), now);
            }
            for id in heartbeats.silent(&fleet, 2, longest, now) {
                gone.push((second, id));
            }
        }
        assert!(gone.iter().all(|(_, id)| id.as_str() == "i3"), "{gone:?}");
        assert!(gone.iter().all(|(second, _)| *second >= 50), "a cut is not counted as silence: {gone:?}");
    }
}
