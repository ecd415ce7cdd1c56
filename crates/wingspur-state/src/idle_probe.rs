//! Chooses the idle server that a request probes, so that enough of a service's servers
//! are in use.
//!
//! The minimum fraction of the healthy servers that must receive requests in any two
//! seconds is called the floor here.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::ServiceLoad;
use crate::balancer::SUSPECTED_FAILURE_PROBABILITY;

/// A server that may be healthy, and for how long no box has sent it a request.
#[derive(Debug, Clone, Copy)]
pub struct IdleServer<K> {
    /// The server.
    pub key: K,
    /// The time since a box last sent it a request.
    pub idle_for: Duration,
    /// The probability that a request fails there.
    pub failure_probability: f64,
    /// Whether this request may be sent there as a probe.
    pub is_eligible: bool,
}

/// The request that may be sent as a probe, and the load of its service.
#[derive(Debug, Clone, Copy)]
pub struct IdleProbeInputs {
    /// Whether it may be sent again if the server fails.
    pub retry_safe: bool,
    /// The present load and failure ratio of the service.
    pub service_load: ServiceLoad,
}

/// Returns the idle server that the request probes, or `None` if it is not sent as a
/// probe.
///
/// Only as many servers are probed as must be in use in case of a sudden loss, because an
/// idle server costs nothing when it becomes faulty. While a large part of the requests
/// fails, no server stays idle for long: trusted ones are probed early and almost
/// certainly, doubtful ones at a constant rate that leaves one in eight without a probe
/// after two seconds, because their failures add to the loss.
///
/// The probe rate of trusted servers rises with the idle time: at a constant rate,
/// servers that normal picks avoid, such as cold ones, could stay idle for two seconds. A
/// minimum fraction over all servers does not bound any group of them: the most suspected
/// would get no requests for seconds, although some are healthy after a single failure.
/// Probing suspected servers as often as trusted ones would lose more requests.
pub fn pick_idle_probe<K: Copy>(
    servers: &[IdleServer<K>],
    inputs: &IdleProbeInputs,
    random: &mut impl Rng,
) -> Option<K> {
    let strict = enforces_floor_strictly(&inputs.service_load);
    let mut probe_rates = probe_rates_of_neglected(servers, strict);
    if !strict {
        probe_rates.extend(probe_rate_of_missing(servers, inputs, random));
    }
    // One draw decides whether to probe a server, and which.
    let requests_per_s = inputs.service_load.requests_per_s.max(1.0);
    let sum: f64 = probe_rates.iter().map(|(rate, _)| rate).sum();
    let mut draw = random.random::<f64>() * requests_per_s.max(sum);
    for (rate, key) in probe_rates {
        if draw < rate {
            return Some(key);
        }
        draw -= rate;
    }
    None
}

/// Returns whether a service has enough requests to keep as many servers in use as the
/// floor requires: each request counts one server as in use for two seconds.
///
/// If it has not, every request would be a probe of a server that no box has recently
/// seen healthy, and the floor would still not be met. The requests go to servers that
/// are known to be healthy instead. Also true while the box has counted too few requests
/// to tell.
pub fn can_meet_floor(servers: usize, service_load: &ServiceLoad) -> bool {
    let servers_in_use = service_load.requests_per_s * FLOOR_WINDOW.as_secs_f64();
    service_load.requests_per_s < MIN_COUNTED_REQUESTS_PER_S
        || servers_in_use >= servers as f64 * TARGET_USED_RATIO
}

/// Returns whether so many requests fail that all servers that may be healthy must be in
/// use.
pub fn enforces_floor_strictly(service_load: &ServiceLoad) -> bool {
    service_load.failure_ratio >= STRICT_FAILURE_RATIO
}

/// Returns the neglected servers with the probes a second that all boxes together send to
/// each; suspected ones only when the floor is enforced strictly.
///
/// The others are probed also when few requests fail. After a sudden loss, as of all
/// boxes, the two seconds before it count as ones in which many requests failed, and the
/// requests in flight count as failures of their servers. Only servers without requests
/// in flight then count as healthy, and many of them may have been idle for seconds after
/// one or two failures.
fn probe_rates_of_neglected<K: Copy>(
    servers: &[IdleServer<K>],
    strict: bool,
) -> Vec<(f64, K)> {
    let neglected = servers.iter().filter(|server| {
        let may_be_probed =
            strict || server.failure_probability < SUSPECTED_FAILURE_PROBABILITY;
        may_be_probed && server.idle_for >= NEGLECTED_AFTER && server.is_eligible
    });
    let probe_rates = neglected.map(|server| (probes_per_s(server, strict), server.key));
    probe_rates.collect()
}

/// Returns an idle server to probe, with the probes a second that bring the number of
/// servers in use back to the target; `None` if enough are in use or no idle one is
/// eligible.
fn probe_rate_of_missing<K: Copy>(
    servers: &[IdleServer<K>],
    inputs: &IdleProbeInputs,
    random: &mut impl Rng,
) -> Option<(f64, K)> {
    let target_ratio = match inputs.retry_safe {
        true => TARGET_USED_RATIO_OF_RETRY_SAFE,
        false => TARGET_USED_RATIO,
    };
    let is_idle = |server: &&IdleServer<K>| server.idle_for >= IDLE_AFTER;
    let mut idle: Vec<_> = servers.iter().filter(is_idle).collect();
    let used = servers.len() - idle.len();
    let missing = servers.len() as f64 * target_ratio - used as f64;
    idle.retain(|server| server.is_eligible);
    if missing <= 0.0 || idle.is_empty() {
        return None;
    }
    // Draws from the half with the lower failure probability: with the lowest one, all
    // boxes would probe the same server before they receive each other's updates.
    idle.sort_by(|a, b| a.failure_probability.total_cmp(&b.failure_probability));
    let index = random.random_range(0..idle.len().div_ceil(2));
    Some((missing / PROBED_WITHIN.as_secs_f64(), idle[index].key))
}

/// Returns the probes a second that all boxes together send to a neglected server; the
/// rate of a trusted one rises with its idle time.
///
/// Once several probes are expected to have been sent, what is missing is the update
/// about them and not a probe: a rate that kept doubling would fill one server's queue.
fn probes_per_s<K>(server: &IdleServer<K>, strict: bool) -> f64 {
    if server.failure_probability >= TRUSTED_FAILURE_PROBABILITY {
        return match strict {
            true => PROBES_PER_S_OF_DOUBTFUL,
            false => PROBES_PER_S_OF_DOUBTFUL_IN_CALM,
        };
    }
    if server.idle_for >= PROBED_BY {
        return PROBES_PER_S_WITHOUT_UPDATE;
    }
    let neglected_for = server.idle_for.saturating_sub(NEGLECTED_AFTER);
    let doublings = neglected_for.as_secs_f64() / PROBE_RATE_DOUBLING_TIME.as_secs_f64();
    INITIAL_PROBES_PER_S * doublings.exp2()
}

/// Below this rate, counted over one second, half of the requests may be a random
/// variation.
const MIN_COUNTED_REQUESTS_PER_S: f64 = 20.0;
/// How long a server counts as in use after a request.
const FLOOR_WINDOW: Duration = Duration::from_secs(2);
/// A server is neglected when no box has sent it a request for half of the two seconds
/// over which the floor is judged: the other half is left for the probe and the update
/// about it.
const NEGLECTED_AFTER: Duration = Duration::from_secs(1);
/// A server that has just become neglected gets about one probe until all boxes know of
/// it, which takes a fifth of a second.
const INITIAL_PROBES_PER_S: f64 = 4.0;
/// Doubling this often gives 12 probes in 0.8 s: one in 160,000 servers gets none.
const PROBE_RATE_DOUBLING_TIME: Duration = Duration::from_millis(250);
/// From this idle time on a probe has almost certainly been sent; the remainder of the
/// two seconds allows for late updates.
const PROBED_BY: Duration = Duration::from_millis(1800);
/// The rate that continues without updates: one in 3,000 servers gets no probe in two
/// seconds, and a server with three slots and a service time of a fifth of a second can
/// handle three times as many.
const PROBES_PER_S_WITHOUT_UPDATE: f64 = 4.0;
/// A doubtful server is probed within the second after it became neglected with a
/// probability of seven in eight. With updates 0.3 s late it gets at most 1.6 probes on
/// average.
const PROBES_PER_S_OF_DOUBTFUL: f64 = 2.0;
/// While few requests fail, a doubtful server is probed once in two seconds on average:
/// eight in ten of any group of them are in use in any two seconds, where seven are
/// required.
const PROBES_PER_S_OF_DOUBTFUL_IN_CALM: f64 = 1.0;
/// The failure ratio from which the floor is enforced strictly; the floor is judged from
/// a ratio of a tenth on.
const STRICT_FAILURE_RATIO: f64 = 0.08;
/// A server with a failure probability below this is trusted: healthy servers fail 1.5%
/// to 6% of their requests.
pub const TRUSTED_FAILURE_PROBABILITY: f64 = 0.1;
/// The fraction of servers kept in use at all times, so that the floor of 0.7 holds when
/// a sudden loss begins.
const TARGET_USED_RATIO: f64 = 0.74;
/// The same for retry-safe requests, which probe more servers because a failure costs
/// them little.
const TARGET_USED_RATIO_OF_RETRY_SAFE: f64 = 0.85;
/// A server is idle when no box has sent it a request for a little less than the two
/// seconds.
const IDLE_AFTER: Duration = Duration::from_millis(1800);
/// The time within which enough idle servers are probed to reach the target.
const PROBED_WITHIN: Duration = Duration::from_millis(500);
