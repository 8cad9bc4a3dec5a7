//! Heartbeats, the timeouts of a leader, and its lease.

use super::{Stage, Zab};
use crate::zab::history::Voter;
use crate::zab::messages::{Attempt, Message};
use crate::zab::node::Role;
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// Share of the lease that a leader trusts: clocks run at slightly different speeds.
const LEASE_TRUST: f64 = 0.9;
/// A follower that sent nothing for so long is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);
/// A leader gives up a stage without progress after so many times the patience.
const STAGE_TIMEOUT_FACTOR: u32 = 2;

impl Zab {
    /// Takes the answer to a heartbeat that was sent at `stamp` (microseconds of this leader's clock). `durable`: the
    /// end of the follower's durable history, if it is in step.
    pub(in crate::zab) fn on_pong(
        &mut self,
        from: MemberId,
        attempt: Attempt,
        epoch: ZabEpoch,
        stamp: u64,
        durable: Option<Zxid>,
    ) {
        let now = self.now;
        let Some(follower) = self.follower(from, attempt, epoch) else { return };
        follower.last_heard = now;
        if let Some(last) = durable {
            follower.heartbeat_sent = follower.heartbeat_sent.max(Moment::from_micros(stamp));
            self.on_ack(from, attempt, epoch, last);
        }
    }

    /// Does what is due for a leader now.
    pub(in crate::zab) fn tick_leading(&mut self) {
        if self.has_lost_leadership() {
            self.look();
            return;
        }
        let (now, beat) = (self.now, self.timing.beat);
        let Some(leading) = self.leading() else { return };
        if now < leading.next_heartbeat {
            if leading.commit_unannounced {
                self.send_commit();
            }
            return;
        }
        // The heartbeat announces the commit too.
        leading.commit_unannounced = false;
        leading.next_heartbeat = now + beat;
        if leading.stage == Stage::Discovery {
            self.poll_voters();
            self.try_new_epoch();
            return;
        }
        self.send_new_epoch();
        self.send_heartbeats();
    }

    /// Whether this leader is without a quorum, or makes no progress towards being established.
    fn has_lost_leadership(&self) -> bool {
        let Role::Leading(leading) = &self.role else { return false };
        let (now, patience) = (self.now, self.timing.patience);
        let in_touch = self.count_voters(|follower| now.since(follower.last_heard) < patience);
        let lacks_quorum = in_touch < self.quorum() && now.since(leading.since) >= patience;
        let is_stuck = !leading.is_established() && now.since(leading.progress) > patience * STAGE_TIMEOUT_FACTOR;
        lacks_quorum || is_stuck
    }

    /// Sends the own vote to the other voters.
    fn poll_voters(&mut self) {
        let poll = self.own_poll();
        let others: Vec<Voter> = self.voters().iter().filter(|voter| voter.id != self.me.id).cloned().collect();
        for voter in others {
            self.send(voter, poll.clone());
        }
    }

    /// Sends heartbeats to all who have acknowledged the epoch, in step or not: a transfer can take long.
    fn send_heartbeats(&mut self) {
        let (now, upto, last) = (self.now, self.committed, self.history.last());
        let Some(leading) = self.leading() else { return };
        let epoch = leading.epoch;
        leading.followers.retain(|_, follower| now.since(follower.last_heard) < FORGOTTEN_AFTER);
        for (voter, attempt) in leading.receivers(|follower| follower.epoch_ack.is_some()) {
            self.send(voter, Message::Ping { attempt, epoch, stamp: now.micros(), upto, last });
        }
    }

    /// True while no other primary can be: a quorum, this node included, keeps to this one.
    pub fn lease_holds(&self, now: Moment) -> bool {
        let Role::Leading(leading) = &self.role else { return false };
        if !leading.is_established() {
            return false;
        }
        let trusted = self.timing.lease.mul_f64(LEASE_TRUST);
        self.count_voters(|follower| now < follower.heartbeat_sent + trusted) >= self.quorum()
    }
}
