//! Output of JSON values as text, JSON and tables.

use serde_json::Value;

pub(crate) fn print_json(value: &Value) {
    println!("{value:#}");
}

/// Prints a table with aligned columns.
pub(crate) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let print_row = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = padded.collect::<Vec<_>>().join("  ");
        println!("{}", line.trim_end());
    };
    print_row(&mut headings.iter().copied());
    for row in rows {
        print_row(&mut row.iter().map(String::as_str));
    }
}

/// Returns a field of a JSON object as text; `-` if it is absent.
pub(crate) fn field_text(value: &Value, field: &str) -> String {
    match &value[field] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns the items of a list field of a JSON object; none if it is absent.
pub(crate) fn list_field<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value[field].as_array().map_or(&[], Vec::as_slice)
}
