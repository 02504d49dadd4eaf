//! Generates the Rust code of the wire messages from `proto/*.proto`.
//!
//! Run `cargo run -p whinspring-codegen` after a change of a `.proto` file and commit the result.
//! A test compares the committed code with what this program would write. The generator is a
//! crate of its own, because it must run while `whinspring-wire` does not compile yet.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// Generates the code of every `.proto` file into the folder `out`.
pub fn generate(out: &Path) -> io::Result<()> {
    let folder = wire_crate().join("proto");
    let protos = list_protos(&folder)?;
    let files = protox::compile(&protos, [&folder]).map_err(io::Error::other)?;
    fs::create_dir_all(out)?;
    prost_build::Config::new().btree_map(["."]).bytes(["."]).out_dir(out).compile_fds(files)
}

/// Returns the folder of the crate that the code is for.
pub fn wire_crate() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../whinspring-wire")
}

/// Returns the `.proto` files of `folder` in order of their names.
fn list_protos(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut protos = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "proto") {
            protos.push(path);
        }
    }
    protos.sort();
    Ok(protos)
}
