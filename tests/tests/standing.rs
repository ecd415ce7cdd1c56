//! How a run of a server stands by what was said of it: all words, all events, in any order.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{
    AnnouncedState, AnnouncedStates, Availability, Balancer, PickRequest, ServerRecord,
    ServiceLoad,
};

const RUN: u64 = 7;
const OTHER_RUN: u64 = 8;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// What may happen to a server, its entry and the box.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Its entry goes, as when its lease lapses while the store is away.
    Withdrawn,
    /// Its entry is there, or is written anew.
    Announced,
    /// An answer names a limit, or none.
    Limit(Option<f64>),
    /// An answer asks for so much rest, in milliseconds.
    Rest(u64),
    /// An answer says that it leaves.
    Leaves,
    /// Its entry says so.
    AnnouncedLeaving,
    /// Another run ends, and is forgotten.
    OtherForgotten,
}

const EVENTS: [Event; 10] = [
    Event::Withdrawn,
    Event::Announced,
    Event::Limit(Some(2.0)),
    Event::Limit(None),
    Event::Rest(300),
    Event::Rest(10_000),
    Event::Rest(1),
    Event::Leaves,
    Event::AnnouncedLeaving,
    Event::OtherForgotten,
];

fn happen(standings: &mut AnnouncedStates, event: Event, now: Instant) {
    match event {
        Event::Withdrawn => standings.withdraw(RUN),
        Event::Announced => standings.announce(RUN),
        Event::Limit(per_s) => {
            standings.limits.receive_answer(RUN, per_s, now);
        }
        Event::Rest(ms) => {
            standings.receive_backoff(RUN, now + Duration::from_millis(ms));
        }
        Event::Leaves => {
            standings.record_draining(RUN, now);
        }
        Event::AnnouncedLeaving => standings.record_catalog_draining(RUN, now),
        Event::OtherForgotten => standings.forget(OTHER_RUN),
    }
}

/// What binds by all that was said, told anew from the whole history.
fn expected(history: &[(u64, Event)], now_ms: u64) -> &'static str {
    let mut leaves_since = None;
    let mut closed = false;
    let mut backoff_until = 0;
    let mut limited = false;
    for (ms, event) in history {
        match event {
            Event::Leaves => leaves_since = leaves_since.or(Some(*ms)),
            Event::AnnouncedLeaving => closed = true,
            Event::Rest(rest) => backoff_until = backoff_until.max(ms + rest),
            Event::Limit(per_s) => limited = per_s.is_some(),
            Event::Withdrawn | Event::Announced | Event::OtherForgotten => {}
        }
    }
    let rests = now_ms < backoff_until;
    if closed || leaves_since.is_some() {
        let works = leaves_since.is_some_and(|since| now_ms < since + 1_000);
        return match works && !closed && !rests && !limited {
            true => "last resort",
            false => "closed",
        };
    }
    match (rests, limited) {
        (true, _) => "rests",
        (false, true) => "with place",
        (false, false) => "open",
    }
}

fn name(access: Availability) -> &'static str {
    match access {
        Availability::Open => "open",
        Availability::RequiresQuota(_) => "with place",
        Availability::LastResort(_) => "last resort",
        Availability::BackoffUntil(_) => "rests",
        Availability::Unavailable => "closed",
    }
}

/// Nothing but its own end ends a word: neither a good answer nor a shorter rest, nor what
/// happens to the entry. Fifty seeds of forty events each, looked at after each of them.
#[test]
fn a_word_ends_by_its_own_end_alone() {
    let start = Instant::now();
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut standings = AnnouncedStates::default();
        let mut history = Vec::new();
        let mut ms = 0;
        for _ in 0..40 {
            let mut event = EVENTS[random.random_range(0..EVENTS.len())];
            if matches!(event, Event::Leaves | Event::AnnouncedLeaving)
                && random.random_bool(0.9)
            {
                // Few plays leave at once: what comes before counts as well.
                event = Event::Announced;
            }
            happen(&mut standings, event, at(start, ms));
            history.push((ms, event));
            ms += random.random_range(0..700);
            let access = standings.state(RUN).availability(at(start, ms));
            let told = expected(&history, ms);
            assert_eq!(name(access), told, "seed {seed}, {ms} ms: {history:?}");
        }
    }
}

/// A run that begins anew knows nothing of the one before, whatever the entry's id is.
#[test]
fn the_next_run_is_bound_by_nothing() {
    let now = Instant::now();
    let mut standings = AnnouncedStates::default();
    standings.record_draining(RUN, now);
    standings.receive_backoff(RUN, now + Duration::from_secs(60));
    standings.limits.receive_answer(RUN, Some(1.0), now);
    standings.forget(RUN);
    assert_eq!(standings.state(RUN), AnnouncedState::default());
    assert_eq!(standings.state(OTHER_RUN), AnnouncedState::default());
}

/// What was said of runs that never come back takes bounded room, and an announced run keeps
/// its words however many others go.
#[test]
fn words_of_runs_that_are_gone_are_bounded() {
    let now = Instant::now();
    let mut standings = AnnouncedStates::default();
    standings.record_draining(RUN, now);
    standings.announce(RUN);
    for run in 100..20_000 {
        standings.record_draining(run, now);
        standings.withdraw(run);
    }
    assert_eq!(standings.draining().len(), 8_192 + 1);
    let later = now + Duration::from_secs(2);
    assert_eq!(
        standings.state(RUN).availability(later),
        Availability::Unavailable
    );
    assert_eq!(
        standings.state(19_999).availability(later),
        Availability::Unavailable
    );
    // Others tell of runs that this box never knew.
    for run in 30_000..50_000 {
        standings.record_draining(run, now);
    }
    assert_eq!(standings.draining().len(), 8_192 + 1);
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

fn want(requests_per_s: f64) -> PickRequest<'static> {
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

/// All ways to a server ask the same: the pick, the try of an unused one, the waits, the
/// capacity and the last look before a request is sent.
#[test]
fn no_way_leads_to_a_server_that_rests_or_leaves() {
    let start = Instant::now();
    let mut balancer = Balancer::new("dc-1".into());
    let mut standings = AnnouncedStates::default();
    for n in 0..3 {
        balancer.upsert(record(n), start);
    }
    let (rests, leaves) = (record(0).key(), record(1).key());
    standings.receive_backoff(rests, at(start, 8_000));
    standings.record_catalog_draining(leaves, start);
    for server in [rests, leaves] {
        balancer.set_announced_state(server, standings.state(server));
    }
    let random = &mut StdRng::seed_from_u64(1);
    // The others were unused for seconds: tries for the floor go to none of them.
    for ms in (0..8_000).step_by(10) {
        let now = at(start, ms);
        let want = want(50.0);
        let pick = balancer.pick(&want, now, random).expect("one is open");
        assert_eq!(pick.server.id, "i-2", "{ms} ms");
        assert!(balancer.sample_rate_limited(&want, now, random).is_empty());
        assert!(
            balancer
                .rate_limited_by_failure_probability(&want, now, random)
                .is_empty()
        );
        assert!(balancer.pick_draining(&want, now, random).is_none());
        assert!(!balancer.may_send(rests, now) && !balancer.may_send(leaves, now));
    }
    let now = at(start, 8_000);
    assert!(balancer.may_send(rests, now), "its rest is over");
    assert!(!balancer.may_send(leaves, now));
    let picks: Vec<_> = (0..40)
        .filter_map(|_| balancer.pick(&want(50.0), now, random))
        .collect();
    assert!(
        picks.iter().any(|pick| pick.server.id == "i-0"),
        "and it is used"
    );
}

/// Where all rest, the wait is the first one's, and capacity counts who is back in time.
#[test]
fn the_first_that_is_back_tells_when_to_come_again() {
    let start = Instant::now();
    let mut balancer = Balancer::new("dc-1".into());
    let mut standings = AnnouncedStates::default();
    for (n, ms) in [(0, 700), (1, 10_000)] {
        balancer.upsert(record(n), start);
        standings.receive_backoff(record(n).key(), at(start, ms));
        let standing = standings.state(record(n).key());
        balancer.set_announced_state(record(n).key(), standing);
    }
    let want = want(50.0);
    let back = balancer.shortest_backoff(&want, start);
    assert_eq!(back, Some(Duration::from_millis(700)));
    assert_eq!(balancer.min_queue_wait(&want, start), back);
    let both = balancer.capacity_per_s(want.typical_latency, at(start, 10_000));
    let first = balancer.capacity_per_s(want.typical_latency, start);
    assert!((both / first - 2.0).abs() < 0.01, "{first} of {both}");
}
