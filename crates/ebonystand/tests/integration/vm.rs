use {
    crate::answer::Answer,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        fs::{self, File},
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{self, Child, Command},
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
};

/// One daemon process.
pub(crate) struct Vm {
    pub(crate) addresses: Addresses,
    child: Option<Child>,
    dir: PathBuf,
    pub(crate) name: String,
    starts: usize,
}

/// Where it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// Secret of the only operator.
pub(crate) const OPERATOR: &str = "operators-own-credential";

impl Vm {
    /// Settings that every VM of a test starts from.
    pub(crate) fn settings(dir: &Path, name: &str, region: &str, seeds: &[SocketAddr]) -> Value {
        let listen = SocketAddr::from((Self::own_ip(), 0));
        json!({
            "listen": {"callers": listen, "operators": listen, "peers": listen},
            "limits": {"body_timeout_ms": 3_000, "certain_after_ms": 10_000, "head_timeout_ms": 3_000, "linger_ms": 100},
            "log": {"level": "debug"},
            "members": ["vm0"],
            "operator_credential_file": dir.join("operator"),
            "region": region,
            "secret_file": dir.join("secret"),
            "seeds": seeds,
            "vm": name,
            "zone": format!("{region}-a"),
        })
    }

    /// A loopback address that no other VM of the tests has. Connections leave from 127.0.0.1, and on that address could
    /// take the port of a VM that is about to start again.
    fn own_ip() -> Ipv4Addr {
        static COUNT: AtomicU32 = AtomicU32::new(1);
        let count = COUNT.fetch_add(1, Ordering::Relaxed) % 60_000;
        let block = 64 + process::id() % 128;
        Ipv4Addr::from_bits(Ipv4Addr::new(127, 0, 0, 0).to_bits() + (block << 16) + count)
    }

    pub(crate) fn start(dir: &Path, settings: &Value) -> Self {
        let name = settings["vm"].as_str().unwrap().to_owned();
        let mut vm = Self {
            addresses: Addresses {
                callers: ([127, 0, 0, 1], 0).into(),
                operators: ([127, 0, 0, 1], 0).into(),
                peers: ([127, 0, 0, 1], 0).into(),
            },
            child: None,
            dir: dir.into(),
            name,
            starts: 0,
        };
        fs::write(vm.file("json"), settings.to_string()).unwrap();
        vm.restart();
        vm
    }

    /// Keeps the addresses that it listens on over restarts, and lets it know all other VMs.
    pub(crate) fn pin(&mut self, mut settings: Value, seeds: &[SocketAddr]) {
        let Addresses {
            callers,
            operators,
            peers,
        } = self.addresses;
        settings["listen"] = json!({"callers": callers, "operators": operators, "peers": peers});
        settings["seeds"] = json!(seeds);
        fs::write(self.file("json"), settings.to_string()).unwrap();
    }

    /// Removes the data folder, as a lost disk does.
    pub(crate) fn lose_disk(&self) {
        fs::remove_dir_all(self.file("data")).unwrap();
    }

    /// Has the disk refuse every write from the next snapshot of the log on, or take writes again.
    /// A full disk of one VM cannot be had without a file system of its own; `/dev/full` refuses
    /// writes with the same error.
    pub(crate) fn set_disk_full(&self, full: bool) {
        for name in ["log.tmp", "snapshot.tmp"] {
            let path = self.file("data").join(name);
            match full {
                true => std::os::unix::fs::symlink("/dev/full", path).unwrap(),
                false => fs::remove_file(path).unwrap(),
            }
        }
    }

    /// Has the disk fail at the next snapshot of the log.
    pub(crate) fn fail_disk(&self) {
        for name in ["log.tmp", "snapshot.tmp"] {
            fs::create_dir(self.file("data").join(name)).unwrap();
        }
    }

    /// Starts the process again with the settings it had.
    pub(crate) fn restart(&mut self) {
        self.spawn();
        self.wait_until_listening();
    }

    /// Starts the process again while a file that it reads during its start is a pipe, and returns the pipe once the process waits
    /// for its content.
    pub(crate) fn restart_held(&mut self) -> File {
        let pipe = self.dir.join("operator");
        fs::remove_file(&pipe).unwrap();
        let made = Command::new("mkfifo").arg(&pipe).status().unwrap();
        assert!(made.success());
        self.spawn();
        // Opening waits until the process has opened the other end.
        File::options().write(true).open(pipe).unwrap()
    }

    fn spawn(&mut self) {
        let addresses = self.file("addresses");
        let _ = fs::remove_file(&addresses);
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.file("log"))
            .unwrap();
        let child = Command::new(self.program())
            .arg("run")
            .arg("--addresses")
            .arg(&addresses)
            .arg(self.file("json"))
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
        self.starts += 1;
    }

    pub(crate) fn wait_until_listening(&mut self) {
        let addresses = self.file("addresses");
        for _ in 0..2_000 {
            let text = fs::read_to_string(&addresses).unwrap_or_default();
            if let Ok(found) = serde_json::from_str(&text) {
                self.addresses = found;
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("{} does not start:\n{}", self.name, self.log());
    }

    /// Identifier of the process, which must run.
    pub(crate) fn process(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    pub(crate) async fn call(&self, key: &str, method: &str, path: &str, body: &str) -> Answer {
        self.call_with(key, method, path, body, &[]).await
    }

    pub(crate) async fn call_with(
        &self,
        key: &str,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Answer {
        let url = format!("http://{}{path}", self.addresses.callers);
        request(&url, key, method, body, headers).await
    }

    pub(crate) async fn operate(&self, method: &str, path: &str, body: &str) -> Answer {
        let url = format!("http://{}{path}", self.addresses.operators);
        request(&url, OPERATOR, method, body, &[]).await
    }

    /// Ends the process at once, as `kill -9` does.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// The log once it holds `text`; lines are written some time after what they tell.
    pub(crate) async fn log_with(&self, text: &str) -> String {
        for _ in 0..2_000 {
            let log = self.log();
            if log.contains(text) {
                return log;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("no line has {text}: {}", self.log());
    }

    pub(crate) fn log(&self) -> String {
        fs::read_to_string(self.file("log")).unwrap_or_default()
    }

    pub(crate) fn running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Resident memory of the process, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        let pid = self.child.as_ref().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.unwrap().trim().trim_end_matches(" kB");
        kib.parse::<u64>().unwrap() * 1_024
    }

    /// Sends a signal, by its name.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.as_ref().unwrap().id();
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(pid.to_string())
            .status()
            .unwrap();
        assert!(sent.success());
    }

    /// Waits until the process ends, and returns whether it ended well.
    pub(crate) fn wait(&mut self) -> bool {
        let mut child = self.child.take().unwrap();
        child.wait().unwrap().success()
    }

    /// Program of the next start: the one under test, or in turn with it the older build that
    /// `EBONYSTAND_OLDER_BUILD` names, so that neighbouring VMs differ and each restart reads what the other wrote.
    fn program(&self) -> PathBuf {
        let current = PathBuf::from(env!("CARGO_BIN_EXE_ebonystand"));
        let Some(older) = std::env::var_os("EBONYSTAND_OLDER_BUILD") else {
            return current;
        };
        let first = std::env::var_os("EBONYSTAND_OLDER_BUILD_FIRST").is_some();
        let vm = self.name.trim_start_matches("vm").parse().unwrap_or(0);
        match (usize::from(first) + vm + self.starts) % 2 {
            0 => current,
            _ => older.into(),
        }
    }

    fn file(&self, kind: &str) -> PathBuf {
        self.dir.join(format!("{}.{kind}", self.name))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn request(
    url: &str,
    key: &str,
    method: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Answer {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(60))
        .finish();
    let mut req = client
        .request(method.parse().unwrap(), url)
        .insert_header(("authorization", format!("Bearer {key}")));
    for header in headers {
        req = req.insert_header(*header);
    }
    let mut response = req.send_body(body.to_owned()).await.unwrap();
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.body().limit(64 << 20).await.unwrap();
    Answer {
        body: String::from_utf8(body.to_vec()).unwrap(),
        retry_after,
        status: response.status().as_u16(),
    }
}
