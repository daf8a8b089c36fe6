//! No window exceeds burst + rate × time, whatever fails.

use super::*;

/// Injects a random fault, recovery or configuration change; the larger `event_range`, the more
/// rarely.
fn inject_fault(fleet: &mut Fleet, vms: &[VmId], event_range: u64, bounds: &mut Vec<Bound>) {
    let one = vms[fleet.draw_below(vms.len() as u64) as usize].clone();
    let two = vms[fleet.draw_below(vms.len() as u64) as usize].clone();
    match fleet.draw_below(event_range) {
        0 => fleet.crash(&one),
        1..=9 => fleet.start(&one),
        10 => fleet.freeze(&one, true),
        11..=19 => fleet.freeze(&one, false),
        20 => fleet.cut(&one, &two),
        21 => fleet.cut.clear(),
        22 => {
            fleet.noise = Noise {
                doubled_permille: fleet.draw_below(300) as u32,
                jitter_ms: fleet.draw_below(500),
                lost_permille: fleet.draw_below(300) as u32,
            };
        }
        23 => fleet.noise = Noise::default(),
        24 => change_configuration(fleet, bounds),
        _ => {}
    }
}

/// Publishes a change of rate and burst, of holders and residency, or of the residency alone.
fn change_configuration(fleet: &mut Fleet, bounds: &mut Vec<Bound>) {
    let (rate, burst) = (200 + fleet.draw_below(2_000), 100 + fleet.draw_below(400));
    let holder = fleet.draw_below(3);
    let leaves: RegionId = ["a", "b", "c"][fleet.draw_below(3) as usize].into();
    let kind = fleet.draw_below(5);
    let mut document = fleet.document.clone();
    document.version += 1;
    if let Some(workspace) = document.workspaces.get_mut("w") {
        match kind {
            0 => (workspace.rate, workspace.burst) = (rate, burst),
            1 => workspace.residency = document.regions.keys().cloned().collect(),
            _ => workspace
                .residency
                .retain(|id| *id != leaves || workspace.home == leaves),
        }
        bounds.push(Bound {
            burst: workspace.burst,
            from: fleet.now,
            rate: workspace.rate,
        });
    }
    if kind == 1
        && let Some(region) = document.regions.get_mut(&leaves)
    {
        region.holders = vec![format!("vm-{leaves}-{holder}").into()];
    }
    fleet.publish(document);
}

/// Sends a request to a random VM; half of them use less than they reserve.
fn send_request(fleet: &mut Fleet, vms: &[VmId]) {
    let vm = vms[fleet.draw_below(vms.len() as u64) as usize].clone();
    let tokens = 1 + fleet.draw_below(60);
    let used = tokens - fleet.draw_below(2) * fleet.draw_below(tokens);
    let lasts = Duration::from_millis(fleet.draw_below(2_000));
    fleet.request_lasting(&vm, "w", tokens, used, lasts);
}

/// No combination of faults may make a window exceed its bound. VMs crash, restart, freeze and lose
/// links, messages are lost, duplicated and delayed, and the configuration changes, while requests
/// come at several times the rate. An observer that knows only what was admitted checks every
/// window.
#[rstest]
#[case::without_faults(u64::MAX)]
#[case::calm(6_400)]
#[case::restless(1_600)]
#[case::stormy(400)]
#[case::wild(100)]
fn no_window_exceeds_burst_and_rate(#[case] event_range: u64) {
    let seeds = std::env::var("SEEDS").map_or(15, |seeds| seeds.parse().expect("a number"));
    let (mut admitted, mut tokens) = (0, 0);
    for seed in 0..seeds {
        let mut document = document();
        set_rate(&mut document, RATE, 300);
        let mut fleet = Fleet::new(&document, 3, seed);
        let mut bounds = vec![bound(RATE, 300)];
        let vms: Vec<VmId> = fleet.nodes.keys().cloned().collect();
        while fleet.now < seconds(45) {
            inject_fault(&mut fleet, &vms, event_range, &mut bounds);
            send_request(&mut fleet, &vms);
            let wait = 1 + fleet.draw_below(8);
            fleet.run(Duration::from_millis(wait));
        }
        let checked = check_windows(&fleet.requests, "w", &bounds);
        assert_eq!(checked, Ok(()), "replay with SEEDS={}", seed + 1);
        let served = fleet
            .requests
            .iter()
            .filter(|request| request.admitted.is_some());
        admitted += served.clone().count();
        tokens += served.map(|request| request.used).sum::<Tokens>();
    }
    println!("{seeds} seeds: {admitted} requests with {tokens} tokens, no window exceeded");
}
