//! A box that has lost its path to all backend servers serves callers through other boxes.

mod edge;

use std::time::{Duration, Instant};

use edge::{Caller, Route, configuration, server_entry, wait_until};
use wingspur_edge::{EdgeBox, Settings};
use wingspur_tests::{BackendServer, PlatformStore, Reply};
use wingspur_transport::{PathFault, Workers};

/// Two boxes of one data centre before three servers.
struct Pair {
    store: PlatformStore,
    servers: Vec<BackendServer>,
    near: EdgeBox,
    far: EdgeBox,
    near_settings: Settings,
    workers: Workers,
}

impl Pair {
    fn start() -> Self {
        let reply = |_| Reply::Complete;
        let servers: Vec<_> = (0..3).map(|_| BackendServer::start(reply)).collect();
        let store = PlatformStore::start(500);
        let routes = [Route::new("read"), Route::new("once_only")];
        store.put("op/config", &configuration(1, &routes));
        for (n, server) in servers.iter().enumerate() {
            let entry = server_entry(server.address, "ready");
            store.put(&format!("servers/i-{n}"), &entry);
        }
        let workers = Workers::start(2);
        let near_settings = edge::settings("box-1", store.address);
        let near = edge::start_box_with(near_settings.clone(), &store, &workers);
        let far = edge::start_box("box-2", &store, &workers);
        wait_until("both boxes are ready", || near.is_ready() && far.is_ready());
        Self {
            store,
            servers,
            near,
            far,
            near_settings,
            workers,
        }
    }

    /// Injects a fault of the path to all servers at the near box.
    fn inject(&self, fault: PathFault) {
        let mut settings = self.near_settings.clone();
        settings.fault_injection.server_path = fault;
        self.near.reload(settings);
    }

    fn executed_ids(&self) -> Vec<String> {
        let executed = self.servers.iter().map(BackendServer::executed_ids);
        executed.flatten().collect()
    }

    fn close(self) {
        smol::block_on(self.near.close());
        smol::block_on(self.far.close());
        self.workers.close();
        drop(self.store);
    }
}

/// Sends requests until one is served; panics after ten seconds.
fn wait_until_served(caller: Caller, label: &str) {
    let started = Instant::now();
    for n in 0.. {
        if caller.call("once_only", &format!("{label}-{n}")).status == 200 {
            return;
        }
        let waited = started.elapsed();
        assert!(
            waited < Duration::from_secs(10),
            "{label}: nothing is served"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn callers_of_a_box_without_a_path_to_servers_are_served_through_another_box() {
    let faults = [PathFault::Refuse, PathFault::RefuseNew, PathFault::Hold];
    for fault in faults {
        let pair = Pair::start();
        for n in 0..6 {
            let id = format!("before-{n}");
            assert_eq!(Caller::of(&pair.near).call("read", &id).status, 200);
            assert_eq!(Caller::of(&pair.far).call("read", &id).status, 200);
        }
        pair.inject(fault);
        wait_until_served(Caller::of(&pair.near), "first");
        for n in 0..10 {
            for class in ["read", "once_only"] {
                let id = format!("{class}-{n}");
                let answer = Caller::of(&pair.near).call(class, &id);
                assert_eq!(answer.status, 200, "{fault:?} {id}");
                assert_eq!(answer.body, b"own body", "{fault:?} {id}");
            }
        }
        let executed = pair.executed_ids();
        for n in 0..10 {
            let id = format!("once_only-{n}");
            let runs = executed.iter().filter(|executed| **executed == id).count();
            assert_eq!(runs, 1, "{fault:?} {id}");
        }
        pair.close();
    }
}
