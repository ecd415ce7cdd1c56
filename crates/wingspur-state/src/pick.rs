//! Picking: the least loaded of a few servers, best standing first.

use rand::Rng;
use rand::RngExt;

use crate::ServerIndex;

/// How a server stands with this box.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EjectionState {
    /// Takes work.
    Active,
    /// Returning: takes this share of the work it would take, retry-safe only.
    Probation(f64),
    /// Suspected: takes work only when no other server has room.
    Suspected,
    /// Ejected or leaving: takes none.
    Excluded,
}

/// One server as the picker sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The server's position in its service.
    pub server: ServerIndex,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests of this box that it has now.
    pub outstanding: u32,
    /// The server's own load hint, 0 (idle) to 1 (full); never trusted alone.
    pub load_hint: f64,
    /// Whether it stands in this box's data centre.
    pub same_data_centre: bool,
    /// How it stands.
    pub ejection_state: EjectionState,
}

impl Candidate {
    /// Lower is better: own work and hinted work for each slot, plus the way there.
    fn cost(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let own = f64::from(self.outstanding) / slots;
        let away = if self.same_data_centre {
            0.0
        } else {
            AWAY_COST
        };
        own + self.load_hint.clamp(0.0, 1.0) * HINT_WEIGHT + away
    }

    fn has_room(&self) -> bool {
        self.outstanding < self.slots.saturating_mul(ROOM_PER_SLOT)
    }
}

/// Picks a server, or none when none may take the request.
///
/// `retry_safe` is false for once-only requests, which never go on trial and never
/// to an avoided server while any other is in.
pub fn pick(
    candidates: &[Candidate],
    retry_safe: bool,
    random: &mut impl Rng,
) -> Option<ServerIndex> {
    if retry_safe && let Some(server) = pick_trial(candidates, random) {
        return Some(server);
    }
    let standing = |wanted: EjectionState| {
        move |candidate: &&Candidate| candidate.ejection_state == wanted
    };
    let well: Vec<&Candidate> = candidates
        .iter()
        .filter(standing(EjectionState::Active))
        .collect();
    let roomy = well.iter().any(|candidate| candidate.has_room());
    if roomy || (!well.is_empty() && !retry_safe) {
        return least_loaded(&well, random);
    }
    let avoided = candidates.iter().filter(standing(EjectionState::Suspected));
    let rest: Vec<&Candidate> = well.into_iter().chain(avoided).collect();
    least_loaded(&rest, random)
}

/// Gives a returning server its share of the work.
fn pick_trial(candidates: &[Candidate], random: &mut impl Rng) -> Option<ServerIndex> {
    let in_service = candidates
        .iter()
        .filter(|c| c.ejection_state != EjectionState::Excluded)
        .count();
    for candidate in candidates {
        let EjectionState::Probation(share) = candidate.ejection_state else {
            continue;
        };
        let chance = share / in_service.max(1) as f64;
        if candidate.has_room() && random.random::<f64>() < chance {
            return Some(candidate.server);
        }
    }
    None
}

/// The cheapest of a few drawn by lot, so that forty boxes do not all pick one.
fn least_loaded(from: &[&Candidate], random: &mut impl Rng) -> Option<ServerIndex> {
    if from.is_empty() {
        return None;
    }
    let amount = CHOICES.min(from.len());
    let drawn = rand::seq::index::sample(random, from.len(), amount);
    drawn
        .into_iter()
        .map(|index| from[index])
        .min_by(|a, b| a.cost().total_cmp(&b.cost()))
        .map(|candidate| candidate.server)
}

/// Servers compared for one request.
const CHOICES: usize = 3;
/// A box sees room while it has less than this in hand for each slot.
const ROOM_PER_SLOT: u32 = 2;
const HINT_WEIGHT: f64 = 0.5;
/// A server elsewhere is taken when those nearby carry this much more for a slot.
const AWAY_COST: f64 = 0.3;
