//! The owner of a once-only shard: claims are recorded before anything is sent.
//!
//! The log is a run of numbered segments in the store. Whoever becomes owner first
//! moves the shard's owner key by compare-and-swap, and only then reads the log; each
//! segment is put on condition that the owner key has not moved since. A paused former
//! owner's next write therefore fails, whatever its clock or lease says, also when the
//! numbers it knew have been merged away. What a segment says is joined in any order:
//! the end of a claim outweighs its beginning, and claims stand side by side, told
//! apart by their nonces.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingspur_protocol::{
    ClaimReply, ClaimRequest, LogEntry, LogSegment, OperationId, OperationOutcome,
    OutcomeReport,
};
use wingspur_state::BoxId;

/// Stands for a claim that waits for its answer.
pub type ClaimTicket = u64;

/// One shard's log as its owner holds it.
#[derive(Debug, Clone)]
pub struct ShardLog {
    writer: (BoxId, u64),
    settings: ShardLogSettings,
    state: LogState,
    operations: BTreeMap<OperationId, Vec<Claim>>,
    pending_claims: Vec<PendingClaim>,
    pending_notes: Vec<LogEntry>,
    writes: u64,
    last_write: Option<Instant>,
    /// Small segments that follow each other, with what they say.
    recent: Vec<(u64, Vec<LogEntry>)>,
    /// Segments that a merged one has replaced.
    replaced: Option<(u64, u64)>,
}

/// The times and sizes of a shard's log.
#[derive(Debug, Clone, Copy)]
pub struct ShardLogSettings {
    /// Least time between two writes, so that claims share them.
    pub commit_every: Duration,
    /// How long an operation is remembered.
    pub retention: Duration,
    /// Small segments that are merged into one.
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

/// What the owner wants of the store next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogCommand {
    /// Move the owner key to this box; answer by `took` or `failed`.
    TakeOwnership,
    /// Read the whole log; answer by `loaded` or `failed`.
    Load,
    /// Put a segment; answer by `written`, `deposed` or `unanswered`.
    Write(SegmentWrite),
    /// Delete the segments from the first number up to and without the second.
    Delete(u64, u64),
}

/// A segment to be put on condition that this box is owner still.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentWrite {
    /// The segment's number, which must be free.
    pub number: u64,
    /// The store's revision when this box became owner: the owner key's must be the
    /// same still.
    pub owner_revision: i64,
    /// What is put.
    pub segment: LogSegment,
}

/// The answer to a waiting claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimResult {
    /// The claim.
    pub ticket: ClaimTicket,
    /// Its answer.
    pub reply: ClaimReply,
}

#[derive(Debug, Clone, PartialEq)]
enum LogState {
    /// Not owner, or not yet.
    Closed,
    /// Moving the owner key.
    Taking,
    /// Owner, reading the log.
    Loading { owner_revision: i64, asked: bool },
    /// Owner as of the last write.
    Open { owner_revision: i64, next: u64 },
    /// A write is under way; it is repeated to the letter until its fate is known.
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
    /// Whether it is part of the write under way.
    in_write: bool,
}

/// A claim on an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Claim {
    nonce: u64,
    phase: Phase,
    at_unix_ms: u64,
    /// Until when the operation may be running; none for claims of a former owner.
    runs_until: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Claimed,
    Ended(OperationOutcome),
}

impl ShardLog {
    /// A closed log; `writer` is the box and its incarnation.
    pub fn new(writer: (BoxId, u64), settings: ShardLogSettings) -> Self {
        Self {
            writer,
            settings,
            state: LogState::Closed,
            operations: BTreeMap::new(),
            pending_claims: Vec::new(),
            pending_notes: Vec::new(),
            writes: 0,
            last_write: None,
            recent: Vec::new(),
            replaced: None,
        }
    }

    /// Whether this box is owner as of its last write.
    pub fn is_open(&self) -> bool {
        matches!(self.state, LogState::Open { .. } | LogState::Writing { .. })
    }

    /// Whether something waits for a write, or for its answer.
    pub fn has_pending(&self) -> bool {
        !self.pending_claims.is_empty() || !self.pending_notes.is_empty()
    }

    /// Operations that are remembered.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether no operation is remembered.
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Asks for leave; none means that the answer comes later under `ticket`, at the
    /// latest at `expires`.
    pub fn claim(
        &mut self,
        request: ClaimRequest,
        ticket: ClaimTicket,
        expires: Instant,
        now: Instant,
    ) -> Option<ClaimReply> {
        if self.is_open()
            && let Some(reply) = self.known(&request, now)
        {
            return Some(reply);
        }
        let waiting = self.pending_claims.iter();
        if let Some(other) = waiting.clone().find(|c| same_operation(c, &request)) {
            // A repeat of the message itself waits no longer than the first.
            let repeated = other.request.nonce == request.nonce;
            return Some(match repeated {
                true => ClaimReply::Unavailable,
                false => ClaimReply::InProgress,
            });
        }
        if self.pending_claims.len() >= MOST_PENDING {
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

    /// Takes in how an operation ended; it is recorded with the next write.
    pub fn record_outcome(&mut self, note: &OutcomeReport) {
        let claims = self.operations.get_mut(&note.operation);
        let claim = claims.and_then(|c| c.iter_mut().find(|c| c.nonce == note.nonce));
        let waiting = |pending: &PendingClaim| pending.request.nonce == note.nonce;
        if claim.is_none() && !self.pending_claims.iter().any(waiting) {
            // Never recorded: there is nothing to end.
            return;
        }
        if self.pending_notes.len() >= MOST_PENDING {
            return;
        }
        self.pending_notes.push(LogEntry::Ended {
            operation: note.operation,
            nonce: note.nonce,
            outcome: note.outcome,
        });
        if let Some(claim) = claim
            && note.outcome != OperationOutcome::NotRun
        {
            // Known at once to those who ask here; only leave to run again must wait
            // until it is written.
            claim.phase = Phase::Ended(note.outcome);
        }
    }

    /// Gives up claims that have waited too long.
    ///
    /// One that is part of a write may yet be recorded; it will not run, and that is
    /// recorded after it.
    pub fn expire(&mut self, now: Instant) -> Vec<ClaimResult> {
        let mut verdicts = Vec::new();
        for claim in &mut self.pending_claims {
            if claim.expires <= now
                && let Some(ticket) = claim.ticket.take()
            {
                verdicts.push(ClaimResult {
                    ticket,
                    reply: ClaimReply::Unavailable,
                });
            }
        }
        self.pending_claims
            .retain(|claim| claim.ticket.is_some() || claim.in_write);
        verdicts
    }

    /// What the store shall do next, if anything.
    pub fn next_command(&mut self, now: Instant, unix_ms: u64) -> Option<LogCommand> {
        if let Some((from, to)) = self.replaced.take() {
            return Some(LogCommand::Delete(from, to));
        }
        match &mut self.state {
            LogState::Closed => {
                let wanted = !self.pending_claims.is_empty();
                wanted.then(|| self.state = LogState::Taking)?;
                Some(LogCommand::TakeOwnership)
            }
            LogState::Taking => None,
            LogState::Loading { asked, .. } => {
                (!std::mem::replace(asked, true)).then_some(LogCommand::Load)
            }
            LogState::Writing { write, sent, .. } => {
                (!std::mem::replace(sent, true)).then(|| LogCommand::Write(write.clone()))
            }
            LogState::Open {
                owner_revision,
                next,
            } => {
                let (owner_revision, next) = (*owner_revision, *next);
                let due = self.last_write.is_none_or(|last| {
                    now.saturating_duration_since(last) >= self.settings.commit_every
                });
                let merge = self.recent.len() >= self.settings.merge_after;
                let work = !self.pending_claims.is_empty()
                    || !self.pending_notes.is_empty()
                    || merge;
                if !due || !work {
                    return None;
                }
                Some(self.begin_write(owner_revision, next, now, unix_ms))
            }
        }
    }

    /// The owner key is this box's, as of the store's revision.
    pub fn ownership_acquired(&mut self, owner_revision: i64) {
        self.state = LogState::Loading {
            owner_revision,
            asked: false,
        };
    }

    /// The log was read; segments in the order of their numbers.
    pub fn loaded(&mut self, segments: Vec<(u64, LogSegment)>, unix_ms: u64) {
        let LogState::Loading { owner_revision, .. } = self.state else {
            return;
        };
        self.operations.clear();
        self.recent.clear();
        let next = segments.last().map_or(1, |(number, _)| number + 1);
        for (_, segment) in &segments {
            for entry in &segment.entries {
                self.join(entry, None);
            }
        }
        self.forget_before(self.oldest(unix_ms));
        self.replaced = self.outdated(&segments);
        for (number, segment) in segments {
            // A large segment stays; what came before it is not merged across it.
            match segment.entries.len() < MERGED_ENTRIES {
                true => self.recent.push((number, segment.entries)),
                false => self.recent.clear(),
            }
        }
        self.state = LogState::Open {
            owner_revision,
            next,
        };
    }

    /// Ownership or the log could not be had: nothing was recorded, nothing will run.
    pub fn open_failed(&mut self) -> Vec<ClaimResult> {
        self.state = LogState::Closed;
        self.refuse_pending()
    }

    /// The write took effect.
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
            self.recent.retain(|(number, _)| *number >= end);
        }
        self.replaced = replaces;
        if segment.entries.len() < MERGED_ENTRIES {
            self.recent.push((number, segment.entries.clone()));
        } else {
            self.recent.clear();
        }
        let mut verdicts = Vec::new();
        let pending = std::mem::take(&mut self.pending_claims);
        for claim in pending {
            if !claim.in_write {
                self.recheck(claim, &mut verdicts, now);
                continue;
            }
            self.grant(claim, &segment, &mut verdicts, now);
        }
        for entry in &segment.entries {
            self.join(entry, None);
        }
        verdicts
    }

    /// Another box is owner now; what was to be written never will be.
    pub fn ownership_lost(&mut self) -> Vec<ClaimResult> {
        self.state = LogState::Closed;
        self.operations.clear();
        self.recent.clear();
        self.replaced = None;
        self.refuse_pending()
    }

    /// No answer: the write may have taken effect, now or later. It is repeated to
    /// the letter, so that whichever try lands, it is the same one.
    pub fn write_timed_out(&mut self) {
        if let LogState::Writing { sent, .. } = &mut self.state {
            *sent = false;
        }
    }

    /// The notes that wait for a write, for the owner that follows.
    pub fn take_notes(&mut self) -> Vec<LogEntry> {
        std::mem::take(&mut self.pending_notes)
    }

    fn begin_write(
        &mut self,
        owner_revision: i64,
        number: u64,
        now: Instant,
        unix_ms: u64,
    ) -> LogCommand {
        self.last_write = Some(now);
        let merge = self.recent.len() >= self.settings.merge_after;
        let (entries, replaces) = match merge {
            true => self.merged(unix_ms),
            false => (self.take_batch(now, unix_ms), None),
        };
        self.writes += 1;
        let writer = (self.writer.0.clone(), self.writer.1, self.writes);
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

    /// The claims and notes of the next write.
    fn take_batch(&mut self, now: Instant, unix_ms: u64) -> Vec<LogEntry> {
        let notes = self.pending_notes.len().min(MOST_BATCH);
        let mut entries: Vec<LogEntry> = self.pending_notes.drain(..notes).collect();
        for index in 0..self.pending_claims.len().min(MOST_BATCH) {
            let request = self.pending_claims[index].request.clone();
            if self.pending_claims[index].expires <= now
                || self.known(&request, now).is_some()
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

    /// What the oldest small segments say, and the numbers that this replaces.
    fn merged(&mut self, unix_ms: u64) -> (Vec<LogEntry>, Option<(u64, u64)>) {
        self.forget_before(self.oldest(unix_ms));
        let Some(&(first, _)) = self.recent.first() else {
            return (Vec::new(), None);
        };
        let mut entries = Vec::new();
        let mut end = first;
        for (number, segment) in &self.recent {
            let kept = segment.iter().filter(|entry| self.still_holds(entry));
            let kept: Vec<LogEntry> = kept.copied().collect();
            if !entries.is_empty() && entries.len() + kept.len() > MOST_MERGED {
                break;
            }
            entries.extend(kept);
            end = number + 1;
        }
        (entries, Some((first, end)))
    }

    /// The leading segments of which nothing is remembered any more.
    fn outdated(&self, segments: &[(u64, LogSegment)]) -> Option<(u64, u64)> {
        let gone = |segment: &LogSegment| {
            !segment.entries.iter().any(|entry| self.still_holds(entry))
        };
        let count = segments
            .iter()
            .take_while(|(_, segment)| gone(segment))
            .count();
        // The last one stays, so that the numbers go on.
        let count = count.min(segments.len().saturating_sub(1));
        let (first, last) = (segments.first()?.0, segments.get(count)?.0);
        (count > 0).then_some((first, last))
    }

    fn still_holds(&self, entry: &LogEntry) -> bool {
        match entry {
            LogEntry::Claimed {
                operation, nonce, ..
            } => self.holds(*operation, *nonce),
            LogEntry::Ended {
                operation, nonce, ..
            } => self.holds(*operation, *nonce),
        }
    }

    fn oldest(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(self.settings.retention.as_millis() as u64)
    }

    fn holds(&self, operation: OperationId, nonce: u64) -> bool {
        let claims = self.operations.get(&operation);
        claims.is_some_and(|claims| claims.iter().any(|claim| claim.nonce == nonce))
    }

    fn grant(
        &mut self,
        claim: PendingClaim,
        segment: &LogSegment,
        verdicts: &mut Vec<ClaimResult>,
        now: Instant,
    ) {
        let ClaimRequest {
            operation,
            nonce,
            deadline_ms,
        } = claim.request;
        let Some(ticket) = claim.ticket else {
            // Given up while it was written: it never runs.
            let outcome = OperationOutcome::NotRun;
            self.pending_notes.push(LogEntry::Ended {
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
        verdicts.push(ClaimResult {
            ticket,
            reply: ClaimReply::Granted,
        });
    }

    /// Answers a claim that waited through a write, if it can be answered now.
    fn recheck(
        &mut self,
        claim: PendingClaim,
        verdicts: &mut Vec<ClaimResult>,
        now: Instant,
    ) {
        match (self.known(&claim.request, now), claim.ticket) {
            (Some(reply), Some(ticket)) => verdicts.push(ClaimResult { ticket, reply }),
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

    /// What is known of an operation; none means that it may be claimed.
    fn known(&self, request: &ClaimRequest, now: Instant) -> Option<ClaimReply> {
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

    /// Joins an entry into what is known; order and repeats do not matter.
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

    fn forget_before(&mut self, oldest_unix_ms: u64) {
        self.operations.retain(|_, claims| {
            claims.retain(|claim| claim.at_unix_ms >= oldest_unix_ms);
            !claims.is_empty()
        });
    }
}

fn same_operation(claim: &PendingClaim, request: &ClaimRequest) -> bool {
    claim.request.operation == request.operation
}

/// An operation may be running for so long past its deadline.
const RUN_GRACE: Duration = Duration::from_millis(500);
const MOST_PENDING: usize = 20_000;
/// Entries of one write: 80 bytes each at most, well under a megabyte.
const MOST_BATCH: usize = 4_000;
const MOST_MERGED: usize = 8_000;
/// A segment with so many entries is not merged again.
const MERGED_ENTRIES: usize = 2_000;
