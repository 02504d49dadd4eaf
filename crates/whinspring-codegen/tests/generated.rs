//! The committed code of the wire messages is what the generator writes.

use std::{fs, path::Path};

#[test]
fn committed_code_is_up_to_date() {
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::remove_dir_all(&fresh).ok();
    whinspring_codegen::generate(&fresh).unwrap();

    let committed = whinspring_codegen::wire_crate().join("src/generated");
    let files = list(&fresh);
    assert_eq!(list(&committed), files);
    for file in files {
        let same = fs::read(committed.join(&file)).unwrap() == fs::read(fresh.join(&file)).unwrap();
        assert!(same, "{file} is out of date: cargo run -p whinspring-codegen");
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
