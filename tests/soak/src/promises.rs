//! What must hold, checked against what callers and backend servers saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::budget::Budget;
use crate::calls::Called;

/// What the servers saw, and what was done to the boxes.
pub struct Seen {
    /// All arrivals at servers, by time, with the request's id.
    pub arrivals: Vec<(Instant, String)>,
    /// How often each request ran.
    pub ran: HashMap<String, usize>,
    /// Arrivals at servers that had said long ago that they leave.
    pub late_at_leaving: Vec<String>,
    /// For each box, the spans in which its requests may be cut.
    pub hits: Vec<Vec<(Instant, Instant)>>,
    /// Versions that went back on a box.
    pub reversions: Vec<String>,
    /// When the last fault was over and the boxes had time to recover.
    pub calm_from: Instant,
}

/// Every promise that did not hold, a line each.
pub fn broken_promises(called: &[Called], seen: &Seen) -> Vec<String> {
    let mut broken = seen.reversions.clone();
    let late = seen.late_at_leaving.iter();
    broken.extend(late.map(|id| format!("leaving: {id} reached a server that had left")));
    for one in called {
        broken.extend(broken_by(one, seen));
    }
    broken.extend(over_budget(called, seen));
    broken.extend(not_recovered(called, seen));
    broken
}

fn broken_by(one: &Called, seen: &Seen) -> Option<String> {
    let ran = seen.ran.get(&one.id).copied().unwrap_or(0);
    let id = &one.id;
    if !one.own {
        return Some(format!("whole answers: {id} got what is not its own"));
    }
    if one.once_only && ran > 1 {
        return Some(format!("once only: {id} ran {ran} times"));
    }
    if one.once_only && ran > 0 && one.status == Some(503) {
        return Some(format!("not run: {id} was told so and ran"));
    }
    let spans = &seen.hits[one.box_index];
    let hit = spans
        .iter()
        .any(|(from, to)| one.sent <= *to && one.ended >= *from);
    if one.status == Some(0) && !hit {
        return Some(format!(
            "planned stops: {id} was cut on box {}",
            one.box_index
        ));
    }
    None
}

/// The budget holds over every window of its length.
fn over_budget(called: &[Called], seen: &Seen) -> Option<String> {
    let mut known: HashMap<&str, usize> = HashMap::new();
    let mut again: Vec<Instant> = Vec::new();
    for (at, id) in &seen.arrivals {
        let times = known.entry(id).or_default();
        *times += 1;
        if *times > 1 {
            again.push(*at);
        }
    }
    let mut requests: Vec<Instant> = called.iter().map(|one| one.sent).collect();
    requests.sort();
    let fullest = RETRY_BUDGET.fullest(&requests, &again, &COUNTED_BEFORE)?;
    let (spent, allowed) = (fullest.spent, fullest.allowed);
    let text = format!("budget: {spent} resends in a window that allows {allowed}");
    (fullest.share() > 1.0).then_some(text)
}

/// Once all is calm, nearly every request is served.
fn not_recovered(called: &[Called], seen: &Seen) -> Option<String> {
    let calm: Vec<&Called> = called
        .iter()
        .filter(|one| one.sent >= seen.calm_from)
        .collect();
    let served = calm.iter().filter(|one| one.status == Some(200)).count();
    let share = served as f64 / calm.len().max(1) as f64;
    let text = format!(
        "recovery: {served} of {} served in the calm end",
        calm.len()
    );
    (share < SERVED_WHEN_CALM).then_some(text)
}

/// A server that leaves gets no new work after this: the users' bound is two seconds.
pub const LEAVING_BOUND: Duration = Duration::from_secs(2);
const SERVED_WHEN_CALM: f64 = 0.97;
/// The retry budget of the service, as the boxes are told.
pub const RETRY_BUDGET: Budget = Budget {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 40.0,
};
/// Requests count in the window itself or in the one before it, whichever has more.
const COUNTED_BEFORE: [f64; 2] = [0.0, 1.0];
