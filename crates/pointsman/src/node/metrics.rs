//! What this node counts of itself, for `GET /v1/metrics` at its readiness address.

use lineside::holds::HoldMetrics;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use trackbed::metrics::PREFIX;

/// Why a request to a service divided by key did not reach its key's holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum KeyRefusal {
    /// At the node where the request began: no endpoint holds the key, or its holder can't be reached.
    NoHolder,
    /// At the holder's node: the endpoint was not granted the key, or its hold is over.
    NotHeld,
    /// At the endpoint: 421, it doesn't hold the key.
    Misdirected,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: KeyRefusal,
}

/// Counts of requests that name a key. Copies share their counters.
#[derive(Clone, Debug, Default)]
pub struct KeyMetrics {
    refusals: Family<RefusalLabels, Counter>,
    overdue: Counter,
}

impl KeyMetrics {
    /// Counts a request that did not reach its key's holder.
    pub fn refused(&self, reason: KeyRefusal) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Counts a range that the endpoint was to hold and did not take in time: a violated invariant.
    pub fn overdue(&self) {
        self.overdue.inc();
    }

    /// How many did not, for that reason.
    pub fn refusals(&self, reason: KeyRefusal) -> u64 {
        self.refusals.get_or_create(&RefusalLabels { reason }).get()
    }

    fn register(&self, registry: &mut Registry) {
        let help = "Requests to services divided by key that did not reach their key's holder, by reason";
        registry.register("key_refusals", help, self.refusals.clone());
        let help = "Ranges that the endpoint was to hold and did not take in time: the invariant is violated";
        registry.register("keys_overdue", help, self.overdue.clone());
    }
}

/// All figures of a node.
pub struct NodeMetrics {
    /// Those of requests that name a key.
    pub keys: KeyMetrics,
    /// Those of calls to the endpoint about its keys.
    pub holds: HoldMetrics,
    /// All of them, for whoever asks.
    pub registry: Registry,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let keys = KeyMetrics::default();
        let mut registry = Registry::with_prefix(PREFIX);
        keys.register(&mut registry);
        let holds = HoldMetrics::default();
        holds.register(&mut registry);
        Self { keys, holds, registry }
    }
}
