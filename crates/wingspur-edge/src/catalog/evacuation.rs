//! Evacuated data centres: the operator has taken their backend servers out of use.

use std::collections::BTreeSet;

use wingspur_state::DataCentreId;

use crate::edge_state::EdgeState;

/// Stops sending requests to the servers of a data centre.
pub fn begin_evacuation(shared: &EdgeState, data_centre: DataCentreId, source: &str) {
    update_evacuated(shared, source, |evacuated| {
        evacuated.insert(data_centre);
    });
}

/// Resumes sending requests to the servers of a data centre.
pub fn end_evacuation(shared: &EdgeState, data_centre: &str, source: &str) {
    update_evacuated(shared, source, |evacuated| {
        evacuated.remove(data_centre);
    });
}

/// Stops sending requests to the servers of exactly these data centres, and resumes
/// sending to all others.
pub fn replace_evacuations(
    shared: &EdgeState,
    data_centres: Vec<DataCentreId>,
    source: &str,
) {
    update_evacuated(shared, source, |evacuated| {
        *evacuated = data_centres.into_iter().collect();
    });
}

/// Changes the set of evacuated data centres, and logs what was added and removed.
/// `source` tells in the log where the change comes from.
fn update_evacuated(
    shared: &EdgeState,
    source: &str,
    change: impl FnOnce(&mut BTreeSet<DataCentreId>),
) {
    let (before, now) = shared.services.update_evacuated(change);
    for data_centre in now.difference(&before) {
        tracing::info!(data_centre, source, "evacuation: begun.");
    }
    for data_centre in before.difference(&now) {
        tracing::info!(data_centre, source, "evacuation: ended.");
    }
    let count = now.len() as i64;
    shared.metrics.evacuated_data_centres.set(count);
}
