//! Where a request may be handled. Both ends ask: the plan holds only permitted nodes, and the node
//! beside the endpoint turns away what its own view forbids.

use std::collections::BTreeSet;
use std::rc::Rc;
use timetable::configuration::{Routes, TENANT_HEADER, TenantDoubt};
use trackbed::http::Request;
use trackbed::ids::RegionName;

/// The regions that may handle a request; without any, all may.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Binding {
    /// For counting. Nobody, when the regions come from what runs at the calling endpoint.
    pub tenant: Option<Rc<str>>,
    regions: Option<Rc<BTreeSet<RegionName>>>,
}

impl Binding {
    pub fn to(regions: BTreeSet<RegionName>) -> Self {
        Self { tenant: None, regions: Some(Rc::new(regions)) }
    }

    /// What this node's view says of a request.
    pub fn of(request: &Request, routes: &Routes) -> Result<Self, TenantDoubt> {
        if routes.tenants.is_empty() {
            return Ok(Self::default());
        }
        let named = match request.headers.get_all(TENANT_HEADER).iter().count() {
            0 => None,
            _ => Some(request.header(TENANT_HEADER).ok_or(TenantDoubt::Unknown)?),
        };
        let host = request.header("host").unwrap_or("");
        let tenant = routes.tenants.find(host, request.path(), named)?;
        Ok(tenant
            .map(|tenant| Self { tenant: Some(Rc::from(tenant.name.as_str())), regions: Some(tenant.regions.clone()) })
            .unwrap_or_default())
    }

    pub fn is_free(&self) -> bool {
        self.regions.is_none()
    }

    /// A node whose region isn't known counts as outside.
    pub fn permits(&self, region: Option<&RegionName>) -> bool {
        match &self.regions {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Whether a node takes what a peer passes on: by the peer's word and by its own view.
    pub fn admits(&self, own: &Binding, region: &RegionName) -> bool {
        self.permits(Some(region)) && own.permits(Some(region))
    }

    /// Only what both permit.
    pub fn and(&self, other: &Binding) -> Binding {
        let regions = match (&self.regions, &other.regions) {
            (Some(one), Some(other)) => Some(Rc::new(one.intersection(other).cloned().collect())),
            (one, other) => one.clone().or_else(|| other.clone()),
        };
        Binding { tenant: self.tenant.clone().or_else(|| other.tenant.clone()), regions }
    }

    /// As it goes between own nodes.
    pub fn write(&self) -> Option<String> {
        let names: Vec<&str> = self.regions.as_ref()?.iter().map(RegionName::as_str).collect();
        Some(names.join(","))
    }

    pub fn read(text: &str) -> Self {
        Self::to(text.split(',').filter(|name| !name.is_empty()).map(RegionName::new).collect())
    }
}
