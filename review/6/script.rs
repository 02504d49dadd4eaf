//! OWNER: the backends of a zone that is cut off and refuses channels are taken for dead, and their keys
//! are given away while they hold them and work for the consumers of their zone.

#[path = "../standin-2/lib.rs"]
mod standin;

use {
    standin::*,
    std::{
        collections::HashMap,
        env,
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const HOST: &str = "desk.example";
/// Keys that are used and looked at.
const STEP: usize = 97;
const POLL_MS: u64 = 5;
const CUT_MS: u64 = 4_500;

fn main() {
    let folder = PathBuf::from(env::args().nth(1).expect("the folder of the case"));
    open_record(&folder.join("record.txt"));
    watchdog(Duration::from_secs(100));
    let subnet = free_subnet();
    let dir = temp_dir();
    let addr = |text: &str| -> SocketAddr { format!("127.{subnet}.{text}").parse().unwrap() };
    let store = Store::start(addr("0.1:8169"));
    // Backends listen at 4.N. Those of zone b are reached from the other zones by proxies at 6.N, and
    // those of the other zones from zone b by proxies at 9.N, as the store says at each place.
    store.view(
        addr("0.2:8169"),
        vec![
            (format!("127.{subnet}.4."), format!("127.{subnet}.9.")),
            (format!("127.{subnet}.6."), format!("127.{subnet}.4.")),
        ],
    );
    let mut border = Vec::new();
    let runs: Runs = Arc::default();
    let routes = vec![route("book", HOST, "/book/", "unsafe", "reserve")];
    store.put("config", "main", config(7, routes, vec![keyed_service("reserve")]));
    let mut backends = Vec::new();
    for (index, zone) in ["a", "a", "c", "c", "b", "b"].iter().enumerate() {
        let number = index + 1;
        let listens = addr(&format!("4.{number}:8080"));
        let far = match *zone {
            "b" => addr(&format!("6.{number}:8080")),
            _ => addr(&format!("9.{number}:8080")),
        };
        border.push(Proxy::start(far, listens, None));
        let options = BackendOptions {
            public: (*zone == "b").then_some(far),
            id: format!("i-reserve-{zone}{number}"),
            service: "reserve".into(),
            zone: zone.to_string(),
            addr: listens,
            work_ms: 60,
            crash_on: None,
            keyed: true,
        };
        backends.push(Backend::start(options, &store, &runs));
    }
    // Links between nodes go by proxies, which know the node of zone b by its first message.
    let mut nodes = Vec::new();
    for (number, zone) in [(1u8, "a"), (2, "a"), (3, "c"), (4, "b")] {
        let link = addr(&format!("8.{number}:7720"));
        let only = (zone != "b").then_some("edge-b-4");
        border.push(Proxy::start(link, addr(&format!("1.{number}:7720")), only));
        let is_b = zone == "b";
        let store_addr = if is_b { addr("0.3:8169") } else { addr("0.1:8169") };
        if is_b {
            border.push(Proxy::start(store_addr, addr("0.2:8169"), None));
        }
        let cores = if is_b { "0.1" } else { "0.2" };
        let lines = format!("advertised = {link}\n");
        let store_addr = store_addr.to_string();
        nodes.push(Node::start_with(&dir, subnet, number, zone, &store_addr, &lines, cores));
    }
    wait_ready(&nodes);
    sleep_ms(6_000);

    let stopped = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<Answered>>> = Arc::default();
    let mut callers = Vec::new();
    // Consumers of each zone ask the nodes of their zone.
    for number in 0..16usize {
        let (nodes, stopped, answers) = (nodes.clone(), stopped.clone(), answers.clone());
        callers.push(thread::spawn(move || {
            let mut turn = number;
            while !stopped.load(Ordering::SeqCst) {
                turn += 1;
                let key = (turn * 977 + number * 8_191) % 65_536 / STEP % 60 * 11 * STEP;
                let path = format!("/book/{number}-{turn}");
                let node = &nodes[number % nodes.len()];
                let answer = ask_with(node, "POST", HOST, &path, 2_000, Some(key as u16));
                answers.lock().unwrap().push(answer.clone());
                answer.pause(20);
            }
        }));
    }
    let overlaps: Arc<Mutex<HashMap<(usize, String, String), (u64, u64)>>> = Arc::default();
    let poller = {
        let (stopped, overlaps, backends) = (stopped.clone(), overlaps.clone(), backends.clone());
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                for key in (0..65_536).step_by(STEP) {
                    let holders: Vec<&str> = backends
                        .iter()
                        .filter(|backend| backend.holds(key))
                        .map(|backend| backend.options.id.as_str())
                        .collect();
                    if let [first, second, ..] = holders[..] {
                        let now = now_ms();
                        let mut overlaps = overlaps.lock().unwrap();
                        let pair = (key, first.to_string(), second.to_string());
                        overlaps.entry(pair).or_insert((now, now)).1 = now;
                    }
                }
                sleep_ms(POLL_MS);
            }
        })
    };
    sleep_ms(3_000);
    if has_trouble() {
        note("zone b is cut off and refuses channels");
        border.iter().for_each(|proxy| proxy.set_cut(true));
        backends[4..].iter().for_each(|backend| backend.cut.store(true, Ordering::SeqCst));
        // Entries go after three check-in intervals of silence.
        sleep_ms(3 * HEARTBEAT_MS);
        backends[4..].iter().for_each(|backend| {
            store.delete("servers", &backend.options.id);
        });
        sleep_ms(CUT_MS - 3 * HEARTBEAT_MS);
        border.iter().for_each(|proxy| proxy.set_cut(false));
        backends[4..].iter().for_each(|backend| backend.cut.store(false, Ordering::SeqCst));
        note("the cut has healed");
    } else {
        sleep_ms(CUT_MS);
    }
    sleep_ms(3_000);
    stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    poller.join().unwrap();
    kill_all();

    let answers = answers.lock().unwrap();
    let runs = runs.lock().unwrap();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let overlaps = overlaps.lock().unwrap();
    let long = overlaps.values().filter(|(from, to)| to - from > 500).count();
    let longest = overlaps.values().map(|(from, to)| to - from).max().unwrap_or(0);
    let mut both = 0;
    for ((key, first, second), (from, to)) in overlaps.iter() {
        let began = |server: &str| {
            runs.iter().any(|run| {
                run.key == Some(*key as u16)
                    && run.server == server
                    && (*from..=*to).contains(&run.at_ms)
            })
        };
        if to - from > 500 {
            note(format!("OWNER: key {key} was held by {first} and {second} from {from} to {to}"));
        }
        if began(first) && began(second) {
            note(format!("OWNER: both began requests on key {key} from {from} to {to}"));
            both += 1;
        }
    }
    say(format!(
        "{} requests, {served} served; of {} keys that were looked at, {long} were held by two backends for over half a second, the longest for {longest} ms; on {both} of them both began requests",
        answers.len(),
        65_536usize.div_ceil(STEP)
    ));
    if served * 4 < answers.len() {
        cannot_run("fewer than a quarter of the requests were served");
    }
    finish(if long > 0 || both > 0 { 1 } else { 0 });
}
