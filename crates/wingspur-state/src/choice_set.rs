//! Draws the server of a request from the cheapest ones, so that many boxes that choose
//! at the same time spread their requests.

use rand::Rng;
use rand::RngExt;

/// Draws the server that a request goes to and returns its index in `servers`, which are
/// reordered; `None` if there are no servers.
///
/// Requests that other boxes have placed since this box's last update from them saw the
/// same servers as the cheapest, and fill the slots of about `choice_set_size` servers.
/// The request is therefore drawn from that many of the cheapest servers, as far as they
/// cost at most `max_extra_ms` more than the cheapest. The set is no larger, because
/// servers that are used often are the first ones known to be healthy.
///
/// This matters where many boxes have outdated tallies and more than half of all slots
/// are in use. If each request went to the cheapest server, some would find its queue
/// full while other servers had free slots.
pub fn draw_from_cheapest<S>(
    servers: &mut [S],
    cost_ms: impl Fn(&S) -> f64,
    choice_set_size: usize,
    max_extra_ms: f64,
    random: &mut impl Rng,
) -> Option<usize> {
    if servers.is_empty() {
        return None;
    }
    let by_cost = |a: &S, b: &S| cost_ms(a).total_cmp(&cost_ms(b));
    let set_size = choice_set_size.clamp(1, servers.len());
    servers.select_nth_unstable_by(set_size - 1, by_cost);
    let cheapest = servers[..set_size].iter().map(&cost_ms);
    let lowest_ms = cheapest.fold(f64::INFINITY, f64::min);
    let limit_ms = lowest_ms + max_extra_ms;
    let is_affordable = |server: &S| cost_ms(server) <= limit_ms;
    let count = servers[..set_size]
        .iter()
        .filter(|server| is_affordable(server))
        .count();
    let drawn = random.random_range(0..count);
    (0..set_size)
        .filter(|at| is_affordable(&servers[*at]))
        .nth(drawn)
}

/// Servers that cost more than the cheapest by over this multiple of the typical latency
/// are not drawn until the cheaper ones are known to be busy: it is the cost of one
/// queued round of all slots. At half of it 0.7% of the requests find a full queue with
/// 80% of the slots in use.
pub const MAX_EXTRA_COST_RATIO: f64 = 1.0;
/// The same limit where servers have spare slots and the choice set has any size. A
/// higher one would send requests to servers that no box has recently seen healthy.
pub const MAX_EXTRA_COST_RATIO_WITH_SPARE_SLOTS: f64 = 0.25;
