//! `Retry-After` times: callers that are refused at once must not come back at once.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{RetryAfterInputs, RetryAfterSchedule, spare_capacity_per_s};

const BOXES: usize = 40;
const SPARE_PER_S: f64 = 200.0;

/// Returns the number of callers that come back in each tenth of a second, by priority.
fn returns_of(callers: usize, seed: u64) -> Vec<[usize; 2]> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut boxes: Vec<RetryAfterSchedule> =
        (0..BOXES).map(|_| Default::default()).collect();
    let start = Instant::now();
    let mut returns = vec![[0, 0]; 30];
    for caller in 0..callers {
        let refused_at = Duration::from_millis(random.random_range(0..100));
        let inputs = RetryAfterInputs {
            priority: (caller % 2) as u16,
            min_queue_wait: Duration::ZERO,
            spare_per_s: spare_capacity_per_s(1_000.0, 1_000.0 - SPARE_PER_S, BOXES),
        };
        let now = start + refused_at;
        let wait = boxes[caller % BOXES].schedule(&inputs, now, &mut random);
        let tenth = (refused_at + wait).as_millis() as usize / 100;
        returns[tenth][caller % 2] += 1;
    }
    returns
}

#[test]
fn a_wave_of_refused_callers_does_not_come_back_at_once() {
    for seed in 0..5 {
        // 240 callers, with spare capacity for 200 a second.
        let returns = returns_of(240, seed);
        let max_returns = returns.iter().map(|counts| counts[0] + counts[1]).max();
        assert!(max_returns.unwrap() <= 30, "{returns:?}");
    }
}

#[test]
fn the_more_urgent_come_back_first() {
    let mut schedule = RetryAfterSchedule::default();
    let mut random = StdRng::seed_from_u64(1);
    let now = Instant::now();
    let mut retry_after = |priority| {
        let inputs = RetryAfterInputs {
            priority,
            min_queue_wait: Duration::ZERO,
            spare_per_s: 5.0,
        };
        schedule.schedule(&inputs, now, &mut random)
    };
    let urgent = [retry_after(0), retry_after(0), retry_after(0)];
    let other = retry_after(1);
    let late_but_urgent = retry_after(0);
    assert!(urgent[0] < urgent[1] && urgent[1] < urgent[2], "{urgent:?}");
    assert!(
        other >= urgent[2],
        "the less urgent caller must come back after all the more urgent ones"
    );
    assert!(
        late_but_urgent <= other,
        "a later urgent caller must not wait for a less urgent one"
    );
}

#[test]
fn asking_again_too_soon_gains_no_earlier_place() {
    let mut schedule = RetryAfterSchedule::default();
    let mut random = StdRng::seed_from_u64(2);
    let start = Instant::now();
    let inputs = RetryAfterInputs {
        priority: 1,
        min_queue_wait: Duration::ZERO,
        spare_per_s: 4.0,
    };
    let mut retry_at = start;
    for attempt in 0..6 {
        let now = start + Duration::from_millis(20 * attempt);
        let next = now + schedule.schedule(&inputs, now, &mut random);
        assert!(next > retry_at);
        retry_at = next;
    }
}

#[test]
fn a_service_without_room_still_takes_some_back_and_none_waits_for_ever() {
    let per_s = spare_capacity_per_s(100.0, 500.0, 10);
    assert!((0.9..=1.1).contains(&per_s), "{per_s}");
    let mut schedule = RetryAfterSchedule::default();
    let mut random = StdRng::seed_from_u64(3);
    let now = Instant::now();
    for _ in 0..50 {
        let inputs = RetryAfterInputs {
            priority: 0,
            min_queue_wait: Duration::from_secs(30),
            spare_per_s: 0.0,
        };
        let wait = schedule.schedule(&inputs, now, &mut random);
        assert!(wait <= Duration::from_secs(2), "{wait:?}");
    }
}
