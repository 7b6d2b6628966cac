//! Bar charts as inline SVG, coloured by CSS classes of the page.

use std::fmt::Write as _;

/// Width of the labels on the left.
const LABEL_WIDTH_PX: u64 = 190;

/// Width of the plot area.
const PLOT_WIDTH_PX: u64 = 480;

/// Width of the notes on the right.
const NOTE_WIDTH_PX: u64 = 150;

/// Height of one bar and the gap below it.
const ROW_HEIGHT_PX: u64 = 26;

/// Height of one bar.
const BAR_HEIGHT_PX: u64 = 16;

/// One segment or marker of a bar.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// The value.
    pub value: u64,
    /// CSS class that sets the colour.
    pub class: &'static str,
}

/// One bar with a label, stacked segments, markers and a note.
#[derive(Clone, Debug)]
pub struct Bar {
    /// Label on the left.
    pub label: String,
    /// Segments, from left to right.
    pub segments: Vec<Segment>,
    /// Values marked by a vertical line across the bar.
    pub markers: Vec<Segment>,
    /// Note on the right.
    pub note: String,
}

/// Renders bars on a common scale from 0 to `scale_max`.
pub fn render_bars(title: &str, bars: &[Bar], scale_max: u64) -> String {
    let (width, height) = (
        LABEL_WIDTH_PX + PLOT_WIDTH_PX + NOTE_WIDTH_PX,
        ROW_HEIGHT_PX * bars.len() as u64 + 4,
    );
    let mut svg = format!(
        "<svg viewBox=\"0 0 {width} {height}\" role=\"img\" aria-label=\"{}\">\n",
        escape(title)
    );
    let scale = |value: u64| value.min(scale_max) * PLOT_WIDTH_PX / scale_max.max(1);
    for (index, bar) in bars.iter().enumerate() {
        let top = index as u64 * ROW_HEIGHT_PX + 4;
        let baseline = top + BAR_HEIGHT_PX - 3;
        let _ = writeln!(
            svg,
            "<text x=\"{}\" y=\"{baseline}\" text-anchor=\"end\">{}</text>",
            LABEL_WIDTH_PX - 8,
            escape(&bar.label)
        );
        let _ = writeln!(
            svg,
            "<rect class=\"ground\" x=\"{LABEL_WIDTH_PX}\" y=\"{top}\" width=\"{PLOT_WIDTH_PX}\" \
             height=\"{BAR_HEIGHT_PX}\"/>"
        );
        let mut left = 0;
        for segment in &bar.segments {
            let right = left + segment.value;
            let (x, end) = (scale(left), scale(right));
            let _ = writeln!(
                svg,
                "<rect class=\"{}\" x=\"{}\" y=\"{top}\" width=\"{}\" height=\"{BAR_HEIGHT_PX}\"/>",
                segment.class,
                LABEL_WIDTH_PX + x,
                end - x
            );
            left = right;
        }
        for marker in &bar.markers {
            let _ = writeln!(
                svg,
                "<rect class=\"{}\" x=\"{}\" y=\"{}\" width=\"3\" height=\"{}\"/>",
                marker.class,
                LABEL_WIDTH_PX + scale(marker.value).min(PLOT_WIDTH_PX - 3),
                top - 3,
                BAR_HEIGHT_PX + 6
            );
        }
        let _ = writeln!(
            svg,
            "<text class=\"note\" x=\"{}\" y=\"{baseline}\">{}</text>",
            LABEL_WIDTH_PX + PLOT_WIDTH_PX + 8,
            escape(&bar.note)
        );
    }
    svg.push_str("</svg>\n");
    svg
}

/// Escapes text for use in HTML and SVG, also in attribute values.
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
