//! Command line program that runs the demonstration, the experiments and the capacity
//! measurements.

mod args;
mod commands;

use std::process::ExitCode;

use wingspur_transport::Workers;

use crate::args::{Args, Command};

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let args: Args = argh::from_env();
    let workers = Workers::start(4);
    let result = match args.command {
        Command::Demo(args) => commands::demo(&args, &workers),
        Command::Detect(args) => commands::detect(&args),
        Command::Faults(args) => commands::faults(&args, &workers),
        Command::Capacity(args) => commands::capacity(&args, &workers),
    };
    workers.close();
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
