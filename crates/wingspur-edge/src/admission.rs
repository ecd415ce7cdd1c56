//! Who may ask for what: the route of a request, and the client account of its key.
//!
//! A refusal for a route or a key that is not known is final for its caller. So a box says it
//! only while its news is of a moment ago; else it waits a little for newer news, and then
//! tells the caller to come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::{AUTHORIZATION, HeaderMap};
use wingspur_protocol::ResultCode;
use wingspur_state::{ClientAccount, KeyDigest};

use crate::active_bundle::{ActiveBundle, ActiveRoute};
use crate::edge_state::EdgeState;
use crate::request_error::RequestError;

/// A request that asks to be let in.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Its id, for logs.
    pub id: &'a str,
    /// When it came.
    pub arrived: Instant,
    /// How long its caller waits.
    pub timeout: Duration,
}

/// Whom a request is counted for.
#[derive(Debug, Clone, Default)]
pub struct Principal {
    /// The key that its caller gave; none where none was given or asked for.
    pub key: Option<KeyDigest>,
    /// The account that the key belonged to when the request came.
    pub account: Option<Arc<ClientAccount>>,
}

/// Why a request is not sent any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRevoked;

/// Finds the route of a request.
pub async fn find_route(
    shared: &EdgeState,
    asking: &AdmissionRequest<'_>,
    host: &str,
    path: &str,
) -> Result<Arc<ActiveRoute>, RequestError> {
    let find = |in_force: &ActiveBundle| in_force.find(host, path).cloned();
    find_or_refuse(shared, asking, ResultCode::NoRoute, find).await
}

/// Finds the account of a request's key; a route that is open to all needs none.
pub async fn admit(
    shared: &EdgeState,
    asking: &AdmissionRequest<'_>,
    route: &ActiveRoute,
    headers: &HeaderMap,
) -> Result<Principal, RequestError> {
    let key = key_of(headers);
    let open = route.route.open_to_all;
    let find = |in_force: &ActiveBundle| {
        let Some(accounts) = &in_force.accounts else {
            return Some(Principal::default());
        };
        let account = key.and_then(|key| accounts.find(&key));
        let account = account.cloned();
        (account.is_some() || open).then_some(Principal { key, account })
    };
    find_or_refuse(shared, asking, ResultCode::UnknownKey, find).await
}

impl Principal {
    /// The account that the request is sent for now; none where none is needed.
    ///
    /// Asked before each attempt: a key that was taken away, or that has gone to another
    /// account, while a request waited or was about to be sent again, counts as it is now.
    pub fn account_now(
        &self,
        shared: &EdgeState,
        route: &ActiveRoute,
    ) -> Result<Option<Arc<ClientAccount>>, KeyRevoked> {
        let in_force = shared.active_bundle();
        let accounts = in_force.as_ref().and_then(|now| now.accounts.as_ref());
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

/// Removes what tells a backend server of keys, and what pretends to tell it of accounts.
pub fn strip_credentials(headers: &mut HeaderMap, account_header: &str, has_keys: bool) {
    let pretends = |name: &&hyper::header::HeaderName| {
        // Some servers read underscores as hyphens.
        name.as_str().replace('_', "-") == account_header
    };
    let pretending: Vec<_> = headers.keys().filter(pretends).cloned().collect();
    for name in pretending {
        headers.remove(name);
    }
    if has_keys {
        headers.remove(AUTHORIZATION);
    }
}

/// Finds something in the bundle in force, or refuses by `code` once no newer bundle can be
/// in force elsewhere.
async fn find_or_refuse<T>(
    shared: &EdgeState,
    asking: &AdmissionRequest<'_>,
    code: ResultCode,
    find: impl Fn(&ActiveBundle) -> Option<T>,
) -> Result<T, RequestError> {
    let until = asking.arrived + LONGEST_WAIT.min(asking.timeout / 2);
    loop {
        let in_force = shared.active_bundle();
        let in_force = in_force.ok_or(RequestError::from_code(ResultCode::NotReady))?;
        if let Some(found) = find(&in_force) {
            return Ok(found);
        }
        let now = wingspur_clock::now();
        let age = shared.links.lock().watch_state().confirmed_age(now);
        let is_vouched = age.is_some_and(|age| age <= VOUCHED_FOR);
        if is_vouched || now >= until {
            let code = if is_vouched {
                code
            } else {
                ResultCode::CatalogStale
            };
            tracing::info!(
                id = asking.id,
                news_age_ms = age.map(|age| age.as_millis() as u64),
                version = in_force.version(),
                result = code.name(),
                "admission: refused."
            );
            return Err(RequestError::from_code(code));
        }
        wingspur_clock::sleep(LOOK_AGAIN).await;
    }
}

/// The digest of the one key that a request carries.
fn key_of(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    let (scheme, key) = value.as_bytes().split_first_chunk::<{ SCHEME.len() }>()?;
    let key = key.trim_ascii();
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME);
    (is_bearer && !key.is_empty()).then(|| KeyDigest::of(key))
}

/// How a caller gives its key.
const SCHEME: &[u8; 7] = b"Bearer ";
/// News is no older than this, and one call of the store, while the store answers any box
/// that this one hears of; changes need to be in force after two to three seconds.
const VOUCHED_FOR: Duration = Duration::from_millis(1800);
/// A box that has just started has its first fresh news within this: 0.8 s until it watches
/// the store, and 0.65 s for the watch to end. One whose news is late reads the store sooner.
const LONGEST_WAIT: Duration = Duration::from_millis(1500);
const LOOK_AGAIN: Duration = Duration::from_millis(25);
