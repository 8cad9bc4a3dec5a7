//! What a table of routes comes to, worked out from the table that lookups use. Two tables with the same
//! digest send every request the same way.

use super::route::{Route, RouteKind};
use super::table::Routes;
use crate::work::Work;
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use trackbed::ids::{ConfigEpoch, ServiceName};

/// Routes are digested in so many parts, and one more holds limits and tenants.
pub const LEAVES: usize = 64;

/// What a whole table comes to, leaf by leaf.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct TableDigest {
    /// The version of the configuration.
    pub epoch: ConfigEpoch,
    /// Invariant: `LEAVES` + 1 of them.
    pub leaves: Vec<u64>,
}

impl TableDigest {
    /// All leaves in one number.
    pub fn root(&self) -> u64 {
        self.leaves.iter().fold(Mixer::default(), |mixer, leaf| mixer.number(*leaf)).0
    }

    /// The leaves in which another table differs.
    pub fn differing(&self, other: &[u64]) -> Vec<u32> {
        (0..self.leaves.len())
            .filter(|leaf| other.get(*leaf) != self.leaves.get(*leaf))
            .map(|leaf| leaf as u32)
            .collect()
    }
}

/// The route that a request was planned by, as it goes between nodes.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PlannedBy {
    /// The version of the configuration.
    pub epoch: ConfigEpoch,
    /// What the route comes to.
    pub digest: u64,
    /// Whether the route lets a request run more than once.
    pub repeats: bool,
}

impl PlannedBy {
    /// What a request is planned by: this route of this table.
    pub fn of(routes: &Routes, route: &Route) -> Self {
        Self { epoch: routes.epoch, digest: route.digest(), repeats: route.kind.repeats() }
    }

    /// Whether a table contradicts the plan. `found` is the route that it has for the request. A table
    /// older than the plan has nothing to say; one of the same epoch must say the very same; a newer one
    /// must still let the request go to that service.
    pub fn is_contradicted(&self, routes: &Routes, found: Option<&Route>, service: &ServiceName) -> bool {
        match self.epoch.cmp(&routes.epoch) {
            std::cmp::Ordering::Greater => false,
            std::cmp::Ordering::Equal => found.is_none_or(|route| route.digest() != self.digest),
            std::cmp::Ordering::Less => !found.is_some_and(|route| route.allows(self.repeats, service)),
        }
    }

    /// The text that goes along between nodes.
    pub fn write(&self) -> String {
        format!("{},{:x},{}", self.epoch.0, self.digest, self.repeats as u8)
    }

    /// Reads the text of `write`; nothing where it is none.
    pub fn read(text: &str) -> Option<Self> {
        let mut parts = text.split(',');
        let epoch = ConfigEpoch(parts.next()?.parse().ok()?);
        let digest = u64::from_str_radix(parts.next()?, 16).ok()?;
        Some(Self { epoch, digest, repeats: parts.next()? == "1" })
    }
}

/// One entry of a table, as found in it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Entry {
    /// Host and prefix under which lookups find it; what else a table holds has a name in brackets.
    /// Host and prefix.
    pub place: String,
    /// What the route there comes to.
    pub digest: u64,
    /// What it says, for people.
    pub says: String,
}

/// An entry that is not as it was meant to be.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct EntryDrift {
    /// Host and prefix.
    pub place: String,
    /// The route that is meant there, where one is.
    pub meant: Option<String>,
    /// The route that was found there, where one was.
    pub found: Option<String>,
}

#[derive(Clone, Copy, Default)]
struct Mixer(u64);

impl Mixer {
    fn number(self, number: u64) -> Self {
        let mut mixed = (self.0 ^ number).wrapping_add(0x9e37_79b9_7f4a_7c15).rotate_left(17);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        Self(mixed ^ (mixed >> 31))
    }

    fn text(self, text: &str) -> Self {
        let chunks = text.as_bytes().chunks(8).map(|chunk| {
            let mut word = [0u8; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            u64::from_le_bytes(word)
        });
        chunks.fold(self.number(text.len() as u64), Self::number)
    }
}

fn kind_number(kind: RouteKind) -> u64 {
    match kind {
        RouteKind::Idempotent => 1,
        RouteKind::NonIdempotent => 2,
        RouteKind::Upload => 3,
        RouteKind::Download => 4,
    }
}

/// The leaves of a table's digest, kept up with each change.
#[derive(Clone, Debug)]
pub(super) struct DigestLeaves([u64; LEAVES + 1]);

impl Default for DigestLeaves {
    fn default() -> Self {
        Self([0; LEAVES + 1])
    }
}

impl DigestLeaves {
    /// Adds a route, or takes it away again.
    pub fn toggle(&mut self, route: &Route) {
        self.0[leaf_of(&route.hostname, &route.prefix)] ^= entry_digest(&route.hostname, &route.prefix, route);
    }
}

/// A route at its place, as a number.
fn entry_digest(host: &str, prefix: &str, route: &Route) -> u64 {
    Mixer::default().text(host).text(prefix).number(route.digest()).0
}

fn leaf_of(host: &str, prefix: &str) -> usize {
    (Mixer::default().text(host).text(prefix).0 % LEAVES as u64) as usize
}

impl Route {
    /// What this route says, as a number.
    pub fn digest(&self) -> u64 {
        Work::record(|work| work.routes_digested += 1);
        let mixer = Mixer::default().text(&self.name).text(&self.hostname).text(&self.prefix);
        let mixer = mixer.number(kind_number(self.kind)).number(self.timeout.as_nanos() as u64);
        let mixer = mixer.number(self.target.as_nanos() as u64).number(self.priority as u64);
        let mixer = mixer.number(self.max_goes as u64);
        self.split.iter().fold(mixer, |mixer, (service, weight)| mixer.text(service.as_str()).number(*weight)).0
    }

    /// Whether a request of a kind may go to a service by this route.
    pub fn allows(&self, repeats: bool, service: &ServiceName) -> bool {
        self.kind.repeats() == repeats && self.split.iter().any(|(known, weight)| known == service && *weight > 0)
    }

    /// The difference in words.
    pub fn says(&self) -> String {
        let split: Vec<String> = self.split.iter().map(|(service, weight)| format!("{service}:{weight}")).collect();
        format!(
            "{} {:?} to {} within {:?}, target {:?}, priority {}, {} goes",
            self.name,
            self.kind,
            split.join("+"),
            self.timeout,
            self.target,
            self.priority,
            self.max_goes
        )
    }
}

impl Routes {
    /// Limits and tenants, as a number.
    fn rest_digest(&self) -> u64 {
        let limits = &self.limits;
        let mixer = Mixer::default().number(limits.header_bytes).number(limits.body_bytes);
        let mixer = mixer.number(limits.header_time.as_nanos() as u64).number(limits.idle_time.as_nanos() as u64);
        let tenants = self.tenants.all().fold(mixer, |mixer, tenant| {
            let mixer = mixer.text(&tenant.name);
            tenant.regions.iter().fold(mixer, |mixer, region| mixer.text(region.as_str()))
        });
        let services = self.services();
        services.fold(tenants, |mixer, (name, _)| mixer.text(name)).0
    }

    /// The digest, as it was kept up with each change. `DigestPass` works it out anew.
    pub fn digest(&self) -> TableDigest {
        TableDigest { epoch: self.epoch, leaves: self.leaves.0.to_vec() }
    }

    /// Brings the leaf of limits, services and tenants up to date.
    pub(super) fn digest_rest(&mut self) {
        self.leaves.0[LEAVES] = self.rest_digest();
    }

    /// What stands in some leaves.
    pub fn entries(&self, leaves: &[u32]) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (host, prefix, route) in self.places() {
            if leaves.contains(&(leaf_of(host, prefix) as u32)) {
                let digest = entry_digest(host, prefix, route);
                entries.push(Entry { place: format!("{host}{prefix}"), digest, says: route.says() });
            }
        }
        if leaves.contains(&(LEAVES as u32)) {
            let says = format!("{:?}, {} tenants", self.limits, self.tenants.all().count());
            entries.push(Entry { place: "(limits, services and tenants)".into(), digest: self.rest_digest(), says });
        }
        entries
    }
}

/// Where two sets of entries differ.
pub fn entry_drifts(meant: &[Entry], found: &[Entry]) -> Vec<EntryDrift> {
    let mut places: BTreeMap<&str, (Option<&Entry>, Option<&Entry>)> = BTreeMap::new();
    meant.iter().for_each(|entry| places.entry(&entry.place).or_default().0 = Some(entry));
    found.iter().for_each(|entry| places.entry(&entry.place).or_default().1 = Some(entry));
    let differs =
        |(meant, found): &(Option<&Entry>, Option<&Entry>)| meant.map(|it| it.digest) != found.map(|it| it.digest);
    let drifted = places.into_iter().filter(|(_, both)| differs(both));
    drifted
        .map(|(place, (meant, found))| EntryDrift {
            place: place.to_owned(),
            meant: meant.map(|entry| entry.says.clone()),
            found: found.map(|entry| entry.says.clone()),
        })
        .collect()
}

/// Works a table's digest out a few routes at a time. Invariant: of one table from beginning to end.
pub struct DigestPass {
    routes: Rc<Routes>,
    hosts: Vec<String>,
    at: usize,
    leaves: Vec<u64>,
}

impl DigestPass {
    /// Begins a pass over a table.
    pub fn begin(routes: Rc<Routes>) -> Self {
        let hosts = routes.host_names();
        Self { routes, hosts, at: 0, leaves: vec![0; LEAVES + 1] }
    }

    /// Whether this pass is of that very table.
    pub fn is_of(&self, routes: &Rc<Routes>) -> bool {
        Rc::ptr_eq(&self.routes, routes)
    }

    /// The table that the pass goes over.
    pub fn table(&self) -> &Rc<Routes> {
        &self.routes
    }

    /// Goes on by hosts until so many routes were looked at; the digest at the end.
    pub fn step(&mut self, most: usize) -> Option<TableDigest> {
        let mut looked_at = 0;
        while let Some(host) = self.hosts.get(self.at) {
            for (prefix, route) in self.routes.places_of(host) {
                self.leaves[leaf_of(host, prefix)] ^= entry_digest(host, prefix, route);
                looked_at += 1;
            }
            self.at += 1;
            if looked_at >= most {
                return None;
            }
        }
        self.leaves[LEAVES] = self.routes.rest_digest();
        Some(TableDigest { epoch: self.routes.epoch, leaves: std::mem::take(&mut self.leaves) })
    }
}

#[cfg(test)]
mod tests;
