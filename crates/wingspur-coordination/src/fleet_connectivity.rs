//! Whether a box has been in touch with the whole fleet for long enough to share in what
//! the fleet has but once.

use std::time::{Duration, Instant};

use wingspur_state::MembershipState;

/// When a box was in touch with the whole fleet.
///
/// A box is in touch at a moment if it is linked with its hub, and that hub with the hubs of
/// all other data centres; so all others count it, or do within `NEWS`. The slack of a retry
/// budget is divided by the number of boxes, and only boxes that have been in touch for
/// `join_after` use their parts.
///
/// Why the parts that are used in a window never add up to more than the slack: let the
/// window begin at t and be W long. Who uses its part in it sends between t - `ON_WAY` and
/// t + W, has then been in touch for W + `ON_WAY` + `TOUCH`, and was last in touch at most
/// `TOUCH` before it sent. So all of them were in touch at t - `ON_WAY` - `TOUCH`; a run that
/// took the place of another is not among them beside it. `NEWS` later, still before any of
/// them sends, each has been told how many they are, since hubs count who has left them for
/// longer than that; and each holds the largest number that it was told in the time that it
/// was in touch. So each part is at most the slack divided by how many use one.
#[derive(Debug, Clone, Default)]
pub struct FleetConnectivity {
    /// Since when the box has been in touch, and when it last was.
    spell: Option<(Instant, Instant)>,
    /// When the box started, if the whole fleet started with it for the first time.
    first_start: Option<Instant>,
}

impl FleetConnectivity {
    /// A box that starts now with the whole fleet, for the first time.
    pub fn at_first_start(now: Instant) -> Self {
        Self {
            spell: None,
            first_start: Some(now),
        }
    }

    /// Takes in that the box was in touch at a moment.
    pub fn note(&mut self, at: Instant) {
        self.spell = match self.spell {
            Some((_, last)) if at <= last => self.spell,
            Some((since, last)) if at.saturating_duration_since(last) <= TOUCH => {
                Some((since, at))
            }
            _ => Some((at, at)),
        };
    }

    /// How long ago the box was last in touch; none if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.spell
            .map(|(_, last)| now.saturating_duration_since(last))
    }

    /// Whether the box has been in touch for so long that all others count it.
    pub fn is_settled(&self, now: Instant) -> bool {
        let spell = self
            .spell
            .filter(|(_, last)| now.saturating_duration_since(*last) <= TOUCH);
        spell.is_some_and(|(since, _)| now.saturating_duration_since(since) >= NEWS)
    }

    /// Whether the box may use its part of what is shared over a window.
    pub fn membership_state(&self, window: Duration, now: Instant) -> MembershipState {
        let Some((since, last)) = self.spell else {
            return MembershipState::Disconnected;
        };
        if now.saturating_duration_since(last) > TOUCH {
            return MembershipState::Disconnected;
        }
        let waits_for = match self.is_from_the_first(since) {
            true => ON_WAY + TOUCH + MARGIN,
            false => required_contact_time(window),
        };
        if now.saturating_duration_since(since) < waits_for {
            return MembershipState::Joining;
        }
        MembershipState::Joined
    }
}

impl FleetConnectivity {
    /// Whether the box has been in touch since the fleet first started.
    ///
    /// Why it need not wait for a window: nobody spent anything before, and a run that takes
    /// the place of another is none of these. All of them were in touch together
    /// `FIRST_CONTACT` after the start, and `NEWS` later each had been told how many they
    /// are, before any of them spends. A box that joins later has been in touch for a window
    /// and `ON_WAY` and `TOUCH` before it spends, so also at the last moment at which those
    /// were whose spending its window holds.
    fn is_from_the_first(&self, since: Instant) -> bool {
        self.first_start
            .is_some_and(|start| since <= start + FIRST_CONTACT)
    }
}

/// For how long a box must have been in touch, and how long the number of boxes is held.
pub fn required_contact_time(window: Duration) -> Duration {
    window + ON_WAY + TOUCH + MARGIN
}

/// A change of hubs takes less: 70 ms where the hub says that it stops, a second of silence
/// and the time of a connection where it does not.
const TOUCH: Duration = Duration::from_secs(2);
/// Boxes that start together are linked within a second or two.
const FIRST_CONTACT: Duration = Duration::from_secs(3);
/// A resend reaches its server within this, or never.
const ON_WAY: Duration = wingspur_state::MAX_RESEND_TRANSIT;
/// A number of boxes reaches every box within this: on each of the two links to it a sign of
/// life comes each 0.2 s, and one that is silent for a second is given up.
const NEWS: Duration = Duration::from_millis(2600);
const _: () = assert!(NEWS.as_millis() < ON_WAY.as_millis() + TOUCH.as_millis());
/// For what frames take on their way, and for clocks that are read late.
const MARGIN: Duration = Duration::from_secs(1);
