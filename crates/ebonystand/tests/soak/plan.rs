use {
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    serde::Serialize,
    std::time::Duration,
};

/// How long a run takes, and with how many VMs.
pub(crate) struct Size {
    pub(crate) span: Duration,
    pub(crate) vms: usize,
}

/// What happens to a VM's process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) enum Fault {
    /// Ended at once, and started again after the time.
    Kill,
    /// Stopped for the time.
    Pause,
    /// Its settings are read again.
    Reload,
    /// Asked to end, and started again the time after it has.
    Terminate,
}

/// A fault at its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) fault: Fault,
    pub(crate) lasts: Duration,
    pub(crate) vm: usize,
}

/// The connections to an upstream stay open and fall silent.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Silence {
    pub(crate) at: Duration,
    pub(crate) upstream: usize,
}

/// What is done to a fleet in one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) silences: Vec<Silence>,
    pub(crate) span: Duration,
    /// While one in so many turns is a VM's to run: each stands still in all others.
    pub(crate) starved: Option<u32>,
    pub(crate) steps: Vec<Step>,
    pub(crate) vms: usize,
}

impl Plan {
    /// VMs with a data folder; at most one of them is struck at a time.
    pub(crate) const MEMBERS: usize = 3;
    /// Engines and registries before the VMs.
    pub(crate) const UPSTREAMS: usize = 5;
    const LONGEST_MS: u64 = 2_500;
    /// Pause between two faults; they last longer, so that they overlap.
    const PAUSE_MS: u64 = 1_200;
    /// Longest pause between two upstreams that fall silent.
    const SILENCE_MS: u64 = 6_000;

    pub(crate) fn draw(seed: u64, size: &Size) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut steps: Vec<Step> = Vec::new();
        let mut at = Duration::ZERO;
        let mut members_free = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(0..Self::PAUSE_MS));
            if at >= size.span {
                break;
            }
            let fault = match rng.random_range(0..4) {
                0 => Fault::Kill,
                1 => Fault::Pause,
                2 => Fault::Reload,
                _ => Fault::Terminate,
            };
            let lasts = Duration::from_millis(rng.random_range(50..Self::LONGEST_MS));
            let mut vm = rng.random_range(0..size.vms);
            if vm < Self::MEMBERS && at < members_free {
                vm = rng.random_range(Self::MEMBERS..size.vms);
            }
            if vm < Self::MEMBERS {
                // Time to end, to start and to catch up is beside that of the fault.
                members_free = at + lasts + Duration::from_secs(4);
            }
            steps.push(Step {
                at,
                fault,
                lasts,
                vm,
            });
        }
        let mut silences = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(0..Self::SILENCE_MS));
            if at >= size.span {
                break;
            }
            let upstream = rng.random_range(0..Self::UPSTREAMS);
            silences.push(Silence { at, upstream });
        }
        Self {
            seed,
            silences,
            span: size.span,
            starved: seed.is_multiple_of(2).then(|| rng.random_range(2..5)),
            steps,
            vms: size.vms,
        }
    }
}
