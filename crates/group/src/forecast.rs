//! How long demand stays as it is, and how far the planner's predictions hold.
//!
//! Both are measured while the group runs: the time between two changes of demand, the skew that a
//! change causes, and the difference between the skew that a plan predicted and the one that its map
//! then had. A plan fits the loads it was made from better than any later ones, so its prediction is too
//! low by more than the noise of a single interval suggests.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;

/// Time between two changes of demand that is assumed until some have been measured.
const INITIAL_LIFE: Duration = Duration::from_secs(10);

/// Minimum time between two changes of demand: one change is visible in several intervals.
const LIFE_MIN: Duration = Duration::from_millis(600);

/// Weight of the latest change of demand in the smoothed values.
const CHANGE_SMOOTHING: f64 = 0.3;

/// Weight of the latest interval in the smoothed optimism.
const OPTIMISM_SMOOTHING: f64 = 0.05;

/// Optimism that is assumed until it has been measured, in units of skew.
const INITIAL_OPTIMISM: f64 = 0.1;

/// Increase of the skew by a change of demand that is assumed until one has been measured.
const INITIAL_RISE: f64 = 1.0;

/// Measures demand and predictions of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct Forecast {
    changed_at: Instant,
    life_seconds: f64,
    /// Smoothed increase of the skew by a change of demand.
    rise: f64,
    /// Smoothed difference between the skew of a map and its prediction while demand is steady.
    optimism: f64,
    /// The map in force; none until the first plan is.
    map: Option<MapRecord>,
}

/// The skew of the map in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MapRecord {
    /// When the map came into force.
    pub since: Instant,
    /// The skew that its plan predicted.
    pub predicted: f64,
    /// Sum of the skews of the intervals since then.
    measured_sum: f64,
    intervals: u32,
    /// Whether demand has changed since the plan was made.
    is_outdated: bool,
}

impl MapRecord {
    /// Mean skew of the intervals since the map came into force; none if there was no interval.
    pub fn measured(&self) -> Option<f64> {
        (self.intervals > 0).then(|| self.measured_sum / f64::from(self.intervals))
    }
}

impl Forecast {
    /// Creates a forecast that has measured nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            changed_at: now,
            life_seconds: INITIAL_LIFE.as_secs_f64(),
            rise: INITIAL_RISE,
            optimism: INITIAL_OPTIMISM,
            map: None,
        }
    }

    /// Records that a map, planned at `planned_at` with this predicted skew, has come into force.
    pub fn record_map(&mut self, now: Instant, planned_at: Instant, predicted: f64) {
        self.map = Some(MapRecord {
            since: now,
            predicted,
            measured_sum: 0.0,
            intervals: 0,
            is_outdated: self.changed_at > planned_at,
        });
    }

    /// Records that demand has changed.
    pub fn record_change(&mut self, now: Instant) {
        let life = now.since(self.changed_at);
        if life >= LIFE_MIN {
            self.life_seconds += (life.as_secs_f64() - self.life_seconds) * CHANGE_SMOOTHING;
            self.changed_at = now;
        }
    }

    /// Records the skew of the active map in an interval, and under the smoothed loads.
    pub fn record_skew(&mut self, skew: f64, smoothed_skew: f64) {
        let Some(map) = &mut self.map else {
            return;
        };
        map.measured_sum += skew;
        map.intervals += 1;
        let excess = (smoothed_skew - map.predicted).max(0.0);
        if self.changed_at <= map.since {
            if !map.is_outdated {
                self.optimism += (excess - self.optimism) * OPTIMISM_SMOOTHING;
            }
        } else if !map.is_outdated {
            map.is_outdated = true;
            self.rise += (excess - self.rise) * CHANGE_SMOOTHING;
        }
    }

    /// The map in force and its skew.
    pub fn map(&self) -> Option<&MapRecord> {
        self.map.as_ref()
    }

    /// Expected time until demand changes: the rest of the usual time, or half of the time that it has
    /// lasted already.
    pub fn remaining_life(&self, now: Instant) -> Duration {
        let age = now.since(self.changed_at).as_secs_f64();
        let rest = (self.life_seconds - age).max(self.life_seconds / 2.0);
        Duration::from_secs_f64(rest.max(age / 2.0))
    }

    /// When demand last changed.
    pub fn changed_at(&self) -> Instant {
        self.changed_at
    }

    /// Usual time between two changes of demand.
    pub fn life(&self) -> Duration {
        Duration::from_secs_f64(self.life_seconds)
    }

    /// Usual increase of the skew by a change of demand.
    pub fn rise(&self) -> f64 {
        self.rise
    }

    /// Usual difference between the skew of a map and its prediction while demand is steady.
    pub fn optimism(&self) -> f64 {
        self.optimism
    }
}
