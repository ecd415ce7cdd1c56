//! Checks the service's promises against what callers and backend servers observed under
//! faults.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::budget::Budget;
use crate::calls::FinishedCall;

/// What the backend servers observed, and the faults that hit the boxes.
pub struct Observations {
    /// Arrivals of requests at all servers, with the request id, in order of time.
    pub arrivals: Vec<(Instant, String)>,
    /// How often each request ran on a server, by request id.
    pub run_counts: HashMap<String, usize>,
    /// Ids of requests that reached a server too long after it had announced that it is
    /// draining.
    pub late_arrivals: Vec<String>,
    /// For each box, the spans of time in which a fault may interrupt its requests.
    pub disturbances: Vec<Vec<(Instant, Instant)>>,
    /// Boxes that had no path to the servers, with the time of it.
    pub cuts: Vec<(usize, Instant, Instant)>,
    /// Boxes that were stopped as planned, until they have served again for a while.
    pub stops: Vec<(usize, Instant, Instant)>,
    /// Number of responses that servers were still sending after the calm end.
    pub still_responding: usize,
    /// For each box, the most memory that its process has used, in bytes.
    pub peak_memory: Vec<u64>,
    /// Messages about boxes that went back to an older version of the configuration.
    pub reversions: Vec<String>,
    /// When the last fault was over and the boxes had had time to recover.
    pub calm_from: Instant,
}

/// Checks all promises and returns one line for each violation.
pub fn broken_promises(calls: &[FinishedCall], observed: &Observations) -> Vec<String> {
    let mut violations = observed.reversions.clone();
    let late = observed.late_arrivals.iter();
    violations
        .extend(late.map(|id| format!("leaving: {id} reached a server that had left")));
    for call in calls {
        violations.extend(violation_by(call, observed));
    }
    if observed.still_responding > 0 {
        let count = observed.still_responding;
        violations.push(format!(
            "ends: {count} responses of servers were not let go"
        ));
    }
    for (n, bytes) in observed.peak_memory.iter().enumerate() {
        if *bytes > MAX_BOX_BYTES {
            violations.push(format!("memory: box {n} used {} MB", bytes >> 20));
        }
    }
    violations.extend(worse_without_path(calls, observed));
    violations.extend(over_budget(calls, observed));
    violations.extend(not_recovered(calls, observed));
    violations
}

fn violation_by(call: &FinishedCall, observed: &Observations) -> Option<String> {
    let times_run = observed.run_counts.get(&call.id).copied().unwrap_or(0);
    let id = &call.id;
    if !call.is_own {
        return Some(format!("whole answers: {id} got what is not its own"));
    }
    if call.once_only && times_run > 1 {
        return Some(format!("once only: {id} ran {times_run} times"));
    }
    let is_promise = matches!(call.status, Some(408 | 421 | 429 | 503));
    if call.once_only && times_run > 0 && is_promise {
        return Some(format!("not run: {id} was told so and ran"));
    }
    let spans = &observed.disturbances[call.box_index];
    let was_disturbed = spans
        .iter()
        .any(|(from, to)| call.sent <= *to && call.ended >= *from);
    let took = call.took();
    if took > LONGEST_CALL && !was_disturbed {
        let status = call.status;
        return Some(format!(
            "ends: {id} took {took:?} on box {}, {status:?}",
            call.box_index
        ));
    }
    if call.status == Some(0) && !was_disturbed {
        return Some(format!(
            "planned stops: {id} was cut on box {}",
            call.box_index
        ));
    }
    None
}

/// Checks that the resends stay within the retry budget in every window of its length.
fn over_budget(calls: &[FinishedCall], observed: &Observations) -> Option<String> {
    let mut arrival_counts: HashMap<&str, usize> = HashMap::new();
    let mut resends: Vec<Instant> = Vec::new();
    for (at, id) in &observed.arrivals {
        let arrived = arrival_counts.entry(id).or_default();
        *arrived += 1;
        if *arrived > 1 {
            resends.push(*at);
        }
    }
    let mut requests: Vec<Instant> = calls.iter().map(|call| call.sent).collect();
    requests.sort();
    let fullest = RETRY_BUDGET.fullest(&requests, &resends, &COUNTED_BEFORE)?;
    let (spent, allowed) = (fullest.spent, fullest.allowed);
    let text = format!("budget: {spent} resends in a window that allows {allowed}");
    (fullest.share() > 1.0).then_some(text)
}

/// Checks that callers of boxes without a path to the servers are served two thirds as
/// often as the others meanwhile, from three seconds after the path was lost.
fn worse_without_path(calls: &[FinishedCall], observed: &Observations) -> Option<String> {
    let is_within = |call: &FinishedCall, from: &Instant, to: &Instant| {
        call.sent >= *from + CUT_NOTICE && call.sent <= *to
    };
    let is_disturbed = |call: &FinishedCall| {
        let disturbances = observed.disturbances[call.box_index].iter();
        let stops = observed
            .stops
            .iter()
            .filter(|stop| stop.0 == call.box_index);
        let stops = stops.map(|(_, from, to)| (from, to));
        let mut spans = disturbances.map(|(from, to)| (from, to)).chain(stops);
        spans.any(|(from, to)| call.sent <= *to && call.ended >= *from)
    };
    let mut cut_off = Share::default();
    let mut others = Share::default();
    for call in calls.iter().filter(|call| !is_disturbed(call)) {
        let mut cuts = observed.cuts.iter();
        if !cuts.any(|(_, from, to)| is_within(call, from, to)) {
            continue;
        }
        let mut own = observed.cuts.iter().filter(|cut| cut.0 == call.box_index);
        let is_cut_off = own.any(|(_, from, to)| is_within(call, from, to));
        let share = if is_cut_off {
            &mut cut_off
        } else {
            &mut others
        };
        share.count(call);
    }
    let failed = cut_off.calls - cut_off.served;
    let is_worse = cut_off.fraction() < others.fraction() * 2.0 / 3.0;
    let all = cut_off.calls + others.calls;
    let text = format!("unreachable servers: {cut_off:?} there, {others:?} elsewhere");
    (is_worse && failed > 10 + all / 50).then_some(text)
}

/// How many calls were served.
#[derive(Debug, Default)]
struct Share {
    calls: usize,
    served: usize,
}

impl Share {
    fn count(&mut self, call: &FinishedCall) {
        self.calls += 1;
        self.served += usize::from(call.is_served());
    }

    fn fraction(&self) -> f64 {
        self.served as f64 / self.calls.max(1) as f64
    }
}

/// Checks that nearly all requests are served once the faults are over.
fn not_recovered(calls: &[FinishedCall], observed: &Observations) -> Option<String> {
    let calm: Vec<&FinishedCall> = calls
        .iter()
        .filter(|call| call.sent >= observed.calm_from)
        .collect();
    let served = calm.iter().filter(|call| call.is_served()).count();
    let share = served as f64 / calm.len().max(1) as f64;
    let text = format!(
        "recovery: {served} of {} served in the calm end",
        calm.len()
    );
    (share < MIN_SERVED_WHEN_CALM).then_some(text)
}

/// No call may take longer. The route's timeout is 3 s, and a call must have its end half a
/// second later; the rest is for a machine that is busy with many boxes.
const LONGEST_CALL: Duration = Duration::from_secs(8);
/// The memory of the smallest box.
const MAX_BOX_BYTES: u64 = 160 << 20;
/// A draining server must get no new requests after this time; the users require 2 s.
pub const DRAINING_BOUND: Duration = Duration::from_secs(2);
/// From this time on after the loss of the path the requirement holds.
const CUT_NOTICE: Duration = Duration::from_secs(3);
const MIN_SERVED_WHEN_CALM: f64 = 0.97;
/// Retry budget in the settings of the boxes.
pub const RETRY_BUDGET: Budget = Budget {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 40.0,
};
/// Requests are counted in the window itself and in the one before it, and the greater
/// count is used. In window lengths.
const COUNTED_BEFORE: [f64; 2] = [0.0, 1.0];
