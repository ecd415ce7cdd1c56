//! When refused callers come back: a wave of them is spread over the capacity to come.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::{RetryAfterInputs, RetryAfterSchedule, spare_capacity_per_s};

const BOXES: usize = 40;
const ROOM_PER_S: f64 = 200.0;

/// The callers that come back in each tenth of a second, by priority.
fn returns_of(callers: usize, seed: u64) -> Vec<[usize; 2]> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut boxes: Vec<RetryAfterSchedule> =
        (0..BOXES).map(|_| Default::default()).collect();
    let start = Instant::now();
    let mut returns = vec![[0, 0]; 30];
    for n in 0..callers {
        let refused_at = Duration::from_millis(random.random_range(0..100));
        let inputs = RetryAfterInputs {
            priority: (n % 2) as u16,
            min_queue_wait: Duration::ZERO,
            spare_per_s: spare_capacity_per_s(1_000.0, 1_000.0 - ROOM_PER_S, BOXES),
        };
        let now = start + refused_at;
        let wait = boxes[n % BOXES].schedule(&inputs, now, &mut random);
        let tenth = (refused_at + wait).as_millis() as usize / 100;
        returns[tenth][n % 2] += 1;
    }
    returns
}

#[test]
fn a_wave_of_refused_callers_does_not_come_back_at_once() {
    for seed in 0..5 {
        // Room for 200 a second, and 240 of them.
        let returns = returns_of(240, seed);
        let most = returns.iter().map(|counts| counts[0] + counts[1]).max();
        assert!(most.unwrap() <= 30, "{returns:?}");
    }
}

#[test]
fn the_more_urgent_come_back_first() {
    let mut queue = RetryAfterSchedule::default();
    let mut random = StdRng::seed_from_u64(1);
    let now = Instant::now();
    let mut promise = |priority| {
        let inputs = RetryAfterInputs {
            priority,
            min_queue_wait: Duration::ZERO,
            spare_per_s: 5.0,
        };
        queue.schedule(&inputs, now, &mut random)
    };
    let urgent = [promise(0), promise(0), promise(0)];
    let other = promise(1);
    let late_but_urgent = promise(0);
    assert!(urgent[0] < urgent[1] && urgent[1] < urgent[2], "{urgent:?}");
    assert!(other >= urgent[2], "behind all that are more urgent");
    assert!(late_but_urgent <= other, "not behind the less urgent one");
}

#[test]
fn asking_again_too_soon_gains_no_earlier_place() {
    let mut queue = RetryAfterSchedule::default();
    let mut random = StdRng::seed_from_u64(2);
    let start = Instant::now();
    let inputs = RetryAfterInputs {
        priority: 1,
        min_queue_wait: Duration::ZERO,
        spare_per_s: 4.0,
    };
    let mut place = start;
    for n in 0..6 {
        let now = start + Duration::from_millis(20 * n);
        let next = now + queue.schedule(&inputs, now, &mut random);
        assert!(next > place);
        place = next;
    }
}

#[test]
fn a_service_without_room_still_takes_some_back_and_none_waits_for_ever() {
    let per_s = spare_capacity_per_s(100.0, 500.0, 10);
    assert!((0.9..=1.1).contains(&per_s), "{per_s}");
    let mut queue = RetryAfterSchedule::default();
    let mut random = StdRng::seed_from_u64(3);
    let now = Instant::now();
    for _ in 0..50 {
        let inputs = RetryAfterInputs {
            priority: 0,
            min_queue_wait: Duration::from_secs(30),
            spare_per_s: 0.0,
        };
        let wait = queue.schedule(&inputs, now, &mut random);
        assert!(wait <= Duration::from_secs(2), "{wait:?}");
    }
}
