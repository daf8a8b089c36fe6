//! A front machine is stopped as planned while large answers are on their way to clients behind slow links.

use crate::{
    Verdict, clients, http,
    link::Link,
    operator::{Operator, configuration},
    record::Record,
    servers::{List, Server},
    world::{Class, REGIONS, World, server_ip},
};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, sleep},
    time::Duration,
};

/// Bytes of an answer; a machine of the system holds answers of up to 4 MiB.
const ANSWER: usize = 4_000_000;
/// Speed of a client's link.
const BITS_PER_S: u64 = 10_000_000;
const GRACE: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_secs(8);

/// What a client has seen of its request.
struct Seen {
    request: String,
    sent: Duration,
    /// Status and length of the body that came, and why it ended if it isn't whole.
    status: u16,
    body: usize,
    fault: Option<String>,
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut world = World::new(record, 2);
    let list = List::default();
    let mut servers = Vec::new();
    for (region, name) in REGIONS.iter().enumerate() {
        for number in 1..=2 {
            let address = SocketAddr::from((server_ip(region, number), world.server_port()));
            let (id, zone) = (format!("i-{name}-{number}"), format!("{name}-a"));
            let work = Duration::from_millis(30);
            let server = Server::start(record, &id, address, "orders", &zone, work, ANSWER);
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
    let core = world
        .of(Class::Core)
        .map(|machine| &*machine.name)
        .collect::<Vec<_>>();
    let configuration = configuration(3, "non_idempotent");
    if operator
        .order("POST /ebonystand/config/replace", &configuration, &core)
        .is_none()
    {
        return Verdict::Unusable;
    }
    if !world.wait_ready(Duration::from_secs(20)) {
        return Verdict::Unusable;
    }
    sleep(Duration::from_secs(6));
    let front = world.of(Class::Front).next().unwrap();
    let (name, to) = (front.name.clone(), world.front(front));
    let link = Link::open(to, BITS_PER_S);
    let mut pending = Vec::new();
    let mut stopped = Duration::ZERO;
    // From one second before the order to stop until 1.7 s after it. Clients use an address for some seconds after
    // they have heard of it.
    for turn in 0..18 {
        if turn == 7 {
            stopped = record.now();
            if trouble {
                world.signal(&name, "TERM");
            }
        }
        let (record, through) = (record.clone(), link.address);
        pending.push(thread::spawn(move || ask(&record, through)));
        sleep(Duration::from_millis(150));
    }
    let seen = pending
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect::<Vec<_>>();
    let until = stopped + GRACE + Duration::from_secs(1);
    sleep(until.saturating_sub(record.now()));
    let ended = world.has_ended(&name);
    record.tell(&format!("{name} has ended: {ended}"));
    judge(record, &servers, &seen)
}

/// Sends a request and reads the answer as a client behind the link.
fn ask(record: &Record, through: SocketAddr) -> Seen {
    let request = clients::new_id();
    let sent = record.now();
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "review.example"),
        ("Attempt-Id", &*request),
        ("Deadline-Ms", &*deadline),
        ("Authorization", clients::KEY),
    ];
    let answer = http::call_partly(
        through,
        "POST /orders/1",
        &headers,
        b"{\"order\":1}",
        DEADLINE,
    );
    let (status, body, fault) = match answer {
        Ok((message, fault)) => (message.status(), message.body.len(), fault),
        Err(error) => (0, 0, Some(error)),
    };
    let fault = fault.map(|error| error.to_string());
    record.line(&format!(
        "client sent {request} at {:.3}: status {status}, {body} bytes, {fault:?}",
        sent.as_secs_f64()
    ));
    Seen {
        request,
        sent,
        status,
        body,
        fault,
    }
}

fn judge(record: &Record, servers: &[Arc<Server>], seen: &[Seen]) -> Verdict {
    let runs = servers
        .iter()
        .flat_map(|server| server.runs())
        .collect::<Vec<_>>();
    let was_answered = |seen: &Seen| {
        runs.iter()
            .any(|run| run.request == seen.request && run.answered)
    };
    let whole = seen
        .iter()
        .filter(|seen| seen.status == 200 && seen.body == ANSWER && seen.fault.is_none());
    let whole = whole.count();
    let refused = seen
        .iter()
        .filter(|seen| seen.status == 503 && seen.fault.is_none())
        .count();
    let lost = seen
        .iter()
        .filter(|seen| was_answered(seen) && seen.fault.is_some());
    let lost = lost.collect::<Vec<_>>();
    for seen in &lost {
        record.tell(&format!(
            "{} sent at {:.3} s was run and answered by its server; its client got {} of {ANSWER} bytes: {}",
            seen.request,
            seen.sent.as_secs_f64(),
            seen.body,
            seen.fault.as_deref().unwrap_or_default(),
        ));
    }
    record.tell(&format!(
        "LOST: requests: {}, whole answers: {whole}, refused: {refused}, answers cut off though their servers had given them whole: {}",
        seen.len(),
        lost.len(),
    ));
    match (lost.len(), whole) {
        (0, 0) => Verdict::Unusable,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
