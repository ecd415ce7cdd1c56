//! Simulates fleets whose watches are cut, whose hubs lose the store, or whose store is
//! away while entries expire.

mod restore_play;

use restore_play::{Fault, Outage, Outcome, Play, Setting};

const SEEDS: u64 = 4;
const FLEETS: [usize; 3] = [1, 8, 40];

#[track_caller]
fn assert_holds(setting: Setting) {
    let case = format!("{setting:?}");
    let Outcome { broken, checks, .. } = Play::run(setting);
    assert!(checks > 100, "{case}");
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Acting too late: a server whose entry goes beside a cut watch gets requests for seconds.
#[test]
fn server_that_leaves_beside_a_cut_watch_is_dropped() {
    for (seed, boxes) in (0..SEEDS).flat_map(|s| FLEETS.map(|boxes| (s, boxes))) {
        for every_ms in [300, 1_500, 4_000] {
            assert_holds(Setting {
                watch_cuts_ms: (8_000..20_000).step_by(every_ms).collect(),
                ..Setting::unrestored(seed, boxes)
            });
        }
    }
}

/// Acting too late: hubs that had lost the store make their members keep servers.
#[test]
fn hub_that_lost_the_store_alone_does_not_delay_removals() {
    for seed in 0..SEEDS {
        for boxes in [8, 40] {
            assert_holds(Setting {
                fault: Fault::HubsWithoutStore,
                faults_ms: vec![8_000 + 100 * seed, 17_000 + 130 * seed],
                // Changes from other boxes would show the hubs that the store is there.
                max_change_gap_ms: 6_000,
                ..Setting::unrestored(seed, boxes)
            });
        }
    }
}

/// Acting too late: readers whose watches are cut leave the store to hubs that lost it.
#[test]
fn reader_whose_watch_is_cut_while_the_hubs_lost_the_store_asks_again() {
    for (seed, boxes) in (0..SEEDS).flat_map(|s| [4, 8, 40].map(|boxes| (s, boxes))) {
        for every_ms in [700, 1_500] {
            assert_holds(Setting {
                fault: Fault::HubsWithoutStore,
                faults_ms: vec![8_000],
                watch_cuts_ms: (9_500..12_000).step_by(every_ms).collect(),
                max_change_gap_ms: 6_000,
                ..Setting::unrestored(seed, boxes)
            });
        }
    }
}

/// Members that never wait flood a store that is away.
#[test]
fn members_ask_rarely_while_the_store_is_away() {
    for seed in 0..SEEDS {
        let outcome = Play::run(Setting {
            outages: vec![Outage {
                at_ms: 8_000,
                away_ms: 10_000,
            }],
            ..Setting::unrestored(seed, 40)
        });
        // Two calls soon after another, then one in two to four seconds.
        let most = (2 + 10 / 2) * (40 - 3);
        let calls = outcome.vain_member_calls;
        assert!((1..=most).contains(&calls), "{calls} calls of {most}");
    }
}

/// Acting too early: servers are dropped whose entries expired while the store was away.
#[test]
fn server_whose_entry_expired_in_an_outage_stays_in_use() {
    for (seed, boxes) in (0..SEEDS).flat_map(|s| FLEETS.map(|boxes| (s, boxes))) {
        for away_ms in [2_000, 2_700, 5_000] {
            let at_ms = 8_000 + 97 * seed;
            assert_holds(Setting {
                outages: vec![Outage { at_ms, away_ms }],
                ..Setting::unrestored(seed, boxes)
            });
        }
    }
}

/// Acting too early: boxes that start as the store returns know of no outage, and their
/// snapshots make the others drop servers.
#[test]
fn boxes_that_start_after_an_outage_make_no_other_drop_servers() {
    for seed in 0..2 * SEEDS {
        for starts_ms in [9_500, 12_400, 12_900, 13_100] {
            assert_holds(Setting {
                outages: vec![Outage {
                    at_ms: 8_000,
                    away_ms: 5_000,
                }],
                fault: Fault::BoxesStart,
                faults_ms: vec![starts_ms],
                ..Setting::unrestored(seed, 8)
            });
        }
    }
}

/// Acting too early: an outage that follows another one or a cut watch is overlooked.
#[test]
fn outage_beside_cuts_and_other_outages_is_noticed() {
    for (seed, boxes) in (0..SEEDS).flat_map(|s| FLEETS.map(|boxes| (s, boxes))) {
        let outage = |at_ms, away_ms| Outage { at_ms, away_ms };
        assert_holds(Setting {
            watch_cuts_ms: (7_000..20_000).step_by(700).collect(),
            outages: vec![outage(8_000, 2_500), outage(12_000, 4_500)],
            ..Setting::unrestored(seed, boxes)
        });
    }
}
