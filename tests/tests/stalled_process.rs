//! A process that stood still says so in its log.

mod kept_log;

use std::time::{Duration, Instant};

use kept_log::KeptLog;
use wingspur_transport::Workers;

#[test]
fn a_process_that_stood_still_logs_for_how_long() {
    let log = KeptLog::start();
    let workers = Workers::start(1);
    workers.spawner().detach(wingspur_clock::watch());
    let began = Instant::now();
    while log
        .with_message("clock: the process stood still.")
        .is_empty()
    {
        assert!(began.elapsed() < Duration::from_secs(60), "not logged");
        let stall = async { std::thread::sleep(Duration::from_millis(400)) };
        smol::block_on(workers.spawner().spawn(stall));
        std::thread::sleep(Duration::from_millis(50));
    }
    let line = &log.with_message("clock: the process stood still.")[0];
    assert!(line["stood_still_ms"].as_u64() >= Some(200), "{line}");
    workers.close();
}
