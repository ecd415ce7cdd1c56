//! `wingspur status`: what one box says of itself.

use std::time::Duration;

use wingspur_protocol::BoxStatus;
use wingspur_transport::{FaultInjector, HttpClient, Workers};

use crate::CommandResult;
use crate::args::StatusArgs;
use crate::report::{CommandError, print_json};

/// Shows a box's state.
pub fn status(args: &StatusArgs) -> CommandResult {
    let workers = Workers::start(1);
    let exchange = HttpClient::new(workers.spawner(), FaultInjector::default());
    let got = smol::block_on(exchange.get(args.operator_address, "/status", TIMEOUT));
    workers.close();
    let got = got.map_err(|error| {
        let address = args.operator_address;
        CommandError::Failed(format!("{address}: {error}; is this the operator address?"))
    })?;
    let status: BoxStatus = serde_json::from_slice(&got).map_err(CommandError::failed)?;
    if args.json {
        return print_json(&status);
    }
    println!("box {} in {}", status.id, status.data_centre);
    println!("ready: {}", if status.ready { "yes" } else { "no" });
    println!(
        "bundle: version {} for {} ms",
        status.bundle_version, status.in_force_ms
    );
    for server in &status.out {
        println!("held back: {server}");
    }
    Ok(())
}

const TIMEOUT: Duration = Duration::from_secs(3);
