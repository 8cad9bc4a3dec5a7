//! Room kept for routes that cannot be late, as the primary has it in force.

use borsh::{BorshDeserialize, BorshSerialize};
use trackbed::random::stable_hash;

/// Of one service, while it is in force.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Reservation {
    pub service: String,
    /// What the routes that can wait may take of each endpoint's slots. Invariant: above zero, below one.
    pub deferrable_share: f64,
    /// The routes that can wait. Invariant: never all of the service's.
    pub deferrable: Vec<String>,
}

#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Reservations {
    /// The hour that they were planned for, as hours since 1970; for operators.
    pub hour: u64,
    pub services: Vec<Reservation>,
}

impl Reservation {
    /// Slots of an endpoint that routes that can wait may take together: one at least, so that none starves.
    pub fn slots(&self, slots: u32) -> u32 {
        ((slots as f64 * self.deferrable_share).floor() as u32).clamp(1, slots.max(1))
    }
}

impl Reservations {
    pub fn of(&self, service: &str) -> Option<&Reservation> {
        self.services.iter().find(|reservation| reservation.service == service)
    }

    /// The routes of a service that can wait, as requests name them, and the slots that they may take.
    pub fn bound(&self, service: &str, slots: u32) -> Option<(Vec<u64>, u32)> {
        let reservation = self.of(service)?;
        let sorts = reservation.deferrable.iter().map(|route| stable_hash(route)).collect();
        Some((sorts, reservation.slots(slots)))
    }
}
