//! How old the news of a hub is, when it has waited on its way.
//!
//! A box of a tenth of a core and ten megabits became the hub of 36 others when the two
//! strong boxes of its data centre were stopped in turn. A configuration of 1,420 routes
//! was accepted at 16.08 s; the hub had it at 16.33 s and sent it to each of them whole.
//! The frames waited for seconds in the hub's connections, and each said how fresh the
//! hub's reading had been when it was written, not when it came. So all members took
//! themselves for up to date: at 18.55 s, 2.5 s later, the first of them said
//! `store: reading it. revision=986`, and until then they sent requests by the former
//! configuration and to a server that had left 2.9 s before.

use std::time::{Duration, Instant};

use wingspur_coordination::FeedView;
use wingspur_protocol::FeedState;
use wingspur_state::BoxId;

/// A hub's frames on their way to a member: how long one takes that is sent now.
type Way = fn(Duration) -> Duration;

/// A member reads the store itself within this of the newest moment that its news is of.
const BOUND: Duration = Duration::from_millis(1800);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Plays a hub that reads all the time and tells a member ten times a second; returns the
/// longest time for which the member's news was older than the bound while it did not read.
fn longest_blindness(way: Way) -> Duration {
    let start = Instant::now();
    let mut member = FeedView::new(BoxId::from("member"), start);
    let fresh = FeedState {
        reader: Some(BoxId::from("hub")),
        age_ms: 0,
        tries: false,
    };
    let mut on_the_way: Vec<(Duration, Duration)> = Vec::new();
    let (mut newest, mut blind, mut longest) = (Duration::ZERO, Duration::ZERO, ms(0));
    for tick in 0..1000 {
        let now = ms(10) * tick;
        if tick % 10 == 0 {
            // Frames of one connection do not overtake each other.
            let before = on_the_way.last().map_or(ms(0), |(_, arrives)| *arrives);
            on_the_way.push((now, (now + way(now)).max(before)));
        }
        for (written, _) in on_the_way.iter().filter(|(_, arrives)| *arrives == now) {
            newest = newest.max(*written);
            member.note(1, &fresh, start + now);
        }
        let reads = member.should_read(false, 3, start + now);
        blind = if now > newest + BOUND && !reads {
            blind + ms(10)
        } else {
            ms(0)
        };
        longest = longest.max(blind);
    }
    longest
}

#[test]
fn news_that_waited_on_its_way_is_not_taken_for_fresh() {
    let prompt = |_| ms(0);
    let slower_and_slower = |now: Duration| now.mul_f64(0.4);
    let three_seconds = |now| if now < ms(2000) { ms(0) } else { ms(3000) };
    let ways: [(&str, Way); 3] = [
        ("prompt", prompt),
        ("slower and slower", slower_and_slower),
        ("three seconds late", three_seconds),
    ];
    for (name, way) in ways {
        let blind = longest_blindness(way);
        assert_eq!(blind, ms(0), "{name}: old news was taken for fresh");
    }
}
