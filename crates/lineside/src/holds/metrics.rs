//! Counts of calls to endpoints about their keys.

use super::calls::{CallOutcome, HoldCall};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// What came of a call, as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum HoldResult {
    /// The endpoint took it.
    Done,
    /// It has seen a higher fence.
    HigherFence,
    /// It declined for another reason.
    Declined,
    /// It was not reached, or its answer was lost.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum HoldKind {
    Grant,
    Release,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HoldLabels {
    kind: HoldKind,
    result: HoldResult,
}

/// Counters by kind of call and result. Copies share them.
#[derive(Clone, Debug, Default)]
pub struct HoldMetrics {
    calls: Family<HoldLabels, Counter>,
}

impl HoldMetrics {
    /// Counts one call.
    pub fn count(&self, call: &HoldCall, outcome: &CallOutcome) {
        let kind = match call {
            HoldCall::Grant { .. } => HoldKind::Grant,
            HoldCall::Release { .. } => HoldKind::Release,
        };
        let result = match outcome {
            CallOutcome::Done { .. } => HoldResult::Done,
            CallOutcome::HigherFence => HoldResult::HigherFence,
            CallOutcome::Declined { .. } => HoldResult::Declined,
            CallOutcome::Refused | CallOutcome::NotSent | CallOutcome::Unclear => HoldResult::Lost,
        };
        self.calls.get_or_create(&HoldLabels { kind, result }).inc();
    }

    /// Makes the counters part of a program's figures.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("hold_calls", "Calls to endpoints about their keys, by kind and result", self.calls.clone());
    }
}
