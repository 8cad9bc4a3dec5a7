//! What is told to many, packed once: configurations are long and say the same words over and over.

use crate::work::Work;
use borsh::{BorshDeserialize, BorshSerialize};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::borrow::Cow;
use std::io::{self, Read};
use std::rc::Rc;

/// What is shorter is left as it is.
const WORTH_PACKING: usize = 1 << 10;
/// Longest value unpacked, in bytes: a few hundred bytes for each of 16,000 endpoints, and the longest configuration.
const LONGEST: u64 = 32 << 20;
/// Neither begins a value of the kinds that are packed, so that what was written before there was
/// packing can still be read.
const PLAIN: u8 = 0xf0;
const DEFLATED: u8 = 0xf1;

/// A value in its borsh encoding, deflated where that is worth it. Invariant: the first byte says which; bytes
/// without it are a value's own.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Packed(Rc<Vec<u8>>);

impl Packed {
    /// Encodes and packs a value.
    pub fn pack<T: BorshSerialize>(value: &T) -> Self {
        let plain = borsh::to_vec(value).expect("writing to memory can't fail");
        Self::of_plain(&plain)
    }

    fn of_plain(plain: &[u8]) -> Self {
        Work::record(|work| work.values_packed += 1);
        if plain.len() >= WORTH_PACKING {
            let mut packed = vec![DEFLATED];
            let outcome = DeflateEncoder::new(plain, Compression::new(3)).read_to_end(&mut packed);
            if outcome.is_ok() && packed.len() <= plain.len() {
                packed.shrink_to_fit();
                return Self(Rc::new(packed));
            }
        }
        let mut bytes = Vec::with_capacity(plain.len() + 1);
        bytes.push(PLAIN);
        bytes.extend_from_slice(plain);
        Self(Rc::new(bytes))
    }

    /// The value; an error where the bytes hold none.
    pub fn unpack<T: BorshDeserialize>(&self) -> io::Result<T> {
        Self::read(&self.0)
    }

    /// Takes what `into_bytes` gave.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(Rc::new(bytes))
    }

    /// Reads what `into_bytes` gave.
    pub fn read<T: BorshDeserialize>(bytes: &[u8]) -> io::Result<T> {
        T::try_from_slice(&plain(bytes)?)
    }

    /// The same value without the first bytes of its encoding: what stands inside an outer value.
    pub fn without_head(&self, count: usize) -> io::Result<Self> {
        let plain = plain(&self.0)?;
        plain.get(count..).map(Self::of_plain).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// The packed bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        Rc::unwrap_or_clone(self.0)
    }

    /// How many bytes it is, packed.
    pub fn length(&self) -> usize {
        self.0.len()
    }
}

/// The encoding of a packed value.
fn plain(bytes: &[u8]) -> io::Result<Cow<'_, [u8]>> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => Ok(Cow::Borrowed(plain)),
        Some((&DEFLATED, packed)) => {
            let mut plain = Vec::new();
            DeflateDecoder::new(packed).take(LONGEST).read_to_end(&mut plain)?;
            Ok(Cow::Owned(plain))
        }
        _ => Ok(Cow::Borrowed(bytes)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_values_take_less_and_come_back_as_they_were() {
        for count in [0usize, 3, 400] {
            let route = |index| {
                format!("{{\"hostname\":\"h{index}.example\",\"path_prefix\":\"/p{index}/\",\"timeout_s\":1.5}}")
            };
            let value: Vec<String> = (0..count).map(route).collect();
            let packed = Packed::pack(&value);
            assert_eq!(packed.unpack::<Vec<String>>().unwrap(), value);
            let plain = borsh::to_vec(&value).unwrap().len();
            assert!(packed.length() <= plain + 1 && (count < 400 || packed.length() * 4 < plain));
        }
        assert!(Packed::read::<u64>(&[]).is_err());
        assert!(Packed::read::<u64>(&[DEFLATED, 1, 2]).is_err());
        assert_eq!(Packed::read::<u64>(&7u64.to_le_bytes()).unwrap(), 7, "written before there was packing");
    }
}
