//! Scale runs of the system on one machine: real core nodes and a few real nodes beside endpoints, among hollow ones:
//! the same code, many in one process, which carry no requests.

pub mod error;
pub mod hollow;
pub mod layout;
pub mod measure;
pub mod run;
pub mod table;
