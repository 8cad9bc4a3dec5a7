//! What a run of callers comes to.

use crate::report::{RunReport, with_findings};
use serde::Serialize;

/// One run's result, as text and as a JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct CoordinationReport {
    /// The kinds of trouble.
    pub mix: &'static str,
    /// The seed of troubles and callers.
    pub seed: u64,
    /// Core nodes.
    pub cores: usize,
    /// Callers.
    pub callers: u64,
    /// Seconds of troubles.
    pub seconds: u64,
    /// Steps of trouble played.
    pub steps: usize,
    /// Calls sent.
    pub calls: u64,
    /// Of these, without an answer.
    pub unanswered: u64,
    /// Spans in which a caller counted itself holder.
    pub holds: usize,
    /// Of these, begun in the calm time at the end.
    pub holds_at_end: usize,
    /// Broken rules, in words.
    pub violations: Vec<String>,
    /// Where the logs are, when the run failed.
    pub logs: Option<String>,
}

impl RunReport for CoordinationReport {
    fn passed(&self) -> bool {
        self.violations.is_empty() && self.holds_at_end > 0
    }

    fn text(&self) -> String {
        let summary = format!(
            "locks {} seed {}: {} cores, {} callers, {} steps; {} calls, {} unanswered; {} holds, {} at the end",
            self.mix,
            self.seed,
            self.cores,
            self.callers,
            self.steps,
            self.calls,
            self.unanswered,
            self.holds,
            self.holds_at_end,
        );
        with_findings(self.passed(), &summary, &self.violations, self.logs.as_deref())
    }
}
