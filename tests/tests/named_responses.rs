//! A response that a box makes itself names the request, like those of servers.

mod edge;

use edge::{Deployment, Route};
use wingspur_tests::{BackendServer, Reply, call};

const ID: &str = "x-wingspur-request-id";

#[test]
fn own_responses_name_the_request() {
    let replies = [Reply::Refused, Reply::Close];
    for (n, reply) in replies.into_iter().enumerate() {
        let server = BackendServer::start(move |_| reply);
        let deployment = Deployment::start(&[server], &[Route::new("once_only")]);
        let id = format!("id-{n}");
        let answer = deployment.call("once_only", &id);
        assert!(matches!(answer.status, 502 | 503), "{answer:?}");
        assert_eq!(answer.headers.get(ID), Some(&id));
        let to = deployment.caller().address();
        let no_route = [("host", "elsewhere.example"), (ID, id.as_str())];
        let answer = call(to, "GET", "/", &no_route, b"");
        assert_eq!(answer.headers.get(ID), Some(&id), "{answer:?}");
        deployment.close();
    }
}

#[test]
fn a_request_without_an_id_gets_a_response_without_one() {
    let server = BackendServer::start(|_| Reply::Close);
    let deployment = Deployment::start(&[server], &[Route::new("once_only")]);
    let to = deployment.caller().address();
    let answer = call(to, "POST", "/once_only/a", &[("host", "site.example")], b"");
    assert_eq!(answer.status, 502);
    assert!(!answer.headers.contains_key(ID), "{answer:?}");
    deployment.close();
}
