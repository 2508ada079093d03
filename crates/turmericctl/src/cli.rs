//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::error::EXIT_USAGE;
use crate::options::Options;

/// Checks files, tries patches and shows what instances do.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 fine, 1 refused or wrong, 2 wrong command line, 3 file or instance can't be read, 4 request not known."
)]
pub struct Arguments {
    /// print the version
    #[argh(switch)]
    pub version: bool,

    #[argh(subcommand)]
    pub command: Option<CommandArguments>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum CommandArguments {
    Check(CheckArguments),
    Patch(PatchArguments),
    Status(StatusArguments),
    Explain(ExplainArguments),
    Summary(SummaryArguments),
}

/// Checks a settings file or a configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// settings file of an instance (YAML)
    #[argh(option)]
    pub settings: Option<PathBuf>,

    /// settings file of an instance that forwards calls (YAML)
    #[argh(option)]
    pub forward: Option<PathBuf>,

    /// configuration (YAML)
    #[argh(option)]
    pub configuration: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Tries a patch against the configuration; nothing is handed in.
#[derive(FromArgs)]
#[argh(subcommand, name = "patch")]
pub struct PatchArguments {
    /// patch file (YAML): `base_version` and the merge patch under `patch`
    #[argh(positional)]
    pub file: PathBuf,

    /// configuration that the patch is tried against (YAML)
    #[argh(option)]
    pub configuration: Option<PathBuf>,

    /// IP number and port of the platform's service, to read the configuration there
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Shows the status of one or several instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {
    /// caller addresses of the instances (IP number and port)
    #[argh(positional)]
    pub instances: Vec<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Shows the way of a request: from an instance that took it, or from logs.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// caller address of the instance that took the request (IP number and port), or more log files;
    /// then the request, as its answer names it
    #[argh(positional)]
    pub targets: Vec<String>,

    /// log file of an instance; others may follow it
    #[argh(option)]
    pub logs: Vec<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Counts answers by outcome and second, from logs.
#[derive(FromArgs)]
#[argh(subcommand, name = "summary")]
pub struct SummaryArguments {
    /// more log files
    #[argh(positional)]
    pub more_logs: Vec<String>,

    /// log file of an instance; others may follow it
    #[argh(option)]
    pub logs: Vec<PathBuf>,

    /// draw the answers by outcome and second into this SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Parses and checks the command line; prints help and version itself.
pub fn parse() -> Result<Options, ExitCode> {
    let texts: Vec<String> = std::env::args().collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let (name, rest) = texts.split_first().unwrap_or((&"turmericctl", &[]));
    let arguments = Arguments::from_args(&[name], rest).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => refuse(exit.output.trim()),
    })?;
    if arguments.version {
        println!("turmericctl {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    Options::from_arguments(arguments).map_err(|error| refuse(&error.to_string()))
}

fn refuse(problem: &str) -> ExitCode {
    eprintln!("turmericctl: {problem}");
    ExitCode::from(EXIT_USAGE)
}
