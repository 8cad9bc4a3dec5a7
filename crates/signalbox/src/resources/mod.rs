//! One handler object for each resource. Each registers itself.

mod cells;
mod configuration;
mod evacuations;
mod lock_metrics;
mod locks;
mod numbers;
mod places;
#[cfg(test)]
mod tests;
mod watch;

pub use configuration::CONFIGURATION_PATH;
pub use lock_metrics::LockMetrics;
pub use locks::Hold;
pub use places::Places;
pub use watch::look as watch_look;

use crate::ledger::{Change, Ledger};
use lineside::call::{ControlCall, ControlReturn};
use std::collections::BTreeMap;
use trackbed::clock::Moment;
use trackbed::json;

/// What a primary has at hand to decide a call.
pub struct Context<'a> {
    /// All that was proposed, committed or not: changes are built on it.
    pub proposed: &'a Ledger,
    /// All that was committed: reads are answered from it.
    pub committed: &'a Ledger,
    /// The hold of each lock that is taken, on this primary's steady clock.
    pub holds: &'a mut BTreeMap<String, Hold>,
    pub now: Moment,
    pub lock_metrics: &'a LockMetrics,
    /// The zones and regions of the settings.
    pub places: Places<'a>,
}

/// What comes of a call, as data.
pub enum Decision {
    /// Answered from what is committed, under the lease.
    Read(ControlReturn),
    /// Answered once all that was proposed so far is committed: the answer rests on it.
    Committed(ControlReturn),
    Propose(Box<Change>, ControlReturn),
    /// Waits for events of a group above a revision.
    Watch {
        group: String,
        after: u64,
        wait_millis: u64,
    },
}

/// Invariant: decides from the context alone, so that the same call is decided the same way anywhere.
pub trait Resource: Sync {
    /// The part of the path after which the name stands.
    fn prefix(&self) -> &'static str;
    fn decide(&self, name: &str, call: &ControlCall, context: Context<'_>) -> Decision;
}

pub struct ResourcePlug(pub &'static dyn Resource);
inventory::collect!(ResourcePlug);

/// The resource that a path names, and the name within it.
pub fn find(path: &str) -> Option<(&'static dyn Resource, &str)> {
    inventory::iter::<ResourcePlug>.into_iter().find_map(|plug| {
        let name = path.strip_prefix(plug.0.prefix())?;
        let named = plug.0.prefix().ends_with('/');
        (named != name.is_empty() && name.len() <= 512).then_some((plug.0, name))
    })
}

pub fn not_allowed() -> Decision {
    Decision::Read(ControlReturn::fault(405, "this resource has no such method: see the documented calls"))
}

/// The part of a body that a call needs, read by pointers.
struct Body(sonic_rs::Value);

impl Body {
    fn read(body: &[u8]) -> Option<Self> {
        json::parse(body).ok().map(Self)
    }
    fn text(&self, field: &str) -> Option<&str> {
        use sonic_rs::JsonValueTrait;
        self.0.pointer([field].iter()).and_then(|value| value.as_str())
    }
    fn number(&self, field: &str) -> Option<u64> {
        use sonic_rs::JsonValueTrait;
        self.0.pointer([field].iter()).and_then(|value| value.as_u64())
    }
    fn millis(&self, field: &str) -> Option<u64> {
        use sonic_rs::JsonValueTrait;
        let seconds = self.0.pointer([field].iter()).and_then(|value| value.as_f64())?;
        (seconds.is_finite() && (0.0..1e7).contains(&seconds)).then_some((seconds * 1000.0).ceil() as u64)
    }
}

fn bad(message: &str) -> Decision {
    Decision::Read(ControlReturn::fault(400, message))
}
