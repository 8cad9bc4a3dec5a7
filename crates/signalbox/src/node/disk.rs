//! The disk's writer, on a thread of its own: a stalled sync must not silence the loop.

use futures_channel::mpsc::UnboundedSender;
use interlocking::storage::{Disk, Storage};
use interlocking::zab::Ticket;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

/// How long after a refusal the disk is tried again.
const PAUSE: Duration = Duration::from_millis(50);

pub enum Write {
    Append {
        ticket: Ticket,
        records: Vec<Vec<u8>>,
    },
    /// Invariant: holds all that was appended before it.
    Image {
        encoded: Vec<u8>,
    },
}

pub fn start<D: Disk + Send + 'static>(
    storage: Storage<D>,
    done: UnboundedSender<Ticket>,
) -> std::io::Result<Sender<Write>> {
    let (sender, receiver) = channel();
    std::thread::Builder::new()
        .name("disk".into())
        .stack_size(256 << 10)
        .spawn(move || run(storage, receiver, done))?;
    Ok(sender)
}

fn run<D: Disk>(mut storage: Storage<D>, writes: Receiver<Write>, done: UnboundedSender<Ticket>) {
    let mut held = None;
    loop {
        let Some(first) = held.take().or_else(|| writes.recv().ok()) else {
            return;
        };
        match first {
            Write::Image { encoded } => held = write_image(&mut storage, &encoded, &writes),
            Write::Append { mut ticket, mut records } => {
                // All that waits goes out under one sync.
                while let Ok(next) = writes.try_recv() {
                    match next {
                        Write::Append { ticket: later, records: more } => {
                            ticket = later;
                            records.extend(more);
                        }
                        image => {
                            held = Some(image);
                            break;
                        }
                    }
                }
                insist(|| storage.append(&records));
                if done.unbounded_send(ticket).is_err() {
                    return;
                }
            }
        }
    }
}

/// Writes an image, or tries for as long as nothing else is to be written. Slot and log before hold all
/// that the image does, so it is given up for the next write, which is returned: a later image takes its place.
fn write_image<D: Disk>(storage: &mut Storage<D>, encoded: &[u8], writes: &Receiver<Write>) -> Option<Write> {
    let mut has_warned = false;
    while let Err(error) = storage.write_encoded_image(encoded) {
        if !has_warned {
            log::error!("an image was not written, and the log grows meanwhile: {error}");
            has_warned = true;
        }
        match writes.recv_timeout(PAUSE) {
            Ok(next) => return Some(next),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
    }
    None
}

/// Tries until the disk takes it. Nothing is acknowledged meanwhile: this node loses its part in
/// quorums, and the others go on.
fn insist<E: std::fmt::Display>(mut write: impl FnMut() -> Result<(), E>) {
    let mut has_warned = false;
    while let Err(error) = write() {
        if !has_warned {
            log::error!("{error}");
            has_warned = true;
        }
        std::thread::sleep(PAUSE);
    }
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
