//! Why an ordered change is not applied.

use derive_more::{Display, Error};

/// A change that doesn't fit the ledger. It follows from the ledger alone, so that every member refuses the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The fence is neither above all that were given nor its holder's own.
    #[display("its fence is neither new nor its holder's own")]
    Fence,
    /// The number is not above the last one of its name.
    #[display("its number does not rise")]
    Number,
    /// The revision is not the group's next.
    #[display("its revision does not follow the group's last one")]
    Revision,
    /// The slot is not the history's next.
    #[display("its hour does not follow the last one")]
    Slot,
    /// The fleet's state is at the change's place already, or past it.
    #[display("the fleet's state is past it")]
    Place,
}
