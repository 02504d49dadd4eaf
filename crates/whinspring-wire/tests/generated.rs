//! The committed code of the wire messages is what the generator writes.

use std::{fs, path::Path};

#[path = "../examples/generate.rs"]
mod generate;

#[test]
fn committed_code_is_up_to_date() {
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::remove_dir_all(&fresh).ok();
    generate::generate(&fresh).unwrap();

    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    let files = list(&fresh);
    assert_eq!(list(&committed), files);
    for file in files {
        let same = fs::read(committed.join(&file)).unwrap() == fs::read(fresh.join(&file)).unwrap();
        assert!(same, "{file} is out of date: cargo run -p whinspring-wire --example generate");
    }
}

/// Returns the sorted file names of a folder.
fn list(folder: &Path) -> Vec<String> {
    let entries = fs::read_dir(folder).unwrap();
    let mut names: Vec<_> =
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    names
}
