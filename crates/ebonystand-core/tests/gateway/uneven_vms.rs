//! Callers by what a VM carries: entry lists of a region whose VMs differ in capacity, and the
//! capacity that a VM near its limits advertises.

use {super::*, rstest::rstest, std::net::IpAddr};

/// VM of a machine with 0.3 cores, 400 MB and 25 Mbit/s.
const LARGE: VmResources = VmResources {
    cores: Some(0.3),
    link_mbps: Some(25.0),
    memory_mb: Some(400.0),
};
/// VM of a machine with 0.09 cores, 120 MB and 7.5 Mbit/s.
const SMALL: VmResources = VmResources {
    cores: Some(0.09),
    link_mbps: Some(7.5),
    memory_mb: Some(120.0),
};
const CALLERS: usize = 400;
const SECOND: Duration = Duration::from_secs(1);

fn vm(number: u16, capacity: VmCapacity) -> VmRecord {
    let address = SocketAddr::from(([10, 0, 0, 1], 8_000 + number));
    VmRecord {
        capacity,
        capacity_halvings: 0,
        forwards: None,
        heartbeat: 0,
        holds_log: false,
        http: address,
        incarnation: 1,
        leaving: false,
        peer: address,
        region: "a".into(),
        takes_callers: true,
        version: 1,
        vm: number.to_string().into(),
        zone: format!("a-{}", number % 2).into(),
    }
}

/// A region of 7 large VMs, which are the first, and 23 small ones in two zones.
fn region() -> Vec<VmRecord> {
    let capacity = |number| match number < 7 {
        true => LARGE.capacity(),
        false => SMALL.capacity(),
    };
    (0..30).map(|number| vm(number, capacity(number))).collect()
}

fn list(vms: &[VmRecord], caller: usize, wall: Duration) -> Vec<SocketAddr> {
    let address = IpAddr::from([10, 9, (caller / 250) as u8, (caller % 250) as u8]);
    let place = Place {
        region: "a".into(),
        zone: format!("a-{}", caller % 2).into(),
    };
    let selector = EntryListSelector {
        caller: &place,
        caller_seed: EntryListSelector::caller_seed(&place, Some(address)),
        homes: &[],
        random_seed: caller as u64,
        wall,
    };
    selector.select_addresses(vms)
}

/// Share of the callers that each VM gets, when each picks one VM of its list with equal chances.
fn shares(vms: &[VmRecord], wall: Duration) -> BTreeMap<SocketAddr, f64> {
    let mut shares = BTreeMap::<SocketAddr, f64>::new();
    for caller in 0..CALLERS {
        let list = list(vms, caller, wall);
        for address in &list {
            *shares.entry(*address).or_default() += 1.0 / (list.len() * CALLERS) as f64;
        }
    }
    shares
}

fn share_of(shares: &BTreeMap<SocketAddr, f64>, vms: &[VmRecord]) -> f64 {
    vms.iter().filter_map(|vm| shares.get(&vm.http)).sum()
}

/// Load: 400 callers of a region whose 7 large VMs have half of its capacity. Each VM would get as
/// many callers as any other, and the large ones 7 of 30. They need to get nearly their half, and no
/// small VM more than one and a half times its share.
#[test]
fn callers_come_in_proportion_to_capacity() {
    let vms = region();
    let equal = vms
        .iter()
        .map(|vm| VmRecord {
            capacity: VmCapacity::REFERENCE,
            ..vm.clone()
        })
        .collect::<Vec<_>>();
    let before = share_of(&shares(&equal, SECOND), &vms[..7]);
    assert!((before - 7.0 / 30.0).abs() < 0.001, "{before}");
    let shares = shares(&vms, SECOND);
    let large = share_of(&shares, &vms[..7]);
    let small = shares
        .iter()
        .filter(|(address, _)| **address >= vms[7].http);
    let most = small.map(|(_, share)| *share).fold(0.0, f64::max);
    println!("large VMs: {before:.3} before, {large:.3} now; fullest small VM: {most:.4}");
    assert!(large > 0.44, "{large}");
    assert!(most < 1.5 * 0.5 / 23.0, "{most}");
    assert_eq!(shares.len(), vms.len(), "each VM is named in some lists");
}

/// Callers close connections to VMs that a new list does not name. Guards against lists that change
/// with each answer.
#[test]
fn a_caller_gets_nearly_the_same_list_for_minutes() {
    let vms = region();
    let (mut dropped, mut named) = (0, 0);
    for caller in 0..CALLERS {
        for second in 0..60 {
            let before = list(&vms, caller, second * SECOND);
            let after = list(&vms, caller, (second + 1) * SECOND);
            named += before.len();
            dropped += before.iter().filter(|vm| !after.contains(vm)).count();
        }
    }
    let of_thousand = dropped * 1_000 / named;
    println!("dropped each second: {of_thousand} of 1,000 named VMs");
    assert!(of_thousand <= 3, "{of_thousand}");
    assert!(dropped > 0, "callers move in time");
}

/// A new VM, or one that changes its capacity, must not make callers move between the others.
#[test]
fn a_vm_that_comes_or_is_near_its_limit_displaces_few_others() {
    let vms = region();
    let mut changed = vms.clone();
    changed[0].capacity_halvings = 3;
    changed.push(vm(30, LARGE.capacity()));
    let mut dropped = 0;
    for caller in 0..CALLERS {
        let after = list(&changed, caller, SECOND);
        let before = list(&vms, caller, SECOND);
        dropped += before.iter().filter(|vm| !after.contains(vm)).count();
    }
    assert!(dropped <= 2 * CALLERS, "{dropped}");
}

/// Where no VM has more capacity than another, callers get the lists that they have always got.
#[rstest]
#[case::unknown(VmCapacity::default())]
#[case::small(SMALL.capacity())]
fn vms_of_equal_capacity_are_all_named(#[case] capacity: VmCapacity) {
    let vms = (0..60)
        .map(|number| vm(number, capacity))
        .collect::<Vec<_>>();
    let all = vms.iter().map(|vm| vm.http).collect::<Vec<_>>();
    for caller in 0..10 {
        assert_eq!(list(&vms, caller, SECOND), all);
    }
}

/// Most large VMs are lost. Guards against lists that go on leaving out the small ones, which must
/// then carry the region.
#[test]
fn small_vms_are_named_at_once_when_most_large_ones_are_lost() {
    let vms = region().split_off(6);
    let shares = shares(&vms, SECOND);
    assert_eq!(shares.len(), vms.len());
    let large = share_of(&shares, &vms[..1]);
    assert!(large < 2.0 * 250.0 / (250.0 + 23.0 * 75.0), "{large}");
    for caller in 0..CALLERS {
        assert!(list(&vms, caller, SECOND).len() >= vms.len() / 2);
    }
    let none = region().split_off(7);
    assert_eq!(list(&none, 0, SECOND).len(), none.len());
}

/// One VM with nearly all of the region's capacity, or all large VMs in one zone, and then that VM
/// or zone is lost: callers with lists of that zone alone would have nobody to turn to.
#[rstest]
#[case::one_large(0)]
#[case::one_zone_large(1)]
fn lists_name_enough_vms_and_two_zones(#[case] case: usize) {
    let huge = VmCapacity::new(u16::MAX);
    let vms = (0..20).map(|number| match (case, number) {
        (0, 0) => vm(number, huge),
        (1, _) if number % 2 == 1 => vm(number, huge),
        _ => vm(number, VmCapacity::new(1)),
    });
    let vms = vms.collect::<Vec<_>>();
    for caller in 0..CALLERS {
        let list = list(&vms, caller, SECOND);
        let named = vms.iter().filter(|vm| list.contains(&vm.http));
        let zones = named.map(|vm| &vm.zone).collect::<BTreeSet<_>>();
        assert!(list.len() >= 10);
        assert_eq!(zones.len(), 2);
    }
}

/// A VM that is added in the middle of the day must get its share by the next list.
#[test]
fn a_new_vm_is_named_at_once() {
    let mut vms = region();
    vms.push(vm(30, LARGE.capacity()));
    let share = share_of(&shares(&vms, SECOND), &vms[30..]);
    assert!(share > 0.05, "{share}");
}

/// The scarcest resource counts, and a VM without figures counts as the reference.
#[test]
fn the_scarcest_resource_sets_the_capacity() {
    assert_eq!(LARGE.capacity().permille(), 250);
    assert_eq!(SMALL.capacity().permille(), 75);
    assert_eq!(VmResources::default().capacity(), VmCapacity::REFERENCE);
    let huge = VmResources {
        cores: Some(1e9),
        ..VmResources::default()
    };
    assert_eq!(huge.capacity().permille(), u16::MAX);
    let tiny = VmResources {
        memory_mb: Some(1e-9),
        ..LARGE
    };
    assert_eq!(tiny.capacity().permille(), 1);
}

/// A VM is near its limit for half a minute, then idle. Guards against a VM that lists itself away,
/// and against lists that change with each burst.
#[test]
fn a_vm_near_its_limit_advertises_less_but_never_nothing() {
    let mut throttle = CapacityThrottle::default();
    let mut vm = vm(0, LARGE.capacity());
    let mut halvings = |at, used| throttle.halvings(ms(at), used);
    assert_eq!(halvings(0, 700), 0);
    assert_eq!(halvings(500, 900), 1, "at once");
    assert_eq!(halvings(1_000, 900), 1, "callers have not followed yet");
    assert_eq!(halvings(3_500, 900), 2);
    assert_eq!(halvings(6_500, 900), 3);
    assert_eq!(halvings(30_000, 2_000), CapacityThrottle::MAX_HALVINGS);
    vm.capacity_halvings = halvings(31_000, 2_000);
    assert_eq!(vm.present_capacity().permille(), 250 / 8);
    assert_eq!(halvings(40_000, 700), 3, "between the two thresholds");
    assert_eq!(halvings(40_500, 500), 2);
    assert_eq!(halvings(41_000, 500), 2);
    assert_eq!(halvings(46_500, 500), 1);
    assert_eq!(halvings(52_500, 0), 0);
}

/// A single long step, such as a new configuration, must not count as a full processor.
#[test]
fn the_use_of_the_processor_is_measured_over_a_second() {
    let mut meter = ProcessorMeter::default();
    assert_eq!(meter.used_permille(ms(0), ms(70), 90), 0);
    assert_eq!(meter.used_permille(ms(100), ms(170), 90), 0);
    assert_eq!(meter.used_permille(ms(1_000), ms(115), 90), 500);
    assert_eq!(meter.used_permille(ms(1_100), ms(215), 90), 500);
}

/// The relays of a region carry its load reports, which a small VM can do least of all.
#[test]
fn vms_with_more_capacity_relay_first() {
    let vms = (0..40).map(|number: usize| RegionVm {
        capacity: match number % 5 {
            0 => LARGE.capacity(),
            _ => SMALL.capacity(),
        },
        is_staying: true,
        vm: number.to_string().into(),
        zone: "a-1".into(),
    });
    let vms = vms.collect::<Vec<_>>();
    let plan = RelayPlan::new(&vms);
    let relays = plan.relays().collect::<Vec<_>>();
    assert_eq!(relays.len(), 3);
    assert!(
        relays
            .iter()
            .all(|vm| vm.parse::<usize>().is_ok_and(|vm| vm % 5 == 0))
    );
}
