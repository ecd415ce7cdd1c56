//! What boxes lend each other of client accounts' allowances: asked for, lent, waited for.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use rand::RngExt;
use rand::seq::SliceRandom;
use wingspur_coordination::LinkId;
use wingspur_protocol::{Lendable, Lending, LoanAnswer, LoanRequest, ResultCode};
use wingspur_state::{
    AccountUse, AllowanceKey, AllowanceTerms, Borrowed, Borrower, BorrowerAsk,
    ClientAccount, PartClock, Pool, QuotaSettings, ServiceTally, StockAsk, Stocked,
};
use wingspur_transport::StopSignal;

use crate::attempts::GivenUp;
use crate::in_force::InForce;
use crate::quarantine::{answer_permit, take_permit_answer};
use crate::request_log::rounded;
use crate::resend_loans::{answer_resend, take_resend_answer};
use crate::shared::Shared;

/// What this box has lent and borrowed.
#[derive(Debug)]
pub struct LendingState {
    clock: PartClock,
    pools: HashMap<AllowanceKey, Pool>,
    borrowers: HashMap<AllowanceKey, Borrower>,
    /// Requests of callers that wait, the first first.
    waiting: HashMap<AllowanceKey, VecDeque<Waiting>>,
    /// What this box has not enough of, and asks other hubs for; by the last question.
    searches: HashMap<u32, Search>,
    /// How much of each account's limit is used, by own counts and by news.
    uses: HashMap<AllowanceKey, AccountUse>,
    /// What this box has let through of each account.
    own: HashMap<AllowanceKey, OwnCount>,
    /// Until when it is of no use to ask other hubs for an allowance.
    quiet: HashMap<AllowanceKey, Instant>,
    last_number: u32,
}

/// What this box has let through of an account, and whether others are to be told.
#[derive(Debug, Clone, Copy, Default)]
struct OwnCount {
    requests: u32,
    changed: bool,
}

/// Who waits for one of an allowance.
type Waiting = async_channel::Sender<Borrowed>;

/// What other hubs are asked for, one after the other.
#[derive(Debug)]
struct Search {
    key: AllowanceKey,
    /// The member that asked, with its question's number; none for this box's own requests.
    asker: Option<(LinkId, u32)>,
    found: u32,
    missing: u32,
    hubs: Vec<LinkId>,
    until: Instant,
}

/// What is to be sent once the state is unlocked.
pub type LendingMessages = Vec<LendingMessage>;

/// What is asked of another box, or answered.
#[derive(Debug)]
pub struct LendingMessage {
    /// Where it goes.
    pub link: LinkId,
    /// What it says.
    pub lending: Lending,
    /// Whether somebody waits for it; else it goes with the next frame.
    pub urgent: bool,
}

/// What this box is among the others.
struct Standing {
    own_hub: Option<LinkId>,
    other_hubs: Vec<LinkId>,
    part: f64,
}

/// The terms of all allowances as they are now.
struct TermsTable {
    in_force: Option<Arc<InForce>>,
    quota: QuotaSettings,
}

/// Lets a request of an account through, or refuses it: by 429 what is over its limit, by 503
/// what nobody could tell in time.
pub async fn admit_within_limit(
    shared: &Shared,
    id: &str,
    account: &ClientAccount,
) -> Result<(), GivenUp> {
    if !account.is_limited() {
        return Ok(());
    }
    let began = wingspur_clock::now();
    let key = account.allowance();
    let wanted = match is_let_through_freely(shared, account, began) {
        true => Ok(Borrowed::Taken),
        false => want(shared, key),
    };
    let outcome = match wanted {
        Ok(outcome) => outcome,
        Err(told) => {
            let told = async { told.recv().await.unwrap_or(Borrowed::Unknown) };
            let expired = async {
                wingspur_clock::sleep(LONGEST_WAIT).await;
                Borrowed::Unknown
            };
            told.or(expired).await
        }
    };
    let (code, more_in) = match outcome {
        Borrowed::Taken => {
            shared.lending.lock().count_own(key);
            shared.news.poke();
            return Ok(());
        }
        Borrowed::Refused(more_in) => (ResultCode::AccountLimit, more_in),
        Borrowed::Unknown | Borrowed::Waits => {
            (ResultCode::AllowanceUnknown, Duration::ZERO)
        }
    };
    let retry_after = come_back(more_in);
    tracing::info!(
        id,
        account = account.name,
        waited_ms = wingspur_clock::since(began).as_millis() as u64,
        more_in_ms = more_in.as_millis() as u64,
        retry_after_ms = retry_after.as_millis() as u64,
        result = code.name(),
        "allowance: refused."
    );
    Err(GivenUp {
        retry_after: Some(retry_after),
        ..GivenUp::plain(code)
    })
}

/// Whether the account is far beneath its limit, by news that is fresh.
fn is_let_through_freely(shared: &Shared, account: &ClientAccount, now: Instant) -> bool {
    let heard_age = shared.links.lock().heard_age(now);
    if heard_age.is_none_or(|age| age > FREE_BY_NEWS_OF) {
        return false;
    }
    let mut state = shared.lending.lock();
    let fresh = || AccountUse::unknown(account, now);
    let used = state.uses.entry(account.allowance()).or_insert_with(fresh);
    used.is_far_beneath(account, now)
}

/// Takes in what other boxes have let through of accounts.
pub fn note_elsewhere(shared: &Shared, counts: &[(u64, ServiceTally)]) {
    let mut state = shared.lending.lock();
    for (key, tally) in counts {
        if let Some(used) = state.uses.get_mut(key) {
            used.count(tally.requests);
        }
    }
}

/// What this box has let through of accounts, where that has changed since it was last told.
pub fn own_counts(shared: &Shared) -> Vec<(u64, ServiceTally)> {
    let mut state = shared.lending.lock();
    let changed = state.own.iter_mut().filter(|(_, count)| count.changed);
    let told = changed.map(|(key, count)| {
        count.changed = false;
        let tally = ServiceTally {
            requests: count.requests,
            ..ServiceTally::default()
        };
        (*key, tally)
    });
    told.collect()
}

/// Takes in what another box asks for and answers.
pub fn take_lending(shared: &Arc<Shared>, link: LinkId, lending: &Lending) {
    if lending.asks.is_empty() && lending.answers.is_empty() {
        return;
    }
    let now = wingspur_clock::now();
    let (standing, terms) = (standing(shared, now), TermsTable::now(shared));
    let mut state = shared.lending.lock();
    state.clock.note(standing.part, now);
    let mut messages = LendingMessages::new();
    for request in &lending.asks {
        if let Lendable::Account(key) = request.of {
            let asked = (key, link, request);
            messages.extend(state.answer(asked, &standing, &terms, now));
        }
    }
    for answer in &lending.answers {
        if let Lendable::Account(key) = answer.of {
            messages.extend(state.take_answer(key, answer, &standing, &terms, now));
        }
    }
    let searches = !state.searches.is_empty();
    drop(state);
    take_permits(shared, link, lending);
    messages.extend(take_resend_loans(shared, link, lending));
    send(shared, messages);
    if searches {
        shared.lending_bell.poke();
    }
}

/// Keeps the part's clock, and ends what was asked for in vain, until the box stops.
pub async fn run_lending(shared: Arc<Shared>, stop: StopSignal) {
    let (mut tidied, mut told_part) = (wingspur_clock::now(), 0.0);
    while !stop.is_given() {
        if shared.lending.lock().searches.is_empty() {
            shared.lending_bell.wait(CLOCK_EVERY).await;
        } else {
            wingspur_clock::sleep(HUB_ANSWER_LOST / 3).await;
        }
        let now = wingspur_clock::now();
        let (standing, terms) = (standing(&shared, now), TermsTable::now(&shared));
        if (standing.part - told_part).abs() > told_part / TOLD_PART {
            told_part = standing.part;
            tracing::info!(
                part = rounded(told_part),
                is_member = standing.own_hub.is_some(),
                "allowance: this box has another part."
            );
        }
        let mut state = shared.lending.lock();
        state.clock.note(standing.part, now);
        let mut messages = state.end_searches(&standing, &terms, now);
        messages.extend(state.renew_stocks(&standing, now));
        if now.saturating_duration_since(tidied) >= TIDY_EVERY {
            tidied = now;
            state.tidy(&terms, now);
        }
        drop(state);
        send(&shared, messages);
    }
}

/// Sends what there is to ask and to answer.
pub fn send(shared: &Shared, messages: LendingMessages) {
    for message in messages {
        let outgoing = shared.links.lock().lending_frame(message);
        let Some(outgoing) = outgoing else { continue };
        match outgoing.sender.send(&outgoing.frame) {
            Ok(bytes) => shared.metrics.count_frame(bytes),
            // The link's own task notices that it has ended.
            Err(error) => tracing::debug!(%error, "lending: not sent."),
        }
    }
}

impl LendingState {
    /// A box that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            clock: PartClock::new(now),
            pools: HashMap::new(),
            borrowers: HashMap::new(),
            waiting: HashMap::new(),
            searches: HashMap::new(),
            uses: HashMap::new(),
            own: HashMap::new(),
            quiet: HashMap::new(),
            last_number: 0,
        }
    }

    /// Counts a request that was let through.
    fn count_own(&mut self, key: AllowanceKey) {
        let own = self.own.entry(key).or_default();
        own.requests = own.requests.wrapping_add(1);
        own.changed = true;
        if let Some(used) = self.uses.get_mut(&key) {
            used.count(1);
        }
    }

    /// The terms of an allowance, with no more depth than is left of the burst by news.
    fn terms_left(
        &mut self,
        key: AllowanceKey,
        terms: &TermsTable,
        now: Instant,
    ) -> Option<AllowanceTerms> {
        let account = terms.account(key)?;
        let whole = AllowanceTerms::of_account(account, &terms.quota);
        let used = self.uses.get_mut(&key);
        let left = used.map_or(account.burst / 2.0, |used| used.left(account, now));
        Some(whole.with_burst_left(account, left))
    }

    /// Wants one of an allowance, of the hub.
    fn want_of_hub(
        &mut self,
        key: AllowanceKey,
        hub: LinkId,
        now: Instant,
    ) -> (
        Result<Borrowed, async_channel::Receiver<Borrowed>>,
        LendingMessages,
    ) {
        let borrower = self.borrowers.entry(key).or_default();
        let outcome = borrower.want(now);
        let outcome = match outcome {
            Borrowed::Waits => Err(self.wait_for(key)),
            outcome => Ok(outcome),
        };
        (outcome, self.ask_hub(key, hub, now))
    }

    /// Wants one of an allowance, of this box's own part or else of other hubs.
    fn want_of_pool(
        &mut self,
        key: AllowanceKey,
        standing: &Standing,
        terms: &TermsTable,
        now: Instant,
    ) -> (
        Result<Borrowed, async_channel::Receiver<Borrowed>>,
        LendingMessages,
    ) {
        let terms = self.terms_left(key, terms, now);
        let terms = terms.filter(|_| standing.part > 0.0);
        let Some(terms) = &terms else {
            return (Ok(Borrowed::Unknown), LendingMessages::new());
        };
        let pool = self.pools.entry(key).or_default();
        if pool.take(terms, &self.clock, now) {
            return (Ok(Borrowed::Taken), LendingMessages::new());
        }
        let more_in = pool.next_in(terms, &self.clock);
        if !self.may_search(key, standing, now) {
            return (Ok(Borrowed::Refused(more_in)), LendingMessages::new());
        }
        let told = self.wait_for(key);
        let search = Search::new(key, None, 0, 1, standing, now);
        (Err(told), self.search_on(search, now))
    }

    /// Asks the hub for what is short.
    fn ask_hub(
        &mut self,
        key: AllowanceKey,
        hub: LinkId,
        now: Instant,
    ) -> LendingMessages {
        let waiting = self
            .waiting
            .get(&key)
            .map_or(0, |waiting| waiting.len() as u32);
        let mut messages = LendingMessages::new();
        // What is urgent first, then the stock.
        for waiting in [waiting, 0] {
            let number = self.number();
            let borrower = self.borrowers.entry(key).or_default();
            let Some(ask) = borrower.ask(number, waiting, now) else {
                continue;
            };
            let request = LoanRequest {
                number,
                of: Lendable::Account(key),
                held: 0.0,
                urgent: 0,
                wanted: 0.0,
            };
            let request = match ask {
                BorrowerAsk::Urgent(urgent) => LoanRequest { urgent, ..request },
                BorrowerAsk::Stock { held, wanted } => LoanRequest {
                    held,
                    wanted,
                    ..request
                },
            };
            messages.push(LendingMessage::asking(hub, request));
        }
        messages
    }

    /// Answers the question of another box, at once or after other hubs were asked.
    fn answer(
        &mut self,
        (key, link, request): (AllowanceKey, LinkId, &LoanRequest),
        standing: &Standing,
        terms: &TermsTable,
        now: Instant,
    ) -> LendingMessages {
        let mut answer = LoanAnswer {
            number: request.number,
            of: request.of,
            urgent: 0,
            stock: 0.0,
            renewed: false,
            more_in_ms: None,
        };
        let is_urgent = request.urgent > 0;
        let terms = self.terms_left(key, terms, now);
        let terms = terms.filter(|_| standing.part > 0.0);
        let Some(terms) = &terms else {
            return vec![LendingMessage::answering(link, answer, is_urgent)];
        };
        let pool = self.pools.entry(key).or_default();
        if !is_urgent {
            let ask = StockAsk {
                borrower: link,
                held: request.held,
                wanted: request.wanted,
            };
            let stocked = pool.stock(&ask, terms, &self.clock, now);
            answer.stock = stocked.amount;
            answer.renewed = stocked.renewed;
            return vec![LendingMessage::answering(link, answer, is_urgent)];
        }
        answer.urgent = pool.lend_at_once(request.urgent, terms, &self.clock, now);
        answer.more_in_ms = Some(millis(pool.next_in(terms, &self.clock)));
        let missing = request.urgent - answer.urgent;
        let is_hubs = standing.other_hubs.contains(&link);
        if missing == 0 || is_hubs || !self.may_search(key, standing, now) {
            return vec![LendingMessage::answering(link, answer, is_urgent)];
        }
        let asker = Some((link, request.number));
        let search = Search::new(key, asker, answer.urgent, missing, standing, now);
        self.search_on(search, now)
    }

    /// Takes in the answer of another box.
    fn take_answer(
        &mut self,
        key: AllowanceKey,
        answer: &LoanAnswer,
        standing: &Standing,
        terms: &TermsTable,
        now: Instant,
    ) -> LendingMessages {
        if let Some(mut search) = self.searches.remove(&answer.number) {
            search.take(answer.urgent);
            return match search.missing {
                0 => self.end_search(search, terms),
                _ => self.search_on_or_end(search, standing, terms, now),
            };
        }
        let Some(borrower) = self.borrowers.get_mut(&key) else {
            return LendingMessages::new();
        };
        let stocked = Stocked {
            amount: answer.stock,
            renewed: answer.renewed,
        };
        borrower.take_stock(answer.number, &stocked, now);
        let more_in = answer.more_in_ms.map(|ms| Duration::from_millis(ms.into()));
        let (number, urgent) = (answer.number, answer.urgent);
        let granted = borrower.take_urgent(number, urgent, more_in, now);
        let refusal = borrower.refusal(now);
        self.tell_waiting(key, granted, refusal);
        match standing.own_hub {
            Some(hub) => self.ask_hub(key, hub, now),
            None => LendingMessages::new(),
        }
    }

    /// Tells the first ones that wait that they may go, and the others that they may not, if
    /// that is known.
    fn tell_waiting(&mut self, key: AllowanceKey, granted: u32, rest: Option<Borrowed>) {
        let Some(waiting) = self.waiting.get_mut(&key) else {
            return;
        };
        let granted = (granted as usize).min(waiting.len());
        for waiting in waiting.drain(..granted) {
            // One that has given up does not listen: what it was lent is void.
            let _ = waiting.try_send(Borrowed::Taken);
        }
        if let Some(outcome) = rest {
            for waiting in waiting.drain(..) {
                let _ = waiting.try_send(outcome);
            }
        }
        if waiting.is_empty() {
            self.waiting.remove(&key);
        }
    }

    /// Whether other hubs may have what this box lacks.
    fn may_search(&self, key: AllowanceKey, standing: &Standing, now: Instant) -> bool {
        let quiet = self.quiet.get(&key);
        !standing.other_hubs.is_empty() && quiet.is_none_or(|until| *until <= now)
    }

    /// Asks the next hub.
    fn search_on(&mut self, mut search: Search, now: Instant) -> LendingMessages {
        let Some(hub) = search.hubs.pop() else {
            return LendingMessages::new();
        };
        let number = self.number();
        search.until = now + HUB_ANSWER_LOST;
        let request = LoanRequest {
            number,
            of: Lendable::Account(search.key),
            held: 0.0,
            urgent: search.missing,
            wanted: 0.0,
        };
        self.searches.insert(number, search);
        vec![LendingMessage::asking(hub, request)]
    }

    /// Asks the next hub, or ends a search in vain when there is none.
    fn search_on_or_end(
        &mut self,
        mut search: Search,
        standing: &Standing,
        terms: &TermsTable,
        now: Instant,
    ) -> LendingMessages {
        search.hubs.retain(|hub| standing.other_hubs.contains(hub));
        if search.hubs.is_empty() {
            self.quiet.insert(search.key, now + QUIET_AFTER_NONE);
            return self.end_search(search, terms);
        }
        self.search_on(search, now)
    }

    /// Tells who asked what was found.
    fn end_search(&mut self, search: Search, terms: &TermsTable) -> LendingMessages {
        let key = search.key;
        let terms = terms
            .account(key)
            .map(|account| AllowanceTerms::of_account(account, &terms.quota));
        let pool = self.pools.entry(key).or_default();
        let more_in = terms.map(|terms| pool.next_in(&terms, &self.clock));
        let Some((link, number)) = search.asker else {
            let refusal = more_in.map_or(Borrowed::Unknown, Borrowed::Refused);
            let rest = (search.missing > 0).then_some(refusal);
            self.tell_waiting(key, search.found, rest);
            return LendingMessages::new();
        };
        let answer = LoanAnswer {
            number,
            of: Lendable::Account(key),
            urgent: search.found,
            stock: 0.0,
            renewed: false,
            more_in_ms: more_in.map(millis),
        };
        vec![LendingMessage::answering(link, answer, true)]
    }

    /// Goes on with searches whose last question was not answered.
    fn end_searches(
        &mut self,
        standing: &Standing,
        terms: &TermsTable,
        now: Instant,
    ) -> LendingMessages {
        let is_late = |_: &u32, search: &mut Search| search.until <= now;
        let late: Vec<_> = self.searches.extract_if(is_late).collect();
        let ended = late
            .into_iter()
            .map(|(_, search)| self.search_on_or_end(search, standing, terms, now));
        ended.flatten().collect()
    }

    /// Asks the hub for what is about to end, or short.
    fn renew_stocks(&mut self, standing: &Standing, now: Instant) -> LendingMessages {
        let Some(hub) = standing.own_hub else {
            return LendingMessages::new();
        };
        let keys: Vec<_> = self.borrowers.keys().copied().collect();
        let asks = keys.into_iter().map(|key| self.ask_hub(key, hub, now));
        asks.flatten().collect()
    }

    /// Forgets what says nothing any more.
    fn tidy(&mut self, terms: &TermsTable, now: Instant) {
        self.borrowers.retain(|_, borrower| !borrower.is_idle(now));
        self.quiet.retain(|_, until| *until > now);
        let clock = &self.clock;
        self.pools.retain(|key, pool| {
            let account = terms.account(*key);
            account.is_some_and(|account| {
                let whole = AllowanceTerms::of_account(account, &terms.quota);
                !pool.is_full(&whole, clock, now)
            })
        });
        self.waiting.retain(|_, waiting| {
            waiting.retain(|waiting| !waiting.is_closed());
            !waiting.is_empty()
        });
    }

    fn wait_for(&mut self, key: AllowanceKey) -> async_channel::Receiver<Borrowed> {
        let (tell, told) = async_channel::bounded(1);
        let waiting = self.waiting.entry(key).or_default();
        waiting.retain(|waiting| !waiting.is_closed());
        waiting.push_back(tell);
        told
    }

    fn number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }
}

impl Search {
    fn new(
        key: AllowanceKey,
        asker: Option<(LinkId, u32)>,
        found: u32,
        missing: u32,
        standing: &Standing,
        now: Instant,
    ) -> Self {
        let mut hubs = standing.other_hubs.clone();
        hubs.shuffle(&mut rand::rng());
        Self {
            key,
            asker,
            found,
            missing,
            hubs,
            until: now,
        }
    }

    fn take(&mut self, found: u32) {
        let found = found.min(self.missing);
        self.found += found;
        self.missing -= found;
    }
}

impl TermsTable {
    fn now(shared: &Shared) -> Self {
        Self {
            in_force: shared.in_force(),
            quota: shared.settings().quota,
        }
    }

    /// The account of an allowance; none where there is no such.
    fn account(&self, key: AllowanceKey) -> Option<&Arc<ClientAccount>> {
        let accounts = self.in_force.as_ref()?.accounts.as_ref()?;
        accounts.of_allowance(key)
    }
}

/// Wants one of an allowance: what came of it, or where that will be told.
fn want(
    shared: &Shared,
    key: AllowanceKey,
) -> Result<Borrowed, async_channel::Receiver<Borrowed>> {
    let now = wingspur_clock::now();
    let (standing, terms) = (standing(shared, now), TermsTable::now(shared));
    let mut state = shared.lending.lock();
    state.clock.note(standing.part, now);
    let (outcome, messages) = match standing.own_hub {
        Some(hub) => state.want_of_hub(key, hub, now),
        None => state.want_of_pool(key, &standing, &terms, now),
    };
    let searches = !state.searches.is_empty();
    drop(state);
    send(shared, messages);
    if searches {
        shared.lending_bell.poke();
    }
    outcome
}

/// Takes in what is asked and answered of resends.
fn take_resend_loans(
    shared: &Shared,
    link: LinkId,
    lending: &Lending,
) -> LendingMessages {
    let of_resends =
        |of: &Lendable| matches!(of, Lendable::Resend(_) | Lendable::Hedge(_));
    let asks = lending.asks.iter().filter(|ask| of_resends(&ask.of));
    let answers = lending.answers.iter();
    let answers = answers.filter(|answer| of_resends(&answer.of));
    let answered = asks.flat_map(|ask| answer_resend(shared, link, ask));
    let passed = answers.flat_map(|answer| take_resend_answer(shared, answer));
    answered.chain(passed).collect()
}

/// Takes in what is asked and answered of requests in quarantine.
fn take_permits(shared: &Arc<Shared>, link: LinkId, lending: &Lending) {
    let of_permits = |of: &Lendable| matches!(of, Lendable::Permit(_));
    for ask in lending.asks.iter().filter(|ask| of_permits(&ask.of)) {
        answer_permit(shared, link, ask);
    }
    let answers = lending.answers.iter();
    for answer in answers.filter(|answer| of_permits(&answer.of)) {
        take_permit_answer(shared, answer);
    }
}

fn standing(shared: &Shared, now: Instant) -> Standing {
    let mut links = shared.links.lock();
    Standing {
        own_hub: links.own_hub(),
        other_hubs: links.other_hubs(),
        part: links.part(now),
    }
}

/// When a refused caller may come again: once there is more, and not all at once.
fn come_back(more_in: Duration) -> Duration {
    let spread = COME_BACK_SPREAD.mul_f64(rand::rng().random());
    more_in.max(SOONEST_COME_BACK) + spread
}

impl LendingMessage {
    /// A question.
    pub fn asking(link: LinkId, request: LoanRequest) -> Self {
        let lending = Lending {
            asks: vec![request],
            answers: Vec::new(),
        };
        Self {
            link,
            lending,
            urgent: request.urgent > 0,
        }
    }

    /// The answer to a question.
    pub fn answering(link: LinkId, answer: LoanAnswer, urgent: bool) -> Self {
        let lending = Lending {
            asks: Vec::new(),
            answers: vec![answer],
        };
        Self {
            link,
            lending,
            urgent,
        }
    }
}

fn millis(span: Duration) -> u32 {
    span.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Accounts far beneath their limits are let through freely by news of the last second, which
/// is a few tenths old while all is well.
const FREE_BY_NEWS_OF: Duration = Duration::from_secs(1);
/// An answer of the own hub takes a millisecond or two, with those of other hubs some more;
/// beyond this the hub is lost, and its successor asked by those who come then.
const LONGEST_WAIT: Duration = Duration::from_millis(300);
/// Another data centre's hub answers within some milliseconds.
const HUB_ANSWER_LOST: Duration = Duration::from_millis(30);
/// For how long it is not asked anew what no hub had.
const QUIET_AFTER_NONE: Duration = Duration::from_millis(100);
/// How often the part's clock is set while nobody asks.
const CLOCK_EVERY: Duration = Duration::from_millis(200);
/// A part that is off by more than an eighth is told anew.
const TOLD_PART: f64 = 8.0;
const TIDY_EVERY: Duration = Duration::from_secs(1);
/// Refused callers come back over this span, so that they do not come at once again.
const COME_BACK_SPREAD: Duration = Duration::from_millis(1500);
const SOONEST_COME_BACK: Duration = Duration::from_millis(200);
