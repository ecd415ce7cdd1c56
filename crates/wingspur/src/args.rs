//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// A proxy fleet for backend servers with gray failures.
///
/// Exit codes: 0 done, 1 failed, 2 wrong use or wrong input, 3 overtaken by another
/// bundle.
#[derive(Debug, FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Run(RunArgs),
    Bundle(BundleArgs),
    Rollout(RolloutArgs),
    Status(StatusArgs),
    Keys(KeysArgs),
}

/// Run an entry box until SIGTERM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// the settings file, in JSON
    #[argh(positional)]
    pub settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    pub check: bool,
}

/// Check, sign and submit bundles.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bundle")]
pub struct BundleArgs {
    #[argh(subcommand)]
    pub command: BundleCommand,
}

/// What to do with a bundle.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum BundleCommand {
    Check(CheckArgs),
    Sign(SignArgs),
    Submit(SubmitArgs),
}

/// Check a bundle and print all findings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the bundle file, in JSON
    #[argh(positional)]
    pub bundle: PathBuf,
    /// print the findings as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Sign a bundle under your name.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sign")]
pub struct SignArgs {
    /// the bundle file, in JSON
    #[argh(positional)]
    pub bundle: PathBuf,
    /// the file with your secret key
    #[argh(option)]
    pub key: PathBuf,
    /// your name, as in the boxes' keyrings
    #[argh(option)]
    pub signer: String,
    /// where to write the signed bundle
    #[argh(option)]
    pub out: PathBuf,
}

/// Put a signed bundle into the store; boxes activate it only after its rollout starts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// the signed bundle file
    #[argh(positional)]
    pub signed: PathBuf,
    /// the store's IP address and port
    #[argh(option)]
    pub store: SocketAddr,
}

/// Start a rollout, or show its progress.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout")]
pub struct RolloutArgs {
    #[argh(subcommand)]
    pub command: RolloutCommand,
}

/// What to do about a rollout.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum RolloutCommand {
    Start(StartArgs),
    Status(RolloutStatusArgs),
}

/// Accept a submitted bundle, so that every box activates it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub struct StartArgs {
    /// the signed bundle file
    #[argh(positional)]
    pub signed: PathBuf,
    /// the store's IP address and port
    #[argh(option)]
    pub store: SocketAddr,
    /// print the outcome as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show which version is active on each box, and for how long.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct RolloutStatusArgs {
    /// the fleet's name
    #[argh(option)]
    pub fleet: String,
    /// the IP address and port of the platform's box list
    #[argh(option)]
    pub box_list: SocketAddr,
    /// the store's IP address and port
    #[argh(option)]
    pub store: SocketAddr,
    /// trusted authorities in PEM, if boxes use TLS
    #[argh(option)]
    pub authorities: Option<PathBuf>,
    /// your certificate in PEM, if boxes use TLS
    #[argh(option)]
    pub certificate: Option<PathBuf>,
    /// your certificate's key in PEM, if boxes use TLS
    #[argh(option)]
    pub key: Option<PathBuf>,
    /// print the states as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the status of one box.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// the box's operator address
    #[argh(positional)]
    pub operator_address: SocketAddr,
    /// print the status as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Make or show signing keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    #[argh(subcommand)]
    pub command: KeysCommand,
}

/// What to do about keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeysCommand {
    New(NewKeyArgs),
    Show(ShowKeyArgs),
}

/// Make a secret key; an existing file is never overwritten.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "new")]
pub struct NewKeyArgs {
    /// the file for the secret key
    #[argh(positional)]
    pub key: PathBuf,
}

/// Show the public key for the boxes' keyrings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowKeyArgs {
    /// the file with the secret key
    #[argh(positional)]
    pub key: PathBuf,
}
