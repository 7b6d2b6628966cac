//! Latency histograms of the scrape page.

use std::time::Duration;

use metrics::histogram;
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder};

/// Upper bounds of the buckets, in seconds: finer around the targets for a first token and for a plain
/// answer, up to the longest time limit of a call.
const BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.0, 4.0, 8.0, 30.0, 120.0,
];

/// Time from a request to the end of its answer.
const REQUEST_METRIC: &str = "eelgrassdyke_request_seconds";

/// Time from a request to the first event of its stream.
const FIRST_EVENT_METRIC: &str = "eelgrassdyke_first_event_seconds";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Answered,
    /// With the end of a stream.
    Streamed,
    /// With a stream that broke off.
    Aborted,
    /// Without an answer.
    Refused,
}

impl Outcome {
    const ALL: [Self; 4] = [Self::Answered, Self::Streamed, Self::Aborted, Self::Refused];

    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streamed => "streamed",
            Self::Aborted => "broken_off",
            Self::Refused => "refused",
        }
    }
}

/// Has every histogram on the scrape page, also before anything is counted.
pub fn register_histograms() {
    for outcome in Outcome::ALL {
        let _ = histogram!(REQUEST_METRIC, "outcome" => outcome.as_str());
    }
    let _ = histogram!(FIRST_EVENT_METRIC);
}

/// Counts a request that is over.
pub fn record_request(outcome: Outcome, elapsed: Duration) {
    histogram!(REQUEST_METRIC, "outcome" => outcome.as_str()).record(elapsed.as_secs_f64());
}

/// Counts the first event of a stream.
pub fn record_first_event(elapsed: Duration) {
    histogram!(FIRST_EVENT_METRIC).record(elapsed.as_secs_f64());
}

/// Has the scrape page show histograms with these buckets.
pub fn set_buckets(
    builder: PrometheusBuilder,
) -> std::result::Result<PrometheusBuilder, BuildError> {
    builder
        .set_buckets_for_metric(Matcher::Full(REQUEST_METRIC.to_owned()), &BUCKETS_S)?
        .set_buckets_for_metric(Matcher::Full(FIRST_EVENT_METRIC.to_owned()), &BUCKETS_S)
}
