//! What members say to one another.

use super::history::{Entry, Frame, Voter};
use borsh::{BorshDeserialize, BorshSerialize};
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    pub from: Voter,
    /// Zero for whoever is at the address; else a message to an earlier life of a disk is dropped.
    pub to: MemberId,
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub enum PollState {
    Looking,
    /// Leads an attempt that is not established yet.
    Electing,
    /// About to end, and no part of any election.
    Retired,
    Following(Voter),
    /// An established primary.
    Leading,
}

#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// Election: how far this member is, and whom it follows.
    Poll {
        promised: ZabEpoch,
        current: ZabEpoch,
        last: Zxid,
        state: PollState,
    },
    /// CEPOCH(f.p).
    CurrentEpoch {
        promised: ZabEpoch,
        promised_to: MemberId,
    },
    /// NEWEPOCH(e').
    NewEpoch {
        epoch: ZabEpoch,
    },
    /// ACK-E(f.a, history), the history named by its last zxid.
    AckEpoch {
        epoch: ZabEpoch,
        current: ZabEpoch,
        last: Zxid,
    },
    /// NEWLEADER(e', history): what follows `previous` in the chosen history.
    NewLeader {
        epoch: ZabEpoch,
        previous: Zxid,
        entries: Vec<Entry>,
        frame: Option<Frame>,
    },
    /// `previous` is not in the follower's history; `last` is, and lies before it.
    Behind {
        epoch: ZabEpoch,
        last: Zxid,
    },
    /// ACK-LD: history and epoch are durable.
    AckLeader {
        epoch: ZabEpoch,
        last: Zxid,
    },
    Propose {
        epoch: ZabEpoch,
        previous: Zxid,
        entries: Vec<Entry>,
        /// COMMIT of everything up to here goes along.
        upto: Zxid,
    },
    /// Everything up to `last` is durable.
    Ack {
        epoch: ZabEpoch,
        last: Zxid,
    },
    Commit {
        epoch: ZabEpoch,
        upto: Zxid,
    },
    /// `stamp` is the leader's own clock, and comes back unchanged.
    Ping {
        epoch: ZabEpoch,
        stamp: u64,
        upto: Zxid,
    },
    Pong {
        epoch: ZabEpoch,
        stamp: u64,
    },
}
