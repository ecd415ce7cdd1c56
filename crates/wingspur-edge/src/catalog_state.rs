//! What this box knows of the catalog, whoever read it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::LinkId;
use wingspur_protocol::{
    CatalogChange, CatalogChanges, CatalogSnapshot, CatalogSnapshotUpdate, CatalogUpdate,
};
use wingspur_state::{BundlePatch, BundleVersion, ServerId, StorePosition};

use crate::directory_changes::apply_server_changes;
use crate::edge_state::EdgeState;
use crate::evacuation::{begin_evacuation, end_evacuation, replace_evacuations};
use crate::quarantine::{
    apply_quarantine, end_quarantine, quarantine_records, replace_quarantines,
};

/// Takes in news of the catalog that came by a link, and passes on what was news here.
pub fn apply_peer_update(
    shared: &Arc<EdgeState>,
    update: CatalogUpdate,
    from: Option<LinkId>,
    now: Instant,
) {
    match update {
        CatalogUpdate::Snapshot(told) => apply_peer_listing(shared, told, from, now),
        CatalogUpdate::Changes {
            changes,
            doubtful_ms,
        } => apply_peer_changes(shared, changes, doubtful_ms, from, now),
    }
}

fn apply_peer_listing(
    shared: &Arc<EdgeState>,
    told: Arc<CatalogSnapshotUpdate>,
    from: Option<LinkId>,
    now: Instant,
) {
    let bundle = told.snapshot.bundle.as_ref();
    let bundle_version = bundle.map(|bundle| bundle.version);
    let returned = told.returned.clone();
    if told.snapshot.position > shared.links.lock().position() {
        read_by_another(shared, told.doubtful_ms, now);
        apply_listing(shared, Arc::unwrap_or_clone(told), "peer", now);
        spread_listing(shared, from, now);
    } else if merge_listing(shared, &told, now) {
        spread_listing(shared, from, now);
    }
    let knows_more = knows_more(shared, bundle_version, &returned);
    if let Some(link) = from.filter(|_| knows_more) {
        let listing = current_snapshot(shared, now);
        shared.links.lock().send_update(link, listing);
        shared.pending_updates.notify();
    }
}

/// Takes in what counts of a listing whatever its position: what a restored store has lost.
/// Whether any of it was news.
fn merge_listing(
    shared: &Arc<EdgeState>,
    told: &CatalogSnapshotUpdate,
    now: Instant,
) -> bool {
    let bundle = told.snapshot.bundle.clone();
    let is_newer = bundle.is_some_and(|bundle| shared.activate_bundle(bundle, "peer"));
    if is_newer {
        shared.update_fleet_shares();
    }
    let is_of_this_era =
        told.snapshot.position.era() == shared.links.lock().position().era();
    let gone = match is_of_this_era {
        true => shared.directory.lock().suppress_stale(&told.returned, now),
        false => Vec::new(),
    };
    apply_server_changes(shared, &gone, "peer");
    is_newer || !gone.is_empty()
}

/// Whether this box knows of what a restored store has lost, and the teller of a listing does
/// not.
fn knows_more(
    shared: &EdgeState,
    peer_version: Option<BundleVersion>,
    peer_returned: &[ServerId],
) -> bool {
    let has_newer = peer_version.is_some_and(|told| told < shared.bundle_version());
    let directory = shared.directory.lock();
    let mut returned = directory.suppressed();
    has_newer || returned.any(|record| !peer_returned.contains(&record.id))
}

fn apply_peer_changes(
    shared: &Arc<EdgeState>,
    changes: CatalogChanges,
    doubtful_ms: u32,
    from: Option<LinkId>,
    now: Instant,
) {
    let known = shared.links.lock().position();
    if changes.position <= known {
        return;
    }
    if changes.after > known || lacks_base(shared, &changes) {
        // Changes in between never came this way.
        if let Some(link) = from {
            shared.links.lock().request_snapshot(link);
            shared.pending_updates.notify();
        }
        return;
    }
    read_by_another(shared, doubtful_ms, now);
    let urgent = !changes.changes.is_empty();
    let update = CatalogUpdate::Changes {
        changes: changes.clone(),
        doubtful_ms,
    };
    spread(shared, &update, urgent, from);
    apply_changes(shared, changes, "peer", now);
}

/// Notes for how long what another box has read may be doubted.
fn read_by_another(shared: &EdgeState, doubtful_ms: u32, now: Instant) {
    let doubtful = Duration::from_millis(doubtful_ms.into());
    shared.directory.lock().store_read_by_peer(doubtful, now);
}

/// Applies a listing that this box read itself, and spreads it; false where links have told
/// more while it was on its way.
pub fn apply_store_snapshot(
    shared: &Arc<EdgeState>,
    listing: CatalogSnapshot,
    now: Instant,
) -> bool {
    let known = shared.links.lock().position();
    let position = listing.position;
    let is_older = position < known;
    tracing::info!(
        %known,
        %position,
        bundle_version = listing.bundle.as_ref().map_or(0, |bundle| bundle.version),
        servers = listing.servers.len(),
        outcome = if is_older { "passed over" } else { "taken" },
        "catalog: listed."
    );
    if is_older {
        return false;
    }
    let read = CatalogSnapshotUpdate {
        snapshot: listing,
        doubtful_ms: 0,
        missing: Vec::new(),
        returned: Vec::new(),
    };
    apply_listing(shared, read, "store", now);
    if position > known {
        spread_listing(shared, None, now);
    }
    true
}

/// Applies changes that this box read itself, and spreads them, those that change nothing as
/// a position only; false where links have told more while they were on their way.
pub fn apply_store_changes(
    shared: &Arc<EdgeState>,
    mut changes: CatalogChanges,
    now: Instant,
) -> bool {
    let known = shared.links.lock().position();
    if changes.position < known {
        let position = changes.position;
        tracing::info!(%known, %position, "catalog: changes passed over.");
        return false;
    }
    let mut directory = shared.directory.lock();
    changes.changes.retain(|change| match change {
        CatalogChange::Server(record) if directory.is_current(record) => {
            // What is left of a cold start is kept, so that a later one is told from it.
            directory.put(record.clone());
            false
        }
        _ => true,
    });
    drop(directory);
    if changes.position > changes.after {
        let urgent = !changes.changes.is_empty();
        let update = CatalogUpdate::Changes {
            changes: with_patches(shared, &changes),
            doubtful_ms: doubtful_ms(shared, now),
        };
        spread(shared, &update, urgent, None);
    }
    apply_changes(shared, changes, "store", now);
    true
}

/// What a peer lacks that knows all up to a position and has a version in force.
pub fn catch_up_update(
    shared: &EdgeState,
    position: StorePosition,
    bundle_version: BundleVersion,
    now: Instant,
) -> Option<CatalogUpdate> {
    let is_behind = shared.links.lock().position() > position;
    let update = is_behind.then(|| update_since(shared, position, now));
    let newest = shared.bundle_version();
    let brought = update
        .as_ref()
        .is_some_and(|update| brings_bundle(update, newest));
    let knows_gone = shared.directory.lock().suppressed().next().is_some();
    // No change brings what a restored store has lost.
    match knows_gone || (newest > bundle_version && !brought) {
        true => Some(current_snapshot(shared, now)),
        false => update,
    }
}

fn brings_bundle(update: &CatalogUpdate, version: BundleVersion) -> bool {
    match update {
        CatalogUpdate::Snapshot(_) => true,
        CatalogUpdate::Changes { changes, .. } => {
            changes.changes.iter().any(|change| match change {
                CatalogChange::Bundle(bundle) => bundle.version == version,
                CatalogChange::BundlePatch(patch) => patch.version() == version,
                _ => false,
            })
        }
    }
}

/// The changes since a position, or all there is.
fn update_since(
    shared: &EdgeState,
    position: StorePosition,
    now: Instant,
) -> CatalogUpdate {
    let changes = shared.links.lock().changes_since(position);
    match changes {
        Some(changes) => CatalogUpdate::Changes {
            changes,
            doubtful_ms: doubtful_ms(shared, now),
        },
        None => current_snapshot(shared, now),
    }
}

/// All that this box knows, for a peer that is behind.
pub fn current_snapshot(shared: &EdgeState, now: Instant) -> CatalogUpdate {
    let version = shared.bundle_version();
    let known = shared.links.lock().cached_snapshot(version, now);
    known.unwrap_or_else(|| fresh_listing(shared, now))
}

/// Tells the other boxes all that this one knows.
fn spread_listing(shared: &EdgeState, from: Option<LinkId>, now: Instant) {
    let listing = fresh_listing(shared, now);
    spread(shared, &listing, true, from);
}

fn fresh_listing(shared: &EdgeState, now: Instant) -> CatalogUpdate {
    let announced = shared.announcement.lock().is_some();
    let (position, boxes) = {
        let mut links = shared.links.lock();
        let own = announced.then(|| links.own().clone());
        let known = links.planner().boxes().cloned();
        let boxes = known.chain(own).collect();
        (links.position(), boxes)
    };
    let in_force = shared.active_bundle();
    let quarantines = quarantine_records(shared);
    let evacuated = shared.services.evacuated().iter().cloned().collect();
    let directory = shared.directory.lock();
    let doubtful = directory.removal_grace_left(now);
    let listing = CatalogSnapshot {
        position,
        bundle: in_force.map(|in_force| in_force.bundle.clone()),
        servers: directory.listed().cloned().collect(),
        boxes,
        quarantines,
        evacuated,
    };
    let returned = directory.suppressed().map(|record| record.id.clone());
    let listing = Arc::new(CatalogSnapshotUpdate {
        snapshot: listing,
        doubtful_ms: as_ms(doubtful),
        missing: directory.missing().cloned().collect(),
        returned: returned.collect(),
    });
    drop(directory);
    shared.links.lock().cache_snapshot(listing.clone(), now);
    CatalogUpdate::Snapshot(listing)
}

fn apply_listing(
    shared: &Arc<EdgeState>,
    told: CatalogSnapshotUpdate,
    source: &str,
    now: Instant,
) {
    let listing = told.snapshot;
    if let Some(bundle) = listing.bundle {
        shared.activate_bundle(bundle, source);
    }
    let mut directory = shared.directory.lock();
    let mut changes = directory.replace_restored(listing.servers, &told.returned, now);
    let missing = told.missing.into_iter();
    changes.extend(missing.filter_map(|record| directory.put_missing(record, now)));
    drop(directory);
    apply_server_changes(shared, &changes, source);
    replace_quarantines(shared, listing.position, &listing.quarantines);
    replace_evacuations(shared, listing.evacuated, source);
    let mut links = shared.links.lock();
    links.planner().replace(listing.boxes, now);
    links.watch_state().advance_to(listing.position);
    drop(links);
    shared.update_fleet_shares();
    shared.link_plan_changed.notify();
}

fn apply_changes(
    shared: &Arc<EdgeState>,
    changes: CatalogChanges,
    source: &str,
    now: Instant,
) {
    let mut followed = Vec::new();
    let mut boxes_changed = false;
    for change in changes.changes {
        match change {
            CatalogChange::Bundle(bundle) => {
                shared.activate_bundle(bundle, source);
                shared.update_fleet_shares();
            }
            CatalogChange::BundlePatch(patch) => {
                let patched = shared
                    .active_bundle()
                    .and_then(|old| patch.apply(&old.bundle));
                if let Some(bundle) = patched {
                    shared.activate_bundle(Arc::new(bundle), source);
                    shared.update_fleet_shares();
                }
            }
            CatalogChange::Server(record) => {
                followed.extend(shared.directory.lock().put(record));
            }
            CatalogChange::ServerGone(id) => {
                followed.extend(shared.directory.lock().remove(&id, now));
            }
            CatalogChange::Box(record) => {
                shared.links.lock().planner().upsert(record);
                boxes_changed = true;
            }
            CatalogChange::BoxGone(id) => {
                shared.links.lock().planner().remove(&id, now);
                boxes_changed = true;
            }
            CatalogChange::Quarantine(record) => apply_quarantine(shared, &record),
            CatalogChange::QuarantineEnded(request) => end_quarantine(shared, request),
            CatalogChange::Evacuated(data_centre) => {
                begin_evacuation(shared, data_centre, source);
            }
            CatalogChange::EvacuationEnded(data_centre) => {
                end_evacuation(shared, &data_centre, source);
            }
        }
    }
    apply_server_changes(shared, &followed, source);
    shared
        .links
        .lock()
        .watch_state()
        .advance_to(changes.position);
    if boxes_changed {
        shared.update_fleet_shares();
        shared.link_plan_changed.notify();
    }
}

/// Whether changes are of a bundle that this box does not have, and needs.
fn lacks_base(shared: &EdgeState, changes: &CatalogChanges) -> bool {
    let mut version = shared.bundle_version();
    for change in &changes.changes {
        match change {
            CatalogChange::Bundle(bundle) => version = version.max(bundle.version),
            CatalogChange::BundlePatch(patch) if patch.version() <= version => {}
            CatalogChange::BundlePatch(patch) if patch.before == version => {
                version = patch.version();
            }
            CatalogChange::BundlePatch(_) => return true,
            _ => {}
        }
    }
    false
}

/// The changes as other boxes are told them: a bundle by what it changes of the one before.
fn with_patches(shared: &EdgeState, changes: &CatalogChanges) -> CatalogChanges {
    let mut before = shared
        .active_bundle()
        .map(|in_force| in_force.bundle.clone());
    let mut told = changes.clone();
    for change in &mut told.changes {
        let CatalogChange::Bundle(bundle) = change else {
            continue;
        };
        let next = bundle.clone();
        let older = before.as_ref().filter(|old| old.version < next.version);
        if let Some(patch) = older.and_then(|old| BundlePatch::between(old, &next)) {
            *change = CatalogChange::BundlePatch(Arc::new(patch));
        }
        before = Some(next);
    }
    told
}

/// Tells the other boxes news of the catalog, soon where it changes anything.
fn spread(
    shared: &EdgeState,
    update: &CatalogUpdate,
    urgent: bool,
    from: Option<LinkId>,
) {
    shared.links.lock().broadcast(update, urgent, from);
    if urgent {
        shared.pending_updates.notify();
    }
}

fn doubtful_ms(shared: &EdgeState, now: Instant) -> u32 {
    as_ms(shared.directory.lock().removal_grace_left(now))
}

fn as_ms(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}
