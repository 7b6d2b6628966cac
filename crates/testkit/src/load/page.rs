//! Prints outcomes as a table and as a page with plots.

use std::fmt::Write as _;

use super::Outcome;

/// Quantiles shown.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// Width and height of a plot, in pixels.
const PLOT: (f64, f64) = (640.0, 280.0);

/// Colours of the lines of a plot, in turn.
const COLOURS: [&str; 4] = ["#1b6ca8", "#c4472b", "#3a7d44", "#7b4b94"];

/// A table with a line for each outcome; latencies in milliseconds.
pub fn table(outcomes: &[(String, Outcome)]) -> String {
    let mut text = format!(
        "{:<28} {:>7} {:>7} {:>7} {:>6} {:>9} {:>24} {:>32}\n",
        "load",
        "sent",
        "whole",
        "refused",
        "broken",
        "whole/s",
        "first p50/p95/p99 ms",
        "whole p50/p95/p99/p99.9 ms",
    );
    for (name, outcome) in outcomes {
        let first = quantiles(&outcome.first, &QUANTILES[..3]);
        let whole = quantiles(&outcome.whole, &QUANTILES);
        let _ = writeln!(
            text,
            "{name:<28} {:>7} {:>7} {:>7} {:>6} {:>9.1} {first:>24} {whole:>32}",
            outcome.sent,
            outcome.answered,
            outcome.refused,
            outcome.broken,
            outcome.goodput(),
        );
    }
    text
}

fn quantiles(histogram: &hdrhistogram::Histogram<u64>, which: &[f64]) -> String {
    let values = which.iter().map(|q| {
        let micros = histogram.value_at_quantile(*q);
        format!("{:.2}", micros as f64 / 1000.0)
    });
    values.collect::<Vec<_>>().join("/")
}

/// A self-contained page: the table, and latency by quantile for each outcome.
pub fn page(title: &str, outcomes: &[(String, Outcome)]) -> String {
    let mut body = String::new();
    let _ = write!(body, "<pre>{}</pre>", table(outcomes));
    for (name, pick) in [
        (
            "time to the first part",
            first as fn(&Outcome) -> &hdrhistogram::Histogram<u64>,
        ),
        ("time to the whole answer", whole),
    ] {
        let _ = write!(
            body,
            "<h2>{name}, ms by quantile</h2>{}",
            plot(outcomes, pick)
        );
    }
    format!(
        "<!doctype html><meta charset=utf-8><title>{title}</title>\
         <style>body{{font:14px sans-serif;margin:2em;color-scheme:light dark}}\
         svg text{{font:11px sans-serif;fill:currentColor}}</style><h1>{title}</h1>{body}\n"
    )
}

fn first(outcome: &Outcome) -> &hdrhistogram::Histogram<u64> {
    &outcome.first
}

fn whole(outcome: &Outcome) -> &hdrhistogram::Histogram<u64> {
    &outcome.whole
}

/// A plot of latency over quantile; the axis of quantiles stretches towards 1.
fn plot(
    outcomes: &[(String, Outcome)],
    pick: fn(&Outcome) -> &hdrhistogram::Histogram<u64>,
) -> String {
    let (width, height) = PLOT;
    let most = outcomes
        .iter()
        .map(|(_, o)| pick(o).value_at_quantile(0.9999))
        .max()
        .unwrap_or(1);
    let most = most.max(1) as f64;
    let mut svg = format!("<svg width={} height={}>", width + 120.0, height + 40.0);
    for nines in 0..=4 {
        let x = 50.0 + width * f64::from(nines) / 4.0;
        let label = 1.0 - 10_f64.powi(-nines);
        let _ = write!(
            svg,
            "<text x={x} y={} text-anchor=middle>{label}</text>",
            height + 30.0
        );
    }
    for part in 0..=4 {
        let share = f64::from(part) / 4.0;
        let y = 10.0 + height * (1.0 - share);
        let _ = write!(
            svg,
            "<line x1=50 x2={} y1={y} y2={y} stroke=gray stroke-opacity=.3 />\
             <text x=45 y={y} text-anchor=end>{:.1}</text>",
            50.0 + width,
            most * share / 1000.0,
        );
    }
    for (at, (name, outcome)) in outcomes.iter().enumerate() {
        let colour = COLOURS[at % COLOURS.len()];
        let mut points = String::new();
        for step in 0..=160 {
            let nines = f64::from(step) / 40.0;
            let micros = pick(outcome).value_at_quantile(1.0 - 10_f64.powf(-nines));
            let x = 50.0 + width * nines / 4.0;
            let y = 10.0 + height * (1.0 - (micros as f64 / most).min(1.0));
            let _ = write!(points, "{x:.1},{y:.1} ");
        }
        let _ = write!(
            svg,
            "<polyline points='{points}' fill=none stroke='{colour}' stroke-width=2 />\
             <text x=60 y={} style='fill:{colour}'>{name}</text>",
            24 + 16 * at,
        );
    }
    svg.push_str("</svg>");
    svg
}
