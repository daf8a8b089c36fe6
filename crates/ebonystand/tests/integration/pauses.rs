//! Upstreams that ask for a pause or announce that they leave, through real processes.

use {
    crate::{
        fleet::FleetBuilder,
        routes::{Setting, call, echo, put, routing, served},
        scripted::{Received, Reply, Scripted},
        stand_in::StandIn,
        vm::Vm,
    },
    futures_util::future::join_all,
    rstest::rstest,
    std::{
        cell::Cell,
        time::{Duration, Instant},
    },
};

/// Time for which an upstream asks a VM to send nothing.
const PAUSE: Duration = Duration::from_secs(3);
/// Time after the answer that asks for a pause in which requests under way may still arrive.
const GRACE: Duration = Duration::from_millis(500);
/// Requests that may arrive between [`GRACE`] and the end of the pause.
const MAX_WITHIN: usize = 2;

/// Requests that are sent together.
const BURST: usize = 20;

/// Serves one request at a time, so that requests sent together fill an upstream.
fn serve_slowly(received: &Received) -> Reply {
    std::thread::sleep(Duration::from_millis(5));
    echo(received)
}

/// Turns away requests to paths with "pause" and asks for a pause; serves others.
fn asks_for_a_pause(received: &Received) -> Reply {
    if !received.head.contains("pause") {
        return serve_slowly(received);
    }
    let mut reply = received.answer("503 Service Unavailable", "");
    let marks = format!(
        "x-ebonystand-run: not_run\r\nretry-after: {}",
        PAUSE.as_secs()
    );
    reply.bytes = reply.bytes.replace("stamp: s", &marks);
    reply
}

/// Sends requests together until the upstream has got one: alone, each would go to the upstream that its VM prefers.
async fn reach(vm: &Vm, upstream: &Scripted, method: &str, path: &str) {
    for n in 0..100 {
        let names = (0..BURST).map(|m| format!("reach-{n}-{m}"));
        let names = names.collect::<Vec<_>>();
        join_all(names.iter().map(|name| call(vm, method, path, name, "o"))).await;
        // Upstreams see the paths of services without the prefix of the API.
        let path = path.strip_prefix("/v1/services/registry").unwrap_or(path);
        if arrivals(upstream, path) > 0 {
            return;
        }
    }
    panic!("the upstream gets no request: {}", vm.log());
}

fn arrivals(upstream: &Scripted, path: &str) -> usize {
    let seen = upstream.seen();
    seen.iter().filter(|seen| seen.head.contains(path)).count()
}

/// Guards against requests of any kind that reach an upstream during a pause that it has asked for.
#[rstest]
#[case::repeatable("/look/pause")]
#[case::once("/once/pause")]
#[case::streams("/stream/pause")]
#[actix_rt::test]
async fn an_upstream_that_asks_for_a_pause_is_left_alone(#[case] path: &str) {
    let (pausing, other) = (
        Scripted::start(asks_for_a_pause),
        Scripted::start(serve_slowly),
    );
    let fleet = Setting::new(vec![("a", vec![pausing.clone(), other])]);
    let fleet = fleet.start().await;
    put(&fleet, routing(1)).await;
    let vm = &fleet.vms[0];
    served(vm, "/look/first").await;
    let n = Cell::new(0);
    let send = async || {
        n.set(n.get() + 1);
        let name = format!("r-{}", n.get());
        call(vm, "POST", path, &name, "o").await
    };
    // The VM learns that both are equally fast.
    for _ in 0..5 {
        reach(vm, &pausing, "POST", "/look/warm").await;
    }
    reach(vm, &pausing, "POST", path).await;
    let asked = Instant::now();
    while asked.elapsed() < GRACE {
        send().await;
    }
    let before = arrivals(&pausing, path);
    while asked.elapsed() < PAUSE - GRACE {
        for answer in join_all((0..BURST).map(|_| send())).await {
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    }
    let within = arrivals(&pausing, path) - before;
    assert!(within <= MAX_WITHIN, "{within} requests during the pause");
}

/// Guards against callers that wait, or are told to come back at once, while all upstreams have asked for a pause;
/// and against upstreams that are never used again after one.
#[actix_rt::test]
async fn callers_are_refused_at_once_while_all_upstreams_pause_and_served_after() {
    let pausing = Scripted::start(asks_for_a_pause);
    let fleet = Setting::new(vec![("a", vec![pausing.clone()])]);
    let fleet = fleet.start().await;
    put(&fleet, routing(1)).await;
    let vm = &fleet.vms[0];
    served(vm, "/look/first").await;
    call(vm, "POST", "/look/pause", "r-0", "o").await;
    let before = pausing.seen().len();
    for n in 1..10 {
        let answer = call(vm, "POST", "/look/x", &format!("r-{n}"), "o").await;
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert_eq!(answer.run(), "not_run");
    }
    assert_eq!(pausing.seen().len(), before);
    actix_rt::time::sleep(PAUSE).await;
    let answer = call(vm, "POST", "/look/x", "after", "o").await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Guards against requests to an upstream that has said in an answer that it leaves, while the list does not know
/// it yet.
#[rstest]
#[case::in_an_answer("200 OK")]
#[case::in_a_refusal("503 Service Unavailable")]
#[case::in_an_error("500 Internal Server Error")]
#[actix_rt::test]
async fn an_upstream_that_says_in_an_answer_that_it_leaves_gets_nothing_more(
    #[case] status: &'static str,
) {
    let leaving = move |received: &Received| {
        let is_leaving = received.head.contains("/look/leaving");
        if !is_leaving {
            return serve_slowly(received);
        }
        let mut reply = received.answer(status, "");
        reply.bytes = reply.bytes.replace("stamp: s", "x-ebonystand-leaving: 1");
        reply
    };
    let (leaving, other) = (Scripted::start(leaving), Scripted::start(serve_slowly));
    let fleet = Setting::new(vec![("a", vec![leaving.clone(), other])]);
    let fleet = fleet.start().await;
    put(&fleet, routing(1)).await;
    let vm = &fleet.vms[0];
    served(vm, "/look/first").await;
    reach(vm, &leaving, "POST", "/look/leaving").await;
    // Questions for the load of an upstream have no name.
    let named = || {
        let seen = leaving.seen().into_iter();
        seen.filter(|seen| !seen.request().is_empty()).count()
    };
    let before = named();
    let names = (0..50).map(|n| format!("after-{n}")).collect::<Vec<_>>();
    let calls = names
        .iter()
        .map(|name| call(vm, "POST", "/look/x", name, "o"));
    for answer in join_all(calls).await {
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(named(), before);
}

/// Guards against the same on the daemon's own API, whose requests take another way to upstreams.
#[actix_rt::test]
async fn a_call_of_a_service_leaves_an_upstream_alone_that_asks_for_a_pause() {
    const PATH: &str = "/v1/services/registry/certificates/pause";
    let (pausing, other) = (
        Scripted::start(asks_for_a_pause),
        Scripted::start(serve_slowly),
    );
    let builder = FleetBuilder::new().region("a", 1);
    let builder = [&pausing, &other].into_iter().fold(builder, |builder, up| {
        builder.registry_at(StandIn {
            address: up.address,
        })
    });
    let fleet = builder.start().await;
    let vm = &fleet.vms[0];
    let n = Cell::new(0);
    let send = async || {
        n.set(n.get() + 1);
        let name = format!("r-{}", n.get());
        call(vm, "GET", PATH, &name, "").await
    };
    reach(vm, &pausing, "GET", PATH).await;
    let asked = Instant::now();
    while asked.elapsed() < GRACE {
        send().await;
    }
    let before = pausing.seen().len();
    while asked.elapsed() < PAUSE - GRACE {
        for answer in join_all((0..BURST).map(|_| send())).await {
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    }
    let within = pausing.seen().len() - before;
    assert!(within <= MAX_WITHIN, "{within} requests during the pause");
}
