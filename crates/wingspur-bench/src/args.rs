//! Command line arguments of the benchmark program.

use std::path::PathBuf;

use argh::FromArgs;

/// Stand-ins, load and experiments for wingspur.
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Demo(DemoArgs),
    Detect(DetectArgs),
    Faults(FaultsArgs),
    Capacity(CapacityArgs),
}

/// Start a small deployment on loopback, make a server sick and show what holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// boxes to start (default 6)
    #[argh(option, default = "6")]
    pub boxes: usize,
    /// seconds of load (default 9)
    #[argh(option, default = "9")]
    pub seconds: u64,
    /// requests a second (default 300)
    #[argh(option, default = "300.0")]
    pub rate: f64,
    /// write the figures to this file as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
}

/// Replay every detection case over many seeds, beside the baselines.
#[derive(FromArgs)]
#[argh(subcommand, name = "detect")]
pub struct DetectArgs {
    /// seeds a case (default 20)
    #[argh(option, default = "20")]
    pub seeds: u64,
    /// threads (default 8)
    #[argh(option, default = "8")]
    pub threads: usize,
    /// leave the baselines out
    #[argh(switch)]
    pub ours: bool,
    /// only this user's setting: ispitnica or gateway
    #[argh(option)]
    pub user: Option<String>,
    /// only cases whose name has this in it
    #[argh(option, default = "String::new()")]
    pub only: String,
    /// take the rows from this file instead of replaying the cases
    #[argh(option)]
    pub from: Option<PathBuf>,
    /// write the page to this file, with the knob's curve measured as well
    #[argh(option)]
    pub page: Option<PathBuf>,
    /// draw the knob's curve into this file
    #[argh(option)]
    pub plot: Option<PathBuf>,
    /// write the rows to this file as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
}

/// Send once-only load and bundles while the store, boxes and servers fail.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct FaultsArgs {
    /// times through the table (default 1)
    #[argh(option, default = "1")]
    pub rounds: usize,
    /// boxes (default 6)
    #[argh(option, default = "6")]
    pub boxes: usize,
    /// once-only requests a second (default 400)
    #[argh(option, default = "400.0")]
    pub rate: f64,
    /// seconds of load a row (default 6)
    #[argh(option, default = "6")]
    pub seconds: u64,
    /// write the rows to this file as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
}

/// Measure slopes, and make `docs/CAPACITY.md` from them.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityArgs {
    /// make the page from this file's figures instead of measuring
    #[argh(option)]
    pub from: Option<PathBuf>,
    /// measure only the price of the request path, and take the rest from `--from`
    #[argh(switch)]
    pub price: bool,
    /// write the figures to this file as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// write the page to this file
    #[argh(option)]
    pub page: Option<PathBuf>,
}
