//! Configurations: in force everywhere in time, and never an older one again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Checks;
use crate::planned::record::{BoxIndex, Call};

impl<'a> Checks<'a> {
    /// A box in touch handles no request as only a configuration of long ago allows.
    pub(super) fn check_route(&mut self, call: &'a Call) {
        let record = self.record;
        if !record.in_touch(call.box_index, call.began) {
            return;
        }
        let bound = call.began.checked_sub(CONFIGURATION_BOUND);
        let oldest = bound.map_or(0, |at| record.newest_taken(at));
        let wrong = self.arrivals_of(call).iter().any(|arrival| {
            let may_hold = record.versions[oldest..].iter();
            let mut may_hold = may_hold.filter(|version| version.written <= arrival.at);
            !may_hold
                .any(|version| version.services[call.route].contains(&arrival.service))
        });
        if wrong {
            let number = record.versions[oldest].number;
            let text = format!("was handled by a configuration older than {number}");
            self.find_call(CONFIGURATION, call, &text);
        }
    }

    /// Versions never go back within a life, and each is in force in time.
    pub(super) fn check_versions(&mut self) {
        let record = self.record;
        let mut newest: HashMap<(BoxIndex, usize), u64> = HashMap::new();
        for reading in &record.readings {
            let (index, asked) = (reading.box_index, reading.asked);
            let before = record.life_at(index, asked).map(|(life, _)| life);
            let after = record.life_at(index, reading.told).map(|(life, _)| life);
            let Some(life) = before.filter(|_| before == after) else {
                continue;
            };
            let known = newest.entry((index, life)).or_default();
            if reading.version < *known {
                let text =
                    format!("box-{index} went from {known} to {}", reading.version);
                self.find_at("versions", asked, text);
            }
            let known = newest.entry((index, life)).or_default();
            *known = reading.version.max(*known);
            if record.in_touch(index, reading.told) {
                self.check_behind(index, asked, reading.version);
            }
        }
    }

    fn check_behind(&mut self, index: BoxIndex, asked: Instant, version: u64) {
        let newer = self
            .record
            .versions
            .iter()
            .find(|newer| newer.number > version);
        let Some(newer) = newer.filter(|newer| newer.taken < asked) else {
            return;
        };
        let behind = asked - newer.taken;
        self.margins.behind = self.margins.behind.max(behind);
        if behind > CONFIGURATION_BOUND {
            let (number, ms) = (newer.number, behind.as_millis());
            let text =
                format!("box-{index} has {version}, {ms} ms after {number} was taken");
            self.find_at(CONFIGURATION, asked, text);
        }
    }
}

const CONFIGURATION: &str = "configuration";
/// In force everywhere after this: the users' bound.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
