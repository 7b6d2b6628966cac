//! The report as one page that needs no other file.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use eelgrassdyke_core::id::Service;
use eelgrassdyke_core::unit::Permille;

use super::svg::{Bar, Part, bars, escape};
use super::{Row, quantile_ms};

/// Colours and layout, light and dark.
pub const STYLE: &str = "\
:root { color-scheme: light dark; --text: #1d2433; --dim: #5b6475; --page: #ffffff;
  --ground: #eceff4; --line: #cfd5df; --a: #2463b4; --b: #b4471f; --c: #a07800; --d: #1d2433; }
@media (prefers-color-scheme: dark) { :root { --text: #e4e8f0; --dim: #a2abbb; --page: #14181f;
  --ground: #262c37; --line: #3a4250; --a: #6ea8f5; --b: #f08a5d; --c: #e0b83c; --d: #e4e8f0; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--text); background: var(--page);
  max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.2rem; margin-top: 2.2rem; }
h3 { font-size: 1rem; margin: 1.2rem 0 .2rem; } p { color: var(--dim); margin: .2rem 0 .6rem; }
svg { width: 100%; height: auto; font: 12px system-ui, sans-serif; }
svg text { fill: var(--text); } svg .note { fill: var(--dim); }
.ground { fill: var(--ground); } .a { fill: var(--a); } .b { fill: var(--b); }
.c { fill: var(--c); } .d { fill: var(--d); }
.key span { display: inline-block; width: .8em; height: .8em; margin: 0 .3em 0 1em; }
.wide { overflow-x: auto; } table { border-collapse: collapse; font-size: 13px; }
th, td { padding: .25rem .6rem; border-bottom: 1px solid var(--line); text-align: left;
  white-space: nowrap; } .number { text-align: right; font-variant-numeric: tabular-nums; }
";

/// Renders the page.
pub fn render(rows: &[Row]) -> String {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n\
         <title>Who got what</title>\n<style>\n{STYLE}</style>\n</head>\n<body>\n\
         <h1>Who got what</h1>\n"
    );
    let services: BTreeSet<&Service> = rows.iter().map(|row| &row.line.service).collect();
    if services.is_empty() {
        page.push_str("<p>Nothing was asked yet.</p>\n");
    }
    for service in services {
        let own: Vec<&Row> = rows
            .iter()
            .filter(|row| row.line.service == *service)
            .collect();
        let _ = writeln!(page, "<h2>{}</h2>", escape(service.as_str()));
        page.push_str(&requests(&own));
        page.push_str(&shares(&own));
        page.push_str(&latency(&own));
    }
    page.push_str(&numbers(rows));
    page.push_str("</body>\n</html>\n");
    page
}

fn key(parts: &[(&str, &str)]) -> String {
    let mut key = String::from("<p class=\"key\">");
    for (class, name) in parts {
        let _ = write!(
            key,
            "<span style=\"background:var(--{class})\"></span>{name}"
        );
    }
    key.push_str("</p>\n");
    key
}

/// What became of the requests of each team.
fn requests(rows: &[&Row]) -> String {
    let mut plot = Vec::new();
    for row in rows {
        let delivered = &row.line.delivered;
        let uncertain = row.line.uncertain;
        let open = delivered.open.saturating_sub(uncertain);
        let part = |value, class| Part { value, class };
        plot.push(Bar {
            label: row.line.team.to_string(),
            parts: vec![
                part(delivered.delivered, "a"),
                part(row.refused(), "b"),
                part(uncertain, "c"),
            ],
            marks: Vec::new(),
            note: format!(
                "{} of {}, {open} open",
                delivered.delivered, delivered.received
            ),
        });
    }
    let most = rows.iter().map(|row| row.line.delivered.received).max();
    let names = [("a", "delivered"), ("b", "refused"), ("c", "uncertain")];
    let title = "Requests";
    format!(
        "<h3>{title}</h3>\n{}{}",
        key(&names),
        bars(title, &plot, most.unwrap_or(1))
    )
}

/// What each team was promised and what it received.
fn shares(rows: &[&Row]) -> String {
    let mut plot = Vec::new();
    for row in rows {
        let (guaranteed, cap) = (row.declared.guaranteed, row.declared.cap);
        plot.push(Bar {
            label: row.line.team.to_string(),
            parts: vec![Part {
                value: row.received.0,
                class: "a",
            }],
            marks: vec![
                Part {
                    value: guaranteed.0,
                    class: "d",
                },
                Part {
                    value: cap.0,
                    class: "b",
                },
            ],
            note: format!("{} of {guaranteed}..{cap}", row.received),
        });
    }
    let names = [("a", "part of what ran"), ("d", "guaranteed"), ("b", "cap")];
    let title = "Share received, in thousandths";
    format!(
        "<h3>{title}</h3>\n{}{}",
        key(&names),
        bars(title, &plot, Permille::ONE.0)
    )
}

/// Time to the whole answer of each team.
fn latency(rows: &[&Row]) -> String {
    let mut plot = Vec::new();
    let mut most = 1;
    for row in rows {
        let whole = &row.line.delivered.total_us;
        let (half, most_of) = (quantile_ms(whole, 50), quantile_ms(whole, 95));
        let (Some(half), Some(most_of)) = (half, most_of) else {
            continue;
        };
        most = most.max(most_of);
        plot.push(Bar {
            label: row.line.team.to_string(),
            parts: vec![Part {
                value: half,
                class: "a",
            }],
            marks: vec![Part {
                value: most_of,
                class: "b",
            }],
            note: format!("{half} ms, {most_of} ms"),
        });
    }
    if plot.is_empty() {
        return String::new();
    }
    let names = [("a", "half within"), ("b", "95 in 100 within")];
    let title = "Time to the whole answer";
    format!(
        "<h3>{title}</h3>\n{}{}",
        key(&names),
        bars(title, &plot, most)
    )
}

/// Every number, as a table.
fn numbers(rows: &[Row]) -> String {
    let Some(first) = rows.first() else {
        return String::new();
    };
    let mut table = String::from("<h2>All numbers</h2>\n<div class=\"wide\"><table>\n<tr>");
    let class = |number| if number { " class=\"number\"" } else { "" };
    for cell in first.cells() {
        let name = cell.name.replace('_', " ");
        let _ = write!(table, "<th{}>{name}</th>", class(cell.number));
    }
    table.push_str("</tr>\n");
    for row in rows {
        table.push_str("<tr>");
        for cell in row.cells() {
            let _ = write!(
                table,
                "<td{}>{}</td>",
                class(cell.number),
                escape(&cell.text)
            );
        }
        table.push_str("</tr>\n");
    }
    table.push_str("</table></div>\n");
    table
}
