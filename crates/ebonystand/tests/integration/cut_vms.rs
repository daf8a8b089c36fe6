//! VMs that have lost their links to the upstreams, while callers and the other VMs still reach them.

use {
    crate::{
        fleet::Fleet,
        links::Links,
        routes::{Setting, call, echo, put, routing, served},
        scripted::Scripted,
        vm::Vm,
    },
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time after which a cut must be known to all VMs.
const CONTACT_TIME: Duration = Duration::from_secs(5);
const REQUESTS: usize = 60;

/// A fleet with its upstreams behind links that can be cut.
struct Cut {
    fleet: Fleet,
    links: Links,
    upstreams: Vec<Scripted>,
}

impl Cut {
    /// Three VMs in region `a` and two in `b`, with upstreams as many as `counts` says.
    async fn start(counts: [usize; 2]) -> Self {
        let links = Links::new();
        let mut upstreams = Vec::new();
        let regions = ["a", "b"].into_iter().zip(counts).map(|(region, count)| {
            let scripted = (0..count).map(|_| Scripted::start(echo));
            let scripted = scripted.collect::<Vec<_>>();
            upstreams.extend(scripted.clone());
            let behind = scripted.into_iter().map(|upstream| {
                let address = links.before(upstream.address);
                upstream.at(address)
            });
            (region, behind.collect())
        });
        let mut setting = Setting::new(regions.collect());
        setting.vms = 3;
        let fleet = setting.start().await;
        put(&fleet, routing(1)).await;
        for vm in &fleet.vms {
            served(vm, "/look/first").await;
        }
        Self {
            fleet,
            links,
            upstreams,
        }
    }

    fn cut(&self, vms: &[usize]) {
        let processes = vms.iter().map(|vm| self.fleet.vms[*vm].process());
        self.links.cut(&processes.collect::<Vec<_>>());
    }

    /// Share of the requests that a VM serves, one after the other.
    async fn share_served(&self, vm: usize, name: &str, path: &str) -> f64 {
        let vm = &self.fleet.vms[vm];
        let mut served = 0;
        for n in 0..REQUESTS {
            let request = format!("{name}-{}-{n}", vm.name);
            let answer = call(vm, "POST", path, &request, "o").await;
            match answer.status {
                200 => served += 1,
                _ => println!("{request}: {answer:?}"),
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        served as f64 / REQUESTS as f64
    }

    /// Most upstreams that ran one request.
    fn most_runs(&self) -> usize {
        let seen = self.upstreams.iter().flat_map(Scripted::seen);
        let mut runs = BTreeMap::<String, usize>::new();
        for received in seen.filter(|received| received.request().starts_with("/once")) {
            *runs.entry(received.request().to_owned()).or_default() += 1;
        }
        runs.into_values().max().unwrap_or_default()
    }
}

/// Callers keep asking the VMs that are cut, as they do when a cut begins.
async fn notice(cut: &Cut, vms: &[usize]) {
    let end = Instant::now() + CONTACT_TIME;
    for n in 0.. {
        for vm in vms {
            let request = format!("notice-{vm}-{n}");
            call(&cut.fleet.vms[*vm], "GET", "/look/x", &request, "").await;
        }
        if Instant::now() > end {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a VM without links to the upstreams that refuses what the VM beside it could send.
#[rstest]
#[case::one_of_three([4, 0], &[0])]
#[case::two_of_three([4, 0], &[0, 1])]
#[case::all_of_the_region([4, 3], &[0, 1, 2])]
#[case::in_both_regions([4, 3], &[0, 1, 3])]
#[actix_rt::test]
async fn vms_without_links_to_the_upstreams_serve_like_the_others(
    #[case] counts: [usize; 2],
    #[case] vms: &[usize],
) {
    let cut = Cut::start(counts).await;
    cut.cut(vms);
    notice(&cut, vms).await;
    for vm in 0..cut.fleet.vms.len() {
        for path in ["/once/x", "/look/x"] {
            let share = cut.share_served(vm, path, path).await;
            assert!(share > 0.9, "vm{vm}: {share} of {path}");
        }
    }
    assert!(cut.links.refused() > 0);
    assert_eq!(cut.most_runs(), 1);
}

/// Guards against VMs of another region that go on sending requests to those that are cut.
#[actix_rt::test]
async fn requests_of_another_region_reach_the_vm_that_has_links() {
    let cut = Cut::start([3, 0]).await;
    cut.cut(&[0, 1]);
    notice(&cut, &[0, 1, 3]).await;
    let share = cut.share_served(3, "away", "/once/x").await;
    assert!(share > 0.9, "{share}");
}

/// Guards against a VM that goes on sending through others once its links are back.
#[actix_rt::test]
async fn a_vm_sends_by_itself_again_when_its_links_are_back() {
    let cut = Cut::start([4, 0]).await;
    cut.cut(&[0]);
    notice(&cut, &[0]).await;
    cut.cut(&[]);
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let share = cut.share_served(0, "back", "/once/x").await;
    assert!(share > 0.9, "{share}");
    let of_others = |vm: &Vm| vm.log().contains("back-vm0-59");
    assert!(!cut.fleet.vms[1..].iter().any(of_others));
}
