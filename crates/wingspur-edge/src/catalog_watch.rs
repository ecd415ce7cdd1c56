//! Reads the catalog where this box should: a listing first, then changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use wingspur_coordination::{lists_catalog_at_start, waits_for_hub_snapshot};
use wingspur_protocol::BoxRecord;
use wingspur_transport::{CatalogError, StopSignal};

use crate::catalog_state::{apply_store_changes, apply_store_snapshot};
use crate::directory_changes::expire_missing_servers;
use crate::edge_state::EdgeState;
use crate::store_calls::call_store;

/// Reads the catalog whenever this box should, until it stops.
pub async fn run_catalog_watch(shared: Arc<EdgeState>, stop: StopSignal) {
    let mut reading = Reading::default();
    let started = wingspur_clock::now();
    wait_for_hub(&shared, started).await;
    while !stop.is_triggered() {
        if !should_read(&shared) {
            if reading.active {
                tracing::info!("store: another box reads it.");
                shared.links.lock().watch_state().stop_reading();
            }
            reading = Reading::default();
            wingspur_clock::sleep(IDLE_CHECK).await;
            continue;
        }
        if !reading.active {
            let position = shared.links.lock().position();
            tracing::info!(%position, "store: reading it.");
            reading.active = true;
        }
        match step(&shared, &mut reading, started).await {
            Ok(()) => reading.note_success(&shared),
            Err(error @ (CatalogError::HistoryLost | CatalogError::OlderEra { .. })) => {
                let gaps = reading.gaps;
                tracing::info!(gaps, %error, "store: listing anew.");
                reading.lists = Some(Listing::Fresh);
                if gaps > 0 {
                    // Listing did not help: a store that does so all the time is not flooded.
                    wingspur_clock::sleep(retry_backoff(gaps)).await;
                }
                reading.gaps += 1;
            }
            Err(error) => {
                reading.note_failure(&shared, &error);
                wait_to_retry(&shared, reading.failures).await;
            }
        }
        expire_missing_servers(&shared, wingspur_clock::now());
    }
}

/// Gives a hub the time to tell this box all there is, before it lists that itself.
///
/// Boxes that start together are bound by the store's link; the last to list would
/// know a bundle late.
async fn wait_for_hub(shared: &Arc<EdgeState>, started: Instant) {
    let boxes = find_boxes(shared).await;
    let (own_id, before) = {
        let mut links = shared.links.lock();
        (links.own().id.clone(), links.planner().rank())
    };
    let was_announced = boxes.iter().any(|record| record.id == own_id);
    let hold = match lists_catalog_at_start(was_announced, before) {
        true => Duration::ZERO,
        false => jittered(HUB_HOLD),
    };
    let (boxes, hold_ms) = (boxes.len(), hold.as_millis() as u64);
    let until = wingspur_clock::now() + hold;
    while wingspur_clock::now() < until && shared.links.lock().is_starting() {
        wingspur_clock::sleep(HOLD_CHECK).await;
    }
    wait_for_listing(shared, started).await;
    let position = shared.links.lock().position();
    let outcome = match position.is_start() {
        true => "this box lists",
        false => "a hub told it",
    };
    tracing::info!(boxes, before, hold_ms, %position, "catalog: {outcome}.");
}

/// Waits until this box has linked with a hub that has come up while it lists, and that it
/// may wait for.
///
/// Boxes that all start at once find nobody announced, and each would list all there is: with
/// hundreds of boxes and thousands of servers that takes the store longer than the strongest
/// boxes need to list and tell the others.
async fn wait_for_new_hub(shared: &Arc<EdgeState>, started: Instant) {
    loop {
        wingspur_clock::sleep(jittered(HUB_LOOK)).await;
        if waits_for_hub(shared, started) {
            tracing::info!("catalog: left to a hub.");
            return;
        }
        if shared.links.lock().own_hub().is_none() {
            find_boxes(shared).await;
        }
    }
}

/// Waits for the listing of this box's hub, for as long as it may be waited for.
async fn wait_for_listing(shared: &EdgeState, started: Instant) {
    while waits_for_hub(shared, started) {
        wingspur_clock::sleep(HOLD_CHECK).await;
    }
}

/// Whether this box knows nothing yet, and its hub should send it a listing.
fn waits_for_hub(shared: &EdgeState, started: Instant) -> bool {
    let links = shared.links.lock();
    let since_start = wingspur_clock::since(started);
    links.is_starting() && waits_for_hub_snapshot(links.hub_has_catalog(), since_start)
}

/// Learns from the store which boxes are announced, unless more is known here already.
async fn find_boxes(shared: &Arc<EdgeState>) -> Vec<BoxRecord> {
    match call_store(shared, "list_boxes", (shared.catalog.list_boxes)()).await {
        Ok(listing) => {
            let mut links = shared.links.lock();
            if listing.position >= links.position() {
                links
                    .planner()
                    .replace(listing.boxes.clone(), wingspur_clock::now());
                shared.link_plan_changed.notify();
            }
            listing.boxes
        }
        Err(error) => {
            tracing::info!(%error, "catalog: the boxes are not known.");
            Vec::new()
        }
    }
}

/// How far this box is in reading the catalog.
#[derive(Debug, Default)]
struct Reading {
    active: bool,
    failures: u32,
    /// Listings made anew in a row, without a watch that told anything in between.
    gaps: u32,
    /// The listing that is due; none while changes are followed.
    lists: Option<Listing>,
}

/// Which listing is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listing {
    /// One that may be some seconds old: the first watch makes up for it.
    Cheap,
    /// The present one: the store has no history to make up for an old one.
    Fresh,
}

impl Reading {
    fn note_success(&mut self, shared: &EdgeState) {
        if self.failures > 0 {
            tracing::info!(failures = self.failures, "store: it answers again.");
        }
        self.failures = 0;
        shared
            .directory
            .lock()
            .store_recovered(wingspur_clock::now());
    }

    fn note_failure(&mut self, shared: &EdgeState, error: &CatalogError) {
        if self.failures == 0 {
            tracing::warn!(%error, "store: lost.");
        }
        self.failures += 1;
        shared.links.lock().watch_state().note_no_answer();
        shared.directory.lock().store_lost();
    }
}

/// Lists, or waits for changes.
async fn step(
    shared: &Arc<EdgeState>,
    reading: &mut Reading,
    started: Instant,
) -> Result<(), CatalogError> {
    let position = shared.links.lock().position();
    let due = match reading.lists {
        None if position.is_start() => Some(Listing::Cheap),
        None if is_of_older_era(shared) => Some(Listing::Fresh),
        due => due,
    };
    if let Some(due) = due {
        let call = (shared.catalog.list)(due == Listing::Fresh);
        let listing = async { call_store(shared, "list", call).await.map(Some) };
        let hub = async {
            match position.is_start() {
                true => wait_for_new_hub(shared, started).await,
                false => futures_lite::future::pending().await,
            }
            Ok(None)
        };
        let Some(listing) = listing.or(hub).await? else {
            wait_for_listing(shared, started).await;
            return Ok(());
        };
        reading.lists = None;
        if apply_store_snapshot(shared, listing, wingspur_clock::now()) {
            note_listing(shared, due);
        }
        if position.is_start() {
            // Boxes that start together announce themselves together: one watch later hears
            // of all, and by then another box may read for this one.
            wingspur_clock::sleep(jittered(FIRST_WATCH_AFTER)).await;
            if shared.links.lock().is_unlinked() {
                find_boxes(shared).await;
                wingspur_clock::sleep(LINK_TIME).await;
            }
        }
        return Ok(());
    }
    let call = (shared.catalog.watch)(position, WATCH_WAIT);
    let watching = call_store(shared, "watch", call);
    let unneeded = async {
        // A watch from a position of an era that is over tells nothing.
        while should_read(shared) && !is_of_older_era(shared) {
            shared.store_restored.wait(NEED_CHECK).await;
        }
        Ok(None)
    };
    let watched = async { watching.await.map(Some) };
    if let Some(changes) = watched.or(unneeded).await? {
        reading.gaps = 0;
        let brought_any = changes.position > changes.after;
        if apply_store_changes(shared, changes, wingspur_clock::now()) {
            note_answer(shared);
        }
        if brought_any {
            // What follows at once is read by the same next call.
            wingspur_clock::sleep(WATCH_GATHER).await;
        }
    }
    Ok(())
}

/// Notes that all that the store had told by now is in. Only the answer of a watch or a
/// fresh listing says so: another call may be answered while the watch is deaf.
fn note_answer(shared: &EdgeState) {
    shared
        .links
        .lock()
        .watch_state()
        .note_answer(wingspur_clock::now());
}

/// Notes a listing's answer, a cheap one by what it may lack.
fn note_listing(shared: &EdgeState, listing: Listing) {
    let now = wingspur_clock::now();
    let as_of = match listing {
        Listing::Fresh => Some(now),
        Listing::Cheap => now.checked_sub(CHEAP_IS_OLD),
    };
    shared
        .links
        .lock()
        .watch_state()
        .note_answer(as_of.unwrap_or(now));
}

/// Whether the store has been restored since what is known here was read.
fn is_of_older_era(shared: &EdgeState) -> bool {
    shared.links.lock().watch_state().is_of_older_era()
}

fn should_read(shared: &EdgeState) -> bool {
    let now = wingspur_clock::now();
    let mut links = shared.links.lock();
    let is_hub = links.is_hub(now);
    let rank = links.planner().rank();
    links.watch_state().should_watch_store(is_hub, rank, now)
}

/// Waits before the store is read again.
///
/// While another box tries all the time, now and then is enough here: the store may turn
/// away some boxes only. A hub tries all the time itself, also one that has just taken over:
/// two that waited for each other would both be late.
async fn wait_to_retry(shared: &EdgeState, failures: u32) {
    let began = wingspur_clock::now();
    let (own, helper) = (retry_backoff(failures), jittered(HELPER_PAUSE));
    loop {
        let waited = wingspur_clock::since(began);
        let whole = if may_leave_it(shared) { helper } else { own };
        let Some(left) = whole.checked_sub(waited).filter(|left| !left.is_zero()) else {
            return;
        };
        if shared.store_restored.wait(left.min(IDLE_CHECK)).await {
            return;
        }
    }
}

fn may_leave_it(shared: &EdgeState) -> bool {
    let mut links = shared.links.lock();
    let is_hub = links.is_hub(wingspur_clock::now());
    links.watch_state().may_defer_read(is_hub)
}

/// A pause that doubles up to a second.
pub fn retry_backoff(failures: u32) -> Duration {
    let whole = FIRST_PAUSE * 2u32.pow(failures.min(4));
    jittered(whole.min(MOST_PAUSE))
}

/// Draws between a half and the whole of a time.
fn jittered(whole: Duration) -> Duration {
    whole.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

/// How long a watch waits for a change. One that was cut off inside the store stays silent
/// and ends only here; and its end is what tells how old a hub's reading is. Half of the time
/// after which a member reads for itself, so that one late answer does not make it.
const WATCH_WAIT: Duration = Duration::from_millis(650);
/// Pause after a watch that told of a change. Without it each of some hundred writes in a
/// second, as when servers or boxes join, costs each hub a call: 1,060 calls of five hubs
/// in the first three seconds of 443 boxes.
const WATCH_GATHER: Duration = Duration::from_millis(60);
/// Changes are in force within two seconds also at a box that has just started.
const FIRST_WATCH_AFTER: Duration = Duration::from_millis(800);
/// A box that has just learned of a hub links with it in this time, rather than watch.
const LINK_TIME: Duration = Duration::from_millis(200);
/// So long at most a box that starts waits for a hub's listing: half a second later than
/// the hub it has listed itself, within the three seconds after a start in which a box need
/// not follow changes yet.
const HUB_HOLD: Duration = Duration::from_millis(1000);
const HOLD_CHECK: Duration = Duration::from_millis(20);
/// How often a box that lists looks for a hub: listings of few servers take less.
const HUB_LOOK: Duration = Duration::from_millis(500);
/// A cheap listing may be some seconds old.
const CHEAP_IS_OLD: Duration = Duration::from_secs(4);
const IDLE_CHECK: Duration = Duration::from_millis(100);
const NEED_CHECK: Duration = Duration::from_millis(500);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_secs(1);
/// Forty boxes that look every few seconds find within a tenth of one that the store serves
/// some of them.
const HELPER_PAUSE: Duration = Duration::from_secs(4);
