//! What a caller is told after two attempts agrees with what became of both.

mod edge;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use edge::{Deployment, Route};
use wingspur_tests::{BackendServer, Reply};

const REPLIES: [Reply; 9] = [
    Reply::Refused,
    Reply::Misdirected,
    Reply::Complete,
    Reply::Error,
    Reply::Unmarked,
    Reply::Close,
    Reply::Truncated,
    Reply::Garbage,
    Reply::SurplusAfter,
];

fn is_refusal(reply: Reply) -> bool {
    matches!(reply, Reply::Refused | Reply::Misdirected)
}

#[test]
fn a_promise_is_given_if_and_only_if_every_attempt_was_refused() {
    let script = Arc::new(Mutex::new(VecDeque::new()));
    let servers: Vec<_> = (0..6)
        .map(|_| {
            let script = script.clone();
            BackendServer::start(move |_| {
                let next = script.lock().unwrap().pop_front();
                next.unwrap_or(Reply::Complete)
            })
        })
        .collect();
    let deployment = Deployment::start(&servers, &[Route::new("once_only")]);
    let mut twice_refused = 0;
    for first in REPLIES {
        for second in REPLIES {
            let id = format!("{first:?}-{second:?}");
            *script.lock().unwrap() = [first, second].into();
            let answer = deployment.call("once_only", &id);
            let left = std::mem::take(&mut *script.lock().unwrap()).len();
            let attempts = &[first, second][..2 - left];
            let ran = servers.iter().flat_map(BackendServer::executed_ids);
            let ran = ran.filter(|ran| *ran == id).count();
            let is_promise = matches!(answer.status, 408 | 421 | 429 | 503);
            let all_refused = attempts.iter().copied().all(is_refusal);
            assert_eq!(
                is_promise, all_refused,
                "{id}: {}, {attempts:?}",
                answer.status
            );
            assert!(
                ran <= 1 && !(is_promise && ran > 0),
                "{id}: ran {ran} times"
            );
            twice_refused += usize::from(all_refused && attempts.len() == 2);
        }
    }
    assert!(twice_refused > 0, "no request was refused by two servers");
    deployment.close();
}
