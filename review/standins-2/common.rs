//! Starts the deploy file's programs on loopback addresses, and small stand-ins for the platform's
//! list, the servers, the operator and the clients. Uses the standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    begun: Instant,
}

impl Record {
    /// Opens `record.txt` in the folder that `CASE_DIR` names.
    pub fn open() -> Self {
        let folder = std::env::var("CASE_DIR").expect("CASE_DIR names the folder of the case");
        let file = fs::File::create(Path::new(&folder).join("record.txt")).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            begun: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}

/// A request or an answer as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().into();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().into(), value.trim().into()));
        }
    }
}

/// Reads the body of a message. `is_answer` tells that a body without a length ends with the connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, is_answer: bool) {
    let status = message.status();
    if is_answer && (status == 204 || status == 304) {
        message.whole = true;
        return;
    }
    if let Some(length) = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        let mut body = Vec::new();
        let _ = reader.take(length).read_to_end(&mut body);
        message.whole = body.len() as u64 == length;
        message.body = body;
        return;
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let size = line.trim().split(';').next().unwrap_or("").to_owned();
            let Ok(size) = u64::from_str_radix(&size, 16) else {
                return;
            };
            let before = message.body.len() as u64;
            let _ = reader.take(size).read_to_end(&mut message.body);
            if message.body.len() as u64 != before + size {
                return;
            }
            line.clear();
            let _ = reader.read_line(&mut line);
            if size == 0 {
                message.whole = true;
                return;
            }
        }
    }
    if is_answer {
        message.whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.whole = true;
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(address: SocketAddr, head: &str, body: &[u8], wait: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Message> {
    let answer = read_head(reader)?;
    let mut answer = answer.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    read_body(reader, &mut answer, true);
    Ok(answer)
}

pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    call(address, &head, b"", Duration::from_secs(2))
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> io::Result<Message> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    call(address, &head, body.as_bytes(), Duration::from_secs(2))
}

/// Serves connections on `address`, each on a thread of its own.
pub fn listen(address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("address of a stand-in");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
}

/// A server as the platform's list shows it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
}

impl Listed {
    fn json(&self) -> String {
        let Self {
            id,
            service,
            address,
            zone,
            slots,
            draining,
        } = self;
        let state = if *draining { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold_remaining_ms":0,"id":"{id}"}}"#
        )
    }
}

/// The platform's list of servers.
#[derive(Clone, Default)]
pub struct List {
    entries: Arc<Mutex<BTreeMap<String, Listed>>>,
}

impl List {
    pub fn serve(&self, address: SocketAddr) {
        let list = self.clone();
        listen(address, move |stream| {
            let mut out = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Ok(Some(mut request)) = read_head(&mut reader) {
                read_body(&mut reader, &mut request, false);
                let zone = request
                    .path()
                    .split(['?', '&'])
                    .find_map(|part| part.strip_prefix("zone="));
                let entries = list.entries.lock().unwrap().clone();
                let entries = entries
                    .values()
                    .filter(|entry| zone.is_none_or(|zone| zone == entry.zone));
                let entries = entries.map(Listed::json).collect::<Vec<_>>().join(",");
                let body = format!(r#"{{"instances":[{entries}],"next":null}}"#);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if out.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        });
    }

    pub fn put(&self, entry: Listed) {
        self.entries.lock().unwrap().insert(entry.id.clone(), entry);
    }

    pub fn remove(&self, id: &str) {
        self.entries.lock().unwrap().remove(id);
    }
}

/// Answers what a sound server answers without running anything; `None` if the request is to be run.
pub fn not_run_answer(request: &Message, id: &str, slots: u32) -> Option<String> {
    let attempt = request.header("attempt-id").unwrap_or("");
    if request.path() == "/health" {
        return Some(format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nServer-Load: 0,0,{slots}\r\nContent-Length: 0\r\n\r\n"
        ));
    }
    if request
        .header("expect-instance")
        .is_some_and(|expected| expected != id)
    {
        return Some(format!(
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        ));
    }
    if attempt.is_empty() {
        return Some(
            "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".into(),
        );
    }
    None
}

/// A machine of the deployment.
pub struct Vm {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub is_core: bool,
    pub child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

/// A small deployment: zones `za`, `zb`, `zc` in the regions `ra`, `rb`, `rc`.
pub struct Fleet {
    pub vms: Vec<Vm>,
    pub list: List,
    pub folder: PathBuf,
    pub front_port: u16,
    pub control_port: u16,
    pub record: Record,
    octet: u8,
}

pub const ZONES: [(&str, &str); 3] = [("za", "ra"), ("zb", "rb"), ("zc", "rc")];

impl Fleet {
    /// Starts `cores` machines with a disk and `fronts` entry machines in each zone.
    pub fn start(record: &Record, cores: [usize; 3], fronts: [usize; 3]) -> Self {
        let mut fleet = Self::new(record, cores, fronts);
        for index in 0..fleet.vms.len() {
            fleet.spawn(index);
        }
        fleet
    }

    /// The same, with one machine `gap` before the others.
    pub fn start_one_first(
        record: &Record,
        cores: [usize; 3],
        fronts: [usize; 3],
        first: &str,
        gap: Duration,
    ) -> Self {
        let mut fleet = Self::new(record, cores, fronts);
        let first = fleet.index(first);
        fleet.spawn(first);
        thread::sleep(gap);
        for index in (0..fleet.vms.len()).filter(|index| *index != first) {
            fleet.spawn(index);
        }
        fleet
    }

    /// Prepares the machines, and serves the platform's list.
    fn new(record: &Record, cores: [usize; 3], fronts: [usize; 3]) -> Self {
        let octet = 20 + (std::process::id() % 200) as u8;
        let folder = std::env::temp_dir().join(format!("ebonystand-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let mut vms = Vec::new();
        for (index, (zone, _)) in ZONES.iter().enumerate() {
            for (is_core, count) in [(true, cores[index]), (false, fronts[index])] {
                for number in 1..=count {
                    let last = number as u8 + if is_core { 100 } else { 0 };
                    let kind = if is_core { "core" } else { "front" };
                    let name = format!("{kind}-{zone}-{number}");
                    vms.push(Vm {
                        ip: Ipv4Addr::new(127, octet, index as u8 + 1, last),
                        zone: (*zone).into(),
                        is_core,
                        child: None,
                        settings: folder.join(format!("{name}.json")),
                        log: folder.join(format!("{name}.log")),
                        name,
                    });
                }
            }
        }
        let base = Self::free_ports(&vms);
        let fleet = Self {
            vms,
            list: List::default(),
            folder,
            front_port: base + 1,
            control_port: base + 2,
            record: record.clone(),
            octet,
        };
        for vm in &fleet.vms {
            fleet.list.serve(fleet.platform(vm.ip));
        }
        for index in 0..fleet.vms.len() {
            fleet.write_settings(index, true);
        }
        fleet
    }

    /// Renders the settings of a machine as for any start but the first one of the whole system.
    pub fn restart_settings(&self, index: usize) {
        self.write_settings(index, false);
    }

    /// First of 16 ports that are free on all machines.
    fn free_ports(vms: &[Vm]) -> u16 {
        let start = 20_000 + (std::process::id() % 500) as u16 * 16;
        let is_free = |base: &u16| {
            vms.iter()
                .all(|vm| (*base..base + 16).all(|port| TcpListener::bind((vm.ip, port)).is_ok()))
        };
        let mut bases = (start..40_000).step_by(16);
        bases.find(is_free).expect("free ports")
    }

    /// Address of the platform's list for the machine with this address.
    pub fn platform(&self, vm: Ipv4Addr) -> SocketAddr {
        let [.., zone, last] = vm.octets();
        SocketAddr::new(
            Ipv4Addr::new(127, self.octet, 100 + zone, last).into(),
            self.front_port,
        )
    }

    /// Address of the `number`-th server of a zone.
    pub fn server_address(&self, zone: usize, number: u8) -> SocketAddr {
        SocketAddr::new(
            Ipv4Addr::new(127, self.octet, zone as u8 + 1, 200 + number).into(),
            self.front_port,
        )
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.vms[index].ip), self.front_port)
    }

    pub fn index(&self, name: &str) -> usize {
        self.vms
            .iter()
            .position(|vm| vm.name == name)
            .expect("name of a machine")
    }

    fn write_settings(&self, index: usize, bootstrap: bool) {
        let vm = &self.vms[index];
        let region = ZONES.iter().find(|(zone, _)| *zone == vm.zone).unwrap().1;
        let seeds = self.vms.iter().filter(|vm| vm.is_core).take(3);
        let seeds = seeds
            .map(|vm| format!("\"{}:{}\"", vm.ip, self.control_port))
            .collect::<Vec<_>>()
            .join(",");
        let zones = ZONES
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .join(",");
        let platform = self.platform(vm.ip);
        let (ip, front, control) = (vm.ip, self.front_port, self.control_port);
        // The templates `deploy/front.json` and `deploy/core.json`, filled in.
        let template = if vm.is_core {
            "deploy/core.json"
        } else {
            "deploy/front.json"
        };
        let data = self.folder.join(format!("{}.data", vm.name));
        let mut text = fs::read_to_string(template).expect("template of the deploy file");
        let fields = [
            ("{{cloud.address}}", platform.to_string()),
            ("{{listen.directory}}", format!("{ip}:{}", front + 2)),
            ("{{listen.front}}", format!("{ip}:{front}")),
            ("{{listen.ready}}", format!("{ip}:{}", front + 3)),
            ("{{listen.control}}", format!("{ip}:{control}")),
            ("{{internal_ports.0}}", (front + 7).to_string()),
            ("{{ip}}", ip.to_string()),
            ("{{seeds|json}}", format!("[{seeds}]")),
            ("{{bounds.quota_overage|json}}", "0.1".into()),
            ("{{bounds.quota_slack|json}}", "140000".into()),
            ("{{bounds.quota_window_s}}", "8".into()),
            ("{{bounds.retry_budget_ratio}}", "0.2".into()),
            ("{{bounds.budget_slack|json}}", "54".into()),
            ("{{bounds.revoke_ms}}", "5000".into()),
            ("{{bounds.grace_s}}", "8".into()),
            ("{{zones|json}}", format!("{{{zones}}}")),
            ("{{region}}", region.into()),
            ("{{zone}}", vm.zone.clone()),
            ("{{limits.cores}}", "1".into()),
            ("{{limits.link_mbps}}", "1000.0".into()),
            (
                "{{limits.memory_mb}}",
                if vm.is_core { "256" } else { "260" }.into(),
            ),
            (
                "{{limits.cpu_share}}",
                if vm.is_core { "0.6" } else { "0.25" }.into(),
            ),
            ("{{data_dir}}", data.display().to_string()),
            ("{{bootstrap}}", bootstrap.to_string()),
        ];
        for (name, value) in fields {
            text = text.replace(name, &value);
        }
        assert!(
            !text.contains("{{"),
            "a placeholder of {template} has no value: {text}"
        );
        fs::write(&vm.settings, text).unwrap();
    }

    pub fn spawn(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&vm.log)
            .unwrap();
        let child = Command::new("target/release/ebonystand-platform")
            .env("EBONYSTAND_BOOT", &vm.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            eprintln!("target/release/ebonystand-platform is not built");
            self.finish(2);
        };
        self.record.line(format!(
            "machine {} started as process {}",
            vm.name,
            child.id()
        ));
        vm.child = Some(child);
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, index: usize, signal: &str) {
        let Some(child) = &self.vms[index].child else {
            return;
        };
        self.record
            .line(format!("signal {signal} to {}", self.vms[index].name));
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status();
    }

    /// Waits for the end of a machine's process, which has been told to stop.
    pub fn reap(&mut self, index: usize) {
        if let Some(mut child) = self.vms[index].child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        self.vms[index]
            .child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends a configuration to the cores in turn until one acknowledges it.
    pub fn configure(&self, body: &str) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            for vm in self.vms.iter().filter(|vm| vm.is_core) {
                let control = SocketAddr::new(vm.ip.into(), self.control_port);
                match post(control, "/ebonystand/config/replace", body) {
                    Ok(answer) if answer.status() == 200 => {
                        self.record
                            .line(format!("configuration acknowledged by {}", vm.name));
                        return;
                    }
                    Ok(answer) if answer.status() < 500 => {
                        self.record
                            .line(format!("configuration refused: {}", answer.status()));
                        self.finish(2);
                    }
                    _ => thread::sleep(Duration::from_millis(100)),
                }
            }
        }
        eprintln!("no machine acknowledges the configuration");
        self.finish(2);
    }

    /// Waits until all entry machines say that they are ready.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(30);
        let is_ready = |vm: &Vm| {
            let ready = SocketAddr::new(vm.ip.into(), self.front_port + 3);
            get(ready, "/ebonystand/readiness").is_ok_and(|answer| answer.status() == 200)
        };
        while !self.vms.iter().filter(|vm| !vm.is_core).all(is_ready) {
            if Instant::now() > end {
                eprintln!("the entry machines are not ready");
                self.finish(2);
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all entry machines are ready");
    }

    /// Ends all processes that were started and exits.
    pub fn finish(&self, code: i32) -> ! {
        for vm in &self.vms {
            if let Some(child) = &vm.child {
                let _ = Command::new("kill")
                    .arg("-KILL")
                    .arg(child.id().to_string())
                    .stderr(Stdio::null())
                    .status();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
        self.record.line(format!("exit {code}"));
        std::process::exit(code);
    }
}

/// The smallest valid configuration with `routes` of the services `services`, both as JSON.
pub fn configuration(version: u32, routes: &str, services: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#
    )
}
