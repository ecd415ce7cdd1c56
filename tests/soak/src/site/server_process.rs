//! The process of a backend server, and what it reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc;

use rustix::process::Signal;

use crate::site::part::{Part, PartProcess};
use crate::site::server_messages::{
    Arrival, Arrivals, ServerCommand, ServerReport, ServerSpec,
};

/// A backend server and the path to it.
pub struct ServerProcess {
    /// Id of the instance.
    pub instance: String,
    /// Id of a second instance with the same address.
    pub other_instance: Option<String>,
    /// Number of its service.
    pub service: usize,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Address of the path to it.
    pub path_address: SocketAddr,
    process: PartProcess,
}

impl ServerProcess {
    /// Starts the process. Its requests are added to `arrivals`.
    pub fn start(spec: ServerSpec, service: usize, arrivals: Arrivals) -> Self {
        let (started, addresses) = mpsc::channel();
        let instance = spec.instance.clone();
        let mut index_of = HashMap::new();
        let receive = move |report| {
            let mut arrivals = arrivals.lock().expect("no holder panics");
            match report {
                ServerReport::Started(address, path) => {
                    started.send((address, path)).expect("the play waits");
                }
                ServerReport::Arrived {
                    number,
                    id,
                    sending,
                    is_repeated,
                    at,
                } => {
                    index_of.insert(number, arrivals.len());
                    arrivals.push(Arrival::new(id, sending, is_repeated, &instance, at));
                }
                ServerReport::Ran(number, at) => {
                    arrivals[index_of[&number]].ran_at = Some(at);
                }
                ServerReport::Answered(number, status, refused, at) => {
                    let arrival = &mut arrivals[index_of[&number]];
                    arrival.answered = Some((at, status));
                    arrival.refused = refused;
                }
            }
        };
        let instance = spec.instance.clone();
        let other_instance = spec.other_instance.clone();
        let mut process = PartProcess::start(Part::Server, receive);
        process.send(&spec);
        let (address, path_address) = addresses.recv().expect("a server starts");
        Self {
            instance,
            other_instance,
            service,
            address,
            path_address,
            process,
        }
    }

    /// Sends a command.
    pub fn send(&mut self, command: ServerCommand) {
        self.process.send(&command);
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Ends the process, after all its reports were received.
    pub fn close(self) {
        self.process.close();
    }
}
