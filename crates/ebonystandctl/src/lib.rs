//! Command-line client for operators of the ebonystand inference gateway: one module for each
//! subcommand, and the HTTP client that they share.

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    ebonystand_core::*,
    serde::Serialize,
    snafu::{ResultExt, Snafu},
    std::{
        ffi::OsString,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
};

pub use {exit_status::ExitStatus, run::run, status::format_status};

use {
    apply::Apply, attempt_error::AttemptError, change_args::ChangeArgs, check::Check,
    client::Client, config::Config, context::Context, drain::Drain, error::Error, explain::Explain,
    key::KeyCommand, preset::PresetCommand, quarantine::QuarantineClear, secret::random_hex,
    subcommand::Subcommand, upstream::UpstreamCommand, workspace::WorkspaceCommand,
};

mod apply;
mod attempt_error;
mod change_args;
mod check;
mod client;
mod config;
mod context;
mod document;
mod drain;
mod error;
mod exit_status;
mod explain;
mod key;
mod preset;
mod quarantine;
mod region;
mod run;
mod secret;
mod status;
mod subcommand;
mod upstream;
mod workspace;

type Result<T = (), E = Error> = std::result::Result<T, E>;
