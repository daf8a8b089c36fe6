//! Processes of the system, started as the deploy file has it, on loopback addresses.

use crate::{http, record::Record};
use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

/// Regions of the deployment, each with one zone.
pub const REGIONS: [&str; 3] = ["utara", "tengah", "selatan"];
/// Core machines, by the number of their region.
const CORE: [u8; 5] = [0, 1, 2, 0, 1];

#[derive(Clone, Copy, PartialEq)]
pub enum Class {
    Core,
    Front,
}

pub struct Machine {
    pub class: Class,
    pub ip: Ipv4Addr,
    pub name: String,
    pub zone: String,
    region: &'static str,
    log: PathBuf,
    child: Option<Child>,
}

pub struct World {
    /// First of the ports; the same on all machines.
    base: u16,
    folder: PathBuf,
    pub machines: Vec<Machine>,
    record: Record,
}

impl World {
    /// Chooses free ports for five core machines and some fronts in each region, in a new temporary folder.
    pub fn new(record: &Record, fronts_per_region: u8) -> Self {
        let folder = std::env::temp_dir().join(format!("ebonystand-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let mut machines = Vec::new();
        let mut add = |class, kind: &str, host: u8, region: usize, number: u8| {
            let name = format!("{kind}-{}-a-{number}", REGIONS[region]);
            machines.push(Machine {
                class,
                ip: Ipv4Addr::new(127, 10, 1 + region as u8, host),
                log: folder.join(format!("{name}.log")),
                name,
                zone: format!("{}-a", REGIONS[region]),
                region: REGIONS[region],
                child: None,
            });
        };
        for (index, region) in CORE.iter().enumerate() {
            add(
                Class::Core,
                "core",
                20 + index as u8,
                usize::from(*region),
                index as u8 + 1,
            );
        }
        for region in 0..REGIONS.len() {
            for number in 0..fronts_per_region {
                add(Class::Front, "front", 40 + number, region, number + 1);
            }
        }
        let ips = machines
            .iter()
            .map(|machine| machine.ip)
            .collect::<Vec<_>>();
        let servers = (0..REGIONS.len())
            .flat_map(|region| (1..=3).map(move |number| server_ip(region, number)));
        let servers = servers.collect::<Vec<_>>();
        let base = (0..200).map(|turn| 16_000 + 60 * ((turn + std::process::id() as u16) % 200));
        let base = base.into_iter().find(|base| {
            let free = |ip: &Ipv4Addr| {
                (*base..*base + 40).all(|port| TcpListener::bind((*ip, port)).is_ok())
            };
            ips.iter().all(free) && free(&Ipv4Addr::new(127, 10, 9, 1)) && servers.iter().all(free)
        });
        Self {
            base: base.expect("free ports"),
            folder,
            machines,
            record: record.clone(),
        }
    }

    pub fn cloud(&self) -> SocketAddr {
        SocketAddr::from(([127, 10, 9, 1], self.base + 5))
    }

    pub fn control(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::from((machine.ip, self.base + 9))
    }

    pub fn front(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::from((machine.ip, self.base + 1))
    }

    pub fn ready(&self, machine: &Machine) -> SocketAddr {
        SocketAddr::from((machine.ip, self.base + 4))
    }

    /// Port on which servers listen, at addresses of their own.
    pub fn server_port(&self) -> u16 {
        self.base + 8
    }

    pub fn of(&self, class: Class) -> impl Iterator<Item = &Machine> {
        self.machines
            .iter()
            .filter(move |machine| machine.class == class)
    }

    pub fn get(&self, name: &str) -> &Machine {
        self.machines
            .iter()
            .find(|machine| machine.name == name)
            .unwrap()
    }

    pub fn start_all(&mut self) {
        for index in 0..self.machines.len() {
            self.start(index);
        }
    }

    fn start(&mut self, index: usize) {
        let machine = &self.machines[index];
        let role = match machine.class {
            Class::Core => "core",
            Class::Front => "front",
        };
        let settings = self.folder.join(format!("{}.json", machine.name));
        let template = fs::read_to_string(format!("deploy/{role}.json")).unwrap();
        fs::write(&settings, render(&template, &self.values(machine))).unwrap();
        let run = run_of(role);
        let mut words = run.split(' ');
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&machine.log)
            .unwrap();
        let child = Command::new(words.next().unwrap())
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("EBONYSTAND_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        self.record
            .line(&format!("platform starts {}", machine.name));
        self.machines[index].child = Some(child);
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, name: &str, signal: &str) {
        let child = self.get(name).child.as_ref().expect("a process");
        let command = format!("kill -{signal} {}", child.id());
        let done = Command::new("sh").args(["-c", &command]).status().unwrap();
        assert!(done.success());
        self.record.tell(&format!("{name} gets SIG{signal}"));
    }

    /// Whether the log of a machine says that it has become the leader.
    pub fn has_led(&self, machine: &Machine) -> bool {
        let log = fs::read_to_string(&machine.log).unwrap_or_default();
        log.lines().any(|line| line.contains(" is leader in term"))
    }

    /// Waits until all fronts say that they are ready.
    pub fn wait_ready(&self, longest: Duration) -> bool {
        let until = self.record.now() + longest;
        let second = Duration::from_secs(1);
        let is_ready = |machine: &Machine| {
            let answer = http::call(
                self.ready(machine),
                "GET /ebonystand/readiness",
                &[],
                b"",
                second,
            );
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        while !self.of(Class::Front).all(is_ready) {
            if self.record.now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Values of the placeholders, each plain and as JSON.
    fn values(&self, machine: &Machine) -> BTreeMap<&'static str, (String, String)> {
        let seeds = self.of(Class::Core).take(3).map(|core| self.control(core));
        let seeds = seeds.map(|seed| format!("\"{seed}\"")).collect::<Vec<_>>();
        let zones = REGIONS.map(|region| format!("\"{region}-a\":\"{region}\""));
        let data = self.folder.join(format!("{}-data", machine.name));
        let (share, memory) = match machine.class {
            Class::Core => ("0.6", "256"),
            Class::Front => ("0.25", "260"),
        };
        let quoted = |text: String| (text.clone(), format!("\"{text}\""));
        let number = |text: &str| (text.to_owned(), text.to_owned());
        let own = |port| quoted(SocketAddr::from((machine.ip, port)).to_string());
        BTreeMap::from([
            ("bootstrap", number("true")),
            ("bounds.budget_slack", number("54")),
            ("bounds.grace_s", number("8")),
            ("bounds.quota_overage", number("0.1")),
            ("bounds.quota_slack", number("140000")),
            ("bounds.quota_window_s", number("8")),
            ("bounds.retry_budget_ratio", number("0.2")),
            ("bounds.revoke_ms", number("5000")),
            ("cloud.address", quoted(self.cloud().to_string())),
            ("data_dir", quoted(data.display().to_string())),
            ("internal_ports.0", number(&(self.base + 20).to_string())),
            ("ip", quoted(machine.ip.to_string())),
            ("limits.cores", number("1")),
            ("limits.cpu_share", number(share)),
            ("limits.link_mbps", number("1000.0")),
            ("limits.memory_mb", number(memory)),
            ("listen.control", own(self.base + 9)),
            ("listen.directory", own(self.base)),
            ("listen.front", own(self.base + 1)),
            ("listen.ready", own(self.base + 4)),
            ("region", quoted(machine.region.to_owned())),
            ("seeds", number(&format!("[{}]", seeds.join(",")))),
            ("zone", quoted(machine.zone.clone())),
            ("zones", number(&format!("{{{}}}", zones.join(",")))),
        ])
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

/// Address of a server that stands in for one of a region.
pub fn server_ip(region: usize, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 10, 101 + region as u8, number)
}

/// Command that the deploy file names for a role.
fn run_of(role: &str) -> String {
    let text = fs::read_to_string("deploy/system.toml").unwrap();
    let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap();
    let line = section
        .lines()
        .find(|line| line.starts_with("run"))
        .unwrap();
    line.split('"').nth(1).unwrap().to_owned()
}

/// Fills in the placeholders of a template.
fn render(template: &str, values: &BTreeMap<&str, (String, String)>) -> String {
    let mut parts = template.split("{{");
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (name, rest) = part.split_once("}}").expect("a placeholder");
        let (name, is_json) = match name.split_once('|') {
            Some((name, _)) => (name, true),
            None => (name, false),
        };
        let (plain, json) = values.get(name).unwrap_or_else(|| panic!("{name}"));
        text.push_str(if is_json { json } else { plain });
        text.push_str(rest);
    }
    text
}
