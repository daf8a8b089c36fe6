//! Servers of a plain service, and the platform's list of them.

use crate::{http, record::Record};
use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Requests that a server works on at once.
const SLOTS: u64 = 6;

/// One start of a server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub service: &'static str,
    pub zone: String,
    pub draining: AtomicBool,
    ended: AtomicBool,
    running: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    record: Record,
    runs: Mutex<Vec<Run>>,
    /// Bytes of an answer's body.
    answer_bytes: usize,
    work: Duration,
}

/// A request that a server has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub zone: String,
    pub at: Duration,
    /// Whether the whole answer was handed to the connection.
    pub answered: bool,
}

impl Server {
    pub fn start(
        record: &Record,
        id: &str,
        address: SocketAddr,
        service: &'static str,
        zone: &str,
        work: Duration,
        answer_bytes: usize,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("an address for a server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            service,
            zone: zone.to_owned(),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            running: AtomicU64::new(0),
            open: Mutex::default(),
            record: record.clone(),
            runs: Mutex::default(),
            answer_bytes,
            work,
        });
        record.line(&format!(
            "server {id} ({service}) starts in {zone} at {address}"
        ));
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for io in listener.incoming() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(io) = io else { continue };
                let server = Arc::clone(&accepting);
                if let Ok(copy) = io.try_clone() {
                    server.open.lock().unwrap().push(copy);
                }
                thread::spawn(move || server.serve(io));
            }
        });
        server
    }

    /// Ends the server with all that it runs. Nothing listens at its address afterwards.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for io in self.open.lock().unwrap().drain(..) {
            let _ = io.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        let running = self.running.load(Ordering::SeqCst);
        self.record.tell(&format!(
            "server {} has ended with {running} requests",
            self.id
        ));
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, mut io: TcpStream) {
        use std::io::Write as _;
        let _ = io.set_nodelay(true);
        let _ = io.set_read_timeout(Some(Duration::from_secs(15)));
        let mut buf = Vec::new();
        while let Ok(request) = http::read(&mut io, &mut buf) {
            let answer = self.answer(&request);
            let sent = !self.has_ended() && io.write_all(&answer).is_ok();
            if let (true, Some(id)) = (sent, request.header("attempt-id")) {
                let mut runs = self.runs.lock().unwrap();
                if let Some(run) = runs.iter_mut().rev().find(|run| run.request == id) {
                    run.answered = true;
                }
            }
            if !sent || !request.keeps_alive() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> Vec<u8> {
        let load = format!("{},0,{SLOTS}", self.running.load(Ordering::SeqCst));
        let alive = ("Keep-Alive", "timeout=15");
        if request.path() == "/health" {
            let headers = [("Instance-Id", &*self.id), ("Server-Load", &load), alive];
            let status = match self.draining.load(Ordering::SeqCst) {
                true => "HTTP/1.1 503 Service Unavailable",
                false => "HTTP/1.1 200 OK",
            };
            return http::encode(status, &headers, b"");
        }
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("Attempt-Id", &*id), ("Not-Executed", "1"), alive];
            return http::encode("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Attempt-Id", &*id), ("Not-Executed", "1"), alive];
            return http::encode("HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        self.runs.lock().unwrap().push(Run {
            request: id.clone(),
            zone: self.zone.clone(),
            at: self.record.now(),
            answered: false,
        });
        self.record
            .line(&format!("server {} ({}) runs {id}", self.id, self.zone));
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let stamp = format!("{}.{id}", self.id);
        let headers = [
            ("Attempt-Id", &*id),
            ("Response-Stamp", &stamp),
            ("Server-Load", &load),
            alive,
        ];
        http::encode("HTTP/1.1 200 OK", &headers, &vec![b'x'; self.answer_bytes])
    }
}

/// The platform's list of running servers.
#[derive(Clone, Default)]
pub struct List(Arc<Mutex<Listed>>);

#[derive(Default)]
struct Listed {
    servers: Vec<Arc<Server>>,
    /// Entries of another writer, as they are sent.
    foreign: Vec<Vec<u8>>,
}

impl List {
    pub fn add(&self, server: &Arc<Server>) {
        self.0.lock().unwrap().servers.push(Arc::clone(server));
    }

    pub fn add_foreign(&self, entry: &[u8]) {
        self.0.lock().unwrap().foreign.push(entry.to_vec());
    }

    pub fn serve(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("an address for the platform");
        let list = self.clone();
        thread::spawn(move || {
            for mut io in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || {
                    use std::io::Write as _;
                    let mut buf = Vec::new();
                    while let Ok(request) = http::read(&mut io, &mut buf) {
                        let body = list.page(request.path());
                        let headers = [("Content-Type", "application/json")];
                        let answer = http::encode("HTTP/1.1 200 OK", &headers, &body);
                        if io.write_all(&answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// The only page of the list, of one zone if the path names one.
    fn page(&self, path: &str) -> Vec<u8> {
        let zone = path
            .split(['?', '&'])
            .find_map(|part| part.strip_prefix("zone="));
        let listed = self.0.lock().unwrap();
        let servers = listed.servers.iter().filter(|server| !server.has_ended());
        let servers = servers.filter(|server| zone.is_none_or(|zone| server.zone == zone));
        let mut entries = servers
            .map(|server| server.entry().into_bytes())
            .collect::<Vec<_>>();
        entries.extend(listed.foreign.iter().cloned());
        let mut page = br#"{"instances":["#.to_vec();
        page.extend(entries.join(&b","[..]));
        page.extend_from_slice(br#"],"next":null}"#);
        page
    }
}

impl Server {
    fn entry(&self) -> String {
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        format!(
            r#"{{"id":"{}","service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"{state}","cold_remaining_ms":0}}"#,
            self.id, self.service, self.address, self.zone
        )
    }
}
