//! Tenants, and the regions that may handle their requests.

use super::checks::Fault;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use trackbed::ids::RegionName;

/// The header that names a tenant on hosts that tenants share.
pub const TENANT_HEADER: &str = "ferryhinge-tenant";

/// Invariant: one region at least.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub regions: Rc<BTreeSet<RegionName>>,
    /// Host and prefix of requests that are the tenant's without a word of their own.
    claims: Vec<(String, String)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantDoubt {
    /// The header names nobody.
    Unknown,
    /// The header names one tenant, and host and path belong to another.
    Contradicted,
}

#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_name: BTreeMap<String, Rc<Tenant>>,
    /// By host: prefixes, longest first. Invariant: no prefix of a host stands twice.
    claims: BTreeMap<String, Vec<(String, Rc<Tenant>)>>,
}

fn wrong(name: &str, field: &str, wanted: &'static str) -> Fault {
    Fault::Wrong { place: format!("/tenants/{name}{field}"), wanted }
}

impl Tenant {
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
    pub(super) fn build(tenants: Vec<Tenant>) -> Result<Self, Fault> {
        let mut built = Self::default();
        for tenant in tenants {
            let tenant = Rc::new(tenant);
            for (host, prefix) in &tenant.claims {
                let claims = built.claims.entry(host.clone()).or_default();
                if let Some((_, other)) = claims.iter().find(|(known, _)| known == prefix) {
                    return Err(Fault::DoubledClaim { tenant: tenant.name.clone(), other: other.name.clone() });
                }
                claims.push((prefix.clone(), tenant.clone()));
            }
            built.by_name.insert(tenant.name.clone(), tenant);
        }
        for claims in built.claims.values_mut() {
            claims.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        Ok(built)
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    pub fn all(&self) -> impl Iterator<Item = &Rc<Tenant>> {
        self.by_name.values()
    }

    /// Whose request this is, by its header, or by host and path.
    pub fn find(&self, host: &str, path: &str, named: Option<&str>) -> Result<Option<&Rc<Tenant>>, TenantDoubt> {
        let bare = host.rsplit_once(':').map(|(bare, _)| bare).unwrap_or(host).to_ascii_lowercase();
        let claims = self.claims.get(&bare).map(Vec::as_slice).unwrap_or(&[]);
        let claimed = claims.iter().find(|(prefix, _)| path.starts_with(prefix)).map(|(_, tenant)| tenant);
        let Some(named) = named else { return Ok(claimed) };
        let named = self.by_name.get(named).ok_or(TenantDoubt::Unknown)?;
        match claimed {
            Some(claimed) if claimed.name != named.name => Err(TenantDoubt::Contradicted),
            _ => Ok(Some(named)),
        }
    }
}
