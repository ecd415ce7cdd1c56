//! How many updates a box sends to its members, by the bandwidth of its link.

use std::time::{Duration, Instant};

use wingspur_coordination::UpdatePacer;
use wingspur_protocol::TallyUpdate;
use wingspur_state::ServerTally;

/// Returns tally updates of `servers` servers.
fn digests(servers: u64) -> Vec<TallyUpdate> {
    let tally = ServerTally::default();
    let servers = (0..servers).map(|server| (server, tally)).collect();
    vec![TallyUpdate {
        servers,
        ..TallyUpdate::default()
    }]
}

/// Returns the number of frames with updates that are sent in ten seconds while some
/// member always needs one.
fn frames(capacity: u32, servers: u64) -> u32 {
    let start = Instant::now();
    let mut pacer = UpdatePacer::new(capacity, start);
    let updates = digests(servers);
    let mut frames = 0;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if pacer.update_delay(now).is_zero() {
            pacer.record_update(&updates, now);
            frames += 1;
        }
    }
    frames
}

/// Guards against a weak hub whose updates fill its link. With 36 members, 332 servers
/// and 10 Mbit/s, one sent 320 frames/s of up to 10 kB, over twice what its link carries.
/// Its replies were 1 s late, and members refused 530 requests of unknown accounts.
#[test]
fn a_weak_hub_leaves_most_of_its_link_to_answers() {
    let bytes_per_s = f64::from(frames(1, 332)) * 332.0 * 26.0 / 10.0;
    assert!(bytes_per_s < 0.42 * 1_250_000.0, "{bytes_per_s}");
    assert!(bytes_per_s > 0.35 * 1_250_000.0, "{bytes_per_s}");
    // A strong hub is not delayed.
    assert!(frames(5, 332) / 10 >= 240);
}

#[test]
fn news_without_weight_waits_for_nothing() {
    let now = Instant::now();
    let mut pacer = UpdatePacer::new(1, now);
    for _ in 0..1_000 {
        pacer.record_update(&digests(0), now);
        assert_eq!(pacer.update_delay(now), Duration::ZERO);
    }
}

/// Guards against members waiting for each other: links are checked once per tick, so if
/// each frame waited for the one before, a hub of 14 links would send on each every 140
/// ms instead of every 50 ms.
#[test]
fn a_hub_tells_all_its_members_in_one_tick() {
    let now = Instant::now();
    let mut pacer = UpdatePacer::new(2, now);
    for _ in 0..14 {
        assert_eq!(pacer.update_delay(now), Duration::ZERO);
        pacer.record_update(&digests(36), now);
    }
}
