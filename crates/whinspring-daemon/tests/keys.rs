//! Reloading of deployment keys while a node runs.

use {
    std::fs,
    whinspring::settings::Secret,
    whinspring_daemon::{
        keys::{Keys, read, reload},
        metrics::Metrics,
    },
};

const OLD: &str = "000102030405060708090a0b0c0d0e0f";
const NEW: &str = "101112131415161718191a1b1c1d1e1f";

#[test]
fn key_file_is_reloaded_and_an_invalid_one_is_ignored() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("key");
    fs::write(&file, format!("{OLD}\n")).unwrap();
    let secret = Secret::File(file.clone());
    let keys = Keys::new(read(&secret).unwrap());
    let metrics = Metrics::new();
    assert!(reload(&secret, &keys, &metrics, true));
    assert_eq!(metrics.event_count("keys_replaced"), 0);

    fs::write(&file, format!("{NEW}\n\n{OLD}\n")).unwrap();
    assert!(reload(&secret, &keys, &metrics, true));
    assert_eq!(metrics.event_count("keys_replaced"), 1);
    let expected: Vec<Vec<u8>> = vec![(16..32).collect(), (0..16).collect()];
    assert_eq!(*keys.current(), expected);

    for bad in ["", "beef\n", &format!("{NEW}\nno key\n")] {
        fs::write(&file, bad).unwrap();
        assert!(!reload(&secret, &keys, &metrics, true));
    }
    fs::remove_file(&file).unwrap();
    assert!(!reload(&secret, &keys, &metrics, false));
    assert_eq!(metrics.event_count("keys_invalid"), 4);
    assert_eq!(*keys.current(), expected);
}

#[test]
fn keys_are_not_printed() {
    let keys = Keys::new(vec![vec![7; 16]]);
    assert_eq!(format!("{keys:?}"), "Keys(..)");
}
