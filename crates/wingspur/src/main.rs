//! The `wingspur` binary: runs a box, and has the operators' commands.

mod args;
mod bundle;
mod keys;
mod logs;
mod report;
mod rollout;
mod run;
mod signed_file;
mod status;
mod store;

use std::process::ExitCode;

use crate::args::{Args, BundleCommand, Command, KeysCommand, RolloutCommand};
use crate::report::CommandError;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Run(args) => run::run(&args),
        Command::Bundle(args) => match args.command {
            BundleCommand::Check(args) => bundle::check(&args),
            BundleCommand::Sign(args) => bundle::sign(&args),
            BundleCommand::Submit(args) => bundle::submit(&args),
        },
        Command::Rollout(args) => match args.command {
            RolloutCommand::Start(args) => rollout::start(&args),
            RolloutCommand::Status(args) => rollout::status(&args),
        },
        Command::Status(args) => status::status(&args),
        Command::Keys(args) => match args.command {
            KeysCommand::New(args) => keys::new(&args),
            KeysCommand::Show(args) => keys::show(&args),
        },
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.exit_code()
        }
    }
}

/// The outcome of a command.
type CommandResult = Result<(), CommandError>;
