//! Whole deployments on loopback: real boxes in front of small test servers.

use std::time::Duration;

use wingspur_bench::{
    Fleet, Gray, Load, LoadOptions, RequestKind, StoreFault, small_zagreb,
};
use wingspur_protocol::StoreKeys;
use wingspur_state::EjectionRecord;
use wingspur_transport::Workers;

/// Runs a test on its own worker threads.
fn on_workers(test: impl AsyncFnOnce(&Workers)) {
    let workers = Workers::start(4);
    smol::block_on(test(&workers));
    workers.close();
}

fn some_seconds(rate_per_s: f64, mix: Vec<(RequestKind, f64)>) -> LoadOptions {
    LoadOptions {
        rate_per_s,
        duration: Duration::from_secs(2),
        mix,
    }
}

#[test]
fn every_caller_gets_its_own_answer() {
    on_workers(async |workers| {
        let spawner = workers.spawner();
        let fleet = Fleet::start(small_zagreb(3), &spawner).await.unwrap();
        let download = RequestKind {
            answer_bytes: Some(300_000),
            ..RequestKind::new("GET", "/archive/3")
        };
        let mix = vec![(RequestKind::new("GET", "/exam/p"), 3.0), (download, 1.0)];
        let load = Load::new(&spawner, &fleet.caller_addresses());
        let report = load.run(&some_seconds(100.0, mix)).await;
        assert_eq!(report.sent, 200);
        assert_eq!(report.answered, 200, "{report:?}");
        assert_eq!(report.foreign, 0);
        assert_eq!(fleet.close().await, 0);
    });
}

#[test]
fn unknown_routes_and_methods_are_refused_by_number() {
    on_workers(async |workers| {
        let spawner = workers.spawner();
        let fleet = Fleet::start(small_zagreb(1), &spawner).await.unwrap();
        let load = Load::new(&spawner, &fleet.caller_addresses());
        let mix = vec![(RequestKind::new("GET", "/nowhere"), 1.0)];
        let report = load.run(&some_seconds(5.0, mix)).await;
        assert_eq!(report.refused.get(&1001), Some(&10));
        let mix = vec![(RequestKind::new("DELETE", "/exam/p"), 1.0)];
        let report = load.run(&some_seconds(5.0, mix)).await;
        assert_eq!(report.refused.get(&1002), Some(&10));
        let mix = vec![(RequestKind::new("POST", "/submit/1"), 1.0)];
        let report = load.run(&some_seconds(5.0, mix)).await;
        assert_eq!(report.refused.get(&1005), Some(&10), "no key was sent");
        fleet.close().await;
    });
}

#[test]
fn repeats_through_other_boxes_run_once() {
    on_workers(async |workers| {
        let spawner = workers.spawner();
        let fleet = Fleet::start(small_zagreb(3), &spawner).await.unwrap();
        let submit = RequestKind {
            once_only_repeats: Some(1.0),
            ..RequestKind::new("POST", "/submit/1")
        };
        let load = Load::new(&spawner, &fleet.caller_addresses());
        let report = load.run(&some_seconds(50.0, vec![(submit, 1.0)])).await;
        let servers = fleet.servers.iter().flatten();
        let runs: Vec<u32> = servers
            .flat_map(|server| server.runs().into_values())
            .collect();
        assert_eq!(runs.len(), 100, "{report:?}");
        assert!(runs.iter().all(|count| *count == 1));
        assert_eq!(report.answered, 100);
        fleet.close().await;
    });
}

#[test]
fn a_stalled_server_is_held_back_and_no_other() {
    on_workers(async |workers| {
        let spawner = workers.spawner();
        let fleet = Fleet::start(small_zagreb(3), &spawner).await.unwrap();
        let load = Load::new(&spawner, &fleet.caller_addresses());
        let mix = vec![(RequestKind::new("GET", "/exam/p"), 1.0)];
        load.run(&some_seconds(200.0, mix.clone())).await;
        fleet.servers[0][2].set_gray(Gray::Stall);
        load.run(&some_seconds(200.0, mix.clone())).await;
        load.run(&some_seconds(200.0, mix)).await;
        for running in fleet.boxes.iter().flatten() {
            assert_eq!(running.restricted_servers(), ["exam-pages/exam-pages-02"]);
        }
        fleet.close().await;
    });
}

#[test]
fn an_unreadable_record_does_not_keep_boxes_from_agreeing_on_ejections() {
    on_workers(async |workers| {
        let spawner = workers.spawner();
        let fleet = Fleet::start(small_zagreb(3), &spawner).await.unwrap();
        let store = fleet.store_client();
        let key = StoreKeys::new(fleet.plan().fleet).ejections("exam-pages");
        store.put_if(&key, &[b'['; 60_000], 0).await.unwrap();
        fleet.servers[0][2].set_gray(Gray::Stall);
        let load = Load::new(&spawner, &fleet.caller_addresses());
        let mix = vec![(RequestKind::new("GET", "/exam/p"), 1.0)];
        let is_agreed = async || {
            let value = store.get(&key).await.unwrap().unwrap().value;
            serde_json::from_slice(&value)
                .is_ok_and(|record: EjectionRecord| record.ejected == ["exam-pages-02"])
        };
        for _ in 0..10 {
            load.run(&some_seconds(200.0, mix.clone())).await;
            if is_agreed().await {
                break;
            }
        }
        assert!(is_agreed().await, "the record was not replaced");
        fleet.close().await;
    });
}

#[test]
fn a_planned_stop_of_each_box_in_turn_cuts_nothing() {
    on_workers(async |workers| {
        let spawner = workers.spawner();
        let mut fleet = Fleet::start(small_zagreb(3), &spawner).await.unwrap();
        let load = Load::balanced(&spawner, fleet.settings());
        let download = RequestKind {
            answer_bytes: Some(300_000),
            ..RequestKind::new("GET", "/archive/3")
        };
        let mix = vec![(RequestKind::new("GET", "/exam/p"), 3.0), (download, 1.0)];
        let options = LoadOptions {
            rate_per_s: 100.0,
            duration: Duration::from_secs(8),
            mix,
        };
        let stopping = async {
            let mut cut = 0;
            for index in 0..3 {
                smol::Timer::after(Duration::from_millis(500)).await;
                cut += fleet.stop_box(index).await;
                fleet.restart_box(index).await.unwrap();
                let running = fleet.boxes[index].as_ref().unwrap();
                assert!(running.wait_ready(Duration::from_secs(20)).await);
            }
            cut
        };
        let (report, cut) = futures_lite::future::zip(load.run(&options), stopping).await;
        assert_eq!(cut, 0);
        assert_eq!(report.broken, 0, "{report:?}");
        assert_eq!(report.foreign, 0);
        assert_eq!(report.answered + report.unsent, report.sent);
        fleet.close().await;
    });
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    on_workers(async |workers| {
        let spawner = workers.spawner();
        let fleet = Fleet::start(small_zagreb(3), &spawner).await.unwrap();
        let load = Load::new(&spawner, &fleet.caller_addresses());
        let mix = vec![(RequestKind::new("GET", "/exam/p"), 1.0)];
        fleet.servers[0][0].set_draining(true);
        load.run(&some_seconds(100.0, mix.clone())).await;
        let before = fleet.servers[0][0].requests();
        load.run(&some_seconds(100.0, mix)).await;
        assert_eq!(fleet.servers[0][0].requests(), before);
        fleet.close().await;
    });
}

#[test]
fn fresh_once_only_requests_are_refused_as_not_run_while_the_store_is_down() {
    on_workers(async |workers| {
        let spawner = workers.spawner();
        let fleet = Fleet::start(small_zagreb(3), &spawner).await.unwrap();
        let load = Load::new(&spawner, &fleet.caller_addresses());
        let submit = RequestKind {
            once_only_repeats: Some(0.0),
            ..RequestKind::new("POST", "/submit/1")
        };
        let mix = vec![(submit, 1.0)];
        load.run(&some_seconds(20.0, mix.clone())).await;
        fleet.store.set_fault(StoreFault::Down);
        let report = load.run(&some_seconds(20.0, mix.clone())).await;
        assert_eq!(report.refused.get(&4001), Some(&40), "{report:?}");
        assert_eq!(fleet.check_once_only(&report), (0, 0));
        let reads = vec![(RequestKind::new("GET", "/exam/p"), 1.0)];
        let report = load.run(&some_seconds(20.0, reads)).await;
        assert_eq!(report.answered, 40, "other requests are still served");
        fleet.store.set_fault(StoreFault::None);
        smol::Timer::after(Duration::from_secs(3)).await;
        let report = load.run(&some_seconds(20.0, mix)).await;
        assert_eq!(report.answered, 40, "{report:?}");
        fleet.close().await;
    });
}
