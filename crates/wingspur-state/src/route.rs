//! The route table: which route of which service a request takes.

use std::collections::HashMap;

use crate::{Bundle, ServiceIndex};

/// Finds the route of a request among tens of thousands.
#[derive(Debug)]
pub struct RouteTable {
    /// One trie for all paths; the value points into `paths`.
    trie: matchit::Router<usize>,
    /// For each path, what each method leads to: few, so a list is smaller than a map.
    paths: Vec<Vec<(Box<str>, RouteMatch)>>,
}

/// Where a request leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteMatch {
    /// The service's position in the bundle.
    pub service: ServiceIndex,
    /// The route's position in the service.
    pub route: usize,
}

/// Two paths that cannot stand beside each other.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{path}` clashes with `{with}`")]
pub struct RouteConflict {
    /// Where the later of the two stands.
    pub at: RouteMatch,
    /// Its path.
    pub path: String,
    /// The path before it.
    pub with: String,
}

impl RouteTable {
    /// Builds the table.
    pub fn new(bundle: &Bundle) -> Result<Self, RouteConflict> {
        let mut table = Self {
            trie: matchit::Router::new(),
            paths: Vec::new(),
        };
        let mut known: HashMap<&str, usize> = HashMap::new();
        for (service, declared) in bundle.services.iter().enumerate() {
            for (route_index, route) in declared.routes.iter().enumerate() {
                let at = RouteMatch {
                    service,
                    route: route_index,
                };
                let slot = match known.get(route.path.as_str()) {
                    Some(&slot) => slot,
                    None => table.add_path(&route.path, at)?,
                };
                known.insert(&route.path, slot);
                for method in &route.methods {
                    table.paths[slot].push((method.as_str().into(), at));
                }
            }
        }
        Ok(table)
    }

    /// Finds the route; `Ok(None)` means that the path is known by other methods.
    pub fn find(&self, method: &str, path: &str) -> Option<Option<RouteMatch>> {
        let found = self.trie.at(path).ok()?;
        let methods = &self.paths[*found.value];
        let known = methods.iter().find(|(name, _)| **name == *method);
        Some(known.map(|(_, target)| *target))
    }

    fn add_path(&mut self, path: &str, at: RouteMatch) -> Result<usize, RouteConflict> {
        let slot = self.paths.len();
        let inserted = self.trie.insert(path, slot);
        inserted.map_err(|error| {
            let with = match error {
                matchit::InsertError::Conflict { with } => with,
                other => other.to_string(),
            };
            RouteConflict {
                at,
                path: path.to_owned(),
                with,
            }
        })?;
        self.paths.push(Vec::with_capacity(1));
        Ok(slot)
    }
}
