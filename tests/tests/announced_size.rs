//! The fleet size that a box announces in the store.

mod edge;

use edge::{Route, configuration, start_box, wait_until};
use wingspur_tests::{PlatformStore, StoreFault};
use wingspur_transport::Workers;

#[test]
fn a_changed_fleet_size_is_announced_after_a_failed_call() {
    let store = PlatformStore::start(500);
    store.put("op/config", &configuration(1, &[Route::new("read")]));
    let workers = Workers::start(2);
    let first = start_box("box-1", &store, &workers);
    let announced = |id: &str| {
        let record = store.value(&format!("wingspur/boxes/{id}"))?;
        record["fleet_boxes"].as_u64()
    };
    wait_until("the first box is announced", || {
        announced("box-1") == Some(1)
    });
    let second = start_box("box-2", &store, &workers);
    wait_until("both are announced", || announced("box-2").is_some());
    store.set_fault(StoreFault::Refuses(503));
    let calls = store.calls("/-/kv-txn");
    wait_until("the call has failed", || store.calls("/-/kv-txn") > calls);
    store.set_fault(StoreFault::None);
    wait_until("the size is announced", || announced("box-1") == Some(2));
    smol::block_on(first.close());
    smol::block_on(second.close());
    workers.close();
}
