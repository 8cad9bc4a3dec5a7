//! A small generator for jitter, ids and choices; seeded, so that tests repeat.

/// The generator's state.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// A generator that draws the same numbers for the same seed.
    pub fn seeded(seed: u64) -> Self {
        Self(seed ^ 0x9e37_79b9_7f4a_7c15)
    }

    /// Seeded by the operating system's own randomness.
    pub fn from_system() -> Self {
        use std::hash::{BuildHasher, Hasher};
        let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
        hasher.write_u64(std::process::id() as u64);
        let mut seed = hasher.finish();
        if let Ok(mut file) = std::fs::File::open("/dev/urandom") {
            let mut bytes = [0u8; 8];
            if std::io::Read::read_exact(&mut file, &mut bytes).is_ok() {
                seed ^= u64::from_le_bytes(bytes);
            }
        }
        Self::seeded(seed)
    }

    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `limit`; zero when the limit is zero.
    pub fn below(&mut self, limit: u64) -> u64 {
        if limit == 0 { 0 } else { self.draw() % limit }
    }

    /// True for this share of all draws.
    pub fn chance(&mut self, share: f64) -> bool {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64 <= share
    }

    /// Puts items into an order by chance.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for index in (1..items.len()).rev() {
            items.swap(index, self.below(index as u64 + 1) as usize);
        }
    }
}

/// A number that a text always maps to, on every machine.
pub fn stable_hash(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for byte in text.bytes() {
        hash = (hash ^ byte as u64).wrapping_mul(0x0100_0000_01b3);
    }
    Random(hash).draw()
}
