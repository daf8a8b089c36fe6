//! Tests of the command-line client against stub VMs.

use {
    rstest::rstest,
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpListener, TcpStream},
        path::PathBuf,
        process::{Command, Output},
        sync::mpsc::{Receiver, channel},
        thread,
    },
};

/// Reaction of a stub VM to a request, other than for its status: close the connection without an
/// answer, or send a status code and a body.
#[derive(Clone, Copy)]
enum StubAnswer {
    Lost,
    Sent(u16, &'static str),
}

/// Stub VM that answers a status request with version 7 and every other request with the same
/// `StubAnswer`. It records the requests that it reads.
struct StubVm {
    requests: Receiver<String>,
    url: String,
}

const STATUS: &str = r#"{"allowances":[],"draining":false,"groups":[],"preset":"ordinary",
    "ready":true,"upstreams":[],"version":7,"vm":"a","vms":[],"withdrawals_pending":0}"#;

impl StubVm {
    fn start(answer: StubAnswer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port is free");
        let url = format!(
            "http://{}",
            listener.local_addr().expect("listener has an address")
        );
        let (tx, requests) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let req = read_request(&stream);
                let is_status = req.starts_with("GET /v1/operator/status");
                drop(tx.send(req));
                match answer {
                    StubAnswer::Sent(..) | StubAnswer::Lost if is_status => {
                        respond(&stream, 200, STATUS)
                    }
                    StubAnswer::Sent(status, body) => respond(&stream, status, body),
                    StubAnswer::Lost => drop(stream.shutdown(Shutdown::Both)),
                }
            }
        });
        Self { requests, url }
    }
}

fn read_request(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        let count = stream.read(&mut buf).unwrap_or(0);
        text.extend_from_slice(&buf[..count]);
        let req = String::from_utf8_lossy(&text).into_owned();
        let Some((head, body)) = req.split_once("\r\n\r\n") else {
            assert!(
                count > 0,
                "connection closed before the request's head was complete"
            );
            continue;
        };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse::<usize>().ok())?
        });
        if body.len() >= length.unwrap_or(0) {
            return req;
        }
    }
}

fn respond(mut stream: &TcpStream, status: u16, body: &str) {
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}"
    );
    drop(stream.write_all(answer.as_bytes()));
}

fn run_ctl(servers: &[&str], args: &[&str]) -> Output {
    let folder = tempfile::tempdir().expect("temporary folder can be created");
    let file = folder.path().join("credential");
    std::fs::write(&file, "op-secret\n").expect("file can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ebonystandctl"));
    for server in servers {
        command.args(["--server", server]);
    }
    let command = command.arg("--credential-file").arg(file).args(args);
    command.output().expect("ebonystandctl can be started")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn json_body(req: &str) -> serde_json::Value {
    let (_, body) = req.split_once("\r\n\r\n").expect("request has a body");
    serde_json::from_str(body).expect("text is JSON")
}

const UNREACHABLE: &str = "http://127.0.0.1:1";

#[rstest]
#[case::accepted(200, r#"{"accepted":{"version":8}}"#, 0)]
#[case::refused(422, r#"{"refused":{"faults":[{"absent":{"path":"keys.x"}}]}}"#, 1)]
#[case::unauthorized(401, r#"{"error":"unauthorized"}"#, 1)]
#[case::conflict(409, r#"{"conflict":{"version":9}}"#, 3)]
#[case::no_leader(503, r#"{"error":"no_leader","may_have_been_applied":false}"#, 4)]
#[case::lost_leader(503, r#"{"error":"no_leader","may_have_been_applied":true}"#, 5)]
#[case::not_understood(200, "<html>", 5)]
fn each_outcome_has_its_exit_status(
    #[case] status: u16,
    #[case] answer: &'static str,
    #[case] exit: i32,
) {
    let vm = StubVm::start(StubAnswer::Sent(status, answer));
    let output = run_ctl(&[&vm.url], &["preset", "switch", "peak"]);
    assert_eq!(output.status.code(), Some(exit), "{}", text(&output.stderr));
}

/// The first VM refuses connections. The second VM takes the change, but its answer is lost, so the
/// client sends the change to the third VM. Under another request id, the change would be made
/// twice, or be refused because it itself moved the version on.
#[test]
fn a_lost_answer_is_asked_for_at_the_next_vm_under_the_same_request_id() {
    let lost = StubVm::start(StubAnswer::Lost);
    let other = StubVm::start(StubAnswer::Sent(200, r#"{"accepted":{"version":8}}"#));
    let servers = [UNREACHABLE, &lost.url, &other.url];
    let output = run_ctl(&servers, &["preset", "switch", "peak"]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout), "version 8\n");
    let first = lost
        .requests
        .iter()
        .nth(1)
        .expect("stub VM received the change");
    let second = other
        .requests
        .iter()
        .next()
        .expect("stub VM received the change");
    assert_eq!(
        json_body(&first)["request_id"],
        json_body(&second)["request_id"]
    );
    assert_eq!(json_body(&first)["expected_version"], 7);
    assert!(
        second
            .to_lowercase()
            .contains("authorization: bearer op-secret")
    );
}

/// Every VM loses its answer, so the change may have been made. The error must give the request id
/// and version with which the operator can send the change again.
#[test]
fn an_unknown_outcome_names_the_request_id_for_a_resend() {
    let vm = StubVm::start(StubAnswer::Lost);
    let args = ["preset", "switch", "peak", "--request-id", "r-1"];
    let output = run_ctl(&[&vm.url], &args);
    assert_eq!(output.status.code(), Some(5));
    assert!(text(&output.stderr).contains("--request-id r-1 --expected-version 7"));
}

/// The system must not keep a caller's secret, so the client sends only the secret's hash.
#[test]
fn a_given_key_sends_its_hash_and_prints_its_secret_once() {
    let vm = StubVm::start(StubAnswer::Sent(200, r#"{"accepted":{"version":8}}"#));
    let args = ["--json", "key", "give", "--workspace", "w", "--id", "k"];
    let output = run_ctl(&[&vm.url], &args);
    let given: serde_json::Value = serde_json::from_slice(&output.stdout).expect("text is JSON");
    let secret = given["secret"].as_str().expect("output has a secret");
    let req = vm
        .requests
        .iter()
        .nth(1)
        .expect("stub VM received the change");
    assert!(!req.contains(secret));
    let hash = ebonystand_core::KeyHash::from_secret(secret).to_string();
    assert_eq!(json_body(&req)["change"]["give_key"]["key"]["hash"], *hash);
}

/// The answer to giving a key is lost, so the key may not exist. The client must not print its
/// secret, which may not work.
#[test]
fn a_key_of_unknown_outcome_shows_no_secret() {
    let vm = StubVm::start(StubAnswer::Lost);
    let output = run_ctl(
        &[&vm.url],
        &["key", "give", "--workspace", "w", "--id", "k"],
    );
    assert_eq!(output.status.code(), Some(5));
    assert_eq!(text(&output.stdout), "");
}

/// The answer to the withdrawal of a key is lost, so the key may be withdrawn. The exit status must
/// not tell the operator that nothing changed.
#[test]
fn a_withdrawal_whose_answer_is_lost_is_of_unknown_outcome() {
    let vm = StubVm::start(StubAnswer::Lost);
    let output = run_ctl(&[&vm.url], &["key", "withdraw", "--id", "a b"]);
    assert_eq!(output.status.code(), Some(5));
    let req = vm
        .requests
        .iter()
        .next()
        .expect("stub VM received the withdrawal");
    assert!(
        req.starts_with("POST /v1/operator/withdraw/a%20b "),
        "{req}"
    );
}

#[rstest]
#[case::no_server(&["status"])]
#[case::unknown_subcommand(&["reboot"])]
#[case::bad_version(&["preset", "switch", "peak", "--expected-version", "x"])]
#[case::credential_on_the_command_line(&["--credential", "x", "status"])]
fn a_wrong_command_line_is_usage(#[case] args: &[&str]) {
    assert_eq!(run_ctl(&[], args).status.code(), Some(2));
}

#[test]
fn no_vm_is_unreachable() {
    let output = run_ctl(&[UNREACHABLE], &["status"]);
    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
}

fn example_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[rstest]
#[case("seremban-jaya.json")]
#[case("lait-breizh.json")]
fn the_examples_have_no_fault(#[case] name: &str) {
    let file = example_path(name);
    let output = run_ctl(&[], &["check", file.to_str().expect("path is UTF-8")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
}

#[test]
fn check_names_every_fault_with_its_path() {
    let folder = tempfile::tempdir().expect("temporary folder can be created");
    let file = folder.path().join("bad.json");
    let bad = r#"{"workspaces":{"w":{"burst":0,"home":"r","rate":1,"residency":["r"]}},
        "presets":{"peak":{"deadline_ms":0}}}"#;
    std::fs::write(&file, bad).expect("file can be written");
    let output = run_ctl(&[], &["check", file.to_str().expect("path is UTF-8")]);
    assert_eq!(output.status.code(), Some(1));
    let stderr = text(&output.stderr);
    for path in [
        "workspaces.w:",
        "workspaces.w.residency",
        "presets.peak.deadline_ms",
    ] {
        assert!(stderr.contains(path), "{path}: {stderr}");
    }
}
