//! What this node counts of itself, for `GET /v1/metrics` at its readiness address.

use crate::platform::ColdTally;
use lineside::holds::HoldMetrics;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum KnownWarmth {
    Unknown,
    Cold,
    Warm,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WarmthLabels {
    known: KnownWarmth,
}

/// Counts of requests to endpoints that may be cold. Copies share their counters.
#[derive(Clone, Debug, Default)]
pub struct ColdMetrics {
    sent: Family<WarmthLabels, Counter>,
    held_back: Counter,
    busiest_second: Gauge,
    violations: Counter,
}

impl ColdMetrics {
    /// Adds what went out to one endpoint.
    pub fn add(&self, tally: &ColdTally) {
        let sent = |known, count| self.sent.get_or_create(&WarmthLabels { known }).inc_by(count);
        sent(KnownWarmth::Unknown, tally.unknown);
        sent(KnownWarmth::Cold, tally.cold);
        sent(KnownWarmth::Warm, tally.warm);
        self.held_back.inc_by(tally.held_back);
        self.busiest_second.set(self.busiest_second.get().max(tally.busiest_second as i64));
        self.violations.inc_by(tally.violations);
        if tally.violations > 0 {
            log::error!("an endpoint that may be cold got {} requests within a second", tally.busiest_second);
        }
    }

    fn register(&self, registry: &mut Registry) {
        let help = "Requests that went out to endpoints whose service can be cold, by what was known of the endpoint";
        registry.register("cold_requests", help, self.sent.clone());
        let help = "Requests that an endpoint that may be cold was not sent at once";
        registry.register("cold_held_back", help, self.held_back.clone());
        let help = "Most requests of this node to one endpoint within a second in which it was not known to be warm";
        registry.register("cold_busiest_second", help, self.busiest_second.clone());
        let help = "Requests above what all senders together keep to: the invariant is violated";
        registry.register("cold_above_ceiling", help, self.violations.clone());
    }
}

/// All figures of a node.
pub struct NodeMetrics {
    /// Those of requests that name a key.
    pub keys: KeyMetrics,
    /// Those of calls to the endpoint about its keys.
    pub holds: HoldMetrics,
    /// Those of endpoints that may be cold.
    pub cold: ColdMetrics,
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
        let cold = ColdMetrics::default();
        cold.register(&mut registry);
        Self { keys, holds, cold, registry }
    }
}
