//! Entry lists for callers, and which VM reads the list of upstreams.

use {super::*, rstest::rstest};

fn vm(name: &str, region: &str, takes_callers: bool, leaving: bool) -> VmRecord {
    let port = 8_000 + name.parse::<u16>().expect("a number");
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    VmRecord {
        capacity: VmCapacity::REFERENCE,
        capacity_halvings: 0,
        forwards: None,
        heartbeat: 0,
        holds_log: false,
        http: address,
        incarnation: 1,
        leaving,
        peer: address,
        region: region.into(),
        takes_callers,
        version: 1,
        vm: name.into(),
        zone: format!("{region}-1").into(),
    }
}

fn ports(vms: &[VmRecord], homes: &[&[&str]]) -> Vec<u16> {
    ports_for("a-1", 7, vms, homes)
}

fn ports_for(zone: &str, draw: u64, vms: &[VmRecord], homes: &[&[&str]]) -> Vec<u16> {
    let caller = Place {
        region: "a".into(),
        zone: zone.into(),
    };
    let homes = homes.iter().map(|homes| set(homes)).collect::<Vec<_>>();
    let homes = homes.iter().collect::<Vec<_>>();
    let choice = EntryListSelector {
        caller: &caller,
        caller_seed: draw,
        random_seed: draw,
        homes: &homes,
        wall: Duration::ZERO,
    };
    choice
        .select_addresses(vms)
        .iter()
        .map(SocketAddr::port)
        .collect()
}

/// VMs of the caller's region are stopped one after the other. The caller must be sent to those
/// that stay, then to a leaving one that still serves, and only then to another region, preferring
/// a home: a request that arrives outside of its homes would have its body there too.
#[rstest]
#[case::near(&[(1, "a", true, false), (2, "a", true, false), (3, "b", true, false)], &[], &[8_001, 8_002])]
#[case::not_leaving(&[(1, "a", true, true), (2, "a", true, false), (3, "b", true, false)], &[], &[8_002])]
#[case::not_ready(&[(1, "a", false, false), (2, "a", true, false)], &[], &[8_002])]
#[case::last_one_serves_on(&[(1, "a", true, true), (3, "b", true, false)], &[], &[8_001])]
#[case::a_home(&[(2, "b", true, false), (3, "c", true, false)], &[&["a", "c"][..]], &[8_003])]
#[case::most_homes(&[(2, "b", true, false), (3, "c", true, false)], &[&["a", "c"][..], &["c"], &["b"]], &[8_003])]
#[case::no_home_needed(&[(2, "b", true, false), (3, "c", true, false)], &[], &[8_002, 8_003])]
#[case::never_a_leaving_one_elsewhere(&[(2, "b", true, true)], &[], &[])]
fn callers_are_sent_to_the_nearest_vms_that_serve_them(
    #[case] vms: &[(u16, &str, bool, bool)],
    #[case] homes: &[&[&str]],
    #[case] wanted: &[u16],
) {
    let vms = vms.iter();
    let vms =
        vms.map(|(name, region, takes, leaving)| vm(&name.to_string(), region, *takes, *leaving));
    assert_eq!(ports(&vms.collect::<Vec<_>>(), homes), wanted);
}

#[test]
fn a_list_names_a_bounded_number_of_vms() {
    let vms = (1..=200).map(|name| vm(&name.to_string(), "a", true, false));
    let vms = vms.collect::<Vec<_>>();
    assert_eq!(ports(&vms, &[]).len(), EntryListSelector::MAX_ADDRESSES);
}

/// In a large region, a list that always names the first 64 VMs by name sends all callers to these
/// and none to the others.
#[rstest]
#[case::zones_of_a_region(&[49, 49])]
#[case::one_large_zone(&[98])]
#[case::most_of_a_zone_is_down(&[10, 90])]
fn callers_spread_over_all_vms_of_a_large_region(#[case] zones: &[u16]) {
    let mut vms = Vec::new();
    for (zone, count) in (1..).zip(zones) {
        for _ in 0..*count {
            let name = (vms.len() + 1).to_string();
            let zone = format!("a-{zone}").into();
            vms.push(VmRecord {
                zone,
                ..vm(&name, "a", true, false)
            });
        }
    }
    let mut named = BTreeMap::<u16, u32>::new();
    for draw in 0..600 {
        // Callers are spread like VMs: equally over the zones.
        let zone = format!("a-{}", draw % zones.len() as u64 + 1);
        let ports = ports_for(&zone, draw, &vms, &[]);
        for port in &ports {
            // A caller uses all VMs on its list equally often.
            *named.entry(*port).or_default() += 6_400 / ports.len() as u32;
        }
    }
    assert_eq!(named.len(), vms.len());
    let mean = named.values().sum::<u32>() / vms.len() as u32;
    let most = named.values().max().copied().unwrap_or(0);
    assert!(most < mean * 3 / 2, "{most}, mean {mean}");
}

/// Callers close connections to VMs that a new list does not name, so lists for the same zone must
/// not change from one request to the next.
#[test]
fn a_zone_with_enough_vms_is_named_the_same_each_time() {
    let vms = (1..=98).map(|name| VmRecord {
        zone: format!("a-{}", name % 2 + 1).into(),
        ..vm(&name.to_string(), "a", true, false)
    });
    let vms = vms.collect::<Vec<_>>();
    let sorted = |draw| {
        let mut ports = ports_for("a-1", draw, &vms, &[]);
        ports.sort_unstable();
        ports
    };
    assert_eq!(sorted(1).len(), 49);
    assert_eq!(sorted(1), sorted(2));
}

/// Of three VMs of a region, the first by name reads the list for all. When it falls silent, the
/// others must read the list themselves until they receive it again.
#[test]
fn one_vm_of_a_region_reads_the_list_and_others_take_over_when_it_is_silent() {
    let vms = ["1", "2", "3"].map(VmId::from);
    let mut readers = vms
        .clone()
        .map(|_| ListReaderElection::new(ms(1_000), Duration::ZERO));
    let reads = |readers: &[ListReaderElection], at| {
        let reads = readers.iter().zip(&vms);
        let reads = reads.filter(|(reader, vm)| reader.is_reader(ms(at), vm, &vms));
        reads.map(|(_, vm)| &**vm).collect::<String>()
    };
    assert_eq!(reads(&readers, 500), "1", "the others are to hear of it");
    assert_eq!(reads(&readers, 3_000), "123", "they hear nothing");
    readers[1].record_list_received(ms(3_000));
    readers[2].record_list_received(ms(3_000));
    assert_eq!(reads(&readers, 5_900), "1");
    assert_eq!(reads(&readers, 6_000), "123");
    readers[2].record_list_received(ms(6_100));
    assert_eq!(reads(&readers, 6_200), "12");
}

/// Three hundred VMs start together, and each has discovered only a few others. If each of them
/// read the list, its server, whose rate limit covers the whole fleet, would get hundreds of
/// requests.
#[test]
fn vms_that_start_together_do_not_all_read_the_list() {
    let vm = |vm: usize| VmId::from(format!("{vm:03}"));
    let mut readers = vec![ListReaderElection::new(ms(1_000), ms(0)); 300];
    // Each discovers another VM every 50 ms for three seconds, as small VMs that start together do.
    let met = |own: usize, at: u64| {
        let met = (at / 50).min(60) as usize;
        let others = (0..300).filter(move |other| *other == own || (own + other) % 61 < met);
        others.map(vm).collect::<Vec<_>>()
    };
    let mut reading = BTreeSet::new();
    for at in (0..2_900).step_by(50) {
        for (own, reader) in readers.iter_mut().enumerate() {
            let others = met(own, at);
            if reader.has_discovered_peers(ms(at), &others, true)
                && reader.is_reader(ms(at), &vm(own), &others)
            {
                reading.insert(own);
            }
        }
    }
    assert_eq!(reading, BTreeSet::new(), "who is first is not known yet");
    let all = (0..300).map(vm).collect::<Vec<_>>();
    for (own, reader) in readers.iter_mut().enumerate() {
        assert!(!reader.has_discovered_peers(ms(2_900), &all, true));
        assert!(reader.has_discovered_peers(ms(3_200), &all, true));
        reader.record_list_received(ms(2_900));
        assert_eq!(reader.is_reader(ms(3_200), &vm(own), &all), own == 0);
    }
    let mut alone = ListReaderElection::new(ms(1_000), ms(0));
    assert!(!alone.has_discovered_peers(ms(0), &[vm(7)], true));
    assert!(
        alone.has_discovered_peers(ms(500), &[vm(7)], true)
            && alone.is_reader(ms(500), &vm(7), &[vm(7)])
    );
}

/// The reader of a large region falls silent. Guards against a stampede: if all other VMs read the
/// list at once, its server answers none of them, and the list stays unknown for all.
#[rstest]
#[case(300)]
#[case(1_000)]
#[case(2_000)]
fn few_vms_read_the_list_when_its_reader_is_silent(#[case] count: usize) {
    const READERS_IN_TIME: usize = 4;
    let vms = (0..count).map(|vm| VmId::from(format!("{vm:04}")));
    let vms = vms.collect::<Vec<_>>();
    let election = ListReaderElection::new(ms(1_000), ms(0));
    let readers = |at| {
        let readers = vms.iter().skip(1);
        let readers = readers.filter(|vm| election.is_reader(ms(at), vm, &vms));
        readers.count()
    };
    assert_eq!(readers(2_999), 0);
    assert!((1..=READERS_IN_TIME).contains(&readers(3_000)));
    for second in 4..10 {
        let (before, now) = (readers(second * 1_000 - 1_000), readers(second * 1_000));
        assert!(now <= 2 * before + READERS_IN_TIME, "{before}, then {now}");
    }
    assert_eq!(readers(20_000), count - 1, "all in the end");
}

/// A list's server that refuses reads because it gets too many must get fewer of them.
#[test]
fn reads_that_fail_are_spaced_out() {
    let election = ListReaderElection::new(ms(1_000), ms(0));
    let delays = (0..40).map(|failures| election.next_read_delay(failures));
    let delays = delays.collect::<Vec<_>>();
    assert_eq!(delays[0], ms(1_000));
    assert!(delays.is_sorted());
    assert_eq!(delays[39], ms(4_000), "it is found again in time");
}

/// A VM that has met nobody knows nothing of who reads the list. Guards against a start of a large
/// fleet in which the first contacts take a second and each VM takes itself for the only one.
#[test]
fn a_vm_that_has_met_nobody_does_not_take_itself_for_the_reader() {
    let own = VmId::from("0001");
    let mut election = ListReaderElection::new(ms(1_000), ms(0));
    let others = [own.clone()];
    for at in (0..2_900).step_by(50) {
        assert!(!election.has_discovered_peers(ms(at), &others, false));
    }
    assert!(election.is_list_overdue(ms(3_000)), "it reads in the end");
    let others = [VmId::from("0000"), own.clone()];
    assert!(!election.has_discovered_peers(ms(3_000), &others, true));
    assert!(election.has_discovered_peers(ms(3_300), &others, true));
}
