//! Guards against requests that end servers being sent too often after three servers have
//! ended, and against refusing other requests because of them. Simulates all faults alone
//! and in pairs, with up to three such requests at once.

mod quarantine;

use quarantine::{Fault, Outcome, Refused, play};

/// Plays some fleets with faults alone and in pairs, and sums up.
fn plays(mut each: impl FnMut(&str, &Outcome)) {
    for boxes in fleets() {
        for seed in 0..seeds() {
            for [one, other] in pairs() {
                let fatals = 1 + seed as usize % 3;
                let outcome = play(boxes, fatals, [one, other], seed);
                let name = format!(
                    "{boxes} boxes, {fatals} fatal, {one:?} and {other:?}, seed {seed}"
                );
                each(&name, &outcome);
            }
        }
    }
}

fn pairs() -> Vec<[Fault; 2]> {
    let all = Fault::ALL.into_iter().enumerate();
    let pairs = all.flat_map(|(n, one)| {
        let others = Fault::ALL.into_iter().skip(n + 1);
        let others = [Fault::None].into_iter().chain(others);
        others.map(move |other| [one, other])
    });
    pairs.collect()
}

/// Numbers of boxes. Longer runs: `WINGSPUR_SEEDS=50 WINGSPUR_BOXES=8,40,113,450 cargo
/// test --release -p wingspur-tests --test quarantine_bound -- --nocapture`.
fn fleets() -> Vec<usize> {
    let value = std::env::var("WINGSPUR_BOXES").unwrap_or("8,40".to_owned());
    let sizes = value.split(',').map(|size| size.parse());
    sizes
        .map(|size| size.expect("WINGSPUR_BOXES holds numbers"))
        .collect()
}

fn seeds() -> u64 {
    let value = std::env::var("WINGSPUR_SEEDS").unwrap_or("2".to_owned());
    value.parse().expect("WINGSPUR_SEEDS holds a number")
}

#[test]
fn a_request_that_ends_servers_is_held_back_and_no_other() {
    let (mut count, mut violations, mut refusing) = (0, Vec::new(), Vec::new());
    let (mut fatals, mut harmless) = (0, 0);
    let mut sum = Outcome::default();
    plays(|name, outcome| {
        count += 1;
        for fatal in &outcome.fatal {
            fatals += 1;
            harmless += usize::from(fatal.ended < 3);
            if fatal.sent_in_touch > MAX_SENT {
                violations.push(format!("{name}: {fatal:?}"));
            }
            sum.most_sent = sum.most_sent.max(fatal.sent);
        }
        if outcome.refused != Refused::default() {
            refusing.push(format!("{name}: {:?}", outcome.refused));
        }
        sum.add(outcome);
    });
    println!("{count} plays: {sum:#?}\nwith refusals: {refusing:#?}");
    assert!(
        violations.is_empty(),
        "{} of {count}: {violations:#?}",
        violations.len()
    );
    // A request that was always in flight beside another one may end fewer servers
    // itself.
    assert!(
        harmless * 20 <= fatals,
        "{harmless} of {fatals} ended fewer than three"
    );
    // The few refused requests had been in flight at five servers that ended one after
    // the other: in plays with nine servers, 20 of which end within eight seconds, or
    // with three requests at once that each end some.
    let refused = sum.refused.no_try + sum.refused.no_store + sum.refused.waited;
    assert!(
        refused * REFUSED_ONE_IN <= sum.well,
        "{refused} of {} refused",
        sum.well
    );
}

/// Times that a request may be sent after the third server has ended under it.
const MAX_SENT: usize = 3;
/// One other request in so many may be refused because of those that end servers.
const REFUSED_ONE_IN: usize = 10_000;
