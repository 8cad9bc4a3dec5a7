//! Routes as requests look them up. The cost goes with the path's depth, not with the routes. A table made
//! from another by a few changes shares the rest with it.

use super::changes::TypedChanges;
use super::checks::Fault;
use super::digest::DigestLeaves;
use super::observation::Observation;
use super::prefixes::Prefixes;
use super::route::{Limits, Route, Service};
use super::tenant::Tenants;
use crate::shared::SharedMap;
use crate::work::Work;
use rpds::HashTrieMap;
use std::rc::Rc;
use trackbed::ids::{ConfigEpoch, ServiceName};

/// Slashes of a path at which prefixes are looked up.
const MOST_SLASHES: usize = 64;

#[derive(Clone, Debug, Default)]
struct Host {
    /// Prefixes that end with a slash.
    whole: Prefixes<Rc<Route>>,
    /// The others.
    open: Prefixes<Rc<Route>>,
}

impl Host {
    fn get(&self, prefix: &str) -> Option<&Rc<Route>> {
        self.whole.get(prefix).or_else(|| self.open.get(prefix))
    }

    fn insert(&mut self, route: Rc<Route>) {
        let prefixes = if route.prefix.ends_with('/') { &mut self.whole } else { &mut self.open };
        prefixes.insert(&route.prefix.clone(), route);
    }

    fn remove(&mut self, prefix: &str) {
        self.whole.remove(prefix);
        self.open.remove(prefix);
    }

    fn is_empty(&self) -> bool {
        self.whole.is_empty() && self.open.is_empty()
    }

    fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.whole.values().chain(self.open.values())
    }
}

/// What a configuration holds beside its items by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Settings {
    /// The version of the configuration.
    pub epoch: ConfigEpoch,
    /// What clients may send.
    pub limits: Limits,
    /// How clients and routes are counted.
    pub observation: Observation,
}

/// The routes in force, found by host and path.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// The version of the configuration.
    pub epoch: ConfigEpoch,
    /// What clients may send.
    pub limits: Limits,
    /// The tenants, and where their requests may be handled.
    pub tenants: Tenants,
    /// How clients and routes are counted.
    pub observation: Observation,
    services: SharedMap<String, Rc<Service>>,
    hosts: HashTrieMap<String, Host>,
    /// How often routes name each service.
    references: HashTrieMap<ServiceName, u32>,
    /// Invariant: what a walk over this table's entries comes to.
    pub(super) leaves: DigestLeaves,
}

impl Routes {
    /// The table of a whole configuration. Invariant: every service that a route names is among `services`.
    pub(super) fn build(
        settings: Settings,
        routes: Vec<Rc<Route>>,
        services: SharedMap<String, Rc<Service>>,
        tenants: Tenants,
    ) -> Result<Self, Fault> {
        let Settings { epoch, limits, observation } = settings;
        let mut table = Self { epoch, limits, tenants, observation, services, ..Self::default() };
        for route in routes {
            table
                .place(route)
                .map_err(|(route, other)| Fault::SamePlace { route: route.name.clone(), other: other.name.clone() })?;
        }
        table.digest_rest();
        Ok(table)
    }

    /// The table after some changes; `None` where they don't pass the checks. Costs O(changes · log n).
    pub(super) fn changed(&self, settings: Settings, changes: &TypedChanges) -> Option<Self> {
        let mut next = self.clone();
        let rest_differs = self.limits != settings.limits || changes.concern_rest();
        (next.epoch, next.limits, next.observation) = (settings.epoch, settings.limits, settings.observation);
        changes.routes.iter().filter_map(|change| change.before.as_ref()).for_each(|route| next.displace(route));
        for service in &changes.services {
            match &service.after {
                Some(after) => next.services.insert(service.name.clone(), after.clone()),
                None => {
                    next.services.remove(&service.name);
                }
            }
        }
        for route in changes.routes.iter().filter_map(|change| change.after.as_ref()) {
            next.place(route.clone()).ok()?;
            let knows = |(service, _): &(ServiceName, u64)| next.services.contains_key(service.as_str());
            if !route.split.iter().all(knows) {
                return None;
            }
        }
        let removed = changes.services.iter().filter(|service| service.after.is_none());
        if removed.into_iter().any(|service| next.references.contains_key(&ServiceName::new(&service.name))) {
            return None;
        }
        next.tenants = next.tenants.changed(&changes.tenants)?;
        if rest_differs {
            next.digest_rest();
        }
        Some(next)
    }

    /// Puts a route in its place; gives it back with the other where one is there.
    fn place(&mut self, route: Rc<Route>) -> Result<(), (Rc<Route>, Rc<Route>)> {
        Work::record(|work| work.routes_placed += 1);
        let other = self.hosts.get(&route.hostname).and_then(|host| host.get(&route.prefix)).cloned();
        if let Some(other) = other {
            return Err((route, other));
        }
        self.leaves.toggle(&route);
        for (service, _) in &route.split {
            self.refer(service);
        }
        match self.hosts.get_mut(&route.hostname) {
            Some(host) => host.insert(route),
            None => {
                let name = route.hostname.clone();
                let mut host = Host::default();
                host.insert(route);
                self.hosts.insert_mut(name, host);
            }
        }
        Ok(())
    }

    /// Takes a route out of its place.
    fn displace(&mut self, route: &Route) {
        Work::record(|work| work.routes_placed += 1);
        let Some(host) = self.hosts.get_mut(&route.hostname) else { return };
        host.remove(&route.prefix);
        if host.is_empty() {
            self.hosts.remove_mut(&route.hostname);
        }
        self.leaves.toggle(route);
        for (service, _) in &route.split {
            self.unrefer(service);
        }
    }

    /// Counts one more route that names a service.
    fn refer(&mut self, service: &ServiceName) {
        match self.references.get_mut(service) {
            Some(count) => *count += 1,
            None => self.references.insert_mut(service.clone(), 1),
        }
    }

    /// Counts one route less that names a service.
    fn unrefer(&mut self, service: &ServiceName) {
        let Some(count) = self.references.get_mut(service) else { return };
        *count -= 1;
        if *count == 0 {
            self.references.remove_mut(service);
        }
    }

    /// The route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
        let name = name.map(|(name, _)| name).unwrap_or(host);
        let host = match self.hosts.get(name) {
            Some(host) => host,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let open = host.open.longest(path);
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/').map(|(index, _)| index + 1);
        let mut ends = slashes.take(MOST_SLASHES).filter(|end| host.whole.has_length(*end));
        let whole = ends.find_map(|end| host.whole.get(&path[..end]));
        match (open, whole) {
            (Some(open), Some(whole)) if open.prefix.len() > whole.prefix.len() => Some(open),
            (_, Some(whole)) => Some(whole),
            (open, None) => open,
        }
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name.as_str()).map(Rc::as_ref)
    }

    /// Every service, by name.
    pub fn services(&self) -> impl Iterator<Item = (&String, &Service)> {
        self.services.iter().map(|(name, service)| (name, service.as_ref()))
    }

    pub(super) fn host_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.hosts.keys().cloned().collect();
        names.sort();
        names
    }

    /// What lookups find at a host: prefix and route.
    pub(super) fn places_of(&self, host: &str) -> impl Iterator<Item = (&str, &Rc<Route>)> {
        let host = self.hosts.get(host);
        host.into_iter().flat_map(|host| host.routes().map(|route| (route.prefix.as_str(), route)))
    }

    pub(super) fn places(&self) -> impl Iterator<Item = (&str, &str, &Rc<Route>)> {
        let hosts = self.hosts.keys();
        hosts.flat_map(|host| self.places_of(host).map(move |(prefix, route)| (host.as_str(), prefix, route)))
    }

    /// Every route, in no order.
    pub fn each(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flat_map(Host::routes)
    }

    /// Every route, by name.
    pub fn all(&self) -> Vec<Rc<Route>> {
        let mut all: Vec<_> = self.each().cloned().collect();
        all.sort_by(|one, other| one.name.cmp(&other.name));
        all
    }
}
