//! Whether every proxy routes as it was meant to: told by the proxies, judged under the core's lease.

mod inspector;
mod messages;
#[cfg(test)]
mod tests;

pub use inspector::{Inspection, Inspector, InspectorTiming, Want};
pub use messages::{DriftRecord, RoutesReport, Verdict};
