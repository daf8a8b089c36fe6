use {
    crate::fleet::{CERTIFICATES, CHAT, DRAFT, Fleet, FleetBuilder, KEY},
    ebonystand_core::{Change, Document, PresetName, Version},
    ebonystand_fakes::{EngineOptions, Fault},
    rstest::rstest,
    std::time::{Duration, SystemTime},
};

async fn three_members() -> Fleet {
    FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .registry()
        .region("tengah", 1)
        .region("selatan", 1)
        .members(3)
        .start()
        .await
}

async fn preset_of(fleet: &Fleet, vm: usize) -> (Version, PresetName) {
    let answer = fleet.vms[vm]
        .operate("GET", "/v1/operator/document", "")
        .await;
    let document = answer.json::<Document>();
    (document.version, document.preset)
}

fn other_than(vm: usize) -> usize {
    (vm + 1) % 3
}

fn switch(name: PresetName) -> Change {
    Change::SwitchPreset { name }
}

/// The VM that leads the log is killed. An operator's next change is accepted through another VM,
/// and the killed one has it too once it is back.
#[actix_rt::test]
async fn a_change_is_accepted_after_the_leader_is_killed() {
    let mut fleet = three_members().await;
    let leader = fleet.leader(0).await;
    fleet.vms[leader].kill();
    let other = other_than(leader);
    let version = fleet
        .change_through(other, 1, switch(PresetName::Peak))
        .await;
    fleet.vms[leader].restart();
    fleet.wait_for_version(0..3, version).await;
    assert_eq!(preset_of(&fleet, leader).await, (2, PresetName::Peak));
}

/// The VM that leads is stopped for longer than any lease while an operator switches the preset,
/// then goes on. It must not put the old preset back, nor accept a change by itself: the change
/// that it is asked for under the old version meets the new one.
#[actix_rt::test]
async fn a_leader_that_stood_still_does_not_bring_the_old_preset_back() {
    let fleet = three_members().await;
    let leader = fleet.leader(0).await;
    fleet.vms[leader].signal("STOP");
    let other = other_than(leader);
    fleet
        .change_through(other, 1, switch(PresetName::Peak))
        .await;
    fleet.vms[leader].signal("CONT");
    let body = r#"{"request_id":"late","expected_version":1,
        "change":{"switch_preset":{"name":"maintenance"}}}"#;
    let vm = &fleet.vms[leader];
    let answer = vm.operate("POST", "/v1/operator/changes", body).await;
    assert_eq!(answer.status, 409, "{answer:?}");
    fleet.wait_for_version(0..3, 2).await;
    for vm in 0..3 {
        assert_eq!(preset_of(&fleet, vm).await, (2, PresetName::Peak));
    }
}

/// A VM loses its disk and comes back. Once it has been taken in again, a second VM is lost. What
/// was accepted before and between is still there, and changes go on.
#[actix_rt::test]
async fn nothing_accepted_is_lost_with_a_second_vm_after_a_repair() {
    let mut fleet = three_members().await;
    let version = fleet.change(1, switch(PresetName::Peak)).await;
    let old = fleet.members_on(2).await;
    fleet.vms[2].kill();
    fleet.vms[2].lose_disk();
    fleet.vms[2].restart();
    fleet.wait_until_replaced(2, &old).await;
    fleet.vms[0].kill();
    let next = switch(PresetName::Maintenance);
    let next = fleet.change_through(1, version, next).await;
    fleet.wait_for_version(1..3, next).await;
    assert_eq!(preset_of(&fleet, 2).await, (3, PresetName::Maintenance));
}

/// Guards against an accepted change that is lost when two disks are, while all VMs end at the same moment.
#[rstest]
#[case::the_leader_and_the_next([0, 1])]
#[case::the_leader_and_another([0, 3])]
#[case::two_followers([2, 4])]
#[actix_rt::test]
async fn nothing_accepted_is_lost_with_two_disks_while_all_vms_end(
    #[case] after_leader: [usize; 2],
) {
    const MEMBERS: usize = 5;
    const VMS: usize = 7;
    let mut fleet = FleetBuilder::new()
        .region("utara", 3)
        .engine(EngineOptions::default())
        .region("tengah", 2)
        .region("selatan", 2)
        .members(MEMBERS)
        .start()
        .await;
    let leader = fleet.leader(0).await;
    let accepted = fleet.change_through(leader, 1, switch(PresetName::Peak));
    let accepted = accepted.await;
    for vm in &mut fleet.vms {
        vm.kill();
    }
    for after in after_leader {
        fleet.vms[(leader + after) % MEMBERS].lose_disk();
    }
    for vm in &mut fleet.vms {
        vm.restart();
    }
    fleet.wait_for_version(0..VMS, accepted).await;
    for vm in 0..VMS {
        assert_eq!(preset_of(&fleet, vm).await, (accepted, PresetName::Peak));
    }
}

/// The VM that sent an issuance is killed before the registry answers. The trainee's provider
/// sends it again through another VM and hears that it may have run; the registry runs it once.
#[actix_rt::test]
async fn an_order_whose_vm_was_killed_is_never_sent_again() {
    let mut fleet = three_members().await;
    fleet.registries[0].set_fault(Fault::Silent).await;
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_secs();
    let key = format!("utara/{now}-award");
    let address = fleet.vms[0].addresses.callers;
    let order_key = key.clone();
    let first = actix_rt::spawn(async move {
        let req = awc::Client::new().post(format!("http://{address}{CERTIFICATES}"));
        let req = req
            .bearer_auth(KEY)
            .insert_header(("x-ebonystand-order-key", order_key));
        req.send_body("{}").await.is_err()
    });
    while fleet.registries[0].seen().await.requests == 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.vms[0].kill();
    assert!(first.await.unwrap());
    fleet.registries[0].set_fault(Fault::None).await;
    let headers = [("x-ebonystand-order-key", &*key)];
    for vm in [1, 2, 1] {
        let vm = &fleet.vms[vm];
        let answer = vm
            .call_with(KEY, "POST", CERTIFICATES, "{}", &headers)
            .await;
        assert_eq!(answer.run(), "unknown", "{answer:?}");
    }
    assert_eq!(fleet.registries[0].seen().await.requests, 1);
}

/// Both other regions stand still: a region is alone. Its callers still get whole streams, from
/// its own part of the allowance, and a key that is withdrawn there stops working there.
#[actix_rt::test]
async fn a_region_that_is_alone_serves_its_callers_and_withdraws_keys() {
    let fleet = three_members().await;
    fleet.vms[1].signal("STOP");
    fleet.vms[2].signal("STOP");
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    for _ in 0..8 {
        let answer = fleet.vms[0].call(KEY, "POST", CHAT, DRAFT).await;
        assert!(answer.whole_stream(), "{answer:?}");
    }
    let vm = &fleet.vms[0];
    let answer = vm.operate("POST", "/v1/operator/withdraw/k1", "").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let answer = vm.call(KEY, "POST", CHAT, DRAFT).await;
    assert_eq!((answer.status, &*answer.code()), (401, "unauthorized"));
}

/// The VMs of the log's majority stand still. The first orders of a region that is alone wait and
/// hear `unknown`; from then on a caller hears that at once and when to come back, in place of a
/// minute's wait for nothing. Once the others go on, so do orders.
#[actix_rt::test]
async fn orders_are_refused_at_once_while_the_log_is_out_of_reach() {
    let fleet = three_members().await;
    fleet.vms[1].signal("STOP");
    fleet.vms[2].signal("STOP");
    let vm = &fleet.vms[0];
    let issue = |name: usize, deadline: &'static str| async move {
        let now = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_secs();
        let key = format!("utara/{now}-award{name}");
        let headers = [
            ("x-ebonystand-order-key", &*key),
            ("x-ebonystand-deadline-ms", deadline),
        ];
        vm.call_with(KEY, "POST", CERTIFICATES, "{}", &headers)
            .await
    };
    assert_eq!(issue(0, "9000").await.run(), "unknown");
    let mut refused = 0;
    for n in 1..20 {
        let answer = issue(n, "1000").await;
        if answer.code() == "not_ready" {
            assert_eq!((answer.status, &*answer.run()), (503, "unknown"));
            assert!(answer.retry_after.is_some());
            refused += 1;
        }
    }
    assert!(refused >= 10, "{refused}");
    fleet.vms[1].signal("CONT");
    fleet.vms[2].signal("CONT");
    for n in 20..200 {
        if issue(n, "5000").await.status == 201 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no order runs after the others went on");
}
