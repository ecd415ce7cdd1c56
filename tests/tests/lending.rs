//! What boxes lend each other: counted once, used by one at a time, ended by itself.

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

/// Notes a part from one moment to another, as often as a box does.
fn keep(clock: &mut ShareHistory, part: f64, from: Instant, until: Instant) {
    let mut now = from;
    while now < until {
        clock.record_share(part, now);
        now += ms(200);
    }
    clock.record_share(part, until);
}

#[test]
fn a_pool_holds_no_more_than_its_part_of_the_depth_whatever_its_rest() {
    let (start, account) = (start(), account(10.0));
    let terms = QuotaTerms::of_account(&account, &QuotaTolerance::default());
    let (mut clock, mut pool) = (ShareHistory::new(start), QuotaPool::default());
    let later = start + Duration::from_secs(900);
    keep(&mut clock, 0.25, start, later);
    let lent = pool.lease_on_demand(1_000, 0.0, &terms, &clock, later);
    assert_eq!(lent, (terms.burst / 4.0) as u32);
    clock.record_share(0.0, later + ms(1));
    clock.record_share(0.0, later + ms(60_000));
    let none = pool.lease_on_demand(1, 0.0, &terms, &clock, later + ms(60_000));
    assert_eq!(none, 0, "a box without a part has nothing");
}

#[test]
fn a_part_that_comes_back_holds_only_what_it_has_earned_since() {
    let (start, account) = (start(), account(10.0));
    let terms = QuotaTerms::of_account(&account, &QuotaTolerance::default());
    let later = start + Duration::from_secs(100);
    let mut clock = ShareHistory::new(start);
    keep(&mut clock, 1.0, start, later);
    let mut asked = QuotaPool::default();
    assert_eq!(asked.lease_on_demand(1, 0.0, &terms, &clock, later), 1);
    let gone = later + Duration::from_secs(2);
    keep(&mut clock, 0.0, later, gone);
    let back = gone + Duration::from_secs(1);
    keep(&mut clock, 1.0, gone, back);
    // Another box may have spent all that was there: ten a second are earned since.
    let mut never_asked = QuotaPool::default();
    for pool in [&mut asked, &mut never_asked] {
        let lent = pool.lease_on_demand(1_000, 0.0, &terms, &clock, back);
        assert!((9..=10).contains(&lent), "{lent}");
    }
}

#[test]
fn stocks_are_lent_only_of_a_part_that_was_had_for_as_long_as_stocks_last() {
    let (start, account) = (start(), account(10.0));
    let terms = QuotaTerms::of_account(&account, &QuotaTolerance::default());
    let (mut clock, mut pool) = (ShareHistory::new(start), QuotaPool::default());
    let ask = |held| PrefetchRequest {
        borrower: 7,
        held,
        wanted: 5.0,
    };
    let soon = start + ms(2_900);
    keep(&mut clock, 1.0, start, soon);
    // The hub before may have lent as much, and that lasts for three seconds.
    let none = pool.lease_prefetch(&ask(0.0), &terms, &clock, soon);
    assert_eq!(none.amount, 0.0);
    let most = pool.lease_on_demand(1_000, 0.0, &terms, &clock, soon);
    assert!(f64::from(most) <= terms.burst * 0.4, "{most}");
    let later = soon + Duration::from_secs(6);
    keep(&mut clock, 1.0, soon, later);
    let lent = pool.lease_prefetch(&ask(0.0), &terms, &clock, later);
    assert_eq!(lent.amount, 5.0);
    assert!(
        pool.lease_prefetch(&ask(5.0), &terms, &clock, later)
            .renewed
    );
    // What the part has no room for any more is left to end.
    let shrunk = later + ms(100);
    clock.record_share(0.1, shrunk);
    let kept = pool.lease_prefetch(&ask(5.0), &terms, &clock, shrunk);
    assert_eq!((kept.amount, kept.renewed), (0.0, false));
}

#[test]
fn a_stock_that_the_hub_does_not_renew_keeps_its_end() {
    let start = start();
    let mut borrower = LeaseClient::default();
    for _ in 0..6 {
        assert_eq!(borrower.try_acquire(start), AcquireOutcome::Pending);
    }
    let asked = borrower.next_request(1, 0, true, start);
    assert!(matches!(asked, Some(LeaseDemand::Prefetch { .. })));
    let lent = PrefetchGrant {
        amount: 12.0,
        renewed: false,
    };
    borrower.apply_prefetch_grant(7, &lent, start + ms(5));
    assert_eq!(
        borrower.try_acquire(start + ms(6)),
        AcquireOutcome::Pending,
        "another's answer"
    );
    borrower.apply_prefetch_grant(1, &lent, start + ms(7));
    assert_eq!(
        borrower.try_acquire(start + ms(8)),
        AcquireOutcome::Acquired
    );
    // Another hub lends on top, and knows nothing of what was held.
    for _ in 0..6 {
        borrower.try_acquire(start + ms(2_500));
    }
    assert!(
        borrower
            .next_request(2, 0, true, start + ms(2_500))
            .is_some()
    );
    borrower.apply_prefetch_grant(2, &lent, start + ms(2_510));
    assert_eq!(
        borrower.try_acquire(start + ms(2_900)),
        AcquireOutcome::Acquired
    );
    assert_eq!(
        borrower.try_acquire(start + ms(3_001)),
        AcquireOutcome::Pending,
        "it has ended"
    );
}

#[test]
fn what_is_lent_at_once_is_void_when_it_is_late() {
    let start = start();
    let mut borrower = LeaseClient::default();
    borrower.try_acquire(start);
    assert_eq!(
        borrower.next_request(1, 1, true, start),
        Some(LeaseDemand::OnDemand(1))
    );
    assert_eq!(
        borrower.apply_on_demand_grant(1, 1, None, start + ms(201)),
        None
    );
    borrower.try_acquire(start + ms(300));
    assert!(borrower.next_request(2, 1, true, start + ms(300)).is_some());
    let lent = borrower.apply_on_demand_grant(2, 1, None, start + ms(305));
    assert_eq!(lent, Some((1, start + ms(500))));
}
