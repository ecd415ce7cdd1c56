//! Client accounts: which requests a key admits, and which account is sent to servers.

mod edge;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use edge::{Deployment, Route, configuration, with_accounts};
use serde_json::{Value, json};
use wingspur_tests::{Answer, BackendServer, Reply, call};

const ACCOUNT: &str = "x-wingspur-tenant-name";
/// Two accounts with their keys. `bundle` opens the last of its route classes to all.
const ACCOUNTS: &[(&str, &[&str])] =
    &[("school", &["key-a", "key-b"]), ("academy", &["key-c"])];

fn bundle(version: u64, accounts: &[(&str, &[&str])]) -> Value {
    let routes = ["read", "once_only", "download"].map(Route::new);
    let mut bundle = with_accounts(configuration(version, &routes), accounts);
    bundle["host_routes"][2]["open_to_all"] = json!(true);
    bundle
}

/// Calls a route with the given headers in addition to the usual ones.
fn ask(deployment: &Deployment, class: &str, headers: &[(&str, &str)]) -> Answer {
    let usual = [
        ("host", "site.example"),
        ("x-wingspur-request-id", "id-1"),
        ("x-wingspur-request-deadline-ms", "4000"),
    ];
    let headers = [&usual[..], headers].concat();
    let method = if class == "once_only" { "POST" } else { "GET" };
    let address = deployment.caller().address();
    call(address, method, &format!("/{class}/a"), &headers, b"")
}

fn ask_with_key(deployment: &Deployment, class: &str, key: &str) -> u16 {
    let value = format!("Bearer {key}");
    ask(deployment, class, &[("authorization", &value)]).status
}

/// The class and headers of a request, the expected status, and the account that its
/// server is sent (empty for none).
type Case = (
    &'static str,
    &'static [(&'static str, &'static str)],
    u16,
    &'static str,
);

const CASES: &[Case] = &[
    ("read", &[("authorization", "Bearer key-a")], 200, "school"),
    ("read", &[("Authorization", "bearer key-b")], 200, "school"),
    (
        "once_only",
        &[("authorization", "Bearer key-c")],
        200,
        "academy",
    ),
    ("read", &[], 401, ""),
    ("read", &[("authorization", "Bearer key-z")], 401, ""),
    ("read", &[("authorization", "Bearer ")], 401, ""),
    ("read", &[("authorization", "Basic key-a")], 401, ""),
    ("read", &[("authorization", "key-a")], 401, ""),
    (
        "read",
        &[
            ("authorization", "Bearer key-a"),
            ("authorization", "Bearer key-c"),
        ],
        401,
        "",
    ),
    (
        "read",
        &[
            ("authorization", "Bearer key-a"),
            ("X-Wingspur-Tenant-Name", "academy"),
            ("x-wingspur-tenant-name", "other"),
            ("x_wingspur_tenant_name", "third"),
        ],
        200,
        "school",
    ),
    ("download", &[], 200, ""),
    ("download", &[("x-wingspur-tenant-name", "school")], 200, ""),
    (
        "download",
        &[("authorization", "Bearer key-c")],
        200,
        "academy",
    ),
    ("download", &[("authorization", "Bearer key-z")], 200, ""),
];

#[test]
fn servers_are_told_the_account_of_the_key_and_never_the_key() {
    for (class, headers, status, account) in CASES {
        let servers = [BackendServer::start(|_| Reply::Complete)];
        let deployment = Deployment::start_configured(&servers, &bundle(1, ACCOUNTS));
        let answer = ask(&deployment, class, headers);
        assert_eq!(answer.status, *status, "{class} {headers:?}");
        let heads = servers[0].heads();
        assert_eq!(heads.len(), usize::from(*status == 200));
        for head in heads {
            let account_sent = head.headers.get(ACCOUNT).map_or("", String::as_str);
            assert_eq!(account_sent, *account, "{class} {headers:?}");
            let text = format!("{:?}", head.headers);
            for secret in ["key-", "authorization", "tenant_name"] {
                assert!(!text.contains(secret), "{text}");
            }
        }
        deployment.close();
    }
}

#[test]
fn a_refusal_for_want_of_a_key_says_how_one_is_given() {
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let deployment = Deployment::start_configured(&servers, &bundle(1, ACCOUNTS));
    let answer = ask(&deployment, "read", &[]);
    assert_eq!(answer.headers["www-authenticate"], "Bearer");
    assert_eq!(answer.headers["wingspur-result"], "1006");
    deployment.close();
}

#[test]
fn without_accounts_keys_are_none_of_the_boxs_business() {
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let plain = configuration(1, &[Route::new("read")]);
    let deployment = Deployment::start_configured(&servers, &plain);
    assert_eq!(ask_with_key(&deployment, "read", "key-z"), 200);
    let head = servers[0].heads().remove(0);
    assert_eq!(head.headers["authorization"], "Bearer key-z");
    deployment.close();
}

#[test]
fn keys_come_and_go_in_series_and_move_from_one_account_to_another() {
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let deployment = Deployment::start_configured(&servers, &bundle(1, ACCOUNTS));
    for round in 0..10u64 {
        let (account, other) = match round % 2 {
            0 => ("school", "academy"),
            _ => ("academy", "school"),
        };
        let accounts: &[(&str, &[&str])] = &[(account, &["moves"]), (other, &["key-b"])];
        deployment.roll_out(&bundle(2 + 2 * round, accounts));
        assert_eq!(ask_with_key(&deployment, "read", "moves"), 200);
        let account_sent = servers[0].heads().pop().unwrap().headers[ACCOUNT].clone();
        assert_eq!(account_sent, account);
        deployment.roll_out(&bundle(
            3 + 2 * round,
            &[(account, &[]), (other, &["key-b"])],
        ));
        assert_eq!(ask_with_key(&deployment, "read", "moves"), 401);
        assert_eq!(ask_with_key(&deployment, "read", "key-b"), 200);
    }
    deployment.close();
}

#[test]
fn a_key_that_is_taken_away_meanwhile_sends_no_request_again() {
    let (attempts, is_revoked) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let server = || {
        let (attempts, is_revoked) = (attempts.clone(), is_revoked.clone());
        BackendServer::start(move |_| {
            attempts.fetch_add(1, Ordering::SeqCst);
            while !is_revoked.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
            Reply::Refused
        })
    };
    let servers = [server(), server()];
    // The latency target is so long that no hedge is sent beside the first attempt.
    let mut first = bundle(1, ACCOUNTS);
    first["host_routes"][1]["target_latency_ms"] = json!(60_000);
    let deployment = Deployment::start_configured(&servers, &first);
    let status = std::thread::scope(|scope| {
        let caller = scope.spawn(|| ask_with_key(&deployment, "once_only", "key-c"));
        edge::wait_until("the first attempt is sent", || {
            attempts.load(Ordering::SeqCst) > 0
        });
        deployment.roll_out(&bundle(2, &[("school", &["key-a"]), ("academy", &[])]));
        is_revoked.store(true, Ordering::SeqCst);
        caller.join().unwrap()
    });
    assert_eq!(status, 401);
    assert_eq!(
        attempts.load(Ordering::SeqCst),
        1,
        "attempts sent to servers"
    );
    deployment.close();
}

#[test]
fn a_resend_tells_the_account_as_well() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let server = || {
        let attempts = attempts.clone();
        BackendServer::start(move |_| match attempts.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Refused,
            _ => Reply::Complete,
        })
    };
    let servers = [server(), server()];
    let deployment = Deployment::start_configured(&servers, &bundle(1, ACCOUNTS));
    assert_eq!(ask_with_key(&deployment, "once_only", "key-c"), 200);
    let heads = servers.iter().flat_map(BackendServer::heads);
    let account_sent: Vec<_> = heads.map(|head| head.headers[ACCOUNT].clone()).collect();
    assert_eq!(account_sent, ["academy", "academy"]);
    deployment.close();
}

#[test]
fn a_box_whose_news_is_late_says_come_back_and_not_that_a_key_is_unknown() {
    let servers = [BackendServer::start(|_| Reply::Complete)];
    let deployment = Deployment::start_configured(&servers, &bundle(1, ACCOUNTS));
    assert_eq!(ask_with_key(&deployment, "read", "key-z"), 401);
    deployment
        .store
        .set_fault(wingspur_tests::StoreFault::Refuses(503));
    std::thread::sleep(Duration::from_millis(2_500));
    let answer = ask(&deployment, "read", &[("authorization", "Bearer key-z")]);
    assert_eq!(
        (answer.status, &*answer.headers["wingspur-result"]),
        (503, "5002")
    );
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(ask_with_key(&deployment, "read", "key-a"), 200);
    deployment.close();
}
