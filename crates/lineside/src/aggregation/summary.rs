//! What was counted in one window, by one node or by many. Bounded whatever came in.

use borsh::{BorshDeserialize, BorshSerialize, io};
use datasketches::frequencies::FrequentItemsSketch;
use std::collections::BTreeMap;

/// Counters that a node's sketch holds, and those of a merged one. Up to three quarters as many clients are counted
/// exactly; beyond, no count is off by more than 3.5 / CLIENTS of all requests.
const CLIENTS_OF_A_NODE: usize = 64;
const CLIENTS_MERGED: usize = 256;
/// Routes told by name; the others are counted by service, and services beyond the bound together.
pub const MOST_ROUTES: usize = 64;
const MOST_ROUTES_MERGED: usize = 512;

/// What was asked of a route, or of a service's other routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Demand {
    /// Tries that began in the window.
    pub requests: u64,
    /// Of these, those that were refused.
    pub refused: u64,
    /// Requests that ended at an endpoint, and the time that they took there.
    pub served: u64,
    pub work_micros: u64,
}

impl Demand {
    pub fn add(&mut self, other: &Demand) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.served += other.served;
        self.work_micros += other.work_micros;
    }
}

/// Invariants: at most as many routes and clients as the bounds say; the sum over routes is what was counted.
#[derive(Clone, Debug)]
pub struct Summary {
    clients: FrequentItemsSketch<String>,
    /// By service, then by route. An empty route is a service's others; an empty service all others.
    routes: BTreeMap<String, BTreeMap<String, Demand>>,
    most_routes: usize,
}

impl PartialEq for Summary {
    fn eq(&self, other: &Self) -> bool {
        self.routes == other.routes && self.clients.serialize() == other.clients.serialize()
    }
}

impl BorshSerialize for Summary {
    fn serialize<W: io::Write>(&self, writer: &mut W) -> io::Result<()> {
        (self.most_routes as u32).serialize(writer)?;
        self.clients.serialize().serialize(writer)?;
        self.routes.serialize(writer)
    }
}

impl BorshDeserialize for Summary {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        let most_routes = u32::deserialize_reader(reader)? as usize;
        let clients = Vec::<u8>::deserialize_reader(reader)?;
        let clients = FrequentItemsSketch::deserialize(&clients)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
        let routes = BTreeMap::deserialize_reader(reader)?;
        Ok(Self { clients, routes, most_routes: most_routes.clamp(1, MOST_ROUTES_MERGED) })
    }
}

fn sketch(size: usize) -> FrequentItemsSketch<String> {
    FrequentItemsSketch::new(size).expect("the size is a power of two")
}

impl Summary {
    pub fn of_a_node() -> Self {
        Self { clients: sketch(CLIENTS_OF_A_NODE), routes: BTreeMap::new(), most_routes: MOST_ROUTES }
    }

    pub fn merged() -> Self {
        Self { clients: sketch(CLIENTS_MERGED), routes: BTreeMap::new(), most_routes: MOST_ROUTES_MERGED }
    }

    /// One try of a client begins.
    pub fn begun(&mut self, client: &str, service: &str, route: &str) {
        self.clients.update_ref(client);
        self.demand(service, route).requests += 1;
    }

    pub fn refused(&mut self, service: &str, route: &str) {
        self.demand(service, route).refused += 1;
    }

    /// Work that ended at an endpoint.
    pub fn worked(&mut self, service: &str, route: &str, served: u64, micros: u64) {
        let demand = self.demand(service, route);
        demand.served += served;
        demand.work_micros += micros;
    }

    fn demand(&mut self, service: &str, route: &str) -> &mut Demand {
        let (service, route) = match self.knows(service, route) {
            true => (service, route),
            false => self.place_of_new(service, route),
        };
        if !self.knows(service, route) {
            self.routes.entry(service.to_owned()).or_default().insert(route.to_owned(), Demand::default());
        }
        self.routes.get_mut(service).and_then(|routes| routes.get_mut(route)).expect("there, or put there just now")
    }

    fn knows(&self, service: &str, route: &str) -> bool {
        self.routes.get(service).is_some_and(|routes| routes.contains_key(route))
    }

    /// Where one that is not held yet is counted: by name while there is room, else with its service's others, else
    /// with all others.
    fn place_of_new<'a>(&self, service: &'a str, route: &'a str) -> (&'a str, &'a str) {
        let all = || self.routes.values().flat_map(|routes| routes.keys());
        let named = all().filter(|route| !route.is_empty()).count();
        if !route.is_empty() && named < self.most_routes {
            return (service, route);
        }
        match self.knows(service, "") || all().count() - named < self.most_routes {
            true => (service, ""),
            false => ("", ""),
        }
    }

    /// Takes in all that another counted.
    pub fn merge(&mut self, other: &Summary) {
        self.clients.merge(&other.clients);
        // The busiest keep their names.
        let mut theirs: Vec<_> = other.routes().collect();
        theirs.sort_by_key(|(_, _, demand)| std::cmp::Reverse(demand.requests));
        for (service, route, demand) in theirs {
            self.demand(service, route).add(demand);
        }
    }

    pub fn requests(&self) -> u64 {
        self.clients.total_weight()
    }

    pub fn routes(&self) -> impl Iterator<Item = (&str, &str, &Demand)> {
        let of_service = |(service, routes)| {
            let routes: &BTreeMap<String, Demand> = routes;
            let service: &String = service;
            routes.iter().map(move |(route, demand)| (service.as_str(), route.as_str(), demand))
        };
        self.routes.iter().flat_map(of_service)
    }

    /// Each client that is held by name: estimate, and between which bounds its true count is. Highest first;
    /// of equals, by name.
    pub fn clients(&self) -> Vec<(String, u64, u64, u64)> {
        use datasketches::frequencies::ErrorType;
        let rows = self.clients.frequent_items_with_threshold(ErrorType::NoFalseNegatives, 0);
        let mut rows: Vec<_> =
            rows.iter().map(|row| (row.item().clone(), row.estimate(), row.lower_bound(), row.upper_bound())).collect();
        rows.sort_by(|one, other| other.1.cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
        rows
    }

    /// By how much a client's count may be off at most.
    pub fn error(&self) -> u64 {
        self.clients.maximum_error()
    }
}
