//! Quota leases and leased resends between boxes: each is counted once, used by one box
//! at a time, and expires by itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::{DELEGATION_TTL, ShareDelegation};
use wingspur_state::{
    AcquireOutcome, ClientAccount, FleetMembership, FleetRetryBudget, LeaseClient,
    LeaseDemand, MembershipState, PrefetchGrant, PrefetchRequest, QuotaPool, QuotaTerms,
    QuotaTolerance, ResendKind, RetryBudgetSettings, ShareHistory,
};

const BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_s: 10.0,
    slack: 4.0,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start() -> Instant {
    Instant::now() + Duration::from_secs(100)
}

fn account(per_s: f64) -> Arc<ClientAccount> {
    Arc::new(ClientAccount {
        name: "school".into(),
        keys_sha256: Vec::new(),
        priority: 0,
        requests_per_s: per_s,
        burst: per_s,
    })
}

#[test]
fn a_resend_that_is_lent_counts_as_the_lenders_own_until_it_can_no_longer_arrive() {
    let (start, joined) = (
        start(),
        FleetMembership {
            boxes: 1,
            state: MembershipState::Joined,
        },
    );
    let mut budget = FleetRetryBudget::new(BUDGET);
    for _ in 0..4 {
        assert!(
            budget
                .try_lend(ResendKind::AfterFailure, joined, start)
                .allowed
        );
    }
    for later_ms in [0, 5_000, 12_900] {
        let now = start + ms(later_ms);
        assert!(
            !budget
                .try_lend(ResendKind::AfterFailure, joined, now)
                .allowed
        );
        assert!(
            !budget
                .try_spend(ResendKind::AfterFailure, joined, now)
                .allowed
        );
    }
    let free = start + ms(13_500);
    assert!(
        budget
            .try_spend(ResendKind::AfterFailure, joined, free)
            .allowed
    );
}

#[test]
fn a_part_is_used_by_one_hub_at_a_time_and_by_nobody_right_after_a_start() {
    let start = start();
    let mut delegation = ShareDelegation::new(start);
    assert!(!delegation.delegate_to(1, start + DELEGATION_TTL - ms(1)));
    assert!(delegation.delegate_to(1, start + DELEGATION_TTL));
    let last = start + DELEGATION_TTL + ms(200);
    assert!(delegation.delegate_to(1, last));
    assert!(!delegation.delegate_to(2, last + DELEGATION_TTL - ms(1)));
    assert!(!delegation.is_free(last + DELEGATION_TTL - ms(1)));
    assert!(delegation.delegate_to(2, last + DELEGATION_TTL));
    assert!(!delegation.delegate_to(1, last + DELEGATION_TTL + ms(1)));
}

/// Records a share over a span of time, as often as a box does.
fn record(history: &mut ShareHistory, share: f64, from: Instant, until: Instant) {
    let mut now = from;
    while now < until {
        history.record_share(share, now);
        now += ms(200);
    }
    history.record_share(share, until);
}

#[test]
fn a_pool_holds_no_more_than_its_part_of_the_depth_whatever_its_rest() {
    let (start, account) = (start(), account(10.0));
    let terms = QuotaTerms::of_account(&account, &QuotaTolerance::default());
    let (mut history, mut pool) = (ShareHistory::new(start), QuotaPool::default());
    let later = start + Duration::from_secs(900);
    record(&mut history, 0.25, start, later);
    let granted = pool.lease_on_demand(1_000, 0.0, &terms, &history, later);
    assert_eq!(granted, (terms.burst / 4.0) as u32);
    history.record_share(0.0, later + ms(1));
    history.record_share(0.0, later + ms(60_000));
    let none = pool.lease_on_demand(1, 0.0, &terms, &history, later + ms(60_000));
    assert_eq!(none, 0, "a box without a share has no tokens");
}

#[test]
fn a_part_that_comes_back_holds_only_what_it_has_earned_since() {
    let (start, account) = (start(), account(10.0));
    let terms = QuotaTerms::of_account(&account, &QuotaTolerance::default());
    let later = start + Duration::from_secs(100);
    let mut history = ShareHistory::new(start);
    record(&mut history, 1.0, start, later);
    let mut used = QuotaPool::default();
    assert_eq!(used.lease_on_demand(1, 0.0, &terms, &history, later), 1);
    let lost = later + Duration::from_secs(2);
    record(&mut history, 0.0, later, lost);
    let returned = lost + Duration::from_secs(1);
    record(&mut history, 1.0, lost, returned);
    // Another box may have spent all tokens that were left: ten a second were earned
    // since.
    let mut unused = QuotaPool::default();
    for pool in [&mut used, &mut unused] {
        let granted = pool.lease_on_demand(1_000, 0.0, &terms, &history, returned);
        assert!((9..=10).contains(&granted), "{granted} granted");
    }
}

#[test]
fn stocks_are_lent_only_of_a_part_that_was_had_for_as_long_as_stocks_last() {
    let (start, account) = (start(), account(10.0));
    let terms = QuotaTerms::of_account(&account, &QuotaTolerance::default());
    let (mut history, mut pool) = (ShareHistory::new(start), QuotaPool::default());
    let request = |held| PrefetchRequest {
        holder: 7,
        held,
        wanted: 5.0,
    };
    let soon = start + ms(2_900);
    record(&mut history, 1.0, start, soon);
    // The previous hub may have leased out as much, and its leases last for three
    // seconds.
    let none = pool.lease_prefetch(&request(0.0), &terms, &history, soon);
    assert_eq!(none.amount, 0.0);
    let on_demand = pool.lease_on_demand(1_000, 0.0, &terms, &history, soon);
    assert!(
        f64::from(on_demand) <= terms.burst * 0.4,
        "{on_demand} granted"
    );
    let later = soon + Duration::from_secs(6);
    record(&mut history, 1.0, soon, later);
    let granted = pool.lease_prefetch(&request(0.0), &terms, &history, later);
    assert_eq!(granted.amount, 5.0);
    assert!(
        pool.lease_prefetch(&request(5.0), &terms, &history, later)
            .renewed
    );
    // A lease that the share has no more room for is left to expire.
    let shrunk = later + ms(100);
    history.record_share(0.1, shrunk);
    let refused = pool.lease_prefetch(&request(5.0), &terms, &history, shrunk);
    assert_eq!((refused.amount, refused.renewed), (0.0, false));
}

#[test]
fn a_stock_that_the_hub_does_not_renew_keeps_its_end() {
    let start = start();
    let mut client = LeaseClient::default();
    for _ in 0..6 {
        assert_eq!(client.try_acquire(start), AcquireOutcome::Pending);
    }
    let request = client.next_request(1, 0, true, start);
    assert!(matches!(request, Some(LeaseDemand::Prefetch { .. })));
    let granted = PrefetchGrant {
        amount: 12.0,
        renewed: false,
    };
    client.apply_prefetch_grant(7, &granted, start + ms(5));
    assert_eq!(
        client.try_acquire(start + ms(6)),
        AcquireOutcome::Pending,
        "the response has the number of another request"
    );
    client.apply_prefetch_grant(1, &granted, start + ms(7));
    assert_eq!(client.try_acquire(start + ms(8)), AcquireOutcome::Acquired);
    // Another hub grants tokens on top, without counting those that are held.
    for _ in 0..6 {
        client.try_acquire(start + ms(2_500));
    }
    assert!(client.next_request(2, 0, true, start + ms(2_500)).is_some());
    client.apply_prefetch_grant(2, &granted, start + ms(2_510));
    assert_eq!(
        client.try_acquire(start + ms(2_900)),
        AcquireOutcome::Acquired
    );
    assert_eq!(
        client.try_acquire(start + ms(3_001)),
        AcquireOutcome::Pending,
        "the first lease has expired, and the second did not renew it"
    );
}

#[test]
fn what_is_lent_at_once_is_void_when_it_is_late() {
    let start = start();
    let mut client = LeaseClient::default();
    client.try_acquire(start);
    assert_eq!(
        client.next_request(1, 1, true, start),
        Some(LeaseDemand::OnDemand(1))
    );
    assert_eq!(
        client.apply_on_demand_grant(1, 1, None, start + ms(201)),
        None
    );
    client.try_acquire(start + ms(300));
    assert!(client.next_request(2, 1, true, start + ms(300)).is_some());
    let granted = client.apply_on_demand_grant(2, 1, None, start + ms(305));
    assert_eq!(granted, Some((1, start + ms(500))));
}
