//! A copy of a refusal that answers a later sending of the same request is no promise.

mod copying_server;
mod edge;

use std::time::Duration;

use copying_server::{CopyingServer, REFUSAL_421, REFUSAL_503};
use edge::{Caller, Deployment, Route, configuration, server_entry, wait_until};
use hyper::Method;
use hyper::header::HeaderValue;
use wingspur_tests::{Answer, BackendServer, PlatformStore, Reply};
use wingspur_transport::{
    BackendConnection, BackendConnections, BufferBudget, ReusePolicy, SendBody, Workers,
};

const ONCE_ONLY: &str = "once_only";
const REQUESTS: usize = 10;

/// Starts a box before a server that has catalog entries with these ids.
fn start(server: &CopyingServer, ids: &[&str]) -> Deployment {
    let entries = ids.iter().map(|id| ((*id).to_owned(), server.address));
    Deployment::start_with_entries(&entries.collect::<Vec<_>>(), &[Route::new(ONCE_ONLY)])
}

/// Returns how many of some requests ran although their caller was promised that they did
/// not.
fn false_promises(answers: &[(String, Answer)], server: &CopyingServer) -> usize {
    let ran = server.executed_ids();
    let is_false = |(id, answer): &&(String, Answer)| {
        matches!(answer.status, 408 | 421 | 429 | 503) && ran.contains(id)
    };
    answers.iter().filter(is_false).count()
}

/// Sends each id twice and returns the second answers. The first ones must be promises.
fn repeat(first: Caller, second: Caller) -> Vec<(String, Answer)> {
    let repeated = (0..REQUESTS).map(|n| {
        let id = format!("repeated-{n}");
        let refused = first.call(ONCE_ONLY, &id);
        assert_eq!(refused.status, 503, "{id} is refused when it comes first");
        let answer = second.call(ONCE_ONLY, &id);
        (id, answer)
    });
    repeated.collect()
}

fn assert_all_served(answers: &[(String, Answer)], server: &CopyingServer) {
    assert_eq!(false_promises(answers, server), 0, "{answers:?}");
    for (id, answer) in answers {
        assert_eq!(answer.status, 200, "{id} {:?}", answer.headers);
    }
}

#[test]
fn copy_of_a_refusal_is_no_promise_for_a_caller_that_repeats_its_id() {
    let server = CopyingServer::start(REFUSAL_503);
    let deployment = start(&server, &["i-0"]);
    let caller = deployment.caller();
    let answers = repeat(caller, caller);
    assert_all_served(&answers, &server);
    deployment.close();
}

#[test]
fn copy_of_a_refusal_is_no_promise_where_two_entries_share_an_address() {
    // A box sends nothing more to an instance that it has got a 421 for.
    for (refusal, requests) in [(REFUSAL_503, REQUESTS), (REFUSAL_421, 1)] {
        let server = CopyingServer::start(refusal);
        let deployment = start(&server, &["i-0", "i-new"]);
        let ids = (0..requests).map(|n| format!("shared-{n}"));
        let call = |id: String| {
            let answer = deployment.call(ONCE_ONLY, &id);
            (id, answer)
        };
        let answers: Vec<_> = ids.map(call).collect();
        assert_all_served(&answers, &server);
        deployment.close();
    }
}

#[test]
fn copy_of_a_refusal_is_no_promise_for_a_request_that_comes_directly_and_relayed() {
    let server = CopyingServer::start(REFUSAL_503);
    let store = PlatformStore::start(500);
    store.put("op/config", &configuration(1, &[Route::new(ONCE_ONLY)]));
    store.put("servers/i-0", &server_entry(server.address, "ready"));
    let workers = Workers::start(2);
    let [direct, relayed] = edge::start_direct_and_relayed(&store, &workers);
    wait_until("both are ready", || direct.is_ready() && relayed.is_ready());
    wait_until("the relay is found", || {
        Caller::of(&relayed).call(ONCE_ONLY, "first").status == 200
    });
    let answers = repeat(Caller::of(&direct), Caller::of(&relayed));
    assert_all_served(&answers, &server);
    for running in [direct, relayed] {
        smol::block_on(running.close());
    }
    workers.close();
}

#[test]
fn repeated_ids_hold_no_more_connections_than_others() {
    let server = BackendServer::start(|_| Reply::Refused);
    let connections = BackendConnections::new(server.address, BufferBudget::new(1 << 20));
    let [id, other] = ["repeated", "other"].map(HeaderValue::from_static);
    for n in 1..=REQUESTS {
        let connection = refused_connection(&connections, ReusePolicy::Any, Some(&id));
        assert_eq!(connections.opened(), n, "each goes on a new connection");
        connections.release(connection);
    }
    let kept = refused_connection(&connections, ReusePolicy::Any, Some(&other));
    assert_eq!(
        connections.opened(),
        REQUESTS,
        "another id uses the last one"
    );
    assert!(
        !connections.has_idle(ReusePolicy::Any, Some(&other)),
        "the others closed"
    );
    drop(kept);
}

#[test]
fn requests_without_an_id_keep_no_connection_that_has_refused_them() {
    let server = BackendServer::start(|_| Reply::Refused);
    let connections = BackendConnections::new(server.address, BufferBudget::new(1 << 20));
    for reuse in [ReusePolicy::Any, ReusePolicy::Never] {
        for _ in 0..REQUESTS {
            connections.release(refused_connection(&connections, reuse, None));
            assert!(!connections.has_idle(ReusePolicy::Any, None), "{reuse:?}");
        }
    }
}

/// Sends a request that its server refuses, and returns the connection after that.
fn refused_connection(
    connections: &BackendConnections,
    reuse: ReusePolicy,
    id: Option<&HeaderValue>,
) -> BackendConnection {
    let name = id.map_or("", |id| id.to_str().expect("it is text"));
    let head = format!("GET / HTTP/1.1\r\nx-wingspur-request-id: {name}\r\n\r\n");
    smol::block_on(async {
        let connecting = connections.connect(reuse, id, Duration::from_secs(10));
        let mut connection = connecting.await.expect("the server listens");
        let body = SendBody::empty();
        let sending = connection.send_request(head.into_bytes(), body, &Method::GET, id);
        assert_eq!(sending.await.expect("the server responds").status, 503);
        connection
    })
}
