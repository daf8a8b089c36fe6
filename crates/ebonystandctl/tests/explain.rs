//! From log lines of several VMs to the cause of a request's end. The lines are those of real runs,
//! with other names.

use std::{fs, process::Command};

fn explain(request: &str, logs: &[&str]) -> String {
    let dir = tempfile::tempdir().expect("a folder");
    let files = logs.iter().enumerate().map(|(n, lines)| {
        let path = dir.path().join(format!("vm-{n}.log"));
        fs::write(&path, lines).expect("a file");
        path
    });
    let output = Command::new(env!("CARGO_BIN_EXE_ebonystandctl"))
        .arg("explain")
        .arg(request)
        .args(files)
        .output()
        .expect("an output");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// A workspace sends several times its rate; its caller is refused within a millisecond.
#[test]
fn a_request_that_is_refused_at_once_is_put_down_to_its_workspaces_quota() {
    let lines = r#"12.301 {"at":"vm-1","level":"INFO","message":"over its quota","rate":237127,"start":1,"time":"2026-09-14T00:02:15.301Z","tokens":13407,"workspace":"giat"}
12.301 {"at":"vm-1","code":"allowance_exhausted","level":"INFO","message":"refused","reason":"the workspace has used its allowance","request":"aa9c","retry_after_ms":47,"run":"not_run","start":1,"time":"2026-09-14T00:02:15.301Z"}"#;
    let text = explain("aa9c", &[lines]);
    let cause =
        "cause: refused by vm-1: the workspace has used its allowance (allowance_exhausted)";
    assert!(text.contains(cause), "{text}");
}

/// An upstream crashes in the middle of a stream.
#[test]
fn a_request_that_is_cut_off_midway_is_put_down_to_its_upstream() {
    let lines = r#"{"at":"vm-1","candidates":5,"left_ms":11990,"level":"INFO","message":"sent","predicted_ms":182,"request":"7014","route":"r","start":1,"time":"2026-09-14T00:02:04.317Z","tried":0,"unread":9120,"upstream":"i-32fc","workspace":"Some(\"giat\")"}
{"at":"vm-1","bytes":2931,"fault":"the answer is cut off","level":"WARN","message":"broke off midway","request":"7014","start":1,"time":"2026-09-14T00:02:08.507Z","upstream":"i-32fc"}"#;
    let text = explain("7014", &[lines]);
    let cause =
        "cause: broken off: trouble at upstream i-32fc (broke off midway: the answer is cut off)";
    assert!(text.contains(cause), "{text}");
}

/// The caller's region had no room, and the request went to another one, whose clock is some seconds
/// behind. It was answered late for the engine's first byte. Its lines come in the order of cause.
#[test]
fn a_request_that_is_late_is_followed_over_the_hop() {
    let here = r#"{"at":"vm-1","here_ms":"Some(1209)","left_ms":10409,"level":"INFO","message":"sent away","predicted_ms":408,"region":"selatan","request":"0cc2","route":"r","start":1,"time":"2026-09-14T00:02:13.793Z","tried":0}
{"at":"vm-1","bytes":4241,"first_byte_ms":0,"level":"INFO","message":"answered","request":"0cc2","start":1,"time":"2026-09-14T00:02:17.917Z","upstream":"vm-3","whole_ms":4124}"#;
    let there = r#"{"at":"vm-3","level":"INFO","message":"forwarded request sent","predicted_ms":85,"request":"0cc2","start":2,"time":"2026-09-14T00:02:03.977Z","unread":4292,"upstream":"i-a009"}
{"at":"vm-3","bytes":4241,"first_byte_ms":1660,"level":"INFO","message":"answered","request":"0cc2","start":2,"time":"2026-09-14T00:02:07.858Z","upstream":"i-a009","whole_ms":3881}
{"at":"vm-3","dropped":12,"level":"WARN","message":"log lines dropped","start":2,"time":"2026-09-14T00:02:08.000Z"}"#;
    let text = explain("0cc2", &[there, here]);
    let order = [
        "sent away",
        "forwarded request sent",
        "first_byte_ms=1660",
        "whole_ms=4124",
    ];
    let places = order.map(|line| text.find(line).expect(line));
    assert!(places.is_sorted(), "{text}");
    assert!(text.contains("12 lines were dropped"), "{text}");
    assert!(
        text.contains("cause: answered after 4124 ms, 1660 ms of them for the first byte"),
        "{text}"
    );
}

#[test]
fn a_request_of_which_nothing_is_known_is_told_so() {
    let text = explain("ffff", &["no json\n{\"half\": "]);
    assert!(
        text.contains("cause: no line tells of this request"),
        "{text}"
    );
}
