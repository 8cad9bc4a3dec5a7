//! Items of one kind by name: the text of each as it was put, with the typed value once it was parsed.

use super::changes::ItemChange;
use super::checks::Fault;
use super::route::{Route, Service};
use super::tenant::Tenant;
use crate::shared::SharedMap;
use crate::work::Work;
use borsh::{BorshDeserialize, BorshSerialize};
use sonic_rs::Value;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::rc::Rc;

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
    pub text: Rc<str>,
    /// Invariant: what the text says; `None` before it was parsed, and where it fails the checks.
    value: Option<Rc<T>>,
}

impl<T: TypedItem> Item<T> {
    fn parse(name: &str, text: Rc<str>) -> Self {
        let value = parse_text(&text).and_then(|value| T::read(name, &value)).ok().map(Rc::new);
        Self { text, value }
    }

    /// The typed value, or why there is none.
    pub fn typed(&self, name: &str) -> Result<Rc<T>, Fault> {
        match &self.value {
            Some(value) => Ok(value.clone()),
            None => T::read(name, &parse_text(&self.text)?).map(Rc::new),
        }
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
        Ok(Self { text: Rc::from(String::deserialize_reader(reader)?), value: None })
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
        let before = before.and_then(|item| item.value.clone());
        let Some(text) = text else {
            self.0.remove(&name);
            return Some(Some(ItemChange { name, before, after: None }));
        };
        let item = Item::<T>::parse(&name, text);
        let after = item.value.clone();
        self.0.insert(name.clone(), item);
        after.is_some().then_some(Some(ItemChange { name, before, after }))
    }

    /// Parses what was not parsed yet.
    pub fn parse_rest(&mut self) {
        let unparsed = self.0.iter().filter(|(_, item)| item.value.is_none());
        let unparsed: Vec<(String, Rc<str>)> = unparsed.map(|(name, item)| (name.clone(), item.text.clone())).collect();
        for (name, text) in unparsed {
            let item = Item::parse(&name, text);
            self.0.insert(name, item);
        }
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
    sonic_rs::from_str(text).map_err(|error| Fault::Unreadable { reason: error.to_string() })
}
