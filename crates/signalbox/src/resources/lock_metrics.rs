//! What a primary decided of locks, counted by outcome.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// What was decided of one call about a lock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum LockOutcome {
    /// Given to a caller that did not hold it.
    Taken,
    /// Given once more to the caller that is recorded as its holder.
    TakenAgain,
    /// Its holder has more time.
    Renewed,
    /// Given back.
    Released,
    /// A release that names no present hold: nothing was done.
    ReleaseIgnored,
    /// Another holds it, or the caller lost it.
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: LockOutcome,
}

/// Counts of decisions. Copies count together.
#[derive(Clone, Debug, Default)]
pub struct LockMetrics {
    decisions: Family<OutcomeLabels, Counter>,
}

impl LockMetrics {
    /// Counts a decision, and tells it in the log for whoever follows a lock's history.
    pub fn decided(&self, outcome: LockOutcome, lock: &str, holder: &str, fence: u64) {
        self.decisions.get_or_create(&OutcomeLabels { outcome }).inc();
        log::debug!("lock {lock}: {outcome:?}, caller {holder}, fence {fence}");
    }

    /// Adds the counts to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Decisions of locks, by outcome; at the primary only";
        registry.register("lock_decisions", help, self.decisions.clone());
    }
}
