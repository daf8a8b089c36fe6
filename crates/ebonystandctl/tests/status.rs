//! Tests that the printed state of a fleet stays readable, however large the fleet is.

use {
    ebonystand_core::{
        OperatorStatus, PartStage, PartStatus, PresetName, RetryBudgetStatus, SoftwareStatus,
        SuspectStatus, UpstreamNoticeStatus, VmCapacity, VmHealth, VmStatus,
    },
    ebonystandctl::format_status,
};

fn status(vms: usize, dead: usize) -> OperatorStatus {
    let vm = |number: usize| VmStatus {
        capacity: VmCapacity::REFERENCE,
        health: match number < dead {
            true => VmHealth::Dead,
            false => VmHealth::Alive,
        },
        http: ([10, 0, 0, 1], 80).into(),
        incarnation: 1,
        leaving: false,
        peer: ([10, 0, 0, 1], 81).into(),
        region: "a".into(),
        version: 7,
        vm: format!("vm-{number:04}").into(),
        zone: format!("a-{}", number % 2).into(),
    };
    OperatorStatus {
        allowances: Vec::new(),
        draining: false,
        groups: Vec::new(),
        limits: Vec::new(),
        notices: Vec::new(),
        speeds: Vec::new(),
        parts: Vec::new(),
        preset: PresetName::default(),
        ready: true,
        retry_budgets: Vec::new(),
        software: Vec::new(),
        stream_origins: 0,
        suspects: Vec::new(),
        upstreams: Vec::new(),
        version: 7,
        vm: "vm-0000".into(),
        vms: (0..vms).map(vm).collect(),
        withdrawals_pending: 0,
    }
}

#[test]
fn each_vm_of_a_small_fleet_is_listed() {
    let text = format_status(&status(9, 1));
    assert_eq!(text.lines().count(), 1 + 9, "{text}");
    assert!(text.contains("VM vm-0000 in a/a-0: dead"), "{text}");
}

/// Guards against a screenful of a thousand VMs in which the few that are dead are not found.
#[test]
fn of_a_large_fleet_the_numbers_and_the_unsound_vms_are_listed() {
    let text = format_status(&status(995, 3));
    assert!(text.contains("498 VMs in a/a-0, 2 not alive"), "{text}");
    assert!(text.contains("VM vm-0002 in a/a-0: dead"), "{text}");
    assert_eq!(text.lines().count(), 1 + 2 + 3, "{text}");
    let text = format_status(&status(995, 400));
    assert!(text.contains("and 380 more VMs"), "{text}");
    assert!(text.lines().count() <= 30, "{text}");
}

/// Guards against operators who cannot find the fingerprint to clear, or the upstreams that a request ended.
#[test]
fn requests_that_crash_upstreams_are_listed_with_their_fingerprints() {
    let suspect = SuspectStatus {
        announced_by: None,
        crashed_upstreams: vec!["i-1".into(), "i-2".into(), "i-3".into()],
        crashes: 3,
        fingerprint: "00ff".into(),
        is_quarantined: true,
        remaining_ms: 3_600_000,
    };
    let notice = UpstreamNoticeStatus {
        is_leaving: true,
        pause_ms: 250,
        shed_tolerance: Some(4),
        upstream: "i-4".into(),
    };
    let part = PartStatus {
        announced_by: None,
        crashed_upstreams: vec!["i-1".into(), "i-2".into()],
        part: "5c1e07a2".into(),
        remaining_ms: 3_600_000,
        requests: Vec::new(),
        service: "engines".into(),
        stage: PartStage::Quarantined,
    };
    let status = OperatorStatus {
        notices: vec![notice],
        parts: vec![part],
        suspects: vec![suspect],
        ..status(1, 0)
    };
    let text = format_status(&status);
    let request = "request 00ff: quarantined, 3 crashes counted here (i-1 i-2 i-3), for 3600 s";
    assert!(text.contains(request), "{text}");
    let part = "part 5c1e07a2 of prompts for engines: quarantined, crashes counted here: i-1 i-2, for 3600 s";
    assert!(text.contains(part), "{text}");
    let upstream = "upstream i-4: wants a pause of 250 ms more, leaves, goes down if it turns away more than 4 requests a second";
    assert!(text.contains(upstream), "{text}");
}

/// Guards against operators who cannot tell requests that fail for want of retries from others.
#[test]
fn the_retries_that_are_left_are_listed_by_service() {
    let budget = RetryBudgetStatus {
        available: 0.25,
        pending: 2,
        requests: 80,
        reserve: 4.0,
        service: "registry".into(),
    };
    let status = OperatorStatus {
        retry_budgets: vec![budget],
        ..status(1, 0)
    };
    let text = format_status(&status);
    let line = "retries of registry: 0.2 available and 2 on their way, of 4.0; 80 requests in 10 s";
    assert!(text.contains(line), "{text}");
}

/// Guards against operators who cannot tell which software versions serve side by side.
#[test]
fn software_versions_are_listed_by_service() {
    let software = SoftwareStatus {
        leaving: 1,
        listed: 3,
        service: "engines".into(),
        software: "v2".into(),
        takes_streams: false,
    };
    let status = OperatorStatus {
        software: vec![software],
        stream_origins: 12,
        ..status(1, 0)
    };
    let text = format_status(&status);
    let line = "software v2 of engines: 3 upstreams, 1 leaving, too new for streams that may be taken up again";
    assert!(text.contains(line), "{text}");
    assert!(text.contains("origins of 12 streams held here"), "{text}");
}
