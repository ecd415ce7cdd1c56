//! The retry budget of a service, over all boxes and any span of the window's length.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{ServiceTally, SourceId};

/// What retries a service may be asked to bear.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// Resends allowed as a share of the requests of callers.
    pub ratio: f64,
    /// The span over which both are counted.
    pub window_ms: u64,
    /// Resends allowed in any window whatever the requests.
    pub slack: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            window_ms: 10_000,
            slack: 10.0,
        }
    }
}

/// Counts a service's requests and resends and says whether one more resend is allowed.
#[derive(Debug)]
pub struct FleetBudget {
    settings: BudgetSettings,
    own: ServiceTally,
    changed: bool,
    own_window: Window,
    fleet_window: Window,
    /// When each source was last heard.
    heard: BTreeMap<SourceId, Instant>,
    boxes: usize,
}

/// How sure a resend is to help; the surer ones may use more of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendUse {
    /// The former attempt is known not to have run, or has failed.
    Sure,
    /// The former attempt may still be answered.
    Hedge,
}

/// Counts in buckets, so that a window can slide.
#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<(Instant, ServiceTally)>,
    sum: ServiceTally,
}

impl FleetBudget {
    /// Nothing counted yet.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            own: ServiceTally::default(),
            changed: false,
            own_window: Window::default(),
            fleet_window: Window::default(),
            heard: BTreeMap::new(),
            boxes: 1,
        }
    }

    /// Takes up changed settings.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Notes how many boxes share the budget.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes.max(1);
    }

    /// Counts a caller's request for the service.
    pub fn count_request(&mut self, now: Instant) {
        let one = ServiceTally {
            requests: 1,
            resends: 0,
        };
        self.count_own(one, now);
    }

    /// Counts a resend.
    pub fn count_resend(&mut self, now: Instant) {
        let one = ServiceTally {
            requests: 0,
            resends: 1,
        };
        self.count_own(one, now);
    }

    /// Takes in what a source's boxes have counted since it was last heard.
    pub fn count_remote(&mut self, source: SourceId, news: ServiceTally, now: Instant) {
        self.heard.insert(source, now);
        self.fleet_window.add(news, now);
    }

    /// Notes that a source has been heard, though nothing was counted.
    pub fn note_heard(&mut self, source: SourceId, now: Instant) {
        self.heard.insert(source, now);
    }

    /// Whether one more resend is allowed.
    pub fn allows(&mut self, use_: ResendUse, now: Instant) -> bool {
        let share = match use_ {
            ResendUse::Sure => SURE_SHARE,
            ResendUse::Hedge => HEDGE_SHARE,
        };
        let (spent, limit) = self.standing(now);
        f64::from(spent) + 1.0 <= limit * share
    }

    /// Resends in the window, and those that are allowed there.
    pub fn standing(&mut self, now: Instant) -> (u32, f64) {
        let span = Duration::from_millis(self.settings.window_ms);
        self.own_window.forget(span, now);
        self.fleet_window.forget(span, now);
        if self.is_connected(now) {
            let sum = self.own_window.sum.plus(&self.fleet_window.sum);
            let allowed = self.settings.ratio * f64::from(sum.requests);
            return (sum.resends, allowed + self.settings.slack);
        }
        let own = self.own_window.sum;
        let allowed = self.settings.ratio * f64::from(own.requests);
        (
            own.resends,
            allowed + self.settings.slack / self.boxes as f64,
        )
    }

    /// This box's counts, if they have changed since they were last taken.
    pub fn take_change(&mut self) -> Option<ServiceTally> {
        std::mem::take(&mut self.changed).then_some(self.own)
    }

    /// This box's counts.
    pub fn own(&self) -> ServiceTally {
        self.own
    }

    fn count_own(&mut self, one: ServiceTally, now: Instant) {
        self.own = self.own.plus(&one);
        self.own_window.add(one, now);
        self.changed = true;
    }

    /// Whether the fleet's counts are known well enough to spend by them.
    fn is_connected(&self, now: Instant) -> bool {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < FRESH;
        self.boxes <= 1 || self.heard.values().any(fresh)
    }
}

impl Window {
    fn add(&mut self, news: ServiceTally, now: Instant) {
        self.sum = self.sum.plus(&news);
        match self.buckets.back_mut() {
            Some((at, counts)) if now.saturating_duration_since(*at) < BUCKET => {
                *counts = counts.plus(&news);
            }
            _ => self.buckets.push_back((now, news)),
        }
    }

    fn forget(&mut self, span: Duration, now: Instant) {
        let past = |at: Instant| now.saturating_duration_since(at) > span + BUCKET;
        while let Some((at, counts)) = self.buckets.front()
            && past(*at)
        {
            self.sum = self.sum.since(counts);
            self.buckets.pop_front();
        }
    }
}

/// Counts of other boxes arrive up to this late in the worst ordinary case; older ones mean
/// that this box is cut off.
const FRESH: Duration = Duration::from_millis(1500);
const BUCKET: Duration = Duration::from_millis(250);
/// Other boxes spend from the same budget while their counts are on the way.
const SURE_SHARE: f64 = 0.85;
/// Hedges leave the greater part to resends that are sure to help.
const HEDGE_SHARE: f64 = 0.4;
