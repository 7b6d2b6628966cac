//! Plots as inline SVG, coloured by the classes of the page.

use std::fmt::Write as _;

/// Width of the labels on the left, in pixels.
const LABELS: u64 = 190;

/// Width of the plot, in pixels.
const PLOT: u64 = 480;

/// Width of the numbers on the right, in pixels.
const NUMBERS: u64 = 150;

/// Height of one bar and its gap, in pixels.
const LINE: u64 = 26;

/// Height of one bar, in pixels.
const BAR: u64 = 16;

/// One part of a bar.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The value.
    pub value: u64,
    /// The class that colours it.
    pub class: &'static str,
}

/// One bar: parts side by side, marks across them, and what stands beside.
#[derive(Clone, Debug)]
pub struct Bar {
    /// Name on the left.
    pub label: String,
    /// Parts, from the left.
    pub parts: Vec<Part>,
    /// Values marked by a line across the bar.
    pub marks: Vec<Part>,
    /// Text on the right.
    pub note: String,
}

/// Renders bars on one scale, whose whole width is `most`.
pub fn bars(title: &str, bars: &[Bar], most: u64) -> String {
    let (width, height) = (LABELS + PLOT + NUMBERS, LINE * bars.len() as u64 + 4);
    let mut svg = format!(
        "<svg viewBox=\"0 0 {width} {height}\" role=\"img\" aria-label=\"{}\">\n",
        escape(title)
    );
    let scale = |value: u64| value.min(most) * PLOT / most.max(1);
    for (at, bar) in bars.iter().enumerate() {
        let top = at as u64 * LINE + 4;
        let text = top + BAR - 3;
        let _ = writeln!(
            svg,
            "<text x=\"{}\" y=\"{text}\" text-anchor=\"end\">{}</text>",
            LABELS - 8,
            escape(&bar.label)
        );
        let _ = writeln!(
            svg,
            "<rect class=\"ground\" x=\"{LABELS}\" y=\"{top}\" width=\"{PLOT}\" height=\"{BAR}\"/>"
        );
        let mut left = 0;
        for part in &bar.parts {
            let right = left + part.value;
            let (x, end) = (scale(left), scale(right));
            let _ = writeln!(
                svg,
                "<rect class=\"{}\" x=\"{}\" y=\"{top}\" width=\"{}\" height=\"{BAR}\"/>",
                part.class,
                LABELS + x,
                end - x
            );
            left = right;
        }
        for mark in &bar.marks {
            let _ = writeln!(
                svg,
                "<rect class=\"{}\" x=\"{}\" y=\"{}\" width=\"3\" height=\"{}\"/>",
                mark.class,
                LABELS + scale(mark.value).min(PLOT - 3),
                top - 3,
                BAR + 6
            );
        }
        let _ = writeln!(
            svg,
            "<text class=\"note\" x=\"{}\" y=\"{text}\">{}</text>",
            LABELS + PLOT + 8,
            escape(&bar.note)
        );
    }
    svg.push_str("</svg>\n");
    svg
}

/// Escapes text for use in a page.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}
