//! Forwards a request to backend servers, from the first attempt to the final outcome.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use hyper::body::Body;
use wingspur_protocol::{BoxRecord, ExecutionState, ResultCode};
use wingspur_state::{
    AttemptEnd, AttemptLedger, AttemptNumber, AttemptTarget, BoxId, Pick, PickRequest,
    Priority, RetryAfterInputs, RouteClass, ServerKey, UrgencyDecision, priority_of,
    spare_capacity_per_s,
};
use wingspur_transport::SendBody;

use crate::catalog::active_bundle::ActiveRoute;
use crate::edge_state::EdgeState;
use crate::locks::RankedMutexGuard;
use crate::log_values::{id_text, round_for_log};
use crate::peers::relay_search::find_relay;
use crate::proxy::attempt::{AttemptResult, FailedAttempt, UpstreamAttempt};
use crate::proxy::relayed_attempt::RelayedAttempt;
use crate::proxy::request_head::{UpstreamRequest, reuse_policy};
use crate::proxy::request_log::{log_give_up, log_pick};
use crate::proxy::request_origin::RequestOrigin;
use crate::proxy::resend_reservation::ResendReservation;
use crate::proxy::server_hints::{MAX_PRIORITY_LEVEL, acquire_server_quota};
use crate::proxy::suspect_requests::{InterruptedAttempt, check_for_server_crash};
use crate::quotas::quarantine::{is_quarantined, wait_for_send_permit};
use crate::quotas::quarantine_state::SendPermission;
use crate::request_error::RequestError;
use crate::services::ServiceState;

mod admission_by_urgency;
mod hedging;
mod resending;

/// Forwards one request: picks servers, and sends retries and hedges within the retry
/// budget.
pub struct RequestForwarder {
    shared: Arc<EdgeState>,
    route: Arc<ActiveRoute>,
    service: Arc<ServiceState>,
    outgoing: Arc<UpstreamRequest>,
    /// The request's body; `None` once it cannot be sent again.
    body: Option<SendBody>,
    /// Servers that may not be picked: those that the request was sent to and, without a
    /// path to the service, those that this box has not reached lately.
    avoided: Vec<ServerKey>,
    /// Who has sent the request to this box.
    origin: RequestOrigin,
    /// Relays that the request was handed to; none gets it twice.
    tried_relays: Vec<BoxId>,
    /// Number of attempts at servers while this box did not reach the service and no other
    /// box was known to.
    attempts_without_path: u32,
    /// Whether no further hedge is tried, because the budget did not allow an earlier one
    /// or no server was expected to respond in time.
    hedging_ruled_out: bool,
    /// A pending request to another box to lease the resend that a hedge needs.
    hedge_lease: Option<LeaseFuture>,
    running_attempts: Vec<AttemptFuture>,
    /// When the latest attempt began, and the pick of its server.
    latest_attempt: Option<(Instant, Pick)>,
    /// The failure that is reported to the caller if no attempt succeeds.
    reported_failure: Option<Box<FailedAttempt>>,
    /// Whether this request holds a permit to be sent while in quarantine.
    quarantine_permit: QuarantinePermit,
    /// Time after which a quarantined request may get a permit again.
    next_permit_in: Option<Duration>,
    /// Shortest time until a rate-limited server should have quota again, by the latest
    /// requests for quota; `None` if none of them named a time.
    quota_in: Option<Duration>,
    /// The decision by which the request was refused in favour of more urgent ones.
    refused_by_urgency: Option<UrgencyDecision>,
    /// The last field, so that it is dropped after the attempts: its drop records in the
    /// budget that the request has ended, and no attempt may be sent after that.
    resends: ResendReservation,
}

type LeaseFuture = Pin<Box<dyn Future<Output = bool> + Send>>;
type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult> + Send>>;

/// Permit to send a quarantined request once, to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QuarantinePermit {
    None,
    /// The request may be sent once.
    Held,
    /// The request was sent. The permit is restored if it did not reach the server.
    Used,
}

impl QuarantinePermit {
    fn after_send(self) -> Self {
        match self {
            Self::Held => Self::Used,
            Self::None | Self::Used => Self::None,
        }
    }

    fn restored(self) -> Self {
        match self {
            Self::Used => Self::Held,
            Self::None | Self::Held => self,
        }
    }
}

/// What [`RequestForwarder::next_event`] waits for.
enum Event {
    AttemptEnded(AttemptResult),
    HedgeDue,
    /// Whether another box has granted the resend that a hedge needs.
    LeaseDecided(bool),
}

impl RequestForwarder {
    /// Creates the forwarder of a request that has not been sent yet.
    pub fn new(
        shared: Arc<EdgeState>,
        route: Arc<ActiveRoute>,
        service: Arc<ServiceState>,
        outgoing: UpstreamRequest,
        body: SendBody,
        origin: RequestOrigin,
    ) -> Self {
        Self {
            resends: ResendReservation::new(service.clone()),
            shared,
            route,
            service,
            outgoing: Arc::new(outgoing),
            body: Some(body),
            avoided: Vec::new(),
            origin,
            tried_relays: Vec::new(),
            attempts_without_path: 0,
            hedging_ruled_out: false,
            hedge_lease: None,
            running_attempts: Vec::new(),
            latest_attempt: None,
            reported_failure: None,
            quarantine_permit: QuarantinePermit::None,
            next_permit_in: None,
            quota_in: None,
            refused_by_urgency: None,
        }
    }

    /// Sends the request to servers until one responds, the retry rules forbid another
    /// attempt, or the deadline passes.
    pub async fn run(mut self) -> Result<AttemptResult, RequestError> {
        if !self.is_relayed() {
            self.count_request();
            let mut demand = self.service.resend_demand.lock();
            demand.count_request(self.priority(), wingspur_clock::now());
            drop(demand);
            if let Err(code) = self.admit_by_urgency() {
                return Err(self.give_up(code));
            }
        }
        if let Err(code) = self.send_first().await {
            return Err(self.give_up(code));
        }
        loop {
            let mut failed = match self.next_event().await {
                Event::HedgeDue => {
                    self.hedge();
                    continue;
                }
                Event::LeaseDecided(leased) => {
                    self.hedge_if_leased(leased);
                    continue;
                }
                Event::AttemptEnded(AttemptResult::Failed(failed)) => failed,
                Event::AttemptEnded(response) => {
                    self.count_attempt(true);
                    self.resends.answered += 1;
                    return Ok(response);
                }
            };
            self.resends.answered += u32::from(failed.reached_server());
            self.record_failure(&failed);
            self.check_interrupted(failed.interrupted.take()).await;
            let (code, end) = (failed.code, failed.end);
            self.keep_failure(failed);
            if end != AttemptEnd::NotSent {
                self.count_attempt(false);
            } else {
                // The request was not sent, which counts as no resend.
                self.resends.sent -= 1;
                self.resends.release_unsent();
                self.quarantine_permit = self.quarantine_permit.restored();
            }
            if !self.running_attempts.is_empty() {
                continue;
            }
            if let Err(code) = self.resend(end, code).await {
                return Err(self.give_up(code));
            }
        }
    }

    async fn send_first(&mut self) -> Result<(), ResultCode> {
        if !self.needs_relay() {
            self.wait_for_permit().await?;
        }
        self.send_to_next_server().await
    }

    /// Waits for a send permit if the request is in quarantine, that is, suspected of
    /// crashing servers.
    ///
    /// Fails with the result code for the caller if no permit is available in time.
    async fn wait_for_permit(&mut self) -> Result<(), ResultCode> {
        if !self.needs_permit() {
            return Ok(());
        }
        self.wait_for_slot().await?;
        let id = id_text(self.outgoing.id.as_ref());
        let request = self.outgoing.fingerprint;
        let deadline = self.outgoing.deadline;
        match wait_for_send_permit(&self.shared, id, request, deadline).await {
            SendPermission::Free => Ok(()),
            SendPermission::Once => {
                self.quarantine_permit = QuarantinePermit::Held;
                Ok(())
            }
            SendPermission::Refused(after) => {
                self.next_permit_in = Some(after);
                Err(ResultCode::Quarantined)
            }
        }
    }

    /// Waits until a server has a free slot.
    ///
    /// A permit would be wasted on a server that refuses the request. A request that
    /// waits in a server's queue would be suspected if another request crashed that
    /// server.
    async fn wait_for_slot(&mut self) -> Result<(), ResultCode> {
        loop {
            let pick = self
                .pick()
                .or_else(|| self.rate_limited_servers().into_iter().next());
            let pick = pick.ok_or_else(|| match self.shortest_backoff() {
                Some(_) => ResultCode::ServersBackingOff,
                None => ResultCode::NoServer,
            })?;
            if pick.wait_ms < 1.0 {
                return Ok(());
            }
            if self.remaining() < SLOT_POLL_INTERVAL {
                return Err(ResultCode::DeadlineBeforeSend);
            }
            wingspur_clock::sleep(SLOT_POLL_INTERVAL).await;
        }
    }

    fn needs_permit(&self) -> bool {
        let request = self.outgoing.fingerprint;
        self.quarantine_permit != QuarantinePermit::Held
            && is_quarantined(&self.shared, request)
    }

    /// Checks whether the server of an interrupted attempt has crashed.
    ///
    /// A retry-safe request waits for the result, so that it does not crash the next
    /// server before the first crash is recorded. For a once-only request the check runs
    /// in the background.
    async fn check_interrupted(&mut self, interrupted: Option<InterruptedAttempt>) {
        let Some(attempt) = interrupted else { return };
        if self.is_retry_safe() {
            return check_for_server_crash(&self.shared, attempt).await;
        }
        let shared = self.shared.clone();
        let spawner = shared.spawner.clone();
        spawner.detach(async move { check_for_server_crash(&shared, attempt).await });
    }

    /// Picks a server within the quotas, and starts an attempt there.
    ///
    /// The account is looked up again, because the caller's key may have been revoked
    /// since the last attempt or while the request waited.
    async fn send_to_next_server(&mut self) -> Result<(), ResultCode> {
        if self.outgoing.is_overdue(wingspur_clock::now()) {
            return Err(ResultCode::DeadlineBeforeSend);
        }
        let admitted = &self.outgoing.admitted;
        if admitted.account_now(&self.shared, &self.route).is_err() {
            return Err(ResultCode::UnknownKey);
        }
        if self.needs_relay() {
            if let Some(pick) = self.pick_connected() {
                self.start_attempt(pick);
                return Ok(());
            }
            if self.send_to_relay().await {
                return Ok(());
            }
            self.attempts_without_path += 1;
            if self.attempts_without_path > MAX_ATTEMPTS_WITHOUT_PATH {
                return Err(ResultCode::NotSent);
            }
        }
        self.update_avoided();
        let pick = self.pick_within_quota().await?;
        let remaining_ms = self.remaining().as_secs_f64() * 1000.0;
        if pick.wait_ms > remaining_ms {
            return Err(ResultCode::DeadlineBeforeSend);
        }
        self.start_attempt(pick);
        Ok(())
    }

    /// Whether the request must be handed to another box, because this box does not reach
    /// the service. A request that was handed over is not handed over again.
    fn needs_relay(&self) -> bool {
        !self.is_relayed() && !self.service.is_reachable()
    }

    /// Picks a server to which there is a connection that has worked since the path to the
    /// service was lost.
    fn pick_connected(&mut self) -> Option<Pick> {
        self.avoided = self.servers_tried();
        let lost_at = self.service.path.lock().lost_at();
        let id = self.outgoing.id.as_ref();
        let reuse = reuse_policy(self.route.route.class, id.is_some(), lost_at);
        let pick = self.pick().filter(|_| !self.needs_permit())?;
        let backend = self.shared.services.backend(pick.server.address);
        backend.has_idle(reuse, id).then_some(pick)
    }

    /// Hands the request to a relay; returns whether there is one.
    async fn send_to_relay(&mut self) -> bool {
        let max_wait = self.remaining() / 4;
        let declined = &self.tried_relays;
        let relay = find_relay(&self.shared, &self.service, declined, max_wait).await;
        match relay {
            Some(relay) => self.start_relayed_attempt(relay),
            None => {
                tracing::info!(
                    id = id_text(self.outgoing.id.as_ref()),
                    service = self.service.name,
                    declined = self.tried_relays.len(),
                    left_ms = self.remaining().as_millis() as u64,
                    "relay: none."
                );
                self.shared.metrics.count_relayed("sent", "no_relay");
                return false;
            }
        }
        true
    }

    fn start_relayed_attempt(&mut self, relay: BoxRecord) {
        tracing::info!(
            id = id_text(self.outgoing.id.as_ref()),
            relay = %relay.id,
            data_centre = %relay.data_centre,
            service = self.service.name,
            attempts_made = self.count_tried(),
            left_ms = self.remaining().as_millis() as u64,
            "relay: sent."
        );
        self.tried_relays.push(relay.id.clone());
        let attempts_made = self.count_tried() as u8;
        self.resends.sent += 1;
        let number = self.begin_attempt(AttemptTarget::Relay, &relay.id);
        let body = self.take_body();
        self.latest_attempt = None;
        let attempt = RelayedAttempt {
            shared: self.shared.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            relay,
            outgoing: self.outgoing.clone(),
            attempts_made,
            number,
        };
        self.run_attempt(number, attempt.run(body));
    }

    fn begin_attempt(&self, target: AttemptTarget, id: &str) -> AttemptNumber {
        let in_flight = &self.outgoing.in_flight;
        in_flight.begin_attempt(target, id, self.outgoing.fingerprint)
    }

    /// Runs an attempt, and records its end at the moment at which it ends.
    fn run_attempt(
        &mut self,
        number: AttemptNumber,
        attempt: impl Future<Output = AttemptResult> + Send + 'static,
    ) {
        let in_flight = self.outgoing.in_flight.clone();
        self.running_attempts.push(Box::pin(async move {
            let result = attempt.await;
            in_flight.end_attempt(number, result.end());
            result
        }));
    }

    fn pick_relay(&self) -> Option<BoxRecord> {
        let (key, now) = (self.service.key(), wingspur_clock::now());
        let directory = self.shared.relays.directory.lock();
        directory.pick(key, &self.tried_relays, now, &mut rand::rng())
    }

    /// Leaves out servers that this box has not reached lately, if it reaches none.
    fn update_avoided(&mut self) {
        self.avoided = self.servers_tried();
        let path = self.service.path.lock();
        if !path.is_reachable() {
            self.avoided.extend(path.unreached(wingspur_clock::now()));
        }
    }

    fn start_attempt(&mut self, pick: Pick) {
        self.quarantine_permit = self.quarantine_permit.after_send();
        let connect_timeout = self.connect_timeout();
        let server = pick.server.key();
        let target = AttemptTarget::Server(server);
        let number = self.begin_attempt(target, &pick.server.id);
        self.avoided.push(server);
        self.resends.sent += 1;
        let id = self.outgoing.id.as_ref();
        let body_kind = self.body.as_ref().map_or("gone", SendBody::kind);
        log_pick(id, &pick, self.count_tried(), body_kind, self.remaining());
        let body = self.take_body();
        self.latest_attempt = Some((wingspur_clock::now(), pick.clone()));
        let attempt = UpstreamAttempt {
            shared: self.shared.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            pick,
            outgoing: self.outgoing.clone(),
            connect_timeout,
            number,
        };
        self.run_attempt(number, attempt.run(body));
    }

    /// Returns how long the next connection may take. A box that has just waited in vain
    /// waits less, because its own path may be at fault.
    fn connect_timeout(&self) -> Duration {
        let unsent = self.attempts().counts().unsent;
        match unsent == 0 && self.service.is_reachable() {
            true => FIRST_CONNECT_TIMEOUT,
            false => NEXT_CONNECT_TIMEOUT,
        }
    }

    fn pick_request(&self, now: Instant) -> PickRequest<'_> {
        let stats = &self.route.stats;
        PickRequest {
            // A failure of the last permitted attempt cannot be retried.
            retry_safe: self.is_retry_safe() && self.has_attempts_beyond_next(),
            typical_latency: stats.typical_latency(),
            cross_data_centre_cost: cross_data_centre_cost(
                self.body_bytes() + stats.response_bytes(),
            ),
            tried: &self.avoided,
            service_load: self.service.budget.lock().service_load(now),
        }
    }

    fn pick(&self) -> Option<Pick> {
        let now = wingspur_clock::now();
        let pick_request = self.pick_request(now);
        let balancer = self.service.balancer.lock();
        balancer.pick(&pick_request, now, &mut rand::rng())
    }

    /// Picks a server. A server with a rate limit is picked only after quota for it has
    /// been acquired.
    ///
    /// Each attempt at such a server acquires its own quota, resends included, so that
    /// all boxes together send no more than the server accepts. A draining server gets
    /// requests that the others cannot serve soon enough, as long as it still accepts
    /// some.
    async fn pick_within_quota(&mut self) -> Result<Pick, ResultCode> {
        let sampled = self
            .sample_rate_limited_servers()
            .into_iter()
            .take(MAX_SAMPLED_QUOTA_REQUESTS);
        if let Some(pick) = self.first_with_quota(sampled.collect()).await {
            return Ok(pick);
        }
        let pick = self.pick();
        if pick.as_ref().is_none_or(|pick| self.is_wait_long(pick))
            && let Some(draining) = self.pick_draining(pick.as_ref())
        {
            return Ok(draining);
        }
        match pick {
            Some(pick) => Ok(pick),
            None => self.wait_for_available_server().await,
        }
    }

    /// Whether the wait for a slot at the picked server is long enough to prefer a
    /// draining server.
    ///
    /// The threshold is the route's typical latency times one plus the priority. A lower
    /// number is a more urgent priority, so urgent requests have a shorter threshold.
    fn is_wait_long(&self, pick: &Pick) -> bool {
        let priority = f64::from(self.priority().min(MAX_PRIORITY_LEVEL));
        let typical_ms = self.route.stats.typical_latency().as_secs_f64() * 1000.0;
        pick.wait_ms > typical_ms * (1.0 + priority)
    }

    /// Picks a draining server that may still take the request, if its response is
    /// expected sooner than that of `other`.
    ///
    /// Returns `None` for a request that was sent before: it has had an attempt, and a
    /// resend would be new work for the draining server.
    fn pick_draining(&self, other: Option<&Pick>) -> Option<Pick> {
        if self.count_tried() > 0 {
            return None;
        }
        let now = wingspur_clock::now();
        let pick_request = self.pick_request(now);
        let balancer = self.service.balancer.lock();
        let draining = balancer.pick_draining(&pick_request, now, &mut rand::rng())?;
        let is_sooner = other.is_none_or(|pick| draining.expected_ms < pick.expected_ms);
        is_sooner.then_some(draining)
    }

    /// Waits briefly for quota or for the end of a backoff where all servers are
    /// rate-limited or back off.
    ///
    /// A short wait serves the caller better than a refusal. If nothing is expected to
    /// become available within [`MAX_QUOTA_WAIT`], or within a quarter of the remaining
    /// time if that is shorter, it fails at once.
    async fn wait_for_available_server(&mut self) -> Result<Pick, ResultCode> {
        let wait_until = wingspur_clock::now() + MAX_QUOTA_WAIT.min(self.remaining() / 4);
        loop {
            let limited = self.rate_limited_servers();
            let pause = if limited.is_empty() {
                // Spreads requests that wait for the end of the same backoff.
                let backoff = self.shortest_backoff().ok_or(ResultCode::NoServer)?;
                backoff + QUOTA_POLL_INTERVAL.mul_f64(rand::random())
            } else {
                self.quota_in = None;
                let candidates =
                    limited.iter().take(MAX_QUOTA_REQUESTS).cloned().collect();
                if let Some(pick) = self.first_with_quota(candidates).await {
                    return Ok(pick);
                }
                self.quota_in
                    .unwrap_or(QUOTA_POLL_INTERVAL)
                    .max(QUOTA_POLL_INTERVAL)
            };
            if wingspur_clock::now() + pause > wait_until {
                return Err(match limited.is_empty() {
                    true => ResultCode::ServersBackingOff,
                    false => ResultCode::ServersAtLimit,
                });
            }
            wingspur_clock::sleep(pause).await;
            if let Some(pick) = self.pick() {
                return Ok(pick);
            }
        }
    }

    /// Returns the time until the first backoff of a server ends; `None` if no server
    /// backs off.
    fn shortest_backoff(&self) -> Option<Duration> {
        let now = wingspur_clock::now();
        let pick_request = self.pick_request(now);
        let balancer = self.service.balancer.lock();
        balancer.shortest_backoff(&pick_request, now)
    }

    /// Acquires quota at the first of the given servers that has some left, and returns
    /// that server. Otherwise notes the shortest time until one should have quota again.
    async fn first_with_quota(&mut self, servers: Vec<Pick>) -> Option<Pick> {
        let priority = self.priority();
        for pick in servers {
            let id = id_text(self.outgoing.id.as_ref());
            match acquire_server_quota(&self.shared, id, &pick.server, priority).await {
                Ok(()) => return Some(pick),
                Err(None) => {}
                Err(Some(quota_in)) => {
                    let shortest =
                        self.quota_in.map_or(quota_in, |known| known.min(quota_in));
                    self.quota_in = Some(shortest);
                }
            }
        }
        None
    }

    /// Returns a sample of the rate-limited servers, to be asked for quota before any
    /// other server is picked.
    fn sample_rate_limited_servers(&self) -> Vec<Pick> {
        let now = wingspur_clock::now();
        let pick_request = self.pick_request(now);
        let balancer = self.service.balancer.lock();
        balancer.sample_rate_limited(&pick_request, now, &mut rand::rng())
    }

    /// Returns the rate-limited servers that the request may be sent to, the least likely
    /// to fail first.
    fn rate_limited_servers(&self) -> Vec<Pick> {
        let now = wingspur_clock::now();
        let pick_request = self.pick_request(now);
        let balancer = self.service.balancer.lock();
        balancer.rate_limited_by_failure_probability(&pick_request, now, &mut rand::rng())
    }

    /// Waits for the end of an attempt, the reply to a lease request, or the time to
    /// hedge.
    async fn next_event(&mut self) -> Event {
        let hedge_at = self.hedge_at();
        let hedge_lease = &mut self.hedge_lease;
        let leased = async {
            match hedge_lease {
                Some(hedge_lease) => Event::LeaseDecided(hedge_lease.await),
                None => futures_lite::future::pending().await,
            }
        };
        let ended = FirstEnded(&mut self.running_attempts);
        let ended = async { Event::AttemptEnded(ended.await) };
        let hedge = async {
            match hedge_at {
                Some(at) => wingspur_clock::sleep_until(at).await,
                None => futures_lite::future::pending().await,
            };
            Event::HedgeDue
        };
        ended.or(leased).or(hedge).await
    }

    fn record_failure(&self, failed: &FailedAttempt) {
        let Some(pick) = &failed.pick else {
            // An attempt through a relay logs its failure itself.
            return;
        };
        tracing::info!(
            id = id_text(self.outgoing.id.as_ref()),
            fingerprint = %self.outgoing.fingerprint,
            route = %self.route.route.name,
            server = %pick.server.id,
            in_flight = pick.in_flight,
            failure_share = round_for_log(pick.failure_probability),
            end = ?failed.end,
            reason = %failed.reason,
            left_ms = self.remaining().as_millis() as u64,
            "attempt: failed."
        );
    }

    /// Keeps the failure that tells the caller most: the latest one with a response from
    /// a server, or else the latest one.
    fn keep_failure(&mut self, failed: Box<FailedAttempt>) {
        let has_response = self
            .reported_failure
            .as_ref()
            .is_some_and(|failure| failure.response.is_some());
        if !has_response || failed.response.is_some() {
            self.reported_failure = Some(failed);
        }
    }

    fn give_up(&mut self, code: ResultCode) -> RequestError {
        if !self.was_idle_probe() && !self.is_relayed() {
            self.service
                .budget
                .lock()
                .count_failed_request(wingspur_clock::now());
        }
        let code = match code {
            // There are servers, but all that may get the request have refused it.
            ResultCode::NoServer if self.reported_failure.is_some() => {
                ResultCode::NotSent
            }
            code => code,
        };
        let code = self.outgoing.in_flight.final_code(code);
        let is_refusal = code.run_state() == ExecutionState::NotRun;
        let failure = self.reported_failure.take();
        let retry_after = failure.as_ref().and_then(|failure| failure.retry_after);
        let (id, remaining) = (self.outgoing.id.as_ref(), self.remaining());
        let counts = self.attempts().counts();
        log_give_up(id, code, &counts, remaining);
        RequestError {
            code,
            retry_after: is_refusal
                .then(|| retry_after.unwrap_or_else(|| self.schedule_retry_after(code))),
            upstream_response: failure.and_then(|failure| failure.response),
            is_unsent: self.attempts().is_unsent(),
        }
    }

    /// Whether the only attempt was an idle probe.
    fn was_idle_probe(&self) -> bool {
        let latest = self.latest_attempt.as_ref();
        self.count_tried() == 1 && latest.is_some_and(|(_, pick)| pick.probe.is_some())
    }

    /// Returns when the caller should send the request again: after its quarantine, or
    /// when the service is expected to have spare capacity for it.
    fn schedule_retry_after(&self, code: ResultCode) -> Duration {
        if let Some(after) = self.next_permit_in
            && code == ResultCode::Quarantined
        {
            return after;
        }
        let now = wingspur_clock::now();
        let pick_request = PickRequest {
            tried: &[],
            ..self.pick_request(now)
        };
        let boxes = self.service.budget.lock().boxes();
        let balancer = self.service.balancer.lock();
        let min_queue_wait = balancer.min_queue_wait(&pick_request, now);
        let capacity_per_s = balancer.capacity_per_s(pick_request.typical_latency, now);
        drop(balancer);
        let min_queue_wait = min_queue_wait
            .or(self.quota_in)
            .unwrap_or(NO_SERVER_RETRY_AFTER);
        let spare_per_s = spare_capacity_per_s(
            capacity_per_s,
            pick_request.service_load.requests_per_s,
            boxes,
        );
        let refused = self.refused_by_urgency.as_ref();
        let inputs = RetryAfterInputs {
            priority: self.priority(),
            min_queue_wait: refused.map_or(min_queue_wait, |refused| refused.room_in),
            spare_per_s: refused.map_or(spare_per_s, |refused| refused.room_per_s),
        };
        let mut queue = self.service.retry_after_queue.lock();
        let wait = queue.schedule(&inputs, now, &mut rand::rng());
        drop(queue);
        tracing::info!(
            id = id_text(self.outgoing.id.as_ref()),
            priority = inputs.priority,
            least_wait_ms = inputs.min_queue_wait.as_millis() as u64,
            spare_per_s = round_for_log(inputs.spare_per_s),
            boxes,
            wait_ms = wait.as_millis() as u64,
            "return: place promised."
        );
        wait
    }

    /// Returns the request's priority: the account's comes first, then the route's.
    fn priority(&self) -> Priority {
        let account = self.outgoing.admitted.account.as_ref();
        let account = account.map_or(0, |account| account.priority);
        priority_of(account, self.route.route.priority)
    }

    fn take_body(&mut self) -> SendBody {
        let body = self.body.take().unwrap_or(SendBody::empty());
        self.body = body.try_clone();
        body
    }

    /// Returns the length of the request's body in bytes, or its known lower bound.
    fn body_bytes(&self) -> u64 {
        let body = self.body.as_ref();
        body.map_or(0, |body| body.size_hint().lower())
    }

    fn can_resend_body(&self) -> bool {
        self.body.is_some()
    }

    fn is_retry_safe(&self) -> bool {
        self.route.route.class != RouteClass::OnceOnly
    }

    /// Whether the route permits another attempt after the next one.
    fn has_attempts_beyond_next(&self) -> bool {
        self.attempts_made() + 1 < self.max_attempts()
    }

    /// Returns the number of servers that the request was sent to, also by the box that
    /// has handed it over. A relay may have sent it to as many as are allowed.
    fn attempts_made(&self) -> usize {
        if self.attempts().is_relayed() {
            return self.max_attempts();
        }
        let before = self.origin.relayed().map_or(0, |from| from.attempts_made);
        self.count_tried() + usize::from(before)
    }

    /// Returns the number of servers that this box has sent the request to.
    fn count_tried(&self) -> usize {
        self.attempts().servers().count()
    }

    /// Returns the servers that this box has sent the request to.
    fn servers_tried(&self) -> Vec<ServerKey> {
        self.attempts().servers().collect()
    }

    fn attempts(&self) -> RankedMutexGuard<'_, AttemptLedger> {
        self.outgoing.in_flight.attempts()
    }

    fn max_attempts(&self) -> usize {
        usize::from(self.route.route.max_attempts)
    }

    /// Whether another box has handed the request over.
    fn is_relayed(&self) -> bool {
        self.origin.relayed().is_some()
    }

    fn remaining(&self) -> Duration {
        self.outgoing
            .deadline
            .saturating_duration_since(wingspur_clock::now())
    }
}

/// Resolves with the first of some attempts that ends, and removes it from the list.
struct FirstEnded<'a>(&'a mut Vec<AttemptFuture>);

impl Future for FirstEnded<'_> {
    type Output = AttemptResult;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<AttemptResult> {
        for index in 0..self.0.len() {
            if let Poll::Ready(result) = self.0[index].as_mut().poll(context) {
                drop(self.0.swap_remove(index));
                return Poll::Ready(result);
            }
        }
        Poll::Pending
    }
}

/// Returns the cost of sending a request to another data centre, where `bytes` is the
/// length of the request's and the response's body.
fn cross_data_centre_cost(bytes: u64) -> Duration {
    let kib = bytes as f64 / 1024.0;
    CROSS_DATA_CENTRE_BASE_COST + CROSS_DATA_CENTRE_COST_PER_KIB.mul_f64(kib)
}

/// How often a request that waits for a free slot checks again.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A connection within a region is established in milliseconds; a lost SYN packet is only
/// sent again after a second.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The round trip to the farthest region takes 60 ms.
const NEXT_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of servers that are tried for one request while nothing speaks for their being
/// reachable.
const MAX_ATTEMPTS_WITHOUT_PATH: u32 = 2;
/// Number of sampled rate-limited servers that a request asks for quota. Another server
/// takes the request if these have none.
const MAX_SAMPLED_QUOTA_REQUESTS: usize = 1;
/// Number of servers that are asked for quota in sequence where all servers are
/// rate-limited. Each takes some milliseconds, and the others are mostly known to have
/// none.
const MAX_QUOTA_REQUESTS: usize = 4;
/// Longest wait for quota or for the end of a backoff. If it would take longer, the
/// caller is told when to send the request again.
const MAX_QUOTA_WAIT: Duration = Duration::from_millis(300);
/// Shortest interval between two rounds of quota requests, and the range of the random
/// addition to the wait for a backoff.
const QUOTA_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Wait until a server is available that is assumed if neither a queue wait nor a time
/// until quota is known, as for a service without servers. Servers should be back or
/// announced within this time.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Fixed part of the cost of sending a request to another data centre, as a latency.
const CROSS_DATA_CENTRE_BASE_COST: Duration = Duration::from_millis(30);
/// Cost of each KiB of the request's and the response's body that is sent between data
/// centres, as a latency. Traffic between data centres is the most expensive resource.
const CROSS_DATA_CENTRE_COST_PER_KIB: Duration = Duration::from_millis(30);
