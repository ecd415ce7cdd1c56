//! Admission of requests: finds the route of a request and the client account of its key.
//!
//! Callers treat a rejection for an unknown route or key as final. So a box rejects a
//! request for that only if its catalog is fresh. Otherwise it waits a little for newer
//! catalog information, and then reports a stale catalog, so that the caller retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::{AUTHORIZATION, HeaderMap};
use wingspur_protocol::ResultCode;
use wingspur_state::{ClientAccount, KeyDigest};

use crate::catalog::active_bundle::{ActiveBundle, ActiveRoute};
use crate::edge_state::EdgeState;
use crate::request_error::RequestError;

/// A request to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Id of the request, for logs.
    pub id: &'a str,
    /// When it arrived.
    pub arrived: Instant,
    /// How long the caller waits for the response.
    pub timeout: Duration,
}

/// The key and client account that a request is attributed to.
#[derive(Debug, Clone, Default)]
pub struct Principal {
    /// Digest of the caller's key; `None` if the caller gave none or the bundle has no
    /// accounts.
    pub key: Option<KeyDigest>,
    /// The account that the key belonged to when the request was admitted; `None` if
    /// there was none.
    pub account: Option<Arc<ClientAccount>>,
}

/// Error: the caller's key no longer belongs to an account, and the route requires one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRevoked;

/// Finds the route of a request by its host and path.
pub async fn find_route(
    shared: &EdgeState,
    request: &AdmissionRequest<'_>,
    host: &str,
    path: &str,
) -> Result<Arc<ActiveRoute>, RequestError> {
    let find = |bundle: &ActiveBundle| bundle.find(host, path).cloned();
    find_or_reject(shared, request, ResultCode::NoRoute, find).await
}

/// Finds the client account of a request's key, if it has one. A route that is open to all requires
/// none.
pub async fn admit(
    shared: &EdgeState,
    request: &AdmissionRequest<'_>,
    route: &ActiveRoute,
    key: Option<KeyDigest>,
) -> Result<Principal, RequestError> {
    let is_open = route.route.open_to_all;
    let find = |bundle: &ActiveBundle| {
        let Some(accounts) = &bundle.accounts else {
            return Some(Principal::default());
        };
        let account = key.and_then(|key| accounts.find(&key));
        let account = account.cloned();
        (account.is_some() || is_open).then_some(Principal { key, account })
    };
    find_or_reject(shared, request, ResultCode::UnknownKey, find).await
}

impl Principal {
    /// Returns the account that the key belongs to now; `None` if there is none and none
    /// is required.
    ///
    /// It is looked up before each attempt, because the key may have been revoked or
    /// moved to another account while the request waited or before it was resent.
    pub fn account_now(
        &self,
        shared: &EdgeState,
        route: &ActiveRoute,
    ) -> Result<Option<Arc<ClientAccount>>, KeyRevoked> {
        let bundle = shared.active_bundle();
        let accounts = bundle.as_ref().and_then(|bundle| bundle.accounts.as_ref());
        let Some(accounts) = accounts else {
            return Ok(None);
        };
        let account = self.key.and_then(|key| accounts.find(&key));
        match account {
            None if !route.route.open_to_all => Err(KeyRevoked),
            account => Ok(account.cloned()),
        }
    }
}

/// Removes headers that a backend server must not get from a caller: a forged account
/// header and, if the deployment uses keys (`has_keys`), the key.
pub fn strip_credentials(headers: &mut HeaderMap, account_header: &str, has_keys: bool) {
    let is_forged = |name: &&hyper::header::HeaderName| {
        // Some servers read underscores as hyphens.
        name.as_str().replace('_', "-") == account_header
    };
    let forged: Vec<_> = headers.keys().filter(is_forged).cloned().collect();
    for name in forged {
        headers.remove(name);
    }
    if has_keys {
        headers.remove(AUTHORIZATION);
    }
}

/// Looks something up in the active bundle. If it is not there, waits until the catalog
/// is known to be fresh and then rejects with `code`; if that takes too long, with
/// `CatalogStale`.
async fn find_or_reject<T>(
    shared: &EdgeState,
    request: &AdmissionRequest<'_>,
    code: ResultCode,
    find: impl Fn(&ActiveBundle) -> Option<T>,
) -> Result<T, RequestError> {
    let wait_until = request.arrived + MAX_FRESHNESS_WAIT.min(request.timeout / 2);
    loop {
        let bundle = first_bundle(shared, request).await?;
        if let Some(found) = find(&bundle) {
            return Ok(found);
        }
        let now = wingspur_clock::now();
        let age = shared.links.lock().watch_state().confirmed_age(now);
        let is_fresh = age.is_some_and(|age| age <= MAX_FRESH_AGE);
        if is_fresh || now >= wait_until {
            let code = if is_fresh {
                code
            } else {
                ResultCode::CatalogStale
            };
            tracing::info!(
                id = request.id,
                news_age_ms = age.map(|age| age.as_millis() as u64),
                version = bundle.version(),
                result = code.name(),
                "admission: refused."
            );
            return Err(RequestError::from_code(code));
        }
        wingspur_clock::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the active bundle. While a box starts, its requests wait for the first one.
///
/// After a loss of all boxes no other box is ready either, and many callers do not send a
/// refused request again, whatever `Retry-After` says.
async fn first_bundle(
    shared: &EdgeState,
    request: &AdmissionRequest<'_>,
) -> Result<Arc<ActiveBundle>, RequestError> {
    let start_ends_at = shared.started_at + MAX_START_TIME;
    let max_wait = MAX_START_TIME.min(request.timeout / 2);
    let wait_until = start_ends_at.min(request.arrived + max_wait);
    let began_at = wingspur_clock::now();
    loop {
        let now = wingspur_clock::now();
        let waited_ms = now.saturating_duration_since(began_at).as_millis() as u64;
        if let Some(bundle) = shared.active_bundle() {
            if waited_ms > 0 {
                let version = bundle.version();
                tracing::info!(
                    id = request.id,
                    waited_ms,
                    version,
                    "admission: waited for the first bundle."
                );
            }
            return Ok(bundle);
        }
        if now >= wait_until {
            let result = ResultCode::NotReady.name();
            tracing::info!(id = request.id, waited_ms, result, "admission: refused.");
            return Err(RequestError::from_code(ResultCode::NotReady));
        }
        wingspur_clock::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the digest of the request's bearer key; `None` unless it has exactly one
/// authorization header, with a key.
pub fn bearer_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    let (scheme, key) = value.as_bytes().split_first_chunk::<{ SCHEME.len() }>()?;
    let key = key.trim_ascii();
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME);
    (is_bearer && !key.is_empty()).then(|| KeyDigest::of(key))
}

/// Authorization scheme by which a caller sends its key.
const SCHEME: &[u8; 7] = b"Bearer ";
/// Catalog age up to which the catalog counts as fresh. While the store responds to any
/// box that this box receives updates from, the age is at most this plus one store call.
/// Changes have to be active after two to three seconds.
const MAX_FRESH_AGE: Duration = Duration::from_millis(1800);
/// Longest wait for a fresh catalog. A box that has just started has one within this
/// time: it takes 0.8 s until it watches the store, and 0.65 s for the watch to end. A
/// box whose catalog information is late reads the store sooner.
const MAX_FRESHNESS_WAIT: Duration = Duration::from_millis(1500);
/// Time within which a box that starts has its first bundle while the store or another box
/// responds: after a loss of all 116 boxes the slowest had it 0.8 s after its start. Later
/// on, requests are refused at once.
const MAX_START_TIME: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
