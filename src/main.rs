//! The `yuccahold` command-line program.

fn main() -> std::process::ExitCode {
    yuccahold::cli::main(std::env::args_os().skip(1)).into()
}
