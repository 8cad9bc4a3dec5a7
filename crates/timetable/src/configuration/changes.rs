//! What a change makes of the items of a configuration, as typed values.

use super::route::{Route, Service};
use super::tenant::Tenant;
use std::rc::Rc;

/// One item before and after a change.
#[derive(Clone, Debug)]
pub(super) struct ItemChange<T> {
    pub name: String,
    pub before: Option<Rc<T>>,
    pub after: Option<Rc<T>>,
}

/// The items that a change adds, replaces or removes.
#[derive(Clone, Debug, Default)]
pub(super) struct TypedChanges {
    pub routes: Vec<ItemChange<Route>>,
    pub services: Vec<ItemChange<Service>>,
    pub tenants: Vec<ItemChange<Tenant>>,
}

impl TypedChanges {
    /// Whether they concern what is digested beside the routes: the services' names, and the tenants.
    pub fn concern_rest(&self) -> bool {
        let comes_or_goes = |change: &ItemChange<Service>| change.before.is_some() != change.after.is_some();
        !self.tenants.is_empty() || self.services.iter().any(comes_or_goes)
    }
}
