//! Tenants kept to their regions at this node: at the door, and beside the endpoint.

use super::Pointsman;
use crate::dispatch::{Binding, Errand, GoResult, Passed};
use std::time::Duration;
use timetable::configuration::{Routes, TenantDoubt};
use trackbed::clock;
use trackbed::http::{Request, Return};

/// What an auditor asks for, by tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantCounts {
    pub served: u64,
    pub declined_for_region: u64,
    /// Handled outside. Invariant: zero.
    pub violations: u64,
}

/// Where a request that begins here may be handled; or the final word that it may not be, here.
pub fn bind(node: &Pointsman, request: &Request, routes: Option<&Routes>) -> Result<Binding, Box<Return>> {
    let Some(routes) = routes.filter(|routes| !routes.tenants.is_empty()) else {
        // No tenants any more; what began under them is still kept to its regions.
        return Ok(node.platform.bound(clock::now()));
    };
    let binding = Binding::of(request, routes).map_err(|doubt| match doubt {
        TenantDoubt::Unknown => Box::new(Return::text(400, "Ferryhinge-Tenant names no tenant")),
        TenantDoubt::Contradicted => {
            Box::new(Return::text(400, "Ferryhinge-Tenant names another tenant than host and path do"))
        }
    })?;
    if binding.is_free() {
        return Ok(node.platform.bound(clock::now()));
    }
    let config = node.live.get();
    if !binding.permits(Some(&config.region)) {
        if let Some(tenant) = &binding.tenant {
            node.tenants.borrow_mut().entry(tenant.to_string()).or_default().declined_for_region += 1;
        }
        return Err(Box::new(Return::text(
            421,
            "this node is outside the regions permitted to this tenant: it has not run",
        )));
    }
    Ok(binding)
}

/// Whether an errand passed on here may be handled here, by the sender's word and by this node's view.
pub fn accept(node: &Pointsman, errand: &mut Errand, own: Result<Binding, TenantDoubt>) -> bool {
    let Ok(own) = own else { return false };
    let region = node.live.get().region.clone();
    let permitted = errand.binding.admits(&own, &region);
    errand.binding = errand.binding.and(&own);
    if !permitted && let Some(tenant) = &own.tenant {
        node.tenants.borrow_mut().entry(tenant.to_string()).or_default().declined_for_region += 1;
    }
    permitted
}

pub fn turned_away() -> GoResult {
    GoResult::not_taken(Passed::Outside, Duration::from_millis(100))
}

/// A request was handled where its binding does not permit it. This must not be.
pub fn violated(node: &Pointsman, binding: &Binding) {
    let tenant = binding.tenant.as_deref().unwrap_or("(a call of an endpoint)");
    log::error!("tenant {tenant}: a request was handled outside its regions");
    node.tenants.borrow_mut().entry(tenant.to_owned()).or_default().violations += 1;
}

pub fn count(node: &Pointsman, tenant: Option<&str>, answer: &Return) {
    if let Some(tenant) = tenant.filter(|_| answer.is_success()) {
        node.tenants.borrow_mut().entry(tenant.to_owned()).or_default().served += 1;
    }
}

/// Logs the counts, for whoever has to show them.
pub fn tell(node: &Pointsman) {
    for (tenant, counts) in node.tenants.borrow().iter() {
        let TenantCounts { served, declined_for_region, violations } = counts;
        let text = format!(
            "tenant {tenant}: served {served}, declined for region {declined_for_region}, violations {violations}"
        );
        match violations {
            0 => log::info!("{text}"),
            _ => log::error!("{text}"),
        }
    }
}
