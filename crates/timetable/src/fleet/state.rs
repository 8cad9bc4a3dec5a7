//! The fleet's state, with a short memory of how it came about for those a little behind.

use super::changes::{Charter, ConfigChange, FleetChange, Instance};
use crate::configuration::{Configuration, Routes};
use crate::packed::Packed;
use borsh::{BorshDeserialize, BorshSerialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use trackbed::ids::{ConfigEpoch, InstanceId, RegionName, ServiceName, Zxid};

/// How many ended lives and taken calls are remembered.
const REMEMBERED: usize = 1024;
/// Bytes of changes kept for those a little behind.
const TAIL_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct FleetFrame {
    pub zxid: Zxid,
    configuration: Option<Configuration>,
    instances: BTreeMap<InstanceId, Instance>,
    ended: VecDeque<InstanceId>,
    taken: VecDeque<(ConfigEpoch, u128)>,
    charters: BTreeMap<RegionName, Charter>,
}

/// As it stood on disks before there were councils.
#[derive(BorshDeserialize)]
pub struct FleetFrameBefore {
    zxid: Zxid,
    configuration: Option<Configuration>,
    instances: BTreeMap<InstanceId, Instance>,
    ended: VecDeque<InstanceId>,
    taken: VecDeque<(ConfigEpoch, u128)>,
}

impl From<FleetFrameBefore> for FleetFrame {
    fn from(before: FleetFrameBefore) -> Self {
        let FleetFrameBefore { zxid, configuration, instances, ended, taken } = before;
        Self { zxid, configuration, instances, ended, taken, charters: BTreeMap::new() }
    }
}

/// What one node gives another that is behind.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum FleetNews {
    /// Changes in order, right after the zxid asked for.
    Changes(Vec<(Zxid, Packed)>),
    Whole {
        zxid: Zxid,
        frame: Packed,
    },
}

/// Invariants: `frame.zxid` only rises; `routes` is what `frame.configuration` says.
#[derive(Clone, Default)]
pub struct FleetState {
    frame: FleetFrame,
    routes: Option<Rc<Routes>>,
    by_service: BTreeMap<ServiceName, Vec<Rc<Instance>>>,
    /// Invariant: gapless from `tail_base` on.
    tail: VecDeque<(Zxid, Packed)>,
    tail_base: Zxid,
    tail_bytes: usize,
    /// The whole, as last told. Invariant: right only for the zxid beside it.
    told_whole: RefCell<Option<(Zxid, Packed)>>,
}

impl FleetState {
    pub fn from_frame(frame: FleetFrame) -> Self {
        let tail_base = frame.zxid;
        let routes = frame.configuration.as_ref().and_then(|configuration| configuration.typed().ok()).map(Rc::new);
        let mut state = Self { frame, routes, tail_base, ..Self::default() };
        let instances: Vec<Instance> = state.frame.instances.values().cloned().collect();
        instances.iter().for_each(|instance| state.index(instance));
        state
    }

    pub fn frame(&self) -> &FleetFrame {
        &self.frame
    }
    pub fn zxid(&self) -> Zxid {
        self.frame.zxid
    }
    pub fn routes(&self) -> Option<&Rc<Routes>> {
        self.routes.as_ref()
    }
    pub fn configuration(&self) -> Option<&Configuration> {
        self.frame.configuration.as_ref()
    }
    pub fn epoch(&self) -> ConfigEpoch {
        self.frame.configuration.as_ref().map(|configuration| configuration.epoch).unwrap_or_default()
    }
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance> {
        self.frame.instances.get(id)
    }
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.frame.instances.values()
    }
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.frame.ended.contains(id)
    }
    /// True when this very call has been taken, whatever came after.
    pub fn has_taken(&self, digest: u128) -> bool {
        self.frame.taken.iter().any(|(_, taken)| *taken == digest)
    }
    /// The version that the oldest remembered call made, once calls before it may be forgotten. Of a
    /// call that builds on an older version it can't be told any more whether it was taken.
    pub fn oldest_remembered_order(&self) -> Option<ConfigEpoch> {
        let (epoch, _) = self.frame.taken.front()?;
        (self.frame.taken.len() >= REMEMBERED).then_some(*epoch)
    }
    pub fn charter(&self, region: &RegionName) -> Option<&Charter> {
        self.frame.charters.get(region)
    }
    pub fn charters(&self) -> impl Iterator<Item = &Charter> {
        self.frame.charters.values()
    }
    /// Every service that has endpoints, with them.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[Rc<Instance>])> {
        self.by_service.iter().map(|(service, instances)| (service, instances.as_slice()))
    }
    /// The endpoints of a service, draining ones among them.
    pub fn serving(&self, service: &ServiceName) -> &[Rc<Instance>] {
        self.by_service.get(service).map(Vec::as_slice).unwrap_or(&[])
    }

    /// Invariant: the endpoints of a service stand in the order of their ids, on every node.
    fn index(&mut self, instance: &Instance) {
        let serving = self.by_service.entry(instance.service.clone()).or_default();
        let place = serving.partition_point(|other| other.id < instance.id);
        serving.insert(place, Rc::new(instance.clone()));
    }

    fn remove(&mut self, id: &InstanceId) {
        let Some(gone) = self.frame.instances.remove(id) else { return };
        if let Some(serving) = self.by_service.get_mut(&gone.service) {
            serving.retain(|other| other.id != *id);
            if serving.is_empty() {
                self.by_service.remove(&gone.service);
            }
        }
    }

    /// Makes a change that was ordered at `zxid`.
    pub fn apply(&mut self, zxid: Zxid, change: FleetChange) {
        let packed = Packed::pack(&change);
        self.apply_packed(zxid, change, packed);
    }

    fn apply_packed(&mut self, zxid: Zxid, change: FleetChange, packed: Packed) {
        assert!(zxid > self.frame.zxid, "the fleet's state only moves on");
        self.frame.zxid = zxid;
        match &change {
            FleetChange::Configure { change, digest } => self.configure(change, *digest),
            FleetChange::Register(instance) => {
                let address = instance.address;
                let gone: Vec<InstanceId> = self
                    .frame
                    .instances
                    .values()
                    .filter(|other| other.address == address && other.id != instance.id)
                    .map(|other| other.id.clone())
                    .collect();
                for id in gone {
                    self.end(&id);
                }
                let mut instance = instance.clone();
                // What was ordered of leaving holds for the rest of a life, whatever a late word says.
                instance.draining |= self.frame.instances.get(&instance.id).is_some_and(|known| known.draining);
                self.remove(&instance.id);
                self.index(&instance);
                self.frame.instances.insert(instance.id.clone(), instance);
            }
            FleetChange::End(id) => self.end(id),
            FleetChange::Lost(id) => self.remove(id),
            FleetChange::Council { region, members } => {
                let before = self.frame.charters.remove(region).map(|charter| charter.members).unwrap_or_default();
                let charter = Charter { region: region.clone(), zxid, members: members.clone(), before };
                self.frame.charters.insert(region.clone(), charter);
            }
        }
        self.tail_bytes += packed.length();
        self.tail.push_back((zxid, packed));
        while self.tail_bytes > TAIL_BYTES || self.tail.len() > 512 {
            let Some((zxid, packed)) = self.tail.pop_front() else {
                break;
            };
            self.tail_base = zxid;
            self.tail_bytes -= packed.length();
        }
    }

    fn configure(&mut self, change: &ConfigChange, digest: u128) {
        let next = match change {
            ConfigChange::Whole(configuration) => Ok(configuration.clone()),
            ConfigChange::Patch(patch) => self.frame.configuration.clone().unwrap_or_default().patched(patch),
        };
        let typed = next.and_then(|next| next.typed().map(|routes| (next, routes)));
        // The primary checked it before it was proposed, and every node holds the same state.
        let Ok((next, routes)) = typed else {
            log_fault(digest);
            return;
        };
        self.frame.taken.push_back((next.epoch, digest));
        if self.frame.taken.len() > REMEMBERED {
            self.frame.taken.pop_front();
        }
        self.routes = Some(Rc::new(routes));
        self.frame.configuration = Some(next);
    }

    fn end(&mut self, id: &InstanceId) {
        self.remove(id);
        if !self.frame.ended.contains(id) {
            self.frame.ended.push_back(id.clone());
            if self.frame.ended.len() > REMEMBERED {
                self.frame.ended.pop_front();
            }
        }
    }

    /// What brings a node at `zxid` to this state; `None` when it is there already.
    pub fn news_since(&self, zxid: Zxid) -> Option<FleetNews> {
        if zxid >= self.frame.zxid {
            return None;
        }
        let known = zxid == self.tail_base || self.tail.iter().any(|(at, _)| *at == zxid);
        if !known {
            let mut told = self.told_whole.borrow_mut();
            let zxid = self.frame.zxid;
            if told.as_ref().is_none_or(|(at, _)| *at != zxid) {
                *told = Some((zxid, Packed::pack(&self.frame)));
            }
            return told.clone().map(|(zxid, frame)| FleetNews::Whole { zxid, frame });
        }
        let changes = self.tail.iter().filter(|(at, _)| *at > zxid);
        Some(FleetNews::Changes(changes.cloned().collect()))
    }

    /// The whole state, for a node whose own is in doubt.
    pub fn whole(&self) -> FleetNews {
        FleetNews::Whole { zxid: self.frame.zxid, frame: Packed::pack(&self.frame) }
    }

    /// Takes the whole state in place of its own, though it may be no newer; true when it did.
    pub fn replace(&mut self, news: FleetNews) -> bool {
        let FleetNews::Whole { zxid, frame } = news else { return false };
        let whole = frame.unpack::<FleetFrame>().ok().filter(|_| zxid >= self.frame.zxid);
        whole.map(|whole| *self = Self::from_frame(whole)).is_some()
    }

    /// Takes news asked for at `since`; true when this state moved on.
    pub fn take(&mut self, since: Zxid, news: FleetNews) -> bool {
        let before = self.frame.zxid;
        match news {
            FleetNews::Whole { zxid, frame } if zxid > before => {
                let Ok(whole) = frame.unpack::<FleetFrame>() else { return false };
                *self = Self::from_frame(whole);
                *self.told_whole.borrow_mut() = Some((zxid, frame));
            }
            FleetNews::Changes(changes) if since == before => {
                for (zxid, packed) in changes.into_iter().filter(|(zxid, _)| *zxid > before) {
                    let Ok(change) = packed.unpack() else { break };
                    self.apply_packed(zxid, change, packed);
                }
            }
            _ => {}
        }
        self.frame.zxid > before
    }
}

fn log_fault(digest: u128) {
    debug_assert!(false, "a configuration was ordered that fails its checks: {digest:x}");
}

#[cfg(test)]
mod tests {
    use super::*;
    use trackbed::ids::{NodeName, ZoneName};

    fn instance(id: &str, port: u16) -> Instance {
        Instance {
            id: InstanceId::new(id),
            service: ServiceName::new("s"),
            address: ([10, 0, 0, 1], port).into(),
            zone: ZoneName::new("z"),
            node: NodeName::new("n"),
            beside: ([10, 0, 0, 1], 9).into(),
            slots: 4,
            draining: false,
        }
    }

    #[test]
    fn an_address_holds_one_life_and_the_ended_stay_ended() {
        let mut state = FleetState::default();
        state.apply(Zxid::new(1, 1), FleetChange::Register(instance("a", 80)));
        state.apply(Zxid::new(1, 2), FleetChange::Register(instance("b", 80)));
        assert!(state.instance(&InstanceId::new("a")).is_none());
        assert!(state.has_ended(&InstanceId::new("a")));
        assert_eq!(state.serving(&ServiceName::new("s")).len(), 1);
    }

    #[test]
    fn news_bring_any_node_to_the_same_state() {
        let mut random = trackbed::random::Random::seeded(5);
        let mut ahead = FleetState::default();
        let mut behind = vec![FleetState::default(); 4];
        for counter in 1..1500 {
            let id = format!("i{}", random.below(30));
            let change = match random.below(3) {
                0 => FleetChange::End(InstanceId::new(&id)),
                _ => FleetChange::Register(instance(&id, random.below(20) as u16)),
            };
            ahead.apply(Zxid::new(1 + counter / 700, counter), change);
            for state in &mut behind {
                if random.chance(0.02) {
                    let since = state.zxid();
                    let before = since;
                    let source = if random.chance(0.5) { ahead.clone() } else { state.clone() };
                    if let Some(news) = source.news_since(since) {
                        state.take(since, news);
                    }
                    assert!(state.zxid() >= before, "states only move on");
                }
            }
        }
        for mut state in behind {
            let since = state.zxid();
            if let Some(news) = ahead.news_since(since) {
                assert!(state.take(since, news));
            }
            assert_eq!(state.frame(), ahead.frame());
        }
    }
}
