//! Clients.

use crate::{
    http,
    record::Record,
    world::{Class, World},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

pub const KEY: &str = "Token k9n73hh2b9wu3fexd9dn";
const DEADLINE: Duration = Duration::from_secs(8);

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub request: String,
    /// Status of the answer; 0 if none came.
    pub status: u16,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new `Attempt-Id`.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000 + NEXT.fetch_add(1, Ordering::SeqCst)
    )
}

/// Sends one request over a connection of its own.
pub fn send(record: &Record, front: SocketAddr, request: &str) -> Outcome {
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "review.example"),
        ("Attempt-Id", request),
        ("Deadline-Ms", &*deadline),
        ("Authorization", KEY),
    ];
    let answer = http::call(
        front,
        "POST /orders/1",
        &headers,
        b"{\"order\":1}",
        DEADLINE,
    );
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("client sent {request} to {front}: {status}"));
    Outcome {
        request: request.to_owned(),
        status,
    }
}

/// Clients that send requests to the fronts of all regions in turn, until they are stopped.
pub struct Clients {
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts a client for each front, each of which sends a request in every `gap`.
    pub fn start(record: &Record, world: &World, gap: Duration) -> Self {
        let outcomes = Arc::<Mutex<Vec<Outcome>>>::default();
        let stopped = Arc::<AtomicBool>::default();
        let fronts = world.of(Class::Front).map(|front| world.front(front));
        let threads = fronts.map(|front| {
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || {
                let mut pending = Vec::new();
                while !stopped.load(Ordering::SeqCst) {
                    let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
                    pending.push(thread::spawn(move || {
                        let outcome = send(&record, front, &new_id());
                        outcomes.lock().unwrap().push(outcome);
                    }));
                    pending.retain(|thread| !thread.is_finished());
                    thread::sleep(gap);
                }
                for thread in pending {
                    let _ = thread.join();
                }
            })
        });
        let threads = threads.collect();
        Self {
            outcomes,
            stopped,
            threads,
        }
    }

    /// Waits until all requests have ended and returns what became of them.
    pub fn stop(self) -> Vec<Outcome> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.outcomes.lock().unwrap().clone()
    }
}
