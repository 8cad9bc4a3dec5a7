//! The fleet's state, with a short memory of how it came about for those a little behind.

use super::changes::{Charter, ConfigChange, FleetChange, Instance};
use super::evacuations::Evacuations;
use super::tail::{NewsTail, TailEntry};
use crate::configuration::{Configuration, Fault, Routes};
use crate::packed::Packed;
use crate::shards::{FormerShardMap, ShardChange, ShardMap};
use crate::shared::{RecentKeys, SharedMap};
use borsh::{BorshDeserialize, BorshSerialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use trackbed::ids::{ConfigEpoch, InstanceId, RegionName, ServiceName, ZoneName, Zxid};

/// How many ended lives and taken calls are remembered.
const REMEMBERED: usize = 1024;

/// The fleet's state as it stands on disks and goes between nodes.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct FleetSnapshot {
    /// The last change in it.
    pub zxid: Zxid,
    configuration: Option<Configuration>,
    instances: SharedMap<InstanceId, Rc<Instance>>,
    ended: RecentKeys<InstanceId, ()>,
    taken: RecentKeys<u128, ConfigEpoch>,
    charters: SharedMap<RegionName, Charter>,
    /// The holders of keys, by service divided by key.
    shards: SharedMap<ServiceName, Rc<ShardMap>>,
    evacuations: Evacuations,
}

/// As it stood on disks before there were evacuations.
#[derive(BorshDeserialize)]
pub struct FleetSnapshotBeforeEvacuations {
    zxid: Zxid,
    configuration: Option<Configuration>,
    instances: SharedMap<InstanceId, Rc<Instance>>,
    ended: RecentKeys<InstanceId, ()>,
    taken: RecentKeys<u128, ConfigEpoch>,
    charters: SharedMap<RegionName, Charter>,
    shards: SharedMap<ServiceName, Rc<ShardMap>>,
}

impl From<FleetSnapshotBeforeEvacuations> for FleetSnapshot {
    fn from(before: FleetSnapshotBeforeEvacuations) -> Self {
        let FleetSnapshotBeforeEvacuations { zxid, configuration, instances, ended, taken, charters, shards } = before;
        let evacuations = Evacuations::default();
        Self { zxid, configuration, instances, ended, taken, charters, shards, evacuations }
    }
}

/// As it stood on disks before a revoked hold kept its fence.
#[derive(BorshDeserialize)]
pub struct FleetSnapshotBeforeFences {
    zxid: Zxid,
    configuration: Option<Configuration>,
    instances: SharedMap<InstanceId, Rc<Instance>>,
    ended: RecentKeys<InstanceId, ()>,
    taken: RecentKeys<u128, ConfigEpoch>,
    charters: SharedMap<RegionName, Charter>,
    shards: BTreeMap<ServiceName, FormerShardMap>,
}

impl From<FleetSnapshotBeforeFences> for FleetSnapshot {
    fn from(before: FleetSnapshotBeforeFences) -> Self {
        let FleetSnapshotBeforeFences { zxid, configuration, instances, ended, taken, charters, shards } = before;
        let shards = shards.into_iter().map(|(service, shards)| (service, Rc::new(shards.into()))).collect();
        let evacuations = Evacuations::default();
        Self { zxid, configuration, instances, ended, taken, charters, shards, evacuations }
    }
}

/// As it stood on disks before keys had holders.
#[derive(BorshDeserialize)]
pub struct FleetSnapshotBeforeShards {
    zxid: Zxid,
    configuration: Option<Configuration>,
    instances: SharedMap<InstanceId, Rc<Instance>>,
    ended: RecentKeys<InstanceId, ()>,
    taken: RecentKeys<u128, ConfigEpoch>,
    charters: SharedMap<RegionName, Charter>,
}

impl From<FleetSnapshotBeforeShards> for FleetSnapshot {
    fn from(before: FleetSnapshotBeforeShards) -> Self {
        let FleetSnapshotBeforeShards { zxid, configuration, instances, ended, taken, charters } = before;
        let (shards, evacuations) = (SharedMap::new(), Evacuations::default());
        Self { zxid, configuration, instances, ended, taken, charters, shards, evacuations }
    }
}

/// As it stood on disks before there were councils.
#[derive(BorshDeserialize)]
pub struct FleetSnapshotBefore {
    zxid: Zxid,
    configuration: Option<Configuration>,
    instances: SharedMap<InstanceId, Rc<Instance>>,
    ended: RecentKeys<InstanceId, ()>,
    taken: RecentKeys<u128, ConfigEpoch>,
}

impl From<FleetSnapshotBefore> for FleetSnapshot {
    fn from(before: FleetSnapshotBefore) -> Self {
        let FleetSnapshotBefore { zxid, configuration, instances, ended, taken } = before;
        let (charters, shards) = (SharedMap::new(), SharedMap::new());
        let evacuations = Evacuations::default();
        Self { zxid, configuration, instances, ended, taken, charters, shards, evacuations }
    }
}

/// What one node gives another that is behind.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum FleetNews {
    /// Changes in order, right after the zxid asked for.
    Changes(Vec<(Zxid, Packed)>),
    /// The whole state, where the changes are not kept any more.
    Whole {
        /// The last change in it.
        zxid: Zxid,
        /// The state.
        snapshot: Packed,
    },
}

/// Copies share their structure. Invariants: `snapshot.zxid` only rises; `routes` is what `snapshot.configuration` says.
#[derive(Clone, Default)]
pub struct FleetState {
    snapshot: FleetSnapshot,
    routes: Option<Rc<Routes>>,
    by_service: SharedMap<ServiceName, Rc<Vec<Rc<Instance>>>>,
    by_address: SharedMap<SocketAddr, InstanceId>,
    tail: NewsTail,
    /// The whole, as last told. Invariant: right only for the zxid beside it.
    told_whole: RefCell<Option<(Zxid, Packed)>>,
}

impl FleetState {
    /// The state that a snapshot holds, with its indexes.
    pub fn from_snapshot(mut snapshot: FleetSnapshot) -> Self {
        let tail = NewsTail::starting_at(snapshot.zxid);
        // One that fails the checks of this version is kept all the same, and no request is sent by it.
        let _ = snapshot.configuration.as_mut().map(Configuration::check);
        let routes = snapshot.configuration.as_ref().and_then(Configuration::table).cloned();
        let mut state = Self { snapshot, routes, tail, ..Self::default() };
        let instances: Vec<Rc<Instance>> = state.snapshot.instances.values().cloned().collect();
        instances.iter().for_each(|instance| state.index(instance));
        state
    }

    /// A copy that changes are made on, and that nobody asks for news: it keeps none.
    pub fn without_news(&self) -> Self {
        Self { tail: NewsTail::keeping_none(self.snapshot.zxid), told_whole: RefCell::default(), ..self.clone() }
    }

    /// What goes on disks.
    pub fn snapshot(&self) -> &FleetSnapshot {
        &self.snapshot
    }
    /// The last change made.
    pub fn zxid(&self) -> Zxid {
        self.snapshot.zxid
    }
    /// The routes in force; nothing before the first configuration.
    pub fn routes(&self) -> Option<&Rc<Routes>> {
        self.routes.as_ref()
    }
    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.snapshot.configuration.as_ref()
    }
    /// Its version; zero before the first.
    pub fn epoch(&self) -> ConfigEpoch {
        self.snapshot.configuration.as_ref().map(|configuration| configuration.epoch).unwrap_or_default()
    }
    /// An endpoint by its id.
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance> {
        self.snapshot.instances.get(id).map(Rc::as_ref)
    }
    /// Every endpoint.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.snapshot.instances.values().map(Rc::as_ref)
    }
    /// Whether a life is over, or has signed off.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.snapshot.ended.contains(id)
    }
    /// True when this very call has been taken, whatever came after.
    pub fn has_taken(&self, digest: u128) -> bool {
        self.snapshot.taken.contains(&digest)
    }
    /// The version that the oldest remembered call made, once calls before it may be forgotten. Of a
    /// call that builds on an older version it can't be told any more whether it was taken.
    pub fn oldest_remembered_order(&self) -> Option<ConfigEpoch> {
        let oldest = self.snapshot.taken.oldest_mark()?;
        (self.snapshot.taken.len() >= REMEMBERED).then_some(*oldest)
    }
    /// A region's council.
    pub fn charter(&self, region: &RegionName) -> Option<&Charter> {
        self.snapshot.charters.get(region)
    }
    /// Every council.
    pub fn charters(&self) -> impl Iterator<Item = &Charter> {
        self.snapshot.charters.values()
    }
    /// The holders of a service's keys; nothing while none was ever granted.
    pub fn shards(&self, service: &ServiceName) -> Option<&Rc<ShardMap>> {
        self.snapshot.shards.get(service)
    }
    /// Every service whose keys have, or had, holders.
    pub fn sharded(&self) -> impl Iterator<Item = (&ServiceName, &Rc<ShardMap>)> {
        self.snapshot.shards.iter()
    }
    /// Whether nothing is to go to the endpoints of a zone.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.snapshot.evacuations.contains(zone)
    }
    /// The zones that are evacuated.
    pub fn evacuations(&self) -> &Evacuations {
        &self.snapshot.evacuations
    }
    /// Every service that has endpoints, with them.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[Rc<Instance>])> {
        self.by_service.iter().map(|(service, instances)| (service, instances.as_slice()))
    }
    /// The endpoints of a service, draining ones among them.
    pub fn serving(&self, service: &ServiceName) -> &[Rc<Instance>] {
        self.by_service.get(service).map(|instances| instances.as_slice()).unwrap_or(&[])
    }

    /// Invariant: the endpoints of a service stand in the order of their ids, on every node.
    fn index(&mut self, instance: &Rc<Instance>) {
        let mut serving = self.by_service.get(&instance.service).cloned().unwrap_or_default();
        let place = serving.partition_point(|other| other.id < instance.id);
        Rc::make_mut(&mut serving).insert(place, instance.clone());
        self.by_service.insert(instance.service.clone(), serving);
        self.by_address.insert(instance.address, instance.id.clone());
    }

    fn remove(&mut self, id: &InstanceId) {
        let Some(gone) = self.snapshot.instances.remove(id) else { return };
        if self.by_address.get(&gone.address) == Some(id) {
            self.by_address.remove(&gone.address);
        }
        let Some(mut serving) = self.by_service.remove(&gone.service) else { return };
        Rc::make_mut(&mut serving).retain(|other| other.id != *id);
        if !serving.is_empty() {
            self.by_service.insert(gone.service.clone(), serving);
        }
    }

    /// Makes a change that was ordered at `zxid`.
    pub fn apply(&mut self, zxid: Zxid, change: FleetChange) {
        let news = self.tail.keeps_any().then(|| TailEntry::ready(Packed::pack(&change)));
        self.apply_with_news(zxid, change, news);
    }

    /// Makes a change that came packed inside another value: `head` bytes of its encoding stand before the
    /// change's own. It is unwrapped only when somebody asks for it.
    pub fn apply_delivered(&mut self, zxid: Zxid, change: FleetChange, envelope: Packed, head: usize) {
        self.apply_with_news(zxid, change, Some(TailEntry::wrapped(envelope, head)));
    }

    fn apply_with_news(&mut self, zxid: Zxid, change: FleetChange, news: Option<TailEntry>) {
        assert!(zxid > self.snapshot.zxid, "the fleet's state only moves on");
        self.snapshot.zxid = zxid;
        match change {
            FleetChange::Configure { change, digest } => self.configure(&change, digest),
            FleetChange::Register(instance) => self.register(instance),
            FleetChange::End(id) => {
                self.revoke_keys(&id);
                self.end(&id);
            }
            FleetChange::Lost(id) => {
                self.revoke_keys(&id);
                self.remove(&id);
            }
            FleetChange::Shards { service, change } => self.change_shards(service, &change),
            FleetChange::Evacuate(zone) => self.evacuate(zone),
            FleetChange::EndEvacuation(zone) => self.snapshot.evacuations.end(&zone),
            FleetChange::Council { region, members } => {
                let before = self.snapshot.charters.remove(&region).map(|charter| charter.members).unwrap_or_default();
                let charter = Charter { region: region.clone(), zxid, members, before };
                self.snapshot.charters.insert(region, charter);
            }
        }
        self.tail.push(zxid, news);
    }

    fn register(&mut self, mut instance: Instance) {
        let other = self.by_address.get(&instance.address).filter(|other| **other != instance.id).cloned();
        if let Some(other) = other {
            // One life at an address at a time: the process that held those keys is over.
            self.free_keys(&other);
            self.end(&other);
        }
        // What was ordered of leaving holds for the rest of a life, whatever a late word says.
        instance.draining |= self.snapshot.instances.get(&instance.id).is_some_and(|known| known.draining);
        if instance.draining {
            self.revoke_keys(&instance.id);
        }
        self.remove(&instance.id);
        let instance = Rc::new(instance);
        self.index(&instance);
        self.snapshot.instances.insert(instance.id.clone(), instance);
    }

    /// Reads and checks a whole configuration that is to follow the present one. Items that are as they were
    /// are not parsed again, and a change made of it is not checked anew when it is applied.
    pub fn parse_next(&self, body: &[u8]) -> Result<Configuration, Fault> {
        match &self.snapshot.configuration {
            Some(present) => Configuration::parse_after(body, present),
            None => Configuration::parse(body),
        }
    }

    /// The configuration that a change would make of the present one, checked. Costs O(items changed · log n),
    /// and for a whole configuration that was not checked yet a comparison of the texts.
    pub fn next_configuration(&self, change: &ConfigChange) -> Result<Configuration, Fault> {
        let present = self.snapshot.configuration.as_ref();
        match (change, present) {
            (ConfigChange::Whole(whole), Some(present)) => whole.after(present),
            (ConfigChange::Whole(whole), None) => whole.clone().checked(),
            (ConfigChange::Patch(patch), Some(present)) => present.patched(patch),
            (ConfigChange::Patch(patch), None) => Configuration::default().patched(patch),
        }
    }

    fn configure(&mut self, change: &ConfigChange, digest: u128) {
        // The primary checked it before it was proposed, and every node holds the same state.
        let next = match self.next_configuration(change) {
            Ok(next) => next,
            Err(fault) => {
                log::error!("a configuration was ordered that fails its checks, and is left out: {fault}");
                return;
            }
        };
        self.snapshot.taken.push(next.epoch, digest, REMEMBERED);
        self.routes = next.table().cloned();
        self.snapshot.configuration = Some(next);
    }

    fn change_shards(&mut self, service: ServiceName, change: &ShardChange) {
        let mut shards = self.snapshot.shards.get(&service).cloned().unwrap_or_default();
        Rc::make_mut(&mut shards).apply(self.snapshot.zxid, change);
        self.snapshot.shards.insert(service, shards);
    }

    /// Endpoints of an evacuated zone let go of their keys.
    fn evacuate(&mut self, zone: ZoneName) {
        let there: Vec<InstanceId> =
            self.instances().filter(|instance| instance.zone == zone).map(|instance| instance.id.clone()).collect();
        there.iter().for_each(|id| self.revoke_keys(id));
        self.snapshot.evacuations.begin(zone, self.snapshot.zxid);
    }

    /// The maps in which an endpoint holds keys. It serves one service in its life.
    fn shards_held_by(&self, id: &InstanceId) -> Vec<(ServiceName, Rc<ShardMap>)> {
        let holds = |shards: &Rc<ShardMap>| shards.shards().iter().any(|shard| shard.holding.owner() == Some(id));
        let maps = self.snapshot.shards.iter().filter(|(_, shards)| holds(shards));
        maps.map(|(service, shards)| (service.clone(), shards.clone())).collect()
    }

    /// An endpoint leaves, or is silent: it is to let go of its keys.
    fn revoke_keys(&mut self, id: &InstanceId) {
        for (service, mut shards) in self.shards_held_by(id) {
            Rc::make_mut(&mut shards).revoke_all(id, self.snapshot.zxid);
            self.snapshot.shards.insert(service, shards);
        }
    }

    /// An endpoint's process is certainly over.
    fn free_keys(&mut self, id: &InstanceId) {
        for (service, mut shards) in self.shards_held_by(id) {
            Rc::make_mut(&mut shards).free_all(id);
            self.snapshot.shards.insert(service, shards);
        }
    }

    fn end(&mut self, id: &InstanceId) {
        self.remove(id);
        if !self.snapshot.ended.contains(id) {
            self.snapshot.ended.push((), id.clone(), REMEMBERED);
        }
    }

    /// What brings a node at `zxid` to this state; `None` when it is there already.
    pub fn news_since(&self, zxid: Zxid) -> Option<FleetNews> {
        if zxid >= self.snapshot.zxid {
            return None;
        }
        let Some(changes) = self.tail.after(zxid) else {
            let mut told = self.told_whole.borrow_mut();
            let zxid = self.snapshot.zxid;
            if told.as_ref().is_none_or(|(at, _)| *at != zxid) {
                *told = Some((zxid, Packed::pack(&self.snapshot)));
            }
            return told.clone().map(|(zxid, snapshot)| FleetNews::Whole { zxid, snapshot });
        };
        Some(FleetNews::Changes(changes))
    }

    /// The whole state, for a node whose own is in doubt.
    pub fn whole(&self) -> FleetNews {
        FleetNews::Whole { zxid: self.snapshot.zxid, snapshot: Packed::pack(&self.snapshot) }
    }

    /// Takes the whole state in place of its own, though it may be no newer; true when it did.
    pub fn replace(&mut self, news: FleetNews) -> bool {
        let FleetNews::Whole { zxid, snapshot } = news else { return false };
        let whole = snapshot.unpack::<FleetSnapshot>().ok().filter(|_| zxid >= self.snapshot.zxid);
        whole.map(|whole| *self = Self::from_snapshot(whole)).is_some()
    }

    /// Takes news asked for at `since`; true when this state moved on.
    pub fn take(&mut self, since: Zxid, news: FleetNews) -> bool {
        let before = self.snapshot.zxid;
        match news {
            FleetNews::Whole { zxid, snapshot } if zxid > before => {
                let Ok(whole) = snapshot.unpack::<FleetSnapshot>() else { return false };
                *self = Self::from_snapshot(whole);
                *self.told_whole.borrow_mut() = Some((zxid, snapshot));
            }
            FleetNews::Changes(changes) if since == before => {
                for (zxid, packed) in changes.into_iter().filter(|(zxid, _)| *zxid > before) {
                    let Ok(change) = packed.unpack() else { break };
                    if zxid <= self.snapshot.zxid {
                        break;
                    }
                    self.apply_with_news(zxid, change, Some(TailEntry::ready(packed)));
                }
            }
            _ => {}
        }
        self.snapshot.zxid > before
    }
}

#[cfg(test)]
mod tests;
