//! The route table, which maps a request to a route of a service.

use std::collections::HashMap;

use crate::{Bundle, ServiceIndex};

/// Finds the route of a request among tens of thousands.
#[derive(Debug)]
pub struct RouteTable {
    /// One trie for all paths; a value is an index into `paths`.
    trie: matchit::Router<usize>,
    /// For each path, the route of each method. The methods are few, so a list is smaller
    /// than a map.
    paths: Vec<Vec<(Box<str>, RouteMatch)>>,
}

/// The service and route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteMatch {
    /// The service's index in the bundle.
    pub service: ServiceIndex,
    /// The route's index in the service.
    pub route: usize,
}

/// The error for two paths that cannot be in one route table.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{path}` clashes with `{conflicting}`")]
pub struct RouteConflict {
    /// The position of the later route in the bundle.
    pub at: RouteMatch,
    /// The path of the later route.
    pub path: String,
    /// The earlier path, or another reason why the later path is invalid.
    pub conflicting: String,
}

impl RouteTable {
    /// Builds the table; fails if two paths conflict or a path is invalid.
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

    /// Finds the route of a request.
    ///
    /// `None` means that no route has the path, `Some(None)` that the path is known, but
    /// not with this method.
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
                conflicting: with,
            }
        })?;
        self.paths.push(Vec::with_capacity(1));
        Ok(slot)
    }
}
