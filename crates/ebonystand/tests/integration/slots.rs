//! Slots of a region's engines that its VMs ask a scheduler for, through real processes.

use {
    crate::{
        fleet::{Fleet, KEY},
        routes::{HOST, Setting, put, routing, served},
        scripted::{Received, Reply, Scripted},
        vm::Vm,
    },
    ebonystand_core::{EngineSpec, Routing},
    futures_util::future::join_all,
    serde_json::json,
    std::time::Duration,
};

/// VMs of the region: more than tell one another their load directly.
const VMS: usize = 8;
/// Callers that send one request after the other at each VM; together more than the engines have slots.
const CALLERS: usize = 6;
const ENGINES: usize = 2;
/// Time that an engine takes for each request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn slow(received: &Received) -> Reply {
    if received.request().starts_with("ask") {
        std::thread::sleep(SERVICE_TIME);
    }
    received.answer("200 OK", "served")
}

fn with_engines() -> Routing {
    let mut routing = routing(1);
    routing.services[0].engine = Some(EngineSpec {
        cache_tokens: 100_000,
        ..EngineSpec::default()
    });
    routing
}

async fn start() -> Fleet {
    let engines = (0..ENGINES).map(|_| Scripted::start(slow)).collect();
    let mut setting = Setting::new(vec![("a", engines)]);
    setting.vms = VMS;
    let fleet = setting.start().await;
    put(&fleet, with_engines()).await;
    for vm in &fleet.vms {
        served(vm, "/look/first").await;
    }
    // The VMs must know one another as VMs that serve.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    fleet
}

/// Sends requests one after the other, after a refusal when it says so, and returns how many were served and how many were not.
async fn ask(vm: &Vm, name: &str, count: usize) -> (usize, usize) {
    let mut served = 0;
    for n in 0..count {
        let request = format!("ask-{name}-{n}");
        let prompt = json!({
            "input": 200, "model": "advice", "output": 10, "parts": [{ "id": n, "tokens": 200 }],
        });
        let prompt = prompt.to_string();
        let headers = [
            ("host", HOST),
            ("x-ebonystand-request", &*request),
            ("x-ebonystand-prompt", &*prompt),
        ];
        let answer = vm.call_with(KEY, "GET", "/look/x", "", &headers).await;
        match answer.status {
            200 => served += 1,
            _ => {
                println!("{request}: {answer:?}");
                actix_rt::time::sleep(answer.return_time()).await;
            }
        }
    }
    (served, count - served)
}

async fn ask_all(fleet: &Fleet, name: &str, vms: &[usize], count: usize) -> (usize, usize) {
    let callers = vms
        .iter()
        .flat_map(|vm| (0..CALLERS).map(move |caller| (*vm, caller)));
    let asked = callers.map(|(vm, caller)| async move {
        ask(&fleet.vms[vm], &format!("{name}-{vm}-{caller}"), count).await
    });
    let ended = join_all(asked).await.into_iter();
    ended.fold((0, 0), |sum, (served, not)| (sum.0 + served, sum.1 + not))
}

/// Number of a VM whose scheduler has granted slots to others, by the logs.
fn scheduler(fleet: &Fleet) -> Option<usize> {
    let logs = fleet.vms.iter().map(Vm::log).collect::<Vec<_>>();
    let granted = |vm: &Vm| {
        let by = format!("Some(\\\"{}\\\")", vm.name);
        let lines = logs.iter().flat_map(|log| log.lines());
        let lines =
            lines.filter(|line| line.contains("slot asked for") && line.contains("granted"));
        lines
            .filter(|line| line.contains("scheduler") && line.contains(&by))
            .count()
    };
    let counts = fleet.vms.iter().map(granted).collect::<Vec<_>>();
    println!("grants by VM: {counts:?}");
    let (vm, count) = counts
        .into_iter()
        .enumerate()
        .max_by_key(|(_, count)| *count)?;
    (count > 0).then_some(vm)
}

/// Guards against callers who wait in vain for the answer of a scheduler that is gone: requests wait there
/// when it is killed.
#[actix_rt::test]
async fn callers_are_served_while_and_after_a_scheduler_is_killed() {
    let mut fleet = start().await;
    let all = (0..VMS).collect::<Vec<_>>();
    let (served, not) = ask_all(&fleet, "before", &all, 10).await;
    println!("before: served {served}, not {not}");
    let killed = scheduler(&fleet).expect("a VM that has granted slots");
    let others = all
        .into_iter()
        .filter(|vm| *vm != killed)
        .collect::<Vec<_>>();
    let process = fleet.vms[killed].process();
    let asked = ask_all(&fleet, "while", &others, 30);
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        let status = std::process::Command::new("kill")
            .arg("-9")
            .arg(process.to_string())
            .status();
        assert!(status.is_ok_and(|status| status.success()));
    };
    let ((served, not), ()) = futures_util::future::join(asked, kill).await;
    println!("while: served {served}, not {not}");
    fleet.vms[killed].kill();
    assert!(
        not * 20 <= served + not,
        "not served: {not} of {}",
        served + not
    );
    let (served, not) = ask_all(&fleet, "after", &others, 10).await;
    println!("after: served {served}, not {not}");
    assert!(
        not * 50 <= served + not,
        "not served: {not} of {}",
        served + not
    );
}
