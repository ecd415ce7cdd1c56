//! Decides whether a server's response proves that the request did not run.

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use wingspur_protocol::{ExecutionState, HeaderNames, RESULT_HEADER, ResultCode};

use crate::{RefusalTiming, ResponseHead};

/// What the head of a response says about whether the request ran.
///
/// The head decides, and when it arrived: a refusal is a refusal, however long its body is
/// and whether or not the body ever arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEvidence {
    /// It is an ordinary response, which promises nothing.
    Ordinary,
    /// The server has refused the request before running it.
    NotRun,
    /// The request may have run, although callers would take the status, or the server's
    /// mark, to mean that it did not.
    Unproven(UnprovenReason),
}

/// Why a refusal does not prove that the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnprovenReason {
    /// The status is that of a refusal, but the server does not state that the request
    /// did not run.
    Unmarked,
    /// The response does not name the request, so it may belong to another one.
    Unnamed,
    /// The request got an error response on this connection before, of which the response
    /// may be a copy.
    PossibleCopy,
    /// The server states that the request did not run, in a response that is no error.
    Contradictory,
    /// The server may have refused the request because its deadline had passed. A worker
    /// of the server may have taken the request from the queue in the same moment.
    AtDeadline,
    /// The refusal came so late that the request may have waited in the server's queue,
    /// where a worker may have taken it in the same moment.
    Delayed,
}

/// A request as it was sent on a connection.
#[derive(Debug, Clone, Copy)]
pub struct SentRequest<'a> {
    /// Its id; `None` if the caller gave none.
    pub id: Option<&'a HeaderValue>,
    /// Whether it is the first one on its connection, so that no response on it can
    /// belong to an earlier request.
    pub is_first: bool,
    /// Whether it got an error response on its connection before, of which copies may
    /// arrive.
    pub is_repeated: bool,
}

/// To which request a response belongs, as far as can be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// To the request that was sent last on the connection.
    Own,
    /// To another request, which it names.
    Other,
    /// It names no request, or several, and the connection has carried others.
    Unnamed,
    /// To the request that was sent last, or to an earlier sending of it.
    PossibleCopy,
}

/// Whether servers name in each response the request that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseNaming {
    /// They do if the request has an id.
    Required,
    /// They need not.
    Optional,
}

impl Attribution {
    /// Determines to which request a response with these headers belongs. A response that
    /// names none where it need not must be the first on its connection.
    pub fn of_response(
        headers: &HeaderMap,
        id_header: &str,
        naming: ResponseNaming,
        request: SentRequest<'_>,
    ) -> Self {
        let may_be_unnamed = request.id.is_none() || naming == ResponseNaming::Optional;
        let mut named = headers.get_all(id_header).iter();
        match named.next() {
            None if may_be_unnamed && request.is_first => Self::Own,
            None => Self::Unnamed,
            Some(first) if Some(first) != request.id => Self::Other,
            Some(first) if named.any(|other| other != first) => Self::Unnamed,
            Some(_) if request.is_repeated => Self::PossibleCopy,
            Some(_) => Self::Own,
        }
    }

    /// Returns why a refusal that is attributed so proves nothing; `None` if it may.
    pub fn unproven_reason(self) -> Option<UnprovenReason> {
        match self {
            Self::Own => None,
            Self::Other | Self::Unnamed => Some(UnprovenReason::Unnamed),
            Self::PossibleCopy => Some(UnprovenReason::PossibleCopy),
        }
    }
}

/// What the operator has declared about the refusals of a service's servers.
#[derive(Debug, Clone, Copy)]
pub struct DeclaredRefusals<'a> {
    /// The statuses by which the servers refuse requests before running them.
    pub statuses: &'a [u16],
    /// Whether a request that is refused can be run by no worker, however long it has
    /// waited.
    pub are_atomic: bool,
}

impl RunEvidence {
    /// Returns the evidence as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordinary => "ordinary",
            Self::NotRun => "not_run",
            Self::Unproven(reason) => reason.as_str(),
        }
    }
}

/// Decides what a status says about whether the request ran, where the operator has
/// declared how the servers refuse requests.
pub fn declared_run_evidence(
    status: StatusCode,
    declared: DeclaredRefusals<'_>,
    attribution: Attribution,
    timing: RefusalTiming,
) -> RunEvidence {
    if declared.statuses.contains(&status.as_u16()) {
        if let Some(reason) = attribution.unproven_reason() {
            return RunEvidence::Unproven(reason);
        }
        match declared.are_atomic {
            true => RunEvidence::NotRun,
            false => refusal_evidence(status, timing),
        }
    } else if promises_not_run(status) {
        RunEvidence::Unproven(UnprovenReason::Unmarked)
    } else {
        RunEvidence::Ordinary
    }
}

impl ResponseHead {
    /// Whether the server, or the status, states that the request did not run.
    pub fn claims_refusal(&self, names: &HeaderNames) -> bool {
        self.is_marked(names) || promises_not_run(self.status)
    }

    /// Decides what this head, received in response to a request, says about whether the
    /// request ran.
    pub fn run_evidence(
        &self,
        names: &HeaderNames,
        request: SentRequest<'_>,
        timing: RefusalTiming,
    ) -> RunEvidence {
        if !self.claims_refusal(names) {
            return RunEvidence::Ordinary;
        }
        if let Some(reason) = self.attribution(names, request).unproven_reason() {
            return RunEvidence::Unproven(reason);
        }
        // Where requests name the server that they are for, every other server answers
        // 421 without running them.
        let is_other_server = self.status == StatusCode::MISDIRECTED_REQUEST
            && names.expected_server_id.is_some();
        let is_error = self.status.is_client_error() || self.status.is_server_error();
        match (self.is_marked(names) || is_other_server, is_error) {
            (true, true) => refusal_evidence(self.status, timing),
            (true, false) => RunEvidence::Unproven(UnprovenReason::Contradictory),
            (false, _) => RunEvidence::Unproven(UnprovenReason::Unmarked),
        }
    }

    /// Decides what this head, received from another box that has taken a request, says
    /// about whether the request ran. The other box has judged its server's refusals, so
    /// only a refusal of its own counts.
    pub fn relayed_run_evidence(
        &self,
        names: &HeaderNames,
        request: SentRequest<'_>,
    ) -> RunEvidence {
        if !promises_not_run(self.status) {
            return RunEvidence::Ordinary;
        }
        if let Some(reason) = self.attribution(names, request).unproven_reason() {
            return RunEvidence::Unproven(reason);
        }
        match self.result_code().map(ResultCode::run_state) {
            Some(ExecutionState::NotRun) => RunEvidence::NotRun,
            _ => RunEvidence::Unproven(UnprovenReason::Unmarked),
        }
    }

    /// Returns the result code of a response that a box itself has made; `None` for any
    /// other response.
    pub fn result_code(&self) -> Option<ResultCode> {
        let number = self.headers.get(RESULT_HEADER)?.to_str().ok()?;
        ResultCode::from_number(number.parse().ok()?)
    }

    /// Whether the server states in a header that it has not run the request.
    fn is_marked(&self, names: &HeaderNames) -> bool {
        let mark = names.not_executed;
        mark.is_some_and(|name| self.headers.contains_key(name))
    }

    /// Determines to which request this response belongs.
    pub fn attribution(
        &self,
        names: &HeaderNames,
        request: SentRequest<'_>,
    ) -> Attribution {
        let naming = ResponseNaming::Required;
        Attribution::of_response(&self.headers, names.request_id, naming, request)
    }
}

/// Decides what a server's statement proves that it has refused a request before running
/// it.
fn refusal_evidence(status: StatusCode, timing: RefusalTiming) -> RunEvidence {
    if !may_be_decided_late(status) {
        RunEvidence::NotRun
    } else if timing.may_be_due_to_deadline() {
        RunEvidence::Unproven(UnprovenReason::AtDeadline)
    } else if timing.is_prompt() {
        RunEvidence::NotRun
    } else {
        RunEvidence::Unproven(UnprovenReason::Delayed)
    }
}

/// Whether a server may refuse with this status what has waited. Other client errors are
/// about the request itself, and are found in its head.
fn may_be_decided_late(status: StatusCode) -> bool {
    status.is_server_error()
        || status == StatusCode::REQUEST_TIMEOUT
        || status == StatusCode::TOO_MANY_REQUESTS
}

/// Whether callers take a status to mean that the request did not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

impl UnprovenReason {
    /// Returns the reason as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unmarked => "unmarked",
            Self::Unnamed => "unnamed",
            Self::PossibleCopy => "possible_copy",
            Self::Contradictory => "contradictory",
            Self::AtDeadline => "at_deadline",
            Self::Delayed => "delayed",
        }
    }

    /// Whether the response may be to another sending than the latest one on its
    /// connection, whose own response may follow.
    pub fn is_ambiguous(self) -> bool {
        matches!(self, Self::Unnamed | Self::PossibleCopy)
    }

    /// Whether the server did refuse this request, so that the response is no sign of a
    /// fault.
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::AtDeadline | Self::Delayed)
    }

    /// Returns the result code for the caller of a request that is not sent again.
    pub fn result_code(self) -> ResultCode {
        match self {
            Self::AtDeadline => ResultCode::DeadlineAfterSend,
            Self::Delayed => ResultCode::DelayedRefusal,
            Self::Unmarked | Self::Unnamed | Self::PossibleCopy | Self::Contradictory => {
                ResultCode::ConnectionLostAfterSend
            }
        }
    }
}
