//! Which server a request is sent to, by the outcomes that all boxes have seen.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use wingspur_state::{
    Balancer, ExpectedLatency, HealthOutcome, PickRequest, Regions, ServerKey,
    ServerRecord, ServerTally, ServiceLoad, ServiceTime,
};

const TYPICAL: Duration = Duration::from_millis(200);

fn record(id: &str, data_centre: &str) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.into(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
    }
}

fn balancer(servers: usize, now: Instant) -> Balancer {
    let mut balancer = Balancer::new("dc-1".into());
    for n in 0..servers {
        balancer.upsert(record(&format!("i-{n}"), "dc-1"), now);
    }
    balancer
}

fn key(n: usize) -> ServerKey {
    record(&format!("i-{n}"), "dc-1").key()
}

fn request(is_retry_safe: bool, loss_ratio: f64) -> PickRequest<'static> {
    PickRequest {
        retry_safe: is_retry_safe,
        typical_latency: TYPICAL,
        cross_data_centre_cost: Duration::from_millis(30),
        tried: &[],
        service_load: ServiceLoad {
            requests_per_s: 50.0,
            failure_ratio: loss_ratio,
            unreported_requests: 0.0,
        },
    }
}

/// The expected response time on a route that has had many responses.
fn expected(ms: f64) -> ExpectedLatency {
    let mut service_time = ServiceTime::new();
    for ratio in [0.7, 0.9, 1.0, 1.1, 1.3].repeat(10) {
        service_time.record(ratio);
    }
    ExpectedLatency {
        baseline_ms: ms,
        healthy_ms: ms,
        service_time,
    }
}

/// Sends one request to a server, which ends with an outcome after some time.
fn run_attempt(
    balancer: &mut Balancer,
    server: usize,
    outcome: HealthOutcome,
    took: Duration,
    at: Instant,
) {
    let typical = expected(TYPICAL.as_secs_f64() * 1000.0);
    let id = balancer.begin(key(server), typical, at);
    balancer.end(id, outcome, at + took);
}

/// Returns how often each server is picked in 1000 picks.
fn picks(
    balancer: &Balancer,
    request: &PickRequest<'_>,
    now: Instant,
    servers: usize,
) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(7);
    let mut counts = vec![0; servers];
    for _ in 0..1000 {
        let pick = balancer.pick(request, now, &mut random).unwrap();
        let at = (0..servers).find(|n| pick.server.key() == key(*n)).unwrap();
        counts[at] += 1;
    }
    counts
}

#[test]
fn a_server_that_fails_in_a_row_gets_nothing_while_others_have_room() {
    let now = Instant::now();
    let mut balancer = balancer(4, now);
    for n in 0..3 {
        let at = now + Duration::from_millis(10 * n);
        run_attempt(&mut balancer, 0, HealthOutcome::Failed, Duration::ZERO, at);
    }
    let later = now + Duration::from_millis(100);
    assert_eq!(picks(&balancer, &request(false, 0.0), later, 4)[0], 0);
}

#[test]
fn what_other_boxes_saw_counts_like_what_this_one_saw() {
    let now = Instant::now();
    let mut balancer = balancer(4, now);
    let failed = ServerTally {
        failed: 3,
        ..ServerTally::default()
    };
    balancer.apply_remote(9, (key(0), failed), &failed, now);
    assert_eq!(picks(&balancer, &request(false, 0.0), now, 4)[0], 0);
}

#[test]
fn an_attempt_given_up_far_too_late_is_the_servers_failure() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1500);
    for (took_ms, suspect) in [(300, false), (1500, true)] {
        let mut balancer = balancer(2, now);
        let took = Duration::from_millis(took_ms);
        for _ in 0..2 {
            run_attempt(&mut balancer, 0, HealthOutcome::Abandoned, took, now);
        }
        let suspects = balancer.suspects(later);
        assert_eq!(suspects == ["i-0"], suspect, "{took_ms} ms: {suspects:?}");
    }
}

/// Returns the failure probability of a server after two requests there have had no
/// response for some time.
fn share_after_silence(expected_ms: f64, silent_ms: u64) -> f64 {
    let now = Instant::now();
    let mut balancer = balancer(1, now);
    let later = now + Duration::from_millis(silent_ms);
    for _ in 0..2 {
        let id = balancer.begin(key(0), expected(expected_ms), now);
        balancer.update_silence_evidence(id, later);
    }
    let mut random = StdRng::seed_from_u64(7);
    let pick = balancer.pick(&request(false, 0.0), later, &mut random);
    pick.unwrap().failure_probability
}

#[test]
fn silence_tells_the_same_at_any_speed_of_work() {
    for factor in [1, 5, 25] {
        let usual = 20.0 * factor as f64;
        let early = share_after_silence(usual, 16 * factor);
        let late = share_after_silence(usual, 60 * factor);
        assert!(early < 0.05, "{factor}: {early}");
        assert!(late > 0.5, "{factor}: {late}");
    }
}

#[test]
fn silence_on_a_route_that_never_answered_makes_no_failure() {
    let now = Instant::now();
    let mut balancer = balancer(2, now);
    let unknown = ExpectedLatency {
        service_time: ServiceTime::new(),
        ..expected(200.0)
    };
    for _ in 0..4 {
        let id = balancer.begin(key(0), unknown, now);
        balancer.end(id, HealthOutcome::Abandoned, now + Duration::from_secs(1));
    }
    assert_eq!(balancer.suspects(now + Duration::from_secs(1)), [""; 0]);
}

#[test]
fn silence_is_told_once_and_taken_back_when_the_answer_comes() {
    let now = Instant::now();
    let mut balancer = balancer(2, now);
    let id = balancer.begin(key(0), expected(200.0), now);
    let later = now + Duration::from_secs(1);
    assert!(balancer.update_silence_evidence(id, later));
    assert!(
        !balancer.update_silence_evidence(id, later),
        "no new evidence"
    );
    let changes = balancer.take_changes();
    assert_eq!(changes[0].1.silence_quarters, 4);
    balancer.record_response_started(id);
    assert_eq!(balancer.take_changes()[0].1.silence_quarters, 0);
    assert!(
        !balancer.update_silence_evidence(id, later),
        "its response has started"
    );
    balancer.end(id, HealthOutcome::Good, later);
    assert_eq!(balancer.take_changes()[0].1.silence_quarters, 0);
}

#[test]
fn a_long_answer_that_its_caller_leaves_is_no_failure_of_the_server() {
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    for (answering, suspect) in [(true, false), (false, true)] {
        let mut balancer = balancer(2, now);
        for _ in 0..3 {
            let id = balancer.begin(key(0), expected(200.0), now);
            if answering {
                balancer.record_response_started(id);
            }
            balancer.end(id, HealthOutcome::Abandoned, later);
        }
        assert_eq!(balancer.suspects(later) == ["i-0"], suspect, "{answering}");
    }
}

#[test]
fn the_first_failures_raise_an_alarm_and_later_ones_do_not() {
    let now = Instant::now();
    let mut balancer = balancer(2, now);
    run_attempt(&mut balancer, 1, HealthOutcome::Good, TYPICAL, now);
    assert!(!balancer.take_new_suspicion());
    run_attempt(&mut balancer, 0, HealthOutcome::Failed, Duration::ZERO, now);
    assert!(balancer.take_new_suspicion());
    for _ in 0..4 {
        run_attempt(&mut balancer, 0, HealthOutcome::Failed, Duration::ZERO, now);
    }
    balancer.take_new_suspicion();
    run_attempt(&mut balancer, 0, HealthOutcome::Failed, Duration::ZERO, now);
    assert!(!balancer.take_new_suspicion(), "it was known to be faulty");
}

#[test]
fn a_review_tells_each_turn_once() {
    let now = Instant::now();
    let mut balancer = balancer(2, now);
    for _ in 0..3 {
        run_attempt(&mut balancer, 0, HealthOutcome::Failed, Duration::ZERO, now);
    }
    let changes = balancer.take_suspicion_changes(now);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].is_suspected && changes[0].server.id == *"i-0");
    assert_eq!(balancer.take_suspicion_changes(now), []);
    let healed = balancer.take_suspicion_changes(now + Duration::from_secs(60));
    assert_eq!(healed.len(), 1);
    assert!(!healed[0].is_suspected);
}

#[test]
fn while_a_tenth_is_lost_servers_that_failed_a_while_ago_are_tried() {
    let now = Instant::now();
    let mut balancer = balancer(4, now);
    for n in 0..2 {
        for _ in 0..4 {
            run_attempt(&mut balancer, n, HealthOutcome::Failed, Duration::ZERO, now);
        }
    }
    let later = now + Duration::from_millis(2500);
    for n in 2..4 {
        run_attempt(
            &mut balancer,
            n,
            HealthOutcome::Good,
            TYPICAL,
            later - TYPICAL,
        );
    }
    let losing = picks(&balancer, &request(false, 0.15), later, 4);
    assert!(losing[0] + losing[1] > 0, "{losing:?}");
    let soon = now + Duration::from_millis(500);
    let at_once = picks(&balancer, &request(false, 0.15), soon, 4);
    assert_eq!(
        at_once[0] + at_once[1],
        0,
        "they have just failed: {at_once:?}"
    );
}

#[test]
fn a_server_that_failed_twice_in_a_row_is_spared_by_once_only_requests_in_calm_times() {
    let now = Instant::now();
    let mut balancer = balancer(4, now);
    // One server failed twice in a row, another once.
    run_attempt(&mut balancer, 0, HealthOutcome::Failed, Duration::ZERO, now);
    run_attempt(&mut balancer, 0, HealthOutcome::Failed, Duration::ZERO, now);
    run_attempt(&mut balancer, 1, HealthOutcome::Failed, Duration::ZERO, now);
    let after = |ms| now + Duration::from_millis(ms);
    let keep_others_used = |balancer: &mut Balancer, at: Instant| {
        for n in 2..4 {
            run_attempt(balancer, n, HealthOutcome::Good, TYPICAL, at - TYPICAL);
        }
    };
    keep_others_used(&mut balancer, after(5_500));
    let calm = picks(&balancer, &request(false, 0.0), after(5_500), 4);
    assert_eq!(calm[0], 0, "{calm:?}");
    assert!(
        calm[1] > 0,
        "one failure alone does not exclude it: {calm:?}"
    );
    let losing = picks(&balancer, &request(false, 0.15), after(5_500), 4);
    assert!(losing[0] > 0, "the floor has priority: {losing:?}");
    keep_others_used(&mut balancer, after(7_000));
    let later = picks(&balancer, &request(false, 0.0), after(7_000), 4);
    assert!(later[0] > 0, "it may be healthy again: {later:?}");
}

#[test]
fn repeatable_requests_try_more_of_the_neglected_than_once_only_ones() {
    let now = Instant::now();
    let mut balancer = balancer(10, now);
    // Two of ten are idle: eight are in use, which is enough for once-only requests.
    let later = now + Duration::from_secs(3);
    for n in 2..10 {
        run_attempt(
            &mut balancer,
            n,
            HealthOutcome::Good,
            TYPICAL,
            later - TYPICAL,
        );
    }
    for n in 0..2 {
        for _ in 0..4 {
            run_attempt(&mut balancer, n, HealthOutcome::Failed, Duration::ZERO, now);
        }
    }
    let reads = picks(&balancer, &request(true, 0.0), later, 10);
    let once_only = picks(&balancer, &request(false, 0.0), later, 10);
    assert!(reads[0] + reads[1] > 0, "{reads:?}");
    assert_eq!(once_only[0] + once_only[1], 0, "{once_only:?}");
}

#[test]
fn work_in_hand_elsewhere_keeps_requests_away() {
    let now = Instant::now();
    let mut balancer = balancer(2, now);
    let busy = ServerTally {
        in_flight: 8,
        ..ServerTally::default()
    };
    balancer.apply_remote(9, (key(0), busy), &ServerTally::default(), now);
    assert_eq!(picks(&balancer, &request(true, 0.0), now, 2), [0, 1000]);
    balancer.forget_source(9);
    assert!(picks(&balancer, &request(true, 0.0), now, 2)[0] > 300);
}

#[test]
fn a_leaving_server_gets_nothing_and_a_cold_one_less() {
    let now = Instant::now();
    let mut balancer = balancer(3, now);
    let leaving = ServerRecord {
        leaving: true,
        ..record("i-0", "dc-1")
    };
    balancer.upsert(leaving, now);
    let cold = ServerRecord {
        cold_ms: 3000,
        ..record("i-3", "dc-1")
    };
    balancer.upsert(cold, now);
    let counts = picks(&balancer, &request(true, 0.0), now, 4);
    assert_eq!((counts[0], counts[3]), (0, 0), "{counts:?}");
    let warm = picks(
        &balancer,
        &request(true, 0.0),
        now + Duration::from_secs(4),
        4,
    );
    assert!(warm[3] > 0, "{warm:?}");
}

#[test]
fn the_shortest_wait_is_that_of_the_emptiest_open_server() {
    let now = Instant::now();
    let mut balancer = balancer(2, now);
    let request = request(false, 0.0);
    assert_eq!(balancer.min_queue_wait(&request, now), Some(Duration::ZERO));
    for n in 0..2 {
        for _ in 0..8 {
            balancer.begin(key(n), expected(200.0), now);
        }
    }
    let wait = balancer.min_queue_wait(&request, now).unwrap();
    assert!(wait > TYPICAL, "eight requests for four slots: {wait:?}");
    balancer.remove(key(0));
    balancer.remove(key(1));
    assert_eq!(balancer.min_queue_wait(&request, now), None);
}

#[test]
fn boxes_with_the_same_view_try_different_neglected_servers() {
    let now = Instant::now();
    let mut balancer = balancer(20, now);
    let later = now + Duration::from_secs(3);
    for n in 10..20 {
        run_attempt(
            &mut balancer,
            n,
            HealthOutcome::Good,
            TYPICAL,
            later - TYPICAL,
        );
    }
    let counts = picks(&balancer, &request(false, 0.2), later, 20);
    let tried = counts[..10].iter().filter(|count| **count > 0).count();
    assert!(
        tried >= 4,
        "fewer than four of ten idle servers probed: {counts:?}"
    );
}

#[test]
fn downloads_try_neglected_servers_of_their_own_data_centre_only() {
    let now = Instant::now();
    let mut balancer = Balancer::new("dc-1".into());
    for n in 0..6 {
        let data_centre = if n < 3 { "dc-1" } else { "dc-2" };
        balancer.upsert(record(&format!("i-{n}"), data_centre), now);
    }
    let later = now + Duration::from_secs(3);
    run_attempt(
        &mut balancer,
        0,
        HealthOutcome::Good,
        TYPICAL,
        later - TYPICAL,
    );
    let expensive = PickRequest {
        cross_data_centre_cost: Duration::from_millis(1300),
        ..request(true, 0.0)
    };
    let counts = picks(&balancer, &expensive, later, 6);
    assert!(counts[1] > 0 && counts[2] > 0, "{counts:?}");
    assert_eq!(counts[3..], [0, 0, 0], "{counts:?}");
    let losing_request = PickRequest {
        service_load: request(true, 0.2).service_load,
        ..expensive
    };
    let strict_picks = picks(&balancer, &losing_request, later, 6);
    assert!(
        strict_picks[3..].iter().any(|count| *count > 0),
        "the floor needs servers elsewhere: {strict_picks:?}"
    );
}

/// Servers that announce limits often have gray failures as well. Sampled by limit alone,
/// those that had just failed got once-only requests again a second later: 21% of the
/// requests of such a service failed, against 5% with limits ignored.
#[test]
fn a_limit_makes_no_server_a_better_pick_than_it_is() {
    let now = Instant::now();
    let mut balancer = balancer(6, now);
    for n in 0..6 {
        balancer.set_limit(key(n), Some(2.0));
    }
    // One server has failed once, another fails all the time.
    run_attempt(&mut balancer, 0, HealthOutcome::Failed, Duration::ZERO, now);
    for _ in 0..3 {
        run_attempt(&mut balancer, 1, HealthOutcome::Failed, Duration::ZERO, now);
    }
    let doubtful = ["i-0", "i-1"];
    let soon = now + Duration::from_secs(2);
    let mut random = StdRng::seed_from_u64(4);
    for _ in 0..200 {
        for pick in balancer.sample_rate_limited(&request(false, 0.0), soon, &mut random)
        {
            assert!(
                !doubtful.contains(&&*pick.server.id),
                "{} is sampled",
                pick.server.id
            );
        }
        let once_only = balancer.rate_limited_by_failure_probability(
            &request(false, 0.0),
            soon,
            &mut random,
        );
        assert_eq!(once_only.len(), 4, "a refusal is better than a failure");
        let all = balancer.rate_limited_by_failure_probability(
            &request(true, 0.0),
            soon,
            &mut random,
        );
        let ids: Vec<_> = all.iter().map(|pick| &*pick.server.id).collect();
        assert_eq!(ids.len(), 5, "the suspected server is left out: {ids:?}");
        assert_eq!(ids[4], "i-0", "the doubtful server comes last");
    }
    // The failure probability falls with time.
    let late = now + Duration::from_secs(30);
    let is_due = |random: &mut StdRng| {
        let due = balancer.sample_rate_limited(&request(false, 0.0), late, random);
        due.iter().any(|pick| pick.server.id == "i-1")
    };
    assert!((0..200).any(|_| is_due(&mut random)));
}

#[test]
fn requests_too_few_for_the_floor_go_to_servers_lately_found_well() {
    let start = Instant::now();
    let mut balancer = balancer(1_000, start);
    let now = start + Duration::from_secs(10);
    for server in 0..20 {
        run_attempt(
            &mut balancer,
            server,
            HealthOutcome::Good,
            TYPICAL,
            now - TYPICAL,
        );
    }
    for loss_ratio in [0.0, 0.2] {
        let counts = picks(&balancer, &request(false, loss_ratio), now, 1_000);
        let known_picks: usize = counts[..20].iter().sum();
        assert!(
            known_picks >= 900,
            "{known_picks} of 1000 at a failure ratio of {loss_ratio}"
        );
    }
}

/// Guards against successful responses outweighing a refusal, by which all boxes kept
/// sending requests to a full queue.
#[test]
fn server_that_refused_is_passed_over_while_others_have_slots_to_spare() {
    let start = Instant::now();
    let mut balancer = balancer(1_000, start);
    let now = start + Duration::from_secs(10);
    let response_count = |server: usize| if server == 0 { 40 } else { 1 };
    for server in 0..50 {
        for _ in 0..response_count(server) {
            run_attempt(
                &mut balancer,
                server,
                HealthOutcome::Good,
                TYPICAL,
                now - TYPICAL,
            );
        }
    }
    run_attempt(
        &mut balancer,
        0,
        HealthOutcome::Refused,
        Duration::ZERO,
        now,
    );
    for _ in 0..40 {
        run_attempt(&mut balancer, 0, HealthOutcome::Good, Duration::ZERO, now);
    }
    let counts = picks(&balancer, &request(false, 0.0), now, 1_000);
    let known_picks: usize = counts[..50].iter().sum();
    assert!(known_picks >= 900, "{known_picks} of 1000");
    assert_eq!(counts[0], 0, "its queue is full");
    let later = now + Duration::from_millis(1_500);
    let counts = picks(&balancer, &request(false, 0.0), later, 1_000);
    assert!(counts[0] > 0, "its queue has emptied");
}

#[test]
fn box_that_has_counted_hardly_any_requests_still_tries_for_the_floor() {
    let start = Instant::now();
    let mut balancer = balancer(50, start);
    let now = start + Duration::from_secs(10);
    run_attempt(
        &mut balancer,
        0,
        HealthOutcome::Good,
        TYPICAL,
        now - TYPICAL,
    );
    let mut request_after_start = request(false, 0.2);
    request_after_start.service_load.requests_per_s = 3.0;
    let counts = picks(&balancer, &request_after_start, now, 50);
    assert!(counts[0] < 500, "{} of 1000 at the known server", counts[0]);
}

#[test]
fn requests_leave_their_region_only_where_waiting_there_costs_more() {
    let now = Instant::now();
    let places = [("dc-1", "north"), ("dc-2", "north"), ("dc-3", "south")];
    let places = places.map(|(place, region)| (place.to_owned(), region.to_owned()));
    let regions = Arc::new(Regions::from(places));
    let mut balancer = Balancer::with_regions("dc-1".into(), regions);
    balancer.upsert(record("i-0", "dc-2"), now);
    balancer.upsert(record("i-1", "dc-3"), now);
    let mut random = StdRng::seed_from_u64(1);
    let mut far = Vec::new();
    for sent in 0..100 {
        let pick = balancer
            .pick(&request(true, 0.0), now, &mut random)
            .expect("both are open");
        far.extend((pick.server.data_centre == "dc-3").then_some(sent));
        balancer.begin(pick.server.key(), expected(200.0), now);
    }
    let first = far.first().copied().unwrap_or(usize::MAX);
    assert!(
        (4..12).contains(&first),
        "the nearer server is full first: {first}"
    );
    assert!(
        (30..=50).contains(&far.len()),
        "{} of 100 left the region",
        far.len()
    );
}
