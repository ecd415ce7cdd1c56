//! Tests the single decisions of `QuotaLeaseManager`: leases, waits and refusals.

use std::time::{Duration, Instant};

use wingspur_coordination::{Quota, QuotaAllocator, QuotaLeaseManager, QuotaTopology};
use wingspur_protocol::{LeasedResource, QuotaLeaseReply, QuotaLeaseRequest};
use wingspur_state::{
    AcquireOutcome, ClientAccount, QueueReport, QuotaTerms, QuotaTolerance,
};

const ACCOUNT: LeasedResource = LeasedResource::Account(1);
const SERVER: LeasedResource = LeasedResource::Server(2);

/// The quota of an account or of a server that may have ten requests a second.
fn quota_of(resource: LeasedResource) -> Option<Quota> {
    let account = ClientAccount {
        name: "school".into(),
        keys_sha256: Vec::new(),
        priority: 0,
        requests_per_s: 10.0,
        burst: 5.0,
    };
    let (terms, allocator) = match resource {
        LeasedResource::Account(_) => {
            let tolerance = QuotaTolerance::default();
            (
                QuotaTerms::of_account(&account, &tolerance),
                QuotaAllocator::EachHub,
            )
        }
        _ => (
            QuotaTerms::of_server(10.0),
            QuotaAllocator::DataCentreHub("dc-1".into()),
        ),
    };
    Some(Quota { terms, allocator })
}

/// A hub that holds the shares of all boxes.
fn hub() -> QuotaTopology {
    QuotaTopology {
        share: 1.0,
        ..QuotaTopology::default()
    }
}

/// A manager whose box has held all shares since `start`.
fn manager_since(start: Instant, until: Instant) -> QuotaLeaseManager {
    let mut manager = QuotaLeaseManager::new(start);
    let mut now = start;
    while now <= until {
        manager.update_shares(&hub(), now);
        now += Duration::from_millis(100);
    }
    manager
}

/// For three seconds after all boxes were lost it is not known what an account has used.
/// The callers of an account at ten times its limit then all waited 1.2 s for quota that
/// refilled a tenth as fast.
#[test]
fn who_comes_behind_more_than_is_minted_meanwhile_is_refused_at_once() {
    let start = Instant::now();
    let now = start + Duration::from_millis(500);
    let mut manager = manager_since(start, now);
    let mut pending = Vec::new();
    let mut refused = 0;
    for _ in 0..100 {
        match manager.acquire(ACCOUNT, 0.0, &hub(), &quota_of, now).0 {
            Ok(AcquireOutcome::Refused(_)) => refused += 1,
            Ok(_) => {}
            Err(receiver) => pending.push(receiver),
        }
    }
    assert!(
        (8..=12).contains(&pending.len()),
        "{} requests wait",
        pending.len()
    );
    assert!(refused >= 80, "{refused} requests refused");
    // The waiting requests are granted as the share refills.
    let mut later = now;
    for _ in 0..12 {
        later += Duration::from_millis(100);
        manager.update_shares(&hub(), later);
        manager.poll(&hub(), &quota_of, later);
    }
    let taken = pending
        .iter()
        .filter(|pending| pending.try_recv() == Ok(AcquireOutcome::Acquired));
    assert!(taken.count() >= 8);
}

#[test]
fn a_member_with_more_waiting_than_is_minted_is_told_so() {
    let start = Instant::now();
    let now = start + Duration::from_millis(500);
    let mut manager = manager_since(start, now);
    let ask = |on_demand_count| QuotaLeaseRequest {
        request_id: 1,
        resource: ACCOUNT,
        held: 0.0,
        on_demand_count,
        reserve: 0.0,
        wanted: 0.0,
    };
    for (on_demand_count, has_retry_after) in [(9, false), (50, true)] {
        let messages =
            manager.handle_request(7, &ask(on_demand_count), &hub(), &quota_of, now);
        let reply = messages[0].messages.replies[0];
        assert_eq!(
            reply.retry_after_ms.is_some(),
            has_retry_after,
            "{on_demand_count} requested"
        );
    }
}

/// A member of the hub at link 7.
fn member() -> QuotaTopology {
    QuotaTopology {
        own_hub: Some(7),
        allocators: vec![7],
        ..QuotaTopology::default()
    }
}

/// Guards against requests that a member holds although its hub has just told that all
/// units that fall due are waited for, and against a report that is used for too long.
#[test]
fn a_member_refuses_at_once_by_its_hubs_last_report() {
    let now = Instant::now();
    let mut manager = QuotaLeaseManager::new(now);
    let (first, messages) = manager.acquire(ACCOUNT, 0.0, &member(), &quota_of, now);
    let first = first.expect_err("the hub has to be asked");
    let asked = messages[0].messages.requests[0];
    let reply = QuotaLeaseReply {
        retry_after_ms: Some(80),
        queue: Some(QueueReport {
            reserve: 0.0,
            ahead: 3,
            waiting: 3,
            due: 3,
            free_in_ms: 80,
        }),
        ..QuotaLeaseReply::denied(&asked)
    };
    let replied = now + Duration::from_millis(5);
    manager.handle_reply(&reply, &member(), &quota_of, replied);
    let refusal = |ms| AcquireOutcome::Refused(Duration::from_millis(ms));
    assert_eq!(first.try_recv(), Ok(refusal(80)));
    let later = replied + Duration::from_millis(20);
    let (outcome, _) = manager.acquire(ACCOUNT, 0.0, &member(), &quota_of, later);
    assert_eq!(outcome.expect("it is refused"), refusal(60));
    let expired = replied + Duration::from_millis(250);
    for _ in 0..2 {
        let (outcome, _) = manager.acquire(ACCOUNT, 0.0, &member(), &quota_of, expired);
        assert!(outcome.is_err(), "the report has expired");
    }
}

/// The reserve of a priority applies beyond one unit: the last unit is left to the most
/// urgent requests.
#[test]
fn less_urgent_requests_leave_room_to_the_more_urgent() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let mut manager = manager_since(start, now);
    let mut acquires = |reserve| {
        let (outcome, _) = manager.acquire(SERVER, reserve, &hub(), &quota_of, now);
        matches!(outcome, Ok(AcquireOutcome::Acquired))
    };
    // A server that takes ten requests a second may be sent five at once.
    let less_urgent = (0..10).filter(|_| acquires(0.75)).count();
    let urgent = (0..10).filter(|_| acquires(0.0)).count();
    assert_eq!((less_urgent, urgent), (2, 3));
}
