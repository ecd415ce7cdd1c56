//! Plays one case of the review: `standin CASE PROGRAM RECORD`, with `TROUBLE=0` without
//! the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.

mod cutwatch;
mod hang;
mod http;
mod json;
mod listing;
mod pipeline;
mod preface;
mod site;
mod store;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = &words[..] else {
        eprintln!("usage: standin CASE PROGRAM RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = site::Record::new(record);
    record.say(&format!("case {case}, trouble: {trouble}"));
    let code = match case.as_str() {
        "cutwatch" => cutwatch::run(program, &record, trouble),
        "hang" => hang::run(program, &record, trouble),
        "listing" => listing::run(program, &record, trouble),
        "pipeline" => pipeline::run(program, &record, trouble),
        "preface" => preface::run(program, &record, trouble),
        _ => 2,
    };
    record.say(&format!("exit {code}"));
    std::process::exit(code);
}
