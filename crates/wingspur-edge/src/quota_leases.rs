//! Asks other boxes for parts of the fleet's allowances, and answers them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use rand::RngExt;
use wingspur_coordination::{
    LinkId, PendingGrant, Quota, QuotaAllocator, QuotaMessages, QuotaTopology,
    ReserveShare,
};
use wingspur_protocol::{LeaseMessages, LeasedResource, ResultCode};
use wingspur_state::{
    AccountTable, AcquireOutcome, ClientAccount, QuotaTerms, QuotaTolerance, ServerKey,
};
use wingspur_transport::StopSignal;

use crate::edge_state::EdgeState;
use crate::lease_messages::send_lease_messages;
use crate::quarantine::{handle_permit_request, handle_permit_response};
use crate::request_error::RequestError;
use crate::request_log::round_for_log;
use crate::resend_lease_exchange::{
    handle_resend_lease_reply, handle_resend_lease_request,
};

/// Lets a request of an account through, or refuses it: by 429 what is over its limit, by 503
/// what nobody could tell in time.
///
/// Each request is paid for by what boxes have minted of the account's limit: none goes
/// through on the strength of news, which other boxes may not hear. `docs/design/allowances.md`
/// proves what that bounds.
pub async fn enforce_account_limit(
    shared: &EdgeState,
    id: &str,
    account: &ClientAccount,
    patience: Duration,
) -> Result<(), RequestError> {
    if !account.is_limited() {
        return Ok(());
    }
    let began = wingspur_clock::now();
    let of = LeasedResource::Account(account.allowance());
    let outcome = acquire_quota(shared, of, 0.0, LONGEST_WAIT.min(patience / 2)).await;
    let (code, more_in) = match outcome {
        AcquireOutcome::Acquired => return Ok(()),
        AcquireOutcome::Refused(more_in) => (ResultCode::AccountLimit, more_in),
        AcquireOutcome::Unknown | AcquireOutcome::Pending => {
            (ResultCode::QuotaUnavailable, Duration::ZERO)
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
    Err(RequestError {
        retry_after: Some(retry_after),
        ..RequestError::from_code(code)
    })
}

/// Takes in what another box asks for and answers.
pub fn handle_lease_messages(
    shared: &Arc<EdgeState>,
    link: LinkId,
    lending: &LeaseMessages,
) {
    if *lending == LeaseMessages::default() {
        return;
    }
    let now = wingspur_clock::now();
    let standing = standing(shared, now);
    let allowances = Allowances::now(shared);
    let find = |of| allowances.find(shared, of);
    let is_lent_here = |of: &LeasedResource| match of {
        LeasedResource::Account(_) | LeasedResource::Server(_) => true,
        LeasedResource::Resend(_)
        | LeasedResource::Hedge(_)
        | LeasedResource::Permit(_) => false,
    };
    let mut state = shared.quota_leases.lock();
    state.update_shares(&standing, now);
    let mut messages = QuotaMessages::new();
    for request in lending
        .requests
        .iter()
        .filter(|ask| is_lent_here(&ask.resource))
    {
        messages.extend(state.handle_request(link, request, &standing, &find, now));
    }
    let answers = lending.replies.iter();
    for answer in answers.filter(|answer| is_lent_here(&answer.resource)) {
        messages.extend(state.handle_answer(answer, &standing, &find, now));
    }
    let is_busy = state.has_pending();
    drop(state);
    take_permits(shared, link, lending);
    messages.extend(take_resend_loans(shared, link, lending));
    send_lease_messages(shared, messages);
    if is_busy {
        shared.quota_lease_pending.notify();
    }
}

/// Keeps the part's clock, and goes on with what waits, until the box stops.
pub async fn run_quota_leases(shared: Arc<EdgeState>, stop: StopSignal) {
    let (mut tidied, mut told_part) = (wingspur_clock::now(), 0.0);
    while !stop.is_triggered() {
        if shared.quota_leases.lock().has_pending() {
            wingspur_clock::sleep(GO_ON_EVERY).await;
        } else {
            shared.quota_lease_pending.wait(CLOCK_EVERY).await;
        }
        let now = wingspur_clock::now();
        let standing = standing(&shared, now);
        let allowances = Allowances::now(&shared);
        let find = |of| allowances.find(&shared, of);
        if (standing.share - told_part).abs() > told_part / TOLD_PART {
            told_part = standing.share;
            tracing::info!(
                part = round_for_log(told_part),
                is_member = standing.own_hub.is_some(),
                "allowance: this box has another part."
            );
        }
        let mut state = shared.quota_leases.lock();
        state.update_shares(&standing, now);
        let messages = state.poll(&standing, &find, now);
        if now.saturating_duration_since(tidied) >= TIDY_EVERY {
            tidied = now;
            state.evict_idle(&find, now);
        }
        drop(state);
        send_lease_messages(&shared, messages);
    }
}

/// Wants one of an allowance; what came of it within a time.
pub async fn acquire_quota(
    shared: &EdgeState,
    of: LeasedResource,
    reserve: ReserveShare,
    patience: Duration,
) -> AcquireOutcome {
    match begin_to_want(shared, of, reserve) {
        Ok(outcome) => outcome,
        Err(told) => wait_until_told(told, patience).await,
    }
}

/// Wants one of an allowance: what came of it, or where that will be told.
fn begin_to_want(
    shared: &EdgeState,
    of: LeasedResource,
    reserve: ReserveShare,
) -> Result<AcquireOutcome, PendingGrant> {
    let now = wingspur_clock::now();
    let standing = standing(shared, now);
    let allowances = Allowances::now(shared);
    let find = |of| allowances.find(shared, of);
    let mut state = shared.quota_leases.lock();
    state.update_shares(&standing, now);
    let (outcome, messages) = state.acquire(of, reserve, &standing, &find, now);
    drop(state);
    send_lease_messages(shared, messages);
    if outcome.is_err() {
        shared.quota_lease_pending.notify();
    }
    outcome
}

async fn wait_until_told(told: PendingGrant, patience: Duration) -> AcquireOutcome {
    let told = async { told.recv().await.unwrap_or(AcquireOutcome::Unknown) };
    let expired = async {
        wingspur_clock::sleep(patience).await;
        AcquireOutcome::Unknown
    };
    told.or(expired).await
}

/// Takes in what is asked and answered of resends.
fn take_resend_loans(
    shared: &EdgeState,
    link: LinkId,
    lending: &LeaseMessages,
) -> QuotaMessages {
    let of_resends = |of: &LeasedResource| {
        matches!(of, LeasedResource::Resend(_) | LeasedResource::Hedge(_))
    };
    let asks = lending
        .requests
        .iter()
        .filter(|ask| of_resends(&ask.resource));
    let answers = lending.replies.iter();
    let answers = answers.filter(|answer| of_resends(&answer.resource));
    let answered = asks.flat_map(|ask| handle_resend_lease_request(shared, link, ask));
    let passed = answers.flat_map(|answer| handle_resend_lease_reply(shared, answer));
    answered.chain(passed).collect()
}

/// Takes in what is asked and answered of requests in quarantine.
fn take_permits(shared: &Arc<EdgeState>, link: LinkId, lending: &LeaseMessages) {
    let of_permits = |of: &LeasedResource| matches!(of, LeasedResource::Permit(_));
    for ask in lending
        .requests
        .iter()
        .filter(|ask| of_permits(&ask.resource))
    {
        handle_permit_request(shared, link, ask);
    }
    let answers = lending.replies.iter();
    for answer in answers.filter(|answer| of_permits(&answer.resource)) {
        handle_permit_response(shared, answer);
    }
}

fn standing(shared: &EdgeState, now: Instant) -> QuotaTopology {
    shared.links.lock().quota_standing(now)
}

/// What allowances are reckoned by: the bundle in force, the settings and servers' limits.
struct Allowances {
    accounts: Option<Arc<AccountTable>>,
    quota: QuotaTolerance,
}

impl Allowances {
    fn now(shared: &EdgeState) -> Self {
        Self {
            accounts: shared.active_bundle().and_then(|now| now.accounts.clone()),
            quota: shared.settings().quota,
        }
    }

    fn find(&self, shared: &EdgeState, of: LeasedResource) -> Option<Quota> {
        match of {
            LeasedResource::Account(key) => {
                let account = self.accounts.as_ref()?.of_allowance(key)?;
                Some(Quota {
                    terms: QuotaTerms::of_account(account, &self.quota),
                    allocator: QuotaAllocator::EachHub,
                })
            }
            LeasedResource::Server(server) => of_server(shared, server),
            LeasedResource::Resend(_)
            | LeasedResource::Hedge(_)
            | LeasedResource::Permit(_) => None,
        }
    }
}

/// What a server takes, held by the hub of its data centre.
fn of_server(shared: &EdgeState, server: ServerKey) -> Option<Quota> {
    let service = shared.services.of_server(server)?;
    let balancer = service.balancer.lock();
    let limit_per_s = balancer.limit(server, wingspur_clock::now())?;
    let data_centre = balancer.record(server)?.data_centre.clone();
    Some(Quota {
        terms: QuotaTerms::of_server(limit_per_s),
        allocator: QuotaAllocator::DataCentreHub(data_centre),
    })
}

/// When a refused caller may come again: once there is more, and not all at once.
fn come_back(more_in: Duration) -> Duration {
    let spread = COME_BACK_SPREAD.mul_f64(rand::rng().random());
    more_in.max(SOONEST_COME_BACK) + spread
}

/// An answer takes some milliseconds; a hub that is lost has a successor after about a second,
/// a box that starts again uses its part 0.8 s later, and what waits by then is minted soon after.
const LONGEST_WAIT: Duration = Duration::from_millis(1800);
/// How often what waits is looked at.
const GO_ON_EVERY: Duration = Duration::from_millis(20);
/// How often the part's clock is set while nobody asks.
const CLOCK_EVERY: Duration = Duration::from_millis(200);
/// A part that is off by more than an eighth is told anew.
const TOLD_PART: f64 = 8.0;
const TIDY_EVERY: Duration = Duration::from_secs(1);
/// Refused callers come back over this span, so that they do not come at once again.
const COME_BACK_SPREAD: Duration = Duration::from_millis(1500);
const SOONEST_COME_BACK: Duration = Duration::from_millis(200);
