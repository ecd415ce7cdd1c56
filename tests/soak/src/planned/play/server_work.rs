//! Planned work on backend servers: adding, replacing, draining and removing them.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::seq::SliceRandom;
use serde_json::json;

use super::{FollowUp, Play};
use crate::planned::operator::SERVICES;
use crate::planned::record::{InstanceId, ServiceIndex};
use crate::planned::servers::Server;

impl Play<'_> {
    pub(super) fn add_server(&mut self, service: ServiceIndex) {
        let number = self.servers.len();
        let server = Server::start(
            format!("i-{number}"),
            service,
            self.data_centre(number / SERVICES.len()),
            self.schedule.shedding == Some(service),
            self.arrivals.clone(),
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
        self.store.put(&server_key(&server.instance), &entry);
        self.log_work(format!("server i-{number} is {state}"));
    }

    /// Replaces servers, a few at a time. Each new server starts before the old one
    /// drains.
    pub(super) fn release(&mut self, service: ServiceIndex, count: usize) {
        let mut old: Vec<usize> = self.ready_servers(service);
        old.shuffle(&mut self.random);
        for (index, server) in old.into_iter().take(count).enumerate() {
            let step = (index / RELEASE_BATCH) as u32;
            self.plan(RELEASE_GAP * step, FollowUp::Replace(server));
        }
    }

    /// Announces that a server is draining; it works on for a while and ends. Does
    /// nothing for a server that was withdrawn before.
    pub(super) fn drain_server(&mut self, number: usize) {
        if self
            .withdrawn_at
            .contains_key(&self.servers[number].instance)
        {
            return;
        }
        self.announce(number, "leaving");
        self.record_withdrawal(number);
    }

    /// Removes the catalog entry of a server without draining it; it works on for a while
    /// and ends.
    pub(super) fn remove_entry(&mut self, number: usize) {
        let instance = self.servers[number].instance.clone();
        self.store.remove(&server_key(&instance));
        self.log_work(format!("server {instance} is announced no longer"));
        self.record_withdrawal(number);
    }

    /// Removes the catalog entry of a server and ends the server.
    pub(super) fn end_server(&mut self, number: usize) {
        let instance = self.servers[number].instance.clone();
        self.store.remove(&server_key(&instance));
        self.servers[number].end();
        self.log_work(format!("server {instance} ends"));
    }

    fn record_withdrawal(&mut self, number: usize) {
        let instance = self.servers[number].instance.clone();
        self.withdrawn_at.insert(instance, Instant::now());
        let extra = Duration::from_millis(self.random.random_range(0..3000));
        self.plan(WORKS_ON + extra, FollowUp::End(number));
    }

    /// Draws a ready server that can be withdrawn; `None` if the service has only two or
    /// fewer.
    pub(super) fn spare_server(&mut self, service: ServiceIndex) -> Option<usize> {
        let ready = self.ready_servers(service);
        let drawn = self.random.random_range(0..ready.len().max(1));
        (ready.len() > 2).then(|| ready[drawn])
    }

    fn ready_servers(&self, service: ServiceIndex) -> Vec<usize> {
        let numbers = 0..self.servers.len();
        let ready = numbers.filter(|number| {
            let server = &self.servers[*number];
            server.service == service && !self.withdrawn_at.contains_key(&server.instance)
        });
        ready.collect()
    }
}

fn server_key(instance: &InstanceId) -> String {
    format!("servers/{instance}")
}

const RELEASE_BATCH: usize = 2;
const RELEASE_GAP: Duration = Duration::from_millis(700);
/// A withdrawn server works on for the bound of 2 s and a little longer.
const WORKS_ON: Duration = Duration::from_millis(2500);
