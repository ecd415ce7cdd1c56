//! What the log tells of a request: one outcome, and the decisions on the way to it.

mod edge;
mod kept_log;

use std::sync::{Arc, Mutex};

use edge::{Deployment, Route};
use kept_log::KeptLog;
use serde_json::Value;
use wingspur_tests::{BackendServer, Reply};

fn messages(lines: &[Value]) -> Vec<&str> {
    lines
        .iter()
        .map(|line| line["message"].as_str().unwrap())
        .collect()
}

/// The one test of this file: the subscriber is the process's.
#[test]
fn each_request_has_one_outcome_in_the_log_and_its_decisions_before_it() {
    let kept = KeptLog::start();
    let reply = Arc::new(Mutex::new(Reply::Whole));
    let shown = reply.clone();
    let servers = [BackendServer::start(move |_| *shown.lock().unwrap())];
    let short = Route {
        timeout_ms: 300,
        ..Route::new("once_only")
    };
    let deployment = Deployment::start(&servers, &[Route::new("read"), short]);
    let cases = [
        ("once_only", Reply::Whole, 200, 0, "request: passed on."),
        (
            "once_only",
            Reply::Error,
            500,
            3004,
            "request: failure passed on.",
        ),
        ("once_only", Reply::Close, 502, 3004, "request: refused."),
        ("once_only", Reply::Shed, 503, 3002, "request: refused."),
        ("once_only", Reply::Silent, 504, 3003, "request: refused."),
        ("nowhere", Reply::Whole, 404, 1001, "request: refused."),
    ];
    for (n, (class, met, status, code, outcome)) in cases.into_iter().enumerate() {
        *reply.lock().unwrap() = met;
        let id = format!("id-{n}");
        assert_eq!(deployment.call(class, &id).status, status, "{met:?}");
        let lines = kept.of_request(&id);
        let told = messages(&lines);
        let outcomes = told.iter().filter(|told| **told == outcome).count();
        assert_eq!(outcomes, 1, "{met:?}: {told:?}");
        assert_eq!(told.last(), Some(&outcome), "{met:?}: {told:?}");
        let last = lines.last().unwrap();
        assert_eq!(
            (&last["status"], &last["code"]),
            (&status.into(), &code.into())
        );
        if code == 1001 {
            continue;
        }
        assert_eq!(told[0], "attempt: sent.");
        assert_eq!(lines[0]["server"], "i-0");
        assert_eq!(last["version"], 1);
        let failed = met != Reply::Whole;
        for line in ["attempt: failed.", "request: given up."] {
            assert_eq!(told.contains(&line), failed, "{met:?}: {told:?}");
        }
        let promised = told.contains(&"return: place promised.");
        assert_eq!(promised, status == 503, "{met:?}: {told:?}");
        assert!(
            !told.contains(&"retry: sent again."),
            "one server: {told:?}"
        );
    }
    deployment.close();
}
