//! Latency histograms of the metrics endpoint.

use std::time::Duration;

use metrics::histogram;
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder};

/// Upper bounds of the histogram buckets, in seconds: finer around the latency targets for a first
/// token and for a plain response, up to the longest timeout of a call.
const BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.0, 4.0, 8.0, 30.0, 120.0,
];

/// Time from the receipt of a request to the end of its response.
const REQUEST_METRIC: &str = "eelgrassdyke_request_seconds";

/// Time from the receipt of a request to the first event of its stream.
const FIRST_EVENT_METRIC: &str = "eelgrassdyke_first_event_seconds";

/// Time for which the disk writer takes to make a batch of writes durable.
const DISK_WRITE_METRIC: &str = "eelgrassdyke_disk_write_seconds";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a complete response that is not streamed.
    Answered,
    /// With a complete stream.
    Streamed,
    /// With a stream that was aborted.
    Aborted,
    /// With a refusal.
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

/// Registers all histograms, so that they are exported before the first observation.
pub fn register_histograms() {
    for outcome in Outcome::ALL {
        let _ = histogram!(REQUEST_METRIC, "outcome" => outcome.as_str());
    }
    let _ = histogram!(FIRST_EVENT_METRIC);
    let _ = histogram!(DISK_WRITE_METRIC);
}

/// Records the duration of a request that ended.
pub fn record_request(outcome: Outcome, elapsed: Duration) {
    histogram!(REQUEST_METRIC, "outcome" => outcome.as_str()).record(elapsed.as_secs_f64());
}

/// Records the time to the first event of a stream.
pub fn record_first_event(elapsed: Duration) {
    histogram!(FIRST_EVENT_METRIC).record(elapsed.as_secs_f64());
}

/// Records the duration of a batch of writes to a data folder.
pub fn record_disk_write(elapsed: Duration) {
    histogram!(DISK_WRITE_METRIC).record(elapsed.as_secs_f64());
}

/// Configures the exporter to use these buckets for all histograms.
pub fn set_buckets(
    builder: PrometheusBuilder,
) -> std::result::Result<PrometheusBuilder, BuildError> {
    builder
        .set_buckets_for_metric(Matcher::Full(REQUEST_METRIC.to_owned()), &BUCKETS_S)?
        .set_buckets_for_metric(Matcher::Full(FIRST_EVENT_METRIC.to_owned()), &BUCKETS_S)?
        .set_buckets_for_metric(Matcher::Full(DISK_WRITE_METRIC.to_owned()), &BUCKETS_S)
}
