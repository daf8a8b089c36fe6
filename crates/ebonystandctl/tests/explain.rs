//! Tests that `explain` finds the cause of a request's outcome in the log lines of several VMs. The
//! lines come from real runs, with names replaced.

use std::{fs, process::Command};

fn run_explain(request: &str, logs: &[&str]) -> String {
    let dir = tempfile::tempdir().expect("temporary folder can be created");
    let files = logs.iter().enumerate().map(|(n, lines)| {
        let path = dir.path().join(format!("vm-{n}.log"));
        fs::write(&path, lines).expect("file can be written");
        path
    });
    let output = Command::new(env!("CARGO_BIN_EXE_ebonystandctl"))
        .arg("explain")
        .arg(request)
        .args(files)
        .output()
        .expect("ebonystandctl can be started");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("output is UTF-8")
}

/// A workspace sends several times its rate, and its caller is refused within a millisecond. The
/// cause is the workspace's allowance, not an upstream.
#[test]
fn a_request_that_is_refused_at_once_is_put_down_to_its_workspaces_quota() {
    let lines = r#"12.301 {"at":"vm-1","level":"INFO","message":"over its quota","rate":237127,"start":1,"time":"2026-09-14T00:02:15.301Z","tokens":13407,"workspace":"giat"}
12.301 {"at":"vm-1","code":"allowance_exhausted","level":"INFO","message":"refused","reason":"the workspace has used its allowance","request":"aa9c","retry_after_ms":47,"run":"not_run","start":1,"time":"2026-09-14T00:02:15.301Z"}"#;
    let text = run_explain("aa9c", &[lines]);
    let cause =
        "cause: refused by vm-1: the workspace has used its allowance (allowance_exhausted)";
    assert!(text.contains(cause), "{text}");
}

/// An upstream crashes in the middle of a stream, after the caller has received part of the answer.
/// The cause names the upstream and its fault.
#[test]
fn a_request_that_is_cut_off_midway_is_put_down_to_its_upstream() {
    let lines = r#"{"at":"vm-1","candidates":5,"left_ms":11990,"level":"INFO","message":"sent","predicted_ms":182,"request":"7014","route":"r","start":1,"time":"2026-09-14T00:02:04.317Z","tried":0,"unread":9120,"upstream":"i-32fc","workspace":"Some(\"giat\")"}
{"at":"vm-1","bytes":2931,"fault":"the answer is cut off","level":"WARN","message":"broke off midway","request":"7014","start":1,"time":"2026-09-14T00:02:08.507Z","upstream":"i-32fc"}"#;
    let text = run_explain("7014", &[lines]);
    let cause =
        "cause: broken off: trouble at upstream i-32fc (broke off midway: the answer is cut off)";
    assert!(text.contains(cause), "{text}");
}

/// The caller's region has no room, so the request is forwarded to another region, whose clock is
/// several seconds behind. The answer is late because of the engine's first byte. Sorted by time,
/// the lines of the other region would come before the line that forwards the request.
#[test]
fn a_request_that_is_late_is_followed_over_the_hop() {
    let entry_vm = r#"{"at":"vm-1","here_ms":"Some(1209)","left_ms":10409,"level":"INFO","message":"sent away","predicted_ms":408,"region":"selatan","request":"0cc2","route":"r","start":1,"time":"2026-09-14T00:02:13.793Z","tried":0}
{"at":"vm-1","bytes":4241,"first_byte_ms":0,"level":"INFO","message":"answered","request":"0cc2","start":1,"time":"2026-09-14T00:02:17.917Z","upstream":"vm-3","whole_ms":4124}"#;
    let remote_vm = r#"{"at":"vm-3","level":"INFO","message":"forwarded request sent","predicted_ms":85,"request":"0cc2","start":2,"time":"2026-09-14T00:02:03.977Z","unread":4292,"upstream":"i-a009"}
{"at":"vm-3","bytes":4241,"first_byte_ms":1660,"level":"INFO","message":"answered","request":"0cc2","start":2,"time":"2026-09-14T00:02:07.858Z","upstream":"i-a009","whole_ms":3881}
{"at":"vm-3","dropped":12,"level":"WARN","message":"log lines dropped","start":2,"time":"2026-09-14T00:02:08.000Z"}"#;
    let text = run_explain("0cc2", &[remote_vm, entry_vm]);
    let order = [
        "sent away",
        "forwarded request sent",
        "first_byte_ms=1660",
        "whole_ms=4124",
    ];
    let positions = order.map(|line| text.find(line).expect(line));
    assert!(positions.is_sorted(), "{text}");
    assert!(text.contains("12 lines were dropped"), "{text}");
    assert!(
        text.contains("cause: answered after 4124 ms, 1660 ms of them for the first byte"),
        "{text}"
    );
}

#[test]
fn a_request_of_which_nothing_is_known_is_told_so() {
    let text = run_explain("ffff", &["no json\n{\"half\": "]);
    assert!(
        text.contains("cause: no line tells of this request"),
        "{text}"
    );
}
