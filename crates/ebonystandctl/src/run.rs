use super::*;

/// Runs the command of a command line, whose first item is the program's name, and returns the
/// exit status for scripts.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match Config::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(help) if !help.use_stderr() => {
            print!("{help}");
            return ExitStatus::Done.into();
        }
        Err(error) => {
            eprint!("{error}");
            return ExitStatus::Usage.into();
        }
    };
    let result = Config::from_matches(&matches).and_then(|cfg| {
        actix_rt::System::new().block_on(async move {
            let subcommand = cfg.subcommand.clone();
            subcommand.run(&Context::new(cfg)?).await
        })
    });
    let Err(error) = result else {
        return ExitStatus::Done.into();
    };
    eprintln!("error: {error}");
    error.exit_status().into()
}
