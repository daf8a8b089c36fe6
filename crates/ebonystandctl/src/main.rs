//! Command-line client for operators of the ebonystand inference gateway.

fn main() -> std::process::ExitCode {
    ebonystandctl::run(std::env::args_os())
}
