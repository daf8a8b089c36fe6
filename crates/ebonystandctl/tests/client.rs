//! The operators' client against stand-ins for VMs.

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

/// What a stand-in does with a request once it has read it.
#[derive(Clone, Copy)]
enum Answer {
    Lost,
    Sent(u16, &'static str),
}

/// A VM that answers each request for a change alike, and each other one with version 7.
struct Vm {
    requests: Receiver<String>,
    url: String,
}

const STATUS: &str = r#"{"allowances":[],"draining":false,"groups":[],"preset":"ordinary",
    "ready":true,"upstreams":[],"version":7,"vm":"a","vms":[],"withdrawals_pending":0}"#;

impl Vm {
    fn start(answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let url = format!("http://{}", listener.local_addr().expect("an address"));
        let (tx, requests) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let req = read(&stream);
                let is_status = req.starts_with("GET /v1/operator/status");
                drop(tx.send(req));
                match answer {
                    Answer::Sent(..) | Answer::Lost if is_status => respond(&stream, 200, STATUS),
                    Answer::Sent(status, body) => respond(&stream, status, body),
                    Answer::Lost => drop(stream.shutdown(Shutdown::Both)),
                }
            }
        });
        Self { requests, url }
    }
}

fn read(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        let count = stream.read(&mut buf).unwrap_or(0);
        text.extend_from_slice(&buf[..count]);
        let all = String::from_utf8_lossy(&text).into_owned();
        let Some((head, body)) = all.split_once("\r\n\r\n") else {
            assert!(count > 0, "an unfinished request");
            continue;
        };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse::<usize>().ok())?
        });
        if body.len() >= length.unwrap_or(0) {
            return all;
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

fn ctl(servers: &[&str], args: &[&str]) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("credential");
    std::fs::write(&file, "op-secret\n").expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ebonystandctl"));
    for server in servers {
        command.args(["--server", server]);
    }
    let command = command.arg("--credential-file").arg(file).args(args);
    command.output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn body(req: &str) -> serde_json::Value {
    let (_, body) = req.split_once("\r\n\r\n").expect("a body");
    serde_json::from_str(body).expect("JSON")
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
    let vm = Vm::start(Answer::Sent(status, answer));
    let output = ctl(&[&vm.url], &["preset", "switch", "peak"]);
    assert_eq!(output.status.code(), Some(exit), "{}", text(&output.stderr));
}

/// The first VM cannot be connected to. The second one takes the change and its answer is lost, so
/// the client asks the third. Under another request id the change would be made twice, or be
/// refused for the version that it made itself.
#[test]
fn a_lost_answer_is_asked_for_at_the_next_vm_under_the_same_request_id() {
    let lost = Vm::start(Answer::Lost);
    let other = Vm::start(Answer::Sent(200, r#"{"accepted":{"version":8}}"#));
    let servers = [UNREACHABLE, &lost.url, &other.url];
    let output = ctl(&servers, &["preset", "switch", "peak"]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout), "version 8\n");
    let first = lost.requests.iter().nth(1).expect("the change");
    let second = other.requests.iter().next().expect("the change");
    assert_eq!(body(&first)["request_id"], body(&second)["request_id"]);
    assert_eq!(body(&first)["expected_version"], 7);
    assert!(
        second
            .to_lowercase()
            .contains("authorization: bearer op-secret")
    );
}

/// All answers are lost: the operator is told that the change may have been made, and under which
/// request id it can be sent again.
#[test]
fn an_unknown_outcome_names_the_request_id_for_a_resend() {
    let vm = Vm::start(Answer::Lost);
    let args = ["preset", "switch", "peak", "--request-id", "r-1"];
    let output = ctl(&[&vm.url], &args);
    assert_eq!(output.status.code(), Some(5));
    assert!(text(&output.stderr).contains("--request-id r-1 --expected-version 7"));
}

/// A caller's secret must not be kept by the system: only its hash may leave the client.
#[test]
fn a_given_key_sends_its_hash_and_prints_its_secret_once() {
    let vm = Vm::start(Answer::Sent(200, r#"{"accepted":{"version":8}}"#));
    let args = ["--json", "key", "give", "--workspace", "w", "--id", "k"];
    let output = ctl(&[&vm.url], &args);
    let given: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let secret = given["secret"].as_str().expect("a secret");
    let req = vm.requests.iter().nth(1).expect("the change");
    assert!(!req.contains(secret));
    let hash = ebonystand_core::KeyHash::from_secret(secret).to_string();
    assert_eq!(body(&req)["change"]["give_key"]["key"]["hash"], *hash);
}

/// The outcome of a given key is unknown: its secret is not shown, since it may not work.
#[test]
fn a_key_of_unknown_outcome_shows_no_secret() {
    let vm = Vm::start(Answer::Lost);
    let output = ctl(
        &[&vm.url],
        &["key", "give", "--workspace", "w", "--id", "k"],
    );
    assert_eq!(output.status.code(), Some(5));
    assert_eq!(text(&output.stdout), "");
}

/// The answer to a withdrawal is lost. The operator must not be told that nothing changed.
#[test]
fn a_withdrawal_whose_answer_is_lost_is_of_unknown_outcome() {
    let vm = Vm::start(Answer::Lost);
    let output = ctl(&[&vm.url], &["key", "withdraw", "--id", "a b"]);
    assert_eq!(output.status.code(), Some(5));
    let req = vm.requests.iter().next().expect("the withdrawal");
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
    assert_eq!(ctl(&[], args).status.code(), Some(2));
}

#[test]
fn no_vm_is_unreachable() {
    let output = ctl(&[UNREACHABLE], &["status"]);
    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
}

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

#[rstest]
#[case("seremban-jaya.json")]
#[case("lait-breizh.json")]
fn the_examples_have_no_fault(#[case] name: &str) {
    let file = example(name);
    let output = ctl(&[], &["check", file.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
}

#[test]
fn check_names_every_fault_with_its_path() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.json");
    let bad = r#"{"workspaces":{"w":{"burst":0,"home":"r","rate":1,"residency":["r"]}},
        "presets":{"peak":{"deadline_ms":0}}}"#;
    std::fs::write(&file, bad).expect("a file");
    let output = ctl(&[], &["check", file.to_str().expect("a path")]);
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
