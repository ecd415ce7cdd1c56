//! Decides which requests a service admits while it is over its capacity, by urgency.

use std::time::{Duration, Instant};

use crate::{Priority, ServiceTime};

/// A class of priorities that is told apart under overload; 0 is the most urgent.
pub type UrgencyLevel = u8;

/// The number of urgency levels: four of an account, each with four of a route.
pub const URGENCY_LEVELS: usize = 16;

/// Returns the urgency level of a priority.
///
/// It depends on the priority alone, so that boxes with different configurations agree on
/// the levels of what they count.
pub fn urgency_level(priority: Priority) -> UrgencyLevel {
    let [account, route] = priority.to_be_bytes();
    account.min(MAX_TOLD_APART) * (MAX_TOLD_APART + 1) + route.min(MAX_TOLD_APART)
}

/// What the requests of a level need, as this box has seen them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelNeeds {
    /// The time after a request's arrival by which its response is worth most.
    pub target: Duration,
    /// The typical service time.
    pub typical: Duration,
    /// The multiple of the expected response time that few responses exceed.
    pub slow_ratio: f64,
}

/// The present load of a level.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LevelLoad {
    /// Requests per second.
    pub per_s: f64,
    /// What they need; `None` if this box has not seen any.
    pub needs: Option<LevelNeeds>,
}

/// How full the servers of a service are, over all boxes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Occupancy {
    /// Requests in flight.
    pub in_flight: u32,
    /// Slots, each weighted by the probability that a request is served there.
    pub slots: f64,
    /// The requests per second that these slots serve.
    pub capacity_per_s: f64,
}

/// How much a box knows about the load at other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportState {
    /// The loads and the occupancy are those of the whole fleet; `None` in a fleet of one
    /// box, which needs no reports.
    Current(Option<Duration>),
    /// The newest report is older than [`MAX_REPORT_AGE`], or there is none.
    Outdated(Option<Duration>),
    /// The box does not receive reports from all data centres.
    CutOff,
}

impl LevelNeeds {
    /// Derives the needs of a route's requests from its target and its response times.
    pub fn of_route(
        target: Duration,
        typical: Duration,
        service_time: &ServiceTime,
    ) -> Self {
        Self {
            target,
            typical,
            slow_ratio: service_time.ratio_at_survival(SLOW_RESPONSE_SHARE),
        }
    }
}

impl ReportState {
    /// Returns the state of a box in a fleet of `boxes`, whose newest report has this age.
    pub fn new(boxes: usize, is_cut_off: bool, report_age: Option<Duration>) -> Self {
        match report_age {
            _ if boxes <= 1 => Self::Current(None),
            _ if is_cut_off => Self::CutOff,
            Some(age) if age <= MAX_REPORT_AGE => Self::Current(Some(age)),
            age => Self::Outdated(age),
        }
    }

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current(_) => "current",
            Self::Outdated(_) => "outdated",
            Self::CutOff => "cut_off",
        }
    }

    /// Returns the age of the newest report, if it is known.
    pub fn age(self) -> Option<Duration> {
        match self {
            Self::Current(age) | Self::Outdated(age) => age,
            Self::CutOff => None,
        }
    }
}

/// What the decision on a request depends on; all figures are of its service.
#[derive(Debug, Clone, Copy)]
pub struct UrgencyInputs {
    /// The request's level.
    pub level: UrgencyLevel,
    /// What the request's route needs.
    pub needs: LevelNeeds,
    /// The time left until the request's target.
    pub to_target: Duration,
    /// The time left until the request's deadline.
    pub to_deadline: Duration,
    /// The present load by level, over all boxes. That of this box alone if it is cut
    /// off.
    pub loads: [LevelLoad; URGENCY_LEVELS],
    /// How full the servers are.
    pub occupancy: Occupancy,
    /// The wait in the servers' queues that this box's own requests have lately had;
    /// `None` if it has had no responses.
    pub own_wait: Option<Duration>,
    /// How much is known of other boxes.
    pub reports: ReportState,
    /// The number of boxes in the fleet.
    pub boxes: usize,
    /// A random number from 0 to 1.
    pub draw: f64,
}

/// Why a request is admitted or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UrgencyReason {
    /// The service has free slots, or this box's own requests do not wait.
    BelowCapacity,
    /// The wait that the request adds to leaves all targets within reach.
    WithinTargets,
    /// The request would be refused, but its class has used less than its minimum share.
    MinimumShare,
    /// A more urgent request would miss its target.
    UrgentTarget,
    /// Later requests of the same level would miss their target.
    OwnTarget,
    /// The request can no longer meet its target, and others still can.
    TargetPassed,
}

impl UrgencyReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BelowCapacity => "below_capacity",
            Self::WithinTargets => "within_targets",
            Self::MinimumShare => "minimum_share",
            Self::UrgentTarget => "urgent_target",
            Self::OwnTarget => "own_target",
            Self::TargetPassed => "target_passed",
        }
    }
}

/// Whether a request is admitted, with the figures behind the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UrgencyDecision {
    /// Whether the request is admitted.
    pub admitted: bool,
    /// Why.
    pub reason: UrgencyReason,
    /// The share of the level's requests that is admitted now.
    pub admitted_share: f64,
    /// The requests per second of all levels.
    pub asked_per_s: f64,
    /// The requests per second of the levels that go first.
    pub urgent_per_s: f64,
    /// The number of requests in flight up to which the level is admitted.
    pub max_in_flight: f64,
    /// The places below the limit of the more urgent levels that are kept free for them.
    pub reserve: f64,
    /// When the service should have room for a request of this level.
    pub room_in: Duration,
    /// The requests of this level that this box can admit per second from then on.
    pub room_per_s: f64,
    /// Whether the request could still be served within its deadline at that time.
    pub can_return: bool,
}

/// The level of requests that can no longer meet their target: they come after all others.
const LATE_LEVEL: usize = URGENCY_LEVELS;

/// Decides whether a request of a service with several urgency levels is admitted.
///
/// A request is refused only while the servers' queues are so long that admitting it would
/// push a more urgent one, or later ones of its own level, past their target; its caller
/// gains a true answer at once and a time at which there should be room. The queue
/// that a level may fill ends where the wait would exceed its own target or use up more
/// than its part of the wait that the more urgent levels can bear.
///
/// Each box admits the share of a level at which the queue moves towards that limit
/// within [`ADJUSTMENT_TIME`]. All boxes decide by the same late figures; if each of them
/// admitted either all or nothing, the queue would swing by what arrives between reports.
pub fn decide_by_urgency(inputs: &UrgencyInputs) -> UrgencyDecision {
    let is_late = inputs.to_target < inputs.needs.typical;
    let rank = match is_late {
        true => LATE_LEVEL,
        false => usize::from(inputs.level),
    };
    let load = LoadAhead::of(inputs, rank);
    let limit = QueueLimit::of(inputs, rank);
    let occupancy = &inputs.occupancy;
    let capacity = match inputs.reports {
        ReportState::CutOff => occupancy.capacity_per_s / inputs.boxes.max(1) as f64,
        _ => occupancy.capacity_per_s,
    };
    let min_share =
        (capacity * load.min_share / load.own_per_s.max(MIN_RATE_PER_S)).clamp(0.0, 1.0);
    let spare_per_s = (capacity - load.ahead_per_s - load.behind_min_per_s(capacity))
        .max(capacity * load.min_share);
    let in_flight = f64::from(inputs.occupancy.in_flight);
    let (is_below_capacity, share) = match inputs.reports {
        ReportState::Current(_) => {
            let room = (limit.in_flight - in_flight) / ADJUSTMENT_TIME.as_secs_f64();
            let per_s = capacity - load.ahead_per_s - load.behind_min_per_s(capacity);
            let share = (per_s + room) / load.own_per_s.max(MIN_RATE_PER_S);
            (in_flight + 1.0 <= occupancy.slots, share)
        }
        ReportState::Outdated(_) => {
            let wait = inputs.own_wait.unwrap_or_default().as_secs_f64();
            let share = 2.0 - wait / limit.wait.as_secs_f64().max(MIN_WAIT_S);
            (wait <= limit.wait.as_secs_f64(), share)
        }
        ReportState::CutOff => {
            let wait = inputs.own_wait.unwrap_or_default();
            let share =
                (capacity - load.ahead_per_s) / load.own_per_s.max(MIN_RATE_PER_S);
            (wait <= limit.wait, share)
        }
    };
    let share = share.clamp(min_share, 1.0);
    let admitted = is_below_capacity || inputs.draw < share;
    let reason = match admitted {
        true if is_below_capacity => UrgencyReason::BelowCapacity,
        true if share > min_share || share >= 1.0 => UrgencyReason::WithinTargets,
        true => UrgencyReason::MinimumShare,
        false if is_late => UrgencyReason::TargetPassed,
        false if limit.is_own => UrgencyReason::OwnTarget,
        false => UrgencyReason::UrgentTarget,
    };
    let excess = (in_flight - limit.in_flight).max(0.0);
    let room_in = Duration::from_secs_f64(excess / spare_per_s.max(MIN_RATE_PER_S));
    UrgencyDecision {
        admitted,
        reason,
        admitted_share: match is_below_capacity {
            true => 1.0,
            false => share,
        },
        asked_per_s: load.asked_per_s,
        urgent_per_s: load.ahead_per_s,
        max_in_flight: limit.in_flight,
        reserve: limit.reserve,
        room_in,
        room_per_s: match inputs.reports {
            ReportState::CutOff => spare_per_s,
            _ => spare_per_s / inputs.boxes.max(1) as f64,
        },
        can_return: room_in + inputs.needs.typical <= inputs.to_deadline,
    }
}

/// The load of the levels that go before and after a request.
struct LoadAhead {
    asked_per_s: f64,
    ahead_per_s: f64,
    own_per_s: f64,
    behind_per_s: Vec<f64>,
    /// The share of the capacity that each level keeps.
    min_share: f64,
}

impl LoadAhead {
    fn of(inputs: &UrgencyInputs, rank: usize) -> Self {
        let rates = || inputs.loads.iter().map(|load| load.per_s);
        let levels = rates().filter(|per_s| *per_s > 0.0).count();
        Self {
            asked_per_s: rates().sum(),
            ahead_per_s: rates().take(rank).sum(),
            own_per_s: inputs.loads[usize::from(inputs.level)].per_s,
            behind_per_s: rates().skip(rank + 1).collect(),
            min_share: MIN_CAPACITY_SHARE.min(MAX_MIN_SHARES / levels.max(1) as f64),
        }
    }

    /// Returns what the less urgent levels get of the capacity at least.
    fn behind_min_per_s(&self, capacity_per_s: f64) -> f64 {
        let min_per_s = capacity_per_s * self.min_share;
        self.behind_per_s
            .iter()
            .map(|per_s| per_s.min(min_per_s))
            .sum()
    }
}

/// How far a level may fill the servers' queues.
struct QueueLimit {
    /// The mean wait of this box's own requests, for decisions without the fleet's load.
    wait: Duration,
    /// The number of requests in flight over all boxes.
    in_flight: f64,
    /// The places that are kept free for more urgent levels below their own limit.
    reserve: f64,
    /// Whether the limit follows from the level's own target.
    is_own: bool,
}

impl QueueLimit {
    fn of(inputs: &UrgencyInputs, rank: usize) -> Self {
        let capacity = inputs.occupancy.capacity_per_s;
        let own_wait = match rank == LATE_LEVEL {
            // Only its deadline is left to it.
            true => bearable_wait(inputs.to_deadline, &inputs.needs),
            false => bearable_wait(inputs.to_target, &inputs.needs),
        };
        let ahead = inputs.loads.iter().take(rank);
        let ahead = ahead.filter(|load| load.per_s > 0.0);
        let needs = ahead.clone().map(|load| load.needs.unwrap_or(inputs.needs));
        let waits = needs
            .clone()
            .map(|needs| bearable_wait(needs.target, &needs));
        let urgent_wait = waits.min();
        let in_progress: f64 = ahead
            .zip(needs)
            .map(|(load, needs)| load.per_s * needs.typical.as_secs_f64())
            .sum();
        let deviation = RESERVE_DEVIATIONS * in_progress.sqrt();
        let places = |wait: Duration| wait.as_secs_f64() * capacity;
        let own_places = places(own_wait);
        let (queue, reserve, is_own) = match urgent_wait {
            Some(wait) => {
                let shared = places(wait) * QUEUE_SHARE_OF_LESS_URGENT;
                let kept = (places(wait) - shared).max(deviation);
                let left = (places(wait) - kept).max(0.0);
                (left.min(own_places), kept, own_places < left)
            }
            None => (own_places, 0.0, true),
        };
        let shared_wait = urgent_wait.map(|wait| wait.mul_f64(OWN_WAIT_SHARE));
        Self {
            wait: shared_wait.map_or(own_wait, |wait| wait.min(own_wait)),
            in_flight: inputs.occupancy.slots + queue,
            reserve,
            is_own,
        }
    }
}

/// Returns the mean wait in the servers' queues at which few requests miss a target that
/// is `left` away: service times vary, and so do the queues at the servers.
fn bearable_wait(left: Duration, needs: &LevelNeeds) -> Duration {
    left.div_f64(needs.slow_ratio.max(1.0))
        .saturating_sub(needs.typical)
}

/// What this box has learned of a service's requests for decisions by urgency.
#[derive(Debug, Default)]
pub struct ServiceUrgency {
    needs: [Option<(LevelNeeds, Instant)>; URGENCY_LEVELS],
    /// The moving mean of the time that responses took longer than usual, in seconds, and
    /// when the newest one arrived.
    own_wait: Option<(f64, Instant)>,
}

impl ServiceUrgency {
    /// Records what a request of a level needs. Of several routes, the shortest target
    /// counts.
    pub fn record_needs(&mut self, level: UrgencyLevel, needs: LevelNeeds, now: Instant) {
        let Some(known) = self.needs.get_mut(usize::from(level)) else {
            return;
        };
        let is_replaced = known.is_none_or(|(known, at)| {
            needs.target <= known.target || now.saturating_duration_since(at) > NEEDS_TTL
        });
        if is_replaced {
            *known = Some((needs, now));
        }
    }

    /// Records how much longer than usual a response took; less than nothing if it was
    /// faster.
    pub fn record_wait(&mut self, wait_s: f64, now: Instant) {
        let mean_s = self.mean_wait_s(now).unwrap_or(0.0);
        let new_s = mean_s + OWN_WAIT_WEIGHT * (wait_s - mean_s);
        self.own_wait = Some((new_s, now));
    }

    /// Returns the wait that this box's own requests have lately had in the servers'
    /// queues; `None` if it has had no responses.
    pub fn own_wait(&self, now: Instant) -> Option<Duration> {
        let mean_s = self.mean_wait_s(now)?;
        Some(Duration::from_secs_f64(mean_s.max(0.0)))
    }

    /// Returns the loads of all levels with what is known of their needs.
    pub fn with_needs(
        &self,
        per_s: &[f64; URGENCY_LEVELS],
    ) -> [LevelLoad; URGENCY_LEVELS] {
        std::array::from_fn(|level| LevelLoad {
            per_s: per_s[level],
            needs: self.needs[level].map(|(needs, _)| needs),
        })
    }

    fn mean_wait_s(&self, now: Instant) -> Option<f64> {
        let (mean_s, at) = self.own_wait?;
        (now.saturating_duration_since(at) <= OWN_WAIT_TTL).then_some(mean_s)
    }
}

/// Priorities above this one are not told apart, neither of accounts nor of routes.
const MAX_TOLD_APART: u8 = 3;
/// The share of responses that may be slower than the time that is planned for them. With
/// 0.05, ten times as many urgent requests were refused, and no fewer were late by the
/// time since their callers first sent them.
const SLOW_RESPONSE_SHARE: f64 = 0.08;
/// Age of the newest report beyond which a box decides by its own requests alone. Reports
/// arrive every 0.1 to 0.3 s.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// The time within which the queue should reach its limit. It is about the age of the
/// reports; with half a second, more urgent requests were late.
const ADJUSTMENT_TIME: Duration = Duration::from_millis(200);
/// The share of the capacity that each level keeps, whatever the more urgent ones ask.
const MIN_CAPACITY_SHARE: f64 = 0.1;
/// The share of the capacity that the minimum shares of all levels may add up to.
const MAX_MIN_SHARES: f64 = 0.5;
/// The part of the wait that more urgent levels can bear which less urgent requests may
/// fill. The rest absorbs a surge of the urgent ones until all boxes know of it.
const QUEUE_SHARE_OF_LESS_URGENT: f64 = 0.05;
/// The part of the wait that more urgent levels can bear up to which a box without reports
/// admits all requests. Its own waits are few and vary too much for a smaller part.
const OWN_WAIT_SHARE: f64 = 0.5;
/// Standard deviations of the number of more urgent requests in progress for which places
/// are reserved. The number in progress varies by its square root.
const RESERVE_DEVIATIONS: f64 = 2.0;
/// Avoids divisions by zero at levels and services without requests.
const MIN_RATE_PER_S: f64 = 0.1;
const MIN_WAIT_S: f64 = 0.001;
/// How long a needs entry with a shorter target outlasts its last request.
const NEEDS_TTL: Duration = Duration::from_secs(10);
/// Weight of a response in the mean wait, which so covers about the last five responses:
/// a box receives a few in a second.
const OWN_WAIT_WEIGHT: f64 = 0.2;
/// After this time without a response, nothing is known of the present wait.
const OWN_WAIT_TTL: Duration = Duration::from_secs(2);
