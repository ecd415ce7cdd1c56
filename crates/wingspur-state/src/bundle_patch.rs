//! The changes from one bundle to the next.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Bundle, BundleVersion, ClientAccount, HostRoute};

/// The difference between two bundles: changes of their host routes and client accounts,
/// and all other fields in full, since these are small.
///
/// Most changes touch one route of many: a bundle of 1,420 routes takes 85 KB, and a
/// change of three of them 0.2 KB (encoded as between boxes).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundlePatch {
    /// The version of the bundle that the patch applies to.
    pub before: BundleVersion,
    /// The new bundle, without its host routes and client accounts.
    rest: Bundle,
    /// Host routes that are new or have changed.
    put: Vec<HostRoute>,
    /// Host and path prefix of the routes that were removed.
    removed: Vec<(String, String)>,
    /// The changes of the client accounts; `None` where the new bundle declares no
    /// accounts.
    accounts: Option<AccountsPatch>,
}

/// The difference between two lists of client accounts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct AccountsPatch {
    /// Accounts that are new or have changed.
    put: Vec<Arc<ClientAccount>>,
    /// Names of the accounts that were removed.
    removed: Vec<String>,
}

impl BundlePatch {
    /// Returns the patch from one bundle to another.
    ///
    /// `None` where one of them has two routes with the same host and prefix, since then
    /// the order of the routes matters, or two accounts with the same name.
    pub fn between(before: &Bundle, after: &Bundle) -> Option<Self> {
        let old = by_key(&before.host_routes)?;
        let new = by_key(&after.host_routes)?;
        let has_changed = |route: &&HostRoute| old.get(&key(route)) != Some(route);
        let put = after.host_routes.iter().filter(has_changed);
        let is_removed = |route: &&HostRoute| !new.contains_key(&key(route));
        let removed = before.host_routes.iter().filter(is_removed);
        let owned = |route: &HostRoute| (route.host.clone(), route.path_prefix.clone());
        Some(Self {
            before: before.version,
            put: put.cloned().collect(),
            removed: removed.map(owned).collect(),
            accounts: accounts_between(before, after)?,
            rest: without_lists(after),
        })
    }

    /// Returns the version of the new bundle.
    pub fn version(&self) -> BundleVersion {
        self.rest.version
    }

    /// Applies the patch and returns the new bundle, whose routes and accounts may be in
    /// another order; `None` if `before` has another version than the patch applies to.
    pub fn apply(&self, before: &Bundle) -> Option<Bundle> {
        if before.version != self.before {
            return None;
        }
        let put = self.put.iter().map(key);
        let removed = self
            .removed
            .iter()
            .map(|(host, prefix)| (&**host, &**prefix));
        let touched: HashSet<Key> = put.chain(removed).collect();
        let kept = before.host_routes.iter();
        let kept = kept.filter(|route| !touched.contains(&key(route)));
        let accounts = self.accounts.as_ref();
        Some(Bundle {
            host_routes: kept.chain(&self.put).cloned().collect(),
            client_accounts: accounts.map(|patch| patch.apply(before)),
            ..self.rest.clone()
        })
    }
}

impl AccountsPatch {
    fn apply(&self, before: &Bundle) -> Vec<Arc<ClientAccount>> {
        let put = self.put.iter().map(|account| account.name.as_str());
        let removed = self.removed.iter().map(String::as_str);
        let touched: HashSet<&str> = put.chain(removed).collect();
        let known = before.client_accounts.iter().flatten();
        let kept = known.filter(|account| !touched.contains(account.name.as_str()));
        kept.chain(&self.put).cloned().collect()
    }
}

/// Returns the changes of the accounts. The inner `None` means that the new bundle
/// declares no accounts, the outer one that two accounts of a bundle have the same name.
fn accounts_between(before: &Bundle, after: &Bundle) -> Option<Option<AccountsPatch>> {
    let Some(new) = &after.client_accounts else {
        return Some(None);
    };
    let old = accounts_by_name(before.client_accounts.as_deref().unwrap_or_default())?;
    let new_names = accounts_by_name(new)?;
    let has_changed =
        |account: &&Arc<ClientAccount>| old.get(account.name.as_str()) != Some(account);
    let removed = old.keys().filter(|name| !new_names.contains_key(*name));
    Some(Some(AccountsPatch {
        put: new.iter().filter(has_changed).cloned().collect(),
        removed: removed.map(|name| (*name).to_owned()).collect(),
    }))
}

/// Returns the accounts by name; `None` if two have the same name.
fn accounts_by_name(
    accounts: &[Arc<ClientAccount>],
) -> Option<HashMap<&str, &Arc<ClientAccount>>> {
    let rows = accounts
        .iter()
        .map(|account| (account.name.as_str(), account));
    let by_name: HashMap<_, _> = rows.collect();
    (by_name.len() == accounts.len()).then_some(by_name)
}

/// Host and path prefix.
type Key<'a> = (&'a str, &'a str);

fn key(route: &HostRoute) -> Key<'_> {
    (&route.host, &route.path_prefix)
}

/// Returns the routes by host and prefix; `None` if two have the same host and prefix.
fn by_key(routes: &[HostRoute]) -> Option<HashMap<Key<'_>, &HostRoute>> {
    let by_key: HashMap<_, _> = routes.iter().map(|route| (key(route), route)).collect();
    (by_key.len() == routes.len()).then_some(by_key)
}

fn without_lists(bundle: &Bundle) -> Bundle {
    Bundle {
        version: bundle.version,
        fleet: bundle.fleet.clone(),
        account_header: bundle.account_header.clone(),
        services: bundle.services.clone(),
        host_routes: Vec::new(),
        client_accounts: None,
        caller_limits: bundle.caller_limits,
    }
}
