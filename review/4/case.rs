//! Requests that may run once are sent on to their home region. There some of them fail, and some
//! answers of one server break off. No caller may be told by its status that a request which has run
//! has not.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::{
    collections::BTreeSet,
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const REQUESTS: usize = 1_200;
/// Time between two requests.
const GAP: Duration = Duration::from_millis(10);
/// Requests before the disruption, and during it: four seconds.
const BEFORE: usize = 400;
const DURING: usize = 400;
const SLOTS: u32 = 6;

struct Server {
    id: String,
    record: Record,
    ran: Arc<Mutex<BTreeSet<String>>>,
    /// Answers since the disruption began, of all servers that garble or of the others.
    answers: Arc<AtomicUsize>,
    is_disrupted: Arc<AtomicBool>,
    /// Whether some answers break off during the disruption.
    garbles: bool,
}

impl Server {
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
            thread::sleep(Duration::from_millis(30));
            self.ran.lock().unwrap().insert(attempt.clone());
            let is_disrupted = self.is_disrupted.load(Ordering::Relaxed);
            let number = match is_disrupted {
                true => self.answers.fetch_add(1, Ordering::Relaxed) + 1,
                false => 0,
            };
            // Two in five runs fail, and one answer in 21 breaks off, failure or not.
            let is_failure = is_disrupted && number % 5 < 2;
            let breaks_off = is_disrupted && self.garbles && number % 21 == 6;
            let status = if is_failure {
                "500 Internal Server Error"
            } else {
                "200 OK"
            };
            let body = "x".repeat(800);
            let head = format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: {}.{number}\r\nContent-Length: {}\r\n\r\n",
                self.id,
                body.len()
            );
            let sent = if breaks_off { &body[..200] } else { &body };
            self.record.line(format!(
                "{} ran {attempt}, answers {status}{}",
                self.id,
                if breaks_off { ", breaks off" } else { "" }
            ));
            if out.write_all((head + sent).as_bytes()).is_err() || breaks_off {
                return;
            }
        }
    }
}

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::start(&record, [2, 2, 1], [1, 1, 1]);
    let ran = Arc::new(Mutex::new(BTreeSet::new()));
    let is_disrupted = Arc::new(AtomicBool::new(false));
    let counts = [Arc::<AtomicUsize>::default(), Arc::default()];
    // Three of the five servers in the home region garble some of their answers.
    let places = [
        (0, 1, "i-a1", false),
        (1, 1, "i-b1", true),
        (1, 2, "i-b2", true),
        (1, 3, "i-b3", true),
        (1, 4, "i-b4", false),
        (1, 5, "i-b5", false),
        (2, 1, "i-c1", false),
    ];
    for (zone, number, id, garbles) in places {
        let address = fleet.server_address(zone, number);
        let server = Arc::new(Server {
            id: id.into(),
            record: record.clone(),
            ran: Arc::clone(&ran),
            answers: Arc::clone(&counts[usize::from(garbles)]),
            is_disrupted: Arc::clone(&is_disrupted),
            garbles,
        });
        listen(address, move |stream| server.serve(stream));
        fleet.list.put(Listed {
            id: id.into(),
            service: "desk".into(),
            address,
            zone: ZONES[zone].0.into(),
            slots: SLOTS,
            draining: false,
        });
    }
    let routes = r#"{"name":"r-once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":500,"priority":2,"service":"desk","max_attempts":1,"public":false,"session_affinity":false,"resumable":false,"home_regions":["rb"]}"#;
    let services = r#"{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}"#;
    let tenants = r#"{"name":"t1","api_keys":["key1"],"priority":1,"unit":"token_count","plain_tokens":200,"rate_per_s":500000,"burst":500000,"home_regions":[]}"#;
    thread::sleep(Duration::from_millis(2_500));
    fleet.configure(&configuration(1, routes, services, tenants));
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(3));

    let front = fleet.front(fleet.index("front-za-1"));
    let served = Arc::new(AtomicUsize::new(0));
    let broken = Arc::new(AtomicUsize::new(0));
    let begun = Instant::now();
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let in_disruption = (BEFORE..BEFORE + DURING).contains(&number);
        if trouble() && in_disruption != is_disrupted.swap(in_disruption, Ordering::Relaxed) {
            record.line(if in_disruption {
                "the disruption begins"
            } else {
                "the disruption ends"
            });
        }
        let due = GAP * number as u32;
        thread::sleep(due.saturating_sub(begun.elapsed()));
        let (ran, served, broken, record) = (
            Arc::clone(&ran),
            Arc::clone(&served),
            Arc::clone(&broken),
            record.clone(),
        );
        clients.push(thread::spawn(move || {
            let attempt = format!("a{number:08x}");
            let body = "y".repeat(600);
            let head = format!(
                "POST /once/{number} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 8000\r\nAuthorization: Token key1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                body.len()
            );
            let answer = call(front, &head, body.as_bytes(), Duration::from_secs(9));
            let (status, stamp, whole) = match &answer {
                Ok(answer) => (answer.status(), answer.header("response-stamp").unwrap_or("none"), answer.whole),
                Err(_) => (0, "none", false),
            };
            let has_run = ran.lock().unwrap().contains(&attempt);
            record.line(format!("client {attempt}: status {status}, stamp {stamp}, whole {whole}, has run {has_run}"));
            if status == 200 && whole {
                served.fetch_add(1, Ordering::Relaxed);
            }
            if matches!(status, 408 | 421 | 429 | 503) && has_run {
                broken.fetch_add(1, Ordering::Relaxed);
                record.line(format!("REFUSED: {attempt} was answered {status} and has run"));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let (served, broken) = (
        served.load(Ordering::Relaxed),
        broken.load(Ordering::Relaxed),
    );
    let line =
        format!("{REQUESTS} requests, {served} served, {broken} refused though they have run");
    println!("{line}");
    record.line(line);
    for index in 0..fleet.vms.len() {
        if fleet.has_ended(index) {
            fleet.finish(2);
        }
    }
    let code = match (broken, served) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    };
    fleet.finish(code)
}
