//! Measures how fast the back end serves, to foresee which deadlines can still be met.

use std::time::Duration;

use eelgrassdyke_core::unit::TokenRate;

/// Weight of a new reading in the smoothed values.
const SMOOTHING: f64 = 0.05;

/// Readings after which a smoothed value is relied on.
const READINGS_MIN: u32 = 8;

/// One finished attempt.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Time from its start to its first token.
    pub first: Duration,
    /// Time from its start to its end.
    pub whole: Duration,
    /// Tokens expected.
    pub expected: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// Smoothed measures of the back end.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    slots: u32,
    declared: f64,
    readings: u32,
    first_us: f64,
    whole_us: f64,
    token_us: f64,
    tokens: f64,
    expected: f64,
}

impl Pace {
    /// A measure that begins with what the settings declare.
    pub fn new(slots: u32, declared: TokenRate) -> Self {
        Self {
            slots,
            declared: declared.0 as f64,
            ..Self::default()
        }
    }

    /// Takes in a finished attempt.
    pub fn observe(&mut self, reading: &Reading) {
        self.readings = self.readings.saturating_add(1);
        // The first readings count in full, so that the start is not held down by zeros.
        let weight = SMOOTHING.max(1.0 / f64::from(self.readings));
        let gaps = reading.tokens.saturating_sub(1).max(1) as f64;
        let stream_us = reading.whole.saturating_sub(reading.first).as_micros() as f64;
        smooth(&mut self.first_us, reading.first.as_micros() as f64, weight);
        smooth(&mut self.whole_us, reading.whole.as_micros() as f64, weight);
        smooth(&mut self.token_us, stream_us / gaps, weight);
        smooth(&mut self.tokens, reading.tokens as f64, weight);
        smooth(&mut self.expected, reading.expected as f64, weight);
    }

    /// Smoothed time from a start to the first token, in microseconds.
    pub fn first_us(&self) -> u64 {
        self.first_us as u64
    }

    /// Smoothed time from a start to its end.
    pub fn whole(&self) -> Duration {
        Duration::from_secs_f64(self.whole_us / 1e6)
    }

    /// Smoothed time between tokens, in microseconds.
    pub fn token_us(&self) -> u64 {
        self.token_us as u64
    }

    /// Expected tokens that the back end works off in a second with all slots busy.
    pub fn rate(&self) -> Option<f64> {
        if self.readings >= READINGS_MIN && self.whole_us > 0.0 {
            return Some(f64::from(self.slots) * self.expected * 1e6 / self.whole_us);
        }
        match self.declared > 0.0 {
            true => Some(self.declared),
            false => None,
        }
    }

    /// Time that the back end takes to work off `cost` expected tokens; zero when unknown.
    pub fn work_off(&self, cost: u64) -> Duration {
        match self.rate() {
            Some(rate) if rate > 0.0 => Duration::from_secs_f64(cost as f64 / rate),
            _ => Duration::ZERO,
        }
    }

    /// Time from start to end that an attempt of `cost` expected tokens takes; zero when unknown.
    pub fn service(&self, cost: u64) -> Duration {
        if self.readings < READINGS_MIN {
            return Duration::ZERO;
        }
        let generated = self.tokens / self.expected.max(1.0);
        let tokens = (cost as f64 * generated - 1.0).max(0.0);
        Duration::from_secs_f64((self.first_us + tokens * self.token_us) / 1e6)
    }
}

fn smooth(value: &mut f64, reading: f64, weight: f64) {
    *value += (reading - *value) * weight;
}
