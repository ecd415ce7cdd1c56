//! What boxes lend each other: counted once, used by one at a time, ended by itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::{DELEGATED_FOR, Delegation};
use wingspur_state::{
    AccountUse, AllowanceTerms, Borrowed, Borrower, BorrowerAsk, BudgetSettings,
    ClientAccount, Contact, FleetBudget, FleetStanding, PartClock, Pool, QuotaSettings,
    ResendUse, Stocked,
};

const BUDGET: BudgetSettings = BudgetSettings {
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
        FleetStanding {
            boxes: 1,
            contact: Contact::Joined,
        },
    );
    let mut budget = FleetBudget::new(BUDGET);
    for _ in 0..4 {
        assert!(budget.lend(ResendUse::Sure, joined, start).allowed);
    }
    for later_ms in [0, 5_000, 12_900] {
        let now = start + ms(later_ms);
        assert!(!budget.lend(ResendUse::Sure, joined, now).allowed);
        assert!(!budget.take(ResendUse::Sure, joined, now).allowed);
    }
    let free = start + ms(13_500);
    assert!(budget.take(ResendUse::Sure, joined, free).allowed);
}

#[test]
fn a_part_is_used_by_one_hub_at_a_time_and_by_nobody_right_after_a_start() {
    let start = start();
    let mut delegation = Delegation::new(start);
    assert!(!delegation.leave_to(1, start + DELEGATED_FOR - ms(1)));
    assert!(delegation.leave_to(1, start + DELEGATED_FOR));
    let last = start + DELEGATED_FOR + ms(200);
    assert!(delegation.leave_to(1, last));
    assert!(!delegation.leave_to(2, last + DELEGATED_FOR - ms(1)));
    assert!(!delegation.is_free(last + DELEGATED_FOR - ms(1)));
    assert!(delegation.leave_to(2, last + DELEGATED_FOR));
    assert!(!delegation.leave_to(1, last + DELEGATED_FOR + ms(1)));
}

#[test]
fn an_account_in_debt_is_not_let_through_freely_until_it_is_worked_off() {
    let (start, account) = (start(), account(10.0));
    let mut used = AccountUse::unknown(&account, start);
    assert!(used.is_far_beneath(&account, start));
    used.count(25);
    assert!(!used.is_far_beneath(&account, start + ms(2_400)));
    assert!(used.is_far_beneath(&account, start + ms(2_600)));
    // A rest of any length earns the burst and no more.
    assert_eq!(used.left(&account, start + ms(900_000)), 10.0);
}

#[test]
fn a_pool_holds_no_more_than_its_part_of_the_depth_whatever_its_rest() {
    let (start, account) = (start(), account(10.0));
    let terms = AllowanceTerms::of_account(&account, &QuotaSettings::default());
    let (mut clock, mut pool) = (PartClock::new(start), Pool::default());
    clock.note(0.25, start);
    let later = start + Duration::from_secs(900);
    clock.note(0.25, later);
    let lent = pool.lend_at_once(1_000, &terms, &clock, later);
    assert_eq!(lent, (terms.depth / 4.0) as u32);
    clock.note(0.0, later + ms(1));
    clock.note(0.0, later + ms(60_000));
    let none = pool.lend_at_once(1, &terms, &clock, later + ms(60_000));
    assert_eq!(none, 0, "a box without a part has nothing");
}

#[test]
fn a_stock_that_the_hub_does_not_renew_keeps_its_end() {
    let start = start();
    let mut borrower = Borrower::default();
    assert_eq!(borrower.want(start), Borrowed::Waits);
    let asked = borrower.ask(1, 0, start);
    assert!(matches!(asked, Some(BorrowerAsk::Stock { .. })));
    let lent = Stocked {
        amount: 2.0,
        renewed: false,
    };
    borrower.take_stock(7, &lent, start + ms(5));
    assert_eq!(
        borrower.want(start + ms(6)),
        Borrowed::Waits,
        "another's answer"
    );
    borrower.take_stock(1, &lent, start + ms(7));
    assert_eq!(borrower.want(start + ms(8)), Borrowed::Taken);
    // Another hub lends on top, and knows nothing of what was held.
    assert!(borrower.ask(2, 0, start + ms(2_500)).is_some());
    borrower.take_stock(2, &lent, start + ms(2_510));
    assert_eq!(borrower.want(start + ms(2_900)), Borrowed::Taken);
    assert_eq!(
        borrower.want(start + ms(3_001)),
        Borrowed::Waits,
        "it has ended"
    );
}

#[test]
fn what_is_lent_at_once_is_void_when_it_is_late() {
    let start = start();
    let mut borrower = Borrower::default();
    borrower.want(start);
    assert_eq!(borrower.ask(1, 1, start), Some(BorrowerAsk::Urgent(1)));
    assert_eq!(borrower.take_urgent(1, 1, None, start + ms(101)), 0);
    borrower.want(start + ms(200));
    assert!(borrower.ask(2, 1, start + ms(200)).is_some());
    assert_eq!(borrower.take_urgent(2, 1, None, start + ms(205)), 1);
}
