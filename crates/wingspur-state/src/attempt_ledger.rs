//! The attempts of one request: what they have spent, and what they prove about whether it
//! ran.

use crate::{AttemptEnd, ServerKey};

/// The attempts of one request, and the only source of the promise that it did not run.
///
/// Once the promise was given, no attempt may send the request any more.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct AttemptLedger {
    attempts: Vec<Attempt>,
    is_refused: bool,
}

/// Number of an attempt within its request.
pub type AttemptNumber = usize;

/// Whom an attempt sends the request to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptTarget {
    /// A backend server.
    Server(ServerKey),
    /// Another box, which may send it to as many servers as are allowed.
    Relay,
}

/// How many attempts of a request there were, by what they prove.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Those that have not written anything yet.
    pub pending: usize,
    /// Those of which nothing was sent.
    pub unsent: usize,
    /// Those that the server or the relay has refused.
    pub refused: usize,
    /// Those that have written and have not ended.
    pub sending: usize,
    /// Those that may have run and have no response to pass on.
    pub in_doubt: usize,
    /// Those with a response of the server's own.
    pub answered: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Attempt {
    target: AttemptTarget,
    state: AttemptState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum AttemptState {
    /// No connection is established yet, and nothing was written.
    Pending,
    /// Bytes of the request may have left.
    Sending,
    Ended(AttemptEnd),
}

impl AttemptLedger {
    /// Begins an attempt, of which nothing is sent before [`start_sending`] permits it.
    ///
    /// [`start_sending`]: Self::start_sending
    pub fn begin(&mut self, target: AttemptTarget) -> AttemptNumber {
        let state = AttemptState::Pending;
        self.attempts.push(Attempt { target, state });
        self.attempts.len() - 1
    }

    /// Records that the attempt writes the request from now on. Returns false if it must
    /// not, because the request was already refused as not run.
    #[must_use]
    pub fn start_sending(&mut self, attempt: AttemptNumber) -> bool {
        if !self.is_refused {
            self.attempts[attempt].state = AttemptState::Sending;
        }
        !self.is_refused
    }

    /// Records how an attempt ended. An attempt that is dropped without an end stays as it
    /// was, so one that was sending is in doubt.
    pub fn end(&mut self, attempt: AttemptNumber, end: AttemptEnd) {
        self.attempts[attempt].state = AttemptState::Ended(end);
    }

    /// Refuses the request as not run. Returns false if the request may have run in one
    /// of its attempts, or may still run; its caller must not be promised anything then.
    #[must_use]
    pub fn refuse(&mut self) -> bool {
        self.is_refused |= !self.may_have_run();
        self.is_refused
    }

    /// Whether the request may have run, or may still run, in an attempt.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| match attempt.state {
            AttemptState::Pending => false,
            AttemptState::Sending => true,
            AttemptState::Ended(end) => !end.certainly_not_run(),
        })
    }

    /// Whether nothing of the request was sent to a server or a relay.
    pub fn is_unsent(&self) -> bool {
        self.spent().next().is_none()
    }

    /// Returns the servers that the request is or was sent to.
    pub fn servers(&self) -> impl Iterator<Item = ServerKey> {
        self.spent().filter_map(|target| match target {
            AttemptTarget::Server(server) => Some(server),
            AttemptTarget::Relay => None,
        })
    }

    /// Whether a relay has taken the request, or is being asked to.
    pub fn is_relayed(&self) -> bool {
        self.spent().any(|target| target == AttemptTarget::Relay)
    }

    /// Returns how many attempts there were, by what they prove.
    pub fn counts(&self) -> AttemptCounts {
        let mut counts = AttemptCounts::default();
        for attempt in &self.attempts {
            let count = match attempt.state {
                AttemptState::Pending => &mut counts.pending,
                AttemptState::Sending => &mut counts.sending,
                AttemptState::Ended(end) => match end {
                    AttemptEnd::NotSent => &mut counts.unsent,
                    AttemptEnd::RefusedBeforeRunning => &mut counts.refused,
                    AttemptEnd::InDoubt => &mut counts.in_doubt,
                    AttemptEnd::Answered | AttemptEnd::ServerError | AttemptEnd::Cut => {
                        &mut counts.answered
                    }
                },
            };
            *count += 1;
        }
        counts
    }

    /// Returns the targets of the attempts, without those of which nothing was sent.
    fn spent(&self) -> impl Iterator<Item = AttemptTarget> {
        let unsent = AttemptState::Ended(AttemptEnd::NotSent);
        let spent = self.attempts.iter();
        let spent = spent.filter(move |attempt| attempt.state != unsent);
        spent.map(|attempt| attempt.target)
    }
}
