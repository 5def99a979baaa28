//! Generates the Rust code of the peer protocol between daemons.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};

use crate::Generated;

const PROTO_PATH: &str = "crates/ploverwick_wire/proto/peer.proto";
const CODE_PATH: &str = "crates/ploverwick_wire/src/generated.rs";
const PACKAGE_FILE: &str = "ploverwick.peer.v1.rs";

/// Generates the code. The protobuf compiler is a library, so `protoc` need not be installed.
///
/// # Errors
/// Fails if the protocol file does not compile or the scratch directory cannot be written.
pub(crate) fn code(root: &Path) -> Result<Generated> {
    let proto = root.join(PROTO_PATH);
    let include = proto
        .parent()
        .context("the protocol file has a directory")?;
    let files = protox::compile([&proto], [include]).context("compile the protocol")?;
    let scratch = std::env::temp_dir().join(format!("ploverwick-dev-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).context("make a scratch directory")?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(&scratch)
        .compile_fds(files)
        .context("generate the code")?;
    let text = std::fs::read_to_string(scratch.join(PACKAGE_FILE)).context("read the code")?;
    std::fs::remove_dir_all(&scratch).context("remove the scratch directory")?;
    Ok(Generated {
        path: PathBuf::from(CODE_PATH),
        text,
    })
}
