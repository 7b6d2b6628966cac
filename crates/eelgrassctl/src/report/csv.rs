//! The report as comma-separated values.

use super::Row;

/// Renders a header line and one line for each row.
pub fn render(rows: &[Row]) -> String {
    let mut text = String::new();
    for (index, row) in rows.iter().enumerate() {
        let cells = row.cells();
        if index == 0 {
            let names: Vec<&str> = cells.iter().map(|cell| cell.name).collect();
            text.push_str(&names.join(","));
            text.push('\n');
        }
        let values: Vec<String> = cells.iter().map(|cell| quote(&cell.text)).collect();
        text.push_str(&values.join(","));
        text.push('\n');
    }
    text
}

/// Quotes a value that contains a separator, a quotation mark or a line break.
fn quote(text: &str) -> String {
    match text.contains([',', '"', '\n', '\r']) {
        true => format!("\"{}\"", text.replace('"', "\"\"")),
        false => text.to_owned(),
    }
}
