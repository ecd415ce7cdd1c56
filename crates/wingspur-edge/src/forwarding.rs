//! A request's way from the first attempt to its one outcome.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use hyper::body::Body;
use wingspur_protocol::ResultCode;
use wingspur_state::{
    AttemptEnd, BudgetDecision, HedgeInputs, Pick, PickRequest, Priority, ResendKind,
    RetryAfterInputs, RetryDecision, RetryReason, RouteClass, ServerKey, StopReason,
    decide_retry, hedge_delay, priority_of, server_key, spare_capacity_per_s,
};
use wingspur_transport::SendBody;

use crate::active_bundle::ActiveRoute;
use crate::attempt::{AttemptResult, FailedAttempt, UpstreamAttempt, UpstreamRequest};
use crate::edge_state::EdgeState;
use crate::quarantine::{is_quarantined, wait_for_send_permit};
use crate::quarantine_state::SendPermission;
use crate::request_error::RequestError;
use crate::request_log::{id_text, log_give_up, log_pick, round_for_log};
use crate::resend_lease_exchange::lease_resend;
use crate::resend_reservation::ResendReservation;
use crate::server_hints::{MAX_PRIORITY_LEVEL, acquire_server_quota};
use crate::services::ServiceState;
use crate::suspect_requests::{InterruptedAttempt, check_for_server_crash};

/// A request under way.
pub struct RequestForwarder {
    shared: Arc<EdgeState>,
    route: Arc<ActiveRoute>,
    service: Arc<ServiceState>,
    outgoing: Arc<UpstreamRequest>,
    /// The body, for as long as it can be sent.
    body: Option<SendBody>,
    /// Servers that were sent the request.
    tried: Vec<ServerKey>,
    /// Attempts that did not reach a server.
    unreached: u32,
    /// Whether a second attempt beside a slow one was found not to help.
    hedging_is_over: bool,
    /// Another box is asked for the resend that a second attempt needs.
    borrowing: Option<Borrowing>,
    running: Vec<Running>,
    /// When the last attempt began, and why at its server.
    begun: Option<(Instant, Pick)>,
    /// Whether an attempt that is over may have run.
    in_doubt: bool,
    /// What the caller is told if nothing better comes.
    last: Option<Box<FailedAttempt>>,
    /// Whether a request in quarantine may be sent once more.
    permit: Permit,
    /// When a request in quarantine may be let through again.
    quarantined_for: Option<Duration>,
    /// When a server with a limit should have a place, where all servers have limits.
    place_in: Option<Duration>,
    /// Dropped after the attempts, so that none goes out once they are counted as arrived.
    resends: ResendReservation,
}

type Borrowing = Pin<Box<dyn Future<Output = bool> + Send>>;
type Running = Pin<Box<dyn Future<Output = AttemptResult> + Send>>;

/// Whether a request in quarantine may be sent: each permit is for one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Permit {
    None,
    /// It may be sent.
    Held,
    /// It was sent, and counts unless it turns out to have reached nobody.
    Used,
}

impl Permit {
    fn used(self) -> Self {
        match self {
            Self::Held => Self::Used,
            Self::None | Self::Used => Self::None,
        }
    }

    fn given_back(self) -> Self {
        match self {
            Self::Used => Self::Held,
            Self::None | Self::Held => self,
        }
    }
}

/// What happened next.
enum Event {
    Ended(AttemptResult),
    TimeToHedge,
    /// Whether another box has lent what a second attempt needs.
    Lent(bool),
}

impl RequestForwarder {
    /// A request that has not been sent yet.
    pub fn new(
        shared: Arc<EdgeState>,
        route: Arc<ActiveRoute>,
        service: Arc<ServiceState>,
        outgoing: UpstreamRequest,
        body: SendBody,
    ) -> Self {
        Self {
            resends: ResendReservation::new(service.clone()),
            shared,
            route,
            service,
            outgoing: Arc::new(outgoing),
            body: Some(body),
            tried: Vec::new(),
            unreached: 0,
            hedging_is_over: false,
            borrowing: None,
            running: Vec::new(),
            begun: None,
            in_doubt: false,
            last: None,
            permit: Permit::None,
            quarantined_for: None,
            place_in: None,
        }
    }

    /// Tries servers until one answers, the rules forbid more, or time is up.
    pub async fn run(mut self) -> Result<AttemptResult, RequestError> {
        self.service
            .budget
            .lock()
            .count_request(wingspur_clock::now());
        if let Err(code) = self.send_first().await {
            return Err(self.give_up(code));
        }
        loop {
            let mut failed = match self.next_event().await {
                Event::TimeToHedge => {
                    self.hedge();
                    continue;
                }
                Event::Lent(lent) => {
                    self.hedge_if_lent(lent);
                    continue;
                }
                Event::Ended(AttemptResult::Failed(failed)) => failed,
                Event::Ended(answered) => {
                    self.resends.answered += 1;
                    return Ok(answered);
                }
            };
            self.resends.answered += u32::from(failed.reached_server());
            self.note_failure(&failed);
            self.look_for_server(failed.interrupted.take()).await;
            let (code, end, server) = (failed.code, failed.end, failed.pick.server.key());
            self.keep_worst(failed);
            if end == AttemptEnd::NotSent {
                // It has reached nobody: neither an attempt nor a resend.
                self.tried.retain(|tried| *tried != server);
                self.unreached += 1;
                self.resends.sent -= 1;
                self.resends.release_unsent();
                self.permit = self.permit.given_back();
            }
            if !self.running.is_empty() {
                continue;
            }
            if let Err(code) = self.resend(end, code).await {
                return Err(self.give_up(code));
            }
        }
    }

    async fn send_first(&mut self) -> Result<(), ResultCode> {
        self.wait_for_permission().await?;
        self.send_next().await
    }

    /// Waits until the request may be sent, where servers have ended under it.
    async fn wait_for_permission(&mut self) -> Result<(), ResultCode> {
        if !self.needs_permit() {
            return Ok(());
        }
        self.wait_for_slot().await?;
        let id = id_text(self.outgoing.id.as_ref());
        let request = self.outgoing.fingerprint;
        let limit = self.outgoing.deadline;
        match wait_for_send_permit(&self.shared, id, request, limit).await {
            SendPermission::Free => Ok(()),
            SendPermission::Once => {
                self.permit = Permit::Held;
                Ok(())
            }
            SendPermission::Refused(after) => {
                self.quarantined_for = Some(after);
                Err(ResultCode::Quarantined)
            }
        }
    }

    /// Waits until a server has a slot free: a permit is lost on one that refuses, and a
    /// request that waits in a queue is out there when another ends the server.
    async fn wait_for_slot(&mut self) -> Result<(), ResultCode> {
        loop {
            let pick = self
                .pick()
                .or_else(|| self.limited_servers().into_iter().next());
            let pick = pick.ok_or_else(|| match self.soonest_back() {
                Some(_) => ResultCode::ServersBackingOff,
                None => ResultCode::NoServer,
            })?;
            if pick.wait_ms < 1.0 {
                return Ok(());
            }
            if self.remaining() < SLOT_CHECK {
                return Err(ResultCode::DeadlineBeforeSend);
            }
            wingspur_clock::sleep(SLOT_CHECK).await;
        }
    }

    fn needs_permit(&self) -> bool {
        let request = self.outgoing.fingerprint;
        self.permit != Permit::Held && is_quarantined(&self.shared, request)
    }

    /// Looks whether the server has ended under an attempt that broke off. A request that
    /// may be sent again waits for that: it must not end the next one unseen.
    async fn look_for_server(&mut self, broken: Option<InterruptedAttempt>) {
        let Some(broken) = broken else { return };
        if self.is_repeatable() {
            return check_for_server_crash(&self.shared, &broken).await;
        }
        let shared = self.shared.clone();
        let spawner = shared.spawner.clone();
        spawner.detach(async move { check_for_server_crash(&shared, &broken).await });
    }

    /// Starts an attempt at the best server.
    async fn send_next(&mut self) -> Result<(), ResultCode> {
        if self.remaining().is_zero() {
            return Err(ResultCode::DeadlineBeforeSend);
        }
        let admitted = &self.outgoing.admitted;
        if admitted.account_now(&self.shared, &self.route).is_err() {
            return Err(ResultCode::UnknownKey);
        }
        let pick = self.pick_within_limits().await?;
        let left_ms = self.remaining().as_secs_f64() * 1000.0;
        if pick.wait_ms > left_ms {
            return Err(ResultCode::DeadlineBeforeSend);
        }
        self.start(pick);
        Ok(())
    }

    fn start(&mut self, pick: Pick) {
        self.permit = self.permit.used();
        self.tried.push(pick.server.key());
        self.resends.sent += 1;
        let id = self.outgoing.id.as_ref();
        log_pick(id, &pick, self.tried.len(), self.remaining());
        let ticket = &self.outgoing.ticket;
        ticket.sent(&pick.server.id, self.outgoing.fingerprint);
        let body = self.take_body();
        self.begun = Some((wingspur_clock::now(), pick.clone()));
        let plan = UpstreamAttempt {
            shared: self.shared.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            pick,
            outgoing: self.outgoing.clone(),
        };
        self.running.push(Box::pin(plan.run(body)));
    }

    fn want(&self, now: Instant) -> PickRequest<'_> {
        let learned = &self.route.stats;
        PickRequest {
            // The last attempt is as good as the only one: a failure is lost.
            retry_safe: self.is_repeatable() && self.has_attempts_beyond_next(),
            typical_latency: learned.typical_latency(),
            cross_data_centre_cost: crossing_cost(
                self.body_bytes() + learned.answer_bytes(),
            ),
            tried: &self.tried,
            service_load: self.service.budget.lock().service_load(now),
        }
    }

    fn pick(&self) -> Option<Pick> {
        let now = wingspur_clock::now();
        let want = self.want(now);
        let balancer = self.service.balancer.lock();
        balancer.pick(&want, now, &mut rand::rng())
    }

    /// Picks a server; one that has named a limit only once that has a place.
    ///
    /// Each request to such a server has a place of its own, also when it is sent again, so
    /// that all boxes together send what the server takes. A server that leaves gets what
    /// the others cannot carry, while it may.
    async fn pick_within_limits(&mut self) -> Result<Pick, ResultCode> {
        let due = self.due_servers().into_iter().take(MOST_DUE_ASKED);
        if let Some(pick) = self.first_with_place(due.collect()).await {
            return Ok(pick);
        }
        let pick = self.pick();
        if pick.as_ref().is_none_or(|pick| self.waits_long(pick))
            && let Some(leaving) = self.pick_leaving(pick.as_ref())
        {
            return Ok(leaving);
        }
        match pick {
            Some(pick) => Ok(pick),
            None => self.wait_for_place().await,
        }
    }

    /// Whether a pick's wait for a slot is worth a server that leaves: the more urgent the
    /// request, the shorter.
    fn waits_long(&self, pick: &Pick) -> bool {
        let rank = f64::from(self.rank().min(MAX_PRIORITY_LEVEL));
        let typical_ms = self.route.stats.typical_latency().as_secs_f64() * 1000.0;
        pick.wait_ms > typical_ms * (1.0 + rank)
    }

    /// A server that leaves and may still take the request, if it answers sooner than the
    /// other pick. A request that was sent before has had its chance: to a server that leaves
    /// it is new work.
    fn pick_leaving(&self, other: Option<&Pick>) -> Option<Pick> {
        if !self.tried.is_empty() {
            return None;
        }
        let now = wingspur_clock::now();
        let want = self.want(now);
        let balancer = self.service.balancer.lock();
        let leaving = balancer.pick_draining(&want, now, &mut rand::rng())?;
        let is_sooner = other.is_none_or(|pick| leaving.expected_ms < pick.expected_ms);
        is_sooner.then_some(leaving)
    }

    /// Waits a little where all servers have limits or rest: what comes soon is worth more
    /// than a refusal, and what does not come soon is refused at once.
    async fn wait_for_place(&mut self) -> Result<Pick, ResultCode> {
        let until = wingspur_clock::now() + MOST_PLACE_WAIT.min(self.remaining() / 4);
        loop {
            let limited = self.limited_servers();
            let pause = if limited.is_empty() {
                // Those that wait for the same moment do not all go at once.
                let back_in = self.soonest_back().ok_or(ResultCode::NoServer)?;
                back_in + PLACE_CHECK.mul_f64(rand::random())
            } else {
                self.place_in = None;
                let asked = limited.iter().take(MOST_LIMITED_ASKED).cloned().collect();
                if let Some(pick) = self.first_with_place(asked).await {
                    return Ok(pick);
                }
                self.place_in.unwrap_or(PLACE_CHECK).max(PLACE_CHECK)
            };
            if wingspur_clock::now() + pause > until {
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

    /// When the first server that rests may take the request.
    fn soonest_back(&self) -> Option<Duration> {
        let now = wingspur_clock::now();
        let want = self.want(now);
        let balancer = self.service.balancer.lock();
        balancer.shortest_backoff(&want, now)
    }

    /// The first of some servers whose limit has a place for this request.
    async fn first_with_place(&mut self, servers: Vec<Pick>) -> Option<Pick> {
        let rank = self.rank();
        for pick in servers {
            let id = id_text(self.outgoing.id.as_ref());
            match acquire_server_quota(&self.shared, id, &pick.server, rank).await {
                Ok(()) => return Some(pick),
                Err(None) => {}
                Err(Some(more_in)) => {
                    let soonest =
                        self.place_in.map_or(more_in, |known| known.min(more_in));
                    self.place_in = Some(soonest);
                }
            }
        }
        None
    }

    /// The servers with limits that this request is to ask first.
    fn due_servers(&self) -> Vec<Pick> {
        let now = wingspur_clock::now();
        let want = self.want(now);
        let balancer = self.service.balancer.lock();
        balancer.sample_rate_limited(&want, now, &mut rand::rng())
    }

    /// All servers with limits that it may be sent to.
    fn limited_servers(&self) -> Vec<Pick> {
        let now = wingspur_clock::now();
        let want = self.want(now);
        let balancer = self.service.balancer.lock();
        balancer.rate_limited_by_failure_probability(&want, now, &mut rand::rng())
    }

    /// Waits for the first of the running attempts, or for the time to hedge.
    async fn next_event(&mut self) -> Event {
        let hedge_at = self.hedge_at();
        let borrowing = &mut self.borrowing;
        let lent = async {
            match borrowing {
                Some(borrowing) => Event::Lent(borrowing.await),
                None => futures_lite::future::pending().await,
            }
        };
        let ended = Any(&mut self.running);
        let ended = async { Event::Ended(ended.await) };
        let hedge = async {
            match hedge_at {
                Some(at) => wingspur_clock::sleep_until(at).await,
                None => futures_lite::future::pending().await,
            };
            Event::TimeToHedge
        };
        ended.or(lent).or(hedge).await
    }

    /// When a second attempt is sent, if the first is silent until then.
    fn hedge_at(&self) -> Option<Instant> {
        let (began, first) = self.begun.as_ref().filter(|_| self.may_hedge())?;
        let spent_share = self.spent_share();
        let target = Duration::from_millis(self.route.route.target_latency_ms);
        let on_target_until = self.outgoing.arrived + target;
        let after = hedge_delay(&HedgeInputs {
            failure_probability: first.failure_probability,
            expected: Duration::from_secs_f64(first.healthy_ms / 1000.0),
            service_time: self.route.stats.service_time(),
            time_to_latency_target: on_target_until.saturating_duration_since(*began),
            budget_used_ratio: spent_share,
        });
        Some(*began + after)
    }

    /// The share of the retry budget that is spent, over as many boxes as this one hears of.
    fn spent_share(&self) -> f64 {
        let hub = self.shared.links.lock().own_hub();
        let service = server_key(&self.service.name);
        let told = hub.and_then(|hub| {
            let loans = self.shared.resend_leases.lock();
            loans.spent_share(hub, service)
        });
        told.unwrap_or_else(|| {
            let answer = self.ask_budget(ResendKind::Hedge);
            f64::from(answer.spent) / answer.limit().max(1.0)
        })
    }

    /// What this box's own part of the retry budget says now.
    fn ask_budget(&self, use_: ResendKind) -> BudgetDecision {
        let standing = self.shared.fleet_membership();
        let mut budget = self.service.budget.lock();
        budget.check(use_, standing, wingspur_clock::now())
    }

    /// Starts a second attempt beside one that takes long, if that is likely to help, and
    /// asks another box for the resend that it needs if this one has none left.
    fn hedge(&mut self) {
        let budget = self.take_resend(ResendKind::Hedge);
        if budget.allowed {
            return self.hedge_within(&budget);
        }
        let (shared, service) = (self.shared.clone(), self.service.clone());
        self.borrowing = Some(Box::pin(async move {
            lease_resend(&shared, &service, ResendKind::Hedge).await
        }));
    }

    fn hedge_if_lent(&mut self, lent: bool) {
        self.borrowing = None;
        if !self.may_hedge() {
            // The first one has ended meanwhile. What was lent ends by itself.
            return;
        }
        let mut budget = self.ask_budget(ResendKind::Hedge);
        budget.allowed = lent;
        if lent {
            self.resends.record_borrowed();
        }
        self.hedge_within(&budget);
    }

    fn hedge_within(&mut self, budget: &BudgetDecision) {
        let left_ms = self.remaining().as_secs_f64() * 1000.0;
        let pick = if budget.allowed { self.pick() } else { None };
        let hedged = pick.filter(|pick| pick.expected_ms < left_ms);
        let Some(pick) = hedged else {
            let reason = if budget.allowed {
                "no_server_in_time"
            } else {
                "budget_spent"
            };
            self.resends.release_unsent();
            self.shared.metrics.count_unhedged(reason);
            self.log_decision("not hedged", reason, self.tried.len(), budget);
            // Once is enough: what does not help now will not help later.
            self.hedging_is_over = true;
            return;
        };
        self.log_decision("hedged", "silent", self.tried.len(), budget);
        self.shared.metrics.hedges.inc();
        self.start(pick);
    }

    fn may_hedge(&self) -> bool {
        self.is_repeatable()
            && !self.hedging_is_over
            && self.borrowing.is_none()
            && self.running.len() == 1
            && self.can_send_again()
            && self.tried.len() < usize::from(self.route.route.max_attempts)
            && !self.needs_permit()
    }

    /// Sends the request again if it may be, and counts that; else tells what to say.
    async fn resend(
        &mut self,
        end: AttemptEnd,
        code: ResultCode,
    ) -> Result<(), ResultCode> {
        if end == AttemptEnd::NotSent {
            let may = self.unreached < MOST_UNREACHED && self.can_send_again();
            if !may {
                return Err(code);
            }
            if self.resends.sent == 0 && code != ResultCode::UnknownKey {
                // The next one will be the first that reaches a server.
                return self.send_first().await;
            }
        }
        if self.needs_permit() {
            let figures = self.ask_budget(ResendKind::AfterFailure);
            return self.stop(StopReason::Quarantined, &figures, code);
        }
        match self.decide(end, true) {
            RetryDecision::Retry(reason) => {
                self.resend_in_budget(reason, end, code).await
            }
            RetryDecision::Stop(reason) => {
                let figures = self.ask_budget(ResendKind::AfterFailure);
                self.stop(reason, &figures, code)
            }
        }
    }

    /// Sends the request again if the budget has room: nothing else forbids it.
    async fn resend_in_budget(
        &mut self,
        reason: RetryReason,
        end: AttemptEnd,
        code: ResultCode,
    ) -> Result<(), ResultCode> {
        let tried = self.tried.len();
        let mut budget = self.take_resend(ResendKind::AfterFailure);
        if !budget.allowed {
            let lent =
                lease_resend(&self.shared, &self.service, ResendKind::AfterFailure);
            budget.allowed = lent.await;
            if budget.allowed {
                self.resends.record_borrowed();
            }
        }
        if !budget.allowed {
            let RetryDecision::Stop(reason) = self.decide(end, false) else {
                return Err(code);
            };
            return self.stop(reason, &budget, code);
        }
        if let Err(code) = self.send_next().await {
            self.resends.release_unsent();
            self.log_decision("not sent again", code.name(), tried, &budget);
            return Err(code);
        }
        self.shared.metrics.count_retry(reason);
        self.log_decision("sent again", reason.as_str(), tried, &budget);
        Ok(())
    }

    fn stop(
        &self,
        reason: StopReason,
        budget: &BudgetDecision,
        code: ResultCode,
    ) -> Result<(), ResultCode> {
        self.shared.metrics.count_retry_stop(reason);
        self.log_decision("not sent again", reason.as_str(), self.tried.len(), budget);
        Err(code)
    }

    fn decide(&self, end: AttemptEnd, in_budget: bool) -> RetryDecision {
        decide_retry(
            end,
            self.route.route.class,
            self.route.route.max_attempts,
            self.remaining(),
            self.tried.len(),
            self.can_send_again(),
            in_budget,
        )
    }

    fn log_decision(
        &self,
        outcome: &str,
        reason: &str,
        tried: usize,
        budget: &BudgetDecision,
    ) {
        tracing::info!(
            id = id_text(self.outgoing.id.as_ref()),
            reason,
            tried,
            spent = budget.spent,
            limit = round_for_log(budget.limit()),
            credit = round_for_log(budget.credit),
            slack = round_for_log(budget.slack),
            boxes = budget.membership.boxes,
            contact = budget.membership.state.as_str(),
            left_ms = self.remaining().as_millis() as u64,
            "retry: {outcome}."
        );
    }

    /// Takes one more resend from the budget, if it is allowed.
    fn take_resend(&mut self, use_: ResendKind) -> BudgetDecision {
        let standing = self.shared.fleet_membership();
        self.resends.try_reserve(use_, standing)
    }

    fn note_failure(&mut self, failed: &FailedAttempt) {
        self.in_doubt |= !failed.end.surely_not_run();
        tracing::info!(
            id = id_text(self.outgoing.id.as_ref()),
            fingerprint = %self.outgoing.fingerprint,
            route = %self.route.route.name,
            server = %failed.pick.server.id,
            in_flight = failed.pick.in_flight,
            failure_share = round_for_log(failed.pick.failure_probability),
            end = ?failed.end,
            reason = %failed.reason,
            left_ms = self.remaining().as_millis() as u64,
            "attempt: failed."
        );
    }

    /// Keeps what tells the caller most: a server's own answer before none.
    fn keep_worst(&mut self, failed: Box<FailedAttempt>) {
        let keeps = self.last.as_ref().is_some_and(|last| last.answer.is_some());
        if !keeps || failed.answer.is_some() {
            self.last = Some(failed);
        }
    }

    fn give_up(&mut self, code: ResultCode) -> RequestError {
        if !self.was_floor_try() {
            self.service
                .budget
                .lock()
                .count_failed_request(wingspur_clock::now());
        }
        let code = match code {
            ResultCode::DeadlineAfterSend | ResultCode::ConnectionLostAfterSend => code,
            ResultCode::DeadlineBeforeSend if self.in_doubt => {
                ResultCode::DeadlineAfterSend
            }
            _ if self.in_doubt => ResultCode::ConnectionLostAfterSend,
            // There were servers: all that may be asked have refused.
            ResultCode::NoServer if self.last.is_some() => ResultCode::NotSent,
            code => code,
        };
        let answer = self.last.take().and_then(|last| last.answer);
        let not_run = !self.in_doubt;
        let (id, left) = (self.outgoing.id.as_ref(), self.remaining());
        log_give_up(id, code, self.tried.len(), self.in_doubt, left);
        RequestError {
            code,
            retry_after: not_run.then(|| self.come_back(code)),
            upstream_response: answer,
        }
    }

    /// Whether its only attempt tried an unused server.
    fn was_floor_try(&self) -> bool {
        let begun = self.begun.as_ref();
        self.tried.len() == 1 && begun.is_some_and(|(_, pick)| pick.is_idle_probe)
    }

    /// A place in the capacity to come.
    fn come_back(&self, code: ResultCode) -> Duration {
        if let Some(after) = self.quarantined_for
            && code == ResultCode::Quarantined
        {
            return after;
        }
        let now = wingspur_clock::now();
        let want = PickRequest {
            tried: &[],
            ..self.want(now)
        };
        let boxes = self.service.budget.lock().boxes();
        let balancer = self.service.balancer.lock();
        let least_wait = balancer.min_queue_wait(&want, now);
        let capacity_per_s = balancer.capacity_per_s(want.typical_latency, now);
        drop(balancer);
        let inputs = RetryAfterInputs {
            priority: self.rank(),
            min_queue_wait: least_wait.or(self.place_in).unwrap_or(NO_SERVER_COME_BACK),
            spare_per_s: spare_capacity_per_s(
                capacity_per_s,
                want.service_load.requests_per_s,
                boxes,
            ),
        };
        let mut returns = self.service.retry_after_queue.lock();
        let wait = returns.schedule(&inputs, now, &mut rand::rng());
        drop(returns);
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

    /// The rank of the request: its account's goes before its route's.
    fn rank(&self) -> Priority {
        let account = self.outgoing.admitted.account.as_ref();
        let account = account.map_or(0, |account| account.priority);
        priority_of(account, self.route.route.priority)
    }

    fn take_body(&mut self) -> SendBody {
        let body = self.body.take().unwrap_or(SendBody::empty());
        self.body = body.try_clone();
        body
    }

    /// The length of the request's body, as far as it is known.
    fn body_bytes(&self) -> u64 {
        let body = self.body.as_ref();
        body.map_or(0, |body| body.size_hint().lower())
    }

    fn can_send_again(&self) -> bool {
        self.body.is_some()
    }

    fn is_repeatable(&self) -> bool {
        self.route.route.class != RouteClass::OnceOnly
    }

    /// Whether the request may go to more servers than one.
    fn has_attempts_beyond_next(&self) -> bool {
        self.tried.len() + 1 < usize::from(self.route.route.max_attempts)
    }

    fn remaining(&self) -> Duration {
        self.outgoing
            .deadline
            .saturating_duration_since(wingspur_clock::now())
    }
}

/// Waits for the first of some futures and takes it out.
struct Any<'a>(&'a mut Vec<Running>);

impl Future for Any<'_> {
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

/// What it costs to fetch an answer of so many bytes from another data centre.
fn crossing_cost(bytes: u64) -> Duration {
    let kilobytes = bytes as f64 / 1024.0;
    CROSSING_LEAST + CROSSING_PER_KB.mul_f64(kilobytes)
}

/// How soon a request that waits for a free slot looks again.
const SLOT_CHECK: Duration = Duration::from_millis(25);
/// Servers that may turn out unreachable for one request: a box that is cut off from half
/// of them fails one request in 256.
const MOST_UNREACHED: u32 = 8;
/// Another server takes the request if these have no place for it.
const MOST_DUE_ASKED: usize = 1;
/// Where all servers have limits, so many are asked for a place in a row, some milliseconds
/// each; the others are mostly known to have none.
const MOST_LIMITED_ASKED: usize = 4;
/// A place, or the end of a rest, that is this far off is named to the caller as the time to
/// come back.
const MOST_PLACE_WAIT: Duration = Duration::from_millis(300);
const PLACE_CHECK: Duration = Duration::from_millis(50);
/// Servers of a service without any should be back, or announced, within this.
const NO_SERVER_COME_BACK: Duration = Duration::from_millis(500);
/// What a request that crosses to another data centre is charged, and more for each
/// kilobyte of the request's and the answer's body: bytes between data centres are the
/// dearest of the prices.
const CROSSING_LEAST: Duration = Duration::from_millis(30);
const CROSSING_PER_KB: Duration = Duration::from_millis(30);
