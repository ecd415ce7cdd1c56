//! Tracks whether a box has been in contact with the whole fleet for long enough to use
//! its share of fleet-wide limits.

use std::time::{Duration, Instant};

use wingspur_state::MembershipState;

/// Period in which a box was in contact with the whole fleet.
///
/// A box is in contact at a moment if it is linked to its hub, and that hub to the hubs
/// of all other data centres. All other boxes then count it, at the latest after
/// `COUNT_PROPAGATION`. The slack of a retry budget is divided by the number of boxes,
/// and only boxes that have been in contact for `required_contact_time` use their shares.
///
/// The shares that are used in a window never add up to more than the slack, for this
/// reason. Let the window begin at t and last W. A box that uses its share in it sends
/// between t - `RESEND_TRANSIT` and t + W, has by then been in contact for W +
/// `RESEND_TRANSIT` + `CONTACT_TTL`, and was last in contact at most `CONTACT_TTL` before
/// it sent. So all of these boxes were in contact at t - `RESEND_TRANSIT` -
/// `CONTACT_TTL`; an instance that replaced another is not among them together with the
/// other. After a further `COUNT_PROPAGATION`, still before any of them sends, each has
/// received their number, since hubs count boxes that have left them for longer than
/// that. Each box keeps the largest number that it received while it was in contact, so
/// each share is at most the slack divided by the number of boxes that use one.
#[derive(Debug, Clone, Default)]
pub struct FleetConnectivity {
    /// Since when the box has been in contact, and when it last was; `None` if it never
    /// was.
    period: Option<(Instant, Instant)>,
    /// When the box started, if it started together with all others of a fleet that had
    /// never run before.
    first_start: Option<Instant>,
}

impl FleetConnectivity {
    /// Creates the state of a box that starts now with the whole fleet, which has never
    /// run before.
    pub fn at_first_start(now: Instant) -> Self {
        Self {
            period: None,
            first_start: Some(now),
        }
    }

    /// Records that the box was in contact at a moment.
    pub fn note(&mut self, at: Instant) {
        self.period = match self.period {
            Some((_, last)) if at <= last => self.period,
            Some((since, last)) if at.saturating_duration_since(last) <= CONTACT_TTL => {
                Some((since, at))
            }
            _ => Some((at, at)),
        };
    }

    /// Returns the time since the last contact; `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.period
            .map(|(_, last)| now.saturating_duration_since(last))
    }

    /// Whether the box has been in contact for long enough that all others count it.
    pub fn is_settled(&self, now: Instant) -> bool {
        let period = self
            .period
            .filter(|(_, last)| now.saturating_duration_since(*last) <= CONTACT_TTL);
        period.is_some_and(|(since, _)| {
            now.saturating_duration_since(since) >= COUNT_PROPAGATION
        })
    }

    /// Returns whether the box may use its share of a limit that applies over `window`.
    pub fn membership_state(&self, window: Duration, now: Instant) -> MembershipState {
        let Some((since, last)) = self.period else {
            return MembershipState::Disconnected;
        };
        if now.saturating_duration_since(last) > CONTACT_TTL {
            return MembershipState::Disconnected;
        }
        let required = match self.is_connected_since_first_start(since) {
            true => RESEND_TRANSIT + CONTACT_TTL + MARGIN,
            false => required_contact_time(window),
        };
        if now.saturating_duration_since(since) < required {
            return MembershipState::Joining;
        }
        MembershipState::Joined
    }
}

impl FleetConnectivity {
    /// Whether the box has been in contact since the fleet first started.
    ///
    /// Such a box need not wait for a whole window: nothing was used before, and none of
    /// these boxes is an instance that replaced another. All of them were in contact
    /// `FIRST_CONTACT_TIMEOUT` after the start, and after a further `COUNT_PROPAGATION`
    /// each had received their number, before any of them uses its share. A box that
    /// joins later has been in contact for a window, `RESEND_TRANSIT` and `CONTACT_TTL`
    /// before it uses its share. So it was also in contact at the last moment at which
    /// those boxes were whose use falls within its window.
    fn is_connected_since_first_start(&self, since: Instant) -> bool {
        self.first_start
            .is_some_and(|start| since <= start + FIRST_CONTACT_TIMEOUT)
    }
}

/// Returns how long a box must have been in contact before it uses its share over
/// `window`, which is also how long the number of boxes is kept.
pub fn required_contact_time(window: Duration) -> Duration {
    window + RESEND_TRANSIT + CONTACT_TTL + MARGIN
}

/// A contact holds for this long. A change of hubs takes less: 70 ms if the hub announces
/// its stop, otherwise a second of silence and the time to connect.
const CONTACT_TTL: Duration = Duration::from_secs(2);
/// Boxes that start together are linked within one or two seconds.
const FIRST_CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// A resend reaches its server within this time or not at all.
const RESEND_TRANSIT: Duration = wingspur_state::MAX_RESEND_TRANSIT;
/// The number of boxes reaches every box within this time: on each of the two links to a
/// box a heartbeat is sent every 0.2 s, and a link that is silent for a second is closed.
const COUNT_PROPAGATION: Duration = Duration::from_millis(2600);
const _: () = assert!(
    COUNT_PROPAGATION.as_millis() < RESEND_TRANSIT.as_millis() + CONTACT_TTL.as_millis()
);
/// Allowance for the transit time of frames and for clocks that are read late.
const MARGIN: Duration = Duration::from_secs(1);
