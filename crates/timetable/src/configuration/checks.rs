//! What makes a configuration invalid.

use derive_more::{Display, Error};

#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum Fault {
    #[display("the configuration can't be read whole ({reason}): send complete JSON")]
    Unreadable { reason: String },
    #[display("{place} is missing or of the wrong kind: give {wanted}")]
    Wrong { place: String, wanted: &'static str },
    #[display("/routes/{route} names the unknown service {service}: add it under /services or name another")]
    UnknownService { route: String, service: String },
    #[display("/routes/{route} and /routes/{other} share host and prefix: change one of them")]
    SamePlace { route: String, other: String },
    #[display("/routes/{route}/target_latency_s lies a minute or more over timeout_s: lower it")]
    TargetOverTimeout { route: String },
    #[display("/routes/{route}/path_prefix does not begin with a slash: begin it with one")]
    BarePrefix { route: String },
    #[display("/routes/{route}/hostname is empty: name the host")]
    EmptyHost { route: String },
    #[display("/routes/{route}/route_type is none of idempotent, non_idempotent, upload, download: use one of these")]
    OddKind { route: String },
    #[display("/routes/{route}/traffic_split gives no service any weight: give one a weight above zero")]
    NoWeight { route: String },
    #[display("/tenants/{tenant} is no name: use letters, digits, dots, dashes and underscores")]
    BadTenantName { tenant: String },
    #[display("/tenants/{tenant}/regions is empty: permit one region at least")]
    NoRegions { tenant: String },
    #[display("/tenants/{tenant}/regions names the unknown region {region}: use a region of the fleet")]
    UnknownRegion { tenant: String, region: String },
    #[display("/tenants/{tenant}/claims claims what tenant {other} claims: give it to one of them")]
    DoubledClaim { tenant: String, other: String },
}
