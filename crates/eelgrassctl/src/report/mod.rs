//! `report`: what each team received of each service.
//!
//! Control gives the counters; this module adds the shares that the configuration declares, turns
//! latency buckets into quantiles, and prints the [`Row`]s in the format asked for.

use eelgrassdyke_control::OperatorResponse;
use eelgrassdyke_control::report::UsageLine;
use eelgrassdyke_core::config::{Document, Share};
use eelgrassdyke_core::id::{Service, Team};
use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_core::wire::report::LATENCY_BUCKETS_US;

use crate::client::{Client, unexpected};
use crate::command::{Format, Report};
use crate::errors::{Code, Result};
use crate::{output, table};

pub mod csv;
pub mod html;
mod svg;

pub use html::STYLE;
pub use svg::escape;

/// What one team received of one service, worked out for printing.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The counters.
    pub line: UsageLine,
    /// What the configuration entitles the team to.
    pub declared: Share,
    /// The team's part of what ran, in thousandths.
    pub received: Permille,
}

/// One value of a row as it is printed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Name of the column.
    pub name: &'static str,
    /// The value; empty when there is none.
    pub text: String,
    /// Whether it is a number.
    pub number: bool,
}

/// Prints the report.
pub async fn print(client: &Client, options: &Report, json: bool) -> Result<Code> {
    let lines = match client.report().await? {
        OperatorResponse::Report(lines) => lines,
        answer => return Err(unexpected(&answer)),
    };
    if json || options.format == Format::Json {
        output::json(&lines)?;
        return Ok(Code::Done);
    }
    let document = client.config().await?.document;
    let rows = rows(lines, &document);
    match options.format {
        Format::Table => print_table(&rows),
        Format::Csv => output::text_as_is(csv::render(&rows)),
        Format::Html => output::text_as_is(html::render(&rows)),
        Format::Json => {}
    }
    Ok(Code::Done)
}

/// Adds declared and received shares to the lines of a report.
pub fn rows(lines: Vec<UsageLine>, document: &Document) -> Vec<Row> {
    let mut rows = Vec::new();
    for line in &lines {
        let declared = declared(document, &line.team, &line.service);
        let others = lines.iter().filter(|other| other.service == line.service);
        let total: u64 = others.map(work).sum();
        let received = Permille(work(line) * Permille::WHOLE.0 / total.max(1));
        rows.push(Row {
            line: line.clone(),
            declared,
            received,
        });
    }
    rows
}

/// What a team is entitled to on a service.
fn declared(document: &Document, team: &Team, service: &Service) -> Share {
    let team = document.teams.get(team);
    let share = team.and_then(|team| team.shares.get(service));
    share.cloned().unwrap_or_default()
}

/// The work that ran for a line: tokens, or calls for a plain service.
fn work(line: &UsageLine) -> u64 {
    match line.ran.tokens {
        0 => line.ran.forwarded,
        tokens => tokens,
    }
}

impl Row {
    /// Refusals and failures of every reason.
    pub fn refused(&self) -> u64 {
        self.line.delivered.refused.values().sum()
    }

    /// The row's values, in the order of the columns.
    pub fn cells(&self) -> Vec<Cell> {
        let (delivered, ran) = (&self.line.delivered, &self.line.ran);
        let reasons: Vec<String> = delivered
            .refused
            .iter()
            .map(|(reason, count)| format!("{reason}={count}"))
            .collect();
        let text = |name, text: String| Cell {
            name,
            text,
            number: false,
        };
        let number = |name, value: Option<u64>| Cell {
            name,
            text: value.map(|value| value.to_string()).unwrap_or_default(),
            number: true,
        };
        let queued = ran.queued_us.checked_div(ran.forwarded * 1000);
        vec![
            text("team", self.line.team.to_string()),
            text("service", self.line.service.to_string()),
            number("asked", Some(delivered.received)),
            number("run", Some(ran.forwarded)),
            number("delivered", Some(delivered.delivered)),
            number("refused", Some(self.refused())),
            number("uncertain", Some(self.line.uncertain)),
            number("tokens", Some(ran.tokens)),
            number("queued_ms", queued),
            number("first_p50_ms", quantile_ms(&delivered.first_byte_us, 50)),
            number("first_p95_ms", quantile_ms(&delivered.first_byte_us, 95)),
            number("whole_p50_ms", quantile_ms(&delivered.total_us, 50)),
            number("whole_p95_ms", quantile_ms(&delivered.total_us, 95)),
            number("guaranteed", Some(self.declared.guaranteed.0)),
            number("weight", Some(self.declared.weight.into())),
            number("cap", Some(self.declared.cap.0)),
            number("received", Some(self.received.0)),
            text("refused_by_reason", reasons.join(" ")),
        ]
    }
}

/// The bound, in milliseconds, that `percent` of the readings in `buckets` keep to.
pub fn quantile_ms(buckets: &[u64], percent: u64) -> Option<u64> {
    let total: u64 = buckets.iter().sum();
    if total == 0 {
        return None;
    }
    let wanted = (total * percent).div_ceil(100);
    let mut seen = 0;
    for (at, count) in buckets.iter().enumerate() {
        seen += count;
        if seen >= wanted {
            let last = LATENCY_BUCKETS_US.len() - 1;
            return Some(LATENCY_BUCKETS_US[at.min(last)].div_ceil(1000));
        }
    }
    None
}

fn print_table(rows: &[Row]) {
    let Some(first) = rows.first() else {
        output::line("nothing was asked yet");
        return;
    };
    let columns: Vec<table::Column> = first
        .cells()
        .iter()
        .map(|cell| (cell.name, cell.number))
        .collect();
    let texts = |row: &Row| row.cells().into_iter().map(|cell| cell.text).collect();
    table::print(&columns, rows.iter().map(texts));
    output::line("shares in thousandths; quantiles are upper bounds");
}
