//! Items of one kind by name: the text of each as it was put, with the typed value once it was parsed.

use super::changes::ItemChange;
use super::checks::Fault;
use super::route::{Route, Service};
use super::tenant::Tenant;
use crate::shared::SharedMap;
use crate::work::Work;
use borsh::{BorshDeserialize, BorshSerialize};
use sonic_rs::Value;
use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::rc::Rc;
use trackbed::json;

/// Texts to put in by name; `None` removes the item.
pub(super) type Edits = BTreeMap<String, Option<Rc<str>>>;

/// A value that is read from an item's JSON.
pub(super) trait TypedItem: Sized {
    fn read(name: &str, value: &Value) -> Result<Self, Fault>;
}

impl TypedItem for Route {
    fn read(name: &str, value: &Value) -> Result<Self, Fault> {
        Self::parse(name, value)
    }
}

impl TypedItem for Service {
    fn read(name: &str, value: &Value) -> Result<Self, Fault> {
        Self::parse(name, value)
    }
}

impl TypedItem for Tenant {
    fn read(name: &str, value: &Value) -> Result<Self, Fault> {
        Self::parse(name, value)
    }
}

/// One item. Encoded as its text alone; two are equal when their texts are.
#[derive(Debug)]
pub(super) struct Item<T> {
    text: Rc<str>,
    /// Invariant: what the text says; empty before it was parsed, and where it fails the checks.
    value: OnceCell<Rc<T>>,
}

impl<T> Item<T> {
    fn new(text: Rc<str>) -> Self {
        Self { text, value: OnceCell::new() }
    }
}

impl<T: TypedItem> Item<T> {
    /// The typed value, parsed once; or why there is none.
    pub fn typed(&self, name: &str) -> Result<Rc<T>, Fault> {
        if let Some(value) = self.value.get() {
            return Ok(value.clone());
        }
        let value = Rc::new(T::read(name, &parse_text(&self.text)?)?);
        Ok(self.value.get_or_init(|| value).clone())
    }
}

impl<T> Clone for Item<T> {
    fn clone(&self) -> Self {
        Work::record(|work| work.items_copied += 1);
        Self { text: self.text.clone(), value: self.value.clone() }
    }
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<T> BorshSerialize for Item<T> {
    fn serialize<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        self.text.serialize(writer)
    }
}

impl<T> BorshDeserialize for Item<T> {
    fn deserialize_reader<R: Read>(reader: &mut R) -> io::Result<Self> {
        String::deserialize_reader(reader).map(|text| Self::new(Rc::from(text)))
    }
}

/// Items of one kind by name.
#[derive(Clone, Debug)]
pub(super) struct Items<T>(SharedMap<String, Item<T>>);

impl<T> BorshSerialize for Items<T> {
    fn serialize<W: Write>(&self, writer: &mut W) -> io::Result<()> {
        self.0.serialize(writer)
    }
}

impl<T> BorshDeserialize for Items<T> {
    fn deserialize_reader<R: Read>(reader: &mut R) -> io::Result<Self> {
        SharedMap::deserialize_reader(reader).map(Self)
    }
}

impl<T> Default for Items<T> {
    fn default() -> Self {
        Self(SharedMap::new())
    }
}

impl<T> PartialEq for Items<T> {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl<T> Items<T> {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Item<T>)> {
        self.0.iter()
    }

    /// Names and texts.
    pub fn texts(&self) -> impl Iterator<Item = (&String, &Rc<str>)> {
        self.0.iter().map(|(name, item)| (name, &item.text))
    }

    /// The edits that make these items the ones given, which come in the order of their names.
    pub fn edits_to<N: AsRef<str>, S: AsRef<str>>(&self, wanted: impl IntoIterator<Item = (N, S)>) -> Edits {
        edits_between(&self.0, |item| &item.text, wanted)
    }
}

impl<T: TypedItem> Items<T> {
    /// Carries edits out, and tells what they change; `None` where an item can't be parsed.
    pub fn edit(&mut self, edits: Edits) -> Option<Vec<ItemChange<T>>> {
        let mut changes = Some(Vec::with_capacity(edits.len()));
        for (name, text) in edits {
            let change = self.edit_one(name, text);
            match (change, &mut changes) {
                (Some(Some(change)), Some(changes)) => changes.push(change),
                (Some(None), _) => {}
                _ => changes = None,
            }
        }
        changes
    }

    /// `None` where the item can't be parsed, and no change where it stays as it is.
    fn edit_one(&mut self, name: String, text: Option<Rc<str>>) -> Option<Option<ItemChange<T>>> {
        let before = self.0.get(&name);
        if before.map(|item| &item.text) == text.as_ref() {
            return Some(None);
        }
        let before = before.and_then(|item| item.value.get().cloned());
        let Some(text) = text else {
            self.0.remove(&name);
            return Some(Some(ItemChange { name, before, after: None }));
        };
        let item = Item::new(text);
        let after = item.typed(&name).ok();
        self.0.insert(name.clone(), item);
        after.is_some().then_some(Some(ItemChange { name, before, after }))
    }
}

/// The edits that make the texts of a map the ones given, which come in the order of their names. Only what
/// differs is copied.
pub(super) fn edits_between<V, N: AsRef<str>, S: AsRef<str>>(
    present: &SharedMap<String, V>,
    text_of: impl Fn(&V) -> &Rc<str>,
    wanted: impl IntoIterator<Item = (N, S)>,
) -> Edits {
    let mut edits = Edits::new();
    let mut present = present.iter().peekable();
    for (name, text) in wanted {
        let (name, text) = (name.as_ref(), text.as_ref());
        while let Some((gone, _)) = present.next_if(|(known, _)| known.as_str() < name) {
            edits.insert(gone.clone(), None);
        }
        let known = present.next_if(|(known, _)| known.as_str() == name);
        if known.is_none_or(|(_, known)| **text_of(known) != *text) {
            edits.insert(name.to_owned(), Some(Rc::from(text)));
        }
    }
    edits.extend(present.map(|(gone, _)| (gone.clone(), None)));
    edits
}

/// Reads an item's text as JSON.
pub(super) fn parse_text(text: &str) -> Result<Value, Fault> {
    Work::record(|work| work.items_parsed += 1);
    json::parse(text.as_bytes()).map_err(|error| Fault::Unreadable { reason: error.to_string() })
}
