//! Typed access to the objects of a settings text, with collection of all faults.
//!
//! A [`Section`] reads one object field by field. A field that is missing or invalid is recorded as a
//! fault in the [`SettingsReader`], and the next fields are still read, so that all faults are
//! reported together.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::jsonc::{Fault, Tree, excerpt, join_path};

/// Collects the faults of one settings text.
pub struct SettingsReader<'a> {
    tree: &'a Tree,
    faults: RefCell<Vec<Fault>>,
}

/// One JSON object of the text.
pub struct Section<'a> {
    reader: &'a SettingsReader<'a>,
    path: String,
    fields: &'a Map<String, Value>,
    /// Names of the fields that were requested, whether or not they are present.
    requested: RefCell<BTreeSet<&'static str>>,
}

impl<'a> SettingsReader<'a> {
    /// A reader of `tree` without faults.
    pub fn new(tree: &'a Tree) -> Self {
        Self {
            tree,
            faults: RefCell::default(),
        }
    }

    /// The root object, if the text holds one.
    pub fn root(&'a self) -> Option<Section<'a>> {
        self.section("", &self.tree.value)
    }

    /// All faults, in the order of the text.
    pub fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by(|a, b| (a.position, &a.path).cmp(&(b.position, &b.path)));
        faults
    }

    fn section(&'a self, path: &str, value: &'a Value) -> Option<Section<'a>> {
        let Value::Object(fields) = value else {
            self.report_fault(path, value, &"not an object", "write { ... }");
            return None;
        };
        Some(Section {
            reader: self,
            path: path.to_owned(),
            fields,
            requested: RefCell::default(),
        })
    }

    fn report_fault(&self, path: &str, value: &Value, problem: &dyn Display, remedy: &str) {
        let value = match value {
            Value::Object(_) => String::new(),
            value => excerpt(value),
        };
        self.faults.borrow_mut().push(Fault {
            position: self.tree.position(path),
            path: path.to_owned(),
            value,
            problem: problem.to_string(),
            remedy: remedy.to_owned(),
        });
    }
}

impl<'a> Section<'a> {
    /// The value of a required field; none if it is missing or invalid.
    pub fn required<T: DeserializeOwned>(&self, name: &'static str, remedy: &str) -> Option<T> {
        match self.value(name) {
            Some(value) => self.decode(name, value, remedy),
            None => {
                self.report_missing(name, remedy);
                None
            }
        }
    }

    /// The value of an optional field; none if it is absent or invalid.
    pub fn optional<T: DeserializeOwned>(&self, name: &'static str, remedy: &str) -> Option<T> {
        self.decode(name, self.value(name)?, remedy)
    }

    /// The value of an optional field, or `default` if it is absent; none if it is invalid.
    pub fn value_or<T: DeserializeOwned>(
        &self,
        name: &'static str,
        default: T,
        remedy: &str,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => self.decode(name, value, remedy),
            None => Some(default),
        }
    }

    /// The object in a field; none if it is absent or not an object.
    pub fn subsection(&self, name: &'static str) -> Option<Section<'a>> {
        let value = self.value(name)?;
        self.reader.section(&join_path(&self.path, &name), value)
    }

    /// Reports a fault of a field.
    pub fn report_fault(&self, name: &str, problem: &dyn Display, remedy: &str) {
        let value = self.fields.get(name).unwrap_or(&Value::Null);
        let path = join_path(&self.path, &name);
        self.reader.report_fault(&path, value, problem, remedy);
    }

    /// Reports a fault of the object as such, not of one field.
    pub fn report_section_fault(&self, problem: &dyn Display, remedy: &str) {
        let empty = Value::Object(Map::new());
        self.reader
            .report_fault(&self.path, &empty, problem, remedy);
    }

    /// Reports a fault of one item of a field that holds a list.
    pub fn report_item_fault(&self, name: &str, index: usize, problem: &dyn Display, remedy: &str) {
        let item = self.fields.get(name).and_then(|list| list.get(index));
        let path = join_path(&join_path(&self.path, &name), &index);
        self.reader
            .report_fault(&path, item.unwrap_or(&Value::Null), problem, remedy);
    }

    /// Reports every field that was not requested as unknown.
    pub fn report_unknown_fields(&self) {
        let requested = self.requested.borrow();
        let names: Vec<&str> = requested.iter().copied().collect();
        let remedy = format!("remove it, or use one of {}", names.join(", "));
        for (name, value) in self.fields {
            if requested.contains(name.as_str()) {
                continue;
            }
            let path = join_path(&self.path, name);
            self.reader
                .report_fault(&path, value, &"unknown field", &remedy);
        }
    }

    /// The value of a field; none if it is absent or `null`.
    fn value(&self, name: &'static str) -> Option<&'a Value> {
        self.requested.borrow_mut().insert(name);
        self.fields.get(name).filter(|value| !value.is_null())
    }

    fn report_missing(&self, name: &str, remedy: &str) {
        let problem = format!("the field {name} is missing");
        self.report_section_fault(&problem, remedy);
    }

    fn decode<T: DeserializeOwned>(&self, name: &str, value: &Value, remedy: &str) -> Option<T> {
        match serde_json::from_value(value.clone()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report_fault(name, &error, remedy);
                None
            }
        }
    }
}
