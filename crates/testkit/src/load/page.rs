//! Formats load outcomes as a text table and as an HTML page with plots.

use std::fmt::Write as _;

use super::LoadOutcome;

type Latencies = hdrhistogram::Histogram<u64>;

/// Quantiles in the table.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (f64, f64) = (640.0, 280.0);

/// Colours of the lines of a plot, used in turn.
const COLOURS: [&str; 4] = ["#1b6ca8", "#c4472b", "#3a7d44", "#7b4b94"];

/// Formats a table with one line per outcome; latencies in milliseconds.
pub fn table(outcomes: &[(String, LoadOutcome)]) -> String {
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
        let first = format_quantiles(&outcome.first_chunk, &QUANTILES[..3]);
        let whole = format_quantiles(&outcome.total, &QUANTILES);
        let _ = writeln!(
            text,
            "{name:<28} {:>7} {:>7} {:>7} {:>6} {:>9.1} {first:>24} {whole:>32}",
            outcome.sent,
            outcome.completed,
            outcome.refused,
            outcome.failed,
            outcome.goodput(),
        );
    }
    text
}

fn format_quantiles(histogram: &Latencies, quantiles: &[f64]) -> String {
    let values = quantiles.iter().map(|quantile| {
        let latency_us = histogram.value_at_quantile(*quantile);
        format!("{:.2}", latency_us as f64 / 1000.0)
    });
    values.collect::<Vec<_>>().join("/")
}

/// Formats a self-contained page: the table, and plots of latency by quantile.
pub fn page(title: &str, outcomes: &[(String, LoadOutcome)]) -> String {
    let mut body = String::new();
    let _ = write!(body, "<pre>{}</pre>", table(outcomes));
    for (name, latencies) in [
        (
            "time to the first chunk",
            first_chunk as fn(&LoadOutcome) -> &Latencies,
        ),
        ("time to the complete response", total),
    ] {
        let _ = write!(
            body,
            "<h2>{name}, ms by quantile</h2>{}",
            plot(outcomes, latencies)
        );
    }
    format!(
        "<!doctype html><meta charset=utf-8><title>{title}</title>\
         <style>body{{font:14px sans-serif;margin:2em;color-scheme:light dark}}\
         svg text{{font:11px sans-serif;fill:currentColor}}</style><h1>{title}</h1>{body}\n"
    )
}

fn first_chunk(outcome: &LoadOutcome) -> &Latencies {
    &outcome.first_chunk
}

fn total(outcome: &LoadOutcome) -> &Latencies {
    &outcome.total
}

/// Draws latency over quantile as SVG; the quantile axis is logarithmic in `1 - quantile`.
fn plot(outcomes: &[(String, LoadOutcome)], latencies: fn(&LoadOutcome) -> &Latencies) -> String {
    let (width, height) = PLOT_SIZE;
    let highest_us = outcomes
        .iter()
        .map(|(_, outcome)| latencies(outcome).value_at_quantile(0.9999))
        .max()
        .unwrap_or(1);
    let highest_us = highest_us.max(1) as f64;
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
    for tick in 0..=4 {
        let fraction = f64::from(tick) / 4.0;
        let y = 10.0 + height * (1.0 - fraction);
        let _ = write!(
            svg,
            "<line x1=50 x2={} y1={y} y2={y} stroke=gray stroke-opacity=.3 />\
             <text x=45 y={y} text-anchor=end>{:.1}</text>",
            50.0 + width,
            highest_us * fraction / 1000.0,
        );
    }
    for (index, (name, outcome)) in outcomes.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let mut points = String::new();
        for step in 0..=160 {
            let nines = f64::from(step) / 40.0;
            let latency_us = latencies(outcome).value_at_quantile(1.0 - 10_f64.powf(-nines));
            let x = 50.0 + width * nines / 4.0;
            let y = 10.0 + height * (1.0 - (latency_us as f64 / highest_us).min(1.0));
            let _ = write!(points, "{x:.1},{y:.1} ");
        }
        let _ = write!(
            svg,
            "<polyline points='{points}' fill=none stroke='{colour}' stroke-width=2 />\
             <text x=60 y={} style='fill:{colour}'>{name}</text>",
            24 + 16 * index,
        );
    }
    svg.push_str("</svg>");
    svg
}
