//! `wingspur status`: shows the status of one box.

use std::time::Duration;

use wingspur_protocol::BoxStatus;
use wingspur_transport::{FaultInjector, HttpClient, Workers};

use crate::CommandResult;
use crate::args::StatusArgs;
use crate::report::{CommandError, print_json};

/// Requests a box's status from its operator address and prints it.
pub fn status(args: &StatusArgs) -> CommandResult {
    let workers = Workers::start(1);
    let client = HttpClient::new(workers.spawner(), FaultInjector::default());
    let response = smol::block_on(client.get(args.operator_address, "/status", TIMEOUT));
    workers.close();
    let response = response.map_err(|error| {
        let address = args.operator_address;
        CommandError::Failed(format!("{address}: {error}; is this the operator address?"))
    })?;
    let status: BoxStatus =
        serde_json::from_slice(&response).map_err(CommandError::failed)?;
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
