//! What the state machine wants done.

use super::history::{Entry, Snapshot, Voter};
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
    /// An entry at the end of the history.
    Append(Entry),
    /// The history ends at this zxid.
    Truncate(Zxid),
    /// The history begins anew with this snapshot.
    Restart(Snapshot),
}

/// What the caller of the state machine is to do, in order.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Action {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: Voter,
        /// The message.
        message: Message,
    },
    /// Write records and make them durable, then call [`Zab::durable`](super::Zab::durable).
    Persist {
        /// Names the write.
        ticket: Ticket,
        /// The records, which are written all or none.
        records: Vec<Record>,
    },
    /// abdeliver
    Deliver {
        /// The transaction's place in the history.
        zxid: Zxid,
        /// The change, as it was proposed.
        payload: Vec<u8>,
    },
    /// The state at a snapshot replaces what was delivered.
    DeliverSnapshot {
        /// The last transaction that the state holds.
        zxid: Zxid,
        /// The application's state.
        state: Vec<u8>,
    },
    /// ready(e): this node is the primary of the epoch.
    Ready {
        /// The epoch that this node leads.
        epoch: ZabEpoch,
    },
    /// This node is no longer the primary.
    Deposed,
}
