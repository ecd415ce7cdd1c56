//! What the log tells of one request: its route, its servers, and one outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use wingspur_protocol::ResultCode;
use wingspur_state::{BundleVersion, ClientAccount, Pick, RequestFingerprint};

use crate::active_bundle::ActiveRoute;
use crate::admission::Principal;
use crate::edge_state::EdgeState;
use crate::error_response::RESULT_HEADER;
use crate::in_flight_requests::InFlightGuard;
use crate::metrics::Metrics;
use crate::request_error::RequestError;

/// One request, from its head to its outcome.
///
/// A request that is dropped without one was left by its caller, or its task panicked.
pub struct RequestLog {
    metrics: Metrics,
    ticket: Arc<InFlightGuard>,
    id: String,
    began: Instant,
    routed: Option<Routed>,
    account: Option<Arc<ClientAccount>>,
    fingerprint: Option<RequestFingerprint>,
    told: bool,
}

/// Where a request goes.
struct Routed {
    route: Arc<ActiveRoute>,
    service: String,
    version: BundleVersion,
}

impl RequestLog {
    /// A request whose head has come.
    pub fn begin(id: Option<&HeaderValue>, shared: &EdgeState, began: Instant) -> Self {
        let id = id_text(id).to_owned();
        Self {
            metrics: shared.metrics.clone(),
            ticket: shared.in_flight.register(&id, began),
            id,
            began,
            routed: None,
            account: None,
            fingerprint: None,
            told: false,
        }
    }

    /// Notes the route, and the version of the bundle that it stands in.
    pub fn routed(
        &mut self,
        route: &Arc<ActiveRoute>,
        service: &str,
        version: BundleVersion,
    ) {
        self.ticket.routed(&route.route.name);
        self.routed = Some(Routed {
            route: route.clone(),
            service: service.to_owned(),
            version,
        });
    }

    /// Notes whom the request is counted for.
    pub fn admitted(&mut self, admitted: &Principal) {
        self.account = admitted.account.clone();
    }

    /// Notes what tells the request from any other.
    pub fn set_fingerprint(&mut self, fingerprint: RequestFingerprint) {
        self.fingerprint = Some(fingerprint);
    }

    /// The request's id as text.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The request's place among those that are not over.
    pub fn ticket(&self) -> &Arc<InFlightGuard> {
        &self.ticket
    }

    /// Tells that a server's answer is passed on; a long one may still break off.
    pub fn log_forwarded<B>(mut self, response: &Response<B>) {
        self.end("passed on", response.status(), None);
    }

    /// Tells that the box answers itself, or passes on the last server's failure.
    pub fn log_error<B>(mut self, given_up: &RequestError, response: &Response<B>) {
        let own = response.headers().contains_key(RESULT_HEADER);
        let outcome = if own { "refused" } else { "failure passed on" };
        self.end(outcome, response.status(), Some(given_up));
    }

    fn end(
        &mut self,
        outcome: &str,
        status: StatusCode,
        given_up: Option<&RequestError>,
    ) {
        self.told = true;
        let took = wingspur_clock::since(self.began);
        let (route, service, class, version) = self.labels();
        let code = given_up.map_or(0, |given_up| given_up.code.number());
        let result = given_up.map_or("", |given_up| given_up.code.name());
        let retry_after = given_up.and_then(|given_up| given_up.retry_after);
        let retry_after_ms = retry_after.unwrap_or_default().as_millis() as u64;
        self.metrics.count_answer(service, status, took);
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
            retry_after_ms,
            took_ms = took.as_millis() as u64,
            "request: {outcome}."
        );
    }

    fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// Empty for a request whose body never came.
    fn fingerprint_text(&self) -> String {
        let fingerprint = self.fingerprint.as_ref();
        fingerprint.map_or(String::new(), ToString::to_string)
    }

    fn labels(&self) -> (&str, &str, &'static str, BundleVersion) {
        let Some(routed) = &self.routed else {
            return ("", "", "", 0);
        };
        let declared = &routed.route.route;
        let class = declared.class.as_str();
        (&declared.name, &routed.service, class, routed.version)
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        let took_ms = wingspur_clock::since(self.began).as_millis() as u64;
        let (route, service, class, version) = self.labels();
        let reason = match std::thread::panicking() {
            true => "its task panicked",
            false => "its caller has gone",
        };
        self.metrics.client_disconnects.inc();
        tracing::info!(
            id = self.id,
            fingerprint = self.fingerprint_text(),
            route,
            service,
            class,
            account = self.account_name(),
            version,
            sent = self.ticket.was_sent(),
            server = self.ticket.server(),
            took_ms,
            "request: {reason}."
        );
    }
}

/// Tells which server a request is sent to, and why.
pub fn log_pick(id: Option<&HeaderValue>, pick: &Pick, attempt: usize, left: Duration) {
    tracing::info!(
        id = id_text(id),
        server = %pick.server.id,
        attempt,
        candidates = pick.candidates,
        drawn_among = pick.choice_set_size,
        in_flight = pick.in_flight,
        failure_share = round_for_log(pick.failure_probability),
        expected_ms = pick.expected_ms as u64,
        wait_ms = pick.wait_ms as u64,
        heard_ms = pick.last_report_age.map(|age| age.as_millis() as u64),
        left_ms = left.as_millis() as u64,
        "attempt: sent."
    );
}

/// Tells why a request ends without a good answer.
pub fn log_give_up(
    id: Option<&HeaderValue>,
    code: ResultCode,
    attempts: usize,
    in_doubt: bool,
    left: Duration,
) {
    tracing::info!(
        id = id_text(id),
        code = code.number(),
        result = code.name(),
        attempts,
        in_doubt,
        left_ms = left.as_millis() as u64,
        "request: given up."
    );
}

/// A request's id as text; empty where the caller gave none that can be shown.
pub fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or_default()
}

/// Three digits are enough for a share in a log line.
pub fn round_for_log(share: f64) -> f64 {
    (share * 1000.0).round() / 1000.0
}
