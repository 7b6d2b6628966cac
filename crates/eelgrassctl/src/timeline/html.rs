//! The timeline as an HTML page with one lane per process.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use eelgrassdyke_core::id::Process;
use eelgrassdyke_core::time::HybridTimestamp;

use super::merge::TimelineEntry;
use crate::report::{STYLE, escape};

/// Style sheet of the lanes, in addition to the common one.
const LANE_STYLE: &str = "\
body { max-width: none; } .lanes { border-collapse: separate; border-spacing: 0; }
.lanes th { position: sticky; top: 0; background: var(--page); }
.lanes td { vertical-align: top; white-space: normal; min-width: 9rem; max-width: 22rem; }
.lanes td.stamp { white-space: nowrap; color: var(--dim); min-width: 0; }
.event { border-left: 3px solid var(--a); padding-left: .5rem; }
.gap { border-left: 3px solid var(--b); padding-left: .5rem; color: var(--b); }
.event b { font-weight: 600; } .event i { color: var(--dim); font-style: normal; }
";

/// Renders the page; `missing` holds an error message for each process that could not be read.
pub fn render(entries: &[TimelineEntry], missing: &[String]) -> String {
    let lanes: BTreeSet<&Process> = entries.iter().map(process).collect();
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n\
         <title>Timeline</title>\n<style>\n{STYLE}{LANE_STYLE}</style>\n</head>\n<body>\n\
         <h1>Timeline</h1>\n<p>Causes are above their effects. Times are in milliseconds since the \
         first event, by the hybrid logical clock.</p>\n"
    );
    for problem in missing {
        let _ = writeln!(page, "<p class=\"gap\">Missing: {}</p>", escape(problem));
    }
    page.push_str("<table class=\"lanes\">\n<tr><th class=\"number\">ms</th>");
    for lane in &lanes {
        let _ = write!(page, "<th>{}</th>", escape(lane.as_str()));
    }
    page.push_str("</tr>\n");
    let start_ms = entries.first().map_or(0, |entry| stamp(entry).wall.0);
    for entry in entries {
        let elapsed_ms = stamp(entry).wall.0.saturating_sub(start_ms);
        let _ = write!(page, "<tr><td class=\"stamp number\">{elapsed_ms}</td>");
        for lane in &lanes {
            match *lane == process(entry) {
                true => page.push_str(&render_cell(entry)),
                false => page.push_str("<td></td>"),
            }
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table>\n</body>\n</html>\n");
    page
}

fn process(entry: &TimelineEntry) -> &Process {
    match entry {
        TimelineEntry::Event(record) => &record.process,
        TimelineEntry::Gap(gap) => &gap.process,
    }
}

fn stamp(entry: &TimelineEntry) -> HybridTimestamp {
    match entry {
        TimelineEntry::Event(record) => record.stamp,
        TimelineEntry::Gap(gap) => gap.next_stamp,
    }
}

fn render_cell(entry: &TimelineEntry) -> String {
    let record = match entry {
        TimelineEntry::Event(record) => record,
        TimelineEntry::Gap(gap) => {
            return format!(
                "<td><div class=\"gap\">events {} to {} are missing</div></td>",
                gap.first, gap.last
            );
        }
    };
    let event = &record.event;
    let subject = &event.subject;
    let mut subject_texts = Vec::new();
    let mut add = |name: &str, value: Option<String>| {
        subject_texts.extend(value.map(|value| format!("{name} {value}")));
    };
    add("call", subject.call.clone());
    add("request", subject.request.as_ref().map(ToString::to_string));
    add("team", subject.team.as_ref().map(ToString::to_string));
    add("server", subject.server.as_ref().map(ToString::to_string));
    add("group", subject.group.as_ref().map(ToString::to_string));
    let operation = subject.operation.as_ref().map(ToString::to_string);
    add("operation", operation);
    let mut cell = format!(
        "<td><div class=\"event\" title=\"{}\"><b>{} {}</b>",
        escape(event.code.description()),
        event.code as u16,
        event.code.as_str()
    );
    let facts: Vec<String> = event
        .facts
        .iter()
        .map(|(name, fact)| format!("{name} {fact}"))
        .collect();
    let lines = [
        ("i", subject_texts.join(", ")),
        ("span", event.detail.clone()),
        ("small", facts.join(", ")),
    ];
    for (tag, text) in lines {
        if !text.is_empty() {
            let _ = write!(cell, "<br><{tag}>{}</{tag}>", escape(&text));
        }
    }
    cell.push_str("</div></td>");
    cell
}
