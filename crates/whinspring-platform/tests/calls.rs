//! Calls of the client against the stand-in platform.

use {
    bytes::Bytes,
    hyper::{Method, StatusCode},
    std::{net::SocketAddr, time::Duration},
    whinspring::{
        control::WriteOutcome,
        record::{Key, Kind},
    },
    whinspring_platform::{Error, Platform, VmState},
    whinspring_standin::{
        control::call,
        http::RunningServer,
        platform::{MAX_VALUE_BYTES, Options, start},
    },
};

/// Starts a stand-in platform and returns it with a client.
async fn platform(options: Options) -> (RunningServer, Platform) {
    let running = start(options).await.unwrap();
    let client = Platform::new(running.addr);
    (running, client)
}

/// Changes a setting of the stand-in.
async fn configure(addr: SocketAddr, path: &str, body: &str) {
    let response = call(addr, Method::PUT, path, body.to_string()).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK, "{path} {body}");
}

fn key(name: &str) -> Key {
    Key::new(Kind::Service, name)
}

#[tokio::test]
async fn update_is_conditional() {
    let (running, client) = platform(Options::default()).await;
    let key = key("a/b c");
    assert_eq!(client.put(&key, 0, 11, "one".into()).await.unwrap(), WriteOutcome::Written(1));
    let conflict = WriteOutcome::Conflict { version: 1, mark: 11 };
    assert_eq!(client.put(&key, 0, 12, "two".into()).await.unwrap(), conflict);
    assert_eq!(client.put(&key, 7, 12, "two".into()).await.unwrap(), conflict);
    assert_eq!(client.put(&key, 1, 13, "three".into()).await.unwrap(), WriteOutcome::Written(2));

    let object = client.get(&key).await.unwrap().unwrap();
    assert_eq!((object.version, object.mark), (2, 13));
    assert_eq!(object.value.as_deref(), Some(&b"three"[..]));

    assert_eq!(
        client.delete(&key, 1, 14).await.unwrap(),
        WriteOutcome::Conflict { version: 2, mark: 13 }
    );
    assert_eq!(client.delete(&key, 2, 14).await.unwrap(), WriteOutcome::Written(3));
    assert_eq!(client.get(&key).await.unwrap(), None);
    assert_eq!(
        client.delete(&key, 3, 15).await.unwrap(),
        WriteOutcome::Conflict { version: 0, mark: 0 }
    );
    running.close().await;
}

#[tokio::test]
async fn conflict_with_own_mark_counts_as_written() {
    let (running, client) = platform(Options::default()).await;
    client.put(&key("a"), 0, 11, "one".into()).await.unwrap();
    assert_eq!(client.put(&key("a"), 0, 11, "one".into()).await.unwrap(), WriteOutcome::Written(1));
    running.close().await;
}

#[tokio::test]
async fn lost_reply_is_unknown_and_read_back() {
    let (running, client) = platform(Options::default()).await;
    configure(running.addr, "/faults", r#"{"lose_replies":1000}"#).await;
    assert_eq!(client.put(&key("a"), 0, 11, "one".into()).await.unwrap(), WriteOutcome::Unknown);
    let object = client.get(&key("a")).await.unwrap().unwrap();
    assert_eq!((object.version, object.mark), (1, 11));
    running.close().await;
}

#[tokio::test]
async fn list_leaves_out_deleted_objects() {
    let (running, client) = platform(Options::default()).await;
    client.put(&key("a"), 0, 11, "one".into()).await.unwrap();
    client.put(&key("b"), 0, 12, "two".into()).await.unwrap();
    client.delete(&key("a"), 1, 13).await.unwrap();
    let listing = client.list().await.unwrap();
    assert_eq!(listing.revision, 3);
    assert_eq!(listing.objects.len(), 1);
    assert_eq!(listing.objects[0].key, key("b"));
    assert_eq!(listing.objects[0].value, Some(Bytes::from_static(b"two")));
    running.close().await;
}

#[tokio::test]
async fn watch_sees_writes_and_deletions() {
    let (running, client) = platform(Options::default()).await;
    client.put(&key("a"), 0, 11, "one".into()).await.unwrap();
    let quiet = client.watch(1, Duration::from_millis(1)).await.unwrap();
    assert_eq!((quiet.revision, quiet.objects.len()), (1, 0));

    let writer = client.clone();
    let deletion = tokio::spawn(async move { writer.delete(&key("a"), 1, 12).await.unwrap() });
    let seen = client.watch(1, Duration::from_secs(30)).await.unwrap();
    assert_eq!(deletion.await.unwrap(), WriteOutcome::Written(2));
    assert_eq!(seen.revision, 2);
    assert_eq!(seen.objects.len(), 1);
    assert_eq!((seen.objects[0].version, seen.objects[0].mark), (2, 12));
    assert_eq!(seen.objects[0].value, None);
    running.close().await;
}

#[tokio::test]
async fn watch_of_forgotten_revision_is_gone() {
    let (running, client) = platform(Options { history: 2, ..Options::default() }).await;
    for name in ["a", "b", "c", "d"] {
        client.put(&key(name), 0, 11, "one".into()).await.unwrap();
    }
    let wait = Duration::from_millis(1);
    assert!(matches!(client.watch(1, wait).await, Err(Error::Gone { after: 1 })));
    assert!(matches!(client.watch(9, wait).await, Err(Error::Gone { after: 9 })));
    assert_eq!(client.watch(2, wait).await.unwrap().objects.len(), 2);
    running.close().await;
}

#[tokio::test]
async fn outage_leaves_writes_unknown() {
    let (running, client) = platform(Options::default()).await;
    for outage in ["refuse", "hang"] {
        configure(running.addr, "/faults", &format!(r#"{{"outage":"{outage}"}}"#)).await;
        assert_eq!(
            client.put(&key("a"), 0, 11, "one".into()).await.unwrap(),
            WriteOutcome::Unknown
        );
        assert!(client.vms().await.is_err());
    }
    configure(running.addr, "/faults", r#"{"outage":"off"}"#).await;
    assert_eq!(client.get(&key("a")).await.unwrap(), None);
    running.close().await;
}

#[tokio::test]
async fn outage_cuts_waiting_watch() {
    let (running, client) = platform(Options::default()).await;
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.watch(0, Duration::from_secs(30)).await });
    while call(running.addr, Method::GET, "/calls", "").await.unwrap().body()
        != r#"{"total":1,"watch":1}"#
    {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    configure(running.addr, "/faults", r#"{"outage":"refuse"}"#).await;
    assert!(matches!(watch.await.unwrap(), Err(Error::Unreachable { .. })));
    running.close().await;
}

#[tokio::test]
async fn value_above_limit_is_refused() {
    let (running, client) = platform(Options::default()).await;
    let whole = Bytes::from(vec![b'x'; MAX_VALUE_BYTES]);
    assert_eq!(client.put(&key("a"), 0, 11, whole).await.unwrap(), WriteOutcome::Written(1));
    let large = Bytes::from(vec![b'x'; MAX_VALUE_BYTES + 1]);
    let result = client.put(&key("b"), 0, 12, large).await;
    assert!(matches!(result, Err(Error::TooLarge { .. })), "{result:?}");
    running.close().await;
}

#[tokio::test]
async fn vm_list_lags() {
    let (running, client) = platform(Options::default()).await;
    configure(running.addr, "/vms/vm-1", r#"{"state":"leaving"}"#).await;
    let vms = client.vms().await.unwrap();
    assert_eq!((vms[0].name.as_str(), vms[0].state), ("vm-1", VmState::Leaving));
    configure(running.addr, "/faults", r#"{"vm_lag_ms":600000}"#).await;
    assert!(client.vms().await.unwrap().is_empty());
    running.close().await;
}
