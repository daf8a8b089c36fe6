//! The entry machines of a region are stopped in turn. A stream that one of them accepts late must not
//! be cut off, although most streams that allow as many tokens are short.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SLOTS: u32 = 64;
/// Time between two requests.
const GAP: Duration = Duration::from_millis(20);
/// Time between two events of a stream.
const PAUSE: Duration = Duration::from_millis(100);
/// Events of most streams, and of each thirtieth.
const SHORT: usize = 5;
const LONG: usize = 50;
const DEADLINE: Duration = Duration::from_secs(12);
/// `grace_s` of the sheets.
const GRACE: Duration = Duration::from_secs(8);

/// What became of a stream at its server.
#[derive(Clone, Copy)]
struct Run {
    begun: Instant,
    /// Until when the server was at work; `None` if it still is.
    ended: Option<Instant>,
    is_whole: bool,
}

struct Engine {
    id: String,
    runs: Arc<Mutex<BTreeMap<String, Run>>>,
}

impl Engine {
    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            read_body(&mut reader, &mut request, false);
            if let Some(answer) = not_run_answer(&request, &self.id, SLOTS) {
                if out.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            let events = if request.path().ends_with("/long") {
                LONG
            } else {
                SHORT
            };
            let run = Run {
                begun: Instant::now(),
                ended: None,
                is_whole: false,
            };
            self.runs.lock().unwrap().insert(attempt.clone(), run);
            let is_whole = self.stream(&mut out, &attempt, events);
            let mut runs = self.runs.lock().unwrap();
            let run = runs.get_mut(&attempt).unwrap();
            (run.ended, run.is_whole) = (Some(Instant::now()), is_whole);
            if !is_whole {
                return;
            }
        }
    }

    /// Sends the events; returns false if the machine has closed the connection.
    fn stream(&self, out: &mut TcpStream, attempt: &str, events: usize) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: {}.{attempt}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if out.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=events {
            thread::sleep(PAUSE);
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if out.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        out.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// A request as its client has seen it.
struct Seen {
    attempt: String,
    address: SocketAddr,
    sent: Instant,
    ended: Instant,
    status: u16,
    is_whole: bool,
}

/// Entry machines that the directory names, asked of three machines in turn.
fn resolve(directories: &[SocketAddr]) -> Vec<SocketAddr> {
    for directory in directories {
        let Ok(answer) = get(
            *directory,
            "/ebonystand/resolve?name=h.example&region=ra&zone=za",
        ) else {
            continue;
        };
        if answer.status() != 200 {
            continue;
        }
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let listed = body
            .split_once('[')
            .and_then(|(_, rest)| rest.split_once(']'));
        let listed = listed.map_or("", |(listed, _)| listed);
        let found = listed
            .split(',')
            .filter_map(|text| text.trim_matches('"').parse().ok());
        let found = found.collect::<Vec<SocketAddr>>();
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::start(&record, [2, 2, 1], [2, 1, 1]);
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    for (zone, number, id) in [
        (0, 1, "i-a1"),
        (0, 2, "i-a2"),
        (1, 1, "i-b1"),
        (2, 1, "i-c1"),
    ] {
        let address = fleet.server_address(zone, number);
        let engine = Arc::new(Engine {
            id: id.into(),
            runs: Arc::clone(&runs),
        });
        listen(address, move |stream| engine.serve(stream));
        fleet.list.put(Listed {
            id: id.into(),
            service: "llm".into(),
            address,
            zone: ZONES[zone].0.into(),
            slots: SLOTS,
            draining: false,
        });
    }
    let routes = r#"{"name":"r-chat","host":"h.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":12000,"target_latency_ms":1200,"priority":1,"service":"llm","max_attempts":1,"public":false,"session_affinity":true,"resumable":false,"gap_aim_ms":600,"home_regions":["ra"]}"#;
    let services = r#"{"name":"llm","health_path":"/health","max_connections":630,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_capacity":425284,"kv_token_bytes":18432,"link_mbps":88000.0,"moves":true,"backups":true,"stride":8,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}"#;
    let tenants = r#"{"name":"t1","api_keys":["key1"],"priority":1,"unit":"token_count","plain_tokens":200,"rate_per_s":5000000,"burst":5000000,"home_regions":[]}"#;
    thread::sleep(Duration::from_millis(2_500));
    fleet.configure(&configuration(1, routes, services, tenants));
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(6));

    let stopped = ["front-za-1", "front-za-2"].map(|name| fleet.index(name));
    let directories = ["front-za-1", "front-za-2", "front-zb-1"];
    let directories = directories.map(|name| {
        let front = fleet.front(fleet.index(name));
        SocketAddr::new(front.ip(), front.port() + 2)
    });
    let addresses = Arc::new(Mutex::new(resolve(&directories)));
    {
        let addresses = Arc::clone(&addresses);
        thread::spawn(move || {
            loop {
                let found = resolve(&directories);
                if !found.is_empty() {
                    *addresses.lock().unwrap() = found;
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
    let seen = Arc::new(Mutex::new(Vec::<Seen>::new()));
    let under_way = Arc::new(AtomicUsize::new(0));
    let mut signals = BTreeMap::new();
    let (begun, first_stop, end) = (
        Instant::now(),
        Duration::from_secs(15),
        Duration::from_secs(40),
    );
    let mut number = 0_usize;
    let mut restarts = Vec::new();
    while begun.elapsed() < end {
        for (place, index) in stopped.iter().enumerate() {
            // One machine at a time, a second apart, as `roll_term` does.
            let due = first_stop + Duration::from_secs(1) * place as u32;
            if trouble() && begun.elapsed() >= due && !signals.contains_key(index) {
                fleet.signal(*index, "TERM");
                signals.insert(*index, Instant::now());
                restarts.push((*index, Instant::now() + GRACE + Duration::from_millis(500)));
            }
        }
        restarts.retain(|(index, at)| {
            if Instant::now() < *at {
                return true;
            }
            if !fleet.has_ended(*index) {
                fleet.signal(*index, "KILL");
            }
            fleet.reap(*index);
            fleet.spawn(*index);
            false
        });
        thread::sleep((GAP * number as u32).saturating_sub(begun.elapsed()));
        let listed = addresses.lock().unwrap().clone();
        if listed.is_empty() {
            continue;
        }
        // Clients pick at random.
        let address = listed[(number.wrapping_mul(0x9e37_79b9) >> 13) % listed.len()];
        let attempt = format!("a{number:08x}");
        let length = if number % 30 == 7 { "long" } else { "short" };
        let head = format!(
            "POST /chat/{number}/{length} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Usage: 120,1000\r\nPrompt-Prefix: {number:x}:120\r\nDeadline-Ms: {}\r\nAuthorization: Token key1\r\nContent-Length: 4\r\nConnection: close\r\n\r\n",
            DEADLINE.as_millis()
        );
        number += 1;
        let (seen, record, under_way) = (Arc::clone(&seen), record.clone(), Arc::clone(&under_way));
        under_way.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || {
            let sent = Instant::now();
            let answer = call(address, &head, b"body", DEADLINE);
            let (status, is_whole) =
                answer.map_or((0, false), |answer| (answer.status(), answer.whole));
            let ended = Instant::now();
            record.line(format!(
                "client {attempt} ({length}) at {}: status {status}, whole {is_whole}, after {:.3} s",
                address.ip(),
                (ended - sent).as_secs_f64()
            ));
            seen.lock().unwrap().push(Seen {
                attempt,
                address,
                sent,
                ended,
                status,
                is_whole,
            });
            under_way.fetch_sub(1, Ordering::Relaxed);
        });
    }
    let end = Instant::now() + DEADLINE;
    while under_way.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
    }

    let (mut served, mut lost) = (0, 0);
    let runs = runs.lock().unwrap();
    for Seen {
        attempt,
        address,
        sent,
        ended,
        status,
        is_whole,
    } in seen.lock().unwrap().iter()
    {
        served += usize::from(*status == 200 && *is_whole);
        let stop = signals
            .iter()
            .find(|(index, _)| fleet.front(**index) == *address)
            .map(|(_, stop)| *stop);
        let (Some(stop), false) = (stop, *is_whole) else {
            continue;
        };
        // The rule's excuses: not passed on to a server, the server broke off, the deadline, and a server
        // at work in the last sixth of the grace on a request sent no later than 3 s after the signal.
        let Some(run) = runs
            .get(attempt)
            .filter(|_| *sent >= stop && *ended < stop + GRACE + Duration::from_secs(1))
        else {
            continue;
        };
        let is_over = *ended - *sent >= DEADLINE;
        let is_excused = *sent <= stop + Duration::from_secs(3)
            && run.ended.is_none_or(|at| at > stop + GRACE * 5 / 6);
        if is_over || is_excused || run.is_whole {
            continue;
        }
        lost += 1;
        record.line(format!(
            "LOST: {attempt} was sent {:.3} s after the stop of {}, ran from {:.3} s on, and its stream was cut off {:.3} s after the stop",
            (*sent - stop).as_secs_f64(),
            address.ip(),
            (run.begun - stop).as_secs_f64(),
            (*ended - stop).as_secs_f64()
        ));
    }
    drop(runs);
    let line = format!("{number} streams, {served} served, {lost} cut off by a stop");
    println!("{line}");
    record.line(line);
    for index in 0..fleet.vms.len() {
        if fleet.has_ended(index) {
            record.line(format!(
                "machine {} has ended by itself",
                fleet.vms[index].name
            ));
            fleet.finish(2);
        }
    }
    match (lost, served) {
        (_, 0) => fleet.finish(2),
        (0, _) => fleet.finish(0),
        _ => fleet.finish(1),
    }
}
