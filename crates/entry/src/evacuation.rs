//! The data centres whose servers get no requests, according to the configuration in force.

use std::collections::BTreeSet;

use eelgrassdyke_core::config::Document;
use eelgrassdyke_core::event::{Code, Event};
use eelgrassdyke_core::id::{DataCentre, Version};

/// The evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    data_centres: BTreeSet<DataCentre>,
}

impl Evacuation {
    /// The evacuated data centres of a configuration.
    pub fn new(document: &Document) -> Self {
        let data_centres = document.data_centres.iter();
        let evacuated = data_centres.filter(|(_, spec)| spec.evacuated);
        Self {
            data_centres: evacuated.map(|(name, _)| name.clone()).collect(),
        }
    }

    /// Whether the servers of a data centre get no requests.
    pub fn covers(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// One event for each evacuation that has begun or ended after `earlier`.
    pub fn changes_since(&self, earlier: &Self, version: Version) -> Vec<Event> {
        let begun = self.data_centres.difference(&earlier.data_centres);
        let ended = earlier.data_centres.difference(&self.data_centres);
        let begun = begun.map(|name| (Code::EvacuationBegun, name));
        let ended = ended.map(|name| (Code::EvacuationEnded, name));
        let events = begun.chain(ended).map(|(code, name)| {
            Event::new(code, "")
                .with_fact("data_centre", name.as_str())
                .with_fact("config_version", version.0)
        });
        events.collect()
    }
}
