//! The command-line interface.
//!
//! Exit status: 0 on success, 1 if the result is negative (for example findings in a file, a
//! rejected publication or a daemon that does not respond), 2 if the command could not run.

mod commands;
mod flags;
mod output;
mod platform;

use std::process::ExitCode;

use std::ffi::OsString;

use flags::settings::{Settings, SettingsCmd};
use flags::table::{Table, TableCmd};
use flags::{Ploverwick, PloverwickCmd};

/// The result of a command. `Ok(false)` is a negative result, which exits with 1; an error exits
/// with 2.
type CommandResult = anyhow::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let command = match parse(arguments.clone()) {
        Ok(command) => command,
        Err(error) if error.is_help() => error.exit(),
        Err(error) => {
            let help = help_for(&arguments);
            eprintln!("ploverwick: {error}; `{help}` lists commands and flags");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("ploverwick: cannot start the async runtime: {error}");
            return ExitCode::from(2);
        }
    };
    match runtime.block_on(run(command)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("ploverwick: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// A parsed command, by the grammar that it belongs to.
enum Command {
    Top(PloverwickCmd),
    Settings(SettingsCmd),
    Table(TableCmd),
}

fn parse(mut arguments: Vec<OsString>) -> xflags::Result<Command> {
    match arguments.first().and_then(|first| first.to_str()) {
        Some("settings") => {
            let settings = Settings::from_vec(arguments.split_off(1))?;
            Ok(Command::Settings(settings.subcommand))
        }
        Some("table") => {
            let table = Table::from_vec(arguments.split_off(1))?;
            Ok(Command::Table(table.subcommand))
        }
        _ => Ok(Command::Top(Ploverwick::from_vec(arguments)?.subcommand)),
    }
}

/// Returns the `--help` command of the grammar that the arguments belong to.
fn help_for(arguments: &[OsString]) -> &'static str {
    match arguments.first().and_then(|first| first.to_str()) {
        Some("settings") => "ploverwick settings --help",
        Some("table") => "ploverwick table --help",
        _ => "ploverwick --help",
    }
}

async fn run(command: Command) -> CommandResult {
    match command {
        Command::Top(command) => run_top(command).await,
        Command::Settings(command) => match command {
            SettingsCmd::Check(check) => commands::settings::check(&check.file),
            SettingsCmd::Example(_) => commands::settings::example(),
        },
        Command::Table(command) => match command {
            TableCmd::Check(check) => commands::table::check(&check.file),
            TableCmd::Diff(diff) => commands::table::diff(&diff.before, &diff.after),
            TableCmd::Publish(publish) => commands::publish::run(publish).await,
            TableCmd::Show(show) => commands::show::run(show).await,
            TableCmd::History(history) => commands::history::run(history).await,
        },
    }
}

async fn run_top(command: PloverwickCmd) -> CommandResult {
    match command {
        PloverwickCmd::Serve(serve) => commands::serve::run(&serve.settings).await,
        PloverwickCmd::Status(status) => commands::status::run(status).await,
        PloverwickCmd::Timeline(timeline) => commands::timeline::run(timeline).await,
        PloverwickCmd::Demo(demo) => commands::demo::run(demo).await,
        // `parse` handles both; the top-level grammar contains them only so that --help lists them.
        PloverwickCmd::Settings(_) | PloverwickCmd::Table(_) => Ok(true),
    }
}
