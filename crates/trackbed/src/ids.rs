//! Small types for names and epochs.

use borsh::{BorshDeserialize, BorshSerialize};
use derive_more::Display;
use std::rc::Rc;

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Rc<str>);

        impl $name {
            /// The name with this text.
            pub fn new(text: &str) -> Self {
                Self(Rc::from(text))
            }
            /// The name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl BorshSerialize for $name {
            fn serialize<W: borsh::io::Write>(&self, writer: &mut W) -> borsh::io::Result<()> {
                self.0.as_ref().serialize(writer)
            }
        }

        impl BorshDeserialize for $name {
            fn deserialize_reader<R: borsh::io::Read>(reader: &mut R) -> borsh::io::Result<Self> {
                Ok(Self(Rc::from(String::deserialize_reader(reader)?.as_str())))
            }
        }
    };
}

name_type!(
    /// A machine's name, as its settings give it.
    NodeName
);
name_type!(
    /// One life of an endpoint.
    InstanceId
);
name_type!(
    /// A service, as the configuration names it.
    ServiceName
);
name_type!(
    /// A zone, as the settings name it.
    ZoneName
);
name_type!(
    /// A region, as the settings name it.
    RegionName
);

/// A configuration's version: `r12` on the wire, compared by its number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize, Display,
)]
#[display("r{_0}")]
pub struct ConfigEpoch(pub u64);

impl ConfigEpoch {
    /// Reads `r12`, or the bare `0` that stands for "none yet".
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim().trim_matches('"');
        let digits = text.strip_prefix('r').unwrap_or(text);
        if digits.is_empty() || digits.len() > 18 || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        digits.parse().ok().map(Self)
    }
}

/// One life of a node's process, rising with each start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize, Display,
)]
pub struct Incarnation(pub u64);

/// Zab's epoch: one per established primary.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize, Display,
)]
pub struct ZabEpoch(pub u64);

/// A transaction's identifier: epoch first, then counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize, Display,
)]
#[display("{epoch}.{counter}")]
pub struct Zxid {
    /// The epoch of the primary that proposed it.
    pub epoch: ZabEpoch,
    /// Its place among that primary's transactions.
    pub counter: u64,
}

impl Zxid {
    /// Before all transactions.
    pub const ZERO: Zxid = Zxid { epoch: ZabEpoch(0), counter: 0 };

    /// The identifier with this epoch and counter.
    pub fn new(epoch: u64, counter: u64) -> Self {
        Self { epoch: ZabEpoch(epoch), counter }
    }
}

/// A disk's life at a member of the core. A new or lost disk is a new one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize, Display,
)]
#[display("{_0:016x}")]
pub struct MemberId(pub u64);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn epochs_are_read_by_their_number() {
        assert_eq!(ConfigEpoch::parse("r12"), Some(ConfigEpoch(12)));
        assert_eq!(ConfigEpoch::parse("0"), Some(ConfigEpoch(0)));
        assert_eq!(ConfigEpoch::parse("r"), None);
        assert_eq!(ConfigEpoch::parse("r-1"), None);
        assert!(ConfigEpoch(9) < ConfigEpoch(10));
    }

    #[test]
    fn zxids_compare_epoch_first() {
        assert!(Zxid::new(1, 99) < Zxid::new(2, 0));
        assert!(Zxid::new(2, 1) < Zxid::new(2, 2));
    }
}
