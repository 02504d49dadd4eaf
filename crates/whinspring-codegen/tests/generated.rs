//! Checks that the committed code of the wire messages equals the output of the generator.

use std::{fs, path::Path};

#[test]
fn committed_code_is_up_to_date() {
    let generated = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::remove_dir_all(&generated).ok();
    whinspring_codegen::generate(&generated).unwrap();

    let committed = whinspring_codegen::wire_crate().join("src/generated");
    let files = list_files(&generated);
    assert_eq!(list_files(&committed), files);
    for file in files {
        let same =
            fs::read(committed.join(&file)).unwrap() == fs::read(generated.join(&file)).unwrap();
        assert!(
            same,
            "{file} differs from the generator's output; run `cargo run -p whinspring-codegen`"
        );
    }
}

/// Returns the sorted file names of a directory.
fn list_files(folder: &Path) -> Vec<String> {
    let entries = fs::read_dir(folder).unwrap();
    let mut names: Vec<_> =
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    names
}
