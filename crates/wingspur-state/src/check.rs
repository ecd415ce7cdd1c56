//! Checks of a complete bundle: every finding names the field and the fix.

use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use crate::{Bundle, ClientAccount, KeyDigest, RouteClass, RouteTable, Service};

/// One thing wrong with a bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The path of the field, such as `services[2].floor`.
    pub field: String,
    /// What was found there.
    pub found: String,
    /// What to do about it.
    pub fix: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.field, self.found, self.fix)
    }
}

/// Checks a complete bundle and returns all findings.
pub fn check_bundle(bundle: &Bundle) -> Vec<Finding> {
    let mut findings = Vec::new();
    if bundle.version == 0 {
        report(
            &mut findings,
            "version",
            "0",
            "number bundles from 1 upwards",
        );
    }
    if bundle.fleet.is_empty() {
        report(&mut findings, "fleet", "empty", "give the fleet's name");
    }
    if bundle.services.is_empty() {
        report(
            &mut findings,
            "services",
            "empty",
            "declare at least one service",
        );
    }
    let mut names = HashSet::new();
    for (index, service) in bundle.services.iter().enumerate() {
        let at = format!("services[{index}]");
        if !names.insert(service.name.as_str()) {
            let found = format!("`{}` stands twice", service.name);
            report(
                &mut findings,
                &format!("{at}.name"),
                &found,
                "rename one of them",
            );
        }
        check_service(&mut findings, &at, service);
    }
    check_route_conflicts(&mut findings, bundle);
    let accounts = bundle.client_accounts.as_deref().unwrap_or_default();
    findings.extend(check_accounts(accounts));
    findings
}

/// Checks the client accounts and returns all findings.
pub fn check_accounts(accounts: &[Arc<ClientAccount>]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut names = HashSet::new();
    let mut owners: HashMap<&KeyDigest, &str> = HashMap::new();
    for (index, account) in accounts.iter().enumerate() {
        let at = format!("client_accounts[{index}]");
        check_account(&mut findings, &at, account);
        if !names.insert(account.name.as_str()) {
            let found = format!("`{}` stands twice", account.name);
            let fix = "rename one of them";
            report(&mut findings, &format!("{at}.name"), &found, fix);
        }
        for key in &account.keys_sha256 {
            let owner = owners.insert(key, &account.name);
            if let Some(owner) = owner.filter(|owner| *owner != account.name) {
                let found =
                    format!("a key of `{}` as well as of `{owner}`", account.name);
                let fix = "give each key to one account";
                report(&mut findings, &format!("{at}.keys_sha256"), &found, fix);
            }
        }
    }
    findings
}

fn check_account(findings: &mut Vec<Finding>, at: &str, account: &ClientAccount) {
    let is_visible = |byte: u8| byte.is_ascii_graphic();
    let length = account.name.len();
    let fits = (1..=MAX_NAME_BYTES).contains(&length);
    if !fits || !account.name.bytes().all(is_visible) {
        // The name is sent to servers in a header.
        let found = format!("`{}`", account.name.escape_debug());
        let fix = "use 1 to 128 visible ASCII characters without blanks";
        report(findings, &format!("{at}.name"), &found, fix);
    }
    let limits = [
        ("requests_per_s", account.requests_per_s),
        ("burst", account.burst),
    ];
    for (field, value) in limits {
        if !value.is_finite() || value < 0.0 {
            let fix = "use 0, for no limit, or more";
            report(findings, &format!("{at}.{field}"), &value.to_string(), fix);
        }
    }
}

fn check_service(findings: &mut Vec<Finding>, at: &str, service: &Service) {
    if service.name.is_empty() || service.name.contains('/') {
        let found = format!("`{}`", service.name);
        let fix = "use a name that is not empty and has no `/`";
        report(findings, &format!("{at}.name"), &found, fix);
    }
    let percent = service.floor.healthy_slots_percent;
    if percent == 0 || percent > 100 {
        let field = format!("{at}.floor.healthy_slots_percent");
        report(findings, &field, &percent.to_string(), "use 1 to 100");
    }
    let false_ejections = service.detection.false_ejections_per_server_day;
    if !(1e-6..=100.0).contains(&false_ejections) {
        let field = format!("{at}.detection.false_ejections_per_server_day");
        report(
            findings,
            &field,
            &false_ejections.to_string(),
            "use 0.000001 to 100",
        );
    }
    if service.limits.concurrency == 0 {
        let field = format!("{at}.limits.concurrency");
        report(findings, &field, "0", "let at least one request through");
    }
    if service.limits.account_requests_per_s.is_nan()
        || service.limits.account_requests_per_s <= 0.0
    {
        let field = format!("{at}.limits.account_requests_per_s");
        let found = service.limits.account_requests_per_s.to_string();
        report(findings, &field, &found, "use a rate above 0");
    }
    for status in &service.retry.not_run_statuses {
        if !(400..=599).contains(status) {
            let field = format!("{at}.retry.not_run_statuses");
            report(
                findings,
                &field,
                &status.to_string(),
                "use statuses from 400 to 599",
            );
        }
    }
    check_servers(findings, at, service);
    check_routes(findings, at, service);
}

fn check_servers(findings: &mut Vec<Finding>, at: &str, service: &Service) {
    if service.servers.is_empty() {
        let fix = "declare at least one backend server";
        report(findings, &format!("{at}.servers"), "empty", fix);
    }
    let mut names = HashSet::new();
    let mut addresses = HashSet::new();
    for (index, server) in service.servers.iter().enumerate() {
        let at = format!("{at}.servers[{index}]");
        if !names.insert(&server.name) {
            let found = format!("`{}` stands twice", server.name);
            report(
                findings,
                &format!("{at}.name"),
                &found,
                "rename one of them",
            );
        }
        if !addresses.insert(server.address) {
            let found = format!("{} stands twice", server.address);
            report(
                findings,
                &format!("{at}.address"),
                &found,
                "remove one of them",
            );
        }
        if server.slots == 0 {
            report(findings, &format!("{at}.slots"), "0", "use 1 or more");
        }
        if server.connections == 0 {
            report(findings, &format!("{at}.connections"), "0", "use 1 or more");
        }
    }
}

fn check_routes(findings: &mut Vec<Finding>, at: &str, service: &Service) {
    for (index, route) in service.routes.iter().enumerate() {
        let at = format!("{at}.routes[{index}]");
        if !route.path.starts_with('/') {
            let found = format!("`{}`", route.path);
            report(
                findings,
                &format!("{at}.path"),
                &found,
                "begin the path with `/`",
            );
        }
        if route.methods.is_empty() {
            let fix = "name at least one, such as \"GET\"";
            report(findings, &format!("{at}.methods"), "empty", fix);
        }
        if route.deadline_ms == 0 {
            report(
                findings,
                &format!("{at}.deadline_ms"),
                "0",
                "use 1 ms or more",
            );
        }
        if route.key_header.is_some() && route.class != RouteClass::OnceOnly {
            let fix = "remove it, or make the class `once_only`";
            let found = "set on a route that is not once-only";
            report(findings, &format!("{at}.key_header"), found, fix);
        }
        let safe = |method: &String| method == "GET" || method == "HEAD";
        if route.class == RouteClass::Download && !route.methods.iter().all(safe) {
            let found = "a download by a method other than GET or HEAD";
            report(
                findings,
                &format!("{at}.methods"),
                found,
                "use GET and HEAD only",
            );
        }
    }
}

/// Reports routes with the same method and path, and paths that cannot be in one route
/// table.
fn check_route_conflicts(findings: &mut Vec<Finding>, bundle: &Bundle) {
    let mut seen: HashMap<(&str, &str), String> = HashMap::new();
    for (s, service) in bundle.services.iter().enumerate() {
        for (r, route) in service.routes.iter().enumerate() {
            let field = format!("services[{s}].routes[{r}].path");
            for method in &route.methods {
                let key = (method.as_str(), route.path.as_str());
                if let Some(first) = seen.insert(key, field.clone()) {
                    let found = format!("`{method} {}` stands at {first}", route.path);
                    report(findings, &field, &found, "remove one of the two");
                }
            }
        }
    }
    if findings.is_empty()
        && let Err(conflict) = RouteTable::new(bundle)
    {
        let field = format!(
            "services[{}].routes[{}].path",
            conflict.at.service, conflict.at.route
        );
        report(
            findings,
            &field,
            &conflict.to_string(),
            "write both paths alike",
        );
    }
}

fn report(findings: &mut Vec<Finding>, field: &str, found: &str, fix: &str) {
    let (field, found, fix) = (field.to_owned(), found.to_owned(), fix.to_owned());
    findings.push(Finding { field, found, fix });
}

/// Backend servers accept longer headers, but no account needs a longer name.
const MAX_NAME_BYTES: usize = 128;
