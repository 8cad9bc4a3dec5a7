//! The operator's configuration: read by pointers, checked, changed, and turned into routes.

mod changes;
mod checks;
mod digest;
mod document;
mod items;
mod observation;
mod prefixes;
mod route;
mod table;
mod tenant;
mod unread;

pub use checks::Fault;
pub use digest::{DigestPass, Entry, EntryDrift, LEAVES, PlannedBy, TableDigest, entry_drifts};
pub use document::{Configuration, Patch};
pub use observation::{OBSERVATION, Observation};
pub use route::{GrantWay, Limits, Route, RouteKind, Service};
pub use table::Routes;
pub use tenant::{TENANT_HEADER, Tenant, TenantDoubt, Tenants};
pub use unread::unread_keys;
