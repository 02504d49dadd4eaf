//! `whinspringd --check` lists every error and reports when there is none.

use std::{
    fs,
    path::Path,
    process::{Command, Output},
};

/// Runs `whinspringd --check` on a file.
fn check(file: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_whinspringd");
    Command::new(program).arg("--check").arg(file).output().unwrap()
}

#[test]
fn example_has_no_faults() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/whinspringd.ini");
    let output = check(&example);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).ends_with("whinspringd.ini: no faults\n"));
}

#[test]
fn faults_are_listed_with_their_lines() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("bad.ini");
    fs::write(&file, "[node]\nname = a b\n[colours]\n").unwrap();
    let output = check(&file);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("bad.ini: line 2: [node] name: `a b` is not accepted"), "{text}");
    assert!(text.contains("bad.ini: line 3: [colours] the section is unknown"), "{text}");
}

#[test]
fn key_file_is_read() {
    let example = include_str!("../../../docs/whinspringd.ini");
    let dir = tempfile::tempdir().unwrap();
    let (file, key) = (dir.path().join("node.ini"), dir.path().join("key"));
    let named = format!("key_file = {}", key.display());
    let text = example.replace("key = 6b1f0c9e5a7d4483b2c61d0f9a3e7854", &named);
    fs::write(&file, text).unwrap();
    assert_eq!(check(&file).status.code(), Some(2));
    fs::write(&key, "not a key\n").unwrap();
    assert_eq!(check(&file).status.code(), Some(2));
    fs::write(&key, "000102030405060708090a0b0c0d0e0f\n").unwrap();
    assert!(check(&file).status.success());
}
