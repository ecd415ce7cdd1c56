//! The retry budget of each service, in every window.

use std::collections::HashMap;
use std::time::Instant;

use super::{Checks, Finding};
use crate::budget::WindowUse;
use crate::planned::operator::SERVICES;
use crate::planned::record::{Arrival, BoxIndex, Call, ServiceIndex};

impl Checks<'_> {
    /// The resends of each service stay within its budget in every window.
    pub(super) fn check_budgets(&mut self) {
        let record = self.record;
        for service in 0..SERVICES.len() {
            let requests = self.requests_of(service);
            let resends = self.resends_of(service);
            let fullest = record.budget.fullest(&requests, &resends, &COUNTED_BEFORE);
            let Some(fullest) = fullest else { continue };
            let most = self.margins.budget.map_or(0.0, |(_, most)| most.share());
            if fullest.share() > most {
                self.margins.budget = Some((service, fullest));
            }
            if fullest.share() > 1.0 {
                self.find_budget(service, &fullest);
            }
        }
    }

    fn requests_of(&self, service: ServiceIndex) -> Vec<Instant> {
        let record = self.record;
        let is_for = |call: &&Call| match self.arrivals_of(call).first() {
            Some(first) => first.service == service,
            None => {
                let version = &record.versions[record.newest_taken(call.began)];
                version.services[call.route].contains(&service)
            }
        };
        let requests = record.calls.iter().filter(is_for);
        let mut began: Vec<Instant> = requests.map(|call| call.began).collect();
        began.sort();
        began
    }

    fn resends_of(&self, service: ServiceIndex) -> Vec<Instant> {
        let beyond_first = self.arrivals.values().flat_map(|arrivals| &arrivals[1..]);
        let mut at: Vec<Instant> = beyond_first
            .filter(|arrival| arrival.service == service)
            .map(|arrival| arrival.at)
            .collect();
        at.sort();
        at
    }

    fn find_budget(&mut self, service: ServiceIndex, used: &WindowUse) {
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
        let beyond = self.arrivals.iter().filter_map(|(id, arrivals)| {
            let beyond = arrivals[1..].iter();
            let in_window =
                |a: &&&Arrival| a.service == service && a.at >= from && a.at <= to;
            let beyond: Vec<_> = beyond.filter(in_window).collect();
            (!beyond.is_empty()).then_some((*id, beyond))
        });
        let boxes: HashMap<&str, BoxIndex> = record
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call.box_index))
            .collect();
        let mut story: Vec<(Instant, String)> = beyond
            .flat_map(|(id, arrivals)| {
                let asked = boxes.get(id).copied().unwrap_or_default();
                arrivals.into_iter().map(move |arrival| {
                    let run = &arrival.run;
                    (arrival.at, format!("{id} from box-{asked} again at {run}"))
                })
            })
            .collect();
        let started = record.lives.iter().enumerate().flat_map(|(number, lives)| {
            let started = lives
                .iter()
                .filter(|life| life.started >= from - record.budget.window);
            started.map(move |life| (life.started, format!("box-{number} is started")))
        });
        story.extend(started.filter(|(at, _)| *at <= to));
        story.sort();
        let story = story.into_iter();
        let story = story.map(|(at, line)| format!("{:.3} s {line}", record.seconds(at)));
        self.findings.push(Finding {
            promise: "budget",
            text,
            story: story.collect(),
        });
    }
}

/// Requests count in the window itself, or half a window or a window before it.
const COUNTED_BEFORE: [f64; 3] = [0.0, 0.5, 1.0];
