//! What calls and messages may take of a core process's memory. The process dies above its limit, and whoever got no
//! answer sends the same call to the next core node: no call may cost a node its life.

use trackbed::http::BodyLimits;

/// Parts of the memory that the longest configuration may take as it is sent: it is held, parsed and encoded, which
/// comes to several times its length.
const CONFIGURATION_SHARE: u64 = 128;
/// Parts of the memory that the bodies of all configurations under way may take.
const CONFIGURATIONS_SHARE: u64 = 32;
/// Parts of the memory kept for the bodies of other calls, however many configurations are under way.
const CALLS_SHARE: u64 = 64;
/// The longest body of a call that brings no configuration, in bytes.
const LONGEST_CALL: u64 = 64 << 10;
/// A configuration as one member passes it to another: its items are counted apart, and a call's other fields stand
/// beside it.
const FRAME_FACTOR: u64 = 2;
const FRAME_REST: u64 = 1 << 20;

/// The shares of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    memory_bytes: u64,
}

impl MemoryShares {
    /// The shares of so much memory.
    pub fn of(memory_mb: u64) -> Self {
        Self { memory_bytes: memory_mb << 20 }
    }

    /// What is taken of a configuration's body.
    pub fn configuration(&self) -> BodyLimits {
        BodyLimits { longest: self.memory_bytes / CONFIGURATION_SHARE, room: self.memory_bytes / CONFIGURATIONS_SHARE }
    }

    /// What is taken of any other call's body.
    pub fn call(&self) -> BodyLimits {
        let room = self.configuration().room + self.memory_bytes / CALLS_SHARE;
        BodyLimits { longest: LONGEST_CALL, room }
    }

    /// The longest message that is taken from another node, in bytes.
    pub fn longest_frame(&self) -> usize {
        (self.configuration().longest * FRAME_FACTOR + FRAME_REST) as usize
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn other_calls_have_room_however_many_configurations_are_under_way() {
        for memory_mb in [64, 256, 1024] {
            let shares = MemoryShares::of(memory_mb);
            let (configuration, call) = (shares.configuration(), shares.call());
            assert!(configuration.longest <= configuration.room);
            assert!(configuration.room + call.longest <= call.room);
            assert!(configuration.longest < shares.longest_frame() as u64);
        }
    }
}
