//! Guards against a box that spends its retry budget on ordinary requests while urgent
//! ones need it, or that does not tell why: the plan of resends in a running box.

mod edge;
mod kept_log;

use edge::{Caller, Route, configuration, settings, start_box_with, wait_until};
use kept_log::KeptLog;
use wingspur_state::RetryBudgetSettings;
use wingspur_tests::{BackendServer, PlatformStore, Reply};
use wingspur_transport::Workers;

const REQUESTS: usize = 60;

/// The only test of this file, because a process has one log subscriber.
#[test]
fn ordinary_requests_leave_resends_to_urgent_ones_and_their_lines_say_so() {
    let log = KeptLog::start();
    let refuses_half = |arrival: usize| match arrival % 2 {
        0 => Reply::Refused,
        _ => Reply::Complete,
    };
    let servers: Vec<_> = (0..4).map(|_| BackendServer::start(refuses_half)).collect();
    let store = PlatformStore::start(500);
    let mut configured = configuration(1, &[Route::new("read"), Route::new("download")]);
    configured["host_routes"][0]["priority"] = 0.into();
    configured["host_routes"][1]["priority"] = 2.into();
    store.put("op/config", &configured);
    for (n, server) in servers.iter().enumerate() {
        let entry = edge::server_entry(server.address, "ready");
        store.put(&format!("servers/i-{n}"), &entry);
    }
    let mut scarce = settings("box-1", store.address);
    scarce.retry_budget = RetryBudgetSettings {
        ratio: 0.3,
        window_s: 10.0,
        slack: 0.0,
    };
    let workers = Workers::start(2);
    let running = start_box_with(scarce, &store, &workers);
    wait_until("the box is ready", || running.is_ready());
    let caller = Caller::of(&running);
    for n in 0..REQUESTS {
        let class = ["read", "download"][n % 2];
        caller.call(class, &format!("id-{n}"));
    }
    let lines = (0..REQUESTS).flat_map(|n| {
        let lines = log.of_request(&format!("id-{n}")).into_iter();
        lines.map(move |line| (n % 2 == 0, line))
    });
    let decided: Vec<_> = lines
        .filter(|(_, line)| line["message"].as_str().unwrap().starts_with("retry:"))
        .collect();
    let reserved = decided
        .iter()
        .filter(|(_, line)| line["reason"] == "reserved");
    let reserved: Vec<_> = reserved.collect();
    assert!(!reserved.is_empty(), "{decided:#?}");
    for (is_urgent, line) in &reserved {
        assert!(!is_urgent, "{line}");
        assert_eq!(line["priority"], 2, "{line}");
        for field in ["gain", "answered_share", "needed_above", "available"] {
            assert!(line[field].is_f64(), "{field}: {line}");
        }
        assert!(line["budget_used"].is_f64(), "{line}");
    }
    let metrics = running.operator_address();
    let metrics =
        wingspur_tests::call(metrics, "GET", "/metrics", &[("host", "box")], b"");
    let metrics = String::from_utf8(metrics.body).unwrap();
    let counted = format!(
        "wingspur_not_retried_total{{reason=\"reserved\"}} {}",
        reserved.len()
    );
    assert!(metrics.contains(&counted), "{counted}: {metrics}");
    smol::block_on(running.close());
    workers.close();
}
