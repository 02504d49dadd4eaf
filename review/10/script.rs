//! BUDGET: a request that crashes its backends reaches them again after a planned restart of the nodes.

#[path = "../standin-2/lib.rs"]
mod standin;

use {
    standin::*,
    std::{
        env,
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
const STABLE_WINDOW_MS: u64 = 3_000;
const NODES: u8 = 6;
/// Time between two restarts, and between two comings of the request.
const STEP_MS: u64 = 8_000;
/// Time after which a crashed backend is back.
const BACK_MS: u64 = 3_000;

fn main() {
    let folder = PathBuf::from(env::args().nth(1).expect("the folder of the case"));
    open_record(&folder.join("record.txt"));
    watchdog(Duration::from_secs(112));
    let subnet = free_subnet();
    let dir = temp_dir();
    let store = Store::start(format!("127.{subnet}.0.1:8169").parse().unwrap());
    let runs: Runs = Arc::default();
    let routes = vec![
        route("book", HOST, "/book/", "unsafe", "booking"),
        route("pull", HOST, "/pull/", "safe", "booking"),
    ];
    store.put("config", "main", config(7, routes, vec![service("booking")]));
    let stopped = Arc::new(AtomicBool::new(false));
    // Each backend is back some seconds after a crash, as another lifetime under its id.
    for number in 1..=8 {
        let options = BackendOptions {
            id: format!("i-booking-{number}"),
            service: "booking".into(),
            zone: "a".into(),
            addr: format!("127.{subnet}.4.{number}:8080").parse().unwrap(),
            work_ms: 100,
            crash_on: Some("/crash".into()),
            keyed: false,
            public: None,
        };
        let (store, runs, stopped) = (store.clone(), runs.clone(), stopped.clone());
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let life = Backend::start(options.clone(), &store, &runs);
                while !life.ended.load(Ordering::SeqCst) {
                    sleep_ms(5);
                }
                sleep_ms(BACK_MS);
            }
        });
    }
    let nodes: Vec<Arc<Node>> = (1..=NODES).map(|n| Node::start(&dir, subnet, n, "a")).collect();
    wait_ready(&nodes);
    sleep_ms(3_000);

    // Usual consumers. They avoid a node that is being restarted, as the platform does.
    let answers: Arc<Mutex<Vec<Answered>>> = Arc::default();
    let away = Arc::new(Mutex::new(usize::MAX));
    let mut callers = Vec::new();
    for number in 0..12 {
        let (nodes, stopped, answers) = (nodes.clone(), stopped.clone(), answers.clone());
        let away = away.clone();
        callers.push(thread::spawn(move || {
            let mut turn = number;
            while !stopped.load(Ordering::SeqCst) {
                turn += 1;
                let index = turn % nodes.len();
                if *away.lock().unwrap() == index {
                    continue;
                }
                let path = format!("/book/{number}-{turn}");
                let answer = ask(&nodes[index], "POST", HOST, &path, 2_000);
                answers.lock().unwrap().push(answer.clone());
                answer.pause(10);
            }
        }));
    }
    // The request comes for the first time. It comes again every eight seconds, at one machine
    // after the other.
    let mut comings = Vec::new();
    let mut come = |node: &Arc<Node>| {
        let answer = ask(node, "GET", HOST, "/pull/crash", 2_000);
        let in_touch = answer.sent_ms > node.started_ms.load(Ordering::SeqCst) + STABLE_WINDOW_MS;
        comings.push((answer, in_touch));
    };
    sleep_ms(1_000);
    come(&nodes[0]);
    sleep_ms(3_000);
    for (index, node) in nodes.iter().enumerate() {
        let start = now_ms();
        if has_trouble() {
            note(format!("SIGTERM to {}", node.name));
            *away.lock().unwrap() = index;
            node.stop();
            node.spawn();
            wait_ready(std::slice::from_ref(node));
            note(format!("{} runs and is ready again", node.name));
            *away.lock().unwrap() = usize::MAX;
        }
        sleep_ms((start + STEP_MS - 500).saturating_sub(now_ms()));
        come(node);
        sleep_ms((start + STEP_MS).saturating_sub(now_ms()));
    }
    sleep_ms(1_000);
    stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    kill_all();

    let answers = answers.lock().unwrap();
    let runs = runs.lock().unwrap();
    let crashes: Vec<&Run> = runs.iter().filter(|run| run.path.contains("/crash")).collect();
    let third = crashes.get(2).map(|run| run.at_ms);
    // Comings that reached a backend, sent by machines in touch, later than StableWindowS after the
    // third crash. Each counts once, whatever its sendings within one coming.
    let late = comings
        .iter()
        .filter(|(answer, in_touch)| {
            let reached = crashes.iter().any(|run| run.id == answer.id);
            let is_late = third.is_some_and(|at| answer.sent_ms > at + STABLE_WINDOW_MS);
            *in_touch && reached && is_late
        })
        .count();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let cut = runs.iter().filter(|run| run.path.starts_with("/book/") && !run.finished).count();
    say(format!(
        "the request came {} times and crashed {} backends; {late} times it reached backends later than StableWindowS after the third crash, by machines in touch (3 are allowed); {} other requests, {served} served, {cut} cut at work by a crash",
        comings.len(),
        crashes.len(),
        answers.len()
    ));
    if served * 2 < answers.len() || crashes.is_empty() {
        cannot_run("the backends served too little");
    }
    finish(if late > 3 { 1 } else { 0 });
}
