//! Decides which boxes probe an idle server and when, so that enough of a service's
//! servers are in use.
//!
//! The minimum fraction of the healthy servers that must receive requests in any two
//! seconds is called the floor here.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::mix::mix;
use crate::{BoxKey, ServerKey, ServiceLoad};

/// The position of a box among the boxes of its data centre, as their hub assigns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxPosition {
    /// The number of boxes before this one.
    pub index: u32,
    /// The number of boxes.
    pub count: u32,
}

/// What decides which probes a box owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoverageRole {
    /// The box.
    pub key: BoxKey,
    /// Its position in its data centre; `None` if no hub has assigned one.
    pub position: Option<BoxPosition>,
    /// The number of boxes in the fleet.
    pub fleet_boxes: usize,
}

/// A server that may be healthy, and for how long no box has sent it a request.
#[derive(Debug, Clone, Copy)]
pub struct IdleServer {
    /// The server.
    pub key: ServerKey,
    /// The time since a box last sent it a request.
    pub idle_for: Duration,
    /// The probability that a request fails there.
    pub failure_probability: f64,
    /// The time since its last failure; `None` if it never failed, or if its responses
    /// since then have restored the trust in it.
    pub failed_ago: Option<Duration>,
    /// Whether it is in this box's data centre.
    pub is_local: bool,
    /// Whether this request may be sent there as a probe.
    pub is_eligible: bool,
}

/// The request that may be sent as a probe, the box that has it, and the load of its
/// service.
#[derive(Debug, Clone, Copy)]
pub struct CoverageInputs {
    /// Whether it may be sent again if the server fails.
    pub retry_safe: bool,
    /// The present load and failure ratio of the service.
    pub service_load: ServiceLoad,
    /// The role of the box.
    pub role: CoverageRole,
}

/// A probe of an idle server, with the figures behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleProbe {
    /// The server.
    pub key: ServerKey,
    /// The turn that this box owns, counted from the time at which a server is due.
    pub turn: u32,
    /// The time since a box last sent the server a request.
    pub idle_for: Duration,
    /// The number of servers that are left idle because they failed recently.
    pub resting: usize,
    /// The position of the box; `None` if it has none.
    pub position: Option<BoxPosition>,
}

/// A turn in which some boxes own the probe of a server.
#[derive(Debug, Clone, Copy)]
struct Turn {
    number: u32,
    /// The number of requests that its owners together are expected to have in it.
    expected_requests: f64,
}

/// The servers that are left idle because they failed recently.
#[derive(Debug, Clone, Copy, Default)]
struct Resting {
    count: usize,
    /// The rank of the last one; `None` if there are none.
    last: Option<(Duration, ServerKey)>,
}

impl Resting {
    fn contains(&self, server: &IdleServer) -> bool {
        let rank = rest_rank(server);
        self.last
            .is_some_and(|last| rank.is_some_and(|rank| rank <= last))
    }
}

impl Default for CoverageRole {
    /// The only box of a fleet, which owns every probe.
    fn default() -> Self {
        Self {
            key: 0,
            position: None,
            fleet_boxes: 1,
        }
    }
}

/// Returns the probe that the request is sent as, or `None` if this box owns none that is
/// due.
///
/// All boxes know the idle time of a server up to the delay of the reports, so they count
/// the same turns without a message. Several boxes that probed a faulty server at once
/// would each lose a request.
///
/// A server that has not failed recently is due before it has been idle for two seconds.
/// After a sudden loss, as of all boxes, the two seconds before it count as ones in which
/// many requests failed, and the requests in flight count as failures of their servers:
/// only servers without requests in flight then count as healthy.
///
/// A server that failed recently probably still fails, because faults last for seconds.
/// Such servers are left idle unless too few are in use without them.
pub fn pick_owned_probe(
    servers: &[IdleServer],
    inputs: &CoverageInputs,
    random: &mut impl Rng,
) -> Option<IdleProbe> {
    let strict = enforces_floor_strictly(&inputs.service_load);
    let resting = match strict {
        true => Resting::default(),
        false => resting_servers(servers, inputs.retry_safe),
    };
    let mut owned: Vec<(Duration, Turn, &IdleServer)> = Vec::new();
    for server in servers {
        if !server.is_eligible || resting.contains(server) {
            continue;
        }
        let Some(turn) = turn_of(server, inputs.retry_safe, strict) else {
            continue;
        };
        if owns(server, turn, inputs) {
            owned.push((urgency(server, strict), turn, server));
        }
    }
    let highest = owned.iter().map(|(urgency, ..)| *urgency).max()?;
    owned.retain(|(urgency, ..)| *urgency == highest);
    let (_, turn, server) = owned[random.random_range(0..owned.len())];
    Some(IdleProbe {
        key: server.key,
        turn: turn.number,
        idle_for: server.idle_for,
        resting: resting.count,
        position: inputs.role.position,
    })
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

/// Returns the servers that are left idle because they failed recently: as many as leave
/// the target fraction in use.
///
/// Those that failed last rest, because the others have more probably recovered.
fn resting_servers(servers: &[IdleServer], retry_safe: bool) -> Resting {
    let target_ratio = match retry_safe {
        true => TARGET_USED_RATIO_OF_RETRY_SAFE,
        false => TARGET_USED_RATIO,
    };
    let missed = servers.iter().filter(|server| {
        recent_failure(server).is_none() && server.idle_for >= IDLE_AFTER
    });
    let may_rest = servers.len() as f64 * (1.0 - target_ratio) - missed.count() as f64;
    let may_rest = may_rest.max(0.0) as usize;
    let mut ranks: Vec<_> = servers.iter().filter_map(rest_rank).collect();
    let count = may_rest.min(ranks.len());
    let last = count
        .checked_sub(1)
        .map(|at| *ranks.select_nth_unstable(at).1);
    Resting { count, last }
}

/// Returns the order in which servers that may rest do so: the time since the failure,
/// and the key where that is the same. `None` if the server may not rest.
fn rest_rank(server: &IdleServer) -> Option<(Duration, ServerKey)> {
    let failed_ago = recent_failure(server).filter(|_| server.idle_for >= DUE_AFTER)?;
    Some((failed_ago, server.key))
}

/// Returns the time since a server's failure if that was recent.
fn recent_failure(server: &IdleServer) -> Option<Duration> {
    server.failed_ago.filter(|ago| *ago < RECENT_FAILURE)
}

/// Returns the turn that a server's idle time falls into; `None` if no box owns its probe
/// at this time.
///
/// Once-only requests leave the first turn to retry-safe ones, because a failure costs
/// these less. The turns follow each other until the server has been idle for two
/// seconds, with more owners in each, so that a lost box or a turn without requests does
/// not leave it idle.
///
/// Turns of servers that failed recently are followed by a pause in which the report
/// about a probe arrives; without it, the next owner would probe the server again. So are
/// turns after two seconds: what is missing then is a report rather than a probe, and one
/// server's queue would fill.
fn turn_of(server: &IdleServer, retry_safe: bool, strict: bool) -> Option<Turn> {
    let due_for = server.idle_for.checked_sub(DUE_AFTER)?;
    let failed_recently = recent_failure(server).is_some();
    if failed_recently || server.idle_for >= FLOOR_WINDOW {
        let period = TURN + PAUSE;
        let elapsed = due_for.as_nanos() % period.as_nanos();
        return (elapsed < TURN.as_nanos()).then_some(Turn {
            number: (due_for.as_nanos() / period.as_nanos()) as u32,
            expected_requests: match failed_recently && !strict {
                true => EXPECTED_REQUESTS_AFTER_FAILURE,
                false => EXPECTED_REQUESTS,
            },
        });
    }
    let is_doubtful = server.failure_probability >= TRUSTED_FAILURE_PROBABILITY;
    let due_after = match (is_doubtful && !strict, retry_safe) {
        (true, _) => DUE_AFTER_IF_DOUBTFUL,
        (false, true) => DUE_AFTER,
        (false, false) => DUE_AFTER + TURN,
    };
    let number = (due_for.as_nanos() / TURN.as_nanos()) as u32;
    let growing = EXPECTED_REQUESTS_BY_TURN.get(number as usize);
    (server.idle_for >= due_after).then_some(Turn {
        number,
        expected_requests: *growing.unwrap_or(&EXPECTED_REQUESTS),
    })
}

/// Returns whether this box is one of the owners of a server's probe in a turn.
///
/// The owners of the next turn are some way on among the boxes of the server's data
/// centre, in case boxes with consecutive positions are lost. A box of
/// another one, or without a position, owns the probe with the probability that makes as
/// many owners among all boxes. Boxes of other data centres wait for those of the
/// server's own, in case there are none.
fn owns(server: &IdleServer, turn: Turn, inputs: &CoverageInputs) -> bool {
    let role = &inputs.role;
    let boxes = role.fleet_boxes.max(1) as f64;
    let requests_per_s = inputs.service_load.requests_per_s.max(1.0);
    let requests_per_box = requests_per_s / boxes * TURN.as_secs_f64();
    let owners = (turn.expected_requests / requests_per_box).round().max(1.0);
    let start = mix(server.key);
    match role.position.filter(|position| position.count > 0) {
        Some(position) if server.is_local => {
            let count = u64::from(position.count);
            let owners = (owners as u64).min(count);
            let step = owners.max((f64::from(position.count) * TURN_STEP_RATIO) as u64);
            let first = (start % count + u64::from(turn.number) * step) % count;
            (u64::from(position.index) % count + count - first) % count < owners
        }
        _ if !server.is_local && turn.number < FIRST_TURN_OF_OTHERS => false,
        _ => {
            let draw = mix(start ^ mix(role.key ^ u64::from(turn.number)));
            (draw as f64) < owners / boxes * u64::MAX as f64
        }
    }
}

/// Returns by how much a probe that a box owns comes before its others. While few
/// requests fail, servers that failed recently come last.
fn urgency(server: &IdleServer, strict: bool) -> Duration {
    if recent_failure(server).is_some() && !strict {
        return Duration::ZERO;
    }
    server.idle_for.min(FLOOR_WINDOW)
}

/// Below this rate, counted over one second, half of the requests may be a random
/// variation.
const MIN_COUNTED_REQUESTS_PER_S: f64 = 20.0;
/// How long a server counts as in use after a request.
const FLOOR_WINDOW: Duration = Duration::from_secs(2);
/// A server is due when no box has sent it a request for half of the two seconds over
/// which the floor is judged: the other half is left for the probe and the report about
/// it.
const DUE_AFTER: Duration = Duration::from_secs(1);
/// While few requests fail, a doubtful server that has not failed recently is due later,
/// because its probes fail more often. With the delay of the reports it is probed every
/// 2.0 to 2.2 s: nine in ten of any group of them are in use in any two seconds.
const DUE_AFTER_IF_DOUBTFUL: Duration = Duration::from_millis(1800);
/// How long the same boxes own the probe of a server: about as long as a report takes.
const TURN: Duration = Duration::from_millis(200);
/// The next owners are this fraction of the boxes further on: with the golden section, the
/// owners of any few turns lie far apart.
const TURN_STEP_RATIO: f64 = 0.382;
/// The pause after a turn in which reports arrive, which takes 0.1 to 0.3 s. Two turns
/// with pauses begin between one and two seconds of idle time.
const PAUSE: Duration = Duration::from_millis(300);
/// The requests that the owners of a probe are expected to have, by the number of the
/// turn. The requests come at random: the turns from the second to the fourth pass
/// without one in 5 of 10,000 cases.
const EXPECTED_REQUESTS_BY_TURN: [f64; 4] = [1.5, 1.5, 2.0, 4.0];
/// The same in turns after these, and in those of servers that failed recently while the
/// floor is enforced strictly: two turns pass without a request in one of 20 cases.
const EXPECTED_REQUESTS: f64 = 1.5;
/// The same for a server that failed recently, while few requests fail.
const EXPECTED_REQUESTS_AFTER_FAILURE: f64 = 1.0;
/// The first turn in which boxes of other data centres may own a probe.
const FIRST_TURN_OF_OTHERS: u32 = 2;
/// A failure is recent for this long; faults last 2 to 10 s.
const RECENT_FAILURE: Duration = Duration::from_secs(10);
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
