//! Tests of a group that admits any VM of the fleet: joining, replacing a lost voter, and
//! returning.

use {
    bytes::Bytes,
    ebonystand_core::*,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Simulated VMs with disks; each message arrives in the next step of time.
struct Net {
    disks: BTreeMap<VmId, DurableState>,
    /// VMs that are stopped or partitioned off.
    down: BTreeSet<VmId>,
    in_flight: VecDeque<(VmId, MemberId, ReplicaMessage)>,
    next_incarnation: u64,
    now: Duration,
    replicas: BTreeMap<VmId, Replica>,
}

const STEP: Duration = Duration::from_millis(10);

impl Net {
    fn new() -> Self {
        Self {
            disks: BTreeMap::new(),
            down: BTreeSet::new(),
            in_flight: VecDeque::new(),
            next_incarnation: 1,
            now: Duration::from_secs(100),
            replicas: BTreeMap::new(),
        }
    }

    /// Starts a VM with its existing disk, or with an empty one.
    fn start(&mut self, vm: &str, seeds: &[&str], may_found: bool) {
        let incarnation = self.next_incarnation;
        let disk = self.disks.entry(vm.into()).or_insert_with(|| {
            self.next_incarnation += 1;
            DurableState::empty(incarnation)
        });
        let members = seeds.iter().map(|seed| Box::from(*seed)).collect();
        let cfg = ReplicaConfig {
            id: MemberId {
                incarnation: disk.incarnation,
                vm: vm.into(),
            },
            may_found_group: may_found,
            admits_any_vm: true,
            ..ReplicaConfig::new(vm.into(), members)
        };
        let seed = vm.bytes().map(u64::from).sum();
        let replica = Replica::new(cfg, disk.clone(), self.now, seed);
        self.replicas.insert(vm.into(), replica);
        self.down.remove(vm);
    }

    fn wipe(&mut self, vm: &str) {
        self.disks.remove(vm);
        self.replicas.remove(vm);
        self.down.insert(vm.into());
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (to, from, message) in std::mem::take(&mut self.in_flight) {
                if !self.down.contains(&to) && !self.down.contains(&from.vm) {
                    self.step(&to, ReplicaInput::Message { from, message });
                }
            }
            for vm in self.replicas.keys().cloned().collect::<Vec<_>>() {
                if !self.down.contains(&vm) {
                    self.step(&vm, ReplicaInput::Tick);
                }
            }
        }
    }

    fn step(&mut self, vm: &VmId, input: ReplicaInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(replica) = self.replicas.get_mut(vm) else {
                return;
            };
            let id = replica.id().clone();
            for output in replica.step(self.now, input) {
                match output {
                    ReplicaOutput::Persist { records, token } => {
                        if let Some(disk) = self.disks.get_mut(vm) {
                            records.into_iter().for_each(|record| disk.apply(record));
                        }
                        inputs.push_back(ReplicaInput::Persisted { token });
                    }
                    ReplicaOutput::Send { message, to } => {
                        self.in_flight.push_back((to, id.clone(), message));
                    }
                    _ => {}
                }
            }
        }
    }

    fn leader(&self) -> Option<&Replica> {
        let up = self.replicas.iter();
        let mut up = up.filter(|(vm, _)| !self.down.contains(*vm));
        up.find_map(|(_, replica)| replica.holds_lease(self.now).then_some(replica))
    }

    /// Returns the VMs of the voters according to the leader.
    fn voters(&self) -> BTreeSet<VmId> {
        let members = self.leader().map(|leader| leader.status().members);
        let voters = members.into_iter().flat_map(|members| members.voters);
        voters.map(|id| id.vm).collect()
    }

    /// Commits a command and returns its index.
    fn commit(&mut self) -> LogIndex {
        let leader = self.leader().expect("a leader").id().vm.clone();
        let command = Bytes::from_static(b"x");
        self.step(&leader, ReplicaInput::Propose { command, id: 1 });
        let index = self.replicas[&leader].status().last_position.index;
        self.run(Duration::from_secs(1));
        assert!(self.leader().expect("a leader").status().commit_index >= index);
        index
    }

    fn founded() -> Self {
        let mut net = Self::new();
        for vm in ["e", "c", "a", "d", "b"] {
            net.start(vm, &["a", "b", "c"], true);
        }
        net.run(Duration::from_secs(8));
        assert_eq!(net.voters(), set(&["a", "b", "c", "d", "e"]));
        net
    }
}

fn set(vms: &[&str]) -> BTreeSet<VmId> {
    vms.iter().map(|vm| Box::from(*vm)).collect()
}

/// Five VMs start together and know the addresses of only three. These three found one group, and
/// it admits the other two although no settings name them.
#[test]
fn vms_that_no_settings_name_are_taken_in() {
    let mut net = Net::founded();
    net.commit();
}

/// All VMs that may found a group have lost their disks, and the VMs that hold the log are
/// unreachable. A second group would lack the accepted changes, so no VM may found one.
#[test]
fn vms_that_lost_their_disks_found_no_second_group() {
    let mut net = Net::new();
    for vm in ["a", "b", "c"] {
        net.start(vm, &["a", "b", "c"], false);
    }
    net.run(Duration::from_secs(20));
    assert!(net.leader().is_none());
    assert!(
        net.replicas
            .values()
            .all(|replica| replica.status().commit_index == 0)
    );
}

/// Two of five VMs lose their disks right after a change was accepted, and return empty. The other
/// three hold the change. The group must become whole again and then survive the loss of two
/// others.
#[test]
fn two_lost_disks_at_once_lose_nothing() {
    let mut net = Net::founded();
    let index = net.commit();
    for vm in ["a", "b"] {
        net.wipe(vm);
        net.start(vm, &["a", "b", "c"], false);
    }
    net.run(Duration::from_secs(12));
    assert_eq!(net.voters(), set(&["a", "b", "c", "d", "e"]));
    for vm in ["c", "d"] {
        net.wipe(vm);
    }
    net.run(Duration::from_secs(8));
    let leader = net.leader().expect("a leader");
    assert!(leader.status().commit_index >= index);
}

/// A VM is lost for good, and a new one starts at another address. It must replace the lost voter,
/// so that the group can again survive the loss of two.
#[test]
fn a_new_vm_takes_the_place_of_a_lost_one() {
    let mut net = Net::founded();
    net.wipe("e");
    net.start("f", &["a", "b", "c"], false);
    net.run(Duration::from_secs(15));
    assert_eq!(net.voters(), set(&["a", "b", "c", "d", "f"]));
    net.commit();
}

/// While no voter is lost, a sixth VM must stay a learner: one more voter would not let the group
/// survive one more loss.
#[test]
fn a_vm_beyond_the_aim_stays_a_learner() {
    let mut net = Net::founded();
    net.start("f", &["a", "b", "c"], false);
    net.run(Duration::from_secs(10));
    assert_eq!(net.voters(), set(&["a", "b", "c", "d", "e"]));
    let members = net.leader().expect("a leader").status().members;
    assert!(members.learners.iter().any(|id| &*id.vm == "f"));
}

/// A voter is partitioned off for so long that it is replaced. When the partition heals, it doesn't
/// know that it was removed. It must be admitted again and follow, instead of asking for votes for
/// ever.
#[test]
fn a_voter_that_was_taken_out_behind_a_cut_comes_back() {
    let mut net = Net::founded();
    net.down.insert("d".into());
    net.start("f", &["a", "b", "c"], false);
    net.run(Duration::from_secs(15));
    assert!(!net.voters().contains("d"));
    net.down.remove("d");
    let index = net.commit();
    net.run(Duration::from_secs(10));
    assert!(net.replicas["d"].status().commit_index >= index);
    let members = net.leader().expect("a leader").status().members;
    assert!(members.iter().any(|id| &*id.vm == "d"));
}
