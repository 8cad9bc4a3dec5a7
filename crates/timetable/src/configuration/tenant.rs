//! Tenants, and the regions that may handle their requests.

use super::changes::ItemChange;
use super::checks::Fault;
use super::prefixes::Prefixes;
use crate::shared::SharedMap;
use rpds::HashTrieMap;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeSet;
use std::rc::Rc;
use trackbed::ids::RegionName;

/// The header that names a tenant on hosts that tenants share.
pub const TENANT_HEADER: &str = "ferryhinge-tenant";

/// Invariant: one region at least.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Regions that may handle its requests.
    pub regions: Rc<BTreeSet<RegionName>>,
    /// Host and prefix of requests that are the tenant's without a word of their own.
    claims: Vec<(String, String)>,
}

/// Why a request's tenant can't be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantDoubt {
    /// The header names nobody.
    Unknown,
    /// The header names one tenant, and host and path belong to another.
    Contradicted,
}

/// All tenants.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_name: SharedMap<String, Rc<Tenant>>,
    /// By host. Invariant: no prefix of a host stands twice.
    claims: HashTrieMap<String, Prefixes<Rc<Tenant>>>,
    /// How many tenants name each region.
    regions: SharedMap<RegionName, u32>,
}

fn wrong(name: &str, field: &str, wanted: &'static str) -> Fault {
    Fault::Wrong { place: format!("/tenants/{name}{field}"), wanted }
}

impl Tenant {
    /// Reads a tenant from its JSON.
    pub fn parse(name: &str, value: &Value) -> Result<Self, Fault> {
        let plain = |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.');
        if name.is_empty() || name.len() > 128 || !name.chars().all(plain) {
            return Err(Fault::BadTenantName { tenant: name.to_owned() });
        }
        let wanted = "a list of regions";
        let list = value.pointer(["regions"].iter()).and_then(|list| list.as_array());
        let mut regions = BTreeSet::new();
        for region in list.ok_or_else(|| wrong(name, "/regions", wanted))?.iter() {
            let region = region.as_str().filter(|region| !region.is_empty() && !region.contains(','));
            regions.insert(RegionName::new(region.ok_or_else(|| wrong(name, "/regions", wanted))?));
        }
        if regions.is_empty() {
            return Err(Fault::NoRegions { tenant: name.to_owned() });
        }
        let wanted = "a list of hostname and path_prefix";
        let mut claims = Vec::new();
        if let Some(list) = value.pointer(["claims"].iter()) {
            for claim in list.as_array().ok_or_else(|| wrong(name, "/claims", wanted))?.iter() {
                let text = |field: &str| claim.pointer([field].iter()).and_then(|text| text.as_str());
                let host =
                    text("hostname").map(|host| host.trim().to_ascii_lowercase()).filter(|host| !host.is_empty());
                let prefix = text("path_prefix").filter(|prefix| prefix.starts_with('/'));
                let (Some(host), Some(prefix)) = (host, prefix) else { return Err(wrong(name, "/claims", wanted)) };
                claims.push((host, prefix.to_owned()));
            }
        }
        Ok(Self { name: name.to_owned(), regions: Rc::new(regions), claims })
    }
}

impl Tenants {
    pub(super) fn build(tenants: Vec<Rc<Tenant>>) -> Result<Self, Fault> {
        let mut built = Self::default();
        for tenant in tenants {
            built
                .add(tenant.clone())
                .map_err(|other| Fault::DoubledClaim { tenant: tenant.name.clone(), other: other.name.clone() })?;
        }
        Ok(built)
    }

    /// The tenants after some changes; `None` where two claim the same.
    pub(super) fn changed(&self, changes: &[ItemChange<Tenant>]) -> Option<Self> {
        let mut next = self.clone();
        changes.iter().filter_map(|change| change.before.as_ref()).for_each(|tenant| next.remove(tenant));
        for tenant in changes.iter().filter_map(|change| change.after.as_ref()) {
            next.add(tenant.clone()).ok()?;
        }
        Some(next)
    }

    /// Adds a tenant; gives back the one that claims the same.
    fn add(&mut self, tenant: Rc<Tenant>) -> Result<(), Rc<Tenant>> {
        for (host, prefix) in &tenant.claims {
            let mut claims = self.claims.get(host).cloned().unwrap_or_default();
            if let Some(other) = claims.get(prefix) {
                return Err(other.clone());
            }
            claims.insert(prefix, tenant.clone());
            self.claims.insert_mut(host.clone(), claims);
        }
        for region in tenant.regions.iter() {
            let count = self.regions.get(region).copied().unwrap_or(0);
            self.regions.insert(region.clone(), count + 1);
        }
        self.by_name.insert(tenant.name.clone(), tenant);
        Ok(())
    }

    fn remove(&mut self, tenant: &Tenant) {
        for (host, prefix) in &tenant.claims {
            let Some(mut claims) = self.claims.get(host).cloned() else { continue };
            claims.remove(prefix);
            match claims.is_empty() {
                true => {
                    self.claims.remove_mut(host);
                }
                false => self.claims.insert_mut(host.clone(), claims),
            }
        }
        for region in tenant.regions.iter() {
            match self.regions.get(region).copied() {
                Some(count) if count > 1 => self.regions.insert(region.clone(), count - 1),
                _ => {
                    self.regions.remove(region);
                }
            }
        }
        self.by_name.remove(&tenant.name);
    }

    /// Every region that a tenant names must be known.
    pub(super) fn check_regions(&self, known: &dyn Fn(&RegionName) -> bool) -> Result<(), Fault> {
        if self.regions.keys().all(known) {
            return Ok(());
        }
        for tenant in self.all() {
            if let Some(region) = tenant.regions.iter().find(|region| !known(region)) {
                let region = region.as_str().to_owned();
                return Err(Fault::UnknownRegion { tenant: tenant.name.clone(), region });
            }
        }
        Ok(())
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Every tenant.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Tenant>> {
        self.by_name.values()
    }

    /// Whose request this is, by its header, or by host and path.
    pub fn find(&self, host: &str, path: &str, named: Option<&str>) -> Result<Option<&Rc<Tenant>>, TenantDoubt> {
        let bare = host.rsplit_once(':').map(|(bare, _)| bare).unwrap_or(host).to_ascii_lowercase();
        let claimed = self.claims.get(&bare).and_then(|claims| claims.longest(path));
        let Some(named) = named else { return Ok(claimed) };
        let named = self.by_name.get(named).ok_or(TenantDoubt::Unknown)?;
        match claimed {
            Some(claimed) if claimed.name != named.name => Err(TenantDoubt::Contradicted),
            _ => Ok(Some(named)),
        }
    }
}
