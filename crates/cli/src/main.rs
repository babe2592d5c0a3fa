//! The `latchwheel` program: the node, a whole site for development, and the
//! operator's commands.

mod arguments;
mod dev;
mod exit;
mod logs;
mod node;
mod operator;

use arguments::Arguments;
use exit::Failure;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("latchwheel: {failure}");
            failure.exit_code()
        }
    }
}

fn run(arguments: &[String]) -> Result<(), Failure> {
    let arguments = Arguments::parse(arguments)?;
    if arguments.wants_help() {
        println!("{}", Arguments::usage());
        return Ok(());
    }
    if arguments.wants_version() {
        println!("latchwheel {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match arguments.command() {
        "explain" => return logs::explain_subject(&arguments),
        "report" => return logs::report(&arguments),
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|fault| Failure::Run(fault.to_string()))?;
    runtime.block_on(async {
        match arguments.command() {
            "node" => node::run(&arguments).await,
            "dev" => dev::run(&arguments).await,
            "check-settings" => node::check_settings(&arguments),
            "table" => operator::table(&arguments).await,
            "job" => operator::job(&arguments).await,
            "status" => operator::status(&arguments).await,
            "" => Err(Failure::Usage("a command is missing".into())),
            other => Err(Failure::Usage(format!("no command is called {other:?}"))),
        }
    })
}
