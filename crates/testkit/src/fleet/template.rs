//! Renders templates of settings and fills the placeholders of sample messages.

use serde_json::Value;

use crate::errors::{Error, Result};

/// Renders `{{a.b}}`, `{{a|json}}` and the sections `{{#a}}`, `{{^a}}` of a template of settings.
pub fn render(template: &str, fields: &Value) -> Result<String> {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text.push_str(before);
        let (tag, after) = after
            .split_once("}}")
            .ok_or_else(|| Error::harness("a placeholder of a template does not end"))?;
        rest = after;
        let Some(name) = tag.strip_prefix(['#', '^']) else {
            text.push_str(&placeholder(tag, fields));
            continue;
        };
        let end = format!("{{{{/{name}}}}}");
        let (section, after) = rest
            .split_once(&end)
            .ok_or_else(|| Error::harness(format!("section {name} of a template does not end")))?;
        rest = after;
        let is_set = !matches!(look_up(name, fields), Value::Null | Value::Bool(false));
        if is_set == tag.starts_with('#') {
            text.push_str(&render(section, fields)?);
        }
    }
    text.push_str(rest);
    Ok(text)
}

fn placeholder(tag: &str, fields: &Value) -> String {
    if let Some(name) = tag.strip_suffix("|json") {
        return look_up(name, fields).to_string();
    }
    match look_up(tag, fields) {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

fn look_up<'a>(name: &str, fields: &'a Value) -> &'a Value {
    let mut value = fields;
    for part in name.split('.') {
        value = match part.parse::<usize>() {
            Ok(index) => &value[index],
            Err(_) => &value[part],
        };
    }
    value
}

/// Replaces `{name}` in the strings of `sample`; a string that is a placeholder takes the field's type.
pub fn fill(sample: &Value, fields: &Value) -> Value {
    match sample {
        Value::String(text) => fill_text(text, fields),
        Value::Array(items) => items.iter().map(|item| fill(item, fields)).collect(),
        Value::Object(items) => items
            .iter()
            .map(|(key, item)| (key.clone(), fill(item, fields)))
            .collect(),
        other => other.clone(),
    }
}

fn fill_text(text: &str, fields: &Value) -> Value {
    let mut filled = text.to_owned();
    for (name, value) in fields.as_object().into_iter().flatten() {
        let placeholder = format!("{{{name}}}");
        if text == placeholder {
            return value.clone();
        }
        if !text.contains(&placeholder) {
            continue;
        }
        let value = value.as_str().map_or(value.to_string(), str::to_owned);
        filled = filled.replace(&placeholder, &value);
    }
    Value::String(filled)
}
