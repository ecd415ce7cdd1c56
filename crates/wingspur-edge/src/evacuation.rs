//! Data centres whose backend servers the operator has taken out of use.

use std::collections::BTreeSet;

use wingspur_state::DataCentreId;

use crate::edge_state::EdgeState;

/// Stops sending to the servers of a data centre.
pub fn begin_evacuation(shared: &EdgeState, data_centre: DataCentreId, source: &str) {
    change(shared, source, |evacuated| {
        evacuated.insert(data_centre);
    });
}

/// Uses the servers of a data centre again.
pub fn end_evacuation(shared: &EdgeState, data_centre: &str, source: &str) {
    change(shared, source, |evacuated| {
        evacuated.remove(data_centre);
    });
}

/// Stops sending to the servers of these data centres, and uses all others.
pub fn replace_evacuations(shared: &EdgeState, listed: Vec<DataCentreId>, source: &str) {
    change(shared, source, |evacuated| {
        *evacuated = listed.into_iter().collect();
    });
}

fn change(
    shared: &EdgeState,
    source: &str,
    change: impl FnOnce(&mut BTreeSet<DataCentreId>),
) {
    let (before, now) = shared.services.change_evacuated(change);
    for data_centre in now.difference(&before) {
        tracing::info!(data_centre, source, "evacuation: begun.");
    }
    for data_centre in before.difference(&now) {
        tracing::info!(data_centre, source, "evacuation: ended.");
    }
    let count = now.len() as i64;
    shared.metrics.evacuated_data_centres.set(count);
}
