//! A waiting watch of the store is cut three times, and servers leave without a word
//! beside it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{connect, read_answer};
use crate::site::{EntryBox, Folder, Record, Server, configuration, request, route, send};
use crate::store::Store;

const HOST: &str = "hulo84.example";
const SERVERS: usize = 24;
const LEAVING: usize = 3;
const WORK: Duration = Duration::from_millis(240);
/// The bound, and how long a server that leaves serves on.
const DRAIN: Duration = Duration::from_millis(2000);
const SERVES_ON: Duration = Duration::from_millis(3500);
const ROUNDS: usize = 3;

pub fn run(program: &str, record: &Record, trouble: bool) -> i32 {
    let folder = Folder::new("cutwatch");
    let store = Store::start();
    let routes = [route("r-1", HOST, "/xapu221/", "once_only", "wuno96b")];
    store.put("op/config", &configuration(7, &routes, &["wuno96b"], ""));
    let servers: Vec<Server> = (0..SERVERS)
        .map(|n| Server::start(&format!("i-{n:02}"), "wuno96b", record, |_| WORK))
        .collect();
    servers.iter().for_each(|server| server.announce(&store));
    let mut boxes = EntryBox::prepare(3, &store, &folder.0, program);
    boxes.iter_mut().for_each(EntryBox::start);
    if !boxes.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        record.say("a box is not ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(8));

    // Clients: 16 at each box, one request after the other, each on a new connection.
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (place, entry) in boxes.iter().enumerate() {
        for client in 0..16 {
            let (address, record) = (entry.callers, record.clone());
            let (answers, stop) = (answers.clone(), stop.clone());
            clients.push(std::thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(20));
                    let id = format!("{place:04x}{client:04x}{n:08x}");
                    let text = request("POST", "/xapu221/1", HOST, &id, 6000, "answer sheet");
                    let Ok(mut stream) = connect(address) else { continue };
                    if send(&mut stream, &text).is_err() {
                        continue;
                    }
                    answers.lock().unwrap().insert(id.clone(), (place, 0));
                    let status = read_answer(&mut stream).map_or(0, |answer| answer.status);
                    record.say(&format!("client: {id} to box {}: answer {status}", place + 1));
                    answers.lock().unwrap().insert(id, (place, status));
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut left = Vec::new();
    let mut touched = BTreeSet::new();
    for round in 0..ROUNDS {
        let mut cut = || {
            if trouble {
                let whose = store.cut_watches();
                record.say(&format!("store: cuts the waiting watches of boxes {whose:?}, from 0"));
                touched.extend(whose);
            }
        };
        cut();
        let leaving = &servers[round * LEAVING..(round + 1) * LEAVING];
        let at = Instant::now();
        for server in leaving {
            server.withdraw(&store);
            left.push((server, Instant::now()));
            record.say(&format!("store: the entry of {} is removed", server.id));
        }
        for _ in 0..2 {
            std::thread::sleep(Duration::from_millis(1500));
            cut();
        }
        std::thread::sleep((at + SERVES_ON).saturating_duration_since(Instant::now()));
        leaving.iter().for_each(Server::end);
        record.say("the servers that have left end");
        std::thread::sleep(Duration::from_millis(5500));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let (mut late, mut lost) = ([0; 3], 0);
    for (server, at) in left {
        for arrival in server.arrivals() {
            let Some((place, status)) = answers.get(&arrival.id) else { continue };
            if arrival.at <= at + DRAIN || touched.contains(place) {
                continue;
            }
            late[*place] += 1;
            lost += u32::from(*status != 200);
            let after = (arrival.at - at).as_millis();
            record.say(&format!(
                "DRAIN: {} sent to box {} reached {} {after} ms after its entry was gone, answer {status}",
                arrival.id,
                place + 1,
                server.id,
            ));
        }
    }
    let served = answers.values().filter(|(_, status)| *status == 200).count();
    record.say(&format!(
        "{} requests, {served} served; at boxes whose own watch was never cut: {late:?} reached a server too late, {lost} of these were lost as it ended",
        answers.len()
    ));
    match (served > 500, late.iter().sum::<u32>()) {
        (false, _) => 2,
        (true, 0) => 0,
        (true, _) => 1,
    }
}
