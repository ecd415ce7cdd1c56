//! The retry budget of a service, over all boxes and over any time window of the
//! configured length.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{ResendLedger, ServiceTally, URGENCY_LEVELS, UrgencyCounts, UrgencyLevel};

/// Limits on the resends that a service may receive.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Resends allowed per request of a caller, as a ratio.
    pub ratio: f64,
    /// The length of the window over which both are counted, in seconds.
    pub window_s: f64,
    /// Resends allowed in any window on top of the ratio, over all boxes.
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

/// Counts a service's requests and resends and decides whether one more resend is
/// allowed.
///
/// A box spends from its own requests and from its own share of the slack. The sum over
/// all boxes therefore stays within the fleet's budget, whatever the boxes know of each
/// other and however late they know it. If each box spent from the sum of all counts, a
/// fleet of 40 boxes would exceed the budget by 2 to 61 percent: in a burst of resends
/// that have not been reported yet, when a hub is lost with the counts that its members
/// sent it, and after a loss of all boxes.
#[derive(Debug)]
pub struct FleetRetryBudget {
    settings: RetryBudgetSettings,
    own: ServiceTally,
    changed: bool,
    ledger: ResendLedger,
    /// Recent counts of this box, and below those of the other boxes.
    recent_own: Window,
    recent_remote: Window,
    /// When the last report of any source arrived, and the mean interval between reports.
    report_interval: ReportInterval,
    fleet_size: FleetSize,
}

/// The size of the fleet and the number of data centres, each of which sums up the counts
/// of its boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// All boxes, including this one.
    pub boxes: usize,
    /// The data centres that have boxes.
    pub data_centres: usize,
}

/// A box's membership in the fleet, as far as the slack is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetMembership {
    /// The number of boxes that the slack is divided among.
    pub boxes: usize,
    /// Whether this box may use its share of the slack.
    pub state: MembershipState,
}

/// Whether a box is connected to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipState {
    /// The box does not receive reports from all data centres.
    Disconnected,
    /// The box receives reports from all data centres, but only for a short time: other
    /// boxes may not count it yet, and what an earlier instance of it spent may still
    /// count.
    Joining,
    /// The box receives reports from all data centres, and all boxes count it.
    Joined,
}

/// The current load of a service, over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Requests of callers per second.
    pub requests_per_s: f64,
    /// The fraction of them that get no good response.
    pub failure_ratio: f64,
    /// Requests that the boxes of this data centre have probably sent since the last
    /// report, estimated from the mean rate of a data centre and the mean interval
    /// between reports.
    pub unreported_requests: f64,
}

/// How certain a resend is to help; the more certain kind may use more of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResendKind {
    /// The previous attempt is known not to have run, or has failed.
    AfterFailure,
    /// The previous attempt may still get a response.
    Hedge,
}

/// Whether the budget allows one more resend, with the figures behind the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetDecision {
    /// Whether the resend is allowed.
    pub allowed: bool,
    /// Resends of this box in the window that has the least budget left.
    pub spent: u32,
    /// Resends that this box's requests allow in that window.
    pub credit: f64,
    /// This box's share of the slack, in resends; 0 unless it has joined the fleet.
    pub slack: f64,
    /// The box's membership in the fleet at the decision.
    pub membership: FleetMembership,
}

/// Counts in buckets by time, so that they can be summed over a sliding window.
#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<(Instant, ServiceTally)>,
}

impl Default for FleetSize {
    /// A fleet of a single box.
    fn default() -> Self {
        Self {
            boxes: 1,
            data_centres: 1,
        }
    }
}

impl FleetMembership {
    /// A box that has no information on the fleet yet: it cannot know whether it is the
    /// only one.
    pub fn unknown() -> Self {
        Self {
            boxes: 1,
            state: MembershipState::Disconnected,
        }
    }
}

impl MembershipState {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Disconnected => "out_of_touch",
            Self::Joining => "joining",
            Self::Joined => "joined",
        }
    }
}

impl BudgetDecision {
    /// Returns the resends that are allowed in the window.
    pub fn limit(&self) -> f64 {
        self.credit + self.slack
    }

    /// Returns whether one more resend stays within the given fraction of the limit.
    fn has_room(&self, share: f64) -> bool {
        f64::from(self.spent) + 1.0 <= self.limit() * share
    }
}

impl ResendKind {
    /// Returns the fraction of the budget that this kind of resend may use.
    pub fn budget_share(self) -> f64 {
        match self {
            Self::AfterFailure => 1.0,
            Self::Hedge => HEDGE_BUDGET_SHARE,
        }
    }
}

impl FleetRetryBudget {
    /// Creates a budget with nothing counted yet.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            own: ServiceTally::default(),
            changed: false,
            ledger: ResendLedger::default(),
            recent_own: Window::default(),
            recent_remote: Window::default(),
            report_interval: ReportInterval::default(),
            fleet_size: FleetSize::default(),
        }
    }

    /// Applies changed settings.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Returns the settings.
    pub fn settings(&self) -> RetryBudgetSettings {
        self.settings
    }

    /// Records the current size of the fleet.
    pub fn set_fleet_size(&mut self, fleet_size: FleetSize) {
        self.fleet_size = fleet_size;
    }

    /// Counts a caller's request to the service, of the most urgent level.
    pub fn count_request(&mut self, now: Instant) {
        self.count_request_of(UrgencyCounts::default(), now);
    }

    /// Counts a caller's request to the service, with its count by urgency.
    pub fn count_request_of(&mut self, by_urgency: UrgencyCounts, now: Instant) {
        self.ledger.count_request(now);
        let increment = ServiceTally {
            requests: 1,
            by_urgency,
            ..ServiceTally::default()
        };
        self.count_own(increment, now);
    }

    /// Counts a caller's request that got no good response.
    pub fn count_failed_request(&mut self, now: Instant) {
        let increment = ServiceTally {
            lost: 1,
            ..ServiceTally::default()
        };
        self.count_own(increment, now);
    }

    /// Checks whether one more resend is allowed and, if so, counts it. Both happen in
    /// one step, so that two requests cannot use the same unit of the budget.
    pub fn try_spend(
        &mut self,
        kind: ResendKind,
        membership: FleetMembership,
        now: Instant,
    ) -> BudgetDecision {
        let decision = self.check(kind, membership, now);
        if decision.allowed {
            self.ledger.count_resend();
            let increment = ServiceTally {
                resends: 1,
                ..ServiceTally::default()
            };
            self.count_own(increment, now);
        }
        decision
    }

    /// Checks whether one more resend is allowed and, if so, counts it for another box
    /// that makes it.
    pub fn try_lend(
        &mut self,
        kind: ResendKind,
        membership: FleetMembership,
        now: Instant,
    ) -> BudgetDecision {
        let decision = self.check(kind, membership, now);
        if decision.allowed {
            self.ledger.count_leased_resend(now);
        }
        decision
    }

    /// Refunds resends that certainly reached no server.
    pub fn refund(&mut self, resends: u32) {
        self.ledger.refund(resends);
    }

    /// Records the end of a request that had `resends` resends, and `unanswered` attempts
    /// without a response. Until then each resend may still arrive at its server; after
    /// it, the unanswered ones may for up to `MAX_RESEND_TRANSIT`.
    pub fn finish_request(&mut self, resends: u32, unanswered: u32, now: Instant) {
        self.ledger.finish_request(resends, unanswered, now);
    }

    /// Returns whether one more resend would be allowed, with the figures behind the
    /// decision. Counts nothing as spent.
    pub fn check(
        &mut self,
        kind: ResendKind,
        membership: FleetMembership,
        now: Instant,
    ) -> BudgetDecision {
        let window = Duration::from_secs_f64(self.settings.window_s);
        self.ledger.evict_expired(window, now);
        let tightest = self.ledger.tightest(window, self.settings.ratio, now);
        let slack = match membership.state {
            MembershipState::Joined => {
                self.settings.slack / membership.boxes.max(1) as f64
            }
            MembershipState::Joining | MembershipState::Disconnected => 0.0,
        };
        let mut decision = BudgetDecision {
            allowed: false,
            spent: tightest.spent,
            credit: tightest.credit,
            slack,
            membership,
        };
        decision.allowed = decision.has_room(kind.budget_share());
        decision
    }

    /// Returns the current load of the service, over all boxes.
    pub fn service_load(&self, now: Instant) -> ServiceLoad {
        let since = |span: Duration| {
            let own = self.recent_own.since(span, now);
            own.plus(&self.recent_remote.since(span, now))
        };
        let failure_ratio =
            |sum: ServiceTally| f64::from(sum.lost) / f64::from(sum.requests).max(1.0);
        let (last, last_two) = (since(LOAD_WINDOW), since(2 * LOAD_WINDOW));
        let requests_per_s = f64::from(last.requests) / LOAD_WINDOW.as_secs_f64();
        let data_centre_per_s =
            requests_per_s / self.fleet_size.data_centres.max(1) as f64;
        ServiceLoad {
            requests_per_s,
            failure_ratio: failure_ratio(last).max(failure_ratio(last_two)),
            unreported_requests: data_centre_per_s
                * self.report_interval.mean.as_secs_f64(),
        }
    }

    /// Returns the requests per second of each urgency level, over all boxes and without
    /// those that their account's limit refused.
    pub fn load_by_urgency(&self, now: Instant) -> [f64; URGENCY_LEVELS] {
        let own = self.recent_own.rates_by_urgency(LOAD_WINDOW, now);
        let remote = self.recent_remote.rates_by_urgency(LOAD_WINDOW, now);
        std::array::from_fn(|level| own[level] + remote[level])
    }

    /// Returns the requests per second of each urgency level at this box alone. They are
    /// computed over a longer time, because a box has few requests.
    pub fn own_load_by_urgency(&self, now: Instant) -> [f64; URGENCY_LEVELS] {
        self.recent_own.rates_by_urgency(2 * LOAD_WINDOW, now)
    }

    /// Whether requests of more than one urgency level arrive at the service.
    pub fn has_mixed_urgency(&self, now: Instant) -> bool {
        let own = self.recent_own.since(2 * LOAD_WINDOW, now);
        let sum = own.plus(&self.recent_remote.since(2 * LOAD_WINDOW, now));
        let levels = 0..URGENCY_LEVELS as UrgencyLevel;
        levels.filter(|level| sum.requests_of(*level) > 0).count() > 1
    }

    /// Returns the time since the last report of another source arrived; `None` if none
    /// ever did.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let last = self.report_interval.last?;
        Some(now.saturating_duration_since(last))
    }

    /// Adds what the boxes of a source have counted since its last report.
    pub fn merge_remote_counts(&mut self, tally: ServiceTally, now: Instant) {
        self.record_report(now);
        self.recent_remote.add(tally, now);
    }

    /// Records that a report of a source arrived, even if it had no counts.
    pub fn record_report(&mut self, now: Instant) {
        self.report_interval.record(now);
    }

    /// Returns the number of boxes in the fleet.
    pub fn boxes(&self) -> usize {
        self.fleet_size.boxes
    }

    /// Returns this box's counts since its start if they have changed since the last
    /// call, `None` otherwise.
    pub fn take_change(&mut self) -> Option<ServiceTally> {
        std::mem::take(&mut self.changed).then_some(self.own)
    }

    /// Returns this box's counts since its start.
    pub fn own(&self) -> ServiceTally {
        self.own
    }

    fn count_own(&mut self, increment: ServiceTally, now: Instant) {
        self.own = self.own.plus(&increment);
        self.recent_own.add(increment, now);
        self.changed = true;
    }
}

/// The mean interval between reports of other sources.
#[derive(Debug, Default)]
struct ReportInterval {
    last: Option<Instant>,
    mean: Duration,
}

impl ReportInterval {
    /// Records the arrival of a report; several at the same time count as one.
    fn record(&mut self, now: Instant) {
        let previous = self.last.replace(now);
        let Some(interval) =
            previous.map(|previous| now.saturating_duration_since(previous))
        else {
            return;
        };
        if !interval.is_zero() {
            let interval = interval.min(MAX_REPORT_INTERVAL);
            self.mean = self.mean.mul_f64(1.0 - REPORT_INTERVAL_WEIGHT)
                + interval.mul_f64(REPORT_INTERVAL_WEIGHT);
        }
    }
}

impl Window {
    fn add(&mut self, tally: ServiceTally, now: Instant) {
        self.evict_expired(now);
        match self.buckets.back_mut() {
            Some((at, counts)) if now.saturating_duration_since(*at) < BUCKET => {
                *counts = counts.plus(&tally);
            }
            _ => self.buckets.push_back((now, tally)),
        }
    }

    /// Returns the sum of the buckets that started within the last `span`.
    fn since(&self, span: Duration, now: Instant) -> ServiceTally {
        let newest_first = self.buckets.iter().rev();
        let recent =
            newest_first.take_while(|(at, _)| now.saturating_duration_since(*at) <= span);
        recent.fold(ServiceTally::default(), |sum, (_, counts)| sum.plus(counts))
    }

    /// Returns the requests per second of each urgency level within the last `span`.
    ///
    /// The buckets that started within it cover between a bucket less and all of it, by
    /// which the rates would be too low; they are divided by the time covered.
    fn rates_by_urgency(&self, span: Duration, now: Instant) -> [f64; URGENCY_LEVELS] {
        let age = |at: Instant| now.saturating_duration_since(at);
        let ages = self.buckets.iter().map(|(at, _)| age(*at));
        let covered = ages.filter(|age| *age <= span).max().unwrap_or_default();
        let covered_s = covered.max(span - BUCKET).as_secs_f64();
        let sum = self.since(span, now);
        let rate = |level| f64::from(sum.requests_of(level)) / covered_s;
        std::array::from_fn(|level| rate(level as UrgencyLevel))
    }

    fn evict_expired(&mut self, now: Instant) {
        let is_expired = |(at, _): &(Instant, ServiceTally)| {
            now.saturating_duration_since(*at) > 2 * LOAD_WINDOW + BUCKET
        };
        while self.buckets.front().is_some_and(is_expired) {
            self.buckets.pop_front();
        }
    }
}

const BUCKET: Duration = Duration::from_millis(250);
/// Weight of the newest interval in the mean, which so spans about ten intervals.
const REPORT_INTERVAL_WEIGHT: f64 = 0.1;
/// Longer intervals count as this long: a link that was silent for longer is considered
/// broken.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time over which the current load is computed. It is half of the span over which the
/// floor of servers in use is held, so that a loss shows early; failures are also
/// computed over the whole span, so that a loss shows until it ends.
const LOAD_WINDOW: Duration = Duration::from_secs(1);
/// Hedges leave part of the budget to resends that are certain to help.
const HEDGE_BUDGET_SHARE: f64 = 0.7;
