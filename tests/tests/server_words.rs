//! Guards against boxes that ignore a server's announcement of draining or backoff, for
//! example because its entry still says `ready` or a single refusal hardly affects its
//! health.

mod edge;

use std::time::Duration;

use edge::{Deployment, Route, configuration, wait_until};
use wingspur_tests::{BackendServer, Reply, StoreFault};

const ROUTES: [&str; 2] = ["read", "once_only"];
/// Enough requests that each of two usable servers would receive some.
const MANY: usize = 60;
/// Responses of a server before it refuses one request, so that the refusal hardly
/// affects its health.
const SUCCESSES_BEFORE_REFUSAL: usize = 30;

fn start(servers: &[BackendServer]) -> Deployment {
    Deployment::start(servers, &ROUTES.map(Route::new))
}

/// Sends requests until a server has received the given number of them.
fn send_until_reached(deployment: &Deployment, server: &BackendServer, requests: usize) {
    let mut sent = 0;
    wait_until("the server is reached", || {
        sent += 1;
        deployment.call(ROUTES[sent % 2], &format!("until-{sent}"));
        server.arrivals().len() >= requests
    });
}

/// A server that fails every third request, so that a healthy one is preferred to it.
fn fails_often(number: usize) -> Reply {
    match number % 3 {
        2 => Reply::Error,
        _ => Reply::Complete,
    }
}

/// A server that refuses a single request, after some successes.
fn sheds_once(number: usize) -> Reply {
    match number {
        SUCCESSES_BEFORE_REFUSAL => Reply::Refused,
        _ => Reply::Complete,
    }
}

/// Sends `MANY` requests and returns how many succeeded.
fn send_many(deployment: &Deployment, span: &str) -> usize {
    let statuses = (0..MANY).map(|n| {
        let answer = deployment.call(ROUTES[n % 2], &format!("{span}-{n}"));
        answer.status
    });
    statuses.filter(|status| *status == 200).count()
}

#[test]
fn a_server_that_says_it_leaves_gets_nothing_more() {
    let servers = [0, 1].map(|_| BackendServer::start(|_| Reply::Complete));
    servers[0].set_headers("server-leaving: 1\r\n");
    let deployment = start(&servers);
    send_until_reached(&deployment, &servers[0], 1);
    let before = servers[0].arrivals().len();
    let served = send_many(&deployment, "later");
    assert_eq!(
        servers[0].arrivals().len(),
        before,
        "a draining server received requests"
    );
    assert_eq!(served, MANY, "the other server has capacity");
    deployment.close();
}

/// A server announces draining once. The announcement must outlast changes of its entry,
/// unavailability and compaction of the store, and a new configuration.
#[test]
fn what_a_server_said_outlives_all_but_its_run() {
    let servers = [
        BackendServer::start(|_| Reply::Complete),
        BackendServer::start(fails_often),
    ];
    servers[0].set_headers("server-leaving: 1\r\n");
    let deployment = start(&servers);
    send_until_reached(&deployment, &servers[0], 1);
    servers[0].set_headers("");
    let before = servers[0].arrivals().len();
    let assert_unused = |event: &str| {
        send_many(&deployment, event);
        assert_eq!(servers[0].arrivals().len(), before, "{event}");
    };
    assert_unused("no event");
    deployment.announce("i-0", servers[0].address, "ready");
    assert_unused("its entry is rewritten");
    deployment.store.remove("servers/i-0");
    deployment.wait_for_updates();
    deployment.announce("i-0", servers[0].address, "ready");
    assert_unused("its entry is removed and written again");
    deployment.store.compact_history();
    deployment.wait_for_updates();
    assert_unused("a new snapshot is read");
    deployment.store.set_fault(StoreFault::Refuses(503));
    assert_unused("the store is unavailable");
    deployment.store.set_fault(StoreFault::None);
    let routes = ROUTES.map(Route::new);
    deployment.roll_out(&configuration(40, &routes));
    assert_unused("the configuration changes");
    // The next instance at the same address has another id, so it is another server.
    deployment.store.remove("servers/i-0");
    deployment.announce("i-9", servers[0].address, "ready");
    wait_until("the next instance is used", || {
        send_many(&deployment, "next run");
        servers[0].arrivals().len() > before
    });
    deployment.close();
}

#[test]
fn a_server_that_asks_for_rest_gets_nothing_until_then() {
    let servers = [
        BackendServer::start(sheds_once),
        BackendServer::start(fails_often),
    ];
    servers[0].set_headers("retry-after: 3600\r\n");
    let deployment = start(&servers);
    send_until_reached(&deployment, &servers[0], SUCCESSES_BEFORE_REFUSAL + 1);
    servers[0].set_headers("");
    send_many(&deployment, "resting");
    assert_eq!(
        servers[0].arrivals().len(),
        SUCCESSES_BEFORE_REFUSAL + 1,
        "sent during the backoff"
    );
    deployment.close();
}

#[test]
fn a_server_whose_rest_is_over_is_used_again() {
    let servers = [
        BackendServer::start(sheds_once),
        BackendServer::start(fails_often),
    ];
    servers[0].set_headers("retry-after: 0.25\r\n");
    let deployment = start(&servers);
    send_until_reached(&deployment, &servers[0], SUCCESSES_BEFORE_REFUSAL + 1);
    wait_until("it is used again", || {
        send_many(&deployment, "after");
        servers[0].arrivals().len() > SUCCESSES_BEFORE_REFUSAL + 1
    });
    deployment.close();
}

/// A request that no server may run is refused at once, with the time until the first
/// backoff ends.
#[test]
fn where_all_servers_rest_callers_are_told_when_the_first_is_back() {
    let servers = [0, 1].map(|_| BackendServer::start(|_| Reply::Refused));
    for server in &servers {
        server.set_headers("retry-after: 3600\r\n");
    }
    let deployment = start(&servers);
    for server in &servers {
        send_until_reached(&deployment, server, 1);
    }
    let answer = deployment.call("read", "refused");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.headers["wingspur-result"], "2007");
    let after: f64 = answer.headers["retry-after"].parse().expect("a number");
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert_eq!(
        servers.each_ref().map(|server| server.arrivals().len()),
        [1, 1]
    );
    deployment.close();
}

/// Invalid values of the headers have no effect.
#[test]
fn odd_values_change_nothing() {
    let invalid_or_void = [
        "retry-after: soon\r\nserver-leaving: perhaps\r\n",
        "retry-after: -5\r\n",
        "retry-after: 0\r\nserver-leaving: 0\r\n",
        "retry-after: Thu, 01 Jan 1970 00:00:00 GMT\r\n",
    ];
    for headers in invalid_or_void {
        let servers = [0, 1].map(|_| BackendServer::start(sheds_once));
        servers[0].set_headers(headers);
        let deployment = start(&servers);
        send_until_reached(&deployment, &servers[0], SUCCESSES_BEFORE_REFUSAL + 1);
        wait_until("it is used as before", || {
            send_many(&deployment, "odd");
            servers[0].arrivals().len() > SUCCESSES_BEFORE_REFUSAL + 1
        });
        deployment.close();
    }
}

/// A date is relative to the clock of the server that sent it.
#[test]
fn a_rest_may_end_at_a_date() {
    let servers = [
        BackendServer::start(sheds_once),
        BackendServer::start(fails_often),
    ];
    servers[0].set_headers(
        "date: Thu, 01 Jan 2026 00:00:00 GMT\r\nretry-after: Thu, 01 Jan 2026 01:00:00 GMT\r\n",
    );
    let deployment = start(&servers);
    send_until_reached(&deployment, &servers[0], SUCCESSES_BEFORE_REFUSAL + 1);
    servers[0].set_headers("");
    send_many(&deployment, "resting");
    assert_eq!(
        servers[0].arrivals().len(),
        SUCCESSES_BEFORE_REFUSAL + 1,
        "sent during the backoff"
    );
    deployment.close();
}

/// A server in backoff receives neither a resend nor an idle probe.
#[test]
fn second_attempts_leave_out_a_server_that_rests() {
    let failing = |number: usize| match number % 8 {
        7 => Reply::Close,
        _ => Reply::Complete,
    };
    let servers = [
        BackendServer::start(sheds_once),
        BackendServer::start(failing),
        BackendServer::start(failing),
    ];
    servers[0].set_headers("retry-after: 3600\r\n");
    let deployment = start(&servers);
    send_until_reached(&deployment, &servers[0], SUCCESSES_BEFORE_REFUSAL + 1);
    for _ in 0..4 {
        send_many(&deployment, "failing");
        std::thread::sleep(Duration::from_millis(400));
    }
    assert_eq!(
        servers[0].arrivals().len(),
        SUCCESSES_BEFORE_REFUSAL + 1,
        "sent during the backoff"
    );
    deployment.close();
}
