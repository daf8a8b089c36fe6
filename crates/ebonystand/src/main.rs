//! Daemon of the gateway.

fn main() -> std::process::ExitCode {
    ebonystand::run()
}
