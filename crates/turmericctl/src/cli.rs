//! Parsing of the command line; the doc comments of the argument types are its help texts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::error::EXIT_USAGE;
use crate::options::Options;

/// Checks settings and configurations, tries patches, and shows the status and decisions of
/// instances.
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 success, 1 invalid file, refused patch, findings or differences, 2 invalid command line or unreadable configuration of the platform, 3 file or instance can't be read, 4 unknown request."
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
    Diff(DiffArguments),
    Patch(PatchArguments),
    Status(StatusArguments),
    Explain(ExplainArguments),
    Summary(SummaryArguments),
}

/// Checks settings files and configurations.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// settings file of an instance (YAML)
    #[argh(option)]
    pub settings: Option<PathBuf>,

    /// settings file of an instance that forwards calls (YAML)
    #[argh(option)]
    pub forward: Option<PathBuf>,

    /// configuration file (YAML)
    #[argh(option)]
    pub configuration: Option<PathBuf>,

    /// configuration as the platform's store holds it (JSON)
    #[argh(option)]
    pub platform: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Shows what differs between two configurations as the platform's store holds them.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArguments {
    /// old configuration (JSON)
    #[argh(positional)]
    pub old: PathBuf,

    /// new configuration (JSON)
    #[argh(positional)]
    pub new: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Tries a patch against a configuration, without submitting it.
#[derive(FromArgs)]
#[argh(subcommand, name = "patch")]
pub struct PatchArguments {
    /// patch file (YAML): `base_version` and the merge patch under `patch`
    #[argh(positional)]
    pub file: PathBuf,

    /// configuration file that the patch is tried against (YAML)
    #[argh(option)]
    pub configuration: Option<PathBuf>,

    /// IP number and port of the platform's service, to try the patch against its configuration
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Shows the status of instances.
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

/// Shows how a request was handled, from an instance that received it or from log files.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// caller address of the instance that received the request (IP number and port), or more log
    /// files; then the request id from the answer
    #[argh(positional)]
    pub targets: Vec<String>,

    /// log file of an instance; more files may follow
    #[argh(option)]
    pub logs: Vec<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Counts the answers in log files by second and outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "summary")]
pub struct SummaryArguments {
    /// more log files
    #[argh(positional)]
    pub more_logs: Vec<String>,

    /// log file of an instance; more files may follow
    #[argh(option)]
    pub logs: Vec<PathBuf>,

    /// also write a plot of the counts to this SVG file
    #[argh(option)]
    pub plot: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Parses the command line. If it asks for help or the version, or is invalid, prints that and
/// returns the exit code.
pub fn parse() -> Result<Options, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, rest) = words.split_first().unwrap_or((&"turmericctl", &[]));
    let arguments = Arguments::from_args(&[name], rest).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => report_usage_error(exit.output.trim()),
    })?;
    if arguments.version {
        println!("turmericctl {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    Options::from_arguments(arguments).map_err(|error| report_usage_error(&error.to_string()))
}

fn report_usage_error(problem: &str) -> ExitCode {
    eprintln!("turmericctl: {problem}");
    ExitCode::from(EXIT_USAGE)
}
