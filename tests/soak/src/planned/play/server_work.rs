//! Work on backend servers: added, released, emptied, taken away.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::seq::SliceRandom;
use serde_json::json;

use super::{Later, Play};
use crate::planned::operator::SERVICES;
use crate::planned::record::{RunId, ServiceIndex};
use crate::planned::servers::Server;

impl Play<'_> {
    pub(super) fn add_server(&mut self, service: ServiceIndex) {
        let number = self.servers.len();
        let server = Server::start(
            format!("i-{number}"),
            service,
            self.data_centre(number / SERVICES.len()),
            self.schedule.shedding == Some(service),
            self.ledger.clone(),
        );
        self.servers.push(server);
        self.announce(number, "ready");
    }

    fn announce(&mut self, number: usize, state: &str) {
        let server = &self.servers[number];
        let entry = json!({
            "service": SERVICES[server.service], "address": server.address,
            "data_centre": server.data_centre, "slots": 8, "state": state, "cold_ms": 0,
        });
        self.store.put(&server_key(&server.run), &entry);
        self.note(format!("server i-{number} is {state}"));
    }

    /// Replaces servers, a few at a time: the new one first.
    pub(super) fn release(&mut self, service: ServiceIndex, count: usize) {
        let mut old: Vec<usize> = self.ready_servers(service);
        old.shuffle(&mut self.random);
        for (place, server) in old.into_iter().take(count).enumerate() {
            let step = (place / RELEASED_TOGETHER) as u32;
            self.plan(RELEASE_GAP * step, Later::Replace(server));
        }
    }

    /// A server says that it leaves, serves on for a while, and ends.
    pub(super) fn leave(&mut self, number: usize) {
        if self.left.contains_key(&self.servers[number].run) {
            return;
        }
        self.announce(number, "leaving");
        self.note_left(number);
    }

    /// A server's entry goes without a word.
    pub(super) fn vanish(&mut self, number: usize) {
        let run = self.servers[number].run.clone();
        self.store.remove(&server_key(&run));
        self.note(format!("server {run} is announced no longer"));
        self.note_left(number);
    }

    /// A server ends, and its entry with it.
    pub(super) fn end_server(&mut self, number: usize) {
        let run = self.servers[number].run.clone();
        self.store.remove(&server_key(&run));
        self.servers[number].end();
        self.note(format!("server {run} ends"));
    }

    fn note_left(&mut self, number: usize) {
        let run = self.servers[number].run.clone();
        self.left.insert(run, Instant::now());
        let more = Duration::from_millis(self.random.random_range(0..3000));
        self.plan(SERVES_ON + more, Later::End(number));
    }

    /// A server that its service can do without.
    pub(super) fn spare_server(&mut self, service: ServiceIndex) -> Option<usize> {
        let ready = self.ready_servers(service);
        let drawn = self.random.random_range(0..ready.len().max(1));
        (ready.len() > 2).then(|| ready[drawn])
    }

    fn ready_servers(&self, service: ServiceIndex) -> Vec<usize> {
        let numbers = 0..self.servers.len();
        let ready = numbers.filter(|number| {
            let server = &self.servers[*number];
            server.service == service && !self.left.contains_key(&server.run)
        });
        ready.collect()
    }
}

fn server_key(run: &RunId) -> String {
    format!("servers/{run}")
}

const RELEASED_TOGETHER: usize = 2;
const RELEASE_GAP: Duration = Duration::from_millis(700);
/// A leaving server serves on for the bound and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2500);
