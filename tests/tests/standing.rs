//! The availability of a server instance by its announcements, with all kinds of events
//! in any order.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{
    AnnouncedState, AnnouncedStates, Availability, Balancer, PickRequest, ServerRecord,
    ServiceLoad,
};

const INSTANCE: u64 = 7;
const OTHER_INSTANCE: u64 = 8;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// An event at a server, its catalog entry or the box.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Its catalog entry is removed, as when its lease expires while the store is
    /// unavailable.
    Unlisted,
    /// Its catalog entry is present, or is written again.
    Listed,
    /// A response has a limit, or none.
    Limit(Option<f64>),
    /// A response asks for a backoff, in milliseconds.
    Backoff(u64),
    /// A response says that it is draining.
    Draining,
    /// Its catalog entry says that it is draining.
    ListedDraining,
    /// Another instance ends and is removed.
    OtherForgotten,
}

const EVENTS: [Event; 10] = [
    Event::Unlisted,
    Event::Listed,
    Event::Limit(Some(2.0)),
    Event::Limit(None),
    Event::Backoff(300),
    Event::Backoff(10_000),
    Event::Backoff(1),
    Event::Draining,
    Event::ListedDraining,
    Event::OtherForgotten,
];

fn apply(states: &mut AnnouncedStates, event: Event, now: Instant) {
    match event {
        Event::Unlisted => states.withdraw(INSTANCE),
        Event::Listed => states.announce(INSTANCE),
        Event::Limit(per_s) => {
            states.limits.receive_response(INSTANCE, per_s, now);
        }
        Event::Backoff(ms) => {
            states.receive_backoff(INSTANCE, now + Duration::from_millis(ms));
        }
        Event::Draining => {
            states.record_draining(INSTANCE, now);
        }
        Event::ListedDraining => states.record_catalog_draining(INSTANCE, now),
        Event::OtherForgotten => states.forget(OTHER_INSTANCE),
    }
}

/// Computes the expected availability from the whole history of events.
fn expected(history: &[(u64, Event)], now_ms: u64) -> &'static str {
    let mut draining_since = None;
    let mut is_catalog_draining = false;
    let mut backoff_until = 0;
    let mut has_limit = false;
    for (ms, event) in history {
        match event {
            Event::Draining => draining_since = draining_since.or(Some(*ms)),
            Event::ListedDraining => is_catalog_draining = true,
            Event::Backoff(backoff_ms) => {
                backoff_until = backoff_until.max(ms + backoff_ms)
            }
            Event::Limit(per_s) => has_limit = per_s.is_some(),
            Event::Unlisted | Event::Listed | Event::OtherForgotten => {}
        }
    }
    let backs_off = now_ms < backoff_until;
    if is_catalog_draining || draining_since.is_some() {
        let accepts_last_resort =
            draining_since.is_some_and(|since| now_ms < since + 1_000);
        return match accepts_last_resort
            && !is_catalog_draining
            && !backs_off
            && !has_limit
        {
            true => "last resort",
            false => "unavailable",
        };
    }
    match (backs_off, has_limit) {
        (true, _) => "backoff",
        (false, true) => "requires quota",
        (false, false) => "open",
    }
}

fn name(availability: Availability) -> &'static str {
    match availability {
        Availability::Open => "open",
        Availability::RequiresQuota(_) => "requires quota",
        Availability::LastResort(_) => "last resort",
        Availability::BackoffUntil(_) => "backoff",
        Availability::Unavailable => "unavailable",
    }
}

/// An announcement applies until its own end: neither a successful response, a shorter
/// backoff nor a change of the catalog entry may end it early. Fifty seeds of forty
/// events each, with a check after each event.
#[test]
fn a_word_ends_by_its_own_end_alone() {
    let start = Instant::now();
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut states = AnnouncedStates::default();
        let mut history = Vec::new();
        let mut ms = 0;
        for _ in 0..40 {
            let mut event = EVENTS[random.random_range(0..EVENTS.len())];
            if matches!(event, Event::Draining | Event::ListedDraining)
                && random.random_bool(0.9)
            {
                // Makes draining rare, so that most sequences have other events before
                // it.
                event = Event::Listed;
            }
            apply(&mut states, event, at(start, ms));
            history.push((ms, event));
            ms += random.random_range(0..700);
            let availability = states.state(INSTANCE).availability(at(start, ms));
            let wanted = expected(&history, ms);
            assert_eq!(
                name(availability),
                wanted,
                "seed {seed}, {ms} ms: {history:?}"
            );
        }
    }
}

/// Guards against announcements of an ended instance that apply to the next one, as with
/// the same id.
#[test]
fn the_next_run_is_bound_by_nothing() {
    let now = Instant::now();
    let mut states = AnnouncedStates::default();
    states.record_draining(INSTANCE, now);
    states.receive_backoff(INSTANCE, now + Duration::from_secs(60));
    states.limits.receive_response(INSTANCE, Some(1.0), now);
    states.forget(INSTANCE);
    assert_eq!(states.state(INSTANCE), AnnouncedState::default());
    assert_eq!(states.state(OTHER_INSTANCE), AnnouncedState::default());
}

/// Announcements of instances that never return take bounded memory, and an instance with
/// a catalog entry keeps its announcements however many others end.
#[test]
fn words_of_runs_that_are_gone_are_bounded() {
    let now = Instant::now();
    let mut states = AnnouncedStates::default();
    states.record_draining(INSTANCE, now);
    states.announce(INSTANCE);
    for instance in 100..20_000 {
        states.record_draining(instance, now);
        states.withdraw(instance);
    }
    assert_eq!(states.draining().len(), 8_192 + 1);
    let later = now + Duration::from_secs(2);
    assert_eq!(
        states.state(INSTANCE).availability(later),
        Availability::Unavailable
    );
    assert_eq!(
        states.state(19_999).availability(later),
        Availability::Unavailable
    );
    // Other boxes report instances that this box never knew.
    for instance in 30_000..50_000 {
        states.record_draining(instance, now);
    }
    assert_eq!(states.draining().len(), 8_192 + 1);
}

fn record(n: usize) -> ServerRecord {
    ServerRecord {
        id: format!("i-{n}"),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: 3,
        leaving: false,
        cold_ms: 0,
    }
}

fn request(requests_per_s: f64) -> PickRequest<'static> {
    PickRequest {
        retry_safe: true,
        typical_latency: Duration::from_millis(200),
        cross_data_centre_cost: Duration::from_millis(30),
        tried: &[],
        service_load: ServiceLoad {
            requests_per_s,
            failure_ratio: 0.3,
            unreported_requests: 0.0,
        },
    }
}

/// Guards against any way to pick a server, or the check before sending, that ignores its
/// backoff or draining: the cheapest pick, idle probes, limited servers and last resorts.
#[test]
fn no_way_leads_to_a_server_that_rests_or_leaves() {
    let start = Instant::now();
    let mut balancer = Balancer::new("dc-1".into());
    let mut states = AnnouncedStates::default();
    for n in 0..3 {
        balancer.upsert(record(n), start);
    }
    let (backs_off, draining) = (record(0).key(), record(1).key());
    states.receive_backoff(backs_off, at(start, 8_000));
    states.record_catalog_draining(draining, start);
    for server in [backs_off, draining] {
        balancer.set_announced_state(server, states.state(server));
    }
    let random = &mut StdRng::seed_from_u64(1);
    // The other servers are idle for seconds, but no idle probe goes to them.
    for ms in (0..8_000).step_by(10) {
        let now = at(start, ms);
        let request = request(50.0);
        let pick = balancer.pick(&request, now, random).expect("one is open");
        assert_eq!(pick.server.id, "i-2", "{ms} ms");
        assert!(
            balancer
                .sample_rate_limited(&request, now, random)
                .is_empty()
        );
        assert!(
            balancer
                .rate_limited_by_failure_probability(&request, now, random)
                .is_empty()
        );
        assert!(balancer.pick_draining(&request, now, random).is_none());
        assert!(!balancer.may_send(backs_off, now) && !balancer.may_send(draining, now));
    }
    let now = at(start, 8_000);
    assert!(balancer.may_send(backs_off, now), "its backoff is over");
    assert!(!balancer.may_send(draining, now));
    let picks: Vec<_> = (0..40)
        .filter_map(|_| balancer.pick(&request(50.0), now, random))
        .collect();
    assert!(
        picks.iter().any(|pick| pick.server.id == "i-0"),
        "it is picked again after its backoff"
    );
}

/// When all servers back off, the wait is the shortest backoff, and the capacity counts
/// the servers that are available again in time.
#[test]
fn the_first_that_is_back_tells_when_to_come_again() {
    let start = Instant::now();
    let mut balancer = Balancer::new("dc-1".into());
    let mut states = AnnouncedStates::default();
    for (n, ms) in [(0, 700), (1, 10_000)] {
        balancer.upsert(record(n), start);
        states.receive_backoff(record(n).key(), at(start, ms));
        let state = states.state(record(n).key());
        balancer.set_announced_state(record(n).key(), state);
    }
    let request = request(50.0);
    let wait = balancer.shortest_backoff(&request, start);
    assert_eq!(wait, Some(Duration::from_millis(700)));
    assert_eq!(balancer.min_queue_wait(&request, start), wait);
    let both = balancer.capacity_per_s(request.typical_latency, at(start, 10_000));
    let first = balancer.capacity_per_s(request.typical_latency, start);
    assert!((both / first - 2.0).abs() < 0.01, "{first} of {both}");
}
