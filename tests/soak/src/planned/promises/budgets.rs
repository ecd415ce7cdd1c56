//! Checks the retry budget of each service in every window.

use std::collections::HashMap;
use std::time::Instant;

use super::{Checks, Finding};
use crate::budget::WindowUse;
use crate::planned::operator::SERVICES;
use crate::planned::record::{Arrival, BoxIndex, Call, ServiceIndex};

impl Checks<'_> {
    /// Checks that the resends of each service stay within its budget in every window.
    pub(super) fn check_budgets(&mut self) {
        let record = self.record;
        for service in 0..SERVICES.len() {
            let requests = self.requests_of(service);
            let resends = self.resends_of(service);
            let fullest = record.budget.fullest(&requests, &resends, &COUNTED_BEFORE);
            let Some(fullest) = fullest else { continue };
            let max_share = self
                .margins
                .budget
                .map_or(0.0, |(_, max_share)| max_share.share());
            if fullest.share() > max_share {
                self.margins.budget = Some((service, fullest));
            }
            if fullest.share() > 1.0 {
                self.report_budget(service, &fullest);
            }
        }
    }

    fn requests_of(&self, service: ServiceIndex) -> Vec<Instant> {
        let record = self.record;
        let is_for = |call: &&Call| match self.arrivals_of(call).first() {
            Some(first) => first.service == service,
            None => {
                let version = &record.versions[record.newest_acknowledged(call.began)];
                version.services[call.route].contains(&service)
            }
        };
        let requests = record.calls.iter().filter(is_for);
        let mut began: Vec<Instant> = requests.map(|call| call.began).collect();
        began.sort();
        began
    }

    fn resends_of(&self, service: ServiceIndex) -> Vec<Instant> {
        let resends = self.arrivals.values().flat_map(|arrivals| &arrivals[1..]);
        let mut at: Vec<Instant> = resends
            .filter(|arrival| arrival.service == service)
            .map(|arrival| arrival.at)
            .collect();
        at.sort();
        at
    }

    fn report_budget(&mut self, service: ServiceIndex, used: &WindowUse) {
        let record = self.record;
        let (from, to) = (used.from, used.from + record.budget.window);
        let text = format!(
            "service {}: {} resends in the window from {:.3} s, for {} requests, \
             allowed {:.1}",
            SERVICES[service],
            used.spent,
            record.seconds(from),
            used.requests,
            used.allowed,
        );
        let resends = self.arrivals.iter().filter_map(|(id, arrivals)| {
            let resends = arrivals[1..].iter();
            let in_window =
                |a: &&&Arrival| a.service == service && a.at >= from && a.at <= to;
            let resends: Vec<_> = resends.filter(in_window).collect();
            (!resends.is_empty()).then_some((*id, resends))
        });
        let boxes: HashMap<&str, BoxIndex> = record
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call.box_index))
            .collect();
        let mut timeline: Vec<(Instant, String)> = resends
            .flat_map(|(id, arrivals)| {
                let box_index = boxes.get(id).copied().unwrap_or_default();
                arrivals.into_iter().map(move |arrival| {
                    let instance = &arrival.instance;
                    (
                        arrival.at,
                        format!("{id} from box-{box_index} again at {instance}"),
                    )
                })
            })
            .collect();
        let started =
            record
                .instances
                .iter()
                .enumerate()
                .flat_map(|(number, instances)| {
                    let started = instances.iter().filter(|instance| {
                        instance.started >= from - record.budget.window
                    });
                    started.map(move |instance| {
                        (instance.started, format!("box-{number} is started"))
                    })
                });
        timeline.extend(started.filter(|(at, _)| *at <= to));
        timeline.sort();
        let timeline = timeline.into_iter();
        let timeline =
            timeline.map(|(at, line)| format!("{:.3} s {line}", record.seconds(at)));
        self.findings.push(Finding {
            promise: "budget",
            text,
            timeline: timeline.collect(),
        });
    }
}

/// Requests are counted in the window itself, half a window before it and a window before
/// it, and the greatest count is used. In window lengths.
const COUNTED_BEFORE: [f64; 3] = [0.0, 0.5, 1.0];
