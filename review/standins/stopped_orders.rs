//! The only front machine of a region is stopped as planned, and takes orders until shortly before it ends.

use crate::{
    Verdict, clients, http,
    operator::{Operator, configuration},
    record::Record,
    servers::{List, Run, Server},
    world::{Class, REGIONS, World, server_ip},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle, sleep},
    time::Duration,
};

const GRACE: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_secs(8);
/// Time for which a server works on an order.
const WORK: Duration = Duration::from_millis(4_500);
/// Time between two orders of the region's clients.
const GAP: Duration = Duration::from_millis(400);
/// Time after the SIGTERM until which a request may have been sent that is excused if its server is still at work in
/// the last sixth of the grace.
const EXCUSED: Duration = Duration::from_secs(3);

/// What a client has seen of its order.
struct Seen {
    request: String,
    sent: Duration,
    ended: Duration,
    /// Status of the answer; 0 if the connection ended without one.
    status: u16,
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut world = World::new(record, 1);
    let list = List::default();
    let mut servers = Vec::new();
    for (region, name) in REGIONS.iter().enumerate() {
        for number in 1..=3 {
            let address = SocketAddr::from((server_ip(region, number), world.server_port()));
            let (id, zone) = (format!("i-{name}-{number}"), format!("{name}-a"));
            let server = Server::start(record, &id, address, "orders", &zone, WORK, 800);
            list.add(&server);
            servers.push(server);
        }
    }
    list.serve(world.cloud());
    world.start_all();
    sleep(Duration::from_secs(4));
    let operator = Operator {
        record,
        world: &world,
    };
    let core = world.of(Class::Core).map(|machine| &*machine.name);
    let core = core.collect::<Vec<_>>();
    let configuration = configuration(3, "non_idempotent");
    let put = operator.order("POST /ebonystand/config/replace", &configuration, &core);
    if put.is_none() || !world.wait_ready(Duration::from_secs(20)) {
        return Verdict::Unusable;
    }
    sleep(Duration::from_secs(5));
    let front = world.of(Class::Front).next().unwrap().name.clone();
    let seen = Arc::<Mutex<Vec<Seen>>>::default();
    let stopped = Arc::<AtomicBool>::default();
    let clients = start_clients(record, &world, &seen, &stopped);
    sleep(Duration::from_secs(5));
    let term = record.now();
    if trouble {
        world.signal(&front, "TERM");
        while record.now() < term + GRACE && !world.has_ended(&front) {
            sleep(Duration::from_millis(10));
        }
        record.tell(&format!("{front} has ended: {}", world.has_ended(&front)));
        sleep(Duration::from_millis(500));
        world.restart(&front);
    }
    sleep((term + GRACE + Duration::from_secs(10)).saturating_sub(record.now()));
    stopped.store(true, Ordering::SeqCst);
    for thread in clients.join().unwrap() {
        let _ = thread.join();
    }
    let runs = servers.iter().flat_map(|server| server.runs());
    let runs = runs.collect::<Vec<_>>();
    judge(record, &runs, &seen.lock().unwrap(), term)
}

/// Starts the clients of the first region, which ask the directory where to connect.
fn start_clients(
    record: &Record,
    world: &World,
    seen: &Arc<Mutex<Vec<Seen>>>,
    stopped: &Arc<AtomicBool>,
) -> JoinHandle<Vec<JoinHandle<()>>> {
    let (record, seen, stopped) = (record.clone(), Arc::clone(seen), Arc::clone(stopped));
    let directories = world.of(Class::Front).map(|front| world.directory(front));
    let directories = directories.collect::<Vec<_>>();
    thread::spawn(move || {
        let mut known = clients::Addresses::default();
        let mut pending = Vec::new();
        while !stopped.load(Ordering::SeqCst) {
            if let Some(front) = known.pick(&record, &directories, REGIONS[0]) {
                let (record, seen) = (record.clone(), Arc::clone(&seen));
                pending.push(thread::spawn(move || {
                    let outcome = order(&record, front);
                    seen.lock().unwrap().push(outcome);
                }));
            }
            sleep(GAP);
        }
        pending
    })
}

/// Sends an order over a connection of its own, and waits for its answer until the deadline.
fn order(record: &Record, front: SocketAddr) -> Seen {
    let request = clients::new_id();
    let sent = record.now();
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "review.example"),
        ("Attempt-Id", &*request),
        ("Deadline-Ms", &*deadline),
        ("Authorization", clients::KEY),
    ];
    let body = b"{\"order\":1}";
    let answer = http::call(front, "POST /orders/1", &headers, body, DEADLINE);
    let status = answer.as_ref().map_or(0, http::Message::status);
    let fault = answer.err().map(|error| error.to_string());
    let at = sent.as_secs_f64();
    record.line(&format!(
        "client sent {request} at {at:.3} to {front}: status {status}, {fault:?}"
    ));
    Seen {
        request,
        sent,
        ended: record.now(),
        status,
    }
}

fn judge(record: &Record, runs: &[Run], seen: &[Seen], term: Duration) -> Verdict {
    let ran = |seen: &Seen| runs.iter().find(|run| run.request == seen.request);
    let served = seen.iter().filter(|seen| seen.status == 200).count();
    let refused = seen.iter().filter(|seen| seen.status == 503).count();
    let broken = seen.iter().filter(|seen| {
        seen.status == 0 && ran(seen).is_some() && seen.ended < seen.sent + DEADLINE
    });
    let last_sixth = term + GRACE * 5 / 6;
    let is_excused = |seen: &&Seen| {
        let is_at_work = ran(seen).is_some_and(|run| run.at + WORK >= last_sixth);
        seen.sent <= term + EXCUSED && is_at_work
    };
    let (excused, lost): (Vec<_>, Vec<_>) = broken.partition(is_excused);
    let since = |at: Duration| at.as_secs_f64() - term.as_secs_f64();
    for seen in &lost {
        record.tell(&format!(
            "{} was sent {:.3} s after the SIGTERM and run by a server; its connection ended at {:.3} s without an answer",
            seen.request,
            since(seen.sent),
            since(seen.ended),
        ));
    }
    record.tell(&format!(
        "LOST: orders: {}, answered with 200: {served}, refused: {refused}, run and not answered: {} (and {} that are excused)",
        seen.len(),
        lost.len(),
        excused.len(),
    ));
    match (lost.len(), served) {
        (_, 0) => Verdict::Unusable,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
