//! Estimates service times and throughput of the server from completed attempts.
//!
//! Admission uses the estimates to decide which deadlines can still be met.

use std::time::Duration;

use eelgrassdyke_core::unit::TokenRate;

/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.05;

/// Number of samples from which the averages are used.
const SAMPLES_MIN: u32 = 8;

/// Measurements of one completed attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSample {
    /// Time from the start of the attempt to its first token.
    pub time_to_first_token: Duration,
    /// Time from the start of the attempt to its end.
    pub service_time: Duration,
    /// Number of expected tokens.
    pub expected_tokens: u64,
    /// Number of generated tokens.
    pub generated_tokens: u64,
}

/// Exponential moving averages over the attempts of the server.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimeEstimator {
    slots: u32,
    /// Tokens per second as declared in the settings; zero for a plain service.
    declared_token_rate: f64,
    sample_count: u32,
    first_token_us: f64,
    service_time_us: f64,
    token_us: f64,
    generated_tokens: f64,
    expected_tokens: f64,
}

impl ServiceTimeEstimator {
    /// Creates an estimator that relies on the declared token rate until it has enough samples.
    pub fn new(slots: u32, declared: TokenRate) -> Self {
        Self {
            slots,
            declared_token_rate: declared.0 as f64,
            ..Self::default()
        }
    }

    /// Adds a completed attempt to the averages.
    pub fn observe(&mut self, sample: &AttemptSample) {
        self.sample_count = self.sample_count.saturating_add(1);
        // The first samples form a plain mean; otherwise the initial zeros would bias the averages.
        let weight = SMOOTHING.max(1.0 / f64::from(self.sample_count));
        let gaps = sample.generated_tokens.saturating_sub(1).max(1) as f64;
        let stream_us = sample
            .service_time
            .saturating_sub(sample.time_to_first_token)
            .as_micros() as f64;
        update_average(
            &mut self.first_token_us,
            sample.time_to_first_token.as_micros() as f64,
            weight,
        );
        update_average(
            &mut self.service_time_us,
            sample.service_time.as_micros() as f64,
            weight,
        );
        update_average(&mut self.token_us, stream_us / gaps, weight);
        update_average(
            &mut self.generated_tokens,
            sample.generated_tokens as f64,
            weight,
        );
        update_average(
            &mut self.expected_tokens,
            sample.expected_tokens as f64,
            weight,
        );
    }

    /// Average time from the start of an attempt to its first token, in microseconds.
    pub fn first_token_us(&self) -> u64 {
        self.first_token_us as u64
    }

    /// Average time from the start of an attempt to its end.
    pub fn average_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time_us / 1e6)
    }

    /// Average time between tokens, in microseconds.
    pub fn token_us(&self) -> u64 {
        self.token_us as u64
    }

    /// Expected tokens that the server processes per second with all slots busy; none if unknown.
    pub fn throughput(&self) -> Option<f64> {
        if self.sample_count >= SAMPLES_MIN && self.service_time_us > 0.0 {
            return Some(f64::from(self.slots) * self.expected_tokens * 1e6 / self.service_time_us);
        }
        match self.declared_token_rate > 0.0 {
            true => Some(self.declared_token_rate),
            false => None,
        }
    }

    /// Time that the server takes to process a backlog of `cost` expected tokens with all slots
    /// busy; zero if unknown.
    pub fn backlog_time(&self, cost: u64) -> Duration {
        match self.throughput() {
            Some(rate) if rate > 0.0 => Duration::from_secs_f64(cost as f64 / rate),
            _ => Duration::ZERO,
        }
    }

    /// Time from start to end of an attempt of `cost` expected tokens; zero if unknown.
    pub fn service_time(&self, cost: u64) -> Duration {
        if self.sample_count < SAMPLES_MIN {
            return Duration::ZERO;
        }
        let generated_per_expected = self.generated_tokens / self.expected_tokens.max(1.0);
        let tokens = (cost as f64 * generated_per_expected - 1.0).max(0.0);
        Duration::from_secs_f64((self.first_token_us + tokens * self.token_us) / 1e6)
    }
}

/// Moves an average towards a sample by the sample's weight.
fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average += (sample - *average) * weight;
}
