//! The fleet's retry budget: what boxes may spend while boxes join, leave or are
//! disconnected.

use std::time::{Duration, Instant};

use wingspur_coordination::{
    AnnouncementView, BoxRegistry, FleetConnectivity, FleetSizeTracker, FleetView,
    LinkId, LinkPeer, PeerRole, required_contact_time,
};
use wingspur_protocol::{FleetStatus, MembershipUpdate};
use wingspur_state::{
    BoxKey, DataCentreId, FleetMembership, FleetRetryBudget, MembershipState, ResendKind,
    RetryBudgetSettings, ServiceTally,
};

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_s: 10.0,
    slack: 60.0,
};
const WINDOW: Duration = Duration::from_secs(10);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// The membership of a box that has joined, with the slack divided among so many boxes.
fn joined(boxes: usize) -> FleetMembership {
    FleetMembership {
        boxes,
        state: MembershipState::Joined,
    }
}

/// Makes resends until the budget refuses; all of them arrive. Returns their number.
fn spend(
    budget: &mut FleetRetryBudget,
    membership: FleetMembership,
    now: Instant,
) -> u32 {
    let mut spent = 0;
    while budget
        .try_spend(ResendKind::AfterFailure, membership, now)
        .allowed
    {
        budget.finish_request(1, 0, now);
        spent += 1;
    }
    spent
}

fn centre(name: &str) -> DataCentreId {
    name.into()
}

/// What the announcements tell a hub where these other data centres have boxes.
fn hub_of(others: &[&str]) -> AnnouncementView {
    AnnouncementView {
        announced_boxes: 1,
        reported_fleet_size: 0,
        data_centres: others.iter().map(|name| centre(name)).collect(),
        hub_candidates: Vec::new(),
        is_hub: true,
        is_acting_hub: false,
        age: Some(Duration::ZERO),
    }
}

const OWN_KEY: BoxKey = 1;

fn peer(data_centre: &str, key: BoxKey) -> LinkPeer {
    LinkPeer {
        data_centre: centre(data_centre),
        key,
    }
}

/// The census of a hub that counts so many boxes, including itself.
fn census(hub: LinkId, boxes: u64) -> MembershipUpdate {
    MembershipUpdate {
        is_full: true,
        joined: (0..boxes).map(|n| hub * 100 + n).collect(),
        left: Vec::new(),
    }
}

/// A hub's membership after it has received the reports of some data centres' hubs for a
/// while.
fn membership_after(
    known: &AnnouncementView,
    linked: &[&str],
    span: Duration,
) -> FleetMembership {
    let start = Instant::now();
    let mut view = FleetView::new(OWN_KEY, Instant::now());
    for (id, name) in linked.iter().enumerate() {
        let id = id as u64 + 1;
        view.add_link(id, peer(name, id * 100), PeerRole::Hub, start);
        view.receive_membership(id, &census(id, 10), known, start);
    }
    let note = FleetStatus::default();
    for tick in 0..=(span.as_millis() / 300) as u32 {
        let now = start + Duration::from_millis(300) * tick;
        for id in 1..=linked.len() as u64 {
            view.receive(id, note, known, Some(now), now);
        }
        view.membership(WINDOW, known, now);
    }
    view.membership(WINDOW, known, start + span)
}

#[test]
fn a_window_never_holds_more_than_its_share_and_slack() {
    let start = Instant::now() + seconds(100);
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let mut resends: Vec<Instant> = Vec::new();
    for tick in 0..400u32 {
        let now = start + Duration::from_millis(100) * tick;
        for _ in 0..4 {
            budget.count_request(now);
        }
        for _ in 0..spend(&mut budget, joined(1), now) {
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
    assert!(resends.len() > 300, "the budget must be usable");
}

#[test]
fn a_box_that_comes_has_its_requests_share_at_once_and_no_slack_until_all_count_it() {
    let start = Instant::now() + seconds(100);
    let mut connectivity = FleetConnectivity::default();
    let mut budget = FleetRetryBudget::new(SETTINGS);
    (0..100).for_each(|_| budget.count_request(start));
    let join = required_contact_time(WINDOW);
    let mut spent = 0;
    for tick in 0..(join.as_millis() / 300) as u32 {
        let now = start + Duration::from_millis(300) * tick;
        connectivity.note(now);
        let membership = FleetMembership {
            boxes: 1,
            state: connectivity.membership_state(WINDOW, now),
        };
        assert_eq!(membership.state, MembershipState::Joining);
        spent += spend(&mut budget, membership, now);
    }
    assert!(
        (9..=10).contains(&spent),
        "{spent} spent of half of a fifth of 100"
    );
    connectivity.note(start + join);
    assert_eq!(
        connectivity.membership_state(WINDOW, start + join),
        MembershipState::Joined
    );
}

#[test]
fn a_box_alone_has_the_whole_slack_once_nobody_else_can() {
    let alone = hub_of(&[]);
    let (early, late) = (
        required_contact_time(WINDOW) / 2,
        required_contact_time(WINDOW),
    );
    assert_eq!(
        membership_after(&alone, &[], early).state,
        MembershipState::Joining
    );
    assert_eq!(membership_after(&alone, &[], late), joined(1));
}

#[test]
fn after_a_loss_of_all_boxes_nobody_has_any_slack_for_a_window() {
    for boxes in [1, 40] {
        let mut budget = FleetRetryBudget::new(SETTINGS);
        let mut connectivity = FleetConnectivity::default();
        let start = Instant::now();
        connectivity.note(start);
        for second in 0..=10 {
            let now = start + seconds(second);
            connectivity.note(now);
            let membership = FleetMembership {
                boxes,
                state: connectivity.membership_state(WINDOW, now),
            };
            assert_eq!(spend(&mut budget, membership, now), 0);
        }
    }
}

#[test]
fn what_others_were_asked_for_and_sent_again_changes_nothing_for_a_box() {
    let now = Instant::now() + seconds(100);
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let tally = |requests, resends| ServiceTally {
        requests,
        resends,
        ..ServiceTally::default()
    };
    budget.merge_remote_counts(tally(5_000, 0), now);
    assert_eq!(
        spend(&mut budget, joined(40), now),
        1,
        "a slack of 60 divided among 40 boxes"
    );
    let mut other = FleetRetryBudget::new(SETTINGS);
    other.merge_remote_counts(tally(0, 5_000), now);
    assert_eq!(spend(&mut other, joined(40), now), 1);
}

#[test]
fn a_box_cut_off_spends_no_slack_and_joins_anew() {
    let start = Instant::now();
    let mut connectivity = FleetConnectivity::default();
    let mut now = start;
    while now <= start + required_contact_time(WINDOW) {
        connectivity.note(now);
        now += Duration::from_millis(500);
    }
    assert_eq!(
        connectivity.membership_state(WINDOW, now),
        MembershipState::Joined
    );
    let later = now + seconds(3);
    assert_eq!(
        connectivity.membership_state(WINDOW, later),
        MembershipState::Disconnected
    );
    connectivity.note(later);
    assert_eq!(
        connectivity.membership_state(WINDOW, later),
        MembershipState::Joining
    );
}

#[test]
fn a_contact_that_is_told_late_is_as_old_as_it_is() {
    let start = Instant::now();
    let mut connectivity = FleetConnectivity::default();
    connectivity.note(start + seconds(5));
    connectivity.note(start + seconds(4));
    let now = start + seconds(7);
    assert_eq!(connectivity.age(now), Some(seconds(2)));
}

#[test]
fn a_hub_that_does_not_hear_every_data_centre_has_no_slack() {
    let known = hub_of(&["b", "c", "d"]);
    let join = required_contact_time(WINDOW);
    let partial = membership_after(&known, &["b"], join);
    assert_eq!(partial.state, MembershipState::Disconnected);
    let complete = membership_after(&known, &["b", "c", "d"], join);
    assert_eq!(
        complete,
        joined(31),
        "ten boxes in each of three data centres, and itself"
    );
}

#[test]
fn a_hub_whose_announcements_are_old_or_that_stands_in_alone_has_no_slack() {
    let join = required_contact_time(WINDOW);
    let mut stale = hub_of(&[]);
    stale.age = Some(seconds(9));
    assert_eq!(
        membership_after(&stale, &[], join).state,
        MembershipState::Disconnected
    );
    stale.age = None;
    assert_eq!(
        membership_after(&stale, &[], join).state,
        MembershipState::Disconnected
    );
    let mut acting_hub = hub_of(&[]);
    acting_hub.is_acting_hub = true;
    assert_eq!(
        membership_after(&acting_hub, &[], join).state,
        MembershipState::Disconnected
    );
}

#[test]
fn a_member_is_in_touch_as_far_as_its_hub_is() {
    let member = AnnouncementView {
        is_hub: false,
        ..hub_of(&["b"])
    };
    let note = |touch_ms| FleetStatus {
        boxes: 40,
        counted: 0,
        hub_contact_age_ms: touch_ms,
        ..FleetStatus::default()
    };
    let after_join = |touch_ms| {
        let start = Instant::now() + seconds(100);
        let mut view = FleetView::new(OWN_KEY, Instant::now());
        view.add_link(1, peer("here", 100), PeerRole::OwnHub, start);
        let mut now = start;
        while now <= start + required_contact_time(WINDOW) {
            view.receive(1, note(touch_ms), &member, Some(now), now);
            now += Duration::from_millis(300);
        }
        view.membership(WINDOW, &member, now)
    };
    assert_eq!(after_join(None).state, MembershipState::Disconnected);
    assert_eq!(after_join(Some(4_000)).state, MembershipState::Disconnected);
    assert_eq!(after_join(Some(100)), joined(40));
}

#[test]
fn a_resend_counts_from_its_sending_until_a_window_after_its_request() {
    let start = Instant::now() + seconds(100);
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let membership = joined(60);
    assert!(
        budget
            .try_spend(ResendKind::AfterFailure, membership, start)
            .allowed
    );
    let refused = |budget: &mut FleetRetryBudget, now| {
        let decision = budget.check(ResendKind::AfterFailure, membership, now);
        assert_eq!(decision.allowed, decision.spent == 0);
        !decision.allowed
    };
    assert!(
        refused(&mut budget, start + seconds(15)),
        "the request has not ended"
    );
    budget.finish_request(1, 0, start + seconds(15));
    assert!(refused(&mut budget, start + seconds(25)));
    assert!(!refused(&mut budget, start + seconds(26)));
}

#[test]
fn a_resend_that_reached_no_server_is_given_back() {
    let now = Instant::now() + seconds(100);
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let membership = joined(60);
    assert!(
        budget
            .try_spend(ResendKind::AfterFailure, membership, now)
            .allowed
    );
    assert!(
        !budget
            .try_spend(ResendKind::AfterFailure, membership, now)
            .allowed
    );
    budget.refund(1);
    assert!(
        budget
            .try_spend(ResendKind::AfterFailure, membership, now)
            .allowed
    );
}

#[test]
fn the_largest_fleet_of_the_span_divides_the_slack() {
    let start = Instant::now();
    let mut fleet = FleetSizeTracker::default();
    for (second, counted) in [(0, 40), (9, 30), (12, 5)] {
        fleet.record(counted, start + seconds(second));
    }
    let now = start + seconds(20);
    assert_eq!(fleet.max_within(seconds(25), now), 40);
    assert_eq!(
        fleet.max_within(seconds(18), now),
        30,
        "counts within the span matter"
    );
    assert_eq!(fleet.max_within(seconds(9), now), 5);
}

#[test]
fn a_window_longer_than_counts_are_held_has_no_slack() {
    let start = Instant::now();
    let known = hub_of(&[]);
    let mut view = FleetView::new(OWN_KEY, Instant::now());
    let state_after = |view: &mut FleetView, window, until| {
        let mut now = start;
        while now <= start + until {
            view.membership(window, &known, now);
            now += Duration::from_secs(1);
        }
        view.membership(window, &known, start + until).state
    };
    let (long, longer) = (seconds(50), seconds(60));
    assert_eq!(
        state_after(&mut view, long, seconds(70)),
        MembershipState::Joined
    );
    assert_eq!(
        state_after(&mut view, longer, seconds(200)),
        MembershipState::Disconnected
    );
}

#[test]
fn members_between_two_hubs_are_still_counted() {
    let start = Instant::now();
    let mut fleet = BoxRegistry::new(OWN_KEY);
    fleet.add_hub(1);
    fleet.add_hub(2);
    fleet.receive(1, &census(1, 10), start);
    fleet.receive(2, &census(2, 9), start);
    assert_eq!(fleet.count(start), 20);
    // The members of the first hub have lost it, and have no other hub yet.
    fleet.receive(1, &census(1, 1), start + seconds(3));
    assert_eq!(fleet.count(start + seconds(3)), 20);
    fleet.drop_link(1, start + seconds(3));
    assert_eq!(fleet.count(start + seconds(3)), 20);
    assert_eq!(fleet.count(start + seconds(8)), 10);
}

#[test]
fn members_that_move_from_one_hub_to_another_are_counted_once() {
    let start = Instant::now();
    let mut fleet = BoxRegistry::new(OWN_KEY);
    fleet.add_hub(1);
    fleet.receive(1, &census(1, 30), start);
    assert_eq!(fleet.count(start), 31);
    // A second hub of the same data centre takes over the members one by one, before the
    // first has noticed that they have left.
    fleet.add_hub(2);
    for n in 0..30 {
        let joined = MembershipUpdate {
            is_full: n == 0,
            joined: vec![100 + n],
            left: Vec::new(),
        };
        fleet.receive(2, &joined, start + seconds(1));
        assert_eq!(fleet.count(start + seconds(1)), 31);
    }
    fleet.drop_link(1, start + seconds(2));
    assert_eq!(fleet.count(start + seconds(10)), 31);
}

#[test]
fn hubs_tell_each_other_whom_they_count_once_and_then_what_has_changed() {
    let now = Instant::now();
    let mut fleet = BoxRegistry::new(OWN_KEY);
    fleet.add_hub(1);
    fleet.add_member(2, 50);
    let first = fleet.updates_for(1);
    assert_eq!((first.is_full, first.joined), (true, vec![OWN_KEY, 50]));
    assert_eq!(fleet.updates_for(1), MembershipUpdate::default());
    fleet.add_member(3, 60);
    fleet.drop_link(2, now);
    let next = fleet.updates_for(1);
    assert_eq!(
        (next.is_full, next.joined, next.left),
        (false, vec![60], vec![50])
    );
    fleet.add_hub(4);
    assert_eq!(fleet.updates_for(4).joined, [OWN_KEY, 60]);
}

#[test]
fn a_hub_counts_what_another_hub_counts_and_it_does_not_hear() {
    let now = Instant::now();
    let known = hub_of(&["b"]);
    let mut view = FleetView::new(OWN_KEY, Instant::now());
    view.add_link(1, peer("b", 100), PeerRole::Hub, now);
    view.receive_membership(1, &census(1, 10), &known, now);
    let note = FleetStatus {
        boxes: 0,
        counted: 35,
        hub_contact_age_ms: None,
        delegates_shares: false,
        ..FleetStatus::default()
    };
    view.receive(1, note, &known, Some(now), now);
    assert_eq!(view.fleet_size(&known, now), 35);
    let note = view.outgoing_notes(&known, now).note_for(PeerRole::Hub);
    assert_eq!(
        note.counted, 11,
        "the count received from another hub is not sent back"
    );
}

#[test]
fn hedges_leave_a_part_of_the_budget_to_surer_resends() {
    let now = Instant::now() + seconds(100);
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let mut hedges = 0;
    while budget.try_spend(ResendKind::Hedge, joined(1), now).allowed {
        hedges += 1;
    }
    assert!((40..=42).contains(&hedges), "{hedges} hedges");
    let after_failure = spend(&mut budget, joined(1), now);
    assert!(
        (18..=20).contains(&after_failure),
        "{after_failure} resends after failures"
    );
}

#[test]
fn a_loss_shows_at_once_and_as_long_as_the_floor_is_held() {
    let start = Instant::now();
    let mut budget = FleetRetryBudget::new(SETTINGS);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let counts = |requests, lost| ServiceTally {
        requests,
        lost,
        ..ServiceTally::default()
    };
    budget.merge_remote_counts(counts(50, 0), at(0));
    budget.merge_remote_counts(counts(50, 5), at(1_500));
    let early = budget.service_load(at(1_500)).failure_ratio;
    assert!(
        early >= 0.1,
        "five of fifty lost in the last second: {early}"
    );
    budget.merge_remote_counts(counts(50, 0), at(2_800));
    let late = budget.service_load(at(2_800)).failure_ratio;
    assert!(
        late >= 0.05,
        "five of a hundred lost in two seconds: {late}"
    );
    assert_eq!(budget.service_load(at(9_000)).failure_ratio, 0.0);
}
