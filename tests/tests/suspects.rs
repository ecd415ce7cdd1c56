//! Requests under which servers ended: when one box suspects, quarantines and clears
//! them, and how many trials the registries of all boxes permit.

use std::time::{Duration, Instant};

use wingspur_coordination::{
    MAX_TRIALS, QuarantineRegistry, RecordOutcome, TrialDecision,
};
use wingspur_state::{
    RequestFingerprint, RequestParts, SUSPECT_RETENTION, StorePosition, StoredQuarantine,
    SuspectEvent, SuspectRequests, SuspectUpdate,
};

const SECOND: Duration = Duration::from_secs(1);

fn request(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestParts {
        method: "GET",
        host: "site.example",
        target: name,
        caller: b"",
        body: b"",
        body_bytes: None,
    })
}

fn ended(name: &str, server: u64, at: Instant) -> SuspectUpdate {
    SuspectUpdate {
        request: request(name),
        seen: SuspectEvent::ServerEnded(server),
        at,
    }
}

fn answered(name: &str, at: Instant) -> SuspectUpdate {
    SuspectUpdate {
        request: request(name),
        seen: SuspectEvent::AnsweredWhole,
        at,
    }
}

fn known(revision: u64, tries: u32, heard: Instant) -> StoredQuarantine {
    StoredQuarantine {
        position: StorePosition::new(0, revision),
        tries,
        counted_by: 7,
        learned_at: heard,
    }
}

/// A box that knows of two servers that ended under a request.
fn quarantined(name: &str, now: Instant) -> SuspectRequests {
    let mut suspects = SuspectRequests::default();
    suspects.apply_update(&ended(name, 1, now), now);
    suspects.apply_update(&ended(name, 2, now), now);
    suspects
}

#[test]
fn two_servers_quarantine_a_request_and_one_whole_answer_clears_it() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();
    assert!(suspects.apply_update(&ended("a", 1, now), now));
    assert!(
        !suspects.apply_update(&ended("a", 1, now), now),
        "the same server"
    );
    assert!(!suspects.is_quarantined(request("a"), now));
    assert!(suspects.apply_update(&ended("a", 2, now), now));
    assert!(suspects.is_quarantined(request("a"), now));
    assert!(!suspects.is_quarantined(request("b"), now));
    assert!(suspects.apply_update(&answered("a", now + SECOND), now + SECOND));
    assert!(!suspects.is_quarantined(request("a"), now + SECOND));
    // A late update about an ending before the answer changes nothing.
    assert!(!suspects.apply_update(&ended("a", 3, now), now + SECOND));
    // Endings after the answer are counted from zero.
    let later = now + 10 * SECOND;
    suspects.apply_update(&ended("a", 4, later), later);
    assert!(!suspects.is_quarantined(request("a"), later));
    suspects.apply_update(&ended("a", 5, later), later);
    assert!(suspects.is_quarantined(request("a"), later));
}

#[test]
fn a_popular_request_is_cleared_by_an_answer_of_a_moment_before() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();
    assert!(!suspects.record_complete_answer(request("popular"), now));
    for server in 0..5 {
        suspects.apply_update(&ended("popular", server, now + SECOND), now + SECOND);
    }
    let ended_at = now + SECOND;
    let before = suspects.answered_before(request("popular"), ended_at);
    assert_eq!(before, Some(now), "the other boxes should be notified");
    suspects.apply_update(&answered("popular", now), ended_at);
    assert!(!suspects.is_quarantined(request("popular"), ended_at));
    // An answer long before proves nothing: the servers may have been replaced since.
    let later = now + 20 * SECOND;
    suspects.evict_expired(later);
    suspects.apply_update(&ended("popular", 8, later), later);
    suspects.apply_update(&ended("popular", 9, later), later);
    assert_eq!(suspects.answered_before(request("popular"), later), None);
    assert!(suspects.is_quarantined(request("popular"), later));
}

#[test]
fn what_the_store_holds_is_known_to_a_box_that_starts() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();
    suspects.apply_quarantine(request("a"), known(5, 1, now));
    assert!(suspects.is_quarantined(request("a"), now));
    // An older revision is ignored.
    suspects.apply_quarantine(request("a"), known(4, 0, now));
    assert_eq!(suspects.quarantine(request("a")).map(|q| q.tries), Some(1));
    suspects.apply_update(&answered("a", now + SECOND), now + SECOND);
    assert!(!suspects.is_quarantined(request("a"), now + SECOND));
    assert_eq!(
        suspects.cleared_quarantines().len(),
        1,
        "the quarantine should be ended"
    );
    suspects.remove_quarantine(request("a"));
    assert!(suspects.cleared_quarantines().is_empty());
}

#[test]
fn tries_counted_before_a_store_restore_still_count() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();
    let at = |era, revision, tries| StoredQuarantine {
        position: StorePosition::new(era, revision),
        ..known(revision, tries, now)
    };
    suspects.apply_quarantine(request("a"), at(1, 9, 2));
    // The copy was made before the second trial was counted.
    suspects.apply_quarantine(request("a"), at(2, 7, 1));
    let merged = suspects
        .quarantine(request("a"))
        .expect("the request is in quarantine");
    assert_eq!(
        (merged.tries, merged.position),
        (2, StorePosition::new(2, 7))
    );
}

#[test]
fn quarantine_that_a_restored_store_lacks_goes_on_and_is_written_again() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();
    let at = |revision, tries| StoredQuarantine {
        position: StorePosition::new(1, revision),
        ..known(revision, tries, now)
    };
    for (name, tries) in [("lost", 2), ("behind", 3), ("held", 1)] {
        suspects.apply_quarantine(request(name), at(9, tries));
    }
    let held = |name: &str, tries| {
        let position = StorePosition::new(2, 5);
        let listed = known(5, tries, now + SECOND);
        (request(name), StoredQuarantine { position, ..listed })
    };
    let lost = suspects.reconcile_restored(2, &[held("behind", 1), held("held", 1)]);
    let mut lost: Vec<_> = lost
        .into_iter()
        .map(|(request, known)| (request, known.tries, known.position))
        .collect();
    lost.sort();
    let mut expected = [
        (request("lost"), 2, StorePosition::start_of(2)),
        (request("behind"), 3, StorePosition::new(2, 5)),
    ];
    expected.sort();
    assert_eq!(lost, expected);
}

#[test]
fn request_cleared_before_a_store_restore_stays_cleared() {
    let now = Instant::now();
    let mut suspects = quarantined("a", now);
    suspects.apply_quarantine(request("a"), known(5, 3, now));
    suspects.apply_update(&answered("a", now + SECOND), now + SECOND);
    suspects.remove_quarantine(request("a"));
    // The copy still holds the entry, and is restored long after the answer.
    let later = now + 20 * SECOND;
    let listed = StoredQuarantine {
        position: StorePosition::new(1, 5),
        ..known(5, 3, later)
    };
    assert_eq!(
        suspects.reconcile_restored(1, &[(request("a"), listed)]),
        []
    );
    assert!(!suspects.is_quarantined(request("a"), later));
    assert_eq!(
        suspects.cleared_quarantines().len(),
        1,
        "the quarantine should be ended"
    );
}

#[test]
fn condition_of_an_era_that_is_over_is_not_written_on() {
    let now = Instant::now();
    let mut suspects = quarantined("a", now);
    let of_era = |era| StoredQuarantine {
        position: StorePosition::new(era, 5),
        ..known(5, 1, now - 10 * SECOND)
    };
    suspects.apply_quarantine(request("a"), of_era(1));
    let mut registry = QuarantineRegistry::new(7);
    registry.note_era(2);
    let step = registry.request_trial(request("a"), &suspects, now);
    assert!(matches!(step, TrialDecision::Later(_)), "{step:?}");
    suspects.reconcile_restored(2, &[(request("a"), of_era(2))]);
    let step = registry.request_trial(request("a"), &suspects, now);
    assert!(
        matches!(step, TrialDecision::Count(count) if count.tries == 2),
        "{step:?}"
    );
}

#[test]
fn memory_and_news_are_bounded_and_the_worst_are_kept() {
    let now = Instant::now();
    let mut suspects = quarantined("worst", now);
    for n in 0..10_000 {
        let at = now + Duration::from_millis(n);
        suspects.apply_update(&ended(&format!("page-{n}"), 100 + n, at), at);
    }
    assert!(suspects.len() <= 2_048, "{}", suspects.len());
    let later = now + 10 * SECOND;
    assert!(suspects.is_quarantined(request("worst"), later));
    let initial = suspects.initial_updates(later);
    assert!(initial.len() <= 64, "{}", initial.len());
    assert_eq!(initial[0].request, request("worst"));
    suspects.evict_expired(now + SUSPECT_RETENTION + 10 * SECOND);
    assert!(suspects.is_empty());
}

#[test]
fn a_broken_attempt_counts_once_its_server_has_gone() {
    let now = Instant::now();
    let mut suspects = SuspectRequests::default();
    suspects.record_broken_attempt(request("a"), 1, now);
    suspects.record_broken_attempt(request("b"), 2, now);
    let updates = suspects.take_broken_attempts(1, now + 5 * SECOND);
    assert_eq!(updates, [ended("a", 1, now)]);
    assert!(
        suspects
            .take_broken_attempts(1, now + 5 * SECOND)
            .is_empty(),
        "an attempt is returned once"
    );
    let late = suspects.take_broken_attempts(2, now + 60 * SECOND);
    assert!(
        late.is_empty(),
        "an old attempt is not related to the ending"
    );
}

/// Hubs that do not know of each other's trials never permit more than three in all,
/// since the store accepts one count for each revision.
#[test]
fn all_boxes_together_let_a_request_through_three_times() {
    let now = Instant::now();
    let a = request("a");
    let mut stored: Option<StoredQuarantine> = None;
    let mut permitted = 0;
    let mut registries: Vec<_> = (0..5).map(QuarantineRegistry::new).collect();
    for round in 0..20 {
        let at = now + round * 2 * SECOND;
        for (n, registry) in registries.iter_mut().enumerate() {
            let mut suspects = quarantined("a", now);
            // Every other box knows nothing of the trials that the others counted.
            if let Some(known) = stored.filter(|_| n % 2 == 0) {
                suspects.apply_quarantine(a, known);
            }
            let TrialDecision::Count(count) = registry.request_trial(a, &suspects, at)
            else {
                continue;
            };
            let revision = stored.map_or(0, |known| known.position.wire_revision());
            let outcome = match count.expected_position.wire_revision() == revision {
                true => RecordOutcome::Stands,
                false => RecordOutcome::Overtaken,
            };
            if outcome == RecordOutcome::Stands {
                stored = Some(known(revision + 1, count.tries, at));
            }
            if registry.trial_recorded(a, outcome, true, at) == TrialDecision::Lend {
                permitted += 1;
            }
        }
    }
    assert_eq!(permitted, MAX_TRIALS);
}

#[test]
fn without_the_store_only_who_has_no_hub_lets_through_and_twice() {
    let now = Instant::now();
    let a = request("a");
    let suspects = quarantined("a", now);
    let mut member = QuarantineRegistry::new(1);
    let mut hub = QuarantineRegistry::new(2);
    let mut permitted = 0;
    for round in 0..20 {
        let at = now + round * 10 * SECOND;
        if let TrialDecision::Count(_) = member.request_trial(a, &suspects, at) {
            let step = member.trial_recorded(a, RecordOutcome::Unknown, false, at);
            assert_eq!(step, TrialDecision::AskHub);
        }
        if let TrialDecision::Count(_) = hub.request_trial(a, &suspects, at) {
            let step = hub.trial_recorded(a, RecordOutcome::Unknown, true, at);
            permitted += u32::from(step == TrialDecision::Lend);
        }
    }
    assert_eq!(permitted, 2);
}

#[test]
fn a_write_that_stands_though_its_answer_was_lost_counts_once() {
    let now = Instant::now();
    let a = request("a");
    let mut suspects = quarantined("a", now);
    let mut registry = QuarantineRegistry::new(7);
    assert!(matches!(
        registry.request_trial(a, &suspects, now),
        TrialDecision::Count(_)
    ));
    let step = registry.trial_recorded(a, RecordOutcome::Unknown, true, now);
    assert_eq!(
        step,
        TrialDecision::Lend,
        "a hub permits it without the store"
    );
    // The write had reached the store after all, and the box learns of it.
    suspects.apply_quarantine(a, known(1, 1, now));
    let TrialDecision::Count(count) =
        registry.request_trial(a, &suspects, now + 5 * SECOND)
    else {
        panic!("two more trials are allowed");
    };
    assert_eq!(count.tries, 2);
}

#[test]
fn one_that_ran_beside_another_keeps_away_from_it() {
    let now = Instant::now();
    let mut suspects = quarantined("beside", now);
    for server in 1..4 {
        suspects.apply_update(&ended("fatal", server, now), now);
    }
    let trial_at = now + SECOND;
    suspects.apply_quarantine(request("fatal"), known(3, 1, trial_at));
    let mut registry = QuarantineRegistry::new(7);
    let step = registry.request_trial(request("beside"), &suspects, trial_at);
    assert!(
        matches!(step, TrialDecision::Later(_)),
        "the likelier one is in flight: {step:?}"
    );
    // An update about another trial may be in transit.
    let quiet = trial_at + SECOND;
    let step = registry.request_trial(request("beside"), &suspects, quiet);
    assert!(matches!(step, TrialDecision::Later(_)), "{step:?}");
    let step = registry.request_trial(request("beside"), &suspects, quiet + SECOND);
    assert!(matches!(step, TrialDecision::Count(_)), "{step:?}");
    // The likelier one does not wait for others.
    let step = registry.request_trial(request("fatal"), &suspects, quiet + SECOND);
    assert!(matches!(step, TrialDecision::Count(_)), "{step:?}");
}
