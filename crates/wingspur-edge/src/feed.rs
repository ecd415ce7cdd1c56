//! Reads the catalog where this box should: a listing first, then changes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use wingspur_transport::{CatalogError, LeaseId, StopSignal};

use crate::catalog_state::{take_changes, take_listing};
use crate::shared::Shared;

/// Reads the catalog whenever this box should, until it stops.
pub async fn run_feed(shared: Arc<Shared>, stop: StopSignal) {
    let mut reading = Reading::default();
    while !stop.is_given() {
        if !should_read(&shared) {
            if reading.active {
                tracing::info!("store: another box reads it.");
                shared.links.lock().feed().stop_reading();
            }
            reading = Reading::default();
            smol::Timer::after(IDLE_CHECK).await;
            continue;
        }
        if !reading.active {
            tracing::info!(
                revision = shared.links.lock().revision(),
                "store: reading it."
            );
            reading.active = true;
        }
        match step(&shared, &mut reading).await {
            Ok(()) => reading.note_success(&shared),
            Err(CatalogError::HistoryLost) => {
                let gaps = reading.gaps;
                tracing::info!(gaps, "store: its history is lost, listing anew.");
                reading.lists = Some(Listing::Fresh);
                if gaps > 0 {
                    // Listing did not help: a store that does so all the time is not flooded.
                    smol::Timer::after(pause(gaps)).await;
                }
                reading.gaps += 1;
            }
            Err(error) => {
                reading.note_failure(&shared, &error);
                smol::Timer::after(retry_pause(&shared, reading.failures)).await;
            }
        }
        shared.settle(Instant::now());
    }
}

/// Announces this box and renews its lease until it stops.
pub async fn run_announcement(shared: Arc<Shared>, stop: StopSignal) {
    let mut lease: Option<LeaseId> = None;
    let mut failures = 0u32;
    while !stop.is_given() && !shared.leaving.load(Ordering::Acquire) {
        let result = match lease {
            None => announce(&shared).await.map(Some),
            Some(held) => renew(&shared, held).await,
        };
        match result {
            Ok(held) => {
                failures = 0;
                lease = held;
                *shared.lease.lock() = held;
            }
            Err(error) => {
                failures += 1;
                tracing::info!(%error, failures, "lease: not renewed.");
            }
        }
        let reads = shared.links.lock().feed().is_reading();
        let every = if reads { READER_RENEWAL } else { RENEWAL };
        let wait = if lease.is_none() {
            pause(failures)
        } else {
            every
        };
        smol::Timer::after(wait).await;
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
    fn note_success(&mut self, shared: &Shared) {
        if self.failures > 0 {
            tracing::info!(failures = self.failures, "store: it answers again.");
        }
        self.failures = 0;
        shared.directory.lock().store_returned(Instant::now());
    }

    fn note_failure(&mut self, shared: &Shared, error: &CatalogError) {
        if self.failures == 0 {
            tracing::warn!(%error, "store: lost.");
        }
        self.failures += 1;
        shared.links.lock().feed().note_no_answer();
        shared.directory.lock().store_lost();
    }
}

/// Lists, or waits for changes.
async fn step(shared: &Arc<Shared>, reading: &mut Reading) -> Result<(), CatalogError> {
    let revision = shared.links.lock().revision();
    let due = match reading.lists {
        None if revision == 0 => Some(Listing::Cheap),
        due => due,
    };
    if let Some(due) = due {
        shared.metrics.count_store_call("list");
        let began = Instant::now();
        let listing = (shared.catalog.list)(due == Listing::Fresh).await?;
        shared.metrics.time_store("list", began.elapsed());
        reading.lists = None;
        note_answer(shared);
        take_listing(shared, listing, Instant::now());
        if revision == 0 {
            // Boxes that start together announce themselves together: one watch later hears
            // of all, and by then another box may read for this one.
            smol::Timer::after(jittered(FIRST_WATCH_AFTER)).await;
        }
        return Ok(());
    }
    shared.metrics.count_store_call("watch");
    let watching = (shared.catalog.watch)(revision, WATCH_WAIT);
    let unneeded = async {
        while should_read(shared) {
            smol::Timer::after(NEED_CHECK).await;
        }
        Ok(None)
    };
    let watched = async { watching.await.map(Some) };
    if let Some(changes) = watched.or(unneeded).await? {
        reading.gaps = 0;
        note_answer(shared);
        take_changes(shared, changes, Instant::now());
    }
    Ok(())
}

async fn announce(shared: &Shared) -> Result<LeaseId, CatalogError> {
    let record = shared.links.lock().own().clone();
    shared.metrics.count_store_call("announce");
    let lease = (shared.catalog.announce)(record).await?;
    tracing::info!(lease, "lease: announced.");
    Ok(lease)
}

/// Renews a lease; none when it has ended and the box must be announced anew.
async fn renew(shared: &Shared, lease: LeaseId) -> Result<Option<LeaseId>, CatalogError> {
    shared.metrics.count_store_call("renew");
    let began = Instant::now();
    let stands = (shared.catalog.renew)(lease).await?;
    shared.metrics.time_store("renew", began.elapsed());
    if stands {
        if shared.links.lock().feed().is_reading() {
            note_answer(shared);
        }
        return Ok(Some(lease));
    }
    tracing::warn!(lease, "lease: it has ended.");
    Ok(None)
}

fn note_answer(shared: &Shared) {
    shared.links.lock().feed().note_answer(Instant::now());
}

fn should_read(shared: &Shared) -> bool {
    let now = Instant::now();
    let mut links = shared.links.lock();
    let is_hub = links.is_hub(now);
    let rank = links.planner().rank();
    links.feed().should_read(is_hub, rank, now)
}

/// How long to wait before the store is read again.
///
/// While another box tries all the time, now and then is enough here: the store may turn
/// away some boxes only. A hub tries all the time itself: two that waited for each other
/// would both be late.
fn retry_pause(shared: &Shared, failures: u32) -> Duration {
    let mut links = shared.links.lock();
    let is_hub = links.is_hub(Instant::now());
    match links.feed().may_leave_it(is_hub) {
        true => pause(failures).max(jittered(HELPER_PAUSE)),
        false => pause(failures),
    }
}

/// A pause that doubles up to a second.
fn pause(failures: u32) -> Duration {
    let whole = FIRST_PAUSE * 2u32.pow(failures.min(4));
    jittered(whole.min(MOST_PAUSE))
}

/// Draws between a half and the whole of a time.
fn jittered(whole: Duration) -> Duration {
    whole.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

/// How long a watch waits for a change. One that was cut off inside the store stays silent
/// and ends only here, and changes must be in force within two seconds: a hub's watch each
/// second costs a thousandth of a day's worth.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// A reader answers for the freshness of its reading by its renewals.
const READER_RENEWAL: Duration = Duration::from_millis(800);
const RENEWAL: Duration = Duration::from_secs(3);
/// Changes are in force within two seconds also at a box that has just started.
const FIRST_WATCH_AFTER: Duration = Duration::from_millis(800);
const IDLE_CHECK: Duration = Duration::from_millis(100);
const NEED_CHECK: Duration = Duration::from_millis(500);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_secs(1);
/// Forty boxes that look every few seconds find within a tenth of one that the store serves
/// some of them.
const HELPER_PAUSE: Duration = Duration::from_secs(4);
