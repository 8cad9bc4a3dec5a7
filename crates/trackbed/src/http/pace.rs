//! Long bodies go out in pieces, no faster than most of what the machine's link carries, so that the
//! link's queue stays short for whatever else has to go out.

use super::line::Line;
use crate::clock::{self, Moment};
use std::cell::Cell;
use std::io;
use std::time::Duration;

/// What is shorter goes out at once.
const SHORT: usize = 12 << 10;
const PIECE: usize = 8 << 10;
/// The part of the link that long bodies may fill.
const SHARE: f64 = 0.8;

/// Invariant: long bodies that go out by this pacer together keep to `rate`, and take turns by pieces.
#[derive(Default)]
pub struct Pacer {
    /// Bytes a second; without one nothing is held back.
    rate: Cell<Option<f64>>,
    /// When the next piece may go.
    next: Cell<Moment>,
}

impl Pacer {
    /// Sets what the machine's link carries in a second.
    pub fn set_link(&self, bytes_per_second: Option<f64>) {
        self.rate.set(bytes_per_second.map(|rate| rate * SHARE));
    }

    /// When a piece may go out that is asked for now.
    fn turn(&self, bytes: usize, now: Moment) -> Moment {
        let Some(rate) = self.rate.get() else { return now };
        let turn = self.next.get().max(now);
        self.next.set(turn + Duration::from_secs_f64(bytes as f64 / rate));
        turn
    }

    /// Writes all the bytes, long ones piece by piece so that short ones of others come between.
    pub async fn write(&self, line: &mut Line, bytes: Vec<u8>) -> io::Result<()> {
        if bytes.len() <= SHORT || self.rate.get().is_none() {
            return line.write(bytes).await;
        }
        for piece in bytes.chunks(PIECE) {
            let now = clock::now();
            let turn = self.turn(piece.len(), now);
            if turn > now {
                monoio::time::sleep(now.until(turn)).await;
            }
            line.write(piece.to_vec()).await?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pieces_keep_to_the_rate_and_an_idle_link_is_not_saved_up() {
        let pacer = Pacer::default();
        let begun = Moment::from_micros(1_000_000);
        assert_eq!(pacer.turn(1 << 20, begun), begun, "no rate, no pace");
        pacer.set_link(Some(1_000_000.0));
        let mut last = begun;
        for _ in 0..100 {
            last = pacer.turn(8_000, begun);
        }
        assert_eq!(last.since(begun), Duration::from_millis(990));
        let later = begun + Duration::from_secs(9);
        assert_eq!(pacer.turn(8_000, later), later);
        assert_eq!(pacer.turn(8_000, later), later + Duration::from_millis(10));
    }
}
