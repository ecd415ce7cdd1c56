//! The log lines of a request: the servers that it is sent to, and its outcome. Each
//! request has exactly one line with its outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use wingspur_protocol::{RESULT_HEADER, ResultCode};
use wingspur_state::{
    AttemptCounts, BoxId, BundleVersion, ClientAccount, Pick, RequestFingerprint,
};

use crate::catalog::active_bundle::ActiveRoute;
use crate::edge_state::EdgeState;
use crate::log_values::{id_text, round_for_log};
use crate::operation::metrics::Metrics;
use crate::proxy::admission::Principal;
use crate::proxy::in_flight_requests::InFlightGuard;
use crate::request_error::RequestError;

/// Collects what is logged of one request, from its head to its outcome.
///
/// A `RequestLog` that is dropped before an outcome was logged is logged as aborted by
/// the client or as ended by a panic of its task, and counted as a disconnect of the
/// client.
pub struct RequestLog {
    metrics: Metrics,
    in_flight: Arc<InFlightGuard>,
    id: String,
    began: Instant,
    routed: Option<RequestRoute>,
    account: Option<Arc<ClientAccount>>,
    fingerprint: Option<RequestFingerprint>,
    is_logged: bool,
    /// The box that handed the request over; `None` if it came from a caller.
    from_box: Option<BoxId>,
}

/// The route of a request, with what is logged of it.
struct RequestRoute {
    route: Arc<ActiveRoute>,
    service: String,
    version: BundleVersion,
}

impl RequestLog {
    /// Starts the log of a request whose head arrived at `began`, and registers the
    /// request as in flight. `from_box` is the box that handed it over; `None` if it came
    /// from a caller.
    pub fn begin(
        id: Option<&HeaderValue>,
        shared: &EdgeState,
        began: Instant,
        from_box: Option<BoxId>,
    ) -> Self {
        let id = id_text(id).to_owned();
        Self {
            metrics: shared.metrics.clone(),
            in_flight: shared.in_flight.register(&id, began, from_box.is_some()),
            id,
            began,
            routed: None,
            account: None,
            fingerprint: None,
            is_logged: false,
            from_box,
        }
    }

    /// Records the route and the service of the request, and the version of the bundle
    /// that defines them.
    pub fn routed(
        &mut self,
        route: &Arc<ActiveRoute>,
        service: &str,
        version: BundleVersion,
    ) {
        self.in_flight.record_route(&route.route.name);
        self.routed = Some(RequestRoute {
            route: route.clone(),
            service: service.to_owned(),
            version,
        });
    }

    /// Records the client account that the request is charged to, if there is one.
    pub fn admitted(&mut self, principal: &Principal) {
        self.account = principal.account.clone();
    }

    /// Records the fingerprint of the request.
    pub fn set_fingerprint(&mut self, fingerprint: RequestFingerprint) {
        self.fingerprint = Some(fingerprint);
    }

    /// Returns the id of the request as text; empty where the caller gave none that is
    /// printable.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the guard that keeps the request registered as in flight.
    pub fn in_flight(&self) -> &Arc<InFlightGuard> {
        &self.in_flight
    }

    /// Logs that the response of a server is passed on. A long one may still be
    /// interrupted later.
    pub fn log_forwarded<B>(mut self, response: &Response<B>) {
        self.log_outcome("passed on", response.status(), None);
    }

    /// Logs that the box responds with an error of its own, or passes on the error
    /// response of the last server.
    pub fn log_error<B>(mut self, error: &RequestError, response: &Response<B>) {
        let is_own_response = response.headers().contains_key(RESULT_HEADER);
        let outcome = if is_own_response {
            "refused"
        } else {
            "failure passed on"
        };
        self.log_outcome(outcome, response.status(), Some(error));
    }

    /// Logs and counts the outcome of the request; `error` is `None` where the response
    /// of a server is passed on as a success.
    fn log_outcome(
        &mut self,
        outcome: &str,
        status: StatusCode,
        error: Option<&RequestError>,
    ) {
        self.is_logged = true;
        let took = wingspur_clock::since(self.began);
        let (route, service, class, version) = self.labels();
        let code = error.map_or(0, |error| error.code.number());
        let result = error.map_or("", |error| error.code.name());
        let retry_after = error.and_then(|error| error.retry_after);
        let retry_after_ms = retry_after.unwrap_or_default().as_millis() as u64;
        match self.from_box {
            // The other box counts the request.
            Some(_) => self.metrics.count_relayed("taken", "answered"),
            None => self.metrics.count_answer(service, status, took),
        }
        let attempts = error.map(|_| self.in_flight.attempts_text(self.began));
        tracing::info!(
            id = self.id,
            fingerprint = self.fingerprint_text(),
            route,
            service,
            class,
            account = self.account_name(),
            version,
            status = status.as_u16(),
            code,
            result,
            attempts,
            retry_after_ms,
            from_box = self.from_box.as_deref(),
            took_ms = took.as_millis() as u64,
            "request: {outcome}."
        );
    }

    /// Returns the name of the client account; empty where there is none.
    fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// Returns the fingerprint as text; empty where it was not computed, since the body
    /// never arrived.
    fn fingerprint_text(&self) -> String {
        let fingerprint = self.fingerprint.as_ref();
        fingerprint.map_or(String::new(), ToString::to_string)
    }

    /// Returns the route, the service, the class and the bundle version; empty texts and
    /// 0 for a request without a route.
    fn labels(&self) -> (&str, &str, &'static str, BundleVersion) {
        let Some(routed) = &self.routed else {
            return ("", "", "", 0);
        };
        let route = &routed.route.route;
        let class = route.class.as_str();
        (&route.name, &routed.service, class, routed.version)
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.is_logged {
            return;
        }
        let took_ms = wingspur_clock::since(self.began).as_millis() as u64;
        let (route, service, class, version) = self.labels();
        let sent = self.in_flight.attempts().may_have_run();
        let reason = match std::thread::panicking() {
            true => "its task panicked",
            false => "its caller has gone",
        };
        match self.from_box {
            Some(_) => self.metrics.count_relayed("taken", "abandoned"),
            None => self.metrics.client_disconnects.inc(),
        }
        tracing::info!(
            id = self.id,
            fingerprint = self.fingerprint_text(),
            route,
            service,
            class,
            account = self.account_name(),
            version,
            sent,
            server = self.in_flight.server(),
            from_box = self.from_box.as_deref(),
            took_ms,
            "request: {reason}."
        );
    }
}

/// Logs which server a request is sent to, and the figures that the choice is based on.
/// `left` is the time left for the request, and `body_kind` how its body is held.
pub fn log_pick(
    id: Option<&HeaderValue>,
    pick: &Pick,
    attempt: usize,
    body_kind: &str,
    left: Duration,
) {
    let probe = pick.probe.as_ref();
    let position = probe.and_then(|probe| probe.position);
    tracing::info!(
        id = id_text(id),
        server = %pick.server.id,
        attempt,
        body = body_kind,
        candidates = pick.candidates,
        drawn_among = pick.choice_set_size,
        in_flight = pick.in_flight,
        failure_share = round_for_log(pick.failure_probability),
        refusal_share = round_for_log(pick.refusal_probability),
        unused_ms = pick.unused_for.as_millis() as u64,
        expected_ms = pick.expected_ms as u64,
        wait_ms = pick.wait_ms as u64,
        heard_ms = pick.last_report_age.map(|age| age.as_millis() as u64),
        probe_turn = probe.map(|probe| probe.turn),
        probe_idle_ms = probe.map(|probe| probe.idle_for.as_millis() as u64),
        resting_servers = probe.map(|probe| probe.resting as u64),
        box_index = position.map(|position| position.index),
        box_count = position.map(|position| position.count),
        left_ms = left.as_millis() as u64,
        "attempt: sent."
    );
}

/// Logs why a request ends without a successful response, and what its attempts prove;
/// `left` is the time that was left for it.
pub fn log_give_up(
    id: Option<&HeaderValue>,
    code: ResultCode,
    attempts: &AttemptCounts,
    left: Duration,
) {
    let AttemptCounts {
        unsent,
        refused,
        answered,
        ..
    } = *attempts;
    let in_doubt = attempts.sending + attempts.in_doubt;
    tracing::info!(
        id = id_text(id),
        code = code.number(),
        result = code.name(),
        attempts = refused + in_doubt + answered,
        unsent,
        refused,
        in_doubt,
        answered,
        left_ms = left.as_millis() as u64,
        "request: given up."
    );
}
