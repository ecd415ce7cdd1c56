//! Which unused server a request tries, so that enough of a service's servers are in use.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::ServiceLoad;
use crate::balancer::SUSPECT_SHARE;

/// A server that may be well, and for how long no box has used it.
#[derive(Debug, Clone, Copy)]
pub struct IdleServer<K> {
    /// The server.
    pub key: K,
    /// For how long.
    pub idle_for: Duration,
    /// The share of requests that should fail there.
    pub failure_probability: f64,
    /// Whether this request may try it.
    pub is_eligible: bool,
}

/// What a request finds.
#[derive(Debug, Clone, Copy)]
pub struct IdleProbeInputs {
    /// Whether it may be sent again if the server fails.
    pub retry_safe: bool,
    /// How the service fares.
    pub service_load: ServiceLoad,
}

/// The unused server that the request tries, if it is to try one.
///
/// Only so many are tried as must be in use in case of a sudden loss: a server that rests
/// costs nothing when it turns sick. While a good part of the requests is lost, no server
/// rests for long: those that are trusted are tried soon and surely, the doubtful ones at a
/// steady rate that leaves one in eight untried after two seconds, since each of their
/// failures adds to the loss.
///
/// The rate of tries rises with the time unused: at a constant rate servers that no pick
/// takes, like cold ones, could stay unused for two seconds. A share of all in use bounds no
/// part of them: the most suspected would get nothing for seconds, some of them well after a
/// single failure. Trying the suspected as often as the trusted would lose more requests.
pub fn pick_idle_probe<K: Copy>(
    servers: &[IdleServer<K>],
    inputs: &IdleProbeInputs,
    random: &mut impl Rng,
) -> Option<K> {
    let strict = holds_strictly(&inputs.service_load);
    let mut tries = tries_of_neglected(servers, strict);
    if !strict {
        tries.extend(try_of_missing(servers, inputs, random));
    }
    // One draw decides whether to try one, and which.
    let requests_per_s = inputs.service_load.requests_per_s.max(1.0);
    let sum: f64 = tries.iter().map(|(rate, _)| rate).sum();
    let mut draw = random.random::<f64>() * requests_per_s.max(sum);
    for (rate, key) in tries {
        if draw < rate {
            return Some(key);
        }
        draw -= rate;
    }
    None
}

/// Whether the requests of a service are enough to keep as many servers in use as the floor
/// wants: each holds one in use for two seconds.
///
/// Where they are not, all of them would be tries of servers that nobody has lately found
/// well, and the floor would still not be held: they go to those that are known instead. A
/// box that has counted hardly any cannot tell.
pub fn is_in_reach(servers: usize, present: &ServiceLoad) -> bool {
    let held = present.requests_per_s * FLOOR_WINDOW.as_secs_f64();
    present.requests_per_s < LEAST_COUNTED_PER_S || held >= servers as f64 * USED_SHARE
}

/// Whether so much is lost that all servers that may be well must be in use.
pub fn holds_strictly(present: &ServiceLoad) -> bool {
    present.failure_ratio >= STRICT_LOST_SHARE
}

/// The servers that are neglected, with how often each is tried a second by all boxes
/// together; the suspected ones only where the floor is held strictly.
///
/// The others are tried in calm times as well: a sudden loss, as of all boxes, makes the two
/// seconds before it ones in which many requests were not served, and what was out then counts
/// as failed at its server, so that the sound servers are those that had nothing out: of them
/// many may have rested for seconds after a failure or two.
fn tries_of_neglected<K: Copy>(servers: &[IdleServer<K>], strict: bool) -> Vec<(f64, K)> {
    let neglected = servers.iter().filter(|server| {
        let may_be_tried = strict || server.failure_probability < SUSPECT_SHARE;
        may_be_tried && server.idle_for >= NEGLECT && server.is_eligible
    });
    let tries = neglected.map(|server| (tries_per_s(server, strict), server.key));
    tries.collect()
}

/// A server that is missing from the share wanted in use, with the tries a second that
/// bring the missing ones back.
fn try_of_missing<K: Copy>(
    servers: &[IdleServer<K>],
    inputs: &IdleProbeInputs,
    random: &mut impl Rng,
) -> Option<(f64, K)> {
    let wanted_share = match inputs.retry_safe {
        true => USED_SHARE_BY_READS,
        false => USED_SHARE,
    };
    let is_rested = |server: &&IdleServer<K>| server.idle_for >= RESTED;
    let mut rested: Vec<_> = servers.iter().filter(is_rested).collect();
    let used = servers.len() - rested.len();
    let missing = servers.len() as f64 * wanted_share - used as f64;
    rested.retain(|server| server.is_eligible);
    if missing <= 0.0 || rested.is_empty() {
        return None;
    }
    // One of the less doubtful half: were it the least doubtful, all boxes would try the
    // same one before they hear of each other.
    rested.sort_by(|a, b| a.failure_probability.total_cmp(&b.failure_probability));
    let at = random.random_range(0..rested.len().div_ceil(2));
    Some((missing / TRIED_WITHIN.as_secs_f64(), rested[at].key))
}

/// How often a neglected server is tried by all boxes together: a trusted one by how long
/// it has rested.
///
/// Once several tries are to be expected, what is missing is the news of them and
/// not a try: a rate that went on doubling would fill one server's queue.
fn tries_per_s<K>(server: &IdleServer<K>, strict: bool) -> f64 {
    if server.failure_probability >= TRUSTED_SHARE {
        return match strict {
            true => TRIES_PER_S_OF_DOUBTFUL,
            false => TRIES_PER_S_IN_CALM,
        };
    }
    if server.idle_for >= SURELY_TRIED {
        return TRIES_PER_S_WITHOUT_NEWS;
    }
    let over = server.idle_for.saturating_sub(NEGLECT);
    let doublings = over.as_secs_f64() / TRIES_DOUBLE_IN.as_secs_f64();
    FIRST_TRIES_PER_S * doublings.exp2()
}

/// Of fewer requests a second, counted over a second, half may come by chance.
const LEAST_COUNTED_PER_S: f64 = 20.0;
/// A server counts as in use for so long after a request.
const FLOOR_WINDOW: Duration = Duration::from_secs(2);
/// Where the floor is held strictly, a server is neglected when no box has used it for half
/// of the two seconds over which it is judged: the other half is for the try and its news.
const NEGLECT: Duration = Duration::from_secs(1);
/// A server that has just become neglected is tried about once until all have heard of it,
/// a fifth of a second later.
const FIRST_TRIES_PER_S: f64 = 4.0;
/// In 0.8 s that makes 12 tries: one in 160,000 servers gets none.
const TRIES_DOUBLE_IN: Duration = Duration::from_millis(250);
/// From here on a try has been made; the rest of the two seconds is for what is late.
const SURELY_TRIED: Duration = Duration::from_millis(1800);
/// What goes on without news: one in 3,000 servers gets no try in two seconds, and a server
/// of three slots that works a fifth of a second bears three times as much.
const TRIES_PER_S_WITHOUT_NEWS: f64 = 4.0;
/// A doubtful server is tried within the second after it became neglected with a chance of
/// seven in eight. With news 0.3 s late that makes 1.6 tries at most on average.
const TRIES_PER_S_OF_DOUBTFUL: f64 = 2.0;
/// In calm times a doubtful server is tried once in two seconds on average: of any group of
/// them eight in ten are in use in any two seconds, where seven must be.
const TRIES_PER_S_IN_CALM: f64 = 1.0;
/// The floor is held strictly from here on; it is judged from a tenth on.
const STRICT_LOST_SHARE: f64 = 0.08;
/// A server that fails no more than this is as good a pick as any: the usual failures are
/// 1.5 to 6 in 100.
pub const TRUSTED_SHARE: f64 = 0.1;
/// So many are in use at all times, so that a sudden loss finds the floor of 0.7 held.
const USED_SHARE: f64 = 0.74;
/// Requests that can be sent again try more of them: a failure costs them little.
const USED_SHARE_BY_READS: f64 = 0.85;
/// A server rests when no box has used it for a little less than the two seconds.
const RESTED: Duration = Duration::from_millis(1800);
/// Enough of those that rest are tried within this.
const TRIED_WITHIN: Duration = Duration::from_millis(500);
