//! Picks the least loaded of a few randomly drawn servers, active ones before suspected
//! ones.

use rand::Rng;
use rand::RngExt;

use crate::ServerIndex;

/// What this box's outlier detection allows a server to receive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EjectionState {
    /// Receives requests.
    Active,
    /// Returning after an ejection: receives this fraction of the requests that it would
    /// receive when active, and only retry-safe ones.
    Probation(f64),
    /// Suspected: receives requests only when no active server has room. Once-only
    /// requests go here only when there is no active server.
    Suspected,
    /// Ejected or draining: receives no requests.
    Excluded,
}

/// A server with what the pick needs to know of it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The server's position in its service.
    pub server: ServerIndex,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Requests that this box has in flight at it.
    pub outstanding: u32,
    /// The server's own load hint, 0 (idle) to 1 (full); never trusted alone.
    pub load_hint: f64,
    /// Whether it is in this box's data centre.
    pub same_data_centre: bool,
    /// Which requests it may receive.
    pub ejection_state: EjectionState,
}

impl Candidate {
    /// Returns the cost of a request there, where lower is better: this box's requests
    /// for each slot, the weighted load hint, and a surcharge for another data centre.
    fn cost(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let own_load = f64::from(self.outstanding) / slots;
        let remote_cost = if self.same_data_centre {
            0.0
        } else {
            REMOTE_COST
        };
        own_load + self.load_hint.clamp(0.0, 1.0) * LOAD_HINT_WEIGHT + remote_cost
    }

    fn has_room(&self) -> bool {
        self.outstanding < self.slots.saturating_mul(MAX_REQUESTS_PER_SLOT)
    }
}

/// Picks a server, or `None` when no server may receive the request.
///
/// `retry_safe` is false for once-only requests: they never go to a server on probation,
/// and to a suspected one only when no server is active.
pub fn pick(
    candidates: &[Candidate],
    retry_safe: bool,
    random: &mut impl Rng,
) -> Option<ServerIndex> {
    if retry_safe && let Some(server) = pick_on_probation(candidates, random) {
        return Some(server);
    }
    let has_state = |wanted: EjectionState| {
        move |candidate: &&Candidate| candidate.ejection_state == wanted
    };
    let active: Vec<&Candidate> = candidates
        .iter()
        .filter(has_state(EjectionState::Active))
        .collect();
    let any_has_room = active.iter().any(|candidate| candidate.has_room());
    if any_has_room || (!active.is_empty() && !retry_safe) {
        return least_loaded(&active, random);
    }
    let suspected = candidates
        .iter()
        .filter(has_state(EjectionState::Suspected));
    let active_or_suspected: Vec<&Candidate> =
        active.into_iter().chain(suspected).collect();
    least_loaded(&active_or_suspected, random)
}

/// Picks a server on probation with a probability that gives it its fraction of the
/// requests.
fn pick_on_probation(
    candidates: &[Candidate],
    random: &mut impl Rng,
) -> Option<ServerIndex> {
    let in_service = candidates
        .iter()
        .filter(|c| c.ejection_state != EjectionState::Excluded)
        .count();
    for candidate in candidates {
        let EjectionState::Probation(share) = candidate.ejection_state else {
            continue;
        };
        let probability = share / in_service.max(1) as f64;
        if candidate.has_room() && random.random::<f64>() < probability {
            return Some(candidate.server);
        }
    }
    None
}

/// Returns the cheapest of a few randomly drawn candidates, so that forty boxes do not
/// all pick the same server.
fn least_loaded(from: &[&Candidate], random: &mut impl Rng) -> Option<ServerIndex> {
    if from.is_empty() {
        return None;
    }
    let drawn_count = CANDIDATES_DRAWN.min(from.len());
    let drawn = rand::seq::index::sample(random, from.len(), drawn_count);
    drawn
        .into_iter()
        .map(|index| from[index])
        .min_by(|a, b| a.cost().total_cmp(&b.cost()))
        .map(|candidate| candidate.server)
}

/// Candidates that are drawn and compared for one request.
const CANDIDATES_DRAWN: usize = 3;
/// A server has room while this box has fewer requests than this in flight for each of
/// its slots.
const MAX_REQUESTS_PER_SLOT: u32 = 2;
const LOAD_HINT_WEIGHT: f64 = 0.5;
/// A server in another data centre is picked when the local ones cost more than it does
/// by at least this, in requests for each slot.
const REMOTE_COST: f64 = 0.3;
