//! A whole configuration, and a change to one. Each item keeps the text it came in.

use super::changes::TypedChanges;
use super::checks::Fault;
use super::items::{Edits, Items, edits_between, parse_text};
use super::observation::{OBSERVATION, Observation};
use super::route::{Limits, Route, Service};
use super::table::{Routes, Settings};
use super::tenant::{Tenant, Tenants};
use crate::shared::SharedMap;
use borsh::{BorshDeserialize, BorshSerialize};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;
use std::rc::Rc;
use trackbed::ids::{ConfigEpoch, RegionName};
use trackbed::json;
use trackbed::logs::escape;

/// Items by name, each as its JSON text.
type Texts = BTreeMap<String, String>;

/// Copies share their items, and a change costs O(items changed · log n). Encoded as the texts alone.
/// Invariant: every kept configuration passed all checks.
#[derive(Clone, Debug, Default, BorshSerialize, BorshDeserialize)]
pub struct Configuration {
    /// The version.
    pub epoch: ConfigEpoch,
    routes: Items<Route>,
    services: Items<Service>,
    tenants: Items<Tenant>,
    /// Whatever else stands at the top, with `limits`.
    others: SharedMap<String, Rc<str>>,
    /// Invariant: what the items say; with it, every item has its typed value.
    #[borsh(skip)]
    table: Option<Rc<Routes>>,
}

/// Edits of a whole configuration.
#[derive(Default)]
struct ConfigurationEdits {
    routes: Edits,
    services: Edits,
    tenants: Edits,
    others: Edits,
}

/// A change of named items.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Patch {
    /// The version.
    pub epoch: ConfigEpoch,
    /// By table: what to add or replace.
    upserts: BTreeMap<String, Texts>,
    /// By table: names to remove.
    removals: BTreeMap<String, Vec<String>>,
}

fn read(body: &[u8]) -> Result<Value, Fault> {
    let value = json::parse(body).map_err(|error| Fault::Unreadable { reason: error.to_string() })?;
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

fn items_of(value: Option<&Value>, place: &str) -> Result<Texts, Fault> {
    let Some(value) = value.filter(|value| !value.is_null()) else {
        return Ok(Texts::new());
    };
    let wrong = || Fault::Wrong { place: place.to_owned(), wanted: "a table by name" };
    let mut items = Texts::new();
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
        Self::parse_after(body, &Self::default())
    }

    /// Reads and checks a whole configuration that follows another. Items that are as they were are not
    /// parsed again.
    pub fn parse_after(body: &[u8], previous: &Self) -> Result<Self, Fault> {
        let value = read(body)?;
        let epoch = epoch_of(&value)?;
        let routes = items_of(value.pointer(["routes"].iter()), "/routes")?;
        let services = items_of(value.pointer(["services"].iter()), "/services")?;
        let tenants = items_of(value.pointer(["tenants"].iter()), "/tenants")?;
        let mut others = Texts::new();
        for (name, item) in value.as_object().into_iter().flat_map(|table| table.iter()) {
            // An empty table of tenants comes back as it was put.
            let kept = name != "tenants" || tenants.is_empty();
            if kept && !matches!(name, "version" | "routes" | "services") {
                others.insert(name.to_owned(), text_of(item));
            }
        }
        let edits = ConfigurationEdits {
            routes: previous.routes.edits_to(routes),
            services: previous.services.edits_to(services),
            tenants: previous.tenants.edits_to(tenants),
            others: edits_between(&previous.others, |text| text, others),
        };
        previous.edited(epoch, edits)
    }

    /// This configuration checked, as it follows another: items that are as they were are shared with it,
    /// and not parsed again.
    pub fn after(&self, previous: &Self) -> Result<Self, Fault> {
        if self.table.is_some() {
            return Ok(self.clone());
        }
        let edits = ConfigurationEdits {
            routes: previous.routes.edits_to(self.routes.texts()),
            services: previous.services.edits_to(self.services.texts()),
            tenants: previous.tenants.edits_to(self.tenants.texts()),
            others: edits_between(&previous.others, |text| text, self.others.iter()),
        };
        previous.edited(self.epoch, edits)
    }

    /// The configuration with a change made; the change is checked as a whole.
    pub fn patched(&self, patch: &Patch) -> Result<Self, Fault> {
        let mut edits = ConfigurationEdits::default();
        for (table, names) in &patch.removals {
            let items = edits.table_mut(table)?;
            items.extend(names.iter().map(|name| (name.clone(), None)));
        }
        for (table, upserts) in &patch.upserts {
            let items = edits.table_mut(table)?;
            items.extend(upserts.iter().map(|(name, text)| (name.clone(), Some(Rc::from(text.as_str())))));
        }
        self.edited(patch.epoch, edits)
    }

    /// Carries edits out and checks what comes of them: by the items that change where that can be, and
    /// otherwise all of it, in the order in which faults are to be told.
    fn edited(&self, epoch: ConfigEpoch, edits: ConfigurationEdits) -> Result<Self, Fault> {
        let mut next = Self { epoch, table: None, ..self.clone() };
        let routes = next.routes.edit(edits.routes);
        let services = next.services.edit(edits.services);
        let tenants = next.tenants.edit(edits.tenants);
        for (name, text) in edits.others {
            match text {
                Some(text) => next.others.insert(name, text),
                None => {
                    next.others.remove(&name);
                }
            }
        }
        if let (Some(table), Some(routes), Some(services), Some(tenants)) = (&self.table, routes, services, tenants)
            && let Ok(settings) = next.settings()
        {
            next.table = table.changed(settings, &TypedChanges { routes, services, tenants }).map(Rc::new);
        }
        match next.table {
            Some(_) => Ok(next),
            None => next.checked(),
        }
    }

    /// This configuration with all of it checked.
    pub fn checked(mut self) -> Result<Self, Fault> {
        self.check()?;
        Ok(self)
    }

    /// Checks all of it, and keeps the lookup table.
    pub fn check(&mut self) -> Result<(), Fault> {
        if self.table.is_none() {
            self.table = Some(Rc::new(self.build()?));
        }
        Ok(())
    }

    /// Makes every check and builds the lookup table; the first fault in the order of names is told.
    fn build(&self) -> Result<Routes, Fault> {
        let mut services = SharedMap::new();
        for (name, item) in self.services.iter() {
            services.insert(name.clone(), item.typed(name)?);
        }
        let mut routes = Vec::new();
        for (name, item) in self.routes.iter() {
            let route = item.typed(name)?;
            for (service, _) in &route.split {
                if !services.contains_key(service.as_str()) {
                    let service = service.as_str().to_owned();
                    return Err(Fault::UnknownService { route: name.clone(), service });
                }
            }
            routes.push(route);
        }
        let limits = self.limits()?;
        let mut tenants = Vec::new();
        for (name, item) in self.tenants.iter() {
            tenants.push(item.typed(name)?);
        }
        let settings = Settings { epoch: self.epoch, limits, observation: self.observation()? };
        Routes::build(settings, routes, services, Tenants::build(tenants)?)
    }

    fn limits(&self) -> Result<Limits, Fault> {
        match self.others.get("limits") {
            Some(text) => Limits::parse(&parse_text(text)?),
            None => Ok(Limits::default()),
        }
    }

    fn observation(&self) -> Result<Observation, Fault> {
        match self.others.get(OBSERVATION) {
            Some(text) => Observation::parse(&parse_text(text)?),
            None => Ok(Observation::default()),
        }
    }

    fn settings(&self) -> Result<Settings, Fault> {
        Ok(Settings { epoch: self.epoch, limits: self.limits()?, observation: self.observation()? })
    }

    /// The lookup table; `None` before the configuration was checked.
    pub fn table(&self) -> Option<&Rc<Routes>> {
        self.table.as_ref()
    }

    /// The typed values; the checks are made on the way.
    pub fn typed(&self) -> Result<Routes, Fault> {
        match &self.table {
            Some(table) => Ok((**table).clone()),
            None => self.build(),
        }
    }

    /// Every region that a tenant names must be one of the fleet's.
    pub fn check_regions(&self, known: &dyn Fn(&RegionName) -> bool) -> Result<(), Fault> {
        match &self.table {
            Some(table) => table.tenants.check_regions(known),
            None => self.typed()?.tenants.check_regions(known),
        }
    }

    /// The whole configuration, laid out as it is put.
    pub fn to_json(&self) -> String {
        let mut text = format!("{{\"version\":\"{}\"", self.epoch);
        push_table(&mut text, "routes", self.routes.texts());
        push_table(&mut text, "services", self.services.texts());
        if !self.tenants.is_empty() {
            push_table(&mut text, "tenants", self.tenants.texts());
        }
        if !self.others.is_empty() {
            text.push(',');
            push_items(&mut text, self.others.iter());
        }
        text.push('}');
        text
    }
}

/// Two configurations are equal when they say the same, checked or not.
impl PartialEq for Configuration {
    fn eq(&self, other: &Self) -> bool {
        self.epoch == other.epoch
            && self.routes == other.routes
            && self.services == other.services
            && self.tenants == other.tenants
            && self.others == other.others
    }
}

impl ConfigurationEdits {
    fn table_mut(&mut self, table: &str) -> Result<&mut Edits, Fault> {
        match table {
            "routes" => Ok(&mut self.routes),
            "services" => Ok(&mut self.services),
            "tenants" => {
                self.others.insert("tenants".into(), None);
                Ok(&mut self.tenants)
            }
            "limits" | OBSERVATION => Ok(&mut self.others),
            _ => Err(Fault::Wrong {
                place: format!("/upserts/{table}"),
                wanted: "routes, services, tenants, limits or observation",
            }),
        }
    }
}

fn push_table<'a>(text: &mut String, table: &str, items: impl Iterator<Item = (&'a String, &'a Rc<str>)>) {
    text.push_str(&format!(",\"{table}\":{{"));
    push_items(text, items);
    text.push('}');
}

fn push_items<'a>(text: &mut String, items: impl Iterator<Item = (&'a String, &'a Rc<str>)>) {
    for (index, (name, item)) in items.enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&format!("\"{}\":{item}", escape(name)));
    }
}

impl Patch {
    /// Reads a change. Its items are checked when it is made.
    pub fn parse(body: &[u8]) -> Result<Self, Fault> {
        let value = read(body)?;
        let mut patch = Self { epoch: epoch_of(&value)?, ..Self::default() };
        if let Some(tables) = value.pointer(["upserts"].iter()).and_then(|tables| tables.as_object()) {
            for (table, upserts) in tables.iter() {
                if table == "limits" || table == OBSERVATION {
                    let whole = Texts::from([(table.to_owned(), text_of(upserts))]);
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
fn upserted(value: &Value, place: &str) -> Result<Texts, Fault> {
    let Some(list) = value.as_array() else {
        return items_of(Some(value), place);
    };
    let mut items = Texts::new();
    for item in list.iter() {
        let name = item.pointer(["name"].iter()).and_then(|name| name.as_str());
        let name = name.ok_or(Fault::Wrong { place: place.to_owned(), wanted: "items with a name" })?;
        items.insert(name.to_owned(), text_of(item));
    }
    Ok(items)
}

#[cfg(test)]
mod tests;
