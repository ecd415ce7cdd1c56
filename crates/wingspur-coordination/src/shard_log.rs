//! The log of a once-only shard on the box that owns it: a claim is recorded in the store
//! before its request is sent to a server.
//!
//! The log is a sequence of numbered segments in the store. A new owner first moves the
//! shard's owner key by compare-and-swap and only then reads the log; each segment is
//! put on condition that the owner key has not moved since. The next write of a paused
//! former owner therefore fails, whatever its clock or lease says, even if the segment
//! numbers that it knew have been merged and deleted. Entries may be applied in any
//! order: the end of a claim overrides its start, and several claims of one operation
//! are kept beside each other, identified by their nonces.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingspur_protocol::{
    ClaimReply, ClaimRequest, LogEntry, LogSegment, OperationId, OperationOutcome,
    OutcomeReport,
};
use wingspur_state::BoxId;

/// Identifies a claim that waits for its reply.
pub type ClaimTicket = u64;

/// One shard's log, as its owner holds it in memory.
#[derive(Debug, Clone)]
pub struct ShardLog {
    writer: (BoxId, u64),
    settings: ShardLogSettings,
    state: LogState,
    operations: BTreeMap<OperationId, Vec<Claim>>,
    pending_claims: Vec<PendingClaim>,
    pending_outcomes: Vec<LogEntry>,
    write_count: u64,
    last_write: Option<Instant>,
    /// Consecutive small segments, by number, with their entries.
    small_segments: Vec<(u64, Vec<LogEntry>)>,
    /// The range of segments, without its end, that a merged one has replaced and that is
    /// to be deleted.
    replaced_segments: Option<(u64, u64)>,
}

/// The intervals and limits of a shard's log.
#[derive(Debug, Clone, Copy)]
pub struct ShardLogSettings {
    /// Minimum time between two writes, so that several claims share one.
    pub commit_every: Duration,
    /// Time for which an operation is remembered after its claim.
    pub retention: Duration,
    /// Number of consecutive small segments from which on they are merged into one.
    pub merge_after: usize,
}

impl Default for ShardLogSettings {
    fn default() -> Self {
        Self {
            commit_every: Duration::from_millis(20),
            retention: Duration::from_secs(24 * 3600),
            merge_after: 64,
        }
    }
}

/// The next store operation that the caller is to run for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogCommand {
    /// Move the owner key to this box; report by `ownership_acquired` or `open_failed`.
    TakeOwnership,
    /// Read the whole log; report by `loaded` or `open_failed`.
    Load,
    /// Put a segment; report by `written`, `ownership_lost` or `write_timed_out`.
    Write(SegmentWrite),
    /// Delete the segments from the first number up to, but not including, the second.
    Delete(u64, u64),
}

/// A segment to be put on condition that this box is still the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentWrite {
    /// The segment's number, which must not exist yet.
    pub number: u64,
    /// The store's revision at which this box became owner. The owner key must still have
    /// it.
    pub owner_revision: i64,
    /// The segment's content.
    pub segment: LogSegment,
}

/// The reply to a waiting claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimResult {
    /// The ticket under which the claim was made.
    pub ticket: ClaimTicket,
    /// The reply to it.
    pub reply: ClaimReply,
}

#[derive(Debug, Clone, PartialEq)]
enum LogState {
    /// This box is not the owner and has not tried to become it.
    Closed,
    /// The owner key is being moved to this box.
    Taking,
    /// This box is the owner and reads the log.
    Loading {
        owner_revision: i64,
        requested: bool,
    },
    /// This box was the owner at its last write or load.
    Open { owner_revision: i64, next: u64 },
    /// A write is in progress. It is repeated unchanged until its result is known.
    Writing {
        write: SegmentWrite,
        sent: bool,
        replaces: Option<(u64, u64)>,
    },
}

#[derive(Debug, Clone)]
struct PendingClaim {
    ticket: Option<ClaimTicket>,
    request: ClaimRequest,
    expires: Instant,
    /// Whether it is part of the write in progress.
    in_write: bool,
}

/// A claim on an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Claim {
    nonce: u64,
    phase: Phase,
    at_unix_ms: u64,
    /// Until when the operation may be running; `None` if the claim was read from the
    /// log, where a former owner wrote it, or expired before it was written.
    runs_until: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Claimed,
    Ended(OperationOutcome),
}

impl ShardLog {
    /// Creates a closed log; `writer` is the box and its incarnation.
    pub fn new(writer: (BoxId, u64), settings: ShardLogSettings) -> Self {
        Self {
            writer,
            settings,
            state: LogState::Closed,
            operations: BTreeMap::new(),
            pending_claims: Vec::new(),
            pending_outcomes: Vec::new(),
            write_count: 0,
            last_write: None,
            small_segments: Vec::new(),
            replaced_segments: None,
        }
    }

    /// Returns whether this box was the owner at its last write or load.
    pub fn is_open(&self) -> bool {
        matches!(self.state, LogState::Open { .. } | LogState::Writing { .. })
    }

    /// Returns whether claims or outcomes wait for a write or its result.
    pub fn has_pending(&self) -> bool {
        !self.pending_claims.is_empty() || !self.pending_outcomes.is_empty()
    }

    /// Returns the number of operations that are remembered.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Returns whether no operation is remembered.
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Claims the right to run an operation. `None` means that the reply follows later
    /// under `ticket`, at the latest when `expire` is called after `expires`.
    pub fn claim(
        &mut self,
        request: ClaimRequest,
        ticket: ClaimTicket,
        expires: Instant,
        now: Instant,
    ) -> Option<ClaimReply> {
        if self.is_open()
            && let Some(reply) = self.known_reply(&request, now)
        {
            return Some(reply);
        }
        let pending = self.pending_claims.iter();
        if let Some(other) = pending.clone().find(|c| same_operation(c, &request)) {
            // A repeat of the same message is refused as unavailable; the first one keeps
            // its place and gets its reply.
            let is_repeat = other.request.nonce == request.nonce;
            return Some(match is_repeat {
                true => ClaimReply::Unavailable,
                false => ClaimReply::InProgress,
            });
        }
        if self.pending_claims.len() >= MAX_PENDING {
            return Some(ClaimReply::Unavailable);
        }
        let ticket = Some(ticket);
        self.pending_claims.push(PendingClaim {
            ticket,
            request,
            expires,
            in_write: false,
        });
        None
    }

    /// Queues the outcome of an operation for the next write. Outcomes of unknown claims
    /// are ignored, and outcomes beyond `MAX_PENDING` are dropped.
    pub fn record_outcome(&mut self, report: &OutcomeReport) {
        let claims = self.operations.get_mut(&report.operation);
        let claim = claims.and_then(|c| c.iter_mut().find(|c| c.nonce == report.nonce));
        let is_pending = |pending: &PendingClaim| pending.request.nonce == report.nonce;
        if claim.is_none() && !self.pending_claims.iter().any(is_pending) {
            // The claim was never recorded, so there is nothing to end.
            return;
        }
        if self.pending_outcomes.len() >= MAX_PENDING {
            return;
        }
        self.pending_outcomes.push(LogEntry::Ended {
            operation: report.operation,
            nonce: report.nonce,
            outcome: report.outcome,
        });
        if let Some(claim) = claim
            && report.outcome != OperationOutcome::NotRun
        {
            // Applies to later claims at once. Only `NotRun`, which allows another run,
            // has to be written first.
            claim.phase = Phase::Ended(report.outcome);
        }
    }

    /// Refuses claims that have waited past their `expires` time.
    ///
    /// A claim that is part of the write in progress may still be recorded. Its operation
    /// does not run, and that outcome is recorded after it.
    pub fn expire(&mut self, now: Instant) -> Vec<ClaimResult> {
        let mut results = Vec::new();
        for claim in &mut self.pending_claims {
            if claim.expires <= now
                && let Some(ticket) = claim.ticket.take()
            {
                results.push(ClaimResult {
                    ticket,
                    reply: ClaimReply::Unavailable,
                });
            }
        }
        self.pending_claims
            .retain(|claim| claim.ticket.is_some() || claim.in_write);
        results
    }

    /// Returns the next store operation, or `None` if there is none to run now.
    pub fn next_command(&mut self, now: Instant, unix_ms: u64) -> Option<LogCommand> {
        if let Some((from, to)) = self.replaced_segments.take() {
            return Some(LogCommand::Delete(from, to));
        }
        match &mut self.state {
            LogState::Closed => {
                let is_wanted = !self.pending_claims.is_empty();
                is_wanted.then(|| self.state = LogState::Taking)?;
                Some(LogCommand::TakeOwnership)
            }
            LogState::Taking => None,
            LogState::Loading { requested, .. } => {
                (!std::mem::replace(requested, true)).then_some(LogCommand::Load)
            }
            LogState::Writing { write, sent, .. } => {
                (!std::mem::replace(sent, true)).then(|| LogCommand::Write(write.clone()))
            }
            LogState::Open {
                owner_revision,
                next,
            } => {
                let (owner_revision, next) = (*owner_revision, *next);
                let is_due = self.last_write.is_none_or(|last| {
                    now.saturating_duration_since(last) >= self.settings.commit_every
                });
                let merges = self.small_segments.len() >= self.settings.merge_after;
                let has_work = !self.pending_claims.is_empty()
                    || !self.pending_outcomes.is_empty()
                    || merges;
                if !is_due || !has_work {
                    return None;
                }
                Some(self.begin_write(owner_revision, next, now, unix_ms))
            }
        }
    }

    /// Records that the owner key has moved to this box at a revision of the store.
    pub fn ownership_acquired(&mut self, owner_revision: i64) {
        self.state = LogState::Loading {
            owner_revision,
            requested: false,
        };
    }

    /// Applies the log that was read; `segments` is sorted by number.
    pub fn loaded(&mut self, segments: Vec<(u64, LogSegment)>, unix_ms: u64) {
        let LogState::Loading { owner_revision, .. } = self.state else {
            return;
        };
        self.operations.clear();
        self.small_segments.clear();
        let next = segments.last().map_or(1, |(number, _)| number + 1);
        for (_, segment) in &segments {
            for entry in &segment.entries {
                self.join(entry, None);
            }
        }
        self.evict_before(self.retention_start_ms(unix_ms));
        self.replaced_segments = self.unretained_prefix(&segments);
        for (number, segment) in segments {
            // A large segment is not merged, and neither are the ones before it with the
            // ones after it.
            match segment.entries.len() < NOT_MERGED_FROM_ENTRIES {
                true => self.small_segments.push((number, segment.entries)),
                false => self.small_segments.clear(),
            }
        }
        self.state = LogState::Open {
            owner_revision,
            next,
        };
    }

    /// Closes the log after it failed to become the owner or to read the log, and refuses
    /// all pending claims. None of them was recorded, so none runs.
    pub fn open_failed(&mut self) -> Vec<ClaimResult> {
        self.state = LogState::Closed;
        self.refuse_pending()
    }

    /// Applies a write that took effect, and returns the replies to its claims.
    pub fn written(&mut self, now: Instant) -> Vec<ClaimResult> {
        let LogState::Writing {
            write, replaces, ..
        } = self.state.clone()
        else {
            return Vec::new();
        };
        let SegmentWrite {
            number,
            owner_revision,
            segment,
        } = write;
        self.state = LogState::Open {
            owner_revision,
            next: number + 1,
        };
        self.last_write = Some(now);
        if let Some((_, end)) = replaces {
            self.small_segments.retain(|(number, _)| *number >= end);
        }
        self.replaced_segments = replaces;
        if segment.entries.len() < NOT_MERGED_FROM_ENTRIES {
            self.small_segments.push((number, segment.entries.clone()));
        } else {
            self.small_segments.clear();
        }
        let mut results = Vec::new();
        let pending = std::mem::take(&mut self.pending_claims);
        for claim in pending {
            if !claim.in_write {
                self.recheck(claim, &mut results, now);
                continue;
            }
            self.grant(claim, &segment, &mut results, now);
        }
        for entry in &segment.entries {
            self.join(entry, None);
        }
        results
    }

    /// Closes the log because another box is the owner now, and refuses all pending
    /// claims. The write in progress can no longer take effect.
    pub fn ownership_lost(&mut self) -> Vec<ClaimResult> {
        self.state = LogState::Closed;
        self.operations.clear();
        self.small_segments.clear();
        self.replaced_segments = None;
        self.refuse_pending()
    }

    /// Has a write without a reply repeated. It may have taken effect or do so later; it
    /// is repeated unchanged, so that it makes no difference which attempt takes effect.
    pub fn write_timed_out(&mut self) {
        if let LogState::Writing { sent, .. } = &mut self.state {
            *sent = false;
        }
    }

    /// Removes and returns the outcomes that wait for a write, to pass them to the next
    /// owner.
    pub fn take_notes(&mut self) -> Vec<LogEntry> {
        std::mem::take(&mut self.pending_outcomes)
    }

    fn begin_write(
        &mut self,
        owner_revision: i64,
        number: u64,
        now: Instant,
        unix_ms: u64,
    ) -> LogCommand {
        self.last_write = Some(now);
        let merges = self.small_segments.len() >= self.settings.merge_after;
        let (entries, replaces) = match merges {
            true => self.merged(unix_ms),
            false => (self.take_batch(now, unix_ms), None),
        };
        self.write_count += 1;
        let writer = (self.writer.0.clone(), self.writer.1, self.write_count);
        let segment = LogSegment { writer, entries };
        let write = SegmentWrite {
            number,
            owner_revision,
            segment,
        };
        self.state = LogState::Writing {
            write: write.clone(),
            sent: true,
            replaces,
        };
        LogCommand::Write(write)
    }

    /// Returns the entries of the next write: pending outcomes, then pending claims.
    fn take_batch(&mut self, now: Instant, unix_ms: u64) -> Vec<LogEntry> {
        let outcome_count = self.pending_outcomes.len().min(MAX_BATCH_ENTRIES);
        let mut entries: Vec<LogEntry> =
            self.pending_outcomes.drain(..outcome_count).collect();
        for index in 0..self.pending_claims.len().min(MAX_BATCH_ENTRIES) {
            let request = self.pending_claims[index].request.clone();
            if self.pending_claims[index].expires <= now
                || self.known_reply(&request, now).is_some()
            {
                continue;
            }
            self.pending_claims[index].in_write = true;
            entries.push(LogEntry::Claimed {
                operation: request.operation,
                nonce: request.nonce,
                at_unix_ms: unix_ms,
            });
        }
        entries
    }

    /// Returns the retained entries of the oldest small segments, and the range of
    /// segment numbers, without its end, that they replace.
    fn merged(&mut self, unix_ms: u64) -> (Vec<LogEntry>, Option<(u64, u64)>) {
        self.evict_before(self.retention_start_ms(unix_ms));
        let Some(&(first, _)) = self.small_segments.first() else {
            return (Vec::new(), None);
        };
        let mut entries = Vec::new();
        let mut end = first;
        for (number, segment) in &self.small_segments {
            let kept = segment.iter().filter(|entry| self.is_retained(entry));
            let kept: Vec<LogEntry> = kept.copied().collect();
            if !entries.is_empty() && entries.len() + kept.len() > MAX_MERGED_ENTRIES {
                break;
            }
            entries.extend(kept);
            end = number + 1;
        }
        (entries, Some((first, end)))
    }

    /// Returns the range of leading segments, without its end, of which no entry is
    /// retained; `None` if there is none.
    fn unretained_prefix(&self, segments: &[(u64, LogSegment)]) -> Option<(u64, u64)> {
        let is_unretained = |segment: &LogSegment| {
            !segment.entries.iter().any(|entry| self.is_retained(entry))
        };
        let count = segments
            .iter()
            .take_while(|(_, segment)| is_unretained(segment))
            .count();
        // The last segment is kept, so that numbering continues after it.
        let count = count.min(segments.len().saturating_sub(1));
        let (first, last) = (segments.first()?.0, segments.get(count)?.0);
        (count > 0).then_some((first, last))
    }

    fn is_retained(&self, entry: &LogEntry) -> bool {
        match entry {
            LogEntry::Claimed {
                operation, nonce, ..
            } => self.has_claim(*operation, *nonce),
            LogEntry::Ended {
                operation, nonce, ..
            } => self.has_claim(*operation, *nonce),
        }
    }

    fn retention_start_ms(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(self.settings.retention.as_millis() as u64)
    }

    fn has_claim(&self, operation: OperationId, nonce: u64) -> bool {
        let claims = self.operations.get(&operation);
        claims.is_some_and(|claims| claims.iter().any(|claim| claim.nonce == nonce))
    }

    fn grant(
        &mut self,
        claim: PendingClaim,
        segment: &LogSegment,
        results: &mut Vec<ClaimResult>,
        now: Instant,
    ) {
        let ClaimRequest {
            operation,
            nonce,
            deadline_ms,
        } = claim.request;
        let Some(ticket) = claim.ticket else {
            // The claim expired while it was written, so its operation never runs.
            let outcome = OperationOutcome::NotRun;
            self.pending_outcomes.push(LogEntry::Ended {
                operation,
                nonce,
                outcome,
            });
            return;
        };
        let runs_until = now + Duration::from_millis(u64::from(deadline_ms)) + RUN_GRACE;
        for entry in &segment.entries {
            if matches!(entry, LogEntry::Claimed { nonce: n, .. } if *n == nonce) {
                self.join(entry, Some(runs_until));
            }
        }
        results.push(ClaimResult {
            ticket,
            reply: ClaimReply::Granted,
        });
    }

    /// Replies to a claim that was not part of the write, if its reply is known now;
    /// otherwise keeps it pending.
    fn recheck(
        &mut self,
        claim: PendingClaim,
        results: &mut Vec<ClaimResult>,
        now: Instant,
    ) {
        match (self.known_reply(&claim.request, now), claim.ticket) {
            (Some(reply), Some(ticket)) => results.push(ClaimResult { ticket, reply }),
            (Some(_), None) => {}
            (None, _) => self.pending_claims.push(claim),
        }
    }

    fn refuse_pending(&mut self) -> Vec<ClaimResult> {
        let pending = std::mem::take(&mut self.pending_claims);
        let tickets = pending.into_iter().filter_map(|claim| claim.ticket);
        let refuse = |ticket| ClaimResult {
            ticket,
            reply: ClaimReply::Unavailable,
        };
        tickets.map(refuse).collect()
    }

    /// Returns the reply that the known claims of an operation imply; `None` if it may be
    /// claimed.
    fn known_reply(&self, request: &ClaimRequest, now: Instant) -> Option<ClaimReply> {
        let claims = self.operations.get(&request.operation)?;
        let mut worst = None;
        for claim in claims {
            let reply = match claim.phase {
                Phase::Ended(OperationOutcome::NotRun) => continue,
                Phase::Ended(OperationOutcome::Ran) => ClaimReply::AlreadyRun,
                Phase::Ended(OperationOutcome::Unknown) => ClaimReply::OutcomeUnknown,
                Phase::Claimed if claim.nonce == request.nonce => ClaimReply::Granted,
                Phase::Claimed if claim.runs_until.is_some_and(|end| now < end) => {
                    ClaimReply::InProgress
                }
                Phase::Claimed => ClaimReply::OutcomeUnknown,
            };
            if reply == ClaimReply::AlreadyRun {
                return Some(reply);
            }
            worst = Some(reply);
        }
        worst
    }

    /// Applies an entry to the known operations. Order and repeats of entries do not
    /// matter.
    fn join(&mut self, entry: &LogEntry, runs_until: Option<Instant>) {
        let (operation, nonce) = match entry {
            LogEntry::Claimed {
                operation, nonce, ..
            } => (*operation, *nonce),
            LogEntry::Ended {
                operation, nonce, ..
            } => (*operation, *nonce),
        };
        let claims = self.operations.entry(operation).or_default();
        let index = claims.iter().position(|claim| claim.nonce == nonce);
        let claim = match index {
            Some(index) => &mut claims[index],
            None => {
                let phase = Phase::Claimed;
                claims.push(Claim {
                    nonce,
                    phase,
                    at_unix_ms: u64::MAX,
                    runs_until: None,
                });
                claims.last_mut().expect("one was just pushed")
            }
        };
        claim.runs_until = claim.runs_until.or(runs_until);
        match entry {
            LogEntry::Claimed { at_unix_ms, .. } => claim.at_unix_ms = *at_unix_ms,
            LogEntry::Ended { outcome, .. } => claim.phase = Phase::Ended(*outcome),
        }
    }

    fn evict_before(&mut self, retention_start_ms: u64) {
        self.operations.retain(|_, claims| {
            claims.retain(|claim| claim.at_unix_ms >= retention_start_ms);
            !claims.is_empty()
        });
    }
}

fn same_operation(claim: &PendingClaim, request: &ClaimRequest) -> bool {
    claim.request.operation == request.operation
}

/// Time past its deadline for which an operation is assumed to be still running.
const RUN_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of pending claims, and of pending outcomes.
const MAX_PENDING: usize = 20_000;
/// Maximum number of claims, and of outcomes, in one write. An entry has at most 80
/// bytes, so that a write stays well under a megabyte.
const MAX_BATCH_ENTRIES: usize = 4_000;
/// Maximum number of entries of a merged segment, unless its first segment alone has
/// more.
const MAX_MERGED_ENTRIES: usize = 8_000;
/// Number of entries from which on a segment is not merged.
const NOT_MERGED_FROM_ENTRIES: usize = 2_000;
