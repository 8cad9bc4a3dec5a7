//! Which keys of the settings are read by nothing.

use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::cell::RefCell;
use std::collections::BTreeSet;

/// The keys that were looked at, each with dots between its parts.
#[derive(Debug, Default)]
pub(super) struct ReadKeys(RefCell<BTreeSet<String>>);

impl ReadKeys {
    /// A key is looked at, with all that stands under it.
    pub fn note(&self, path: &[&str]) {
        self.0.borrow_mut().insert(path.join("."));
    }

    /// The keys of a text that were not looked at. A list is one key.
    pub fn unread(&self, value: &Value) -> Vec<String> {
        let mut found = Vec::new();
        self.collect(value, "", &mut found);
        found.sort();
        found
    }

    fn collect(&self, value: &Value, place: &str, found: &mut Vec<String>) {
        if self.0.borrow().contains(place) {
            return;
        }
        let Some(table) = value.as_object() else {
            found.extend((!place.is_empty() && !value.is_null()).then(|| place.to_owned()));
            return;
        };
        for (name, value) in table.iter() {
            let separator = if place.is_empty() { "" } else { "." };
            self.collect(value, &format!("{place}{separator}{name}"), found);
        }
    }
}
