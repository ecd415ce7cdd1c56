//! What servers say of themselves in their answers binds the box that heard it.
//!
//! A server that was leaving said so in all its answers while the store was away for 13 s, and
//! got 17 more requests meanwhile, one of them 3.5 s after the box that sent it had passed on such
//! an answer. Servers that turned requests away asked for 3 s of rest; of the 44 that were
//! refused in five seconds, one box sent 3 of its own to the same server, 1.0 to 1.1 s after it
//! had been asked. Nothing in the program read either word: the server's entry in the store
//! still said `ready`, and a single refusal hardly counts against a server.

mod edge;

use std::time::Duration;

use edge::{Deployment, Route, configuration, wait_until};
use wingspur_tests::{BackendServer, Reply, StoreFault};

const ROUTES: [&str; 2] = ["read", "once_only"];
/// So many requests would reach each of two servers.
const MANY: usize = 60;
/// Answers of a server before it turns one away, so that a refusal hardly counts against it.
const WELL_BEFORE: usize = 30;

fn start(servers: &[BackendServer]) -> Deployment {
    Deployment::start(servers, &ROUTES.map(Route::new))
}

/// Asks until a server has got so many requests.
fn ask_until_reached(deployment: &Deployment, server: &BackendServer, requests: usize) {
    let mut asked = 0;
    wait_until("the server is reached", || {
        asked += 1;
        deployment.call(ROUTES[asked % 2], &format!("until-{asked}"));
        server.arrivals().len() >= requests
    });
}

/// A server that no pick would prefer to one that is well.
fn fails_often(number: usize) -> Reply {
    match number % 3 {
        2 => Reply::Error,
        _ => Reply::Whole,
    }
}

/// A server that turns a single request away, once it has answered some.
fn sheds_once(number: usize) -> Reply {
    match number {
        WELL_BEFORE => Reply::Shed,
        _ => Reply::Whole,
    }
}

/// Asks many times; how many were served.
fn ask_many(deployment: &Deployment, span: &str) -> usize {
    let statuses = (0..MANY).map(|n| {
        let answer = deployment.call(ROUTES[n % 2], &format!("{span}-{n}"));
        answer.status
    });
    statuses.filter(|status| *status == 200).count()
}

#[test]
fn a_server_that_says_it_leaves_gets_nothing_more() {
    let servers = [0, 1].map(|_| BackendServer::start(|_| Reply::Whole));
    servers[0].say("server-leaving: 1\r\n");
    let deployment = start(&servers);
    ask_until_reached(&deployment, &servers[0], 1);
    let before = servers[0].arrivals().len();
    let served = ask_many(&deployment, "later");
    assert_eq!(
        servers[0].arrivals().len(),
        before,
        "its entry says `ready`"
    );
    assert_eq!(served, MANY, "the other server has room");
    deployment.close();
}

/// It says it once, and its entry goes, comes back and changes; the store is
/// away, forgets its history and is read anew; the configuration changes.
#[test]
fn what_a_server_said_outlives_all_but_its_run() {
    let servers = [
        BackendServer::start(|_| Reply::Whole),
        BackendServer::start(fails_often),
    ];
    servers[0].say("server-leaving: 1\r\n");
    let deployment = start(&servers);
    ask_until_reached(&deployment, &servers[0], 1);
    servers[0].say("");
    let before = servers[0].arrivals().len();
    let unsent = |event: &str| {
        ask_many(&deployment, event);
        assert_eq!(servers[0].arrivals().len(), before, "{event}");
    };
    unsent("nothing");
    deployment.announce("i-0", servers[0].address, "ready");
    unsent("its entry is written anew");
    deployment.store.remove("servers/i-0");
    deployment.wait_for_updates();
    deployment.announce("i-0", servers[0].address, "ready");
    unsent("its entry has gone and come back");
    deployment.store.forget_history();
    deployment.wait_for_updates();
    unsent("all is listed anew");
    deployment.store.set_fault(StoreFault::Refuses(503));
    unsent("the store is away");
    deployment.store.set_fault(StoreFault::None);
    let routes = ROUTES.map(Route::new);
    deployment.roll_out(&configuration(40, &routes));
    unsent("the configuration changes");
    // The next run of the same address is another server.
    deployment.store.remove("servers/i-0");
    deployment.announce("i-9", servers[0].address, "ready");
    wait_until("the next run is used", || {
        ask_many(&deployment, "next run");
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
    servers[0].say("retry-after: 3600\r\n");
    let deployment = start(&servers);
    ask_until_reached(&deployment, &servers[0], WELL_BEFORE + 1);
    servers[0].say("");
    ask_many(&deployment, "resting");
    assert_eq!(servers[0].arrivals().len(), WELL_BEFORE + 1, "it rests");
    deployment.close();
}

#[test]
fn a_server_whose_rest_is_over_is_used_again() {
    let servers = [
        BackendServer::start(sheds_once),
        BackendServer::start(fails_often),
    ];
    servers[0].say("retry-after: 0.25\r\n");
    let deployment = start(&servers);
    ask_until_reached(&deployment, &servers[0], WELL_BEFORE + 1);
    wait_until("it is used again", || {
        ask_many(&deployment, "after");
        servers[0].arrivals().len() > WELL_BEFORE + 1
    });
    deployment.close();
}

/// Nobody waits in vain: what no server may take is refused at once, with the time at which
/// the first is back.
#[test]
fn where_all_servers_rest_callers_are_told_when_the_first_is_back() {
    let servers = [0, 1].map(|_| BackendServer::start(|_| Reply::Shed));
    for server in &servers {
        server.say("retry-after: 3600\r\n");
    }
    let deployment = start(&servers);
    for server in &servers {
        ask_until_reached(&deployment, server, 1);
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

/// A word that cannot be read binds nobody, and is told.
#[test]
fn odd_values_change_nothing() {
    let odd = [
        "retry-after: soon\r\nserver-leaving: perhaps\r\n",
        "retry-after: -5\r\n",
        "retry-after: 0\r\nserver-leaving: 0\r\n",
        "retry-after: Thu, 01 Jan 1970 00:00:00 GMT\r\n",
    ];
    for odd in odd {
        let servers = [0, 1].map(|_| BackendServer::start(sheds_once));
        servers[0].say(odd);
        let deployment = start(&servers);
        ask_until_reached(&deployment, &servers[0], WELL_BEFORE + 1);
        wait_until("it is used as before", || {
            ask_many(&deployment, "odd");
            servers[0].arrivals().len() > WELL_BEFORE + 1
        });
        deployment.close();
    }
}

/// A date counts by the clock of the server that named it.
#[test]
fn a_rest_may_end_at_a_date() {
    let servers = [
        BackendServer::start(sheds_once),
        BackendServer::start(fails_often),
    ];
    servers[0].say(
        "date: Thu, 01 Jan 2026 00:00:00 GMT\r\nretry-after: Thu, 01 Jan 2026 01:00:00 GMT\r\n",
    );
    let deployment = start(&servers);
    ask_until_reached(&deployment, &servers[0], WELL_BEFORE + 1);
    servers[0].say("");
    ask_many(&deployment, "resting");
    assert_eq!(servers[0].arrivals().len(), WELL_BEFORE + 1, "it rests");
    deployment.close();
}

/// A server that has turned one away and rests is tried neither by a second attempt nor for
/// the sake of the servers in use.
#[test]
fn second_attempts_leave_out_a_server_that_rests() {
    let failing = |number: usize| match number % 8 {
        7 => Reply::Close,
        _ => Reply::Whole,
    };
    let servers = [
        BackendServer::start(sheds_once),
        BackendServer::start(failing),
        BackendServer::start(failing),
    ];
    servers[0].say("retry-after: 3600\r\n");
    let deployment = start(&servers);
    ask_until_reached(&deployment, &servers[0], WELL_BEFORE + 1);
    for _ in 0..4 {
        ask_many(&deployment, "failing");
        std::thread::sleep(Duration::from_millis(400));
    }
    assert_eq!(servers[0].arrivals().len(), WELL_BEFORE + 1, "it rests");
    deployment.close();
}
