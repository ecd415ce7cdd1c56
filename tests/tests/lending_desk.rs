//! What a box lends, borrows and refuses, decision by decision.

use std::time::{Duration, Instant};

use wingspur_coordination::{Quota, QuotaAllocator, QuotaLeaseManager, QuotaTopology};
use wingspur_protocol::{LeasedResource, QuotaLeaseRequest};
use wingspur_state::{AcquireOutcome, ClientAccount, QuotaTerms, QuotaTolerance};

const OF: LeasedResource = LeasedResource::Account(1);
const SERVER: LeasedResource = LeasedResource::Server(2);

/// An account that may ask for ten a second, or a server that takes as much.
fn allowance(of: LeasedResource) -> Option<Quota> {
    let account = ClientAccount {
        name: "school".into(),
        keys_sha256: Vec::new(),
        priority: 0,
        requests_per_s: 10.0,
        burst: 5.0,
    };
    let (terms, held_by) = match of {
        LeasedResource::Account(_) => {
            let quota = QuotaTolerance::default();
            (
                QuotaTerms::of_account(&account, &quota),
                QuotaAllocator::EachHub,
            )
        }
        _ => (
            QuotaTerms::of_server(10.0),
            QuotaAllocator::DataCentreHub("dc-1".into()),
        ),
    };
    Some(Quota {
        terms,
        allocator: held_by,
    })
}

/// A hub that holds all parts.
fn hub() -> QuotaTopology {
    QuotaTopology {
        share: 1.0,
        ..QuotaTopology::default()
    }
}

/// A desk whose box has held all parts from a moment on.
fn desk_since(start: Instant, until: Instant) -> QuotaLeaseManager {
    let mut desk = QuotaLeaseManager::new(start);
    let mut now = start;
    while now <= until {
        desk.update_shares(&hub(), now);
        now += Duration::from_millis(100);
    }
    desk
}

/// After a loss of all boxes nobody can tell for three seconds what an account has used. Callers
/// of one at ten times its limit all waited 1.2 s then, for places that were minted a tenth as fast.
#[test]
fn who_comes_behind_more_than_is_minted_meanwhile_is_refused_at_once() {
    let start = Instant::now();
    let now = start + Duration::from_millis(500);
    let mut desk = desk_since(start, now);
    let mut told = Vec::new();
    let mut refused = 0;
    for _ in 0..100 {
        match desk.acquire(OF, 0.0, &hub(), &allowance, now).0 {
            Ok(AcquireOutcome::Refused(_)) => refused += 1,
            Ok(_) => {}
            Err(waits) => told.push(waits),
        }
    }
    assert!((8..=12).contains(&told.len()), "{} wait", told.len());
    assert!(refused >= 80, "{refused} refused");
    // Those that wait are let through as places come.
    let mut later = now;
    for _ in 0..12 {
        later += Duration::from_millis(100);
        desk.update_shares(&hub(), later);
        desk.poll(&hub(), &allowance, later);
    }
    let taken = told
        .iter()
        .filter(|told| told.try_recv() == Ok(AcquireOutcome::Acquired));
    assert!(taken.count() >= 8);
}

#[test]
fn a_member_with_more_waiting_than_is_minted_is_told_so() {
    let start = Instant::now();
    let now = start + Duration::from_millis(500);
    let mut desk = desk_since(start, now);
    let ask = |urgent| QuotaLeaseRequest {
        request_id: 1,
        resource: OF,
        held: 0.0,
        on_demand_count: urgent,
        reserve: 0.0,
        wanted: 0.0,
    };
    for (urgent, is_told) in [(9, false), (50, true)] {
        let messages = desk.handle_request(7, &ask(urgent), &hub(), &allowance, now);
        let answer = messages[0].lending.replies[0];
        assert_eq!(answer.retry_after_ms.is_some(), is_told, "{urgent}");
    }
}

/// The share of a rank is what is beyond one place: the last one goes to the most urgent.
#[test]
fn less_urgent_requests_leave_room_to_the_more_urgent() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let mut desk = desk_since(start, now);
    let mut takes = |reserve| {
        let (outcome, _) = desk.acquire(SERVER, reserve, &hub(), &allowance, now);
        matches!(outcome, Ok(AcquireOutcome::Acquired))
    };
    // A server that takes ten a second may be sent five at once.
    let less_urgent = (0..10).filter(|_| takes(0.75)).count();
    let urgent = (0..10).filter(|_| takes(0.0)).count();
    assert_eq!((less_urgent, urgent), (2, 3));
}
