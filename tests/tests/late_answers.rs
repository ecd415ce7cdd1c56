//! Answers of the store that come late, when a link has told newer news in the meantime.
//!
//! A box that reads the store hears of changes by links as well. An answer of the store that
//! was held up on its way, as by one lost packet, tells what stood before them. It was taken
//! in nevertheless: a server that had said that it leaves took work again, and since the box
//! goes on reading from the newer revision, nothing ever put that right.

mod edge;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use edge::{Route, configuration, server_entry, settings, start_box_with, wait_until};
use wingspur_edge::{EdgeBox, Settings};
use wingspur_platform::{catalog, header_names};
use wingspur_tests::{BackendServer, PlatformStore, Reply, call};
use wingspur_transport::{
    Catalog, CatalogError, CatalogResponse, FaultInjector, HttpClient, ReportedEra,
    Workers,
};

/// Two boxes, each the hub of its data centre; the answers to the first may be late.
struct TwoHubs {
    store: PlatformStore,
    late: EdgeBox,
    prompt: EdgeBox,
    calls: Arc<LateCalls>,
    workers: Workers,
    stays: BackendServer,
    leaves: BackendServer,
}

/// How the calls of a catalog go.
#[derive(Default)]
struct LateCalls {
    /// Whether answers are held up on their way.
    are_late: AtomicBool,
    /// Whether the store forgets its history before the next watch.
    history_is_lost: AtomicBool,
    /// Listings that the store has answered.
    listings: AtomicUsize,
}

impl LateCalls {
    async fn hold_up(&self) {
        if self.are_late.load(Ordering::Acquire) {
            smol::Timer::after(LATE).await;
        }
    }
}

fn late_catalog(mut catalog: Catalog, calls: &Arc<LateCalls>) -> Catalog {
    let (list, watch) = (catalog.list.clone(), catalog.watch.clone());
    let (of_list, of_watch) = (calls.clone(), calls.clone());
    catalog.list = Arc::new(move |fresh| {
        let (listing, calls) = (list(fresh), of_list.clone());
        Box::pin(async move {
            let listing = listing.await;
            calls.listings.fetch_add(1, Ordering::AcqRel);
            calls.hold_up().await;
            listing
        })
    });
    catalog.watch = Arc::new(move |after, wait| {
        let (watching, calls) = (watch(after, wait), of_watch.clone());
        Box::pin(async move {
            if calls.history_is_lost.swap(false, Ordering::AcqRel) {
                return CatalogResponse {
                    era: ReportedEra::NoAnswer,
                    outcome: Err(CatalogError::HistoryLost),
                };
            }
            let changes = watching.await;
            let told = changes.outcome.as_ref();
            if told.is_ok_and(|told| told.position > after) {
                calls.hold_up().await;
            }
            changes
        })
    });
    catalog
}

fn settings_in(data_centre: &str, store: &PlatformStore) -> Settings {
    let mut settings = settings(&format!("box-{data_centre}"), store.address);
    settings.data_centre = data_centre.into();
    settings
}

impl TwoHubs {
    fn start() -> Self {
        let store = PlatformStore::start(500);
        let workers = Workers::start(2);
        let stays = BackendServer::start(|_| Reply::Whole);
        let leaves = BackendServer::start(|_| Reply::Whole);
        store.put("op/config", &configuration(1, &[Route::new("read")]));
        store.put("servers/i-stays", &server_entry(stays.address, "ready"));
        let late_calls = Arc::new(LateCalls::default());
        let prompt = start_box_with(settings_in("dc-2", &store), &store, &workers);
        let spawner = workers.spawner();
        let exchange = HttpClient::new(spawner.clone(), FaultInjector::default());
        let (timeout, lease) = (Duration::from_millis(1500), Duration::from_secs(10));
        let calls = catalog(store.address, exchange.into(), timeout, lease);
        let calls = late_catalog(calls, &late_calls);
        let late_settings = settings_in("dc-1", &store);
        let starting = EdgeBox::start(late_settings, header_names(), calls, &spawner);
        let late = smol::block_on(starting).expect("the ports are free");
        wait_until("both are ready", || late.is_ready() && prompt.is_ready());
        let hubs = Self {
            store,
            late,
            prompt,
            calls: late_calls,
            workers,
            stays,
            leaves,
        };
        hubs.wait_for_link();
        hubs
    }

    /// Waits until the box has news by its link sooner than from the store.
    fn wait_for_link(&self) {
        self.calls.are_late.store(true, Ordering::Release);
        wait_until("the boxes are linked", || {
            let version = self.late.bundle_version() + 1;
            let routes = [Route::new("read")];
            self.store
                .put("op/config", &configuration(version, &routes));
            thread::sleep(LATE / 2);
            let told = self.late.bundle_version() >= version;
            thread::sleep(2 * LATE);
            told
        });
    }

    /// Announces a run of the server that leaves.
    fn put(&self, run: usize, state: &str) {
        let entry = server_entry(self.leaves.address, state);
        self.store.put(&format!("servers/i-leaves-{run}"), &entry);
    }

    /// Lets the other server leave as well, and returns how many of some requests the first
    /// one still runs.
    fn count_at_leaving(&self) -> usize {
        let entry = server_entry(self.stays.address, "draining");
        self.store.put("servers/i-stays", &entry);
        thread::sleep(3 * LATE);
        let before = self.leaves.ran().len();
        for n in 0..3 {
            let id = format!("r-{n}");
            let headers = [("host", "site.example"), ("x-wingspur-request-id", &*id)];
            call(self.late.caller_address(), "GET", "/read/a", &headers, b"");
        }
        self.leaves.ran().len() - before
    }

    fn close(self) {
        smol::block_on(self.late.close());
        smol::block_on(self.prompt.close());
        self.workers.close();
    }
}

#[test]
fn a_late_answer_of_a_watch_does_not_bring_a_leaving_server_back() {
    let hubs = TwoHubs::start();
    // Now and then the late watch tells of an announcement, and does not end before the run.
    for run in 0..RUNS {
        hubs.put(run, "ready");
        thread::sleep(LATE / 3);
        hubs.put(run, "draining");
        thread::sleep(2 * LATE);
    }
    let sent = hubs.count_at_leaving();
    hubs.close();
    assert_eq!(sent, 0, "of 3 requests");
}

#[test]
fn a_late_listing_does_not_bring_a_leaving_server_back() {
    let hubs = TwoHubs::start();
    hubs.put(0, "ready");
    thread::sleep(3 * LATE);
    let listings = || hubs.calls.listings.load(Ordering::Acquire);
    let before = listings();
    hubs.calls.history_is_lost.store(true, Ordering::Release);
    wait_until("the box lists anew", || listings() > before);
    hubs.put(0, "draining");
    thread::sleep(3 * LATE);
    let sent = hubs.count_at_leaving();
    hubs.close();
    assert_eq!(sent, 0, "of 3 requests");
}

const RUNS: usize = 5;
/// How long an answer is held up on its way: less than the second that a watch may be late.
const LATE: Duration = Duration::from_millis(700);
