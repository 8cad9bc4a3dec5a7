//! The properties over a whole run: what was broadcast, delivered and acknowledged, and by whom.

use crate::member::{Change, Host, Member};
use std::collections::BTreeMap;
use trackbed::ids::{ZabEpoch, Zxid};

/// A change as its primary broadcast it.
#[derive(Clone, Copy, Hash)]
struct Broadcast {
    host: Host,
    zxid: Zxid,
}

/// Remembers what the properties need, and the first one that is broken.
#[derive(Clone, Default, Hash)]
pub struct Observer {
    broadcast: BTreeMap<Change, Broadcast>,
    /// What any member delivered, in the one order.
    order: Vec<Change>,
    /// How many of `order` were acknowledged to a client.
    acknowledged: usize,
    primaries: BTreeMap<ZabEpoch, Host>,
    violation: Option<String>,
}

impl Observer {
    pub fn violation(&self) -> Option<&String> {
        self.violation.as_ref()
    }

    pub fn epochs(&self) -> usize {
        self.primaries.len()
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged
    }

    pub fn acknowledged_zxids(&self) -> impl Iterator<Item = Zxid> {
        self.order[..self.acknowledged].iter().map(|change| self.broadcast[change].zxid)
    }

    pub fn next_change(&self) -> Change {
        self.broadcast.len() as Change + 1
    }

    pub fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    pub fn on_broadcast(&mut self, host: Host, change: Change, zxid: Zxid) {
        self.broadcast.insert(change, Broadcast { host, zxid });
    }

    pub fn on_ready(&mut self, host: Host, epoch: ZabEpoch, member: &Member) {
        if self.primaries.insert(epoch, host).is_some() {
            self.fail(format!("primary integrity: two primaries of epoch {epoch}"));
        }
        if member.delivered.len() < self.acknowledged {
            self.fail(format!("primary integrity: the primary of epoch {epoch} lacks an acknowledged change"));
        }
        if member.delivered.len() < self.order.len() {
            self.fail(format!("primary integrity: the primary of epoch {epoch} lacks a delivered change"));
        }
    }

    /// The member's newest delivery, which is in its `delivered` already.
    pub fn on_deliver(&mut self, host: Host, zxid: Zxid, member: &Member) {
        let place = member.delivered.len() - 1;
        let change = member.delivered[place];
        let Some(broadcast) = self.broadcast.get(&change).copied() else {
            self.fail(format!("integrity: change {change} was delivered and never broadcast"));
            return;
        };
        if broadcast.zxid != zxid {
            self.fail(format!("integrity: change {change} of {} was delivered as {zxid}", broadcast.zxid));
        }
        match self.order.get(place) {
            Some(known) if *known == change => {}
            Some(known) => {
                self.fail(format!(
                    "total order, agreement: changes {known} and {change} were both delivered as number {place}"
                ));
            }
            None => self.extend_order(change, broadcast),
        }
        if broadcast.host == host && member.is_primary_of(zxid) {
            self.acknowledged = self.acknowledged.max(place + 1);
        }
    }

    fn extend_order(&mut self, change: Change, broadcast: Broadcast) {
        let zxid = broadcast.zxid;
        let last = self.order.last().map(|last| self.broadcast[last].zxid);
        if last.is_some_and(|last| last >= zxid) {
            self.fail(format!("global primary order: {zxid} was delivered after {}", last.unwrap_or_default()));
        }
        let skipped = self.broadcast.iter().find(|(other, earlier)| {
            earlier.zxid.epoch == zxid.epoch && earlier.zxid < zxid && !self.order.contains(other)
        });
        if let Some((_, skipped)) = skipped {
            self.fail(format!("local primary order: {zxid} was delivered without {}", skipped.zxid));
        }
        if let Some((epoch, _)) = self.primaries.last_key_value().filter(|(epoch, _)| **epoch > zxid.epoch) {
            self.fail(format!("primary integrity: {zxid} was first delivered after epoch {epoch} had begun"));
        }
        self.order.push(change);
    }

    pub fn on_deliver_snapshot(&mut self, state: &[Change]) {
        if !self.order.starts_with(state) {
            self.fail(format!("agreement: the state {state:?} is no prefix of {:?}", self.order));
        }
    }
}
