use {
    crate::{
        fleet::{CERTIFICATES, Fleet, FleetBuilder, KEY},
        stand_in::StandIn,
    },
    ebonystand_core::{Change, UpstreamKind},
    ebonystand_fakes::Fault,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::SystemTime,
    },
};

pub(crate) fn order_key(name: &str) -> String {
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_secs();
    format!("utara/{now}-{name}")
}

async fn two_vms() -> Fleet {
    FleetBuilder::new()
        .region("utara", 2)
        .registry()
        .start()
        .await
}

/// A caller loses the answer to an issuance and sends it again through another VM. It gets the
/// number of the first run, and the registry has run once.
#[actix_rt::test]
async fn an_order_sent_again_through_another_vm_gets_the_first_answer() {
    let fleet = two_vms().await;
    let key = order_key("award");
    let headers = [("x-ebonystand-order-key", &*key)];
    let mut bodies = Vec::new();
    for vm in &fleet.vms {
        let answer = vm.call_with(KEY, "POST", CERTIFICATES, "{}", &headers);
        let answer = answer.await;
        assert_eq!(answer.status, 201, "{answer:?}");
        bodies.push(answer.body);
    }
    assert_eq!(bodies[0], bodies[1]);
    assert_eq!(fleet.registries[0].seen().await.requests, 1);
}

/// The key of an order is used again for another order. It is refused and does not run, or the
/// caller would take the answer of one order for that of the other.
#[actix_rt::test]
async fn an_order_key_with_another_body_is_refused() {
    let fleet = two_vms().await;
    let key = order_key("award");
    let headers = [("x-ebonystand-order-key", &*key)];
    let vm = &fleet.vms[0];
    vm.call_with(KEY, "POST", CERTIFICATES, "1", &headers).await;
    let answer = vm.call_with(KEY, "POST", CERTIFICATES, "2", &headers).await;
    assert_eq!((answer.status, &*answer.code()), (409, "order_conflict"));
    assert_eq!(fleet.registries[0].seen().await.requests, 1);
}

#[actix_rt::test]
async fn an_order_without_a_key_is_refused() {
    let fleet = two_vms().await;
    let answer = fleet.vms[0].call(KEY, "POST", CERTIFICATES, "{}").await;
    assert_eq!((answer.status, &*answer.code()), (400, "order_key_missing"));
    assert_eq!(answer.run(), "not_run");
}

/// The registry takes an issuance and never answers. The caller is told at its deadline that the
/// order may have run, and no resend through any VM makes the registry run it again.
#[actix_rt::test]
async fn an_order_without_an_answer_is_unknown_and_never_sent_again() {
    let fleet = two_vms().await;
    fleet.registries[0].set_fault(Fault::Silent).await;
    let key = order_key("award");
    let headers = [
        ("x-ebonystand-order-key", &*key),
        ("x-ebonystand-deadline-ms", "600"),
    ];
    for vm in [&fleet.vms[0], &fleet.vms[1], &fleet.vms[0]] {
        let answer = vm.call_with(KEY, "POST", CERTIFICATES, "{}", &headers);
        let answer = answer.await;
        assert_eq!(answer.run(), "unknown", "{answer:?}");
    }
    assert_eq!(fleet.registries[0].seen().await.requests, 1);
}

/// The registry reads an issuance, runs it and goes down before it answers: its connection just
/// closes. The HTTP client reports that like a connection that could not be opened. Taken for
/// one, the order would be told as not run, and would run again when it is sent again.
#[actix_rt::test]
async fn an_order_whose_connection_was_closed_is_unknown_and_never_sent_again() {
    let fleet = two_vms().await;
    let runs = Arc::new(AtomicUsize::new(0));
    let service = "registry".into();
    let kind = UpstreamKind::Service { service };
    let upstream = StandIn::hang_up(Arc::clone(&runs)).as_kind("utara", kind);
    let id = "registry0".into();
    fleet.change(1, Change::PutUpstream { id, upstream }).await;
    let key = order_key("award");
    let headers = [("x-ebonystand-order-key", &*key)];
    for vm in [&fleet.vms[0], &fleet.vms[1]] {
        let answer = vm.call_with(KEY, "POST", CERTIFICATES, "{}", &headers);
        let answer = answer.await;
        assert_eq!(answer.run(), "unknown", "{answer:?}");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

/// An issuance has run and its answer is lost. Its resend comes with a key that was
/// withdrawn meanwhile. It must not hear `not_run`, or its provider would issue anew under another key.
#[actix_rt::test]
async fn a_resend_that_is_refused_early_is_not_told_that_its_order_has_not_run() {
    let fleet = two_vms().await;
    let key = order_key("award");
    let headers = [("x-ebonystand-order-key", &*key)];
    let vm = &fleet.vms[0];
    let first = vm
        .call_with(KEY, "POST", CERTIFICATES, "{}", &headers)
        .await;
    assert_eq!(first.status, 201, "{first:?}");
    fleet
        .change(1, Change::WithdrawKey { id: "k1".into() })
        .await;
    let again = vm
        .call_with(KEY, "POST", CERTIFICATES, "{}", &headers)
        .await;
    assert_eq!((again.status, &*again.run()), (401, "unknown"));
}
