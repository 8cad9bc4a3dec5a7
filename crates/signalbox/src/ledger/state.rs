//! The whole ordered state. Applying a change asks no clock but for how long history is kept.

use super::cells::CellGroup;
use super::changes::{Change, FLEET_HEAD};
use super::history::{History, Plan};
use super::refusal::Refusal;
use borsh::{BorshDeserialize, BorshSerialize};
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{
    FleetSnapshot, FleetSnapshotBefore, FleetSnapshotBeforeEvacuations, FleetSnapshotBeforeFences,
    FleetSnapshotBeforeShards, FleetState,
};
use timetable::packed::Packed;
use timetable::shared::SharedMap;
use trackbed::clock::Moment;
use trackbed::ids::Zxid;

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct LockRecord {
    pub holder: String,
    pub fence: u64,
    /// The longest hold granted. A new primary counts it from when it took over.
    pub hold_millis: u64,
}

#[derive(BorshSerialize, BorshDeserialize)]
struct LedgerSnapshot<F> {
    fleet: F,
    locks: SharedMap<String, LockRecord>,
    last_fence: u64,
    numbers: SharedMap<String, u64>,
    groups: SharedMap<String, CellGroup>,
}

/// What stands behind the rest since there is a forecast.
#[derive(BorshSerialize, BorshDeserialize)]
struct Foresight {
    history: Rc<History>,
    plans: Vec<Plan>,
}

/// Plans kept: of the hour, and of the next.
const MOST_PLANS: usize = 2;

impl<F: BorshDeserialize> LedgerSnapshot<F> {
    /// Reads a ledger whose fleet is encoded as `F`, with what stands behind it.
    fn read(mut state: &[u8]) -> borsh::io::Result<(Self, Option<Foresight>)> {
        let snapshot = Self::deserialize(&mut state)?;
        match state.is_empty() {
            true => Ok((snapshot, None)),
            false => Ok((snapshot, Some(Foresight::try_from_slice(state)?))),
        }
    }

    fn with_fleet_of_now(self) -> LedgerSnapshot<FleetSnapshot>
    where
        F: Into<FleetSnapshot>,
    {
        let Self { fleet, locks, last_fence, numbers, groups } = self;
        LedgerSnapshot { fleet: fleet.into(), locks, last_fence, numbers, groups }
    }
}

/// Reads a ledger as it is now, or as it stood on disks before there were evacuations, revoked holds kept their fences, keys had holders, or there was a forecast, or councils.
fn read(state: &[u8]) -> borsh::io::Result<(LedgerSnapshot<FleetSnapshot>, Option<Foresight>)> {
    if let Ok(now) = LedgerSnapshot::read(state) {
        return Ok(now);
    }
    if let Ok((before, foresight)) = LedgerSnapshot::<FleetSnapshotBeforeEvacuations>::read(state) {
        return Ok((before.with_fleet_of_now(), foresight));
    }
    if let Ok((before, foresight)) = LedgerSnapshot::<FleetSnapshotBeforeFences>::read(state) {
        return Ok((before.with_fleet_of_now(), foresight));
    }
    if let Ok((before, foresight)) = LedgerSnapshot::<FleetSnapshotBeforeShards>::read(state) {
        return Ok((before.with_fleet_of_now(), foresight));
    }
    let before = LedgerSnapshot::<FleetSnapshotBefore>::try_from_slice(state)?;
    Ok((before.with_fleet_of_now(), None))
}

/// Copies share their structure. Invariant: the same changes in the same order make the same ledger on every node.
#[derive(Clone, Default)]
pub struct Ledger {
    pub fleet: FleetState,
    pub locks: SharedMap<String, LockRecord>,
    /// Invariant: no fence given is above it.
    pub last_fence: u64,
    pub numbers: SharedMap<String, u64>,
    pub groups: SharedMap<String, CellGroup>,
    /// What was asked of each route, hour by hour.
    pub history: Rc<History>,
    /// Room to be kept. Invariant: hours rise, `MOST_PLANS` at most.
    pub plans: Vec<Plan>,
    /// How long events of keys are kept.
    kept: Duration,
}

impl Ledger {
    pub fn new(history: Duration) -> Self {
        // Twice the promise and more: what a watcher was told last is never forgotten too soon.
        Self { kept: history * 5 / 2, ..Self::default() }
    }

    pub fn encode(&self) -> Vec<u8> {
        let snapshot = LedgerSnapshot {
            fleet: self.fleet.snapshot().clone(),
            locks: self.locks.clone(),
            last_fence: self.last_fence,
            numbers: self.numbers.clone(),
            groups: self.groups.clone(),
        };
        let mut bytes = borsh::to_vec(&snapshot).expect("writing to memory can't fail");
        let foresight = Foresight { history: self.history.clone(), plans: self.plans.clone() };
        foresight.serialize(&mut bytes).expect("writing to memory can't fail");
        bytes
    }

    pub fn decode(state: &[u8], history: Duration, now: Moment) -> borsh::io::Result<Self> {
        let mut ledger = Self::new(history);
        if state.is_empty() {
            return Ok(ledger);
        }
        let (snapshot, foresight) = read(state)?;
        if let Some(Foresight { history, plans }) = foresight {
            (ledger.history, ledger.plans) = (history, plans);
        }
        ledger.fleet = FleetState::from_snapshot(snapshot.fleet);
        ledger.locks = snapshot.locks;
        ledger.last_fence = snapshot.last_fence;
        ledger.numbers = snapshot.numbers;
        let anew = |(name, group): (&String, &CellGroup)| {
            let mut group = group.clone();
            group.restart_history(now);
            (name.clone(), group)
        };
        ledger.groups = snapshot.groups.iter().map(anew).collect();
        Ok(ledger)
    }

    /// A copy that a primary makes its proposals on; nobody asks it for news. Costs the same whatever it holds.
    pub fn for_proposals(&self) -> Self {
        Self { fleet: self.fleet.without_news(), ..self.clone() }
    }

    /// Whether a change fits the ledger as it is.
    ///
    /// # Errors
    ///
    /// [`Refusal`] where it doesn't.
    pub fn check(&self, change: &Change) -> Result<(), Refusal> {
        let (fits, refusal) = match change {
            Change::LockTaken { lock, holder, fence, .. } => {
                let is_own = |known: &LockRecord| known.holder == *holder && known.fence == *fence;
                (*fence > self.last_fence || self.locks.get(lock).is_some_and(is_own), Refusal::Fence)
            }
            Change::Number { name, value } => {
                (*value > self.numbers.get(name).copied().unwrap_or_default(), Refusal::Number)
            }
            Change::CellPut { name, revision, .. } => {
                let last = self.groups.get(group_of(name)).map(|group| group.revision).unwrap_or_default();
                (last.checked_add(1) == Some(*revision), Refusal::Revision)
            }
            Change::Slot(record) => (self.history.follows(record), Refusal::Slot),
            Change::Fleet(_) | Change::LockFreed { .. } | Change::Plan(_) => return Ok(()),
        };
        if fits { Ok(()) } else { Err(refusal) }
    }

    /// The same of a change that was ordered at a place.
    fn check_at(&self, zxid: Zxid, change: &Change) -> Result<(), Refusal> {
        match change {
            Change::Fleet(_) if zxid <= self.fleet.zxid() => Err(Refusal::Place),
            change => self.check(change),
        }
    }

    /// Applies a change as it was delivered: the payload is kept for the fleet's news, and not packed anew.
    ///
    /// # Errors
    ///
    /// [`Refusal`] where the change doesn't fit; the ledger stays as it was.
    pub fn apply_delivered(&mut self, zxid: Zxid, change: Change, payload: Packed, now: Moment) -> Result<(), Refusal> {
        self.check_at(zxid, &change)?;
        match change {
            Change::Fleet(change) => self.fleet.apply_delivered(zxid, change, payload, FLEET_HEAD),
            change => self.apply_checked(zxid, change, now),
        }
        Ok(())
    }

    /// Applies a change.
    ///
    /// # Errors
    ///
    /// [`Refusal`] where the change doesn't fit; the ledger stays as it was.
    pub fn apply(&mut self, zxid: Zxid, change: Change, now: Moment) -> Result<(), Refusal> {
        self.check_at(zxid, &change)?;
        self.apply_checked(zxid, change, now);
        Ok(())
    }

    fn apply_checked(&mut self, zxid: Zxid, change: Change, now: Moment) {
        match change {
            Change::Fleet(change) => self.fleet.apply(zxid, change),
            Change::LockTaken { lock, holder, fence, hold_millis } => {
                self.last_fence = self.last_fence.max(fence);
                self.locks.insert(lock, LockRecord { holder, fence, hold_millis });
            }
            Change::LockFreed { lock, fence } => {
                if self.locks.get(&lock).is_some_and(|known| known.fence == fence) {
                    self.locks.remove(&lock);
                }
            }
            Change::Number { name, value } => self.numbers.insert(name, value),
            Change::CellPut { name, value, revision } => {
                let group_name = group_of(&name).to_owned();
                let mut group = self.groups.get(&group_name).cloned().unwrap_or_default();
                group.put(name, value, revision, now, self.kept);
                self.groups.insert(group_name, group);
            }
            Change::Slot(record) => Rc::make_mut(&mut self.history).push(record),
            Change::Plan(plan) => {
                self.plans.retain(|known| known.hour < plan.hour);
                self.plans.push(plan);
                while self.plans.len() > MOST_PLANS {
                    self.plans.remove(0);
                }
            }
        }
    }
}

/// The part of a key's name up to its first dot.
pub fn group_of(name: &str) -> &str {
    match name.find('.') {
        Some(dot) => &name[..=dot],
        None => name,
    }
}
