//! What the state machine wants done.

use super::history::{Entry, Frame, Voter};
use super::messages::Message;
use borsh::{BorshDeserialize, BorshSerialize};
use trackbed::ids::{MemberId, ZabEpoch, Zxid};

/// Names a write. Completions come in the order of tickets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// One thing on disk, after the image that a slot holds.
#[derive(Clone, Debug, PartialEq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Record {
    /// f.p, and the leader it was promised to: an epoch's number belongs to one leader only.
    Promised(ZabEpoch, MemberId),
    /// f.a
    Current(ZabEpoch),
    Append(Entry),
    /// The history ends at this zxid.
    Truncate(Zxid),
    /// The history begins anew with this frame.
    Restart(Frame),
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Action {
    Send {
        to: Voter,
        message: Message,
    },
    Persist {
        ticket: Ticket,
        records: Vec<Record>,
    },
    /// abdeliver
    Deliver {
        zxid: Zxid,
        payload: Vec<u8>,
    },
    /// The state at a frame replaces what was delivered.
    DeliverFrame {
        zxid: Zxid,
        state: Vec<u8>,
    },
    /// ready(e): this node is the primary of the epoch.
    Ready {
        epoch: ZabEpoch,
    },
    /// This node is no longer the primary.
    Deposed,
}
