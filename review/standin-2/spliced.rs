//! Some answers of servers come after the beginning of a surplus answer that is cut off
//! within its head. A non-idempotent request must run once at most, and none that was
//! refused with a promise may have run.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::entry_box::EntryBox;
use crate::http::Wire;
use crate::store::{Store, StoreOptions};
use crate::{Outcome, Play, Record};

const SERVERS: usize = 6;
const SLOTS: usize = 4;
const WORK: Duration = Duration::from_millis(150);
const REQUESTS: usize = 300;
/// So many of the servers spoil answers: half of them.
const FAULTY: usize = 3;
/// One in so many answers of these is spoiled: less than 3 in 100.
const SPOILED: usize = 34;
/// The requests are sent within 5 s.
const INTERVAL: Duration = Duration::from_micros(16_600);
/// What a server has sent of a surplus refusal when it is cut off.
const REFUSAL: &[u8] = b"HTTP/1.1 421 Misdirected Request\r\nX-Wingspur-Instance-Id: i-02d9";
/// What a server has sent of a surplus success when it is cut off.
const SUCCESS: &[u8] = b"HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 10:";

/// What the spoiled answers are.
#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    /// Successes, each after the beginning of a refusal.
    AfterRefusal,
    /// Failures, each after the beginning of a success.
    AfterSuccess,
}

/// What the servers have run: the request, and whether its answer was spoiled.
type Runs = Arc<Mutex<Vec<(String, bool)>>>;

pub fn play(play: &Play, kind: Kind) -> Outcome {
    let record = &play.record;
    let store = Store::start(StoreOptions { page: 500, behind: Duration::ZERO });
    store.put(
        "op/config",
        r#"{"version":1,"host_routes":[{"name":"r","host":"site.example","path_prefix":"/a/","class":"once_only","timeout_ms":4000,"target_latency_ms":1500,"priority":1,"service":"svc","max_attempts":2}],"services":[{"name":"svc","server_connections":360}],"limits":{"max_head_bytes":16384,"max_body_bytes":1048576,"head_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    );
    let runs = Runs::default();
    let answers = Arc::new(AtomicUsize::new(0));
    for number in 0..SERVERS {
        let id = format!("i-{number}");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let entry = format!(
            r#"{{"service":"svc","address":"{address}","data_centre":"z1","version":"v1","slots":{SLOTS},"state":"ready","cold_ms":0,"seq_no":1}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
        let server = Server {
            id,
            runs: runs.clone(),
            answers: answers.clone(),
            kind,
            is_faulty: play.has_trouble && number < FAULTY,
            record: record.clone(),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
    }
    let started = EntryBox::start(&play.program, &play.folder, "box-1", "z1", store.address);
    if !started.wait_until_ready(Duration::from_secs(10)) {
        record.write("the box does not become ready");
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(4));
    let statuses: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let (id, to) = (format!("{number:016x}"), started.callers);
        let (statuses, record) = (statuses.clone(), record.clone());
        callers.push(std::thread::spawn(move || {
            let status = post(to, &id);
            record.write(&format!("request {id} was answered with {status}"));
            statuses.lock().unwrap().insert(id, status);
        }));
        std::thread::sleep(INTERVAL);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let statuses = statuses.lock().unwrap();
    let mut times: HashMap<&str, u32> = HashMap::new();
    let runs = runs.lock().unwrap();
    for (request, _) in runs.iter() {
        *times.entry(request).or_default() += 1;
    }
    let spoiled = runs.iter().filter(|(_, is_spoiled)| *is_spoiled).count();
    let twice = times.values().filter(|count| **count > 1).count();
    let promises = [408, 421, 429, 503];
    let refused = times.keys().filter(|id| promises.contains(&statuses[**id])).count();
    let failed = runs.iter().filter(|(_, is_spoiled)| *is_spoiled && kind == Kind::AfterSuccess);
    let mixed = failed.filter(|(request, _)| statuses[request] == 200).count();
    let served = statuses.values().filter(|status| **status == 200).count();
    let text = format!(
        "{REQUESTS} requests, {served} served, {spoiled} answers spoiled; {twice} requests ran twice, {refused} were refused with a promise and had run, {mixed} failures were passed on as successes"
    );
    record.write(&text);
    println!("{text}");
    if served == 0 {
        return Outcome::CouldNotRun;
    }
    match twice + refused + mixed {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

#[derive(Clone)]
struct Server {
    id: String,
    runs: Runs,
    /// The number of answers of the servers that spoil some.
    answers: Arc<AtomicUsize>,
    kind: Kind,
    is_faulty: bool,
    record: Record,
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(message) = wire.read() {
            let id = message.header("x-wingspur-request-id").to_owned();
            let is_spoiled = self.is_faulty
                && (self.answers.fetch_add(1, Ordering::SeqCst) + 1).is_multiple_of(SPOILED);
            self.record.write(&format!("server {} runs request {id}", self.id));
            self.runs.lock().unwrap().push((id.clone(), is_spoiled));
            std::thread::sleep(WORK);
            if is_spoiled {
                self.record.write(&format!(
                    "server {} sends the beginning of a surplus answer, and then its answer to {id}",
                    self.id
                ));
                let surplus = match self.kind {
                    Kind::AfterRefusal => REFUSAL,
                    Kind::AfterSuccess => SUCCESS,
                };
                if wire.stream.write_all(surplus).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            let headers = format!(
                "X-Wingspur-Request-Id: {id}\r\nX-Wingspur-Server-Stamp: s-{}\r\n",
                self.id
            );
            let (status, body): (u16, &[u8]) = match is_spoiled && self.kind == Kind::AfterSuccess {
                true => (500, b"failed"),
                false => (200, b"done"),
            };
            if wire.answer(status, &headers, body).is_err() {
                return;
            }
        }
    }
}

fn post(to: SocketAddr, id: &str) -> u16 {
    let Ok(stream) = TcpStream::connect(to) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut wire = Wire::new(stream);
    let request = format!(
        "POST /a/order HTTP/1.1\r\nhost: site.example\r\nx-wingspur-request-id: {id}\r\nx-wingspur-request-deadline-ms: 4000\r\ncontent-length: 5\r\n\r\norder"
    );
    if wire.stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    wire.read().map_or(0, |answer| answer.status())
}
