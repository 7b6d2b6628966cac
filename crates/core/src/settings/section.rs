//! Reads one object of the settings field by field and gathers every fault.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::jsonc::{Fault, Tree, excerpt, join_path};

/// The faults found so far in one text.
pub struct Reader<'a> {
    tree: &'a Tree,
    faults: RefCell<Vec<Fault>>,
}

/// One object of the text.
pub struct Section<'a> {
    reader: &'a Reader<'a>,
    path: String,
    fields: &'a Map<String, Value>,
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Reader<'a> {
    /// A reader that has found no fault yet.
    pub fn new(tree: &'a Tree) -> Self {
        Self {
            tree,
            faults: RefCell::default(),
        }
    }

    /// The outermost object.
    pub fn root(&'a self) -> Option<Section<'a>> {
        self.section("", &self.tree.value)
    }

    /// Every fault found, in the order of the text.
    pub fn finish(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort_by(|a, b| (a.position, &a.path).cmp(&(b.position, &b.path)));
        faults
    }

    fn section(&'a self, path: &str, value: &'a Value) -> Option<Section<'a>> {
        let Value::Object(fields) = value else {
            self.fault(path, value, &"not an object", "write { ... }");
            return None;
        };
        Some(Section {
            reader: self,
            path: path.to_owned(),
            fields,
            known: RefCell::default(),
        })
    }

    fn fault(&self, path: &str, value: &Value, problem: &dyn Display, remedy: &str) {
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
    /// The value of a field that must be there.
    pub fn required<T: DeserializeOwned>(&self, name: &'static str, remedy: &str) -> Option<T> {
        match self.present(name) {
            Some(value) => self.decode(name, value, remedy),
            None => {
                self.missing(name, remedy);
                None
            }
        }
    }

    /// The value of a field that may be absent; none also when it is at fault.
    pub fn optional<T: DeserializeOwned>(&self, name: &'static str, remedy: &str) -> Option<T> {
        self.decode(name, self.present(name)?, remedy)
    }

    /// The value of a field that stands for `default` when it is absent.
    pub fn or<T: DeserializeOwned>(
        &self,
        name: &'static str,
        default: T,
        remedy: &str,
    ) -> Option<T> {
        match self.present(name) {
            Some(value) => self.decode(name, value, remedy),
            None => Some(default),
        }
    }

    /// A field that holds an object; none when it is absent or no object.
    pub fn section(&self, name: &'static str) -> Option<Section<'a>> {
        let value = self.present(name)?;
        self.reader.section(&join_path(&self.path, &name), value)
    }

    /// Reports a fault of a field that is there.
    pub fn fault(&self, name: &str, problem: &dyn Display, remedy: &str) {
        let value = self.fields.get(name).unwrap_or(&Value::Null);
        let path = join_path(&self.path, &name);
        self.reader.fault(&path, value, problem, remedy);
    }

    /// Reports a fault of the whole object.
    pub fn fault_here(&self, problem: &dyn Display, remedy: &str) {
        let empty = Value::Object(Map::new());
        self.reader.fault(&self.path, &empty, problem, remedy);
    }

    /// Reports a fault of one item of a field that holds a list.
    pub fn fault_item(&self, name: &str, at: usize, problem: &dyn Display, remedy: &str) {
        let item = self.fields.get(name).and_then(|list| list.get(at));
        let path = join_path(&join_path(&self.path, &name), &at);
        self.reader
            .fault(&path, item.unwrap_or(&Value::Null), problem, remedy);
    }

    /// Reports every field that nobody has asked for.
    pub fn finish(&self) {
        let known = self.known.borrow();
        let names: Vec<&str> = known.iter().copied().collect();
        let remedy = format!("remove it, or write one of {}", names.join(", "));
        for (name, value) in self.fields {
            if known.contains(name.as_str()) {
                continue;
            }
            let path = join_path(&self.path, name);
            self.reader.fault(&path, value, &"unknown field", &remedy);
        }
    }

    /// The value of a field; `null` counts as absent.
    fn present(&self, name: &'static str) -> Option<&'a Value> {
        self.known.borrow_mut().insert(name);
        self.fields.get(name).filter(|value| !value.is_null())
    }

    fn missing(&self, name: &str, remedy: &str) {
        let problem = format!("the field {name} is missing");
        self.fault_here(&problem, remedy);
    }

    fn decode<T: DeserializeOwned>(&self, name: &str, value: &Value, remedy: &str) -> Option<T> {
        match serde_json::from_value(value.clone()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(name, &error, remedy);
                None
            }
        }
    }
}
