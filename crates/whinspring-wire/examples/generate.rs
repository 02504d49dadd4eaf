//! Generates the Rust code of the wire messages from `proto/*.proto`.
//!
//! Run `cargo run -p whinspring-wire --example generate` after a change of a `.proto` file and
//! commit the result. A test compares the committed code with what this program would write.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// Writes the generated code to its committed place.
#[allow(dead_code)]
fn main() -> io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    generate(&root.join("src/generated"))
}

/// Generates the code of every `.proto` file into the folder `out`.
pub fn generate(out: &Path) -> io::Result<()> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let protos = protos(&folder)?;
    let files = protox::compile(&protos, [&folder]).map_err(io::Error::other)?;
    fs::create_dir_all(out)?;
    prost_build::Config::new().btree_map(["."]).bytes(["."]).out_dir(out).compile_fds(files)
}

/// Returns the `.proto` files of `folder` in order of their names.
fn protos(folder: &Path) -> io::Result<Vec<PathBuf>> {
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
