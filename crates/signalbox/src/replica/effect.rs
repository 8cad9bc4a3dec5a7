//! What a replica wants done, as data.

use interlocking::zab::{Envelope, Record, Ticket, Voter};
use lineside::call::ControlReturn;
use std::net::SocketAddr;
use std::rc::Rc;
use timetable::configuration::Routes;
use trackbed::ids::ZabEpoch;

/// Names one call for as long as it is under way. Invariant: never used twice by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A call of an operator or an application has its answer.
    Answered(ControlReturn),
    /// A change of the fleet is committed.
    Committed,
    /// Nothing was done and nothing will be.
    NotPrimary,
    /// Whether the change took effect can't be told here.
    Unknown,
}

/// Where a call is to be decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// This member is the primary.
    Here,
    Forward(Voter),
    NoPrimary,
}

/// One thing to carry out.
pub enum Effect {
    Send {
        to: SocketAddr,
        envelope: Envelope,
    },
    /// To be reported back by `Replica::durable` once it and all before it is on disk.
    Persist {
        ticket: Ticket,
        records: Vec<Record>,
    },
    Finish {
        call: CallId,
        outcome: Outcome,
    },
    /// A configuration is in force from here on.
    ConfigurationCommitted(Rc<Routes>),
    /// The fleet's part of the state moved on.
    FleetMoved,
    BecamePrimary {
        epoch: ZabEpoch,
    },
    Deposed,
}

impl Effect {
    /// The answer to a call.
    pub fn answer(call: CallId, answer: ControlReturn) -> Self {
        Self::Finish { call, outcome: Outcome::Answered(answer) }
    }
}
