//! Generates the Rust code of the wire messages from the `.proto` files of `whinspring-wire`.
//!
//! After a change of a `.proto` file, run `cargo run -p whinspring-codegen` and commit the result.
//! A test compares the committed code with the output of this program. The generator is a crate
//! of its own because it must run while `whinspring-wire` does not compile.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// Writes the code of every `.proto` file to the directory `out`.
pub fn generate(out: &Path) -> io::Result<()> {
    let folder = wire_crate().join("proto");
    let protos = list_protos(&folder)?;
    let files = protox::compile(&protos, [&folder]).map_err(io::Error::other)?;
    fs::create_dir_all(out)?;
    prost_build::Config::new().btree_map(["."]).bytes(["."]).out_dir(out).compile_fds(files)
}

/// Returns the directory of `whinspring-wire`, which contains the generated code.
pub fn wire_crate() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../whinspring-wire")
}

/// Returns the `.proto` files of a directory, sorted by name.
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
