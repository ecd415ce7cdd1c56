//! The fleet's retry budget: what boxes may spend, whoever comes, goes or is cut off.

use std::time::{Duration, Instant};

use wingspur_state::{
    BudgetHistory, BudgetSettings, FleetBudget, FleetDivision, ResendUse, ServiceTally,
};

const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    window_s: 10.0,
    slack: 60.0,
};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Resends that a box makes at once until it may not.
fn spend(budget: &mut FleetBudget, now: Instant) -> u32 {
    let mut spent = 0;
    while budget.allows(ResendUse::Sure, now) {
        budget.count_resend(now);
        spent += 1;
    }
    spent
}

#[test]
fn a_window_never_holds_more_than_its_share_and_slack() {
    let start = Instant::now();
    let mut budget = FleetBudget::new(SETTINGS, start);
    let mut resends: Vec<Instant> = Vec::new();
    for tick in 0..400u32 {
        let now = start + Duration::from_millis(100) * tick;
        for _ in 0..4 {
            budget.count_request(now);
        }
        for _ in 0..spend(&mut budget, now) {
            resends.push(now);
        }
        let in_window = resends
            .iter()
            .filter(|at| now - **at <= seconds(10))
            .count();
        let requests = 40.0 * (now - start).as_secs_f64().min(10.0) + 4.0;
        let allowed = 0.2 * requests + 60.0;
        assert!(in_window as f64 <= allowed, "{in_window} of {allowed}");
    }
    assert!(resends.len() > 300, "the budget is there to be used");
}

#[test]
fn a_box_that_comes_earns_its_slack_over_the_window() {
    let start = Instant::now();
    let mut budget = FleetBudget::new(SETTINGS, start);
    assert_eq!(spend(&mut budget, start), 0);
    assert!(spend(&mut budget, start + seconds(5)) <= 30);
}

#[test]
fn after_a_loss_of_all_boxes_nobody_has_the_whole_slack() {
    let start = Instant::now();
    let one_second_later = start + seconds(1);
    let mut first = FleetBudget::new(SETTINGS, start);
    let told = first.history(one_second_later);
    let mut second = FleetBudget::new(SETTINGS, one_second_later);
    second.adopt_history(&told, one_second_later);
    let (_, limit) = second.standing(one_second_later);
    assert!(limit <= 6.0, "a second of ten is known: {limit}");
}

#[test]
fn a_box_that_comes_to_a_fleet_that_knows_has_the_whole_budget_at_once() {
    let start = Instant::now();
    let later = start + seconds(20);
    let mut old = FleetBudget::new(SETTINGS, start);
    let counts = ServiceTally {
        requests: 500,
        resends: 40,
        lost: 0,
    };
    old.count_remote(3, counts, later - seconds(1));
    let mut new = FleetBudget::new(SETTINGS, later);
    new.adopt_history(&old.history(later), later);
    assert_eq!(new.standing(later), (40, 0.2 * 500.0 + 60.0));
}

#[test]
fn resends_counted_while_no_link_stood_are_caught_up_with() {
    let start = Instant::now();
    let now = start + seconds(20);
    let mut budget = FleetBudget::new(SETTINGS, start);
    budget.count_request(now);
    let told = BudgetHistory {
        whole_ms: 10_000,
        counts: vec![(
            0,
            ServiceTally {
                requests: 90,
                resends: 30,
                lost: 0,
            },
        )],
    };
    budget.adopt_history(&told, now);
    assert_eq!(budget.standing(now).0, 30);
    budget.adopt_history(&told, now);
    assert_eq!(budget.standing(now).0, 30, "told twice, counted once");
}

#[test]
fn a_box_cut_off_spends_its_own_share_of_the_slack_only() {
    let start = Instant::now();
    let now = start + seconds(20);
    let mut budget = FleetBudget::new(SETTINGS, start);
    budget.set_division(FleetDivision {
        boxes: 40,
        data_centres: 1,
        adds_up_its_own: false,
    });
    assert!(spend(&mut budget, now) <= 2, "60 over 40 boxes");
    budget.note_heard(3, now);
    assert!(spend(&mut budget, now) > 40, "connected again");
}

#[test]
fn halves_of_a_fleet_that_do_not_hear_each_other_share_the_slack() {
    let start = Instant::now();
    let now = start + seconds(20);
    let division = FleetDivision {
        boxes: 40,
        data_centres: 4,
        adds_up_its_own: false,
    };
    let spent_by = |sources: u64, division| {
        let mut budget = FleetBudget::new(SETTINGS, start);
        budget.set_division(division);
        (1..=sources).for_each(|source| budget.note_heard(source, now));
        spend(&mut budget, now)
    };
    let (half, whole) = (spent_by(2, division), spent_by(4, division));
    assert!(2 * half <= whole, "{half} of {whole}");
    assert!(whole > 40, "{whole}");
    let hub = FleetDivision {
        adds_up_its_own: true,
        ..division
    };
    assert_eq!(spent_by(3, hub), whole, "it knows its own data centre");
    assert_eq!(spent_by(7, hub), whole, "more sources are no more slack");
}

#[test]
fn hedges_leave_a_part_of_the_budget_to_surer_resends() {
    let start = Instant::now();
    let now = start + seconds(20);
    let mut budget = FleetBudget::new(SETTINGS, start);
    let mut hedges = 0;
    while budget.allows(ResendUse::Hedge, now) {
        budget.count_resend(now);
        hedges += 1;
    }
    assert!((40..=42).contains(&hedges), "{hedges}");
    let surer = spend(&mut budget, now);
    assert!((10..=12).contains(&surer), "{surer}");
}

#[test]
fn a_loss_shows_at_once_and_as_long_as_the_floor_is_held() {
    let start = Instant::now();
    let mut budget = FleetBudget::new(SETTINGS, start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let counts = |requests, lost| ServiceTally {
        requests,
        resends: 0,
        lost,
    };
    budget.count_remote(1, counts(50, 0), at(0));
    budget.count_remote(1, counts(50, 5), at(1_500));
    let early = budget.present(at(1_500)).lost_share;
    assert!(early >= 0.1, "five of fifty in the last second: {early}");
    budget.count_remote(1, counts(50, 0), at(2_800));
    let late = budget.present(at(2_800)).lost_share;
    assert!(late >= 0.05, "five of a hundred in two seconds: {late}");
    assert_eq!(budget.present(at(9_000)).lost_share, 0.0);
}
