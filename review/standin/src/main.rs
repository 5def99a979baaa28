//! Stand-ins and drivers of the review's scripts: `review_standin CASE` runs a case, `review_standin replica ..` is a replica.

mod crashed_service;
mod deployment;
mod record;
mod replica;
mod second_answer;
mod unframed;
mod weights;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let result = match arguments.first().map(String::as_str) {
        Some("replica") => runtime
            .block_on(replica::run(&arguments[1..]))
            .map(|()| true),
        Some("second-answer") => runtime.block_on(second_answer::run(&arguments[1])),
        Some("crashed-service") => runtime.block_on(crashed_service::run(&arguments[1])),
        Some("unframed") => runtime.block_on(unframed::run(&arguments[1])),
        Some("weights") => runtime.block_on(weights::run(&arguments[1])),
        _ => Err(anyhow::anyhow!("usage: review_standin CASE FOLDER")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("review_standin: {error:#}");
            ExitCode::from(2)
        }
    }
}
