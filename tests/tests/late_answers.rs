//! Store responses that are delayed, as by a lost packet, until a link has delivered
//! newer changes. A box that applied one sent requests to a draining server again, and
//! since it goes on reading from the newer revision, nothing ever corrected that.

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

/// Two boxes, each the hub of its data centre. The store's responses to one of them may
/// be delayed.
struct TwoHubs {
    store: PlatformStore,
    delayed_box: EdgeBox,
    other_box: EdgeBox,
    faults: Arc<CatalogFaults>,
    workers: Workers,
    other_server: BackendServer,
    draining_server: BackendServer,
}

/// Faults of the calls of a catalog.
#[derive(Default)]
struct CatalogFaults {
    /// Whether responses are delayed by [`RESPONSE_DELAY`].
    delays_responses: AtomicBool,
    /// Whether the next watch fails because the store has lost its history.
    loses_history: AtomicBool,
    /// Number of snapshots that the store has returned.
    snapshots: AtomicUsize,
}

impl CatalogFaults {
    async fn delay_response(&self) {
        if self.delays_responses.load(Ordering::Acquire) {
            smol::Timer::after(RESPONSE_DELAY).await;
        }
    }
}

fn delayed_catalog(mut catalog: Catalog, faults: &Arc<CatalogFaults>) -> Catalog {
    let (list, watch) = (catalog.list.clone(), catalog.watch.clone());
    let (of_list, of_watch) = (faults.clone(), faults.clone());
    catalog.list = Arc::new(move |fresh| {
        let (snapshot, faults) = (list(fresh), of_list.clone());
        Box::pin(async move {
            let snapshot = snapshot.await;
            faults.snapshots.fetch_add(1, Ordering::AcqRel);
            faults.delay_response().await;
            snapshot
        })
    });
    catalog.watch = Arc::new(move |after, wait| {
        let (watching, faults) = (watch(after, wait), of_watch.clone());
        Box::pin(async move {
            if faults.loses_history.swap(false, Ordering::AcqRel) {
                return CatalogResponse {
                    era: ReportedEra::NoAnswer,
                    outcome: Err(CatalogError::HistoryLost),
                };
            }
            let changes = watching.await;
            let received = changes.outcome.as_ref();
            if received.is_ok_and(|changes| changes.position > after) {
                faults.delay_response().await;
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
        let other_server = BackendServer::start(|_| Reply::Complete);
        let draining_server = BackendServer::start(|_| Reply::Complete);
        store.put("op/config", &configuration(1, &[Route::new("read")]));
        store.put(
            "servers/i-stays",
            &server_entry(other_server.address, "ready"),
        );
        let faults = Arc::new(CatalogFaults::default());
        let other_box = start_box_with(settings_in("dc-2", &store), &store, &workers);
        let spawner = workers.spawner();
        let exchange = HttpClient::new(spawner.clone(), FaultInjector::default());
        let (timeout, lease) = (Duration::from_millis(1500), Duration::from_secs(10));
        let catalog = catalog(store.address, exchange.into(), timeout, lease);
        let catalog = delayed_catalog(catalog, &faults);
        let settings = settings_in("dc-1", &store);
        let starting = EdgeBox::start(settings, header_names(), catalog, &spawner);
        let delayed_box = smol::block_on(starting).expect("the ports are free");
        wait_until("both boxes are ready", || {
            delayed_box.is_ready() && other_box.is_ready()
        });
        let hubs = Self {
            store,
            delayed_box,
            other_box,
            faults,
            workers,
            other_server,
            draining_server,
        };
        hubs.wait_for_link();
        hubs
    }

    /// Delays responses from now on, and waits until the box gets changes by its link
    /// sooner than from the store.
    fn wait_for_link(&self) {
        self.faults.delays_responses.store(true, Ordering::Release);
        wait_until("the boxes are linked", || {
            let version = self.delayed_box.bundle_version() + 1;
            let routes = [Route::new("read")];
            self.store
                .put("op/config", &configuration(version, &routes));
            thread::sleep(RESPONSE_DELAY / 2);
            let by_link = self.delayed_box.bundle_version() >= version;
            thread::sleep(2 * RESPONSE_DELAY);
            by_link
        });
    }

    /// Announces an instance of the draining server.
    fn put(&self, instance: usize, state: &str) {
        let entry = server_entry(self.draining_server.address, state);
        self.store
            .put(&format!("servers/i-leaves-{instance}"), &entry);
    }

    /// Lets the other server drain as well, and returns how many of three requests the
    /// draining server still runs.
    fn count_at_draining_server(&self) -> usize {
        let entry = server_entry(self.other_server.address, "draining");
        self.store.put("servers/i-stays", &entry);
        thread::sleep(3 * RESPONSE_DELAY);
        let before = self.draining_server.executed_ids().len();
        for n in 0..3 {
            let id = format!("r-{n}");
            let headers = [("host", "site.example"), ("x-wingspur-request-id", &*id)];
            call(
                self.delayed_box.caller_address(),
                "GET",
                "/read/a",
                &headers,
                b"",
            );
        }
        self.draining_server.executed_ids().len() - before
    }

    fn close(self) {
        smol::block_on(self.delayed_box.close());
        smol::block_on(self.other_box.close());
        self.workers.close();
    }
}

#[test]
fn a_late_answer_of_a_watch_does_not_bring_a_leaving_server_back() {
    let hubs = TwoHubs::start();
    // Only in some rounds does the delayed watch return the announcement, and only after
    // the instance has begun to drain.
    for instance in 0..INSTANCES {
        hubs.put(instance, "ready");
        thread::sleep(RESPONSE_DELAY / 3);
        hubs.put(instance, "draining");
        thread::sleep(2 * RESPONSE_DELAY);
    }
    let sent = hubs.count_at_draining_server();
    hubs.close();
    assert_eq!(sent, 0, "of 3 requests, sent to a draining server");
}

#[test]
fn a_late_listing_does_not_bring_a_leaving_server_back() {
    let hubs = TwoHubs::start();
    hubs.put(0, "ready");
    thread::sleep(3 * RESPONSE_DELAY);
    let snapshots = || hubs.faults.snapshots.load(Ordering::Acquire);
    let before = snapshots();
    hubs.faults.loses_history.store(true, Ordering::Release);
    wait_until("the box reads a new snapshot", || snapshots() > before);
    hubs.put(0, "draining");
    thread::sleep(3 * RESPONSE_DELAY);
    let sent = hubs.count_at_draining_server();
    hubs.close();
    assert_eq!(sent, 0, "of 3 requests, sent to a draining server");
}

const INSTANCES: usize = 5;
/// Delay of a response: less than the second by which a watch may be late.
const RESPONSE_DELAY: Duration = Duration::from_millis(700);
