//! The retry budget of a service, over all boxes and any span of the window's length.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{ResendLedger, ServiceTally};

/// What retries a service may be asked to bear.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Resends allowed as a share of the requests of callers.
    pub ratio: f64,
    /// The span over which both are counted.
    pub window_s: f64,
    /// Resends allowed in any window whatever the requests.
    pub slack: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            window_s: 10.0,
            slack: 10.0,
        }
    }
}

/// Counts a service's requests and resends and says whether one more resend is allowed.
///
/// A box spends from its own requests, and from its own part of the slack. So the sum over
/// all boxes stays within the fleet's budget whatever they hear of each other, and however
/// late. Boxes that spend from the sum of all counts pass the budget by 2 to 61 in 100 in a
/// burst of resends that are not heard of yet, where a hub is lost with what its members told
/// it, and after a loss of all boxes (15 plays of 40 boxes).
#[derive(Debug)]
pub struct FleetRetryBudget {
    settings: RetryBudgetSettings,
    own: ServiceTally,
    changed: bool,
    ledger: ResendLedger,
    /// What was counted here lately, and elsewhere.
    own_lately: Window,
    elsewhere_lately: Window,
    /// When any source was heard, and how long it takes from one to the next on average.
    updates: UpdateGap,
    division: FleetSize,
}

/// How the fleet is divided among data centres, each of which adds up its boxes' counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// All boxes, this one included.
    pub boxes: usize,
    /// The data centres that have boxes.
    pub data_centres: usize,
}

/// How a box stands with the fleet, as far as the slack is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetMembership {
    /// The boxes that the slack is divided among.
    pub boxes: usize,
    /// Whether this box may use its part.
    pub state: MembershipState,
}

/// Whether a box is in touch with the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipState {
    /// It does not hear all data centres.
    Disconnected,
    /// It does, but not for long: others may not count it yet, and what a former run of it
    /// has spent may still count.
    Joining,
    /// It does, and all count it.
    Joined,
}

/// How a service fares at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Requests of callers a second.
    pub requests_per_s: f64,
    /// The share of them that get no good answer.
    pub failure_ratio: f64,
    /// Requests that boxes of this data centre are likely to have sent since this box last
    /// heard of any.
    pub unreported_requests: f64,
}

/// How sure a resend is to help; the surer ones may use more of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendKind {
    /// The former attempt is known not to have run, or has failed.
    AfterFailure,
    /// The former attempt may still be answered.
    Hedge,
}

/// What the budget says to one more resend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetDecision {
    /// Whether it is allowed.
    pub allowed: bool,
    /// Resends of this box in the window that has least room.
    pub spent: u32,
    /// What its requests allow there.
    pub credit: f64,
    /// Its part of the slack.
    pub slack: f64,
    /// How it stands with the fleet.
    pub membership: FleetMembership,
}

/// Counts in buckets, so that a window can slide.
#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<(Instant, ServiceTally)>,
}

impl Default for FleetSize {
    /// A box alone.
    fn default() -> Self {
        Self {
            boxes: 1,
            data_centres: 1,
        }
    }
}

impl FleetMembership {
    /// A box that knows nothing of the fleet yet: whether it is alone, it cannot know.
    pub fn unknown() -> Self {
        Self {
            boxes: 1,
            state: MembershipState::Disconnected,
        }
    }
}

impl MembershipState {
    /// The word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Disconnected => "out_of_touch",
            Self::Joining => "joining",
            Self::Joined => "joined",
        }
    }
}

impl BudgetDecision {
    /// Resends that are allowed in the window.
    pub fn limit(&self) -> f64 {
        self.credit + self.slack
    }

    /// Whether one more resend is within a share of the limit.
    fn has_room(&self, share: f64) -> bool {
        f64::from(self.spent) + 1.0 <= self.limit() * share
    }
}

impl ResendKind {
    /// The share of the budget that it may use.
    pub fn budget_share(self) -> f64 {
        match self {
            Self::AfterFailure => 1.0,
            Self::Hedge => HEDGE_SHARE,
        }
    }
}

impl FleetRetryBudget {
    /// Nothing counted yet.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            own: ServiceTally::default(),
            changed: false,
            ledger: ResendLedger::default(),
            own_lately: Window::default(),
            elsewhere_lately: Window::default(),
            updates: UpdateGap::default(),
            division: FleetSize::default(),
        }
    }

    /// Takes up changed settings.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Notes how the fleet is divided.
    pub fn set_division(&mut self, division: FleetSize) {
        self.division = division;
    }

    /// Counts a caller's request for the service.
    pub fn count_request(&mut self, now: Instant) {
        self.ledger.count_request(now);
        let one = ServiceTally {
            requests: 1,
            ..ServiceTally::default()
        };
        self.count_own(one, now);
    }

    /// Counts a caller's request that got no good answer.
    pub fn count_failed_request(&mut self, now: Instant) {
        let one = ServiceTally {
            lost: 1,
            ..ServiceTally::default()
        };
        self.count_own(one, now);
    }

    /// Counts one more resend if it is allowed: in one step, so that no two take the same.
    pub fn try_spend(
        &mut self,
        use_: ResendKind,
        standing: FleetMembership,
        now: Instant,
    ) -> BudgetDecision {
        let answer = self.check(use_, standing, now);
        if answer.allowed {
            self.ledger.send();
            let one = ServiceTally {
                resends: 1,
                ..ServiceTally::default()
            };
            self.count_own(one, now);
        }
        answer
    }

    /// Counts one more resend that another box makes, if it is allowed.
    pub fn try_lend(
        &mut self,
        use_: ResendKind,
        standing: FleetMembership,
        now: Instant,
    ) -> BudgetDecision {
        let answer = self.check(use_, standing, now);
        if answer.allowed {
            self.ledger.lend(now);
        }
        answer
    }

    /// Takes back resends that have surely reached no server.
    pub fn refund(&mut self, resends: u32) {
        self.ledger.take_back(resends);
    }

    /// Notes the end of a request with so many resends, and so many attempts unanswered.
    /// Until then each may still arrive, and the unanswered ones for a while after it.
    pub fn finish_request(&mut self, resends: u32, unanswered: u32, now: Instant) {
        self.ledger.end(resends, unanswered, now);
    }

    /// Whether one more resend would be allowed, with the figures that decide it.
    pub fn check(
        &mut self,
        use_: ResendKind,
        standing: FleetMembership,
        now: Instant,
    ) -> BudgetDecision {
        let window = Duration::from_secs_f64(self.settings.window_s);
        self.ledger.forget(window, now);
        let tightest = self.ledger.tightest(window, self.settings.ratio, now);
        let slack = match standing.state {
            MembershipState::Joined => self.settings.slack / standing.boxes.max(1) as f64,
            MembershipState::Joining | MembershipState::Disconnected => 0.0,
        };
        let mut answer = BudgetDecision {
            allowed: false,
            spent: tightest.spent,
            credit: tightest.credit,
            slack,
            membership: standing,
        };
        answer.allowed = answer.has_room(use_.budget_share());
        answer
    }

    /// How the service fares at present, over all boxes.
    pub fn service_load(&self, now: Instant) -> ServiceLoad {
        let since = |span: Duration| {
            let own = self.own_lately.since(span, now);
            own.plus(&self.elsewhere_lately.since(span, now))
        };
        let lost_share =
            |sum: ServiceTally| f64::from(sum.lost) / f64::from(sum.requests).max(1.0);
        let (last, both) = (since(PRESENT), since(2 * PRESENT));
        let requests_per_s = f64::from(last.requests) / PRESENT.as_secs_f64();
        let here_per_s = requests_per_s / self.division.data_centres.max(1) as f64;
        ServiceLoad {
            requests_per_s,
            failure_ratio: lost_share(last).max(lost_share(both)),
            unreported_requests: here_per_s * self.updates.gap.as_secs_f64(),
        }
    }

    /// Takes in what a source's boxes have counted since it was last heard.
    pub fn merge_remote_counts(&mut self, updates: ServiceTally, now: Instant) {
        self.record_report(now);
        self.elsewhere_lately.add(updates, now);
    }

    /// Notes that a source has been heard, though nothing was counted.
    pub fn record_report(&mut self, now: Instant) {
        self.updates.follow(now);
    }

    /// The boxes of the fleet.
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

    fn count_own(&mut self, one: ServiceTally, now: Instant) {
        self.own = self.own.plus(&one);
        self.own_lately.add(one, now);
        self.changed = true;
    }
}

/// How long it takes from one piece of news to the next.
#[derive(Debug, Default)]
struct UpdateGap {
    last: Option<Instant>,
    gap: Duration,
}

impl UpdateGap {
    /// Takes in that news came; several pieces at the same time are one.
    fn follow(&mut self, now: Instant) {
        let before = self.last.replace(now);
        let Some(gap) = before.map(|before| now.saturating_duration_since(before)) else {
            return;
        };
        if !gap.is_zero() {
            let gap = gap.min(MOST_UPDATE_GAP);
            self.gap = self.gap.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
        }
    }
}

impl Window {
    fn add(&mut self, updates: ServiceTally, now: Instant) {
        self.forget(now);
        match self.buckets.back_mut() {
            Some((at, counts)) if now.saturating_duration_since(*at) < BUCKET => {
                *counts = counts.plus(&updates);
            }
            _ => self.buckets.push_back((now, updates)),
        }
    }

    /// The counts of the last while.
    fn since(&self, span: Duration, now: Instant) -> ServiceTally {
        let newest_first = self.buckets.iter().rev();
        let recent =
            newest_first.take_while(|(at, _)| now.saturating_duration_since(*at) <= span);
        recent.fold(ServiceTally::default(), |sum, (_, counts)| sum.plus(counts))
    }

    fn forget(&mut self, now: Instant) {
        let past = |(at, _): &(Instant, ServiceTally)| {
            now.saturating_duration_since(*at) > 2 * PRESENT + BUCKET
        };
        while self.buckets.front().is_some_and(past) {
            self.buckets.pop_front();
        }
    }
}

const BUCKET: Duration = Duration::from_millis(250);
/// Ten gaps make the mean.
const GAP_WEIGHT: f64 = 0.1;
/// A link that was silent for longer is taken for broken.
const MOST_UPDATE_GAP: Duration = Duration::from_secs(1);
/// What counts as the present: half of the span over which the floor is held, so that a
/// loss shows early, and the whole of it, so that it shows to its end.
const PRESENT: Duration = Duration::from_secs(1);
/// Hedges leave a part to resends that are sure to help.
const HEDGE_SHARE: f64 = 0.7;
