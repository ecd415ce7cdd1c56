//! The catalog as this box knows it, whether it read the store itself or a peer sent it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::LinkId;
use wingspur_protocol::{
    CatalogChange, CatalogChanges, CatalogSnapshot, CatalogSnapshotUpdate, CatalogUpdate,
};
use wingspur_state::{
    BundlePatch, BundleVersion, ServerId, ServerRegistry, StorePosition,
};

use crate::catalog::directory_changes::{apply_server_changes, log_kept_servers};
use crate::catalog::evacuation::{begin_evacuation, end_evacuation, replace_evacuations};
use crate::edge_state::EdgeState;
use crate::quotas::quarantine::{
    apply_quarantine, end_quarantine, quarantine_records, replace_quarantines,
};

/// Applies a catalog update from a peer, and sends what is new to this box on to its
/// other links. `from` is the link that it came by.
pub fn apply_peer_update(
    shared: &Arc<EdgeState>,
    update: CatalogUpdate,
    from: Option<LinkId>,
    now: Instant,
) {
    match update {
        CatalogUpdate::Snapshot(update) => apply_peer_snapshot(shared, update, from, now),
        CatalogUpdate::Changes {
            changes,
            doubtful_ms,
        } => apply_peer_changes(shared, changes, doubtful_ms, from, now),
    }
}

fn apply_peer_snapshot(
    shared: &Arc<EdgeState>,
    received: Arc<CatalogSnapshotUpdate>,
    from: Option<LinkId>,
    now: Instant,
) {
    let bundle = received.snapshot.bundle.as_ref();
    let bundle_version = bundle.map(|bundle| bundle.version);
    let returned = received.returned.clone();
    if received.snapshot.position > shared.links.lock().position() {
        record_peer_read(shared, received.doubtful_ms, now);
        apply_snapshot(shared, Arc::unwrap_or_clone(received), "peer", now);
        broadcast_snapshot(shared, from, now);
    } else if merge_older_snapshot(shared, &received, now) {
        broadcast_snapshot(shared, from, now);
    }
    let peer_is_behind = peer_is_behind(shared, bundle_version, &returned);
    if let Some(link) = from.filter(|_| peer_is_behind) {
        let snapshot = current_snapshot(shared, now);
        shared.links.lock().send_update(link, snapshot);
        shared.pending_updates.notify();
    }
}

/// Applies those parts of a peer's snapshot that count whatever its position, since a
/// restored store has lost them: a newer bundle, and servers that had ended before the
/// restore. Returns whether any of it was new to this box.
fn merge_older_snapshot(
    shared: &Arc<EdgeState>,
    received: &CatalogSnapshotUpdate,
    now: Instant,
) -> bool {
    let bundle = received.snapshot.bundle.clone();
    let is_newer = bundle.is_some_and(|bundle| shared.activate_bundle(bundle, "peer"));
    if is_newer {
        shared.update_fleet_shares();
    }
    let is_of_this_era =
        received.snapshot.position.era() == shared.links.lock().position().era();
    let suppressed = match is_of_this_era {
        true => shared
            .directory
            .lock()
            .suppress_stale(&received.returned, now),
        false => Vec::new(),
    };
    apply_server_changes(shared, &suppressed, "peer");
    is_newer || !suppressed.is_empty()
}

/// Returns whether this box knows something that a restored store has lost and that the
/// peer that sent a snapshot does not know: a newer bundle, or a listed server that had
/// ended before the restore.
fn peer_is_behind(
    shared: &EdgeState,
    peer_version: Option<BundleVersion>,
    peer_returned: &[ServerId],
) -> bool {
    let has_newer = peer_version.is_some_and(|version| version < shared.bundle_version());
    let directory = shared.directory.lock();
    let mut suppressed = directory.suppressed();
    has_newer || suppressed.any(|record| !peer_returned.contains(&record.id))
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
    if changes.after > known || lacks_patch_base(shared, &changes) {
        // This box lacks changes in between, or the bundle that a patch builds on.
        if let Some(link) = from {
            shared.links.lock().request_snapshot(link);
            shared.pending_updates.notify();
        }
        return;
    }
    record_peer_read(shared, doubtful_ms, now);
    let urgent = !changes.changes.is_empty();
    let update = CatalogUpdate::Changes {
        changes: changes.clone(),
        doubtful_ms: removal_grace_ms(shared, now),
    };
    broadcast(shared, &update, urgent, from);
    apply_changes(shared, changes, "peer", now);
}

/// Records that the store has answered a read of this box with its state of `read_at`,
/// before that state is applied. Returns for how long an absent entry may be one that
/// expired in an outage.
pub fn record_own_read(shared: &EdgeState, read_at: Instant, now: Instant) -> Duration {
    let grace = {
        let mut links = shared.links.lock();
        links.watch_state().record_read(read_at);
        links.watch_state().removal_grace(now)
    };
    let grace = grace.unwrap_or_default();
    shared.directory.lock().store_read(grace, now);
    grace
}

/// Records that another box has read the store, before what it sent is applied.
///
/// Whether absent entries may have expired in an outage is decided here, by the reads of
/// all boxes that this one knows of: the sender may have lost only its own path to the
/// store. The sender's grace, `doubtful_ms`, counts on a box that cannot tell.
fn record_peer_read(shared: &EdgeState, doubtful_ms: u32, now: Instant) {
    let received = Duration::from_millis(doubtful_ms.into());
    let own = shared.links.lock().watch_state().removal_grace(now);
    let grace = own.unwrap_or(received);
    shared.directory.lock().store_read(grace, now);
}

/// Applies a snapshot that this box read from the store, and sends it to the other boxes
/// if it is newer than what was known. Returns false, and drops the snapshot, where peers
/// have sent something newer in the meantime.
pub fn apply_store_snapshot(
    shared: &Arc<EdgeState>,
    snapshot: CatalogSnapshot,
    now: Instant,
) -> bool {
    let known = shared.links.lock().position();
    let position = snapshot.position;
    let is_older = position < known;
    tracing::info!(
        %known,
        %position,
        bundle_version = snapshot.bundle.as_ref().map_or(0, |bundle| bundle.version),
        servers = snapshot.servers.len(),
        outcome = if is_older { "passed over" } else { "taken" },
        "catalog: listed."
    );
    if is_older {
        return false;
    }
    let update = CatalogSnapshotUpdate {
        snapshot,
        doubtful_ms: 0,
        missing: Vec::new(),
        returned: Vec::new(),
    };
    apply_snapshot(shared, update, "store", now);
    if position > known {
        broadcast_snapshot(shared, None, now);
    }
    true
}

/// Applies changes that this box read from the store, and sends them to the other boxes;
/// server entries that are already current are left out, and only the position is sent
/// for them. Returns false, and drops the changes, where peers have sent something newer
/// in the meantime.
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
            // The remaining warm-up time is stored, so that the start of a later warm-up
            // can be recognised by a longer time.
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
            doubtful_ms: removal_grace_ms(shared, now),
        };
        broadcast(shared, &update, urgent, None);
    }
    apply_changes(shared, changes, "store", now);
    true
}

/// Returns what a peer lacks that knows the catalog up to `position` and has the bundle
/// `bundle_version` active; `None` where it lacks nothing.
pub fn catch_up_update(
    shared: &EdgeState,
    position: StorePosition,
    bundle_version: BundleVersion,
    now: Instant,
) -> Option<CatalogUpdate> {
    let is_behind = shared.links.lock().position() > position;
    let update = is_behind.then(|| update_since(shared, position, now));
    let newest = shared.bundle_version();
    let has_newest_bundle = update
        .as_ref()
        .is_some_and(|update| contains_bundle(update, newest));
    let has_suppressed = shared.directory.lock().suppressed().next().is_some();
    // Changes do not contain what a restored store has lost; only a snapshot does.
    match has_suppressed || (newest > bundle_version && !has_newest_bundle) {
        true => Some(current_snapshot(shared, now)),
        false => update,
    }
}

/// Returns whether a peer that applies the update has the bundle of this version; a
/// snapshot always contains the newest bundle.
fn contains_bundle(update: &CatalogUpdate, version: BundleVersion) -> bool {
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

/// Returns the changes since a position, or a snapshot where they are not all available
/// any more.
fn update_since(
    shared: &EdgeState,
    position: StorePosition,
    now: Instant,
) -> CatalogUpdate {
    let changes = shared.links.lock().changes_since(position);
    match changes {
        Some(changes) => CatalogUpdate::Changes {
            changes,
            doubtful_ms: removal_grace_ms(shared, now),
        },
        None => current_snapshot(shared, now),
    }
}

/// Returns a snapshot of the catalog as this box knows it, for a peer that is behind. The
/// cached snapshot is used while it is current.
pub fn current_snapshot(shared: &EdgeState, now: Instant) -> CatalogUpdate {
    let version = shared.bundle_version();
    let cached = shared.links.lock().cached_snapshot(version, now);
    cached.unwrap_or_else(|| build_snapshot(shared, now))
}

/// Sends a snapshot of the catalog to all linked boxes except the one at `from`.
fn broadcast_snapshot(shared: &EdgeState, from: Option<LinkId>, now: Instant) {
    let snapshot = build_snapshot(shared, now);
    broadcast(shared, &snapshot, true, from);
}

/// Builds a snapshot of the catalog as this box knows it, and caches it.
fn build_snapshot(shared: &EdgeState, now: Instant) -> CatalogUpdate {
    let announced = shared.announcement.lock().is_some();
    let (position, boxes) = {
        let mut links = shared.links.lock();
        let own = announced.then(|| links.own().clone());
        let known = links.planner().boxes().cloned();
        let boxes = known.chain(own).collect();
        (links.position(), boxes)
    };
    let active = shared.active_bundle();
    let quarantines = quarantine_records(shared);
    let evacuated = shared.services.evacuated().iter().cloned().collect();
    let directory = shared.directory.lock();
    let removal_grace = directory.removal_grace_left(now);
    let snapshot = CatalogSnapshot {
        position,
        bundle: active.map(|active| active.bundle.clone()),
        servers: directory.listed().cloned().collect(),
        boxes,
        quarantines,
        evacuated,
    };
    let suppressed = directory.suppressed().map(|record| record.id.clone());
    let update = Arc::new(CatalogSnapshotUpdate {
        snapshot,
        doubtful_ms: as_ms(removal_grace),
        missing: directory.missing().cloned().collect(),
        returned: suppressed.collect(),
    });
    drop(directory);
    shared.links.lock().cache_snapshot(update.clone(), now);
    CatalogUpdate::Snapshot(update)
}

fn apply_snapshot(
    shared: &Arc<EdgeState>,
    update: CatalogSnapshotUpdate,
    source: &str,
    now: Instant,
) {
    let snapshot = update.snapshot;
    if let Some(bundle) = snapshot.bundle {
        shared.activate_bundle(bundle, source);
    }
    let mut directory = shared.directory.lock();
    let missing_before = missing_ids(&directory);
    let mut changes = directory.replace_restored(snapshot.servers, &update.returned, now);
    let missing = update.missing.into_iter();
    changes.extend(missing.filter_map(|record| directory.put_missing(record, now)));
    let missing = missing_ids(&directory);
    drop(directory);
    let kept: Vec<ServerId> = missing.difference(&missing_before).cloned().collect();
    log_kept_servers(shared, &kept, source, now);
    apply_server_changes(shared, &changes, source);
    replace_quarantines(shared, snapshot.position, &snapshot.quarantines);
    replace_evacuations(shared, snapshot.evacuated, source);
    let mut links = shared.links.lock();
    links.planner().replace(snapshot.boxes, now);
    links.watch_state().advance_to(snapshot.position);
    drop(links);
    shared.update_fleet_shares();
    shared.link_plan_changed.notify();
}

fn missing_ids(directory: &ServerRegistry) -> BTreeSet<ServerId> {
    directory
        .missing()
        .map(|record| record.id.clone())
        .collect()
}

fn apply_changes(
    shared: &Arc<EdgeState>,
    changes: CatalogChanges,
    source: &str,
    now: Instant,
) {
    let mut server_changes = Vec::new();
    let mut kept = Vec::new();
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
                server_changes.extend(shared.directory.lock().put(record));
            }
            CatalogChange::ServerGone(id) => {
                let mut directory = shared.directory.lock();
                match directory.remove(&id, now) {
                    Some(change) => server_changes.push(change),
                    None if directory.is_missing(&id) => kept.push(id),
                    None => {}
                }
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
    log_kept_servers(shared, &kept, source, now);
    apply_server_changes(shared, &server_changes, source);
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

/// Returns whether the changes contain a newer bundle only as a patch of a bundle that
/// this box does not have.
fn lacks_patch_base(shared: &EdgeState, changes: &CatalogChanges) -> bool {
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

/// Returns the changes in the form that is sent to other boxes: a bundle as a patch of
/// the one before it, where there is a patch.
fn with_patches(shared: &EdgeState, changes: &CatalogChanges) -> CatalogChanges {
    let mut previous = shared.active_bundle().map(|active| active.bundle.clone());
    let mut patched = changes.clone();
    for change in &mut patched.changes {
        let CatalogChange::Bundle(bundle) = change else {
            continue;
        };
        let next = bundle.clone();
        let older = previous.as_ref().filter(|old| old.version < next.version);
        if let Some(patch) = older.and_then(|old| BundlePatch::between(old, &next)) {
            *change = CatalogChange::BundlePatch(Arc::new(patch));
        }
        previous = Some(next);
    }
    patched
}

/// Sends a catalog update to all linked boxes except the one at `from`. An urgent update
/// is sent soon, any other with the next regular frame.
fn broadcast(
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

/// Returns for how long servers that vanish from the store may only be missing.
fn removal_grace_ms(shared: &EdgeState, now: Instant) -> u32 {
    as_ms(shared.directory.lock().removal_grace_left(now))
}

fn as_ms(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}
