//! A refusal that a box has read is told by what it proves, even if the deadline passes at
//! that moment.

mod edge;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use edge::{Deployment, Route};
use wingspur_tests::{BackendServer, Reply, listen};

/// The route's timeout.
const TIMEOUT_MS: u64 = 200;
const NOT_RUN: &str = "wingspur_refusal_evidence_total{evidence=\"not_run\"}";
const AT_DEADLINE: &str = "wingspur_refusal_evidence_total{evidence=\"at_deadline\"}";

/// Starts a server that refuses each request after `delay_ms`, with the mark, and withholds
/// the body of the refusal.
fn start_server(delay_ms: Arc<AtomicU64>) -> SocketAddr {
    listen(move |head, stream| {
        let delay = delay_ms.load(Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(delay));
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-wingspur-request-id: {}\r\n\
             x-wingspur-not-executed: 1\r\ncontent-length: 5\r\n\r\n",
            head.headers["x-wingspur-request-id"]
        );
        stream.write_all(refusal.as_bytes()).is_ok()
    })
}

#[test]
fn a_refusal_that_was_read_is_not_lost_to_the_deadline() {
    let route = Route {
        class: "once_only",
        timeout_ms: TIMEOUT_MS,
    };
    // A box is ready only once it knows a server.
    let first = BackendServer::start(|_| Reply::Complete);
    let deployment = Deployment::start(&[first], &[route]);
    deployment.store.remove("servers/i-0");
    let has_no_server = |id: &str| {
        let refusal = deployment.call("once_only", id);
        refusal.headers.get("wingspur-result") == Some(&"3001".to_owned())
    };
    edge::wait_until("the first server is gone", || has_no_server("first"));
    let delay_ms = Arc::new(AtomicU64::new(0));
    let mut read = 0;
    for n in 0..30 {
        // A new server for each request, since a box spares one that has refused.
        let key = format!("servers/late-{n}");
        let address = start_server(delay_ms.clone());
        deployment
            .store
            .put(&key, &edge::server_entry(address, "ready"));
        delay_ms.store(TIMEOUT_MS / 2 + 4 * n, Ordering::SeqCst);
        let counts = || [NOT_RUN, AT_DEADLINE].map(|name| deployment.counter(name));
        let before = counts();
        let mut status = 0;
        edge::wait_until("the server is known", || {
            let answer = deployment.call("once_only", &format!("id-{n}"));
            status = answer.status;
            answer.headers.get("wingspur-result") != Some(&"3001".to_owned())
        });
        let [not_run, at_deadline] = counts();
        let is_proof = not_run > before[0];
        assert!(!is_proof || status == 503, "server {n}: {status}");
        let is_late = at_deadline > before[1];
        assert!(!is_late || status == 504, "server {n}: {status}");
        read += u32::from(is_proof);
        deployment.store.remove(&key);
        edge::wait_until("the server is gone", || has_no_server("between"));
    }
    assert!(read > 0, "no refusal was read in time");
    deployment.close();
}
