//! The disk's writer, on a thread of its own: a stalled sync must not silence the loop.

use futures_channel::mpsc::UnboundedSender;
use interlocking::storage::{Disk, Storage};
use interlocking::zab::Ticket;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

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
            Write::Image { encoded } => insist(|| storage.write_encoded_image(&encoded)),
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

/// Tries until the disk takes it. Nothing is acknowledged meanwhile: this node loses its part in
/// quorums, and the others go on.
fn insist<E: std::fmt::Display>(mut write: impl FnMut() -> Result<(), E>) {
    let mut told = false;
    while let Err(error) = write() {
        if !told {
            log::error!("{error}");
            told = true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
