//! Memory that a hub uses for changes that its members have not been sent yet.

use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use wingspur_coordination::{LinkKind, OWN_LINK, Rollup};
use wingspur_protocol::TallyUpdate;
use wingspur_state::ServerTally;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SERVERS: u64 = 10_000;
const OTHER_HUBS: u64 = 4;

fn held_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

/// Returns a tally update of all servers, each with one more successful response.
fn update(source: u64, good: u32) -> TallyUpdate {
    let tally = ServerTally {
        good,
        ..ServerTally::default()
    };
    TallyUpdate {
        source,
        servers: (0..SERVERS).map(|key| (key * 7, tally)).collect(),
        ..TallyUpdate::default()
    }
}

/// Returns the memory that a member takes in its hub while it has yet to be sent changes
/// of all servers.
fn bytes_per_member(members: u64) -> usize {
    let mut hub = Rollup::new(1_000);
    (1..=OTHER_HUBS).for_each(|link| hub.add_link(link, LinkKind::Hub));
    for good in 1..=2 {
        hub.receive(OWN_LINK, &update(1_000, good));
        (1..=OTHER_HUBS).for_each(|link| hub.receive(link, &update(link, good)));
    }
    let before = held_bytes();
    for member in 100..100 + members {
        hub.add_link(member, LinkKind::Member);
        hub.compose(member);
    }
    hub.receive(OWN_LINK, &update(1_000, 3));
    (1..=OTHER_HUBS).for_each(|link| hub.receive(link, &update(link, 3)));
    held_bytes().saturating_sub(before) / members as usize
}

/// Guards against sets of keys for unsent changes, which took 0.9 MB per member.
#[test]
fn changes_that_a_member_was_not_sent_take_bits() {
    let max_bytes = (OTHER_HUBS as usize + 1) * 2 * SERVERS as usize / 8 * 2;
    for members in [100, 200] {
        let bytes = bytes_per_member(members);
        assert!(
            bytes <= max_bytes,
            "{bytes} bytes per member with {members} members"
        );
    }
}
