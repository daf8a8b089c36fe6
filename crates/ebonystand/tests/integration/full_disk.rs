//! A disk that refuses every write on a member of the replicated log.

use {
    crate::fleet::{Fleet, FleetBuilder},
    ebonystand_core::{Change, Document, Version, Workspace},
    ebonystand_fakes::EngineOptions,
    rstest::rstest,
    serde_json::json,
    std::time::{Duration, Instant},
};

/// Entries after which the log is written anew, the least that the settings allow.
const SNAPSHOT_ENTRIES: u64 = 8;
/// Changes made while the disk is full, more than one snapshot needs.
const CHANGES: u64 = 3 * SNAPSHOT_ENTRIES;
/// Longest time for the role to move: some elections of a second, on a busy machine.
const MAX_MOVE: Duration = Duration::from_secs(10);
/// Longest time from the first write that succeeds until the VM has all changes.
const MAX_RETURN: Duration = Duration::from_secs(3);

async fn three_members() -> Fleet {
    FleetBuilder::new()
        .region("utara", 1)
        .engine(EngineOptions::default())
        .region("tengah", 1)
        .region("selatan", 1)
        .members(3)
        .group(json!({"snapshot_entries": SNAPSHOT_ENTRIES}))
        .start()
        .await
}

/// A change whose effect is found in the document by its number.
fn numbered(number: u64) -> Change {
    let workspace = Workspace {
        burst: 1_000,
        home: "utara".into(),
        rate: 1_000,
        residency: ["utara".into()].into(),
    };
    let id = format!("workspace-{number}").into();
    Change::PutWorkspace { id, workspace }
}

async fn document(fleet: &Fleet, vm: usize) -> Document {
    let answer = fleet.vms[vm]
        .operate("GET", "/v1/operator/document", "")
        .await;
    answer.json()
}

/// The disk of a member refuses every write while operators go on making changes, which the other
/// members must acknowledge, under another leader if it was the leader's. Guards against a leader
/// that keeps its role without being able to store, and against a member that acknowledges what it
/// has not stored: once the disk takes writes again, the VM counts in the quorum at once, and with
/// another member lost each acknowledged change is still there.
#[rstest]
#[case::of_the_leader(0)]
#[case::of_a_follower(1)]
#[actix_rt::test]
async fn a_full_disk_costs_no_change_and_the_role_moves(#[case] after_leader: usize) {
    let mut fleet = three_members().await;
    let leader = fleet.leader(0).await;
    let full = (leader + after_leader) % 3;
    let other = (leader + 1 + usize::from(after_leader == 1)) % 3;
    fleet.vms[full].set_disk_full(true);
    let mut version: Version = 1;
    let mut longest = Duration::ZERO;
    for number in 0..CHANGES {
        let asked = Instant::now();
        version = fleet.change_through(other, version, numbered(number)).await;
        longest = longest.max(asked.elapsed());
    }
    let text = fleet.vms[full].log_with("the disk is full").await;
    assert!(!text.contains("the disk has room again"));
    assert!(longest < MAX_MOVE, "{longest:?}");
    assert_ne!(fleet.leader(other).await, full, "the role has moved");
    assert!(document(&fleet, full).await.version < version);

    fleet.vms[full].set_disk_full(false);
    let freed = Instant::now();
    fleet.wait_for_version(full..full + 1, version).await;
    let took = freed.elapsed();
    assert!(took < MAX_RETURN, "{took:?}");
    let third = 3 - full - other;
    fleet.vms[third].kill();
    version = fleet
        .change_through(other, version, numbered(CHANGES))
        .await;
    for vm in [full, other] {
        fleet.wait_for_version(vm..vm + 1, version).await;
        let document = document(&fleet, vm).await;
        for number in 0..=CHANGES {
            let id = format!("workspace-{number}");
            assert!(document.workspaces.contains_key(&*id), "{id} on vm{vm}");
        }
    }
    assert!(fleet.vms[full].running(), "it never stopped");
}
