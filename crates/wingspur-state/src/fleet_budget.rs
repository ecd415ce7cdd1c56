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
    pub window_s: f64,
    /// Resends allowed in any window whatever the requests.
    pub slack: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            window_s: 10.0,
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
    /// When any was, and how long it takes from one to the next on average.
    news: NewsGap,
    division: FleetDivision,
    /// Since when the counts are whole: others may have spent before.
    whole_since: Instant,
}

/// What was counted so long ago, in milliseconds.
pub type AgedTally = (u32, ServiceTally);

/// What a box knows of the window that is past; for a box that has just come.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetHistory {
    /// For how long the teller has known all counts, in milliseconds.
    pub whole_ms: u32,
    /// The counts.
    pub counts: Vec<AgedTally>,
}

/// How the fleet is divided among data centres, each of which adds up its boxes' counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetDivision {
    /// All boxes, this one included.
    pub boxes: usize,
    /// The data centres that have boxes.
    pub data_centres: usize,
    /// Whether this box adds up the counts of its own data centre.
    pub adds_up_its_own: bool,
}

/// How a service fares at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePresent {
    /// Requests of callers a second.
    pub requests_per_s: f64,
    /// The share of them that get no good answer.
    pub lost_share: f64,
    /// Requests that boxes of this data centre are likely to have sent since this box last
    /// heard of any.
    pub unheard: f64,
}

/// How sure a resend is to help; the surer ones may use more of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendUse {
    /// The former attempt is known not to have run, or has failed.
    Sure,
    /// The former attempt may still be answered.
    Hedge,
}

/// What the budget says to one more resend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetAnswer {
    /// Whether it is allowed.
    pub allowed: bool,
    /// Resends in the window.
    pub spent: u32,
    /// Resends that are allowed there.
    pub limit: f64,
}

impl Default for FleetDivision {
    /// A box alone.
    fn default() -> Self {
        Self {
            boxes: 1,
            data_centres: 1,
            adds_up_its_own: true,
        }
    }
}

/// Counts in buckets, so that a window can slide.
#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<(Instant, ServiceTally)>,
    sum: ServiceTally,
}

impl FleetBudget {
    /// Nothing counted yet.
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        Self {
            settings,
            own: ServiceTally::default(),
            changed: false,
            own_window: Window::default(),
            fleet_window: Window::default(),
            heard: BTreeMap::new(),
            news: NewsGap::default(),
            division: FleetDivision::default(),
            whole_since: now,
        }
    }

    /// Takes up changed settings.
    pub fn set_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Notes among whom the budget is divided.
    pub fn set_division(&mut self, division: FleetDivision) {
        self.division = division;
    }

    /// Counts a caller's request for the service.
    pub fn count_request(&mut self, now: Instant) {
        let one = ServiceTally {
            requests: 1,
            ..ServiceTally::default()
        };
        self.count_own(one, now);
    }

    /// Counts a resend.
    pub fn count_resend(&mut self, now: Instant) {
        let one = ServiceTally {
            resends: 1,
            ..ServiceTally::default()
        };
        self.count_own(one, now);
    }

    /// Counts a caller's request that got no good answer.
    pub fn count_lost(&mut self, now: Instant) {
        let one = ServiceTally {
            lost: 1,
            ..ServiceTally::default()
        };
        self.count_own(one, now);
    }

    /// How the service fares at present, over all boxes.
    pub fn present(&self, now: Instant) -> ServicePresent {
        let since = |span: Duration| {
            let own = self.own_window.since(span, now);
            own.plus(&self.fleet_window.since(span, now))
        };
        let lost_share =
            |sum: ServiceTally| f64::from(sum.lost) / f64::from(sum.requests).max(1.0);
        let (last, both) = (since(PRESENT), since(2 * PRESENT));
        let requests_per_s = f64::from(last.requests) / PRESENT.as_secs_f64();
        let here_per_s = requests_per_s / self.division.data_centres.max(1) as f64;
        ServicePresent {
            requests_per_s,
            lost_share: lost_share(last).max(lost_share(both)),
            unheard: here_per_s * self.news.gap.as_secs_f64(),
        }
    }

    /// Takes in what a source's boxes have counted since it was last heard.
    pub fn count_remote(&mut self, source: SourceId, news: ServiceTally, now: Instant) {
        self.note_heard(source, now);
        self.fleet_window.add(news, now);
    }

    /// Notes that a source has been heard, though nothing was counted.
    pub fn note_heard(&mut self, source: SourceId, now: Instant) {
        self.heard.insert(source, now);
        self.news.follow(now);
    }

    /// What the fleet has counted in the window, for a box that has just come.
    pub fn history(&mut self, now: Instant) -> BudgetHistory {
        self.forget(now);
        let mut counts_by_age: Vec<AgedTally> = Vec::new();
        for (at, counts) in self
            .own_window
            .buckets
            .iter()
            .chain(&self.fleet_window.buckets)
        {
            let age = now.saturating_duration_since(*at).as_secs() as u32 * 1000;
            match counts_by_age.iter_mut().find(|(known, _)| *known == age) {
                Some((_, sum)) => *sum = sum.plus(counts),
                None => counts_by_age.push((age, *counts)),
            }
        }
        let whole = now.saturating_duration_since(self.whole_since);
        BudgetHistory {
            whole_ms: whole.min(self.span()).as_millis() as u32,
            counts: counts_by_age,
        }
    }

    /// Takes over what the fleet has counted before this box came, or while it changed hubs.
    pub fn adopt_history(&mut self, history: &BudgetHistory, now: Instant) {
        if !self.fleet_window.buckets.is_empty() || self.own.requests > 0 {
            return self.catch_up(history, now);
        }
        let ago = |age_ms: u32| {
            let age = Duration::from_millis(u64::from(age_ms));
            now.checked_sub(age).unwrap_or(now)
        };
        let mut counts_by_age = history.counts.clone();
        counts_by_age.sort_by_key(|(age_ms, _)| std::cmp::Reverse(*age_ms));
        for (age_ms, counts) in counts_by_age {
            self.fleet_window.add(counts, ago(age_ms));
        }
        // Nobody knows more than the teller: after a loss of all boxes, all begin anew.
        self.whole_since = self.whole_since.min(ago(history.whole_ms));
    }

    /// Takes over the resends that were counted while no link stood. Requests that were
    /// missed only make the budget smaller.
    fn catch_up(&mut self, history: &BudgetHistory, now: Instant) {
        self.forget(now);
        let told: u32 = history
            .counts
            .iter()
            .map(|(_, counts)| counts.resends)
            .sum();
        let known = self.own_window.sum.resends + self.fleet_window.sum.resends;
        let missed = ServiceTally {
            resends: told.saturating_sub(known),
            ..ServiceTally::default()
        };
        self.fleet_window.add(missed, now);
    }

    /// Whether one more resend is allowed, with the figures that decide it.
    pub fn ask(&mut self, use_: ResendUse, now: Instant) -> BudgetAnswer {
        let allowed = self.allows(use_, now);
        let (spent, limit) = self.standing(now);
        BudgetAnswer {
            allowed,
            spent,
            limit,
        }
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
        self.forget(now);
        let slack = self.settings.slack * self.known_share(now);
        if self.is_connected(now) {
            let sum = self.own_window.sum.plus(&self.fleet_window.sum);
            let allowed = self.settings.ratio * f64::from(sum.requests);
            return (sum.resends, allowed + slack * self.heard_share(now));
        }
        let own = self.own_window.sum;
        let allowed = self.settings.ratio * f64::from(own.requests);
        (
            own.resends,
            allowed + self.settings.slack / self.division.boxes.max(1) as f64,
        )
    }

    /// The boxes among whom the budget is divided.
    pub fn boxes(&self) -> usize {
        self.division.boxes
    }

    /// This box's counts, if they have changed since they were last taken.
    pub fn take_change(&mut self) -> Option<ServiceTally> {
        std::mem::take(&mut self.changed).then_some(self.own)
    }

    /// This box's counts.
    pub fn own(&self) -> ServiceTally {
        self.own
    }

    fn forget(&mut self, now: Instant) {
        let span = self.span();
        self.own_window.forget(span, now);
        self.fleet_window.forget(span, now);
    }

    fn span(&self) -> Duration {
        Duration::from_secs_f64(self.settings.window_s)
    }

    /// The share of the window whose counts are known: what was spent in the rest is not.
    fn known_share(&self, now: Instant) -> f64 {
        let known = now
            .saturating_duration_since(self.whole_since)
            .as_secs_f64();
        (known / self.span().as_secs_f64()).min(1.0)
    }

    fn count_own(&mut self, one: ServiceTally, now: Instant) {
        self.own = self.own.plus(&one);
        self.own_window.add(one, now);
        self.changed = true;
    }

    /// Whether the fleet's counts are known well enough to spend by them.
    fn is_connected(&self, now: Instant) -> bool {
        self.division.boxes <= 1 || self.fresh_sources(now) > 0
    }

    /// The share of the data centres whose counts are known. The others may spend the rest
    /// of the slack unseen: without this, two halves of a fleet that do not hear each other
    /// spend it twice.
    fn heard_share(&self, now: Instant) -> f64 {
        let own = usize::from(self.division.adds_up_its_own);
        let heard = (self.fresh_sources(now) + own) as f64;
        (heard / self.division.data_centres.max(1) as f64).min(1.0)
    }

    fn fresh_sources(&self, now: Instant) -> usize {
        let fresh = |at: &&Instant| now.saturating_duration_since(**at) < FRESH;
        self.heard.values().filter(fresh).count()
    }
}

/// How long it takes from one piece of news to the next.
#[derive(Debug, Default)]
struct NewsGap {
    last: Option<Instant>,
    gap: Duration,
}

impl NewsGap {
    /// Takes in that news came; several pieces at the same time are one.
    fn follow(&mut self, now: Instant) {
        let before = self.last.replace(now);
        let Some(gap) = before.map(|before| now.saturating_duration_since(before)) else {
            return;
        };
        if !gap.is_zero() {
            let gap = gap.min(MOST_NEWS_GAP);
            self.gap = self.gap.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
        }
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

    /// The counts of the last while.
    fn since(&self, span: Duration, now: Instant) -> ServiceTally {
        let newest_first = self.buckets.iter().rev();
        let recent =
            newest_first.take_while(|(at, _)| now.saturating_duration_since(*at) <= span);
        recent.fold(ServiceTally::default(), |sum, (_, counts)| sum.plus(counts))
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
/// Ten gaps make the mean.
const GAP_WEIGHT: f64 = 0.1;
/// A link that was silent for longer is taken for broken.
const MOST_NEWS_GAP: Duration = Duration::from_secs(1);
/// What counts as the present: half of the span over which the floor is held, so that a
/// loss shows early, and the whole of it, so that it shows to its end.
const PRESENT: Duration = Duration::from_secs(1);
/// Other boxes spend from the same budget while their counts are on the way, and boxes that
/// change hubs count some requests twice: up to a tenth more was counted.
const SURE_SHARE: f64 = 0.87;
/// Hedges leave a part to resends that are sure to help.
const HEDGE_SHARE: f64 = 0.7;
