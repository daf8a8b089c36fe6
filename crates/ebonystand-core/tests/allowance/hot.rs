//! Large prompts of an overloaded and a lightly used workspace on many VMs, with a load that moves
//! from region to region.

use super::*;

const HOT_RATE: Tokens = 2_700_000;
const HOT_BURST: Tokens = 5_300_000;
/// Time for which one region has most of the traffic.
const PEAK_LENGTH: Duration = Duration::from_secs(6);

/// Configuration of three regions with the workspaces `hot` and `quiet`, which have the same
/// limits.
fn two_workspaces() -> Document {
    let mut document = document();
    let workspace = document.workspaces.remove("w").expect("a workspace");
    for name in ["hot", "quiet"] {
        document.workspaces.insert(name.into(), workspace.clone());
    }
    set_rate(&mut document, HOT_RATE, HOT_BURST);
    let links = document.regions.values_mut();
    let links = links.flat_map(|region| region.links.values_mut());
    links.for_each(|link| link.delay_ms = 55);
    document
}

/// Draws the tokens of a request: most are short checks, a tenth are drafts of up to 60,000 tokens.
fn draw_tokens(fleet: &mut Fleet) -> Tokens {
    match fleet.draw_below(100) {
        0..10 => 4_000 + fleet.draw_below(120) * fleet.draw_below(120) * 4,
        10..78 => 1_500 + fleet.draw_below(2_000),
        _ => 200,
    }
}

/// Mean of [`draw_tokens`].
const MEAN_TOKENS: Tokens = 3_550;

/// Sends a millisecond's requests of one workspace at `percent` of its rate, five sixths of them to
/// the region at its peak.
fn send_requests(fleet: &mut Fleet, workspace: &str, percent: u64, vms: u64) {
    let second = HOT_RATE * percent / 100 / MEAN_TOKENS;
    let due = second / 1_000 + u64::from(fleet.draw_below(1_000) < second % 1_000);
    for _ in 0..due {
        let peak = fleet.now.as_millis() / PEAK_LENGTH.as_millis();
        let place = match fleet.draw_below(6) {
            0 => fleet.draw_below(3),
            _ => u64::try_from(peak % 3).expect("a small number"),
        };
        let region = ["a", "b", "c"][usize::try_from(place).expect("a small number")];
        let vm = format!("vm-{region}-{}", fleet.draw_below(vms));
        let tokens = draw_tokens(fleet);
        fleet.request(&vm, workspace, tokens, tokens);
    }
}

/// Counts the admitted tokens of a workspace, and its requests that were not admitted.
fn count_served(fleet: &Fleet, workspace: &str) -> (Tokens, usize) {
    let requests = || fleet.requests.iter().filter(|r| &*r.workspace == workspace);
    let admitted = requests().filter(|request| request.admitted.is_some());
    let refused = requests().filter(|request| request.admitted.is_none());
    (admitted.map(|request| request.used).sum(), refused.count())
}

/// Guards against refusals of a workspace whose rate is not used up: its tokens lie on VMs that
/// don't need them, in parts too small for a draft.
#[rstest]
#[case::vms_75(25)]
#[case::vms_300(100)]
fn a_hot_workspace_uses_its_rate(#[case] vms: u64) {
    let mut fleet = Fleet::new(&two_workspaces(), usize::try_from(vms).expect("few VMs"), 3);
    fleet.wait_limit = Some(Duration::from_millis(250));
    fleet.run(seconds(8));
    let start = fleet.now;
    while fleet.now < start + PEAK_LENGTH * 3 {
        send_requests(&mut fleet, "hot", 150, vms);
        send_requests(&mut fleet, "quiet", 33, vms);
        fleet.run(Duration::from_millis(1));
    }
    fleet.run(seconds(1));
    let bounds = [bound(HOT_RATE, HOT_BURST)];
    assert_eq!(check_windows(&fleet.requests, "hot", &bounds), Ok(()));
    let (hot, refused) = count_served(&fleet, "hot");
    let (_, quiet) = count_served(&fleet, "quiet");
    let share = (hot - HOT_BURST) * 100 / (HOT_RATE * (PEAK_LENGTH * 3).as_secs());
    let bytes = fleet.bytes.values().max().copied().unwrap_or(0) as u64 / fleet.now.as_secs();
    let all: usize = fleet.bytes.values().sum();
    let mean = all as u64 / (3 * vms) / fleet.now.as_secs();
    println!(
        "{vms} VMs a region: hot {share} % of its rate, {refused} refused; quiet {quiet} refused; bytes a second and VM {mean}, busiest {bytes}"
    );
    assert!(share >= 95);
    assert!(quiet < 10);
}
