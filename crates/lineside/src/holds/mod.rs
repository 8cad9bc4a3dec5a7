//! Endpoints that are given their keys by calls to their address: `POST /v1/grant` and `POST /v1/release`.
//!
//! [`HoldCalls`] decides, without sockets, which call an endpoint is due by the ordered state and what an answer means.
//! [`HoldDriver`] carries them out, and [`HoldMetrics`] counts what came of them. The node beside the endpoint has one, or
//! the primary where no node is beside it.

mod calls;
mod driver;
mod metrics;
mod rows;
#[cfg(test)]
mod tests;
mod wire;

pub use calls::{CALL_LIMIT, CallOutcome, EndpointRelease, HoldCall, HoldCalls, HoldTerms};
pub use driver::{HoldDriver, HoldSource};
pub use metrics::{HoldMetrics, HoldResult};
pub use rows::HeartbeatRows;
