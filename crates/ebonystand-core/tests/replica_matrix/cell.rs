//! One cell of the test matrix: a step of the protocol, a fault, and optionally a second fault.

use {
    super::net::{LinkFaults, Net},
    ebonystand_core::{DurableState, MemberChange, MemberId, ReplicaInput, ReplicaRole, VmId},
    rand::{RngExt, seq::IndexedRandom},
    std::time::Duration,
};

/// Fault that is injected into a VM or the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Duplicate,
    Freeze,
    Kill,
    Late,
    Loss,
    LostDisk,
    OneWayCut,
    Reorder,
    TornWrite,
    TwoWayCut,
}

/// Step of the protocol during which the fault occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Append,
    CatchUp,
    Election,
    Members,
    Snapshot,
}

/// VM that the fault hits: the leader, the VM that the step is about, or another one.
#[derive(Clone, Copy, Debug)]
pub enum Victim {
    Bystander,
    Leader,
    Subject,
}

/// Cell of the matrix.
#[derive(Clone, Copy, Debug)]
pub struct Cell {
    pub first: Fault,
    pub second: Option<Fault>,
    pub seed: u64,
    pub step: Step,
    pub victim: Victim,
}

impl Fault {
    pub const ALL: [Self; 10] = [
        Self::Duplicate,
        Self::Freeze,
        Self::Kill,
        Self::Late,
        Self::Loss,
        Self::LostDisk,
        Self::OneWayCut,
        Self::Reorder,
        Self::TornWrite,
        Self::TwoWayCut,
    ];

    fn inject(self, net: &mut Net, vm: &VmId) {
        match self {
            Self::Duplicate => net.link_faults.duplicated = 500,
            Self::Freeze => net.node(vm).frozen = true,
            Self::Kill => net.kill(vm, 0),
            Self::Late => net.link_faults.late = 200,
            Self::Loss => net.link_faults.lost = 300,
            Self::LostDisk => {
                net.kill(vm, 0);
                let incarnation = net.rng.random();
                net.node(vm).disk = DurableState::empty(incarnation);
                net.start(vm);
            }
            Self::OneWayCut => {
                let out = net.rng.random();
                let others = net.others(vm);
                let other = others.choose(&mut net.rng).expect("not alone").clone();
                let link = (vm.clone(), other);
                let back = (link.1.clone(), link.0.clone());
                net.cut_links.insert(if out { link } else { back });
            }
            Self::Reorder => net.link_faults.reordered = 500,
            Self::TornWrite => {
                let torn = net.rng.random_range(0..4);
                net.kill(vm, torn);
                net.start(vm);
            }
            Self::TwoWayCut => {
                for other in net.others(vm) {
                    net.cut_links.insert((vm.clone(), other.clone()));
                    net.cut_links.insert((other, vm.clone()));
                }
            }
        }
    }
}

impl Step {
    pub const ALL: [Self; 5] = [
        Self::Append,
        Self::CatchUp,
        Self::Election,
        Self::Members,
        Self::Snapshot,
    ];

    /// Brings the net to the start of the step. Returns the VM that the step is about.
    pub fn begin(self, net: &mut Net) -> VmId {
        let leader = net.leader().expect("settled");
        let follower = net.others(&leader)[0].clone();
        match self {
            Self::Append | Self::Snapshot => follower,
            Self::CatchUp => {
                net.kill(&follower, 0);
                net.run(Duration::from_secs(2), 5, |_| false);
                net.start(&follower);
                follower
            }
            Self::Election => {
                net.kill(&leader, 0);
                leader
            }
            Self::Members => {
                let vm = VmId::from("d");
                net.add(&vm);
                net.admit_newcomer();
                vm
            }
        }
    }

    /// Returns the event that the net records while the step is in progress.
    pub fn event_name(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::CatchUp => "chunk",
            Self::Election => "candidate",
            Self::Members => "members",
            Self::Snapshot => "snapshot",
        }
    }
}

impl Victim {
    pub const ALL: [Self; 3] = [Self::Bystander, Self::Leader, Self::Subject];

    fn choose(self, net: &Net, subject: &VmId) -> VmId {
        let leader = net
            .leader()
            .or_else(|| net.with_role(ReplicaRole::Candidate))
            .or_else(|| net.with_role(ReplicaRole::PreCandidate))
            .unwrap_or(subject.clone());
        match self {
            Self::Bystander => net
                .others(&leader)
                .into_iter()
                .find(|vm| vm != subject)
                .unwrap_or(leader),
            Self::Leader => leader,
            Self::Subject => subject.clone(),
        }
    }
}

impl Cell {
    /// Runs the cell; panics if an invariant is violated.
    pub fn run(&self) {
        let mut net = Net::new(&["a", "b", "c"], self.seed);
        let limit = Duration::from_secs(30);
        assert!(net.run(limit, 5, |net| net.observer.acknowledged_count() > 20));
        let subject = self.step.begin(&mut net);
        net.events_seen.clear();
        let event_name = self.step.event_name();
        assert!(net.run(limit, 5, |net| net.events_seen.contains(event_name)));
        let victim = self.victim.choose(&net, &subject);
        self.first.inject(&mut net, &victim);
        if let Some(second) = self.second {
            self.inject_second_fault(&mut net, second, &subject);
        }
        net.run(Duration::from_secs(3), 5, |_| false);
        Self::recover(&mut net);
    }

    /// Ends all faults and restarts all VMs, then waits until all of them are voters with equal
    /// state.
    pub fn recover(net: &mut Net) {
        net.cut_links.clear();
        net.link_faults = LinkFaults::default();
        for vm in net.nodes.keys().cloned().collect::<Vec<_>>() {
            net.node(&vm).frozen = false;
            if net.node(&vm).replica.is_none() {
                net.start(&vm);
            }
        }
        let acknowledged = net.observer.acknowledged_count();
        let limit = Duration::from_secs(20);
        assert!(
            net.run(limit, 10, |net| net.observer.acknowledged_count()
                > acknowledged + 5),
            "commits nothing after the recovery"
        );
        for _ in 0..40 {
            net.admit_newcomer();
            if net.run(Duration::from_secs(1), u32::MAX, Net::has_converged) {
                net.assert_states();
                return;
            }
        }
        panic!("does not become whole after the recovery");
    }

    /// Injects the second fault while the group recovers from the first one. A second disk is lost
    /// only after recovery from the loss of the first: without two of three disks there is no
    /// majority.
    fn inject_second_fault(&self, net: &mut Net, second: Fault, subject: &VmId) {
        if self.first == Fault::LostDisk && second == Fault::LostDisk {
            Self::recover(net);
        } else {
            let millis = net.rng.random_range(0..2_500);
            net.run(Duration::from_millis(millis), 5, |_| false);
        }
        let victim = *Victim::ALL.choose(&mut net.rng).expect("not empty");
        let victim = victim.choose(net, subject);
        second.inject(net, &victim);
    }
}

impl Net {
    /// Asks the leader to admit the fourth VM if it exists; the change fails if it is a member
    /// already.
    fn admit_newcomer(&mut self) {
        let vm = VmId::from("d");
        let (Some(node), Some(leader)) = (self.nodes.get(&vm), self.leader()) else {
            return;
        };
        let incarnation = node.disk.incarnation;
        let id = MemberId { incarnation, vm };
        let change = MemberChange::Admit(id);
        self.input(&leader, ReplicaInput::ChangeMembers { change, id: 0 });
    }

    fn others(&self, vm: &VmId) -> Vec<VmId> {
        self.nodes
            .keys()
            .filter(|other| *other != vm)
            .cloned()
            .collect()
    }

    fn with_role(&self, role: ReplicaRole) -> Option<VmId> {
        self.nodes
            .iter()
            .filter_map(|(vm, node)| Some((vm, node.replica.as_ref()?.status().role)))
            .find(|(_, found)| *found == role)
            .map(|(vm, _)| vm.clone())
    }
}
