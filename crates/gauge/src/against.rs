//! The comparisons.

use crate::ask::FleetNow;
use crate::finding::Finding;
use timetable::configuration::{Configuration, Routes};

/// What a configuration says of itself.
pub fn alone(routes: &Routes) -> Vec<Finding> {
    let mut findings = Vec::new();
    let all = routes.all();
    for route in &all {
        let covering = all.iter().find(|other| {
            other.name != route.name
                && other.hostname == route.hostname
                && route.prefix.len() > other.prefix.len()
                && route.prefix.starts_with(&other.prefix)
        });
        if let Some(other) = covering {
            let message = format!("takes what lies under {} from route {}", route.prefix, other.name);
            findings.push(Finding::warning(&format!("/routes/{}", route.name), &message, "leave it if that is meant"));
        }
        if route.target > route.timeout {
            let place = format!("/routes/{}/target_latency_s", route.name);
            findings.push(Finding::warning(&place, "lies above timeout_s and can't be used up", "lower it"));
        }
    }
    findings
}

/// What it would mean for the fleet as it is.
pub fn fleet(whole: &Configuration, routes: &Routes, now: &FleetNow) -> Vec<Finding> {
    let mut findings = Vec::new();
    if whole.epoch <= now.epoch {
        let message = format!("{} is not above {}, which is in place", whole.epoch, now.epoch);
        findings.push(Finding::fault("/version", &message, "choose a higher version"));
    }
    for route in routes.all() {
        for (service, weight) in &route.split {
            let serving: Vec<_> = now.endpoints.iter().filter(|one| one.service == service.as_str()).collect();
            let place = match route.split.len() {
                1 => format!("/routes/{}/service_name", route.name),
                _ => format!("/routes/{}/traffic_split", route.name),
            };
            if *weight == 0 {
                continue;
            }
            if serving.is_empty() {
                let message = format!("service {service} has no endpoint");
                findings.push(Finding::warning(&place, &message, "start its endpoints before this is sent"));
            } else if serving.iter().all(|one| one.draining) {
                let message = format!("every endpoint of service {service} drains");
                findings.push(Finding::warning(&place, &message, "start new endpoints, or leave the service out"));
            }
            let usual = serving.iter().filter_map(|one| one.service_time).min();
            if let Some(usual) = usual.filter(|usual| *usual > route.timeout) {
                let message = format!("is below the usual time of service {service}, {:.3} s", usual.as_secs_f64());
                let place = format!("/routes/{}/timeout_s", route.name);
                findings.push(Finding::warning(&place, &message, "raise it"));
            }
        }
    }
    for tenant in routes.tenants.all() {
        if !now.regions.is_empty() && !tenant.regions.iter().any(|region| now.regions.contains(region.as_str())) {
            let place = format!("/tenants/{}/regions", tenant.name);
            let remedy = "start endpoints there, or permit a region that has some";
            findings.push(Finding::warning(&place, "no node beside an endpoint is in any of these regions", remedy));
        }
    }
    for (name, service) in routes.services() {
        let slots = now.endpoints.iter().filter(|one| one.service == *name).map(|one| one.slots).max();
        if slots.is_some_and(|slots| slots > service.max_connections as u64) {
            let place = format!("/services/{name}/max_connections");
            findings.push(Finding::warning(
                &place,
                "is below the slots of an endpoint",
                "raise it to the slots at least",
            ));
        }
    }
    findings
}
