//! The report as a self-contained HTML page.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use eelgrassdyke_core::id::Service;
use eelgrassdyke_core::unit::Permille;

use super::svg::{Bar, Segment, escape, render_bars};
use super::{Row, quantile_ms};

/// Style sheet with a light and a dark colour scheme.
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

/// Renders the page: charts for each service, then a table of all values.
pub fn render(rows: &[Row]) -> String {
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n\
         <title>Usage report</title>\n<style>\n{STYLE}</style>\n</head>\n<body>\n\
         <h1>Usage report</h1>\n"
    );
    let services: BTreeSet<&Service> = rows.iter().map(|row| &row.line.service).collect();
    if services.is_empty() {
        page.push_str("<p>No requests received yet.</p>\n");
    }
    for service in services {
        let service_rows: Vec<&Row> = rows
            .iter()
            .filter(|row| row.line.service == *service)
            .collect();
        let _ = writeln!(page, "<h2>{}</h2>", escape(service.as_str()));
        page.push_str(&render_requests(&service_rows));
        page.push_str(&render_shares(&service_rows));
        page.push_str(&render_latency(&service_rows));
    }
    page.push_str(&render_table(rows));
    page.push_str("</body>\n</html>\n");
    page
}

/// Renders the legend of a chart: the CSS colour variable and name of each series.
fn render_legend(series: &[(&str, &str)]) -> String {
    let mut legend = String::from("<p class=\"key\">");
    for (class, name) in series {
        let _ = write!(
            legend,
            "<span style=\"background:var(--{class})\"></span>{name}"
        );
    }
    legend.push_str("</p>\n");
    legend
}

/// Renders the outcomes of the requests of each team.
fn render_requests(rows: &[&Row]) -> String {
    let mut chart = Vec::new();
    for row in rows {
        let delivered = &row.line.delivered;
        let uncertain = row.line.uncertain;
        let open = delivered.open.saturating_sub(uncertain);
        let segment = |value, class| Segment { value, class };
        chart.push(Bar {
            label: row.line.team.to_string(),
            segments: vec![
                segment(delivered.delivered, "a"),
                segment(row.refused(), "b"),
                segment(uncertain, "c"),
            ],
            markers: Vec::new(),
            note: format!(
                "{} of {}, {open} open",
                delivered.delivered, delivered.received
            ),
        });
    }
    let scale_max = rows.iter().map(|row| row.line.delivered.received).max();
    let series = [("a", "delivered"), ("b", "refused"), ("c", "uncertain")];
    let title = "Requests";
    format!(
        "<h3>{title}</h3>\n{}{}",
        render_legend(&series),
        render_bars(title, &chart, scale_max.unwrap_or(1))
    )
}

/// Renders the configured and received shares of each team.
fn render_shares(rows: &[&Row]) -> String {
    let mut chart = Vec::new();
    for row in rows {
        let (guaranteed, cap) = (row.configured_share.guaranteed, row.configured_share.cap);
        chart.push(Bar {
            label: row.line.team.to_string(),
            segments: vec![Segment {
                value: row.received_share.0,
                class: "a",
            }],
            markers: vec![
                Segment {
                    value: guaranteed.0,
                    class: "d",
                },
                Segment {
                    value: cap.0,
                    class: "b",
                },
            ],
            note: format!("{} of {guaranteed}..{cap}", row.received_share),
        });
    }
    let series = [("a", "share received"), ("d", "guaranteed"), ("b", "cap")];
    let title = "Share received, in thousandths";
    format!(
        "<h3>{title}</h3>\n{}{}",
        render_legend(&series),
        render_bars(title, &chart, Permille::ONE.0)
    )
}

/// Renders the time to the complete response for each team: median and 95th percentile.
fn render_latency(rows: &[&Row]) -> String {
    let mut chart = Vec::new();
    let mut scale_max = 1;
    for row in rows {
        let buckets = &row.line.delivered.total_us;
        let (median_ms, p95_ms) = (quantile_ms(buckets, 50), quantile_ms(buckets, 95));
        let (Some(median_ms), Some(p95_ms)) = (median_ms, p95_ms) else {
            continue;
        };
        scale_max = scale_max.max(p95_ms);
        chart.push(Bar {
            label: row.line.team.to_string(),
            segments: vec![Segment {
                value: median_ms,
                class: "a",
            }],
            markers: vec![Segment {
                value: p95_ms,
                class: "b",
            }],
            note: format!("{median_ms} ms, {p95_ms} ms"),
        });
    }
    if chart.is_empty() {
        return String::new();
    }
    let series = [("a", "median"), ("b", "95th percentile")];
    let title = "Time to the complete response";
    format!(
        "<h3>{title}</h3>\n{}{}",
        render_legend(&series),
        render_bars(title, &chart, scale_max)
    )
}

/// Renders all values as a table.
fn render_table(rows: &[Row]) -> String {
    let Some(first) = rows.first() else {
        return String::new();
    };
    let mut table = String::from("<h2>All values</h2>\n<div class=\"wide\"><table>\n<tr>");
    let class = |is_number| if is_number { " class=\"number\"" } else { "" };
    for cell in first.cells() {
        let name = cell.name.replace('_', " ");
        let _ = write!(table, "<th{}>{name}</th>", class(cell.is_number));
    }
    table.push_str("</tr>\n");
    for row in rows {
        table.push_str("<tr>");
        for cell in row.cells() {
            let _ = write!(
                table,
                "<td{}>{}</td>",
                class(cell.is_number),
                escape(&cell.text)
            );
        }
        table.push_str("</tr>\n");
    }
    table.push_str("</table></div>\n");
    table
}
