//! The zones whose endpoints are to get nothing.

use crate::shared::SharedMap;
use borsh::{BorshDeserialize, BorshSerialize};
use std::io::{self, Read, Write};
use trackbed::ids::{ZoneName, Zxid};

/// Stands before the zones, so that a state from before there were evacuations is not read as one of now.
const MARK: u64 = 0x5a6f_6e65_732d_4f75;

/// The zones that are evacuated, each with the change that ordered it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuations(SharedMap<ZoneName, Zxid>);

impl Evacuations {
    /// Whether nothing is to go to a zone's endpoints.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.0.contains_key(zone)
    }

    /// Every evacuated zone, and the change that ordered it.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneName, &Zxid)> {
        self.0.iter()
    }

    pub(super) fn begin(&mut self, zone: ZoneName, zxid: Zxid) {
        if !self.contains(&zone) {
            self.0.insert(zone, zxid);
        }
    }

    pub(super) fn end(&mut self, zone: &ZoneName) {
        self.0.remove(zone);
    }
}

impl BorshSerialize for Evacuations {
    fn serialize<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        MARK.serialize(writer)?;
        self.0.serialize(writer)
    }
}

impl BorshDeserialize for Evacuations {
    fn deserialize_reader<R: Read>(reader: &mut R) -> io::Result<Self> {
        if u64::deserialize_reader(reader)? != MARK {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "no evacuations stand here"));
        }
        SharedMap::deserialize_reader(reader).map(Self)
    }
}
