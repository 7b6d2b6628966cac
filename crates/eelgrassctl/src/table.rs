//! Tables in plain text.

use comfy_table::{CellAlignment, Table, presets};

use crate::output;

/// A column: its name, and whether its values are numbers.
pub type Column = (&'static str, bool);

/// Builds a table; columns of numbers are right-aligned.
pub fn build(columns: &[Column], rows: impl IntoIterator<Item = Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(columns.iter().map(|(name, _)| *name));
    for row in rows {
        table.add_row(row);
    }
    for (index, (_, is_number)) in columns.iter().enumerate() {
        let Some(column) = table.column_mut(index) else {
            continue;
        };
        if *is_number {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table
}

/// Prints a table.
pub fn print(columns: &[Column], rows: impl IntoIterator<Item = Vec<String>>) {
    output::print_line(build(columns, rows).trim_fmt());
}
