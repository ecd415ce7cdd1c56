//! Simulates fleets whose store is restored from an older copy. Guards against boxes that
//! lose or delay acknowledged changes, or leave open servers unused meanwhile.

mod restore_play;

use restore_play::{Outcome, Play, Setting};

/// Number of seeds. Longer runs: `WINGSPUR_SEEDS=500 cargo test --release -p
/// wingspur-tests --test store_restore_play -- --nocapture`.
fn seeds() -> u64 {
    let seed_count = std::env::var("WINGSPUR_SEEDS").unwrap_or("12".to_owned());
    seed_count.parse().expect("WINGSPUR_SEEDS holds a number")
}

#[test]
fn changes_around_store_restores_are_in_force_and_no_server_is_left_out() {
    let mut sum = Outcome::default();
    for seed in 0..seeds() {
        let outcome = Play::run(Setting::drawn(seed));
        assert!(outcome.checks > 100, "seed {seed}: {outcome:?}");
        sum.checks += outcome.checks;
        sum.listings += outcome.listings;
        for (what, (count, case)) in outcome.broken {
            println!("seed {seed}: {what}, {count} times, {case}");
            sum.broken.entry(what).or_insert((0, case)).0 += count;
        }
    }
    println!("{} checks, {} listings", sum.checks, sum.listings);
    assert!(sum.broken.is_empty(), "{:#?}", sum.broken);
}
