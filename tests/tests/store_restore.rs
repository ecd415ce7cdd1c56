//! The store is restored from an older copy, and uses revisions and lease ids a second
//! time.

mod edge;

use edge::{Route, configuration, server_entry, start_box, start_box_in, wait_until};
use serde_json::json;
use wingspur_edge::EdgeBox;
use wingspur_tests::{BackendServer, PlatformStore, Reply, StoreCopy, StoreFault, call};
use wingspur_transport::Workers;

/// Three boxes in front of two servers: a hub with a member, and the hub of another data
/// centre.
struct Fleet {
    store: PlatformStore,
    boxes: Vec<EdgeBox>,
    servers: [BackendServer; 2],
    workers: Workers,
    version: u64,
}

impl Fleet {
    fn start() -> Self {
        let store = PlatformStore::start(500);
        let workers = Workers::start(2);
        let servers = [(); 2].map(|()| BackendServer::start(|_| Reply::Complete));
        let fleet = Self {
            boxes: vec![
                start_box("box-1", &store, &workers),
                start_box("box-2", &store, &workers),
                start_box_in("dc-2", "box-3", &store, &workers),
            ],
            store,
            servers,
            workers,
            version: 1,
        };
        fleet.write_configuration();
        fleet.write_server(0, "ready");
        fleet.write_server(1, "ready");
        wait_until("all boxes are ready", || {
            fleet.boxes.iter().all(EdgeBox::is_ready)
        });
        fleet
    }

    fn write_configuration(&self) {
        let routes = [Route::new("read")];
        self.store
            .put("op/config", &configuration(self.version, &routes));
    }

    fn write_server(&self, number: usize, state: &str) {
        let entry = server_entry(self.servers[number].address, state);
        self.store.put(&format!("servers/i-{number}"), &entry);
    }

    /// Rolls out another version, and waits until it is active on all boxes.
    fn roll_out(&mut self) {
        self.version += 1;
        self.write_configuration();
        let version = self.version;
        wait_until("the version is active on all boxes", || {
            self.boxes.iter().all(|b| b.bundle_version() >= version)
        });
    }

    /// Rolls out several versions, one after the other.
    fn advance(&mut self, versions: usize) {
        (0..versions).for_each(|_| self.roll_out());
    }

    /// Restores the store from a copy; the operator writes the newest configuration
    /// again.
    fn restore(&self, copy: &StoreCopy) {
        self.store.restore(copy);
        self.write_configuration();
    }

    /// Sends ten requests to each box, and returns how many of them reach a server.
    fn count_at(&self, number: usize) -> usize {
        let before = self.servers[number].executed_ids().len();
        for (n, running) in self.boxes.iter().enumerate() {
            for m in 0..10 {
                let id = format!("r-{n}-{m}");
                let headers = [("host", "site.example"), ("x-wingspur-request-id", &*id)];
                call(running.caller_address(), "GET", "/read/a", &headers, b"");
            }
        }
        self.servers[number].executed_ids().len() - before
    }

    fn close(self) {
        for running in self.boxes {
            smol::block_on(running.close());
        }
        self.workers.close();
    }
}

#[test]
fn config_change_is_applied_after_store_restore() {
    let mut fleet = Fleet::start();
    let copy = fleet.store.copy();
    fleet.advance(10);
    fleet.restore(&copy);
    fleet.roll_out();
    fleet.close();
}

#[test]
fn server_that_drains_after_store_restore_gets_no_requests() {
    let mut fleet = Fleet::start();
    let copy = fleet.store.copy();
    fleet.advance(10);
    fleet.restore(&copy);
    fleet.write_server(0, "leaving");
    fleet.roll_out();
    let sent = fleet.count_at(0);
    fleet.close();
    assert_eq!(sent, 0, "of 30 requests");
}

#[test]
fn change_under_a_reused_revision_is_not_missed() {
    let mut fleet = Fleet::start();
    let copy = fleet.store.copy();
    fleet.advance(5);
    let known = fleet.store.revision();
    // No box can read the store until its new history is past the revision that the boxes
    // know of the old one.
    fleet.store.set_fault(StoreFault::Refuses(503));
    fleet.restore(&copy);
    fleet.write_server(0, "leaving");
    while fleet.store.revision() <= known {
        fleet.write_server(1, "ready");
    }
    fleet.store.set_fault(StoreFault::None);
    fleet.roll_out();
    let sent = fleet.count_at(0);
    fleet.close();
    assert_eq!(sent, 0, "of 30 requests");
}

#[test]
fn server_that_was_gone_before_the_restore_gets_no_requests() {
    let mut fleet = Fleet::start();
    let copy = fleet.store.copy();
    fleet.store.remove("servers/i-0");
    fleet.advance(2);
    assert_eq!(
        fleet.count_at(0),
        0,
        "requests after the server's entry was removed"
    );
    // The copy holds the entry of server 0, which nobody writes again.
    fleet.restore(&copy);
    fleet.write_server(1, "leaving");
    fleet.roll_out();
    let sent = fleet.count_at(0);
    fleet.close();
    assert_eq!(sent, 0, "of 30 requests");
}

#[test]
fn box_that_starts_on_a_restored_store_gets_the_newest_configuration() {
    let mut fleet = Fleet::start();
    let copy = fleet.store.copy();
    fleet.roll_out();
    // The operator has not written the newest version again yet.
    fleet.store.restore(&copy);
    let new_box = start_box_in("dc-3", "box-4", &fleet.store, &fleet.workers);
    let version = fleet.version;
    wait_until("the newest version is active", || {
        new_box.bundle_version() >= version
    });
    fleet.boxes.push(new_box);
    fleet.close();
}

#[test]
fn version_in_force_does_not_fall_after_a_store_restore() {
    let mut fleet = Fleet::start();
    let copy = fleet.store.copy();
    fleet.advance(3);
    // The operator writes nothing again, but the servers do.
    fleet.store.restore(&copy);
    fleet.write_server(0, "leaving");
    wait_until("all boxes have read the restored store", || {
        fleet.count_at(0) == 0
    });
    let versions = fleet.boxes.iter().map(EdgeBox::bundle_version);
    let versions: Vec<u64> = versions.collect();
    let version = fleet.version;
    fleet.close();
    assert_eq!(versions, [version; 3]);
}

#[test]
fn lease_id_given_out_again_after_a_store_restore_is_not_acted_on() {
    let store = PlatformStore::start(500);
    let workers = Workers::start(2);
    store.put("op/config", &configuration(1, &[Route::new("read")]));
    let copy = store.copy();
    let running = start_box("box-1", &store, &workers);
    let is_announced = || store.keys("wingspur/boxes/").contains(&BOX_KEY.to_owned());
    wait_until("the box is announced", is_announced);
    store.restore(&copy);
    // Another box gets the lease id that this one had.
    let other_lease = store.put_leased("wingspur/boxes/box-9", &json!({}));
    wait_until("the box is announced again", is_announced);
    assert_ne!(store.lease_of(BOX_KEY), Some(other_lease));
    smol::block_on(running.close());
    let keys = store.keys("wingspur/boxes/");
    workers.close();
    assert_eq!(
        keys,
        ["wingspur/boxes/box-9"],
        "the other box's entry must stay"
    );
}

const BOX_KEY: &str = "wingspur/boxes/box-1";
