//! Calls that the replica has not finished yet, and who waits for them.

use crate::replica::{CallId, Outcome};
use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// The calls under way at this node.
#[derive(Default)]
pub struct OpenCalls {
    last: Cell<u64>,
    waiting: RefCell<HashMap<CallId, oneshot::Sender<Outcome>>>,
}

impl OpenCalls {
    /// Names a new call, and gives the place where its outcome arrives.
    pub fn open(&self) -> (CallId, oneshot::Receiver<Outcome>) {
        let id = CallId(self.last.get() + 1);
        self.last.set(id.0);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    /// Tells the outcome to whoever still waits for it.
    pub fn finish(&self, call: CallId, outcome: Outcome) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&call) {
            let _ = sender.send(outcome);
        }
    }
}
