//! A panic in one task does not affect the others.

use std::time::Duration;

use futures_lite::FutureExt;
use wingspur_transport::Workers;

/// A box may have only one worker thread. If a panic in a task ended that thread, the box
/// would keep running without answering any request.
#[test]
fn a_panic_in_a_task_does_not_stop_the_others() {
    let workers = Workers::start(1);
    let spawner = workers.spawner();
    spawner.detach(async { panic!("a panic that the test wants") });
    let answering = spawner.spawn(async { Some("answered") });
    let expired = async {
        smol::Timer::after(Duration::from_secs(10)).await;
        None
    };
    assert_eq!(smol::block_on(answering.or(expired)), Some("answered"));
    workers.close();
}
