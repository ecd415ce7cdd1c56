//! Checks that configurations are activated on all boxes in time, and that no box goes
//! back to an older one.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Checks;
use crate::planned::record::{BoxIndex, Call};

impl<'a> Checks<'a> {
    /// Checks that a settled box sends each request to a service that a current
    /// configuration allows, or one that was replaced within the bound.
    pub(super) fn check_route(&mut self, call: &'a Call) {
        let record = self.record;
        if !record.is_settled(call.box_index, call.began) {
            return;
        }
        let bound = call.began.checked_sub(CONFIGURATION_BOUND);
        let oldest = bound.map_or(0, |at| record.newest_acknowledged(at));
        let is_outdated = self.arrivals_of(call).iter().any(|arrival| {
            let allowed = record.versions[oldest..].iter();
            let mut allowed = allowed.filter(|version| version.written <= arrival.at);
            !allowed
                .any(|version| version.services[call.route].contains(&arrival.service))
        });
        if is_outdated {
            let number = record.versions[oldest].number;
            let text = format!("was handled by a configuration older than {number}");
            self.report_call(CONFIGURATION, call, &text);
        }
    }

    /// Checks that versions never go back within an instance of a box, and that each is
    /// activated in time.
    pub(super) fn check_versions(&mut self) {
        let record = self.record;
        let mut newest: HashMap<(BoxIndex, usize), u64> = HashMap::new();
        for reading in &record.readings {
            let (index, requested_at) = (reading.box_index, reading.requested_at);
            let instance_before = record
                .instance_at(index, requested_at)
                .map(|(instance, _)| instance);
            let instance_after = record
                .instance_at(index, reading.received_at)
                .map(|(instance, _)| instance);
            let Some(instance) =
                instance_before.filter(|_| instance_before == instance_after)
            else {
                continue;
            };
            let known = newest.entry((index, instance)).or_default();
            if reading.version < *known {
                let text =
                    format!("box-{index} went from {known} to {}", reading.version);
                self.report_at("versions", requested_at, text);
            }
            let known = newest.entry((index, instance)).or_default();
            *known = reading.version.max(*known);
            if record.is_settled(index, reading.received_at) {
                self.check_configuration_lag(index, requested_at, reading.version);
            }
        }
    }

    fn check_configuration_lag(
        &mut self,
        index: BoxIndex,
        requested_at: Instant,
        version: u64,
    ) {
        let newer = self
            .record
            .versions
            .iter()
            .find(|newer| newer.number > version);
        let Some(newer) = newer.filter(|newer| newer.acknowledged < requested_at) else {
            return;
        };
        let configuration_lag = requested_at - newer.acknowledged;
        self.margins.configuration_lag =
            self.margins.configuration_lag.max(configuration_lag);
        if configuration_lag > CONFIGURATION_BOUND {
            let (number, ms) = (newer.number, configuration_lag.as_millis());
            let text =
                format!("box-{index} has {version}, {ms} ms after {number} was taken");
            self.report_at(CONFIGURATION, requested_at, text);
        }
    }
}

const CONFIGURATION: &str = "configuration";
/// Time within which a configuration must be active on all boxes; the users set the
/// bound.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
