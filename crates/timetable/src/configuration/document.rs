//! A whole configuration, and a change to one. Each item keeps the text it came in.

use super::checks::Fault;
use super::observation::{OBSERVATION, Observation};
use super::route::{Limits, Route, Service};
use super::table::Routes;
use super::tenant::{Tenant, Tenants};
use borsh::{BorshDeserialize, BorshSerialize};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;
use std::rc::Rc;
use trackbed::ids::{ConfigEpoch, RegionName};
use trackbed::logs::escape;

/// Items by name, each as its JSON text.
type Items = BTreeMap<String, String>;

/// Invariant: every kept configuration passed all checks.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Configuration {
    pub epoch: ConfigEpoch,
    routes: Items,
    services: Items,
    tenants: Items,
    /// Whatever else stands at the top, with `limits`.
    others: Items,
}

#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Patch {
    pub epoch: ConfigEpoch,
    /// By table: what to add or replace.
    upserts: BTreeMap<String, Items>,
    /// By table: names to remove.
    removals: BTreeMap<String, Vec<String>>,
}

fn read(body: &[u8]) -> Result<Value, Fault> {
    let value: Value = sonic_rs::from_slice(body).map_err(|error| Fault::Unreadable {
        reason: error.to_string().lines().next().unwrap_or_default().to_owned(),
    })?;
    if !value.is_object() {
        return Err(Fault::Unreadable { reason: "it is not a table".into() });
    }
    Ok(value)
}

fn epoch_of(value: &Value) -> Result<ConfigEpoch, Fault> {
    value
        .pointer(["version"].iter())
        .and_then(|version| version.as_str())
        .filter(|version| version.starts_with('r'))
        .and_then(ConfigEpoch::parse)
        .ok_or(Fault::Wrong { place: "/version".into(), wanted: "a version like \"r12\"" })
}

fn text_of(value: &Value) -> String {
    sonic_rs::to_string(value).unwrap_or_else(|_| "null".into())
}

fn items_of(value: Option<&Value>, place: &str) -> Result<Items, Fault> {
    let Some(value) = value.filter(|value| !value.is_null()) else {
        return Ok(Items::new());
    };
    let wrong = || Fault::Wrong { place: place.to_owned(), wanted: "a table by name" };
    let mut items = Items::new();
    for (name, item) in value.as_object().ok_or_else(wrong)?.iter() {
        if name.is_empty() || items.insert(name.to_owned(), text_of(item)).is_some() {
            return Err(wrong());
        }
    }
    Ok(items)
}

impl Configuration {
    /// Reads and checks a whole configuration.
    pub fn parse(body: &[u8]) -> Result<Self, Fault> {
        let value = read(body)?;
        let mut configuration = Self {
            epoch: epoch_of(&value)?,
            routes: items_of(value.pointer(["routes"].iter()), "/routes")?,
            services: items_of(value.pointer(["services"].iter()), "/services")?,
            tenants: items_of(value.pointer(["tenants"].iter()), "/tenants")?,
            others: Items::new(),
        };
        for (name, item) in value.as_object().into_iter().flat_map(|table| table.iter()) {
            // An empty table of tenants comes back as it was put.
            let kept = name != "tenants" || configuration.tenants.is_empty();
            if kept && !matches!(name, "version" | "routes" | "services") {
                configuration.others.insert(name.to_owned(), text_of(item));
            }
        }
        configuration.typed()?;
        Ok(configuration)
    }

    /// The configuration with a change made; the change is checked as a whole.
    pub fn patched(&self, patch: &Patch) -> Result<Self, Fault> {
        let mut next = self.clone();
        next.epoch = patch.epoch;
        for (table, names) in &patch.removals {
            let items = next.table_mut(table)?;
            for name in names {
                items.remove(name);
            }
        }
        for (table, upserts) in &patch.upserts {
            let items = next.table_mut(table)?;
            for (name, item) in upserts {
                items.insert(name.clone(), item.clone());
            }
        }
        next.typed()?;
        Ok(next)
    }

    fn table_mut(&mut self, table: &str) -> Result<&mut Items, Fault> {
        match table {
            "routes" => Ok(&mut self.routes),
            "services" => Ok(&mut self.services),
            "tenants" => {
                self.others.remove("tenants");
                Ok(&mut self.tenants)
            }
            "limits" | OBSERVATION => Ok(&mut self.others),
            _ => Err(Fault::Wrong {
                place: format!("/upserts/{table}"),
                wanted: "routes, services, tenants, limits or observation",
            }),
        }
    }

    /// The typed values; the checks are made on the way.
    pub fn typed(&self) -> Result<Routes, Fault> {
        let mut services = BTreeMap::new();
        for (name, text) in &self.services {
            services.insert(name.clone(), Service::parse(name, &item(text)?)?);
        }
        let mut routes = Vec::with_capacity(self.routes.len());
        for (name, text) in &self.routes {
            let route = Route::parse(name, &item(text)?)?;
            for (service, _) in &route.split {
                if !services.contains_key(service.as_str()) {
                    let service = service.as_str().to_owned();
                    return Err(Fault::UnknownService { route: name.clone(), service });
                }
            }
            routes.push(Rc::new(route));
        }
        let limits = match self.others.get("limits") {
            Some(text) => Limits::parse(&item(text)?)?,
            None => Limits::default(),
        };
        let mut tenants = Vec::with_capacity(self.tenants.len());
        for (name, text) in &self.tenants {
            tenants.push(Tenant::parse(name, &item(text)?)?);
        }
        let observation = match self.others.get(OBSERVATION) {
            Some(text) => Observation::parse(&item(text)?)?,
            None => Observation::default(),
        };
        Routes::build(self.epoch, routes, services, limits, Tenants::build(tenants)?, observation)
    }

    /// Every region that a tenant names must be one of the fleet's.
    pub fn check_regions(&self, known: &dyn Fn(&RegionName) -> bool) -> Result<(), Fault> {
        for (name, text) in &self.tenants {
            let tenant = Tenant::parse(name, &item(text)?)?;
            if let Some(region) = tenant.regions.iter().find(|region| !known(region)) {
                return Err(Fault::UnknownRegion { tenant: name.clone(), region: region.as_str().to_owned() });
            }
        }
        Ok(())
    }

    /// The whole configuration, laid out as it is put.
    pub fn to_json(&self) -> String {
        let mut text = format!("{{\"version\":\"{}\"", self.epoch);
        for (table, items) in [("routes", &self.routes), ("services", &self.services)] {
            text.push_str(&format!(",\"{table}\":{{"));
            push_items(&mut text, items);
            text.push('}');
        }
        if !self.tenants.is_empty() {
            text.push_str(",\"tenants\":{");
            push_items(&mut text, &self.tenants);
            text.push('}');
        }
        if !self.others.is_empty() {
            text.push(',');
            push_items(&mut text, &self.others);
        }
        text.push('}');
        text
    }
}

fn item(text: &str) -> Result<Value, Fault> {
    sonic_rs::from_str(text).map_err(|error| Fault::Unreadable { reason: error.to_string() })
}

fn push_items(text: &mut String, items: &Items) {
    for (index, (name, item)) in items.iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&format!("\"{}\":{item}", escape(name)));
    }
}

impl Patch {
    pub fn parse(body: &[u8]) -> Result<Self, Fault> {
        let value = read(body)?;
        let mut patch = Self { epoch: epoch_of(&value)?, ..Self::default() };
        if let Some(tables) = value.pointer(["upserts"].iter()).and_then(|tables| tables.as_object()) {
            for (table, upserts) in tables.iter() {
                if table == "limits" || table == OBSERVATION {
                    let whole = Items::from([(table.to_owned(), text_of(upserts))]);
                    patch.upserts.insert(table.to_owned(), whole);
                } else {
                    let place = format!("/upserts/{table}");
                    patch.upserts.insert(table.to_owned(), upserted(upserts, &place)?);
                }
            }
        }
        if let Some(tables) = value.pointer(["removals"].iter()).and_then(|tables| tables.as_object()) {
            for (table, names) in tables.iter() {
                let wrong = || Fault::Wrong { place: format!("/removals/{table}"), wanted: "a list of names" };
                let names = names.as_array().ok_or_else(wrong)?;
                let names: Option<Vec<String>> = names.iter().map(|name| name.as_str().map(str::to_owned)).collect();
                patch.removals.insert(table.to_owned(), names.ok_or_else(wrong)?);
            }
        }
        Ok(patch)
    }
}

/// Items by name, or a list of items that carry their `name`.
fn upserted(value: &Value, place: &str) -> Result<Items, Fault> {
    let Some(list) = value.as_array() else {
        return items_of(Some(value), place);
    };
    let mut items = Items::new();
    for item in list.iter() {
        let name = item.pointer(["name"].iter()).and_then(|name| name.as_str());
        let name = name.ok_or(Fault::Wrong { place: place.to_owned(), wanted: "items with a name" })?;
        items.insert(name.to_owned(), text_of(item));
    }
    Ok(items)
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    fn whole(route: &str) -> String {
        format!(
            r#"{{"version":"r7","routes":{{"a":{route},"b":{{"hostname":"h","path_prefix":"/b/","route_type":"upload",
            "timeout_s":1,"service_name":"s"}}}},"services":{{"s":{{"health_check_path":"/health","max_connections":9}}}},
            "limits":{{"max_header_bytes":100,"idle_timeout_s":0.5}},"extra":[1]}}"#
        )
    }

    const GOOD: &str = r#"{"hostname":"H","path_prefix":"/a/","route_type":"idempotent","timeout_s":0.5,
        "target_latency_s":0.2,"priority":2,"max_attempts":2,"traffic_split":[{"service_name":"s","weight":90}]}"#;

    #[test]
    fn every_fault_is_named() {
        let parse = |route: &str| Configuration::parse(whole(route).as_bytes());
        assert!(parse(GOOD).is_ok());
        let changed = |from: &str, to: &str| parse(&GOOD.replace(from, to)).unwrap_err();
        assert_matches!(changed("\"H\"", "\"\""), Fault::EmptyHost { .. });
        assert_matches!(changed("\"/a/\"", "\"a/\""), Fault::BarePrefix { .. });
        assert_matches!(changed("\"/a/\"", "\"/b/\""), Fault::SamePlace { .. });
        assert_matches!(changed("idempotent", "odd"), Fault::OddKind { .. });
        assert_matches!(changed("\"s\"", "\"t\""), Fault::UnknownService { .. });
        assert_matches!(changed("0.2", "60.5"), Fault::TargetOverTimeout { .. });
        assert_matches!(changed("90", "0"), Fault::NoWeight { .. });
        let text = whole(GOOD);
        assert_matches!(Configuration::parse(&text.as_bytes()[..text.len() - 3]), Err(Fault::Unreadable { .. }));
        assert_matches!(Configuration::parse(text.replace("r7", "7").as_bytes()), Err(Fault::Wrong { .. }));
    }

    #[test]
    fn what_was_put_comes_back_and_patches_change_named_items() {
        let configuration = Configuration::parse(whole(GOOD).as_bytes()).unwrap();
        let again = Configuration::parse(configuration.to_json().as_bytes()).unwrap();
        assert_eq!(configuration, again);
        assert!(configuration.to_json().contains("\"extra\":[1]"));
        let patch = br#"{"version":"r9","upserts":{"routes":{"c":{"hostname":"h","path_prefix":"/c/",
            "route_type":"download","timeout_s":1,"service_name":"s"}}},"removals":{"routes":["a"]}}"#;
        let next = configuration.patched(&Patch::parse(patch).unwrap()).unwrap();
        let routes = next.typed().unwrap();
        assert_eq!(next.epoch, ConfigEpoch(9));
        assert!(routes.find("h", "/c/x").is_some());
        assert!(routes.find("h", "/a/x").is_none());
        let patch = br#"{"version":"r9","removals":{"services":["s"]}}"#;
        let fault = configuration.patched(&Patch::parse(patch).unwrap()).unwrap_err();
        assert_matches!(fault, Fault::UnknownService { .. });
    }

    #[test]
    fn what_is_to_be_observed_is_checked_and_can_be_patched() {
        let with =
            |observation: &str| whole(GOOD).replace("\"extra\"", &format!("\"observation\":{observation},\"extra\""));
        let parse = |observation: &str| Configuration::parse(with(observation).as_bytes());
        let routes = |configuration: &Configuration| configuration.typed().unwrap();
        let configuration = parse(r#"{"client_header":"X-School"}"#).unwrap();
        assert_eq!(Configuration::parse(configuration.to_json().as_bytes()).unwrap(), configuration);
        assert_eq!(routes(&configuration).observation.client_header.as_deref(), Some("x-school"));
        assert!(routes(&configuration).observation.reservations);
        assert_matches!(parse("[]"), Err(Fault::Wrong { place, .. }) if place == "/observation");
        for wrong in [r#"{"client_header":"x y"}"#, r#"{"client_header":""}"#, r#"{"client_header":7}"#] {
            assert_matches!(parse(wrong), Err(Fault::Wrong { place, .. }) if place == "/observation/client_header");
        }
        assert_matches!(parse(r#"{"reservations":1}"#), Err(Fault::Wrong { place, .. }) if place == "/observation/reservations");
        let patch = br#"{"version":"r9","upserts":{"observation":{"reservations":false}}}"#;
        let next = configuration.patched(&Patch::parse(patch).unwrap()).unwrap();
        assert_eq!(routes(&next).observation, Observation { client_header: None, reservations: false });
    }

    #[test]
    fn tenants_are_checked_as_strictly_and_found_by_claim_or_header() {
        let with = |tenants: &str| whole(GOOD).replace("\"extra\"", &format!("\"tenants\":{tenants},\"extra\""));
        let parse = |tenants: &str| Configuration::parse(with(tenants).as_bytes());
        let claim = |prefix: &str| format!(r#""claims":[{{"hostname":"H","path_prefix":"{prefix}"}}]"#);
        let good = format!(r#"{{"x":{{"regions":["r1"],{}}},"y":{{"regions":["r1","r2"]}}}}"#, claim("/a/"));
        let configuration = parse(&good).unwrap();
        assert_eq!(Configuration::parse(configuration.to_json().as_bytes()).unwrap(), configuration);
        let routes = configuration.typed().unwrap();
        let find = |path: &str, named: Option<&str>| {
            routes.tenants.find("h:80", path, named).map(|tenant| tenant.map(|tenant| tenant.name.clone()))
        };
        assert_eq!(find("/a/1", None), Ok(Some("x".into())));
        assert_eq!(find("/b/1", None), Ok(None));
        assert_eq!(find("/b/1", Some("y")), Ok(Some("y".into())));
        assert_eq!(find("/a/1", Some("y")), Err(crate::configuration::TenantDoubt::Contradicted));
        assert_eq!(find("/b/1", Some("z")), Err(crate::configuration::TenantDoubt::Unknown));
        let known = |region: &RegionName| region.as_str() == "r1";
        assert_matches!(configuration.check_regions(&known), Err(Fault::UnknownRegion { region, .. }) if region == "r2");
        assert_matches!(parse(r#"{"x":{"regions":[]}}"#), Err(Fault::NoRegions { .. }));
        assert_matches!(parse(r#"{"x y":{"regions":["r1"]}}"#), Err(Fault::BadTenantName { .. }));
        assert_matches!(parse(r#"{"x":{}}"#), Err(Fault::Wrong { .. }));
        let twice = format!(r#"{{"x":{{"regions":["r1"],{0}}},"y":{{"regions":["r1"],{0}}}}}"#, claim("/a/"));
        assert_matches!(parse(&twice), Err(Fault::DoubledClaim { .. }));
        let patch = br#"{"version":"r9","upserts":{"tenants":{"x":{"regions":["r2"]}}},"removals":{"tenants":["y"]}}"#;
        let next = configuration.patched(&Patch::parse(patch).unwrap()).unwrap().typed().unwrap();
        assert_eq!(next.tenants.all().map(|tenant| tenant.name.clone()).collect::<Vec<_>>(), ["x"]);
    }
}
