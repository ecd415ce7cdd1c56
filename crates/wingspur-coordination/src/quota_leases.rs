//! What a box has lent and borrowed of the fleet's allowances.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use wingspur_protocol::{
    LeaseMessages, LeasedResource, QuotaLeaseReply, QuotaLeaseRequest,
};
use wingspur_state::{
    AcquireOutcome, DataCentreId, LeaseClient, LeaseDemand, PrefetchGrant,
    PrefetchRequest, QuotaPool, QuotaTerms, ShareHistory,
};

use crate::LinkId;

/// What this box has lent and borrowed.
///
/// One class of allowances: a rate and a depth under a key, of which each box has a part that
/// it leaves to its hub. They differ by their terms, and by which hub holds the parts.
#[derive(Debug)]
pub struct QuotaLeaseManager {
    /// This box's part of allowances that each hub holds its own part of.
    clock: ShareHistory,
    /// Its parts of allowances that the hub of one data centre holds for all.
    place_clocks: BTreeMap<DataCentreId, ShareHistory>,
    pools: HashMap<LeasedResource, QuotaPool>,
    borrowers: HashMap<LeasedResource, LeaseClient>,
    /// Requests of callers that wait, the first first.
    waiting: HashMap<LeasedResource, VecDeque<Waiting>>,
    /// What this box has not enough of, and asks other hubs for; by the last question.
    searches: HashMap<u32, Search>,
    /// What other hubs had none of a moment ago.
    quiet: HashMap<LeasedResource, Quiet>,
    last_number: u32,
}

/// Who waits for one of an allowance.
#[derive(Debug)]
struct Waiting {
    tell: async_channel::Sender<AcquireOutcome>,
    reserve: ReserveShare,
    since: Instant,
}

impl Waiting {
    /// Whether it is worth its while to wait on for what comes after a time.
    fn may_wait_for(&self, more_in: Duration, is_first: bool, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.since);
        let patience = if is_first { FIRST_WAITS } else { SOON };
        comes_soon(more_in) && waited < patience
    }
}

/// Where somebody who waits is told what came of it.
pub type PendingGrant = async_channel::Receiver<AcquireOutcome>;

/// The share of a pool's room beyond one that a less urgent request leaves to others.
pub type ReserveShare = f32;

/// What other hubs are asked for, one after the other.
#[derive(Debug)]
struct Search {
    of: LeasedResource,
    /// The member that asked, with its question's number; none for this box's own requests.
    asker: Option<(LinkId, u32)>,
    found: u32,
    missing: u32,
    reserve: ReserveShare,
    hubs: Vec<LinkId>,
    /// When the hubs that were asked should have more.
    told: MoreIn,
    /// Until when the last question may be answered.
    until: Instant,
    /// After this no more hubs are asked: who asked does not wait for longer.
    ends: Instant,
}

/// That other hubs have none of an allowance.
#[derive(Debug, Clone, Copy)]
struct Quiet {
    /// Until when it is of no use to ask them again.
    until: Instant,
    /// When they should have more, from when they were asked.
    told: MoreIn,
}

/// When there should be more of an allowance, by what several boxes say of their parts.
#[derive(Debug, Clone, Copy, Default)]
struct MoreIn {
    soonest: Option<Duration>,
    /// Whether one of them cannot tell, since its part is only coming.
    is_open: bool,
}

impl MoreIn {
    fn add(&mut self, told: Option<Duration>) {
        let Some(told) = told else {
            self.is_open = true;
            return;
        };
        self.soonest = Some(self.soonest.map_or(told, |known| known.min(told)));
    }

    fn known(self) -> Option<Duration> {
        self.soonest.filter(|_| !self.is_open)
    }
}

/// What is to be sent once the state is unlocked.
pub type QuotaMessages = Vec<QuotaMessage>;

/// What is asked of another box, or answered.
#[derive(Debug)]
pub struct QuotaMessage {
    /// Where it goes.
    pub link: LinkId,
    /// What it says.
    pub lending: LeaseMessages,
    /// Whether somebody waits for it; else it goes with the next frame.
    pub urgent: bool,
}

/// What this box is among the others.
#[derive(Debug, Default)]
pub struct QuotaTopology {
    /// The hub that it reports to.
    pub own_hub: Option<LinkId>,
    /// Whom it asks for what it has not enough of: the hubs of other data centres, or its own
    /// hub, for boxes that take this one for a hub.
    pub allocators: Vec<LinkId>,
    /// Its part of all allowances, with those that are left to it.
    pub share: f64,
    /// How it stands with what the hub of one data centre holds for all.
    pub data_centres: Vec<DataCentreQuota>,
}

/// How a box stands with the allowances that the hub of one data centre holds for all.
#[derive(Debug, Clone, PartialEq)]
pub struct DataCentreQuota {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// This box's part, with those that are left to it.
    pub share: f64,
    /// The hub that holds them; none where this box does, or nobody that it hears.
    pub allocator: Option<LinkId>,
}

/// Which hubs hold the parts of an allowance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaAllocator {
    /// Each hub those of its members.
    EachHub,
    /// The hub of one data centre all of them.
    DataCentreHub(DataCentreId),
}

/// An allowance as it is now: what it grants, and who holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// What it grants over all boxes.
    pub terms: QuotaTerms,
    /// Who holds its parts.
    pub allocator: QuotaAllocator,
}

/// Finds an allowance; none where there is no such, or no such limit.
pub type FindQuota<'a> = &'a dyn Fn(LeasedResource) -> Option<Quota>;

impl QuotaLeaseManager {
    /// A box that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            clock: ShareHistory::new(now),
            place_clocks: BTreeMap::new(),
            pools: HashMap::new(),
            borrowers: HashMap::new(),
            waiting: HashMap::new(),
            searches: HashMap::new(),
            quiet: HashMap::new(),
            last_number: 0,
        }
    }

    /// Notes this box's parts from now on.
    pub fn update_shares(&mut self, standing: &QuotaTopology, now: Instant) {
        self.clock.record_share(standing.share, now);
        for place in &standing.data_centres {
            let name = &place.data_centre;
            if !self.place_clocks.contains_key(name) {
                self.place_clocks
                    .insert(name.clone(), ShareHistory::new(now));
            }
            let clock = self.place_clocks.get_mut(name);
            clock.expect("it is there").record_share(place.share, now);
        }
    }

    /// Whether questions to other hubs are out, or requests wait.
    pub fn has_pending(&self) -> bool {
        !self.searches.is_empty() || !self.waiting.is_empty()
    }

    /// Wants one of an allowance: what came of it, or where that will be told.
    pub fn acquire(
        &mut self,
        of: LeasedResource,
        reserve: ReserveShare,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> (Result<AcquireOutcome, PendingGrant>, QuotaMessages) {
        match standing.own_hub {
            Some(hub) => self.want_of_hub(of, reserve, hub, now),
            None => self.want_of_pool(of, reserve, standing, find, now),
        }
    }

    /// Wants one of an allowance, of the hub.
    fn want_of_hub(
        &mut self,
        of: LeasedResource,
        reserve: ReserveShare,
        hub: LinkId,
        now: Instant,
    ) -> (Result<AcquireOutcome, PendingGrant>, QuotaMessages) {
        let borrower = self.borrowers.entry(of).or_default();
        let outcome = match borrower.try_acquire(now) {
            AcquireOutcome::Pending | AcquireOutcome::Unknown => {
                Err(self.wait_for(of, reserve, now))
            }
            AcquireOutcome::Refused(more_in) if comes_soon(more_in) => {
                Err(self.wait_for(of, reserve, now))
            }
            outcome => Ok(outcome),
        };
        (outcome, self.ask_hub(of, hub, now))
    }

    /// Wants one of an allowance, of this box's own part or else of other hubs.
    fn want_of_pool(
        &mut self,
        of: LeasedResource,
        reserve: ReserveShare,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> (Result<AcquireOutcome, PendingGrant>, QuotaMessages) {
        let found = find(of);
        let lenders = found.as_ref().map(|found| standing.lenders_of(found));
        let lenders = lenders.unwrap_or_default();
        let ahead = self.waiting.get(&of).map_or(0, VecDeque::len);
        let asked = (of, reserve, ahead);
        let outcome = self.take_of_pool(asked, found.as_ref(), standing, now);
        if outcome == AcquireOutcome::Acquired {
            return (Ok(outcome), QuotaMessages::new());
        }
        if lenders.is_empty() || self.is_quiet(of, now) {
            let outcome = match self.with_quiet(of, outcome) {
                AcquireOutcome::Refused(more_in) if !comes_soon(more_in) => Ok(outcome),
                _ => Err(self.wait_for(of, reserve, now)),
            };
            return (outcome, QuotaMessages::new());
        }
        let told = self.wait_for(of, reserve, now);
        let search = Search::new(of, None, (0, 1), reserve, now);
        (Err(told), self.begin_search(search, lenders, now))
    }

    /// Takes one of this box's own part, for who has so many waiting ahead; unknown where that
    /// is empty since the box has had it for a moment only.
    fn take_of_pool(
        &mut self,
        (of, reserve, ahead): (LeasedResource, ReserveShare, usize),
        found: Option<&Quota>,
        standing: &QuotaTopology,
        now: Instant,
    ) -> AcquireOutcome {
        let (clock, places) = (&self.clock, &self.place_clocks);
        let Some((found, clock)) = held(found, standing, clock, places) else {
            return AcquireOutcome::Unknown;
        };
        let pool = self.pools.entry(of).or_default();
        if pool.lease_on_demand(1, reserve.into(), &found.terms, clock, now) == 1 {
            return AcquireOutcome::Acquired;
        }
        match may_tell(found, clock) || is_behind_too_many(ahead, found, clock) {
            false => AcquireOutcome::Unknown,
            true => AcquireOutcome::Refused(comes_in(pool, found, clock, ahead)),
        }
    }

    /// Asks the hub for what is short.
    fn ask_hub(
        &mut self,
        of: LeasedResource,
        hub: LinkId,
        now: Instant,
    ) -> QuotaMessages {
        let waiting = self.waiting.get(&of);
        let count = waiting.map_or(0, |waiting| waiting.len() as u32);
        let reserve = waiting.and_then(|waiting| {
            let reserves = waiting.iter().map(|waiting| waiting.reserve);
            reserves.min_by(f32::total_cmp)
        });
        let mut messages = QuotaMessages::new();
        // What is urgent first, then the stock.
        for count in [count, 0] {
            let number = self.number();
            let borrower = self.borrowers.entry(of).or_default();
            let Some(ask) = borrower.next_request(number, count, may_be_stocked(of), now)
            else {
                continue;
            };
            let request = QuotaLeaseRequest {
                request_id: number,
                resource: of,
                held: 0.0,
                on_demand_count: 0,
                reserve: reserve.unwrap_or_default(),
                wanted: 0.0,
            };
            let request = match ask {
                LeaseDemand::OnDemand(urgent) => QuotaLeaseRequest {
                    on_demand_count: urgent,
                    ..request
                },
                LeaseDemand::Prefetch { held, wanted } => QuotaLeaseRequest {
                    held,
                    wanted,
                    ..request
                },
            };
            messages.push(QuotaMessage::request(hub, request));
        }
        messages
    }

    /// Answers the question of another box, at once or after other hubs were asked.
    pub fn handle_request(
        &mut self,
        link: LinkId,
        request: &QuotaLeaseRequest,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let found = find(request.resource);
        let found = found.as_ref();
        if request.on_demand_count == 0 {
            let answer = self.answer_for_stock(link, request, standing, found, now);
            return vec![QuotaMessage::reply(link, answer, false)];
        }
        let answer = self.lend_at_once(request, standing, found, now);
        let missing = request.on_demand_count - answer.on_demand_granted;
        let is_hubs = standing.allocators.contains(&link);
        let lenders = found.map(|found| standing.lenders_of(found));
        let lenders = lenders.unwrap_or_default();
        let may_search = !lenders.is_empty() && !self.is_quiet(request.resource, now);
        if missing == 0 || is_hubs || !may_search {
            return vec![QuotaMessage::reply(link, answer, true)];
        }
        let asker = Some((link, request.request_id));
        let counts = (answer.on_demand_granted, missing);
        let search = Search::new(request.resource, asker, counts, request.reserve, now);
        self.begin_search(search, lenders, now)
    }

    /// Lends for a box's stock.
    fn answer_for_stock(
        &mut self,
        link: LinkId,
        request: &QuotaLeaseRequest,
        standing: &QuotaTopology,
        found: Option<&Quota>,
        now: Instant,
    ) -> QuotaLeaseReply {
        let answer = QuotaLeaseReply::denied(request);
        let found = found.filter(|_| may_be_stocked(request.resource));
        let (clock, places) = (&self.clock, &self.place_clocks);
        let Some((found, clock)) = held(found, standing, clock, places) else {
            return answer;
        };
        let ask = PrefetchRequest {
            borrower: link,
            held: request.held,
            wanted: request.wanted,
        };
        let pool = self.pools.entry(request.resource).or_default();
        let stocked = pool.lease_prefetch(&ask, &found.terms, clock, now);
        QuotaLeaseReply {
            prefetch_granted: stocked.amount,
            renewed: stocked.renewed,
            ..answer
        }
    }

    /// Lends what a box spends at once, as far as this one's own part has it.
    fn lend_at_once(
        &mut self,
        request: &QuotaLeaseRequest,
        standing: &QuotaTopology,
        found: Option<&Quota>,
        now: Instant,
    ) -> QuotaLeaseReply {
        let answer = QuotaLeaseReply::denied(request);
        let (clock, places) = (&self.clock, &self.place_clocks);
        let Some((found, clock)) = held(found, standing, clock, places) else {
            return answer;
        };
        let (urgent, reserve) = (request.on_demand_count, request.reserve.into());
        let pool = self.pools.entry(request.resource).or_default();
        let lent = pool.lease_on_demand(urgent, reserve, &found.terms, clock, now);
        let missing = (urgent - lent) as usize;
        let more_in = match is_behind_too_many(missing, found, clock) {
            true => Some(millis(comes_in(pool, found, clock, missing))),
            false if may_tell(found, clock) => {
                Some(millis(comes_in(pool, found, clock, 0)))
            }
            false => None,
        };
        QuotaLeaseReply {
            on_demand_granted: lent,
            retry_after_ms: more_in,
            ..answer
        }
    }

    /// How long until this box's part has one more; none where nobody can tell.
    fn more_in(
        &mut self,
        of: LeasedResource,
        standing: &QuotaTopology,
        found: Option<&Quota>,
    ) -> Option<Duration> {
        let (clock, places) = (&self.clock, &self.place_clocks);
        let (found, clock) = held(found, standing, clock, places)?;
        if !may_tell(found, clock) {
            return None;
        }
        let pool = self.pools.entry(of).or_default();
        Some(pool.time_to_next_token(&found.terms, clock))
    }

    /// Takes in the answer of another box.
    pub fn handle_answer(
        &mut self,
        answer: &QuotaLeaseReply,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let of = answer.resource;
        let more_in = answer
            .retry_after_ms
            .map(|ms| Duration::from_millis(ms.into()));
        if let Some(mut search) = self.searches.remove(&answer.request_id) {
            search.take(answer.on_demand_granted);
            search.told.add(more_in);
            if search.missing == 0 {
                return self.end_search(search, standing, find, now);
            }
            return self.search_on_or_end(search, standing, find, now);
        }
        let Some(borrower) = self.borrowers.get_mut(&of) else {
            return QuotaMessages::new();
        };
        let stocked = PrefetchGrant {
            amount: answer.prefetch_granted,
            renewed: answer.renewed,
        };
        borrower.apply_prefetch_grant(answer.request_id, &stocked, now);
        let (number, urgent) = (answer.request_id, answer.on_demand_granted);
        let granted = borrower.apply_on_demand_grant(number, urgent, more_in, now);
        let refusal = borrower.refusal(now);
        let (granted, ends) = granted.unwrap_or((0, now));
        let spare = granted - self.tell_waiting(of, granted, refusal, now);
        if spare > 0 {
            let borrower = self.borrowers.entry(of).or_default();
            borrower.retain_unused(spare, ends);
        }
        match standing.own_hub {
            Some(hub) => self.ask_hub(of, hub, now),
            None => QuotaMessages::new(),
        }
    }

    /// Tells the most urgent ones that wait that they may go, and the others that they may
    /// not, if that is known; returns how many may go.
    fn tell_waiting(
        &mut self,
        of: LeasedResource,
        granted: u32,
        rest: Option<AcquireOutcome>,
        now: Instant,
    ) -> u32 {
        let Some(waiting) = self.waiting.get_mut(&of) else {
            return 0;
        };
        waiting.retain(|waiting| !waiting.tell.is_closed());
        let by_reserve =
            |one: &Waiting, other: &Waiting| one.reserve.total_cmp(&other.reserve);
        waiting.make_contiguous().sort_by(by_reserve);
        let granted = (granted as usize).min(waiting.len());
        for waiting in waiting.drain(..granted) {
            // One that gives up at this moment does not listen: what it was lent is void.
            let _ = waiting.tell.try_send(AcquireOutcome::Acquired);
        }
        if let Some(outcome @ AcquireOutcome::Refused(more_in)) = rest {
            let mut is_first = true;
            waiting.retain(|waiting| {
                let waits_on = waiting.may_wait_for(more_in, is_first, now);
                is_first = false;
                if !waits_on {
                    let _ = waiting.tell.try_send(outcome);
                }
                waits_on
            });
        }
        if waiting.is_empty() {
            self.waiting.remove(&of);
        }
        granted as u32
    }

    /// A refusal with what other hubs said a moment ago of when they have more.
    fn with_quiet(&self, of: LeasedResource, outcome: AcquireOutcome) -> AcquireOutcome {
        let (AcquireOutcome::Refused(more_in), Some(quiet)) =
            (outcome, self.quiet.get(&of))
        else {
            return outcome;
        };
        let mut told = quiet.told;
        told.add(Some(more_in));
        told.known()
            .map_or(AcquireOutcome::Unknown, AcquireOutcome::Refused)
    }

    /// Whether other hubs were asked a moment ago, and had none.
    fn is_quiet(&self, of: LeasedResource, now: Instant) -> bool {
        self.quiet.get(&of).is_some_and(|quiet| quiet.until > now)
    }

    /// Asks the first of some hubs for what is missing.
    fn begin_search(
        &mut self,
        mut search: Search,
        mut lenders: Vec<LinkId>,
        now: Instant,
    ) -> QuotaMessages {
        // Not always the same one first.
        let first = self.last_number as usize % lenders.len().max(1);
        lenders.rotate_left(first);
        search.hubs = lenders;
        self.search_on(search, now)
    }

    /// Asks the next hub.
    fn search_on(&mut self, mut search: Search, now: Instant) -> QuotaMessages {
        let Some(hub) = search.hubs.pop() else {
            return QuotaMessages::new();
        };
        let number = self.number();
        search.until = now + HUB_ANSWER_LOST;
        let request = QuotaLeaseRequest {
            request_id: number,
            resource: search.of,
            held: 0.0,
            on_demand_count: search.missing,
            reserve: search.reserve,
            wanted: 0.0,
        };
        self.searches.insert(number, search);
        vec![QuotaMessage::request(hub, request)]
    }

    /// Asks the next hub, or ends a search in vain when there is none.
    fn search_on_or_end(
        &mut self,
        mut search: Search,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        search.hubs.retain(|hub| standing.hears_hub(*hub));
        if search.hubs.is_empty() || search.ends <= now {
            let quiet = Quiet {
                until: now + QUIET_AFTER_NONE,
                told: search.told,
            };
            self.quiet.insert(search.of, quiet);
            return self.end_search(search, standing, find, now);
        }
        self.search_on(search, now)
    }

    /// Tells who asked what was found.
    fn end_search(
        &mut self,
        search: Search,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let of = search.of;
        let found = find(of);
        let has_part = found
            .as_ref()
            .is_some_and(|found| standing.part_of(found) > 0.0);
        let mut told = search.told;
        if has_part {
            told.add(self.more_in(of, standing, found.as_ref()));
        }
        let more_in = told.known();
        let Some((link, number)) = search.asker else {
            let rest = more_in.filter(|_| search.missing > 0);
            let rest = rest.map(AcquireOutcome::Refused);
            let told = self.tell_waiting(of, search.found, rest, now);
            if search.found > told && found.is_some() {
                let pool = self.pools.entry(of).or_default();
                pool.return_unused(search.found - told);
            }
            return QuotaMessages::new();
        };
        let answer = QuotaLeaseReply {
            request_id: number,
            resource: of,
            on_demand_granted: search.found,
            prefetch_granted: 0.0,
            renewed: false,
            retry_after_ms: more_in.map(millis),
        };
        vec![QuotaMessage::reply(link, answer, true)]
    }

    /// Goes on with what waits: searches whose last question was not answered, and requests
    /// for which nobody could tell.
    pub fn poll(
        &mut self,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let is_late = |_: &u32, search: &mut Search| search.until <= now;
        let late: Vec<_> = self.searches.extract_if(is_late).collect();
        let mut messages = QuotaMessages::new();
        for (_, search) in late {
            messages.extend(self.search_on_or_end(search, standing, find, now));
        }
        if let Some(hub) = standing.own_hub {
            let borrowed: Vec<_> = self.borrowers.keys().copied().collect();
            for of in borrowed {
                messages.extend(self.ask_hub(of, hub, now));
            }
            return messages;
        }
        let waited_for: Vec<_> = self.waiting.keys().copied().collect();
        for of in waited_for {
            self.serve_waiting(of, standing, find, now);
            messages.extend(self.search_for_waiting(of, standing, find, now));
        }
        messages
    }

    /// Lets those go on that wait for this box's own part, as far as that has any by now.
    fn serve_waiting(
        &mut self,
        of: LeasedResource,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) {
        let found = find(of);
        let reserves = self.waiting.get(&of).into_iter().flatten();
        let mut reserves: Vec<_> = reserves.map(|waiting| waiting.reserve).collect();
        reserves.sort_by(f32::total_cmp);
        for reserve in reserves {
            let asked = (of, reserve, 0);
            match self.take_of_pool(asked, found.as_ref(), standing, now) {
                AcquireOutcome::Acquired => {
                    self.tell_waiting(of, 1, None, now);
                }
                outcome => {
                    let outcome = self.with_quiet(of, outcome);
                    self.tell_waiting(of, 0, Some(outcome), now);
                    return;
                }
            }
        }
    }

    /// Asks other hubs anew for those that wait for this box's own part.
    fn search_for_waiting(
        &mut self,
        of: LeasedResource,
        standing: &QuotaTopology,
        find: FindQuota<'_>,
        now: Instant,
    ) -> QuotaMessages {
        let is_own = |search: &Search| search.of == of && search.asker.is_none();
        let is_asked = self.searches.values().any(is_own);
        let Some(waiting) = self.waiting.get(&of).filter(|_| !is_asked) else {
            return QuotaMessages::new();
        };
        let missing = waiting.len() as u32;
        let reserves = waiting.iter().map(|waiting| waiting.reserve);
        let reserve = reserves.min_by(f32::total_cmp).unwrap_or_default();
        let lenders = find(of).map(|found| standing.lenders_of(&found));
        let lenders = lenders.unwrap_or_default();
        if lenders.is_empty() || self.is_quiet(of, now) {
            return QuotaMessages::new();
        }
        let search = Search::new(of, None, (0, missing), reserve, now);
        self.begin_search(search, lenders, now)
    }

    /// Forgets what says nothing any more.
    pub fn evict_idle(&mut self, find: FindQuota<'_>, now: Instant) {
        self.borrowers.retain(|_, borrower| !borrower.is_idle(now));
        self.quiet.retain(|_, quiet| quiet.until > now);
        let (clock, place_clocks) = (&self.clock, &self.place_clocks);
        self.pools.retain(|of, pool| {
            find(*of).is_some_and(|found| {
                let clock = clock_of(clock, place_clocks, &found.allocator);
                !pool.is_full(&found.terms, clock, now)
            })
        });
        self.waiting.retain(|_, waiting| {
            waiting.retain(|waiting| !waiting.tell.is_closed());
            !waiting.is_empty()
        });
    }

    fn wait_for(
        &mut self,
        of: LeasedResource,
        reserve: ReserveShare,
        now: Instant,
    ) -> PendingGrant {
        let (tell, told) = async_channel::bounded(1);
        let waiting = self.waiting.entry(of).or_default();
        waiting.retain(|waiting| !waiting.tell.is_closed());
        waiting.push_back(Waiting {
            tell,
            reserve,
            since: now,
        });
        told
    }

    fn number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }
}

impl QuotaTopology {
    /// This box's part of an allowance.
    fn part_of(&self, allowance: &Quota) -> f64 {
        match &allowance.allocator {
            QuotaAllocator::EachHub => self.share,
            QuotaAllocator::DataCentreHub(name) => {
                self.place(name).map_or(self.share, |place| place.share)
            }
        }
    }

    /// The hubs that may have what this box lacks of an allowance.
    fn lenders_of(&self, allowance: &Quota) -> Vec<LinkId> {
        match &allowance.allocator {
            QuotaAllocator::EachHub => self.allocators.clone(),
            QuotaAllocator::DataCentreHub(name) => {
                let place = self.place(name);
                place
                    .and_then(|place| place.allocator)
                    .into_iter()
                    .collect()
            }
        }
    }

    fn place(&self, name: &DataCentreId) -> Option<&DataCentreQuota> {
        self.data_centres
            .iter()
            .find(|place| place.data_centre == *name)
    }

    fn hears_hub(&self, link: LinkId) -> bool {
        let holders = self.data_centres.iter().filter_map(|place| place.allocator);
        self.allocators.contains(&link)
            || holders.into_iter().any(|holder| holder == link)
    }
}

impl Search {
    fn new(
        of: LeasedResource,
        asker: Option<(LinkId, u32)>,
        (found, missing): (u32, u32),
        reserve: ReserveShare,
        now: Instant,
    ) -> Self {
        Self {
            of,
            asker,
            found,
            missing,
            reserve,
            hubs: Vec::new(),
            told: MoreIn::default(),
            until: now,
            ends: now + SEARCH_LASTS,
        }
    }

    fn take(&mut self, found: u32) {
        let found = found.min(self.missing);
        self.found += found;
        self.missing -= found;
    }
}

impl QuotaMessage {
    /// A question.
    pub fn request(link: LinkId, request: QuotaLeaseRequest) -> Self {
        let lending = LeaseMessages {
            requests: vec![request],
            ..LeaseMessages::default()
        };
        Self {
            link,
            lending,
            urgent: request.on_demand_count > 0,
        }
    }

    /// The answer to a question.
    pub fn reply(link: LinkId, answer: QuotaLeaseReply, urgent: bool) -> Self {
        let lending = LeaseMessages {
            replies: vec![answer],
            ..LeaseMessages::default()
        };
        Self {
            link,
            lending,
            urgent,
        }
    }
}

/// An allowance that this box holds a part of, with the clock by which the part earns.
fn held<'a>(
    found: Option<&'a Quota>,
    standing: &QuotaTopology,
    clock: &'a ShareHistory,
    place_clocks: &'a BTreeMap<DataCentreId, ShareHistory>,
) -> Option<(&'a Quota, &'a ShareHistory)> {
    let found = found.filter(|found| standing.part_of(found) > 0.0)?;
    Some((found, clock_of(clock, place_clocks, &found.allocator)))
}

/// The clock by which the parts of an allowance earn.
fn clock_of<'a>(
    clock: &'a ShareHistory,
    place_clocks: &'a BTreeMap<DataCentreId, ShareHistory>,
    held_by: &QuotaAllocator,
) -> &'a ShareHistory {
    match held_by {
        QuotaAllocator::EachHub => clock,
        // Where no hub stands for a data centre, each hub keeps its own part.
        QuotaAllocator::DataCentreHub(name) => place_clocks.get(name).unwrap_or(clock),
    }
}

/// Whether an empty pool tells that the account has used what it may: not while parts are
/// under way, as after losses of boxes. Who asks then waits for what comes with them.
fn may_tell(found: &Quota, clock: &ShareHistory) -> bool {
    !clock.has_grown_recently(&found.terms) && !clock.has_shrunk_recently(&found.terms)
}

/// When there should be one for who comes behind so many others.
fn comes_in(
    pool: &QuotaPool,
    found: &Quota,
    clock: &ShareHistory,
    ahead: usize,
) -> Duration {
    let next_in = pool.time_to_next_token(&found.terms, clock);
    let minted_per_s = found.terms.per_s * clock.share();
    let queue_s = ahead as f64 / minted_per_s.max(LEAST_MINTED_PER_S);
    next_in + Duration::from_secs_f64(queue_s).min(LONGEST_QUEUE)
}

/// Whether what is there after a time is worth a wait rather than a refusal: parts mint moment
/// by moment, and hubs divide them unevenly for as long.
fn comes_soon(more_in: Duration) -> bool {
    more_in <= SOON
}

/// Whether more wait than a part mints while who waits is patient: the last of them are
/// refused at once, whatever the account has used before.
///
/// A part that is only coming, as after losses of boxes, says little of what it will mint:
/// then those of an account beneath its limit may all wait.
fn is_behind_too_many(waiting: usize, found: &Quota, clock: &ShareHistory) -> bool {
    let part = match may_tell(found, clock) {
        true => clock.share(),
        false => clock.max_recent_share().max(PART_TO_COME),
    };
    let minted = found.terms.per_s * part * PATIENCE.as_secs_f64();
    waiting as f64 >= minted.max(1.0)
}

/// Whether boxes hold some of it in advance. What servers take is a few requests a second, so
/// that one which a box holds for none of its own is one that no other box can use.
fn may_be_stocked(of: LeasedResource) -> bool {
    matches!(of, LeasedResource::Account(_))
}

fn millis(span: Duration) -> u32 {
    span.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Another data centre's hub answers within some milliseconds, or some tens where it is busy;
/// what comes later is lost to the allowance.
const HUB_ANSWER_LOST: Duration = Duration::from_millis(60);
/// A request waits so long for one that is sure to come, a small part of the time in which
/// an answer is wanted; a caller over its limit is refused no later.
const SOON: Duration = Duration::from_millis(250);
/// Who is first in line waits for so long: the next one that comes is its own.
const FIRST_WAITS: Duration = Duration::from_millis(600);
/// A part that mints less than this is no part to wait for.
const LEAST_MINTED_PER_S: f64 = 0.01;
/// Nobody waits for longer; the figure is told only.
const LONGEST_QUEUE: Duration = Duration::from_secs(10);
/// The part that a hub may come to have, of a few data centres.
const PART_TO_COME: f64 = 0.5;
/// Who waits for an account's allowance does so a little longer than this.
const PATIENCE: Duration = Duration::from_secs(1);
/// What is found is void where it comes later than `URGENT_LASTS` after it was asked for.
const SEARCH_LASTS: Duration = Duration::from_millis(120);
/// For how long it is not asked anew what no hub had.
const QUIET_AFTER_NONE: Duration = Duration::from_millis(100);
