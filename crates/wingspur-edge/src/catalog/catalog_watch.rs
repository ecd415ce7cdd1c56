//! Reads the catalog from the store while this box should: a snapshot first, then a watch
//! for changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use wingspur_coordination::{lists_catalog_at_start, waits_for_hub_snapshot};
use wingspur_protocol::BoxRecord;
use wingspur_transport::{CatalogError, StopSignal};

use crate::catalog::catalog_state::{
    apply_store_changes, apply_store_snapshot, record_own_read,
};
use crate::catalog::directory_changes::expire_missing_servers;
use crate::catalog::store_calls::call_store;
use crate::edge_state::EdgeState;

/// Reads the catalog from the store whenever this box should, until the box stops.
pub async fn run_catalog_watch(shared: Arc<EdgeState>, stop: StopSignal) {
    let mut watch = WatchLoop::default();
    let started = wingspur_clock::now();
    wait_for_hub_at_start(&shared, started).await;
    while !stop.is_triggered() {
        if !should_watch_store(&shared) {
            if watch.active {
                tracing::info!("store: another box reads the catalog.");
                shared.links.lock().watch_state().stop_reading();
            }
            watch = WatchLoop::default();
            wingspur_clock::sleep(IDLE_POLL_INTERVAL).await;
            continue;
        }
        if !watch.active {
            let position = shared.links.lock().position();
            tracing::info!(%position, "store: reading it.");
            watch.active = true;
        }
        match run_watch_step(&shared, &mut watch, started).await {
            Ok(()) => {}
            Err(error @ (CatalogError::HistoryLost | CatalogError::OlderEra { .. })) => {
                let gaps = watch.gaps;
                tracing::info!(gaps, %error, "store: listing anew.");
                watch.due_listing = Some(ListingKind::Fresh);
                if gaps > 0 {
                    // The last listing did not help. The pause keeps a store that always
                    // responds this way from being flooded with listings.
                    wingspur_clock::sleep(retry_backoff(gaps)).await;
                }
                watch.gaps += 1;
            }
            Err(error) => {
                watch.record_failure(&shared, &error);
                wait_to_retry(&shared, watch.failures).await;
            }
        }
        expire_missing_servers(&shared, wingspur_clock::now());
    }
}

/// Gives a hub time to send a snapshot to this starting box before the box lists the
/// catalog itself.
///
/// The link of the store limits how fast boxes that start together can list; the last one
/// to list would get the bundle late.
async fn wait_for_hub_at_start(shared: &Arc<EdgeState>, started: Instant) {
    let boxes = fetch_announced_boxes(shared).await;
    let (own_id, before) = {
        let mut links = shared.links.lock();
        (links.own().id.clone(), links.planner().rank())
    };
    let was_announced = boxes.iter().any(|record| record.id == own_id);
    let hub_wait = match lists_catalog_at_start(was_announced, before) {
        true => Duration::ZERO,
        false => jittered(MAX_HUB_WAIT),
    };
    let (boxes, hold_ms) = (boxes.len(), hub_wait.as_millis() as u64);
    let until = wingspur_clock::now() + hub_wait;
    while wingspur_clock::now() < until && shared.links.lock().is_starting() {
        wingspur_clock::sleep(HUB_WAIT_POLL_INTERVAL).await;
    }
    wait_for_hub_snapshot(shared, started).await;
    let position = shared.links.lock().position();
    let outcome = match position.is_start() {
        true => "this box lists",
        false => "a hub told it",
    };
    tracing::info!(boxes, before, hold_ms, %position, "catalog: {outcome}.");
}

/// Waits until this box is linked with a hub that has come up while the box lists the
/// catalog, and that may be waited for instead.
///
/// Boxes that all start at once find no box announced, and each would list the whole
/// catalog. With hundreds of boxes and thousands of servers that takes the store longer
/// than the strongest boxes need to list the catalog and send it to the others.
async fn wait_for_new_hub(shared: &Arc<EdgeState>, started: Instant) {
    loop {
        wingspur_clock::sleep(jittered(HUB_POLL_INTERVAL)).await;
        if waits_for_hub(shared, started) {
            tracing::info!("catalog: left to a hub.");
            return;
        }
        if shared.links.lock().own_hub().is_none() {
            fetch_announced_boxes(shared).await;
        }
    }
}

/// Waits for the snapshot of this box's hub, for as long as it may be waited for.
async fn wait_for_hub_snapshot(shared: &EdgeState, started: Instant) {
    while waits_for_hub(shared, started) {
        wingspur_clock::sleep(HUB_WAIT_POLL_INTERVAL).await;
    }
}

/// Returns whether this box knows nothing of the catalog yet and may still wait for a
/// snapshot from its hub.
fn waits_for_hub(shared: &EdgeState, started: Instant) -> bool {
    let links = shared.links.lock();
    let since_start = wingspur_clock::since(started);
    links.is_starting() && waits_for_hub_snapshot(links.hub_has_catalog(), since_start)
}

/// Reads from the store which boxes are announced, and returns them. They replace the
/// boxes that this box knows unless its catalog is newer. The result is empty where the
/// store does not answer.
async fn fetch_announced_boxes(shared: &Arc<EdgeState>) -> Vec<BoxRecord> {
    match call_store(shared, "list_boxes", (shared.catalog.list_boxes)()).await {
        Ok(snapshot) => {
            let mut links = shared.links.lock();
            if snapshot.position >= links.position() {
                links
                    .planner()
                    .replace(snapshot.boxes.clone(), wingspur_clock::now());
                shared.link_plan_changed.notify();
            }
            snapshot.boxes
        }
        Err(error) => {
            tracing::info!(%error, "catalog: could not list the announced boxes.");
            Vec::new()
        }
    }
}

/// The state of the loop that reads the catalog.
#[derive(Debug, Default)]
struct WatchLoop {
    /// Whether this box reads the store now.
    active: bool,
    /// Calls to the store that failed in a row.
    failures: u32,
    /// Failed calls in a row that made a new listing necessary, since the store had lost
    /// its history or answered from an older era. A successful watch resets the count.
    gaps: u32,
    /// The kind of listing that is due; `None` while the loop watches for changes.
    due_listing: Option<ListingKind>,
    /// Whether the store answered this box's last call.
    is_confirmed: bool,
}

/// The kind of a listing of the whole catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListingKind {
    /// A listing that may be some seconds old; the first watch returns the changes since.
    Cheap,
    /// The current state; needed where the store lacks the history that the watch would
    /// have to return.
    Fresh,
}

impl ListingKind {
    /// Returns how old the listed state may be.
    fn max_age(self) -> Duration {
        match self {
            Self::Cheap => CHEAP_LISTING_MAX_AGE,
            Self::Fresh => Duration::ZERO,
        }
    }
}

impl WatchLoop {
    /// Records that the store has answered with its state of `read_at`, before that state
    /// is applied.
    fn record_answer(&mut self, shared: &EdgeState, read_at: Instant) {
        let now = wingspur_clock::now();
        let read_age = shared.links.lock().watch_state().confirmed_age(now);
        let grace = record_own_read(shared, read_at, now);
        if self.failures > 0 {
            tracing::info!(
                failures = self.failures,
                read_age_ms = read_age.map(|age| age.as_millis() as u64),
                grace_ms = grace.as_millis() as u64,
                "store: it answers again."
            );
        }
        self.failures = 0;
        self.is_confirmed = true;
    }

    /// Records a call that failed.
    fn record_failure(&mut self, shared: &EdgeState, error: &CatalogError) {
        self.failures += 1;
        self.is_confirmed = false;
        let now = wingspur_clock::now();
        let (read_age, is_away) = {
            let mut links = shared.links.lock();
            let freshness = links.watch_state();
            freshness.record_store_failure();
            (freshness.confirmed_age(now), freshness.is_store_away(now))
        };
        let read_age_ms = read_age.map(|age| age.as_millis() as u64);
        if self.failures == 1 {
            tracing::warn!(%error, read_age_ms, "store: lost.");
        }
        if is_away {
            shared.directory.lock().store_lost();
        }
    }
}

/// Lists the catalog if a listing is due, and otherwise waits for changes once.
async fn run_watch_step(
    shared: &Arc<EdgeState>,
    watch: &mut WatchLoop,
    started: Instant,
) -> Result<(), CatalogError> {
    let position = shared.links.lock().position();
    let due = match watch.due_listing {
        None if position.is_start() => Some(ListingKind::Cheap),
        None if is_of_older_era(shared) => Some(ListingKind::Fresh),
        due => due,
    };
    if let Some(due) = due {
        let call = (shared.catalog.list)(due == ListingKind::Fresh);
        let listed = async { call_store(shared, "list", call).await.map(Some) };
        let new_hub = async {
            match position.is_start() {
                true => wait_for_new_hub(shared, started).await,
                false => futures_lite::future::pending().await,
            }
            Ok(None)
        };
        let Some(snapshot) = listed.or(new_hub).await? else {
            wait_for_hub_snapshot(shared, started).await;
            return Ok(());
        };
        watch.due_listing = None;
        let now = wingspur_clock::now();
        let read_at = now.checked_sub(due.max_age()).unwrap_or(now);
        watch.record_answer(shared, read_at);
        if apply_store_snapshot(shared, snapshot, now) {
            record_store_reply(shared, read_at);
        }
        if position.is_start() {
            // Boxes that start together also announce themselves together. A single watch
            // that begins after this pause returns all their announcements, and by then
            // another box may read the store on behalf of this one.
            wingspur_clock::sleep(jittered(FIRST_WATCH_DELAY)).await;
            if shared.links.lock().is_unlinked() {
                fetch_announced_boxes(shared).await;
                wingspur_clock::sleep(LINK_SETUP_TIME).await;
            }
        }
        return Ok(());
    }
    let timeout = match watch.is_confirmed {
        true => WATCH_TIMEOUT,
        false => CONFIRMING_WATCH_TIMEOUT,
    };
    let call = (shared.catalog.watch)(position, timeout);
    let watching = call_store(shared, "watch", call);
    let not_needed = async {
        // A watch from a position of an earlier era returns no changes.
        while should_watch_store(shared) && !is_of_older_era(shared) {
            shared.store_restored.wait(WATCH_NEED_POLL_INTERVAL).await;
        }
        Ok(None)
    };
    let watched = async { watching.await.map(Some) };
    if let Some(changes) = watched.or(not_needed).await? {
        watch.gaps = 0;
        let now = wingspur_clock::now();
        watch.record_answer(shared, now);
        let has_changes = changes.position > changes.after;
        if apply_store_changes(shared, changes, now) {
            record_store_reply(shared, now);
        }
        if has_changes {
            // Changes that follow shortly are all returned by the next call.
            wingspur_clock::sleep(WATCH_BATCH_DELAY).await;
        }
    }
    Ok(())
}

/// Records that this box knows everything that the store held at `read_at`. Only the
/// response to a watch or a fresh listing shows this for the present: other calls may be
/// answered while the watch receives nothing.
fn record_store_reply(shared: &EdgeState, read_at: Instant) {
    shared
        .links
        .lock()
        .watch_state()
        .record_store_reply(read_at);
}

/// Returns whether the store has been restored since the catalog that this box knows was
/// read.
fn is_of_older_era(shared: &EdgeState) -> bool {
    shared.links.lock().watch_state().is_of_older_era()
}

/// Returns whether this box should read the catalog from the store itself.
fn should_watch_store(shared: &EdgeState) -> bool {
    let now = wingspur_clock::now();
    let mut links = shared.links.lock();
    let is_hub = links.is_hub(now);
    let rank = links.planner().rank();
    links.watch_state().should_watch_store(is_hub, rank, now)
}

/// Waits before the next try to read the store; a restore of the store ends the wait.
///
/// While another box keeps trying, a rare try is enough here, in case the store rejects
/// only some of the boxes. A single failure may be a cut connection, so this box asks
/// again soon: it may be the only one that reaches the store. A hub always keeps trying
/// itself, even one that has just taken over: two hubs that waited for each other would
/// both be late.
async fn wait_to_retry(shared: &EdgeState, failures: u32) {
    let began = wingspur_clock::now();
    let (own_delay, deferred_delay) =
        (retry_backoff(failures), jittered(DEFERRED_RETRY_INTERVAL));
    loop {
        let waited = wingspur_clock::since(began);
        let delay = if failures > 1 && may_defer_read(shared) {
            deferred_delay
        } else {
            own_delay
        };
        let Some(left) = delay.checked_sub(waited).filter(|left| !left.is_zero()) else {
            return;
        };
        if shared
            .store_restored
            .wait(left.min(IDLE_POLL_INTERVAL))
            .await
        {
            return;
        }
    }
}

/// Returns whether another box keeps trying to read the store, so that this one may try
/// rarely.
fn may_defer_read(shared: &EdgeState) -> bool {
    let mut links = shared.links.lock();
    let is_hub = links.is_hub(wingspur_clock::now());
    links.watch_state().may_defer_read(is_hub)
}

/// Returns the pause before the next try after this many failures in a row. It doubles
/// with each failure up to one second and is shortened by a random part of up to a half.
pub fn retry_backoff(failures: u32) -> Duration {
    let backoff = MIN_RETRY_BACKOFF * 2u32.pow(failures.min(4));
    jittered(backoff.min(MAX_RETRY_BACKOFF))
}

/// Returns a random duration between half of `longest` and `longest`.
fn jittered(longest: Duration) -> Duration {
    longest.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

/// How long a watch waits for a change. A watch that was cut off inside the store
/// receives nothing and ends only by this timeout, and the end of a watch is what
/// confirms how fresh a hub's catalog is. This is half of the time after which a member
/// reads the store itself, so that a single late response does not make it do so.
const WATCH_TIMEOUT: Duration = Duration::from_millis(650);
/// How long the first watch of a reader waits for a change, and the first one after a
/// failed call. Its response shows at once whether the store answers: until then boxes
/// can't tell a lost connection from an outage.
const CONFIRMING_WATCH_TIMEOUT: Duration = Duration::from_millis(1);
/// The pause after a watch that returned a change. Without it, each of some hundred
/// writes per second, as when servers or boxes join, costs each hub a call: 1,060 calls
/// of five hubs in the first three seconds of a fleet of 443 boxes.
const WATCH_BATCH_DELAY: Duration = Duration::from_millis(60);
/// The longest pause between the first listing of a box that has just started and its
/// first watch. It is short enough for changes to be active within two seconds on such a
/// box too.
const FIRST_WATCH_DELAY: Duration = Duration::from_millis(800);
/// The time that a box which has just found a hub has to link with it, instead of
/// watching the store itself.
const LINK_SETUP_TIME: Duration = Duration::from_millis(200);
/// The longest time that a starting box waits for a snapshot from a hub that is not known
/// to have the catalog. It then lists the catalog itself, half a second later than the
/// hub, and within the three seconds after a start in which a box need not follow changes
/// yet.
const MAX_HUB_WAIT: Duration = Duration::from_millis(1000);
const HUB_WAIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often a box that is listing the catalog looks for a hub. Listings of few servers
/// take less time than this.
const HUB_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How old a cheap listing may be.
const CHEAP_LISTING_MAX_AGE: Duration = Duration::from_secs(4);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
const WATCH_NEED_POLL_INTERVAL: Duration = Duration::from_millis(500);
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(100);
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// The interval of tries while another box keeps trying. Forty boxes that each try every
/// few seconds find out within a tenth of a second that the store serves some of them.
const DEFERRED_RETRY_INTERVAL: Duration = Duration::from_secs(4);
