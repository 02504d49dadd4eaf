//! Reading and writing of records through the object API.

use {
    whinspring::{
        control::WriteOutcome,
        model::Controller,
        record::{Key, Kind, Value},
    },
    whinspring_platform::Platform,
    whinspring_standin::platform::{Options, start},
};

#[tokio::test]
async fn invalid_object_does_not_hide_the_others() {
    let running = start(Options::default()).await.unwrap();
    let client = Platform::new(running.addr);
    let bad = Key::new(Kind::Service, "bad");
    client.put(&bad, 0, 1, "\u{1}garbage".into()).await.unwrap();
    let key = Key::new(Kind::Controller, "controller");
    let value = Value::Controller(Controller { node: "vm-1".into(), incarnation: 7, term: 3 });
    let outcome = client.store_record(&key, 0, 2, Some(&value)).await.unwrap();
    assert_eq!(outcome, WriteOutcome::Written(2));

    let reading = client.read_all().await.unwrap();
    assert_eq!(reading.revision, 2);
    assert_eq!(reading.records.len(), 1);
    assert_eq!(reading.records[0].value.as_ref(), Some(&value));
    assert_eq!(reading.invalid.len(), 1);
    assert_eq!((&reading.invalid[0].key, reading.invalid[0].version), (&bad, 1));

    assert_eq!(client.store_record(&key, 2, 3, None).await.unwrap(), WriteOutcome::Written(3));
    let reading = client.read_changes(2, std::time::Duration::ZERO).await.unwrap();
    assert_eq!((reading.records[0].version, reading.records[0].value.as_ref()), (3, None));
    running.close().await;
}
