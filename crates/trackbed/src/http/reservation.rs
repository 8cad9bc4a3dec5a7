//! Memory that bodies take, reserved before it is used.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of memory that one message has reserved. They are given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    /// What all messages that share the room have reserved.
    held: Rc<Cell<usize>>,
    /// What they may reserve together, in bytes.
    room: u64,
    amount: usize,
}

/// There is no room for what was asked for: nothing more was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

impl Reservation {
    /// Nothing reserved so far, of a `room` that all who count in `held` share.
    pub fn new(held: &Rc<Cell<usize>>, room: u64) -> Self {
        Self { held: held.clone(), room, amount: 0 }
    }

    /// Reserves what is lacking up to `amount` bytes in all.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] where others hold too much of the room.
    pub fn grow_to(&mut self, amount: usize) -> Result<(), NoRoom> {
        let lacking = amount.saturating_sub(self.amount);
        let wanted = self.held.get().saturating_add(lacking);
        if lacking > 0 && wanted as u64 > self.room {
            return Err(NoRoom);
        }
        self.held.set(wanted);
        self.amount += lacking;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.amount);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_reserved_never_exceeds_the_room_and_is_given_back() {
        let held = Rc::new(Cell::new(0));
        let mut first = Reservation::new(&held, 10);
        assert_eq!(first.grow_to(6), Ok(()));
        assert_eq!(first.grow_to(4), Ok(()), "it has more already");
        let mut second = Reservation::new(&held, 10);
        assert_eq!((second.grow_to(5), second.grow_to(usize::MAX)), (Err(NoRoom), Err(NoRoom)));
        assert_eq!((second.grow_to(4), held.get()), (Ok(()), 10));
        drop(first);
        assert_eq!((second.grow_to(10), held.get()), (Ok(()), 10));
        drop(second);
        assert_eq!(held.get(), 0);
    }
}
