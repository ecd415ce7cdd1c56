//! Log lines of a request: exactly one outcome, preceded by the decisions that led to it.

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

/// The only test of this file, because a process has one log subscriber.
#[test]
fn each_request_has_one_outcome_in_the_log_and_its_decisions_before_it() {
    let log = KeptLog::start();
    let reply = Arc::new(Mutex::new(Reply::Complete));
    let current_reply = reply.clone();
    let servers = [BackendServer::start(move |_| {
        *current_reply.lock().unwrap()
    })];
    let short = Route {
        timeout_ms: 300,
        ..Route::new("once_only")
    };
    let deployment = Deployment::start(&servers, &[Route::new("read"), short]);
    let cases = [
        ("once_only", Reply::Complete, 200, 0, "request: passed on."),
        (
            "once_only",
            Reply::Error,
            500,
            3004,
            "request: failure passed on.",
        ),
        ("once_only", Reply::Close, 502, 3004, "request: refused."),
        ("once_only", Reply::Refused, 503, 3002, "request: refused."),
        ("once_only", Reply::Silent, 504, 3003, "request: refused."),
        ("nowhere", Reply::Complete, 404, 1001, "request: refused."),
    ];
    for (n, (class, server_reply, status, code, outcome)) in cases.into_iter().enumerate()
    {
        *reply.lock().unwrap() = server_reply;
        let id = format!("id-{n}");
        assert_eq!(
            deployment.call(class, &id).status,
            status,
            "{server_reply:?}"
        );
        let lines = log.of_request(&id);
        let logged = messages(&lines);
        let outcomes = logged.iter().filter(|logged| **logged == outcome).count();
        assert_eq!(outcomes, 1, "{server_reply:?}: {logged:?}");
        assert_eq!(
            logged.last(),
            Some(&outcome),
            "{server_reply:?}: {logged:?}"
        );
        let last = lines.last().unwrap();
        assert_eq!(
            (&last["status"], &last["code"]),
            (&status.into(), &code.into())
        );
        if code == 1001 {
            continue;
        }
        assert_eq!(logged[0], "attempt: sent.");
        assert_eq!(lines[0]["server"], "i-0");
        assert_eq!(last["version"], 1);
        let failed = server_reply != Reply::Complete;
        for line in ["attempt: failed.", "request: given up."] {
            assert_eq!(
                logged.contains(&line),
                failed,
                "{server_reply:?}: {logged:?}"
            );
        }
        let promised = logged.contains(&"return: place promised.");
        assert_eq!(promised, status == 503, "{server_reply:?}: {logged:?}");
        assert!(
            !logged.contains(&"retry: sent again."),
            "retried with only one server: {logged:?}"
        );
    }
    deployment.close();
}
