//! Who votes, as decisions: state in, decision out. The node and the simulation carry them out.
//!
//! `voters` gives the next set of voters, one change at a time; `hand_over` says what a member that leaves does, and
//! what the primary does for it, until the others hold all that was acknowledged with its help.

mod departing;
mod hand_over;
mod voters;

pub use departing::Departing;
pub use hand_over::{
    Departure, DepartureState, DepartureStep, HAND_OVER_LIMIT, HAND_OVER_PAUSE, HandOver, HandOverStep, is_dispensable,
};
pub use voters::{Membership, TEND_EVERY, next_voters, wanted_voters};

#[cfg(test)]
mod tests;
