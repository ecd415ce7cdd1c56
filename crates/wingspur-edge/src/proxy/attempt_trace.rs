//! What is logged of the attempts of a request in the line with its outcome.

use std::fmt::Write;
use std::time::Instant;

use hyper::StatusCode;
use wingspur_state::{AttemptEnd, AttemptNumber};
use wingspur_transport::{ConnectionUse, ResponseArrival, RunEvidence, ServerDeadline};

/// The attempts of one request, in the order in which they began.
#[derive(Debug, Default)]
pub struct AttemptTraces(Vec<AttemptTrace>);

/// One attempt, as far as it has come.
#[derive(Debug)]
struct AttemptTrace {
    /// Id of the server or of the relay.
    target: String,
    /// When the request was sent, and the time that the target was given.
    sent: Option<ServerDeadline>,
    connection: Option<ConnectionUse>,
    refusal: Option<RefusalTrace>,
    end: Option<AttemptEnd>,
}

/// A refusal as it was received, and what it proves.
#[derive(Debug, Clone, Copy)]
pub struct RefusalTrace {
    /// The status.
    pub status: StatusCode,
    /// When it arrived.
    pub arrival: ResponseArrival,
    /// When it was read.
    pub read_at: Instant,
    /// What it proves about whether the request ran.
    pub evidence: RunEvidence,
}

/// Why a request comes again to an address where it has failed on an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepetitionCause {
    /// The caller has sent a request with the same id before.
    Caller,
    /// An earlier attempt of the request was at the same address.
    Resend,
    /// Other boxes have relayed a request with the same id before.
    Relayed,
}

impl RepetitionCause {
    /// Returns the cause as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Resend => "resend",
            Self::Relayed => "relayed",
        }
    }
}

impl AttemptTraces {
    /// Records that an attempt begins at the server, or at the relay, with this id.
    /// Returns its number.
    pub fn begin(&mut self, target: &str) -> AttemptNumber {
        self.0.push(AttemptTrace {
            target: target.to_owned(),
            sent: None,
            connection: None,
            refusal: None,
            end: None,
        });
        self.0.len() - 1
    }

    /// Records that the request is sent, with this deadline.
    pub fn record_sent(&mut self, attempt: AttemptNumber, deadline: ServerDeadline) {
        self.0[attempt].sent = Some(deadline);
    }

    /// Records the connection that an attempt uses, and returns why the request comes to
    /// its address again; `None` if no connection to it has failed the request before.
    ///
    /// A request is sent again if an earlier attempt had the same address. Otherwise the
    /// caller, or several boxes that relay the request, repeat its id.
    pub fn record_connection(
        &mut self,
        attempt: AttemptNumber,
        connection: ConnectionUse,
        is_relayed: bool,
    ) -> Option<RepetitionCause> {
        let is_resend = self.0.iter().any(|earlier| {
            let used = earlier.connection.as_ref();
            used.is_some_and(|used| used.address == connection.address)
        });
        self.0[attempt].connection = Some(connection);
        let has_failed = connection.is_repeated || connection.avoided > 0;
        has_failed.then_some(match is_resend {
            true => RepetitionCause::Resend,
            false if is_relayed => RepetitionCause::Relayed,
            false => RepetitionCause::Caller,
        })
    }

    /// Records that a refusal was read. The last one of an attempt counts.
    pub fn record_refusal(&mut self, attempt: AttemptNumber, refusal: RefusalTrace) {
        self.0[attempt].refusal = Some(refusal);
    }

    /// Records how an attempt ended.
    pub fn record_end(&mut self, attempt: AttemptNumber, end: AttemptEnd) {
        self.0[attempt].end = Some(end);
    }

    /// Describes all attempts as the value of one log field. Moments are in milliseconds
    /// from when the request arrived.
    pub fn text(&self, arrived: Instant) -> String {
        let texts = self.0.iter().map(|attempt| attempt.text(arrived));
        texts.collect::<Vec<_>>().join("; ")
    }
}

impl AttemptTrace {
    fn text(&self, arrived: Instant) -> String {
        let ms = |at: Instant| at.saturating_duration_since(arrived).as_millis();
        let mut text = self.target.clone();
        // Writing to a string does not fail.
        if let Some(deadline) = self.sent {
            let (sent_ms, timeout_ms) = (ms(deadline.sent_at()), deadline.timeout_ms());
            let _ = write!(text, " sent_ms={sent_ms} timeout_ms={timeout_ms}");
            if let Some(connection) = &self.connection {
                let ConnectionUse {
                    address,
                    number,
                    earlier_requests,
                    earlier_errors,
                    is_repeated,
                    avoided,
                } = connection;
                let _ = write!(
                    text,
                    " connection={address}#{number} earlier_requests={earlier_requests} \
                     earlier_errors={earlier_errors} is_repeated={is_repeated} \
                     avoided={avoided}",
                );
            }
            if let Some(refusal) = &self.refusal {
                let arrival = refusal.arrival;
                let _ = write!(
                    text,
                    " received_ms={} read_ms={} held_ms={} round_trip_us={} status={} \
                     evidence={}",
                    ms(arrival.at),
                    ms(refusal.read_at),
                    deadline.elapsed(arrival.at).as_millis(),
                    arrival.round_trip.as_micros(),
                    refusal.status.as_u16(),
                    refusal.evidence.as_str(),
                );
            }
        }
        match self.end {
            Some(end) => {
                let _ = write!(text, " end={end:?}");
            }
            None => text.push_str(" end=none"),
        }
        text
    }
}
