//! What this core node counts of itself, for `GET /v1/metrics` at its control-plane address.

use crate::resources::LockMetrics;
use lineside::holds::HoldMetrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use trackbed::ids::ServiceName;
use trackbed::metrics::PREFIX;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Figures of the services that are divided by key. Only a primary moves them.
#[derive(Default)]
pub struct ShardMetrics {
    keys_without_holder: Family<ServiceLabels, Gauge>,
    granted: Family<ServiceLabels, Counter>,
    revoked: Family<ServiceLabels, Counter>,
    expired: Family<ServiceLabels, Counter>,
    overdue: Family<ServiceLabels, Counter>,
}

/// How many ranges of a service a change ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RangesOrdered {
    Granted(usize),
    Revoked(usize),
    Expired(usize),
}

impl ShardMetrics {
    /// Counts what a change of the log was ordered to do.
    pub fn ordered(&self, service: &ServiceName, ranges: RangesOrdered) {
        let (counter, count) = match ranges {
            RangesOrdered::Granted(count) => (&self.granted, count),
            RangesOrdered::Revoked(count) => (&self.revoked, count),
            RangesOrdered::Expired(count) => (&self.expired, count),
        };
        counter.get_or_create(&labels(service)).inc_by(count as u64);
    }

    /// Counts a range that was without a holder for too long: a violated invariant.
    pub fn overdue(&self, service: &ServiceName) {
        self.overdue.get_or_create(&labels(service)).inc();
    }

    /// How many keys of a service nobody holds now.
    pub fn set_without_holder(&self, service: &ServiceName, keys: u32) {
        self.keys_without_holder.get_or_create(&labels(service)).set(keys as i64);
    }
}

fn labels(service: &ServiceName) -> ServiceLabels {
    ServiceLabels { service: service.as_str().to_owned() }
}

/// All figures of a core node.
pub struct NodeMetrics {
    pub shards: ShardMetrics,
    /// Calls to endpoints about their keys.
    pub holds: HoldMetrics,
    /// Times for which this process stood still.
    pub stalls: Counter,
    /// How long in all, in milliseconds.
    pub stalled_millis: Counter,
    /// Calls that were not carried out, as their caller had left.
    pub abandoned: Counter,
    /// All of them, for whoever asks.
    pub registry: Registry,
}

impl NodeMetrics {
    /// Figures that begin at zero, with those that the replica counts.
    pub fn new(locks: &LockMetrics) -> Self {
        let shards = ShardMetrics::default();
        let mut registry = Registry::with_prefix(PREFIX);
        let keys = registry.sub_registry_with_prefix("shards");
        let without = "Keys that nobody holds now, by service; at the primary only";
        keys.register("keys_without_holder", without, shards.keys_without_holder.clone());
        keys.register("granted", "Ranges granted, by service", shards.granted.clone());
        keys.register("revoked", "Ranges revoked, by service", shards.revoked.clone());
        keys.register("expired", "Ranges whose hold ran out, by service", shards.expired.clone());
        let help = "Ranges without a holder for longer than the invariant allows, by service";
        keys.register("overdue", help, shards.overdue.clone());
        let holds = HoldMetrics::default();
        holds.register(&mut registry);
        locks.register(&mut registry);
        let (stalls, stalled_millis, abandoned) = (Counter::default(), Counter::default(), Counter::default());
        registry.register("stalls", "Times for which this process stood still", stalls.clone());
        registry.register("stalled_milliseconds", "How long this process stood still in all", stalled_millis.clone());
        let help = "Calls that were not carried out, as their caller had left";
        registry.register("abandoned_calls", help, abandoned.clone());
        Self { shards, holds, stalls, stalled_millis, abandoned, registry }
    }
}
