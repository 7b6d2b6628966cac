//! What the copies for a new expert map cost, and what they save.
//!
//! Both are times, in seconds of mean step time: a map with a skew of 1.2 in place of one with 1.7 saves
//! half a second in each second in force. What counts against it: the ranks' steps are longer while they
//! copy, a switch that is under way delays the reaction to the next change of demand, and bytes have a
//! price.

use std::time::Duration;

use eelgrassdyke_core::time::Instant;

use crate::forecast::Forecast;
use crate::plan::Plan;

/// Fraction of the time of a switch that a smaller limit on the copies must be able to save.
const NOTICEABLE_FRACTION: f64 = 0.1;

/// Maximum fraction of the expected life of demand that the copies for a map may take. The first copies
/// relieve the slowest ranks most; the others follow with the next map, while the first is in force.
pub const COPYING_FRACTION_MAX: f64 = 0.15;

/// Fraction by which steps are longer while ranks copy experts.
const COPY_SLOWDOWN: f64 = 0.15;

/// Price of copying as many experts as all layers have, in seconds of mean step time.
const COPY_ALL_PRICE_SECONDS: f64 = 1.5;

/// Price of a switch, in seconds of mean step time: the group stalls if the leader or a watch process
/// is lost between hold and release.
const SWITCH_PRICE_SECONDS: f64 = 0.2;

/// What the copies of a plan cost, and for how long they are of use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyCost {
    /// Time in which a rank copies one expert.
    pub copy_time: Duration,
    /// Time that a switch takes in addition to its copies.
    pub switch_time: Duration,
    /// Expected time until demand changes.
    pub demand_life: Duration,
    /// Fraction by which steps are longer while ranks copy.
    pub slowdown: f64,
    /// Price of copying one expert: the time that it has to save, in seconds of mean step time.
    pub price: f64,
    /// Price of a switch whatever it copies, in seconds of mean step time.
    pub switch_price: f64,
    /// Usual difference between the skew of a map and its prediction.
    pub optimism: f64,
    /// Usual increase of the skew by a change of demand.
    pub rise: f64,
    /// Usual time between two changes of demand.
    pub usual_life: Duration,
    /// Maximum fraction of `demand_life` that the copies may take.
    pub copying_fraction_max: f64,
}

impl CopyCost {
    /// The cost for a group with `experts` experts, summed over its layers, of whose slots for requests
    /// the fraction `occupancy` is in use: bytes are dearer while few requests gain from shorter steps.
    pub fn new(
        copy_time: Duration,
        switch_time: Duration,
        experts: usize,
        occupancy: f64,
        forecast: &Forecast,
        now: Instant,
    ) -> Self {
        Self {
            copy_time,
            switch_time,
            demand_life: forecast.remaining_life(now),
            slowdown: COPY_SLOWDOWN,
            price: COPY_ALL_PRICE_SECONDS
                / experts.max(1) as f64
                / occupancy.max(f64::MIN_POSITIVE),
            switch_price: SWITCH_PRICE_SECONDS,
            optimism: forecast.optimism(),
            rise: forecast.rise(),
            usual_life: forecast.life(),
            copying_fraction_max: COPYING_FRACTION_MAX,
        }
    }

    /// Limits on the copies of a rank to compare, the smaller first: the largest one whose copies take a
    /// small part of the life of demand, and half of it if that would shorten the switch noticeably.
    pub fn copy_limits(&self, limit_max: usize) -> Vec<usize> {
        let seconds = |limit: usize| self.copy_time.as_secs_f64() * limit as f64;
        let mut limit = limit_max.max(1);
        while limit > 1
            && seconds(limit) > self.demand_life.as_secs_f64() * self.copying_fraction_max
        {
            limit = limit.div_ceil(2);
        }
        let noticeable = self.switch_time.as_secs_f64() * NOTICEABLE_FRACTION;
        match limit > 1 && seconds(limit) > noticeable {
            true => vec![limit.div_ceil(2), limit],
            false => vec![limit],
        }
    }

    /// What any plan can save at most if the active map has this skew, in seconds of mean step time.
    pub fn saved_seconds_max(&self, skew: f64) -> f64 {
        (skew - 1.0 - self.optimism) * self.time_in_force(1) - self.switch_price
    }

    /// Seconds for which a map is expected to be of use if each rank copies `copies` experts for it.
    pub fn time_in_force(&self, copies: usize) -> f64 {
        let life = self.demand_life.as_secs_f64() - self.switch_time.as_secs_f64();
        life - self.copy_time.as_secs_f64() * copies as f64
    }

    /// What a plan is expected to save, in seconds of mean step time.
    pub fn saved_seconds(&self, plan: &Plan, copies: u64) -> f64 {
        let copying = self.copy_time.as_secs_f64() * plan.copies_of_busiest_rank as f64;
        let gain = plan.skew.0 - plan.skew.1 - self.optimism;
        let saved = gain * self.time_in_force(plan.copies_of_busiest_rank as usize);
        // If demand changes during the switch, the next plan waits for half of it on average.
        let switching = copying + self.switch_time.as_secs_f64();
        let delay = switching * switching / 2.0 / self.usual_life.as_secs_f64().max(switching);
        saved
            - self.switch_price
            - self.slowdown * plan.skew.0 * copying
            - self.rise * delay
            - self.price * copies as f64
    }
}
