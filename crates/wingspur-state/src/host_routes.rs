//! Routes by host and path prefix: the longest prefix wins.

use std::collections::HashMap;

use crate::HostRoute;

/// Finds the host route of a request among tens of thousands.
#[derive(Debug, Default)]
pub struct HostRoutes {
    /// For each host in lower case, the index of the route of each path prefix.
    hosts: HashMap<String, HashMap<String, usize>>,
}

impl HostRoutes {
    /// Builds the table; a later route replaces an earlier one with the same host and
    /// prefix.
    pub fn new(routes: &[HostRoute]) -> Self {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        Self { hosts }
    }

    /// Returns the index of a request's route by its host, which may have a port, and its
    /// path; `None` if no route matches.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        // Prefixes end with a slash, so only the path's own slashes can end one.
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| prefixes.get(&path[..end]))
            .next()
            .copied()
    }
}
