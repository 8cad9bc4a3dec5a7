//! The holders of all keys of one service.

use super::range::KeyRange;
use super::{ShardChange, fence_at};
use borsh::{BorshDeserialize, BorshSerialize};
use std::io::{self, Read};
use trackbed::ids::{InstanceId, Zxid};

/// Who may run requests for a range's keys.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Holding {
    /// Nobody does, and no earlier hold can be in force. `handover` is what the last holder left, or empty.
    Free {
        /// What the last holder left for the next, or empty.
        handover: String,
    },
    /// `owner` does, by its fence.
    Held {
        /// The holder.
        owner: InstanceId,
        /// Above that of every earlier holder.
        fence: u64,
        /// What the holder before left for this one, or empty.
        handover: String,
    },
    /// `owner` still may, and is to let go. Nobody else may until it has, or its hold has run out.
    Releasing {
        /// The holder.
        owner: InstanceId,
        /// The fence of its hold; nothing where the state comes from a former version.
        fence: Option<u64>,
        /// The change that revoked its hold.
        revoked: Zxid,
    },
}

impl Holding {
    /// The endpoint that may be running requests for these keys.
    pub fn owner(&self) -> Option<&InstanceId> {
        match self {
            Self::Free { .. } => None,
            Self::Held { owner, .. } | Self::Releasing { owner, .. } => Some(owner),
        }
    }

    fn unclaimed() -> Self {
        Self::Free { handover: String::new() }
    }
}

/// A range of keys that share one holding.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Shard {
    /// The keys.
    pub range: KeyRange,
    /// Who may run requests for them.
    pub holding: Holding,
}

/// Invariant: the shards cover all keys in order, without gap or overlap, and neighbours differ in their holding.
#[derive(Clone, Debug, PartialEq, BorshSerialize)]
pub struct ShardMap {
    shards: Vec<Shard>,
}

impl BorshDeserialize for ShardMap {
    fn deserialize_reader<R: Read>(reader: &mut R) -> io::Result<Self> {
        let shards = Vec::<Shard>::deserialize_reader(reader)?;
        match covers_all_keys(&shards) {
            true => Ok(Self { shards }),
            false => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Whether ranges stand in order and leave no key out.
fn covers_all_keys(shards: &[Shard]) -> bool {
    let mut next = Some(0);
    for shard in shards {
        if next != Some(shard.range.first()) {
            return false;
        }
        next = shard.range.last().checked_add(1);
    }
    next.is_none()
}

impl Default for ShardMap {
    fn default() -> Self {
        Self { shards: vec![Shard { range: KeyRange::ALL, holding: Holding::unclaimed() }] }
    }
}

impl ShardMap {
    /// A map of shards that keep to its invariant.
    pub(super) fn of(shards: Vec<Shard>) -> Self {
        Self { shards }
    }

    /// All shards, in the order of their keys.
    pub fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// The shard that a key is in.
    pub fn shard_of(&self, key: u16) -> &Shard {
        let at = self.shards.partition_point(|shard| shard.range.last() < key);
        &self.shards[at]
    }

    /// The endpoint that runs requests for a key now, or did last where it is to let go.
    pub fn owner_of(&self, key: u16) -> Option<&InstanceId> {
        self.shard_of(key).holding.owner()
    }

    /// What an endpoint is to hold: range, fence, and the handover of the last holder.
    pub fn held_by(&self, owner: &InstanceId) -> impl Iterator<Item = (KeyRange, u64, &str)> {
        self.shards.iter().filter_map(move |shard| match &shard.holding {
            Holding::Held { owner: holder, fence, handover } if holder == owner => {
                Some((shard.range, *fence, handover.as_str()))
            }
            _ => None,
        })
    }

    /// Makes a step that was ordered at `zxid`. What no longer fits the present holding of a range changes nothing.
    pub fn apply(&mut self, zxid: Zxid, change: &ShardChange) {
        match change {
            ShardChange::Grant(grants) => grants.iter().for_each(|(range, owner)| {
                self.change(*range, |holding| match holding {
                    Holding::Free { handover } => {
                        Some(Holding::Held { owner: owner.clone(), fence: fence_at(zxid), handover: handover.clone() })
                    }
                    _ => None,
                })
            }),
            ShardChange::Revoke(ranges) => {
                ranges.iter().for_each(|(range, owner)| self.change(*range, |holding| revoked(holding, owner, zxid)))
            }
            ShardChange::Released { owner, ranges, seen } => ranges.iter().for_each(|(range, handover)| {
                self.change(*range, |holding| {
                    let free = Holding::Free { handover: handover.clone() };
                    was_revoked_by(holding, owner, *seen).then_some(free)
                })
            }),
            ShardChange::Expired { owner, revoked } => {
                self.change(KeyRange::ALL, |holding| was_revoked_by(holding, owner, *revoked).then(Holding::unclaimed))
            }
        }
    }

    /// An endpoint leaves or has gone silent: it is to let go of all that it holds. False where it holds nothing.
    pub fn revoke_all(&mut self, owner: &InstanceId, zxid: Zxid) -> bool {
        let held = self.held_by(owner).next().is_some();
        if held {
            self.change(KeyRange::ALL, |holding| revoked(holding, owner, zxid));
        }
        held
    }

    /// An endpoint's process is certainly over: nobody holds its keys. False where it held none.
    pub fn free_all(&mut self, owner: &InstanceId) -> bool {
        let held = self.shards.iter().any(|shard| shard.holding.owner() == Some(owner));
        if held {
            let free = |holding: &Holding| (holding.owner() == Some(owner)).then(Holding::unclaimed);
            self.change(KeyRange::ALL, free);
        }
        held
    }

    /// Replaces the holding of every shard within a range, where there is something to replace it by.
    fn change(&mut self, range: KeyRange, next: impl Fn(&Holding) -> Option<Holding>) {
        let mut shards = Vec::with_capacity(self.shards.len() + 2);
        for shard in std::mem::take(&mut self.shards) {
            let changed = shard.range.intersection(range).zip(next(&shard.holding));
            let Some((inside, holding)) = changed else {
                push(&mut shards, shard);
                continue;
            };
            let (before, after): (Vec<KeyRange>, Vec<KeyRange>) =
                shard.range.without(inside).partition(|left| left.last() < inside.first());
            let kept = |range: KeyRange| Shard { range, holding: shard.holding.clone() };
            before.into_iter().for_each(|range| push(&mut shards, kept(range)));
            push(&mut shards, Shard { range: inside, holding });
            after.into_iter().for_each(|range| push(&mut shards, kept(range)));
        }
        self.shards = shards;
    }
}

fn revoked(holding: &Holding, owner: &InstanceId, zxid: Zxid) -> Option<Holding> {
    match holding {
        Holding::Held { owner: holder, fence, .. } if holder == owner => {
            Some(Holding::Releasing { owner: owner.clone(), fence: Some(*fence), revoked: zxid })
        }
        _ => None,
    }
}

fn was_revoked_by(holding: &Holding, owner: &InstanceId, upto: Zxid) -> bool {
    matches!(holding, Holding::Releasing { owner: holder, revoked, .. } if holder == owner && *revoked <= upto)
}

/// Appends a shard, joined to the last one where both have the same holding.
fn push(shards: &mut Vec<Shard>, shard: Shard) {
    match shards.last_mut() {
        Some(last) if last.holding == shard.holding => {
            last.range = KeyRange::new(last.range.first(), shard.range.last()).expect("shards stand in order");
        }
        _ => shards.push(shard),
    }
}
