//! Routes as requests look them up. The cost goes with the path's depth, not with the routes.

use super::checks::Fault;
use super::observation::Observation;
use super::route::{Limits, Route, Service};
use super::tenant::Tenants;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use trackbed::ids::{ConfigEpoch, ServiceName};

#[derive(Clone, Debug, Default)]
struct Host {
    /// Prefixes that end with a slash.
    whole: HashMap<String, Rc<Route>>,
    /// The others, longest first.
    open: Vec<Rc<Route>>,
}

#[derive(Clone, Debug)]
pub struct Routes {
    pub epoch: ConfigEpoch,
    pub limits: Limits,
    pub tenants: Tenants,
    pub observation: Observation,
    services: BTreeMap<String, Service>,
    hosts: HashMap<String, Host>,
}

impl Routes {
    pub(super) fn build(
        epoch: ConfigEpoch,
        routes: Vec<Rc<Route>>,
        services: BTreeMap<String, Service>,
        limits: Limits,
        tenants: Tenants,
        observation: Observation,
    ) -> Result<Self, Fault> {
        let mut hosts: HashMap<String, Host> = HashMap::new();
        for route in routes {
            let host = hosts.entry(route.hostname.clone()).or_default();
            let other = if route.prefix.ends_with('/') {
                host.whole.insert(route.prefix.clone(), route.clone())
            } else {
                let other = host.open.iter().find(|other| other.prefix == route.prefix).cloned();
                host.open.push(route.clone());
                other
            };
            if let Some(other) = other {
                return Err(Fault::SamePlace { route: route.name.clone(), other: other.name.clone() });
            }
        }
        for host in hosts.values_mut() {
            host.open.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self { epoch, limits, tenants, observation, services, hosts })
    }

    /// The route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
        let name = name.map(|(name, _)| name).unwrap_or(host);
        let host = match self.hosts.get(name) {
            Some(host) => host,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let open = host.open.iter().find(|route| path.starts_with(&route.prefix));
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/').map(|(index, _)| index + 1);
        let whole = slashes.take(64).find_map(|end| host.whole.get(&path[..end]));
        match (open, whole) {
            (Some(open), Some(whole)) if open.prefix.len() > whole.prefix.len() => Some(open),
            (_, Some(whole)) => Some(whole),
            (open, None) => open,
        }
    }

    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name.as_str())
    }

    pub fn services(&self) -> impl Iterator<Item = (&String, &Service)> {
        self.services.iter()
    }

    pub(super) fn host_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.hosts.keys().cloned().collect();
        names.sort();
        names
    }

    /// What lookups find at a host: prefix and route.
    pub(super) fn places_of(&self, host: &str) -> impl Iterator<Item = (&str, &Rc<Route>)> {
        let host = self.hosts.get(host);
        host.into_iter().flat_map(|host| {
            let whole = host.whole.iter().map(|(prefix, route)| (prefix.as_str(), route));
            whole.chain(host.open.iter().map(|route| (route.prefix.as_str(), route)))
        })
    }

    pub(super) fn places(&self) -> impl Iterator<Item = (&str, &str, &Rc<Route>)> {
        let hosts = self.hosts.keys();
        hosts.flat_map(|host| self.places_of(host).map(move |(prefix, route)| (host.as_str(), prefix, route)))
    }

    /// Every route, in no order.
    pub fn each(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flat_map(|host| host.whole.values().chain(&host.open))
    }

    /// Every route, by name.
    pub fn all(&self) -> Vec<Rc<Route>> {
        let mut all: Vec<_> = self.each().cloned().collect();
        all.sort_by(|one, other| one.name.cmp(&other.name));
        all
    }
}
