//! Drives the cases of the second review: `review-2 CASE FOLDER GATEWAY`, with `TROUBLE=0` for the same without the disruption.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod gateway;
mod http1;
mod link;
mod record;
mod replica;
mod setup;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.expect("build the runtime");
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = runtime.block_on(async {
        match words[..] {
            [name, folder, scratch, gateway] => {
                let place = setup::Place {
                    folder: PathBuf::from(folder),
                    scratch: PathBuf::from(scratch),
                    program: PathBuf::from(gateway),
                    has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
                };
                let result = cases::run(name, &place).await;
                // All processes have ended by now.
                let _ = std::fs::remove_file(place.scratch.join("pids"));
                result
            }
            _ => Err("usage: review-2 CASE FOLDER SCRATCH GATEWAY".into()),
        }
    });
    match result {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
