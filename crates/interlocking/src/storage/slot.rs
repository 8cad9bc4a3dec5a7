//! A slot: one whole image, with a mark, its length and a checksum before it.

use super::error::StorageError;
use crate::zab::{Entry, Image, Snapshot};
use borsh::{BorshDeserialize, BorshSerialize};
use trackbed::ids::{MemberId, ZabEpoch};

/// What every slot's mark begins with; two digits of the format's version follow.
const MARK_PREFIX: &[u8; 6] = b"fhslot";
/// A later format's mark must differ from this one in more than one bit, so that a flipped bit
/// isn't taken for a later version: 02 is the next that does.
const MARK: [u8; 8] = *b"fhslot01";
/// Mark, length, checksum.
const HEAD: usize = 20;

#[derive(BorshSerialize, BorshDeserialize)]
pub(super) struct Slot {
    pub generation: u64,
    member: MemberId,
    promised: ZabEpoch,
    promised_to: MemberId,
    current: ZabEpoch,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Slot {
    pub fn of(image: &Image) -> Self {
        Self {
            generation: 0,
            member: image.member,
            promised: image.promised,
            promised_to: image.promised_to,
            current: image.current,
            snapshot: image.snapshot.clone(),
            entries: image.entries.clone(),
        }
    }

    pub fn into_image(self) -> Image {
        Image {
            member: self.member,
            promised: self.promised,
            promised_to: self.promised_to,
            current: self.current,
            snapshot: self.snapshot,
            entries: self.entries,
        }
    }

    /// As it stands in the file.
    pub fn encode(&self) -> Vec<u8> {
        let body = borsh::to_vec(self).expect("writing to memory can't fail");
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend_from_slice(&MARK);
        bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// The slot in a file's bytes; nothing where it is torn, spoilt or was never written.
    pub fn read(bytes: &[u8]) -> Result<Option<Self>, StorageError> {
        if let Some(version) = later_version(bytes) {
            return Err(StorageError::LaterVersion { version });
        }
        let Some(body) = checked_body(bytes) else {
            return Ok(None);
        };
        let slot = Self::try_from_slice(body).map_err(|_| StorageError::UnknownContent)?;
        Ok(Some(slot))
    }
}

fn checked_body(bytes: &[u8]) -> Option<&[u8]> {
    let mark = bytes.get(..8)?;
    let length = u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(16..HEAD)?.try_into().ok()?);
    let body = bytes.get(HEAD..HEAD.checked_add(length)?)?;
    (mark == MARK && crc32fast::hash(body) == sum).then_some(body)
}

/// The version of a mark that is whole and not ours.
fn later_version(bytes: &[u8]) -> Option<u8> {
    let mark = bytes.get(..8)?;
    let digits = mark.strip_prefix(MARK_PREFIX)?;
    let different_bits: u32 = mark.iter().zip(MARK).map(|(found, own)| (found ^ own).count_ones()).sum();
    if different_bits < 2 {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
