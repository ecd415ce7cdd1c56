//! Leases parts of fleet-wide quotas from other boxes and grants leases to them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use rand::RngExt;
use wingspur_coordination::{
    LinkId, PendingGrant, QueueView, Quota, QuotaAllocator, QuotaMessages, QuotaTopology,
    ReserveShare,
};
use wingspur_protocol::{LeaseMessages, LeasedResource, ResultCode};
use wingspur_state::{
    AccountTable, AcquireOutcome, ClientAccount, Priority, QuotaTerms, QuotaTolerance,
    ServerKey,
};
use wingspur_transport::StopSignal;

use crate::edge_state::EdgeState;
use crate::log_values::round_for_log;
use crate::peers::lease_messages::send_lease_messages;
use crate::quotas::quarantine::{handle_permit_request, handle_permit_response};
use crate::quotas::resend_lease_exchange::{
    handle_resend_lease_reply, handle_resend_lease_request,
};
use crate::request_error::RequestError;

/// Admits a request within its client account's rate limit. Rejects it with 429 if the
/// account is over its limit, and with 503 if the quota state could not be determined in
/// time.
///
/// Each admitted request spends quota that boxes have issued from the account's limit.
/// Updates between boxes never suffice to admit one, because other boxes may not receive
/// them. `docs/design/allowances.md` proves the bound that follows. All requests of an
/// account have its priority, so the priority of the route decides which of them goes
/// first.
pub async fn enforce_account_limit(
    shared: &EdgeState,
    id: &str,
    account: &ClientAccount,
    route_priority: Priority,
    timeout: Duration,
) -> Result<(), RequestError> {
    if !account.is_limited() {
        return Ok(());
    }
    let started_at = wingspur_clock::now();
    let resource = LeasedResource::Account(account.quota_key());
    let reserve = ReserveShare::from(route_priority);
    let timeout = MAX_QUOTA_WAIT.min(timeout / 2);
    let (outcome, has_waited) = match request_quota(shared, resource, reserve) {
        Ok(outcome) => (outcome, false),
        Err(grant) => (wait_for_grant(grant, timeout).await, true),
    };
    let (code, available_in) = match outcome {
        AcquireOutcome::Acquired => return Ok(()),
        AcquireOutcome::Refused(available_in) => (ResultCode::AccountLimit, available_in),
        AcquireOutcome::Unknown | AcquireOutcome::Pending => {
            (ResultCode::QuotaUnavailable, Duration::ZERO)
        }
    };
    let reason = match outcome {
        AcquireOutcome::Refused(_) if has_waited => "waited",
        AcquireOutcome::Refused(_) => "queue_full",
        _ => "unknown",
    };
    shared.metrics.count_quota_refusal(reason);
    let queue = queue_view(shared, resource);
    let retry_after = retry_after_with_jitter(available_in);
    tracing::info!(
        id,
        account = account.name,
        waited_ms = wingspur_clock::since(started_at).as_millis() as u64,
        more_in_ms = available_in.as_millis() as u64,
        retry_after_ms = retry_after.as_millis() as u64,
        rank = route_priority,
        queue_length = queue.length,
        tokens_due = queue.due,
        report_age_ms = queue.report_age.map(|age| age.as_millis() as u64),
        reason,
        result = code.name(),
        "allowance: refused."
    );
    Err(RequestError {
        retry_after: Some(retry_after),
        ..RequestError::from_code(code)
    })
}

/// Handles the lease requests and replies that a frame from another box carries.
pub fn handle_lease_messages(
    shared: &Arc<EdgeState>,
    link: LinkId,
    received: &LeaseMessages,
) {
    if *received == LeaseMessages::default() {
        return;
    }
    let now = wingspur_clock::now();
    let topology = topology(shared, now);
    let quotas = QuotaTable::current(shared);
    let find = |resource| quotas.find(shared, resource);
    let is_quota = |resource: &LeasedResource| match resource {
        LeasedResource::Account(_) | LeasedResource::Server(_) => true,
        LeasedResource::Resend(_)
        | LeasedResource::Hedge(_)
        | LeasedResource::Permit(_) => false,
    };
    let mut state = shared.quota_leases.lock();
    state.update_shares(&topology, now);
    let mut messages = QuotaMessages::new();
    for request in received
        .requests
        .iter()
        .filter(|request| is_quota(&request.resource))
    {
        messages.extend(state.handle_request(link, request, &topology, &find, now));
    }
    let replies = received.replies.iter();
    for reply in replies.filter(|reply| is_quota(&reply.resource)) {
        messages.extend(state.handle_reply(reply, &topology, &find, now));
    }
    let is_busy = state.has_pending();
    drop(state);
    handle_permits(shared, link, received);
    messages.extend(handle_resend_leases(shared, link, received));
    send_lease_messages(shared, messages);
    if is_busy {
        shared.quota_lease_pending.notify();
    }
}

/// Refreshes this box's quota share and retries pending lease requests until the box
/// stops.
pub async fn run_quota_leases(shared: Arc<EdgeState>, stop: StopSignal) {
    let (mut evicted_at, mut logged_share) = (wingspur_clock::now(), 0.0);
    while !stop.is_triggered() {
        if shared.quota_leases.lock().has_pending() {
            wingspur_clock::sleep(PENDING_POLL_INTERVAL).await;
        } else {
            shared
                .quota_lease_pending
                .wait(SHARE_REFRESH_INTERVAL)
                .await;
        }
        let now = wingspur_clock::now();
        let topology = topology(&shared, now);
        let quotas = QuotaTable::current(&shared);
        let find = |resource| quotas.find(&shared, resource);
        if (topology.share - logged_share).abs() > logged_share / SHARE_LOG_DIVISOR {
            logged_share = topology.share;
            tracing::info!(
                part = round_for_log(logged_share),
                is_member = topology.own_hub.is_some(),
                "allowance: this box has another part."
            );
        }
        let mut state = shared.quota_leases.lock();
        state.update_shares(&topology, now);
        let messages = state.poll(&topology, &find, now);
        if now.saturating_duration_since(evicted_at) >= EVICTION_INTERVAL {
            evicted_at = now;
            state.evict_idle(&find, now);
        }
        drop(state);
        send_lease_messages(&shared, messages);
    }
}

/// Acquires one unit of a quota. Returns `Unknown` if there is no outcome within
/// `timeout`.
pub async fn acquire_quota(
    shared: &EdgeState,
    resource: LeasedResource,
    reserve: ReserveShare,
    timeout: Duration,
) -> AcquireOutcome {
    match request_quota(shared, resource, reserve) {
        Ok(outcome) => outcome,
        Err(grant) => wait_for_grant(grant, timeout).await,
    }
}

/// Requests one unit of a quota. Returns the outcome, or the channel on which it will
/// arrive.
fn request_quota(
    shared: &EdgeState,
    resource: LeasedResource,
    reserve: ReserveShare,
) -> Result<AcquireOutcome, PendingGrant> {
    let now = wingspur_clock::now();
    let topology = topology(shared, now);
    let quotas = QuotaTable::current(shared);
    let find = |resource| quotas.find(shared, resource);
    let mut state = shared.quota_leases.lock();
    state.update_shares(&topology, now);
    let (outcome, messages) = state.acquire(resource, reserve, &topology, &find, now);
    drop(state);
    send_lease_messages(shared, messages);
    if outcome.is_err() {
        shared.quota_lease_pending.notify();
    }
    outcome
}

/// Returns what this box knows of the queue for a quota.
fn queue_view(shared: &EdgeState, resource: LeasedResource) -> QueueView {
    let now = wingspur_clock::now();
    let topology = topology(shared, now);
    let quotas = QuotaTable::current(shared);
    let find = |resource| quotas.find(shared, resource);
    let mut state = shared.quota_leases.lock();
    state.queue_view(resource, &topology, &find, now)
}

async fn wait_for_grant(grant: PendingGrant, timeout: Duration) -> AcquireOutcome {
    let grant = async { grant.recv().await.unwrap_or(AcquireOutcome::Unknown) };
    let expired = async {
        wingspur_clock::sleep(timeout).await;
        AcquireOutcome::Unknown
    };
    grant.or(expired).await
}

/// Handles the lease requests and replies for resends; returns the messages to send.
fn handle_resend_leases(
    shared: &EdgeState,
    link: LinkId,
    received: &LeaseMessages,
) -> QuotaMessages {
    let is_resend = |resource: &LeasedResource| {
        matches!(
            resource,
            LeasedResource::Resend(_) | LeasedResource::Hedge(_)
        )
    };
    let requests = received
        .requests
        .iter()
        .filter(|request| is_resend(&request.resource));
    let replies = received.replies.iter();
    let replies = replies.filter(|reply| is_resend(&reply.resource));
    let responses =
        requests.flat_map(|request| handle_resend_lease_request(shared, link, request));
    let forwarded_replies =
        replies.flat_map(|reply| handle_resend_lease_reply(shared, reply));
    responses.chain(forwarded_replies).collect()
}

/// Handles the permit requests and replies for quarantined requests.
fn handle_permits(shared: &Arc<EdgeState>, link: LinkId, received: &LeaseMessages) {
    let is_permit =
        |resource: &LeasedResource| matches!(resource, LeasedResource::Permit(_));
    for request in received
        .requests
        .iter()
        .filter(|request| is_permit(&request.resource))
    {
        handle_permit_request(shared, link, request);
    }
    let replies = received.replies.iter();
    for reply in replies.filter(|reply| is_permit(&reply.resource)) {
        handle_permit_response(shared, reply);
    }
}

fn topology(shared: &EdgeState, now: Instant) -> QuotaTopology {
    shared.links.lock().quota_standing(now)
}

/// Looks up quotas from the active bundle, the settings and the limits of servers.
struct QuotaTable {
    accounts: Option<Arc<AccountTable>>,
    quota: QuotaTolerance,
}

impl QuotaTable {
    fn current(shared: &EdgeState) -> Self {
        Self {
            accounts: shared
                .active_bundle()
                .and_then(|bundle| bundle.accounts.clone()),
            quota: shared.settings().quota,
        }
    }

    fn find(&self, shared: &EdgeState, resource: LeasedResource) -> Option<Quota> {
        match resource {
            LeasedResource::Account(key) => {
                let account = self.accounts.as_ref()?.find_by_quota(key)?;
                Some(Quota {
                    terms: QuotaTerms::of_account(account, &self.quota),
                    allocator: QuotaAllocator::EachHub,
                })
            }
            LeasedResource::Server(server) => server_quota(shared, server),
            LeasedResource::Resend(_)
            | LeasedResource::Hedge(_)
            | LeasedResource::Permit(_) => None,
        }
    }
}

/// Returns the quota of a server's rate limit, which the hub of its data centre
/// allocates. `None` if the server is not announced or has no limit.
fn server_quota(shared: &EdgeState, server: ServerKey) -> Option<Quota> {
    let service = shared.services.of_server(server)?;
    let balancer = service.balancer.lock();
    let limit_per_s = balancer.limit(server, wingspur_clock::now())?;
    let data_centre = balancer.record(server)?.data_centre.clone();
    Some(Quota {
        terms: QuotaTerms::of_server(limit_per_s),
        allocator: QuotaAllocator::DataCentreHub(data_centre),
    })
}

/// Returns the delay after which a refused caller may retry: when quota is expected to be
/// available, plus jitter so that callers do not all return at once.
fn retry_after_with_jitter(available_in: Duration) -> Duration {
    let jitter = RETRY_AFTER_JITTER.mul_f64(rand::rng().random());
    available_in.max(MIN_RETRY_AFTER) + jitter
}

/// Longest wait for the quota of an account. A reply takes some milliseconds. A lost hub
/// is replaced after about a second, a restarted box uses its share 0.8 s later, and the
/// quota for requests that wait by then is issued soon after.
const MAX_QUOTA_WAIT: Duration = Duration::from_millis(1800);
/// Interval at which pending lease requests are polled.
const PENDING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the quota share is refreshed while no lease request is pending.
const SHARE_REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// A share is logged again once it differs from the last logged one by more than an
/// eighth of that one. This is the divisor.
const SHARE_LOG_DIVISOR: f64 = 8.0;
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);
/// Retries of refused callers are spread over this time, so that they do not arrive at
/// once.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(1500);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
