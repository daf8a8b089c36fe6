use super::*;

/// Reads the command line and does what it says.
#[must_use]
pub fn run() -> ExitCode {
    finish(
        config::subcommand(&config::command().get_matches()).and_then(subcommand::Subcommand::run),
    )
}

/// Runs the daemon within another program, which adds to it, until it is told to stop.
#[must_use]
pub fn run_with(settings: Settings, extension: Extension) -> ExitCode {
    finish(serve::run(settings, None, extension))
}

fn finish(done: Result) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
