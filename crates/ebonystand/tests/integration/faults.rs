use {
    crate::{
        fleet::{CHAT, Fleet, FleetBuilder, KEY},
        stand_in::StandIn,
        vm::Vm,
    },
    ebonystand_core::{Change, Document, Region, UpstreamKind, Workspace},
    ebonystand_fakes::{Engine, EngineOptions, Fault},
    futures_util::future::{join, join_all},
    rstest::rstest,
    serde_json::Value,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Far above every limit that a test sets, and below the default deadline.
const WIDE: Duration = Duration::from_secs(20);

fn chat(content: &str, max_tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"drafter","max_tokens":{max_tokens},"stream":{stream},"messages":[{{"role":"user","content":"{content}"}}]}}"#
    )
}

fn limits(first_byte_ms: u64, between_tokens_ms: u64) -> impl FnOnce(&mut Document) {
    move |document| {
        let preset = &mut document.presets.ordinary;
        (preset.first_byte_ms, preset.between_tokens_ms) = (first_byte_ms, between_tokens_ms);
    }
}

/// Binds the workspace to a region, with this allowance.
fn allow(region: &str, burst: u64, rate: u64) -> Change {
    let workspace = Workspace {
        burst,
        home: region.into(),
        rate,
        residency: [region.into()].into(),
    };
    let id = "akademi".into();
    Change::PutWorkspace { id, workspace }
}

fn slow() -> EngineOptions {
    EngineOptions {
        token: Duration::from_millis(50),
        ..EngineOptions::default()
    }
}

/// VMs and engines in one region.
async fn small_fleet(
    vms: usize,
    engines: usize,
    options: EngineOptions,
    change: impl FnOnce(&mut Document),
) -> Fleet {
    let fleet = FleetBuilder::new().region("utara", vms);
    let fleet = (0..engines).fold(fleet, |fleet, _| fleet.engine(options.clone()));
    fleet.document(change).start().await
}

async fn seen(fleet: &Fleet, engine: usize) -> u64 {
    fleet.engines[engine].seen().await.requests
}

/// A request closes its connection on each engine that runs it, as one that crashes the engine
/// does, and its caller sends it through one VM after another. Each VM alone would let it try
/// two engines. All together it may crash two; from then on the caller hears that it is
/// quarantined, and the engines that are left serve the other callers.
#[actix_rt::test]
async fn a_request_that_crashes_engines_crashes_two_at_most() {
    let fleet = small_fleet(3, 4, EngineOptions::default(), |_| ()).await;
    let body = chat(Engine::CRASH_TRIGGER, 4, true);
    for vm in fleet.vms.iter().cycle().take(12) {
        let answer = vm.call(KEY, "POST", CHAT, &body).await;
        assert!(answer.status >= 400, "{answer:?}");
    }
    let seen = join_all(fleet.engines.iter().map(StandIn::seen)).await;
    let runs = seen.iter().filter_map(|seen| seen.runs.get(&*body));
    assert_eq!(runs.sum::<u64>(), 2);
    for vm in &fleet.vms {
        let answer = vm.call(KEY, "POST", CHAT, &body).await;
        assert_eq!((answer.status, &*answer.code()), (422, "quarantined"));
        let other = vm.call(KEY, "POST", CHAT, &chat("x", 4, true)).await;
        assert!(other.whole_stream(), "{other:?}");
    }
}

/// All connections to both engines go silent for good, as over a link that was down, while new
/// ones work. Each next request waits for the first-byte limit once, then is answered whole over
/// a new connection: another engine's old connections are as silent as those of the first. Each
/// answer holds its own prompt, so none is a late answer to another request.
#[actix_rt::test]
async fn silent_connections_cost_one_wait_for_the_first_byte() {
    let engines = [(); 2].map(|()| StandIn::engine(slow()).relayed());
    let fleet = FleetBuilder::new()
        .region("utara", 1)
        .engine_at(engines[0].0.clone())
        .engine_at(engines[1].0.clone())
        .document(limits(1_000, 5_000))
        .start()
        .await;
    let vm = &fleet.vms[0];
    for (round, count) in [("before", 24), ("after", 3)] {
        let prompts = (0..count)
            .map(|n| format!("{round} {n}"))
            .collect::<Vec<_>>();
        let started = Instant::now();
        let calls = prompts.iter().map(|prompt| async move {
            let body = chat(prompt, 4, true);
            vm.call(KEY, "POST", CHAT, &body).await
        });
        for (prompt, answer) in prompts.iter().zip(join_all(calls).await) {
            assert!(answer.whole_stream(), "{answer:?}");
            let own = format!(r#""echo":"{prompt}""#);
            assert_eq!(answer.body.matches(&own).count(), 4, "{answer:?}");
            assert_eq!(answer.body.matches("echo").count(), 4, "{answer:?}");
        }
        assert!(started.elapsed() < WIDE);
        // The ends of the answers' bodies come behind the last event; then all connections idle.
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        for (_, silence) in &engines {
            silence.send(()).unwrap();
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}

/// The connections to the only engine and the only registry go silent for good while new ones work.
/// Neither a look-up nor an answer that is not streamed may wait for its deadline: nothing of such
/// an answer comes before its end, so that the limit on the first token does not help it.
#[actix_rt::test]
async fn silent_connections_do_not_hold_whole_answers() {
    let engine = StandIn::engine(slow()).relayed();
    let registry = StandIn::registry().relayed();
    let fleet = FleetBuilder::new()
        .region("utara", 1)
        .engine_at(engine.0.clone())
        .registry()
        .document(limits(1_000, 5_000))
        .start()
        .await;
    let service = "registry".into();
    let kind = UpstreamKind::Service { service };
    let upstream = registry.0.as_kind("utara", kind);
    let id = "registry0".into();
    fleet.change(1, Change::PutUpstream { id, upstream }).await;
    let path = "/v1/services/registry/certificates/7";
    let started = Instant::now();
    for _ in 0..3 {
        let look_up = fleet.vms[0].call(KEY, "GET", path, "").await;
        assert_eq!(look_up.status, 200, "{look_up:?}");
        let body = chat("x", 4, false);
        let answer = fleet.vms[0].call(KEY, "POST", CHAT, &body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        engine.1.send(()).unwrap();
        registry.1.send(()).unwrap();
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(started.elapsed() < WIDE);
}

/// An engine stops sending in the middle of a stream, its connection staying open. The caller
/// gets what was sent and then an error event once the limit between two tokens has passed, in
/// place of a stream that never ends.
#[actix_rt::test]
async fn a_stream_that_stalls_ends_in_an_error() {
    let fleet = small_fleet(1, 1, EngineOptions::default(), limits(1_000, 300)).await;
    fleet.engines[0].set_fault(Fault::Stall).await;
    let started = Instant::now();
    let answer = fleet.vms[0]
        .call(KEY, "POST", CHAT, &chat("x", 8, true))
        .await;
    assert!(started.elapsed() < WIDE);
    assert!(answer.body.contains("t3 ") && !answer.body.contains("t4 "));
    assert!(answer.body.contains("event: error"), "{answer:?}");
    assert!(answer.body.contains("upstream_failed"), "{answer:?}");
}

/// Three regions share a small allowance and are all asked for far more; one VM is killed in
/// between and comes back without its memory. What the engine runs stays within the burst and
/// the rate over the time measured, wherever it came in; who is refused hears when to come back.
#[actix_rt::test]
async fn a_shared_allowance_holds_over_a_killed_vm() {
    const BURST: u64 = 400;
    const RATE: u64 = 200;
    let mut fleet = FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .region("tengah", 1)
        .region("selatan", 1)
        .document(|document| {
            let workspace = document.workspaces.get_mut("akademi").unwrap();
            (workspace.burst, workspace.rate) = (BURST, RATE);
        })
        .start()
        .await;
    let started = Instant::now();
    let until = started + Duration::from_secs(4);
    let vms = fleet.vms.iter().map(|vm| vm.addresses.callers);
    let hammers = vms.map(|vm| actix_rt::spawn(hammer(vm, until)));
    let hammers = hammers.collect::<Vec<_>>();
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    fleet.vms[1].kill();
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    fleet.vms[1].restart();
    let refused = join_all(hammers).await;
    let runs = seen(&fleet, 0).await;
    let most = BURST + RATE * (started.elapsed().as_millis() as u64) / 1_000;
    // 12 tokens of output, and 8 for the message's 29 bytes.
    let used = runs * 20;
    assert!(used > BURST && used <= most, "{used} of {most}");
    assert!(refused.into_iter().all(|refused| refused.unwrap() > 0));
}

/// Order in which VMs that were all killed come back; the first three have a disk.
enum Return {
    Together,
    KilledAgain,
    DisksFirst,
    DisksLast,
    OneByOne,
}

impl Return {
    async fn carry_out(&self, vms: &mut [Vm]) {
        const PAUSE: Duration = Duration::from_millis(700);
        let order = match self {
            Self::Together | Self::KilledAgain => vec![vec![0, 1, 2, 3]],
            Self::DisksFirst => vec![vec![0, 1, 2], vec![3]],
            Self::DisksLast => vec![vec![3], vec![2, 1, 0]],
            Self::OneByOne => vec![vec![2], vec![3], vec![0], vec![1]],
        };
        for (step, started) in order.into_iter().enumerate() {
            if step > 0 {
                actix_rt::time::sleep(PAUSE).await;
            }
            started.into_iter().for_each(|vm| vms[vm].restart());
        }
        if matches!(self, Self::KilledAgain) {
            actix_rt::time::sleep(PAUSE).await;
            vms.iter_mut().for_each(Vm::kill);
            vms.iter_mut().for_each(Vm::restart);
        }
    }
}

/// An allowance that moved before all VMs were killed must be usable once they are ready again.
#[rstest]
#[case::together(Return::Together)]
#[case::killed_again(Return::KilledAgain)]
#[case::disks_first(Return::DisksFirst)]
#[case::disks_last(Return::DisksLast)]
#[case::one_by_one(Return::OneByOne)]
#[actix_rt::test]
async fn an_allowance_that_moved_is_usable_after_all_vms_were_killed(#[case] way_back: Return) {
    let mut fleet = FleetBuilder::new()
        .region("utara", 4)
        .engine(EngineOptions::default())
        .members(3)
        .start()
        .await;
    let region = Region {
        holders: vec!["vm1".into()],
        links: BTreeMap::new(),
    };
    let id = "utara".into();
    fleet.change(1, Change::PutRegion { id, region }).await;
    fleet.vms.iter_mut().for_each(Vm::kill);
    way_back.carry_out(&mut fleet.vms).await;
    fleet.wait_until_ready().await;
    for vm in &fleet.vms {
        let answer = vm.call(KEY, "POST", CHAT, &chat("x", 12, false)).await;
        assert_eq!(answer.status, 200, "{}: {}", vm.name, answer.body);
    }
}

/// Sends requests to a VM, whether it lives or not, and returns how many it refused.
async fn hammer(vm: SocketAddr, until: Instant) -> u64 {
    let client = awc::Client::default();
    let mut refused = 0;
    while Instant::now() < until {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
        let req = client.post(format!("http://{vm}{CHAT}")).bearer_auth(KEY);
        let answer = req.send_body(chat("x", 12, false)).await;
        if let Some(mut refusal) = answer.ok().filter(|answer| answer.status() == 429) {
            assert!(refusal.headers().contains_key("retry-after"));
            let body = refusal.json::<Value>().await.unwrap();
            let wait = body["error"]["retry_after_ms"].as_u64();
            assert!(wait.is_some_and(|ms| ms > 0), "{body}");
            refused += 1;
        }
    }
    refused
}

/// An engine is put on leave, then the workspace is bound to the region of the other one. Once
/// each change is in force everywhere, the next request through any VM obeys it.
#[actix_rt::test]
async fn leave_and_residency_hold_from_the_next_request_on() {
    let fleet = FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .engine(EngineOptions::default())
        .region("tengah", 2)
        .engine(EngineOptions::default())
        .start()
        .await;
    let (id, leaving) = ("engine0".into(), true);
    let leave = Change::SetUpstreamLeaving { id, leaving };
    let version = fleet.change(1, leave).await;
    ask_all(&fleet, [200; 3]).await;
    assert_eq!(seen(&fleet, 0).await, 0);
    let before = seen(&fleet, 1).await;
    assert!(before > 0);
    let narrow = allow("tengah", 1_000_000, 1_000_000);
    fleet.change(version, narrow).await;
    ask_all(&fleet, [421, 200, 200]).await;
    assert_eq!(seen(&fleet, 1).await, before);
}

async fn ask_all(fleet: &Fleet, statuses: [u16; 3]) {
    for (vm, status) in fleet.vms.iter().zip(statuses).cycle().take(30) {
        let answer = vm.call(KEY, "POST", CHAT, &chat("x", 4, true)).await;
        assert_eq!(answer.status, status, "{answer:?}");
    }
}

/// A key is withdrawn through one VM while its caller reads a stream of a minute through another.
/// The stream ends in an error event long before its end, and the engine is told to stop.
#[actix_rt::test]
async fn a_withdrawn_key_ends_a_stream_on_another_vm() {
    let fleet = small_fleet(2, 1, slow(), |_| ()).await;
    let started = Instant::now();
    let body = chat("x", 1_200, true);
    let stream = fleet.vms[1].call(KEY, "POST", CHAT, &body);
    let withdraw = async {
        while seen(&fleet, 0).await == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        let path = "/v1/operator/withdraw/k1";
        let answer = fleet.vms[0].operate("POST", path, "").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    };
    let (answer, ()) = join(stream, withdraw).await;
    assert!(started.elapsed() < WIDE);
    assert!(answer.body.contains("event: error"), "{answer:?}");
    assert!(answer.body.contains("unauthorized"), "{answer:?}");
    wait_for_cancelled(&fleet).await;
}

/// A caller leaves in the middle of a stream that has taken most of the workspace's allowance,
/// which grows by next to nothing. The engine is told to stop, and what the stream did not use
/// comes back: the next request, as large, is let in.
#[actix_rt::test]
async fn a_caller_that_leaves_gives_back_engine_and_allowance() {
    let fleet = small_fleet(1, 1, slow(), |_| ()).await;
    // A new allowance starts empty; it is filled at a high rate first.
    let version = fleet.change(1, allow("utara", 1_000, 1_000_000)).await;
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    fleet.change(version, allow("utara", 1_000, 1)).await;
    let url = format!("http://{}{CHAT}", fleet.vms[0].addresses.callers);
    let client = awc::Client::default();
    let call = || {
        client
            .post(&url)
            .bearer_auth(KEY)
            .send_body(chat("x", 800, true))
    };
    let stream = call().await.unwrap();
    assert_eq!(stream.status(), 200);
    assert_eq!(call().await.unwrap().status(), 429);
    drop(stream);
    wait_for_cancelled(&fleet).await;
    assert_eq!(call().await.unwrap().status(), 200);
}

/// Waits until the engine has stopped one request before its end.
async fn wait_for_cancelled(fleet: &Fleet) {
    let started = Instant::now();
    while fleet.engines[0].seen().await.cancelled == 0 {
        assert!(started.elapsed() < WIDE);
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}
