//! Strict reading of JSON with comments.
//!
//! [`parse`] accepts JSON with comments and trailing commas, and nothing looser. A duplicate field is
//! a fault. Every fault names its place, its path and a remedy; a [`Tree`] knows the place of each
//! value, so that whoever checks values further can name it too.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Value};

use crate::data;

/// Longest piece of a value that a fault shows, in characters.
const SHOWN_MAX: usize = 60;

/// Result of reading a text; every fault found when it fails.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

data! {
    /// A place in a text, both counted from 1.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct Position {
        /// The line.
        pub line: usize,
        /// The column, in characters.
        pub column: usize,
    }

    /// One fault of a text.
    #[derive(Eq)]
    pub struct Fault {
        /// Where in the text, when known.
        #[serde(rename = "place")]
        pub position: Option<Position>,
        /// Where in the value, as names and numbers with dots between: `control.0`.
        pub path: String,
        /// The value at fault, shortened; empty when there is none.
        pub value: String,
        /// What is wrong.
        pub problem: String,
        /// What to do about it.
        pub remedy: String,
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = self.position {
            write!(f, "{place}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "at {}: ", self.path)?;
        }
        if !self.value.is_empty() {
            write!(f, "{}: ", self.value)?;
        }
        write!(f, "{}; {}", self.problem, self.remedy)
    }
}

/// A value and the places of its parts.
#[derive(Clone, Debug)]
pub struct Tree {
    /// The value.
    pub value: Value,
    places: BTreeMap<String, Position>,
}

impl Tree {
    /// Where the value at `path` stands.
    pub fn position(&self, path: &str) -> Option<Position> {
        self.places.get(path).copied()
    }
}

/// The path of a part of the value at `path`.
pub fn join_path(path: &str, part: &dyn fmt::Display) -> String {
    match path {
        "" => part.to_string(),
        _ => format!("{path}.{part}"),
    }
}

/// A value as a fault shows it.
pub fn excerpt(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= SHOWN_MAX {
        return text;
    }
    let start: String = text.chars().take(SHOWN_MAX).collect();
    format!("{start}...")
}

/// Reads `text`.
pub fn parse(text: &str) -> Result<Tree> {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options);
    let root = match parsed {
        Ok(parsed) => parsed.value,
        Err(error) => {
            let place = Position {
                line: error.line_display(),
                column: error.column_display(),
            };
            let problem = error.kind().to_string();
            return Err(vec![syntax(Some(place), &problem)]);
        }
    };
    let Some(root) = root else {
        return Err(vec![syntax(None, "the text holds no value")]);
    };
    let mut reader = Reader {
        lines: Lines::new(text),
        places: BTreeMap::new(),
        faults: Vec::new(),
    };
    let value = reader.convert("", &root);
    match reader.faults.is_empty() {
        true => Ok(Tree {
            value,
            places: reader.places,
        }),
        false => Err(reader.faults),
    }
}

fn syntax(place: Option<Position>, problem: &str) -> Fault {
    Fault {
        position: place,
        path: String::new(),
        value: String::new(),
        problem: problem.to_owned(),
        remedy: "write JSON; comments and trailing commas are allowed".to_owned(),
    }
}

/// The beginnings of a text's lines.
struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        let starts = std::iter::once(0).chain(breaks).collect();
        Self { text, starts }
    }

    fn place(&self, byte: usize) -> Position {
        let line = self.starts.partition_point(|start| *start <= byte).max(1);
        let start = self.starts[line - 1];
        let before = self.text.get(start..byte).unwrap_or_default();
        Position {
            line,
            column: before.chars().count() + 1,
        }
    }
}

struct Reader<'a> {
    lines: Lines<'a>,
    places: BTreeMap<String, Position>,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn convert(&mut self, path: &str, node: &ast::Value<'_>) -> Value {
        let place = self.lines.place(node.range().start);
        self.places.insert(path.to_owned(), place);
        match node {
            ast::Value::StringLit(text) => Value::String(text.value.clone().into_owned()),
            ast::Value::NumberLit(number) => self.number(path, place, number.value),
            ast::Value::BooleanLit(boolean) => Value::Bool(boolean.value),
            ast::Value::Object(object) => self.object(path, object),
            ast::Value::Array(array) => {
                let items = array.elements.iter().enumerate();
                Value::Array(
                    items
                        .map(|(at, item)| self.convert(&join_path(path, &at), item))
                        .collect(),
                )
            }
            ast::Value::NullKeyword(_) => Value::Null,
        }
    }

    fn number(&mut self, path: &str, place: Position, text: &str) -> Value {
        if let Ok(number) = text.parse() {
            return Value::Number(number);
        }
        self.faults.push(Fault {
            position: Some(place),
            path: path.to_owned(),
            value: excerpt(&Value::String(text.to_owned())),
            problem: "not a number that fits".to_owned(),
            remedy: "write a smaller number".to_owned(),
        });
        Value::Null
    }

    fn object(&mut self, path: &str, object: &ast::Object<'_>) -> Value {
        let mut fields = Map::new();
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join_path(path, &name);
            if !seen.insert(name.to_owned()) {
                self.faults.push(Fault {
                    position: Some(self.lines.place(property.range().start)),
                    path,
                    value: String::new(),
                    problem: "the field stands twice".to_owned(),
                    remedy: "remove one of the two".to_owned(),
                });
                continue;
            }
            let value = self.convert(&path, &property.value);
            fields.insert(name.to_owned(), value);
        }
        Value::Object(fields)
    }
}
