//! Guards against an operation that runs twice: explores the states of the real
//! `ShardLog` with two boxes and a model of the store, while messages are lost, writes
//! take effect late, owners change, and segments are merged and deleted.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use wingspur_coordination::{LogCommand, SegmentWrite, ShardLog, ShardLogSettings};
use wingspur_protocol::{
    ClaimReply, ClaimRequest, LogSegment, OperationId, OperationOutcome, OutcomeReport,
};

const BOXES: usize = 2;

#[derive(Debug, Clone)]
struct World {
    logs: Vec<ShardLog>,
    store: Store,
    /// The command whose reply each box waits for.
    waiting: Vec<Option<Waiting>>,
    /// Writes whose replies are no longer awaited and that may still take effect.
    late_writes: Vec<SegmentWrite>,
    callers: Vec<Caller>,
    runs: u32,
    faults_left: u32,
}

#[derive(Debug, Clone)]
struct Waiting {
    command: LogCommand,
    /// The store's reply; `None` until it has received the command.
    reply: Option<Reply>,
}

#[derive(Debug, Clone)]
enum Reply {
    Took(i64),
    Loaded(Vec<(u64, LogSegment)>),
    Written,
    Refused,
    Deleted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    Idle,
    Asked(usize),
    Refused,
    Ran { owner: usize, reported: bool },
}

/// The modelled store: the revision of the owner key, and segments.
#[derive(Debug, Clone, Default)]
struct Store {
    revision: i64,
    owner_revision: i64,
    segments: BTreeMap<u64, LogSegment>,
}

impl Store {
    fn apply(&mut self, command: &LogCommand) -> Reply {
        match command {
            LogCommand::TakeOwnership => {
                self.revision += 1;
                self.owner_revision = self.revision;
                Reply::Took(self.owner_revision)
            }
            LogCommand::Load => {
                Reply::Loaded(self.segments.clone().into_iter().collect())
            }
            LogCommand::Write(write) => self.write(write),
            LogCommand::Delete(from, to) => {
                self.segments
                    .retain(|number, _| number < from || number >= to);
                Reply::Deleted
            }
        }
    }

    fn write(&mut self, write: &SegmentWrite) -> Reply {
        if let Some(existing) = self.segments.get(&write.number) {
            let own = *existing == write.segment;
            return if own { Reply::Written } else { Reply::Refused };
        }
        if write.owner_revision != self.owner_revision {
            return Reply::Refused;
        }
        self.revision += 1;
        self.segments.insert(write.number, write.segment.clone());
        Reply::Written
    }
}

impl World {
    fn new(faults: u32) -> Self {
        let settings = ShardLogSettings {
            commit_every: Duration::ZERO,
            retention: Duration::from_secs(3600),
            merge_after: 2,
        };
        let log = |index: usize| ShardLog::new((format!("box-{index}"), 1), settings);
        Self {
            logs: (0..BOXES).map(log).collect(),
            store: Store::default(),
            waiting: vec![None; BOXES],
            late_writes: Vec::new(),
            callers: vec![Caller::Idle; 3],
            runs: 0,
            faults_left: faults,
        }
    }

    /// Returns all worlds that are one step away.
    fn steps(&self, now: Instant) -> Vec<World> {
        let mut next = Vec::new();
        for caller in 0..self.callers.len() {
            self.caller_steps(caller, now, &mut next);
        }
        for index in 0..BOXES {
            self.box_steps(index, now, &mut next);
        }
        for index in 0..self.late_writes.len() {
            let mut world = self.clone();
            let write = world.late_writes.remove(index);
            world.store.write(&write);
            next.push(world);
        }
        next
    }

    fn caller_steps(&self, caller: usize, now: Instant, next: &mut Vec<World>) {
        match self.callers[caller] {
            Caller::Idle => {
                // Callers start in order, so that symmetric worlds are not explored
                // twice.
                if caller > 0 && self.callers[caller - 1] == Caller::Idle {
                    return;
                }
                for owner in 0..BOXES {
                    let mut world = self.clone();
                    world.callers[caller] = Caller::Asked(owner);
                    let request = ClaimRequest {
                        operation: OperationId(7),
                        nonce: caller as u64,
                        deadline_ms: 1000,
                    };
                    let log = &mut world.logs[owner];
                    let expires = now + Duration::from_secs(1);
                    let reply = log.claim(request, caller as u64, expires, now);
                    if let Some(reply) = reply {
                        world.answer(caller, reply);
                    }
                    next.push(world);
                }
            }
            Caller::Ran {
                owner,
                reported: false,
            } => {
                for outcome in [OperationOutcome::Ran, OperationOutcome::Unknown] {
                    let mut world = self.clone();
                    world.callers[caller] = Caller::Ran {
                        owner,
                        reported: true,
                    };
                    let operation = OperationId(7);
                    let nonce = caller as u64;
                    let report = OutcomeReport {
                        operation,
                        nonce,
                        outcome,
                    };
                    world.logs[owner].record_outcome(&report);
                    next.push(world);
                }
            }
            Caller::Asked(_) | Caller::Refused | Caller::Ran { .. } => {}
        }
    }

    fn box_steps(&self, index: usize, now: Instant, next: &mut Vec<World>) {
        let Some(waiting) = &self.waiting[index] else {
            let mut world = self.clone();
            if let Some(command) = world.logs[index].next_command(now, 1_000_000) {
                world.waiting[index] = Some(Waiting {
                    command,
                    reply: None,
                });
                next.push(world);
            }
            return;
        };
        if waiting.reply.is_none() {
            // The store receives the command.
            let mut world = self.clone();
            let reply = world.store.apply(&waiting.command);
            world.waiting[index] = Some(Waiting {
                command: waiting.command.clone(),
                reply: Some(reply),
            });
            next.push(world);
        }
        if let Some(reply) = &waiting.reply {
            let mut world = self.clone();
            world.waiting[index] = None;
            world.deliver(index, reply.clone(), now);
            next.push(world);
        }
        if self.faults_left > 0 {
            // The request or its reply is lost; a lost write may still take effect later.
            let mut world = self.clone();
            world.faults_left -= 1;
            let lost = world.waiting[index].take();
            if let Some(Waiting {
                command: LogCommand::Write(write),
                reply: None,
            }) = lost
            {
                world.late_writes.push(write);
            }
            world.lose(index, &waiting.command);
            next.push(world);
        }
    }

    fn deliver(&mut self, index: usize, reply: Reply, now: Instant) {
        let log = &mut self.logs[index];
        let results = match reply {
            Reply::Took(revision) => {
                log.ownership_acquired(revision);
                Vec::new()
            }
            Reply::Loaded(segments) => {
                log.loaded(segments, 1_000_000);
                Vec::new()
            }
            Reply::Written => log.written(now),
            Reply::Refused => log.ownership_lost(),
            Reply::Deleted => Vec::new(),
        };
        for result in results {
            self.answer(result.ticket as usize, result.reply);
        }
    }

    fn lose(&mut self, index: usize, command: &LogCommand) {
        let results = match command {
            LogCommand::TakeOwnership | LogCommand::Load => {
                self.logs[index].open_failed()
            }
            LogCommand::Write(_) => {
                self.logs[index].write_timed_out();
                Vec::new()
            }
            LogCommand::Delete(..) => Vec::new(),
        };
        for result in results {
            self.answer(result.ticket as usize, result.reply);
        }
    }

    fn answer(&mut self, caller: usize, reply: ClaimReply) {
        let Caller::Asked(owner) = self.callers[caller] else {
            return;
        };
        if reply == ClaimReply::Granted {
            self.runs += 1;
            self.callers[caller] = Caller::Ran {
                owner,
                reported: false,
            };
        } else {
            self.callers[caller] = Caller::Refused;
        }
    }
}

/// Explores worlds breadth-first until `max_worlds` have been seen. Returns how many were
/// seen and whether these were all.
fn explore(faults: u32, max_worlds: usize) -> (usize, bool) {
    let now = Instant::now();
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([World::new(faults)]);
    while let Some(world) = queue.pop_front() {
        for next in world.steps(now) {
            let mut hasher = DefaultHasher::new();
            format!("{next:?}").hash(&mut hasher);
            if !seen.insert(hasher.finish()) {
                continue;
            }
            assert!(next.runs <= 1, "the operation ran twice: {next:#?}");
            if seen.len() >= max_worlds {
                return (seen.len(), false);
            }
            queue.push_back(next);
        }
    }
    (seen.len(), true)
}

#[test]
fn no_interleaving_without_faults_runs_twice() {
    let (worlds, all) = explore(0, 2_000_000);
    println!("{worlds} worlds");
    assert!(all, "only the first {worlds} worlds were explored");
    assert!(worlds > 1000);
}

#[test]
fn no_interleaving_with_lost_messages_runs_twice() {
    let (worlds, _) = explore(2, 60_000);
    assert!(worlds >= 60_000, "only {worlds} worlds were explored");
}
