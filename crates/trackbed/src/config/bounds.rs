//! The figures of the rules in force, given as texts `name=value`.

use std::collections::BTreeMap;
use std::time::Duration;

/// The figures that this version reads.
const READ: [&str; 12] = [
    "drain_s",
    "grace_period_s",
    "history_s",
    "config_apply_s",
    "address_reuse_s",
    "hold_max_s",
    "retry_budget_ratio",
    "retry_slack",
    "budget_window_s",
    "cold_overage",
    "cold_slack",
    "evacuation_s",
];

/// The figures by name.
#[derive(Clone, Debug, Default)]
pub struct Bounds(BTreeMap<String, String>);

impl Bounds {
    /// Reads texts; several may stand in one, separated by commas.
    pub fn from_texts<'a>(texts: impl Iterator<Item = &'a str>) -> Self {
        let mut figures = BTreeMap::new();
        for text in texts.flat_map(|text| text.split(',')) {
            if let Some((name, value)) = text.split_once('=') {
                figures.insert(name.trim().to_owned(), value.trim().to_owned());
            }
        }
        Self(figures)
    }

    /// A figure by its name; `otherwise` where it is missing, no number or negative.
    fn number(&self, name: &str, otherwise: f64) -> f64 {
        debug_assert!(READ.contains(&name), "{name} is told as read by nothing");
        self.0
            .get(name)
            .and_then(|value| value.parse().ok())
            .filter(|value: &f64| value.is_finite() && *value >= 0.0)
            .unwrap_or(otherwise)
    }

    /// Those given that nothing reads.
    pub fn unread(&self) -> impl Iterator<Item = String> {
        self.0.keys().filter(|name| !READ.contains(&name.as_str())).map(|name| format!("bounds.{name}"))
    }

    fn seconds(&self, name: &str, otherwise: f64) -> Duration {
        Duration::from_secs_f64(self.number(name, otherwise).min(1e6))
    }

    /// How long an endpoint serves on after it was acknowledged as leaving.
    pub fn drain(&self) -> Duration {
        self.seconds("drain_s", 2.0)
    }
    /// How long a process may take to end after SIGTERM.
    pub fn grace_period(&self) -> Duration {
        self.seconds("grace_period_s", 6.0)
    }
    /// For how long a watch may resume from a revision that it was told.
    pub fn history(&self) -> Duration {
        self.seconds("history_s", 20.0)
    }
    /// How soon after its acknowledgement a configuration is in force everywhere.
    pub fn config_apply(&self) -> Duration {
        self.seconds("config_apply_s", 2.0)
    }
    /// How soon after an endpoint's end another may get its address.
    pub fn address_reuse(&self) -> Duration {
        self.seconds("address_reuse_s", 2.0)
    }
    /// The longest time for which keys may be granted at once.
    pub fn hold_max(&self) -> Duration {
        self.seconds("hold_max_s", 10.0)
    }
    /// Further arrivals at a service allowed for each of its requests.
    pub fn retry_budget_ratio(&self) -> f64 {
        self.number("retry_budget_ratio", 0.2)
    }
    /// Further arrivals at a service allowed beside that, in a window.
    pub fn retry_slack(&self) -> f64 {
        self.number("retry_slack", 0.0)
    }
    /// How many times its rate an endpoint may get in a second while it is cold.
    pub fn cold_overage(&self) -> f64 {
        self.number("cold_overage", 1.0)
    }
    /// Requests that a cold endpoint may get in a second beside that.
    pub fn cold_slack(&self) -> f64 {
        self.number("cold_slack", 0.0)
    }
    /// How soon after its acknowledgement an evacuation is in force everywhere.
    pub fn evacuation(&self) -> Duration {
        self.seconds("evacuation_s", 5.0)
    }
    /// The window in which further arrivals are counted.
    pub fn budget_window(&self) -> Duration {
        self.seconds("budget_window_s", 10.0)
    }
}
