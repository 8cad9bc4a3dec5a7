//! What the endpoint has let go, until the core has taken it.

use super::CALL_LIMIT;
use crate::node::{Pointsman, core_calls};
use lineside::call::{Ask, Reply, ShardRelease};
use std::rc::Rc;

/// Keeps a release and tells it.
pub(super) fn note(node: &Rc<Pointsman>, release: ShardRelease) {
    node.platform.ownership.released.borrow_mut().push(release);
    tell(node);
}

/// Tells the core what was let go. One word at a time, again until it is taken.
pub(super) fn tell(node: &Rc<Pointsman>) {
    let ownership = &node.platform.ownership;
    if ownership.released.borrow().is_empty() || ownership.is_telling_releases.replace(true) {
        return;
    }
    let node = node.clone();
    monoio::spawn(async move {
        let ownership = &node.platform.ownership;
        loop {
            let Some(next) = ownership.released.borrow().first().cloned() else { break };
            let taken = core_calls::ask_core(&node, Ask::ShardRelease(next.clone()), CALL_LIMIT).await;
            if taken != Some(Reply::Done) {
                break;
            }
            ownership.released.borrow_mut().retain(|release| *release != next);
        }
        ownership.is_telling_releases.set(false);
    });
}
