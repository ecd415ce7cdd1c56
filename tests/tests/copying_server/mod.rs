//! A fake backend server that sends copies of its refusals.
#![allow(dead_code, reason = "each suite uses a part")]

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use wingspur_tests::listen;

/// Status and mark of a refusal by a server that is busy.
pub const REFUSAL_503: &str = "503 Service Unavailable\r\nx-wingspur-not-executed: 1";
/// Status of a refusal by another server than the one that the request names.
pub const REFUSAL_421: &str = "421 Misdirected Request";

/// A server that refuses each id when it comes first, and runs it when it comes again. On
/// the connection on which it has refused the id, a copy of the refusal precedes the
/// response.
pub struct CopyingServer {
    /// The address at which the server listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// The connection on which each id was refused, by the address of its other end.
    refused: HashMap<String, SocketAddr>,
    ran: Vec<String>,
    repeated: HashSet<String>,
}

impl CopyingServer {
    /// Starts a server that refuses with this status line and these headers.
    pub fn start(refusal: &'static str) -> Self {
        let state = Arc::<Mutex<State>>::default();
        let served = state.clone();
        let address = listen(move |head, stream| {
            let id = head.headers["x-wingspur-request-id"].clone();
            let refusal = format!(
                "HTTP/1.1 {refusal}\r\nx-wingspur-request-id: {id}\r\n\
                 content-length: 0\r\n\r\n"
            );
            let own = format!(
                "HTTP/1.1 200 OK\r\nx-wingspur-request-id: {id}\r\n\
                 x-wingspur-server-stamp: stamp\r\ncontent-length: 3\r\n\r\nran"
            );
            let Ok(peer) = stream.peer_addr() else {
                return false;
            };
            let mut state = served.lock().expect("no holder panics");
            let refused_on = state.refused.get(&id).copied();
            let bytes = match refused_on {
                None => {
                    state.refused.insert(id, peer);
                    refusal
                }
                Some(refused_on) => {
                    state.ran.push(id.clone());
                    match refused_on == peer {
                        true => {
                            state.repeated.insert(id);
                            refusal + &own
                        }
                        false => own,
                    }
                }
            };
            drop(state);
            stream.write_all(bytes.as_bytes()).is_ok()
        });
        Self { address, state }
    }

    /// Returns the ids of the requests that ran, in order.
    pub fn executed_ids(&self) -> Vec<String> {
        self.state.lock().expect("no holder panics").ran.clone()
    }

    /// Returns how many ids came again on the connection on which they were refused.
    pub fn repeated(&self) -> usize {
        self.state.lock().expect("no holder panics").repeated.len()
    }
}
