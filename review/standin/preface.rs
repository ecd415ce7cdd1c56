//! A client whose request head arrives in two pieces, the first of one byte.

use std::time::Duration;

use crate::http::{connect, read_answer};
use crate::site::{EntryBox, Folder, Record, Server, configuration, request, route, send};
use crate::store::Store;

const HOST: &str = "hulo84.example";

pub fn run(program: &str, record: &Record, trouble: bool) -> i32 {
    let folder = Folder::new("preface");
    let store = Store::start();
    let routes = [route("r-1", HOST, "/xapu221/", "once_only", "wuno96b")];
    store.put("op/config", &configuration(7, &routes, &["wuno96b"], ""));
    let servers: Vec<Server> = (0..3)
        .map(|n| Server::start(&format!("i-{n}"), "wuno96b", record, |_| Duration::from_millis(50)))
        .collect();
    servers.iter().for_each(|server| server.announce(&store));
    let mut boxes = EntryBox::prepare(1, &store, &folder.0, program);
    boxes[0].start();
    if !boxes[0].wait_ready(Duration::from_secs(10)) {
        record.say("the box is not ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));
    let (mut served, mut broken) = (0, 0);
    for n in 0..20 {
        let id = format!("{n:016x}");
        let text = request("POST", "/xapu221/1", HOST, &id, 6000, "final answer");
        let Ok(mut stream) = connect(boxes[0].callers) else {
            record.say(&format!("client: {id}: no connection"));
            return 2;
        };
        let (first, rest) = text.split_at(if trouble { 1 } else { text.len() });
        let sent = send(&mut stream, first);
        if trouble {
            std::thread::sleep(Duration::from_millis(200));
        }
        let sent = sent.and_then(|()| send(&mut stream, rest));
        record.say(&format!("client: {id}: sent in pieces of {} and {} bytes: {sent:?}", first.len(), rest.len()));
        match read_answer(&mut stream) {
            Ok(answer) => {
                record.say(&format!("client: {id}: answer {}", answer.status));
                served += usize::from(answer.status == 200);
            }
            Err(bytes) if bytes.is_empty() => {
                record.say(&format!("client: {id}: closed without an answer"));
            }
            Err(bytes) => {
                record.say(&format!("client: {id}: bytes that are no answer: {bytes:02x?}"));
                broken += 1;
            }
        }
    }
    let ran: usize = servers.iter().map(|server| server.arrivals().len()).sum();
    record.say(&format!("20 requests: {served} served, {broken} got bytes that are no answer, {ran} ran"));
    if broken > 0 { 1 } else if served == 20 { 0 } else { 2 }
}
