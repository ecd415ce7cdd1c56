//! Admission by urgency at one box: what callers get, and what reaches the server.

mod edge;

use std::time::Duration;

use edge::{Deployment, Route, configuration};
use wingspur_tests::{Answer, BackendServer, Reply};

/// Urgent requests that the server keeps: three times its slots.
const URGENT: usize = 12;
const LESS_URGENT: usize = 20;
const LESS_URGENT_RESULT: &str = "2008";

/// Fills a server with reads, and returns the ids and the responses of uploads that are
/// sent at once after that, with the ids that reached the server.
fn send_to_full_server(priorities: [u8; 2]) -> (Vec<(String, Answer)>, Vec<String>) {
    let server = BackendServer::start(|n| match n < URGENT {
        true => Reply::Silent,
        false => Reply::Complete,
    });
    let servers = [server];
    let routes = [Route::new("read"), Route::new("once_only")];
    let mut configuration = configuration(1, &routes);
    for (route, priority) in priorities.iter().enumerate() {
        configuration["host_routes"][route]["priority"] = (*priority).into();
    }
    let deployment = Deployment::start_with_urgency(&servers, &configuration);
    let caller = deployment.caller();
    let reads: Vec<_> = (0..URGENT)
        .map(|n| std::thread::spawn(move || caller.call("read", &format!("read-{n}"))))
        .collect();
    edge::wait_until("the server is full", || servers[0].heads().len() >= URGENT);
    let uploads: Vec<_> = (0..LESS_URGENT)
        .map(|n| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(5 * n as u64));
                let id = format!("upload-{n}");
                let answer = caller.call("once_only", &id);
                (id, answer)
            })
        })
        .collect();
    let uploads = uploads.into_iter().map(|upload| upload.join().unwrap());
    let uploads = uploads.collect();
    reads.into_iter().for_each(|read| drop(read.join()));
    let arrived = servers[0].arrivals().into_iter().map(|(_, id)| id);
    let arrived = arrived.collect();
    deployment.close();
    (uploads, arrived)
}

fn is_refused_by_urgency(answer: &Answer) -> bool {
    let result = answer.headers.get("wingspur-result");
    result.is_some_and(|result| result == LESS_URGENT_RESULT)
}

/// Guards against a refusal of a request that has reached a server, and against one
/// without a time to come back.
#[test]
fn less_urgent_requests_are_refused_before_they_are_sent() {
    let (uploads, arrived) = send_to_full_server([0, 2]);
    let refused: Vec<_> = uploads
        .iter()
        .filter(|(_, answer)| is_refused_by_urgency(answer))
        .collect();
    assert!(
        refused.len() >= LESS_URGENT / 4,
        "{} refused",
        refused.len()
    );
    for (id, answer) in refused {
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        assert!(!arrived.contains(id), "{id} has reached the server");
    }
}

/// Guards against an effect where all requests of a service have the same priority.
#[test]
fn one_priority_is_not_refused() {
    let (uploads, _) = send_to_full_server([2, 2]);
    assert!(
        uploads
            .iter()
            .all(|(_, answer)| !is_refused_by_urgency(answer))
    );
}
