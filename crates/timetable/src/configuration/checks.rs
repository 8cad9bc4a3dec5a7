//! What makes a configuration invalid.

use derive_more::{Display, Error};

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Display, Error)]
pub enum Fault {
    /// It can't be read as JSON.
    #[display("the configuration can't be read whole ({reason}): send complete JSON")]
    Unreadable {
        /// What the parser said.
        reason: String,
    },
    /// A field holds something else than it should.
    #[display("{place} is missing or of the wrong kind: give {wanted}")]
    Wrong {
        /// Where it stands, as a JSON pointer.
        place: String,
        /// What is to stand there.
        wanted: &'static str,
    },
    /// A route names a service that isn't there.
    #[display("/routes/{route} names the unknown service {service}: add it under /services or name another")]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service's name.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[display("/routes/{route} and /routes/{other} share host and prefix: change one of them")]
    SamePlace {
        /// The route's name.
        route: String,
        /// The other's name.
        other: String,
    },
    /// A target lies a minute or more over the time-out of its route.
    #[display("/routes/{route}/target_latency_s lies a minute or more over timeout_s: lower it")]
    TargetOverTimeout {
        /// The route's name.
        route: String,
    },
    /// A prefix doesn't begin with a slash.
    #[display("/routes/{route}/path_prefix does not begin with a slash: begin it with one")]
    BarePrefix {
        /// The route's name.
        route: String,
    },
    /// A route has no host.
    #[display("/routes/{route}/hostname is empty: name the host")]
    EmptyHost {
        /// The route's name.
        route: String,
    },
    /// A route's type is none of those known.
    #[display("/routes/{route}/route_type is none of idempotent, non_idempotent, upload, download: use one of these")]
    OddKind {
        /// The route's name.
        route: String,
    },
    /// All weights of a split are zero.
    #[display("/routes/{route}/traffic_split gives no service any weight: give one a weight above zero")]
    NoWeight {
        /// The route's name.
        route: String,
    },
    /// A tenant's name can't stand in a header.
    #[display("/tenants/{tenant} is no name: use letters, digits, dots, dashes and underscores")]
    BadTenantName {
        /// The tenant's name.
        tenant: String,
    },
    /// A tenant has no region.
    #[display("/tenants/{tenant}/regions is empty: permit one region at least")]
    NoRegions {
        /// The tenant's name.
        tenant: String,
    },
    /// A tenant names a region that isn't there.
    #[display("/tenants/{tenant}/regions names the unknown region {region}: use a region of the fleet")]
    UnknownRegion {
        /// The tenant's name.
        tenant: String,
        /// The region's name.
        region: String,
    },
    /// Two tenants claim the same place.
    #[display("/tenants/{tenant}/claims claims what tenant {other} claims: give it to one of them")]
    DoubledClaim {
        /// The tenant's name.
        tenant: String,
        /// The other's name.
        other: String,
    },
}
