//! What a run comes to.

use serde::Serialize;

/// Share of the requests of the last, quiet span that must be served.
pub const LEAST_SERVED: f64 = 0.97;

/// The result of a run of any kind, as the command line shows it.
pub trait RunReport: Serialize {
    /// Whether no rule was broken, and enough was served at the end.
    fn passed(&self) -> bool;
    /// One line for a person, and one for each broken rule.
    fn text(&self) -> String;
}

/// A summary with a line for each broken rule and one for the folder of logs.
pub fn with_findings(passed: bool, summary: &str, violations: &[String], logs: Option<&str>) -> String {
    let mut text = format!("{} {summary}", if passed { "passed" } else { "FAILED" });
    for violation in violations {
        text.push_str(&format!("\n  {violation}"));
    }
    if let Some(logs) = logs {
        text.push_str(&format!("\n  logs: {logs}"));
    }
    text
}

/// One run's result, as text and as a JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The form that was played.
    pub form: &'static str,
    /// The seed of troubles and requests.
    pub seed: u64,
    /// Seconds of troubles.
    pub seconds: u64,
    /// Troubles played.
    pub troubles: usize,
    /// Requests sent in all.
    pub asked: usize,
    /// Of these, served.
    pub served: usize,
    /// Requests of the last, quiet span.
    pub quiet_asked: usize,
    /// Of these, served.
    pub quiet_served: usize,
    /// The share of the quiet span's requests that must be served.
    pub least_served: f64,
    /// How often endpoints let go of keys.
    pub let_go: usize,
    /// Requests of the quiet span that came to an endpoint that didn't hold their key.
    pub quiet_misdirected: usize,
    /// Broken rules, in words.
    pub violations: Vec<String>,
    /// Where the logs are, when the run failed.
    pub logs: Option<String>,
}

impl Report {
    /// The share of the quiet span's requests that was served.
    pub fn quiet_share(&self) -> f64 {
        self.quiet_served as f64 / self.quiet_asked.max(1) as f64
    }
}

impl RunReport for Report {
    fn passed(&self) -> bool {
        self.violations.is_empty() && self.quiet_asked > 0 && self.quiet_share() >= self.least_served
    }

    fn text(&self) -> String {
        let summary = format!(
            "{} seed {}: {} troubles, keys let go {} times, {} of {} served; at the end {} of {} ({:.3}), {} misdirected",
            self.form,
            self.seed,
            self.troubles,
            self.let_go,
            self.served,
            self.asked,
            self.quiet_served,
            self.quiet_asked,
            self.quiet_share(),
            self.quiet_misdirected,
        );
        with_findings(self.passed(), &summary, &self.violations, self.logs.as_deref())
    }
}
