//! Plays one case of the review: `standin CASE FOLDER PROGRAM`. The environment variable
//! `TROUBLE=0` leaves out the disruption. Exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case couldn't run.

mod entry_box;
mod http;
mod isolated;
mod json;
mod server;
mod spliced;
mod store;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

/// Where and how a case is played.
pub struct Play {
    pub program: String,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
    pub record: Record,
}

/// The file with what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn write(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, program] = arguments.as_slice() else {
        eprintln!("standin CASE FOLDER PROGRAM");
        std::process::exit(2);
    };
    let record_path = Path::new(folder).join("record.txt");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("the temporary folder is writable");
    let play = Play {
        program: program.clone(),
        folder: temporary.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(record_path).expect("it is writable"))),
        },
    };
    let outcome = match case.as_str() {
        "spliced" => spliced::play(&play, spliced::Kind::AfterRefusal),
        "spliced-failure" => spliced::play(&play, spliced::Kind::AfterSuccess),
        "isolated" => isolated::play(&play),
        _ => Outcome::CouldNotRun,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "the rule was broken"),
        Outcome::CouldNotRun => (2, "the case could not run"),
    };
    play.record.write(text);
    println!("{text}");
    std::process::exit(code);
}
