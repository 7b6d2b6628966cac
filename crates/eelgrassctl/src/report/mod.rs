//! `report`: prints the usage of each service by each team.
//!
//! The counters come from control. This module adds the configured shares, computes quantiles from the
//! latency buckets, and prints the [`Row`]s in the requested format.

use eelgrassdyke_control::OperatorResponse;
use eelgrassdyke_control::report::UsageLine;
use eelgrassdyke_core::config::{Document, Share};
use eelgrassdyke_core::id::{Service, Team};
use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_core::wire::report::LATENCY_BUCKETS_US;

use crate::client::{Client, unexpected_answer};
use crate::command::{ReportArgs, ReportFormat};
use crate::errors::{ExitStatus, Result};
use crate::{output, table};

pub mod csv;
pub mod html;
mod svg;

pub use html::STYLE;
pub use svg::escape;

/// Usage of one service by one team, with derived values.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The counters.
    pub line: UsageLine,
    /// The share of the service that the configuration gives to the team.
    pub configured_share: Share,
    /// The team's share of the work done by the service, in thousandths.
    pub received_share: Permille,
}

/// One printed value of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Name of the column.
    pub name: &'static str,
    /// The value; empty if there is none.
    pub text: String,
    /// Whether the value is a number.
    pub is_number: bool,
}

/// Prints the report.
pub async fn print(client: &Client, options: &ReportArgs, json: bool) -> Result<ExitStatus> {
    let lines = match client.report().await? {
        OperatorResponse::Report(lines) => lines,
        answer => return Err(unexpected_answer(&answer)),
    };
    if json || options.format == ReportFormat::Json {
        output::print_json(&lines)?;
        return Ok(ExitStatus::Success);
    }
    let document = client.newest_config().await?.document;
    let rows = build_rows(lines, &document);
    match options.format {
        ReportFormat::Table => print_table(&rows),
        ReportFormat::Csv => output::print_text(csv::render(&rows)),
        ReportFormat::Html => output::print_text(html::render(&rows)),
        ReportFormat::Json => {}
    }
    Ok(ExitStatus::Success)
}

/// Adds the configured and received shares to the lines of a report.
pub fn build_rows(lines: Vec<UsageLine>, document: &Document) -> Vec<Row> {
    let mut rows = Vec::new();
    for line in &lines {
        let configured_share = configured_share(document, &line.team, &line.service);
        let same_service = lines.iter().filter(|other| other.service == line.service);
        let total: u64 = same_service.map(work_done).sum();
        let received_share = Permille(work_done(line) * Permille::ONE.0 / total.max(1));
        rows.push(Row {
            line: line.clone(),
            configured_share,
            received_share,
        });
    }
    rows
}

/// The configured share of a team on a service, or the default share.
fn configured_share(document: &Document, team: &Team, service: &Service) -> Share {
    let team = document.teams.get(team);
    let share = team.and_then(|team| team.shares.get(service));
    share.cloned().unwrap_or_default()
}

/// The work done for a line: tokens, or requests for a plain service, which counts no tokens.
fn work_done(line: &UsageLine) -> u64 {
    match line.ran.tokens {
        0 => line.ran.forwarded,
        tokens => tokens,
    }
}

impl Row {
    /// Total number of refusals and failures.
    pub fn refused(&self) -> u64 {
        self.line.delivered.refused.values().sum()
    }

    /// The values of the row, in column order.
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
            is_number: false,
        };
        let number = |name, value: Option<u64>| Cell {
            name,
            text: value.map(|value| value.to_string()).unwrap_or_default(),
            is_number: true,
        };
        let queued_ms = ran.queued_us.checked_div(ran.forwarded * 1000);
        vec![
            text("team", self.line.team.to_string()),
            text("service", self.line.service.to_string()),
            number("asked", Some(delivered.received)),
            number("run", Some(ran.forwarded)),
            number("delivered", Some(delivered.delivered)),
            number("refused", Some(self.refused())),
            number("uncertain", Some(self.line.uncertain)),
            number("tokens", Some(ran.tokens)),
            number("queued_ms", queued_ms),
            number("first_p50_ms", quantile_ms(&delivered.first_byte_us, 50)),
            number("first_p95_ms", quantile_ms(&delivered.first_byte_us, 95)),
            number("whole_p50_ms", quantile_ms(&delivered.total_us, 50)),
            number("whole_p95_ms", quantile_ms(&delivered.total_us, 95)),
            number("guaranteed", Some(self.configured_share.guaranteed.0)),
            number("weight", Some(self.configured_share.weight.into())),
            number("cap", Some(self.configured_share.cap.0)),
            number("received", Some(self.received_share.0)),
            text("refused_by_reason", reasons.join(" ")),
        ]
    }
}

/// Upper bound of the given percentile of the latencies counted in `buckets`, in milliseconds.
///
/// `buckets` holds one count for each bucket of [`LATENCY_BUCKETS_US`].
pub fn quantile_ms(buckets: &[u64], percent: u64) -> Option<u64> {
    let total: u64 = buckets.iter().sum();
    if total == 0 {
        return None;
    }
    let rank = (total * percent).div_ceil(100);
    let mut cumulative = 0;
    for (bucket, count) in buckets.iter().enumerate() {
        cumulative += count;
        if cumulative >= rank {
            let last = LATENCY_BUCKETS_US.len() - 1;
            return Some(LATENCY_BUCKETS_US[bucket.min(last)].div_ceil(1000));
        }
    }
    None
}

fn print_table(rows: &[Row]) {
    let Some(first) = rows.first() else {
        output::print_line("no requests received yet");
        return;
    };
    let columns: Vec<table::Column> = first
        .cells()
        .iter()
        .map(|cell| (cell.name, cell.is_number))
        .collect();
    let texts = |row: &Row| row.cells().into_iter().map(|cell| cell.text).collect();
    table::print(&columns, rows.iter().map(texts));
    output::print_line("shares are in thousandths; quantiles are upper bounds");
}
