//! Strict parser for JSON with comments.
//!
//! [`parse`] accepts JSON with comments and trailing commas, and no other extension. A duplicate field
//! is a fault. Each fault has its position, its path and a remedy. A [`Tree`] keeps the position of
//! each value, so that later validation can report it too.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::{Map, Value};

use crate::data;

/// Maximum length of the excerpt of a value in a fault, in characters.
const EXCERPT_CHARS_MAX: usize = 60;

/// Result of parsing a text; the error holds all faults.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

data! {
    /// A position in a text; line and column count from 1.
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
        /// Position in the text, if known.
        #[serde(rename = "place")]
        pub position: Option<Position>,
        /// Path of the value, as field names and indices separated by dots: `control.0`.
        pub path: String,
        /// Excerpt of the invalid value; empty if there is none.
        pub value: String,
        /// The problem.
        pub problem: String,
        /// How to correct it.
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
        if let Some(position) = self.position {
            write!(f, "{position}: ")?;
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

/// A value and the position of each value within it.
#[derive(Clone, Debug)]
pub struct Tree {
    /// The value.
    pub value: Value,
    positions: BTreeMap<String, Position>,
}

impl Tree {
    /// The position of the value at `path`.
    pub fn position(&self, path: &str) -> Option<Position> {
        self.positions.get(path).copied()
    }
}

/// The path of the field or item `part` of the value at `path`.
pub fn join_path(path: &str, part: &dyn fmt::Display) -> String {
    match path {
        "" => part.to_string(),
        _ => format!("{path}.{part}"),
    }
}

/// The value as JSON text, truncated for a fault.
pub fn excerpt(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= EXCERPT_CHARS_MAX {
        return text;
    }
    let start: String = text.chars().take(EXCERPT_CHARS_MAX).collect();
    format!("{start}...")
}

/// Parses `text`.
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
            let position = Position {
                line: error.line_display(),
                column: error.column_display(),
            };
            let problem = error.kind().to_string();
            return Err(vec![syntax_fault(Some(position), &problem)]);
        }
    };
    let Some(root) = root else {
        return Err(vec![syntax_fault(None, "the text contains no value")]);
    };
    let mut converter = Converter {
        lines: LineIndex::new(text),
        positions: BTreeMap::new(),
        faults: Vec::new(),
    };
    let value = converter.convert("", &root);
    match converter.faults.is_empty() {
        true => Ok(Tree {
            value,
            positions: converter.positions,
        }),
        false => Err(converter.faults),
    }
}

fn syntax_fault(position: Option<Position>, problem: &str) -> Fault {
    Fault {
        position,
        path: String::new(),
        value: String::new(),
        problem: problem.to_owned(),
        remedy: "write JSON; comments and trailing commas are allowed".to_owned(),
    }
}

/// Byte offsets of the line starts of a text, to convert an offset to a position.
struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        let starts = std::iter::once(0).chain(after_breaks).collect();
        Self { text, starts }
    }

    fn position(&self, offset: usize) -> Position {
        let line = self.starts.partition_point(|start| *start <= offset).max(1);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        Position {
            line,
            column: before.chars().count() + 1,
        }
    }
}

/// Converts the syntax tree to a JSON value and records positions and faults.
struct Converter<'a> {
    lines: LineIndex<'a>,
    positions: BTreeMap<String, Position>,
    faults: Vec<Fault>,
}

impl Converter<'_> {
    fn convert(&mut self, path: &str, node: &ast::Value<'_>) -> Value {
        let position = self.lines.position(node.range().start);
        self.positions.insert(path.to_owned(), position);
        match node {
            ast::Value::StringLit(text) => Value::String(text.value.clone().into_owned()),
            ast::Value::NumberLit(number) => self.number(path, position, number.value),
            ast::Value::BooleanLit(boolean) => Value::Bool(boolean.value),
            ast::Value::Object(object) => self.object(path, object),
            ast::Value::Array(array) => {
                let items = array.elements.iter().enumerate();
                Value::Array(
                    items
                        .map(|(index, item)| self.convert(&join_path(path, &index), item))
                        .collect(),
                )
            }
            ast::Value::NullKeyword(_) => Value::Null,
        }
    }

    fn number(&mut self, path: &str, position: Position, text: &str) -> Value {
        if let Ok(number) = text.parse() {
            return Value::Number(number);
        }
        self.faults.push(Fault {
            position: Some(position),
            path: path.to_owned(),
            value: excerpt(&Value::String(text.to_owned())),
            problem: "the number is out of range".to_owned(),
            remedy: "write a smaller number".to_owned(),
        });
        Value::Null
    }

    fn object(&mut self, path: &str, object: &ast::Object<'_>) -> Value {
        let mut fields = Map::new();
        let mut names = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join_path(path, &name);
            if !names.insert(name.to_owned()) {
                self.faults.push(Fault {
                    position: Some(self.lines.position(property.range().start)),
                    path,
                    value: String::new(),
                    problem: "the field appears twice".to_owned(),
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
