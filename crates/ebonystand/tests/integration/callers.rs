use {
    crate::{
        fleet::{CHAT, DRAFT, Fleet, FleetBuilder, KEY},
        stand_in::StandIn,
        vm::Vm,
    },
    ebonystand_core::Change,
    ebonystand_fakes::{EngineOptions, Fault},
};

async fn two_vms() -> Fleet {
    FleetBuilder::new()
        .region("utara", 2)
        .engine(EngineOptions::default())
        .registry()
        .start()
        .await
}

async fn two_engines() -> Fleet {
    FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .engine(EngineOptions::default())
        .start()
        .await
}

#[actix_rt::test]
async fn a_caller_gets_a_whole_stream() {
    let fleet = two_vms().await;
    let answer = fleet.vms[1].call(KEY, "POST", CHAT, DRAFT).await;
    assert!(answer.whole_stream(), "{answer:?}");
}

#[actix_rt::test]
async fn no_upstream_sees_the_key() {
    let fleet = two_vms().await;
    fleet.vms[0].call(KEY, "POST", CHAT, DRAFT).await;
    let path = "/v1/services/registry/certificates/7";
    fleet.vms[0].call(KEY, "GET", path, "").await;
    for stand_in in [&fleet.engines[0], &fleet.registries[0]] {
        let seen = stand_in.seen().await;
        assert_eq!((seen.requests, seen.credentials), (1, 0));
    }
}

/// The engine ends a stream without its terminator, as one that crashed behind a proxy does.
/// The caller must see an error in place of an end, or it would print half a certificate.
#[actix_rt::test]
async fn a_truncated_stream_is_not_passed_as_whole() {
    let fleet = two_vms().await;
    fleet.engines[0].set_fault(Fault::Truncate).await;
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, DRAFT).await;
    assert!(!answer.whole_stream());
    assert!(answer.body.contains("event: error"), "{answer:?}");
}

/// A key is withdrawn through one VM while its caller goes on through the other. From the moment
/// that the withdrawal is in force everywhere, the caller is refused.
#[actix_rt::test]
async fn a_withdrawn_key_is_refused_by_every_vm() {
    let fleet = two_vms().await;
    fleet
        .change(1, Change::WithdrawKey { id: "k1".into() })
        .await;
    for vm in &fleet.vms {
        let answer = vm.call(KEY, "POST", CHAT, DRAFT).await;
        assert_eq!((answer.status, &*answer.code()), (401, "unauthorized"));
    }
}

#[actix_rt::test]
async fn a_request_that_passed_the_gateway_is_refused() {
    let fleet = two_vms().await;
    let via = [("via", "1.1 proxy, 1.1 ebonystand")];
    let answer = fleet.vms[0].call_with(KEY, "POST", CHAT, DRAFT, &via).await;
    assert_eq!((answer.status, &*answer.code()), (508, "loop_detected"));
}

/// A VM is stopped in the middle of a stream. It takes no new request but ends the stream whole.
#[actix_rt::test]
async fn a_planned_stop_cuts_no_stream() {
    let options = EngineOptions {
        token: std::time::Duration::from_millis(100),
        ..EngineOptions::default()
    };
    let mut fleet = FleetBuilder::new()
        .region("utara", 1)
        .engine(options)
        .start()
        .await;
    let addresses = fleet.vms[0].addresses;
    let stream = actix_rt::spawn(async move {
        let url = format!("http://{}{CHAT}", addresses.callers);
        let req = awc::Client::new().post(url).bearer_auth(KEY);
        let mut response = req.send_body(DRAFT).await.unwrap();
        response.body().await.unwrap()
    });
    while fleet.engines[0].seen().await.requests == 0 {
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    fleet.vms[0].signal("TERM");
    let body = stream.await.unwrap();
    assert!(body.ends_with(b"data: [DONE]\n\n"), "{body:?}");
    assert!(fleet.vms[0].wait());
}

/// Three VMs serve the product's own interface, without a route. One is told to stop and nothing runs on
/// it. Its region has others that take callers, so it stops once it has lingered, a tenth of a second
/// here; waiting for another taker it would go on for half of its time to drain, a minute.
#[actix_rt::test]
async fn a_vm_without_routes_does_not_wait_for_others_that_are_there() {
    let mut fleet = FleetBuilder::new()
        .region("utara", 3)
        .engine(EngineOptions::default())
        .start()
        .await;
    fleet.wait_until_ready().await;
    for vm in 0..2 {
        fleet.vms[vm].log_with("readiness told").await;
    }
    fleet.vms[2].signal("TERM");
    for _ in 0..300 {
        if !fleet.vms[2].running() {
            return;
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    panic!("it still runs after half a minute");
}

/// A workspace is bound to a region that the VM does not stand in. The VM refuses before it reads
/// the body and names the VMs to turn to, and the upstreams of its own region see nothing.
#[actix_rt::test]
async fn a_vm_outside_the_residency_refuses() {
    let fleet = FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .region("tengah", 1)
        .document(|document| {
            for workspace in document.workspaces.values_mut() {
                workspace.home = "tengah".into();
                workspace.residency = ["tengah".into()].into();
            }
        })
        .start()
        .await;
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, DRAFT).await;
    assert_eq!((answer.status, &*answer.code()), (421, "residency"));
    let elsewhere = fleet.vms[1].addresses.callers.to_string();
    assert!(answer.body.contains(&elsewhere), "{answer:?}");
    assert_eq!(fleet.engines[0].seen().await.requests, 0);
}

/// One of two engines answers with errors. The caller sees a whole stream: what failed before its
/// first token is sent to the other engine.
#[actix_rt::test]
async fn a_failed_dispatch_is_tried_on_another_engine() {
    let fleet = two_engines().await;
    fleet.engines[0].set_fault(Fault::Error).await;
    for _ in 0..8 {
        let answer = fleet.vms[0].call(KEY, "POST", CHAT, DRAFT).await;
        assert!(answer.whole_stream(), "{answer:?}");
    }
}

/// An address of the configuration leads back to the gateway by mistake. The request that comes
/// back is refused at once and the caller gets a final answer, in place of a loop without end.
#[actix_rt::test]
async fn a_request_sent_to_the_gateway_itself_does_not_loop() {
    let fleet = two_vms().await;
    let own = StandIn {
        address: fleet.vms[0].addresses.callers,
    };
    let upstream = own.as_upstream("utara");
    let id = "engine0".into();
    fleet.change(1, Change::PutUpstream { id, upstream }).await;
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, DRAFT).await;
    assert_eq!((answer.status, &*answer.code()), (502, "upstream_failed"));
}

/// A caller asks for a model that nobody serves, again and again. What never ran must not cost the
/// workspace anything: else it would be refused for want of allowance after a while.
#[actix_rt::test]
async fn a_request_that_did_not_run_costs_no_allowance() {
    let fleet = FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .document(|document| {
            for workspace in document.workspaces.values_mut() {
                workspace.burst = 1_000;
                workspace.rate = 100;
            }
        })
        .start()
        .await;
    let unknown = DRAFT.replace("\"max_tokens\":6", "\"max_tokens\":100");
    let unknown = unknown.replace("drafter", "poet");
    let vm = &fleet.vms[0];
    while vm.call(KEY, "POST", CHAT, &unknown).await.status == 429 {
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    for _ in 0..30 {
        let answer = vm.call(KEY, "POST", CHAT, &unknown).await;
        assert_eq!((answer.status, &*answer.code()), (404, "unknown_model"));
    }
}

/// An engine refuses a request for a reason of the request's own. The caller reads why, and no
/// other engine is troubled with it.
#[actix_rt::test]
async fn an_engines_refusal_of_a_request_reaches_the_caller() {
    let fleet = two_engines().await;
    let body = DRAFT.replace("\"stream\":true", "\"stream\":null");
    let answer = fleet.vms[0].call(KEY, "POST", CHAT, &body).await;
    assert_eq!((answer.status, &*answer.body), (400, "\"no prompt\""));
    let mut runs = 0;
    for engine in &fleet.engines {
        runs += engine.seen().await.requests;
    }
    assert_eq!(runs, 1);
}

/// A VM has just started and has no configuration. A caller with a valid key must not hear that its
/// key is invalid, which it would take for final: it hears when to come back.
#[actix_rt::test]
async fn a_vm_without_a_configuration_calls_no_key_invalid() {
    let dir = tempfile::TempDir::new().unwrap();
    Fleet::write_secrets(dir.path());
    let vm = Vm::start(dir.path(), &Vm::settings(dir.path(), "vm0", "utara", &[]));
    for (method, path) in [("GET", "/v1/entry"), ("POST", CHAT)] {
        let answer = vm.call(KEY, method, path, "{}").await;
        assert_eq!((answer.status, &*answer.code()), (503, "not_ready"));
        assert!(answer.retry_after.is_some());
    }
}
