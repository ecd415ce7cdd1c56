//! A box is killed and started again just after some servers have left. It lists the
//! store by serializable reads; the first page is current, the second one is 3 s old.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{connect, read_answer};
use crate::site::{EntryBox, Folder, Record, Server, configuration, request, route, send};
use crate::store::Store;

const HOST: &str = "hulo84.example";
const SERVERS: usize = 60;
/// The most items of a page of the store.
const PAGE: usize = 50;
const WORK: Duration = Duration::from_millis(240);
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);
/// How old the second page is, and how long the servers that leave serve on.
const STALE: Duration = Duration::from_millis(3000);
const SERVES_ON: Duration = Duration::from_secs(10);

pub fn run(program: &str, record: &Record, trouble: bool) -> i32 {
    let folder = Folder::new("listing");
    let store = Store::start();
    store.set_page(PAGE);
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
    boxes.iter().for_each(EntryBox::note_started);
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
                    let at = Instant::now();
                    let Ok(mut stream) = connect(address) else { continue };
                    if send(&mut stream, &text).is_err() {
                        continue;
                    }
                    answers.lock().unwrap().insert(id.clone(), (place, at, 0));
                    let status = read_answer(&mut stream).map_or(0, |answer| answer.status);
                    record.say(&format!("client: {id} to box {}: answer {status}", place + 1));
                    answers.lock().unwrap().insert(id, (place, at, status));
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(2));

    // Six servers leave without a word: their entries go, and they serve on.
    let leaving = &servers[52..58];
    leaving.iter().for_each(|server| server.withdraw(&store));
    let left = Instant::now();
    let names: Vec<&str> = leaving.iter().map(|server| server.id.as_str()).collect();
    record.say(&format!("store: the entries of {names:?} are removed"));
    boxes[0].kill();
    record.say("box 1: killed");
    std::thread::sleep(Duration::from_millis(500));
    store.take_log();
    if trouble {
        store.set_stale(Duration::ZERO, STALE);
    }
    boxes[0].start();
    record.say("box 1: started again");
    let is_ready = boxes[0].wait_ready(Duration::from_secs(10));
    store.set_stale(Duration::ZERO, Duration::ZERO);
    let calm = Instant::now();
    record.say(&format!("box 1: ready: {is_ready}; from now on all reads are current"));
    store.take_log().iter().for_each(|line| record.say(line));
    std::thread::sleep((left + SERVES_ON).saturating_duration_since(Instant::now()));
    leaving.iter().for_each(Server::end);
    record.say("the servers that have left end");
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let answers = answers.lock().unwrap();
    let (mut late, mut lost) = (0, 0);
    for server in leaving {
        for arrival in server.arrivals() {
            let Some((place, sent, status)) = answers.get(&arrival.id) else { continue };
            // Box 1 was killed, so it is in touch again after `CONTACT`.
            let in_touch = *place != 0 || *sent > calm + CONTACT;
            if arrival.at <= left + DRAIN || !in_touch {
                continue;
            }
            late += 1;
            lost += u32::from(*status != 200);
            let after = (arrival.at - left).as_millis();
            record.say(&format!(
                "DRAIN: {} sent to box {} reached {} {after} ms after its entry was gone, answer {status}",
                arrival.id,
                place + 1,
                server.id,
            ));
        }
    }
    let served = answers.values().filter(|(.., status)| *status == 200).count();
    record.say(&format!(
        "{} requests, {served} served; {late} reached a server too late, {lost} of these were lost as it ended",
        answers.len()
    ));
    match (is_ready && served > 500, late) {
        (false, _) => 2,
        (true, 0) => 0,
        (true, _) => 1,
    }
}
