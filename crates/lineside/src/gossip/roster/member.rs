//! One row of the membership table.

use crate::gossip::{Card, Occupancy, Standing};
use std::net::SocketAddr;
use trackbed::clock::Moment;
use trackbed::ids::{ConfigEpoch, Zxid};

/// What this node knows of another member.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) card: Card,
    /// When the standing last changed, or was last put in doubt.
    pub(super) since: Moment,
    /// When the member itself last gave a sign of life: a datagram, or a reply over a stream.
    pub(super) last_seen: Moment,
    /// The newest occupancy that the member reported of its endpoint, and when.
    pub(super) occupancy: Option<(Occupancy, Moment)>,
    /// The fleet state and the configuration that the member last reported.
    pub(super) progress: (Zxid, ConfigEpoch),
}

impl Member {
    /// A member first heard of at `now`.
    pub(super) fn new(card: Card, now: Moment) -> Self {
        Self { card, since: now, last_seen: now, occupancy: None, progress: Default::default() }
    }

    /// Where the member takes datagrams.
    pub(super) fn address(&self) -> SocketAddr {
        self.card.peer.address
    }

    /// The member's standing in the newest card of it.
    pub(super) fn standing(&self) -> Standing {
        self.card.standing
    }
}
