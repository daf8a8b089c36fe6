//! Software versions of upstreams: which ones may get a request, and what the lists tell of streams.

use {super::*, rstest::rstest};

/// Longest life of a stream.
const LIFETIME: Duration = Duration::from_secs(15);
/// Time between two reads of the list.
const INTERVAL: Duration = Duration::from_secs(1);

fn of_version(instance: &str, zone: &str, software: &str) -> ListedUpstream {
    let port = u16::from(instance.as_bytes()[1]);
    ListedUpstream {
        software: software.into(),
        ..listed(instance, zone, port)
    }
}

fn leaving(upstream: ListedUpstream) -> ListedUpstream {
    ListedUpstream {
        leaving: true,
        ..upstream
    }
}

fn with_software<'a>(sets: &'a Sets, software: SoftwareRule<'a>) -> ChoiceQuery<'a> {
    ChoiceQuery {
        software,
        ..sets.query(None)
    }
}

fn reachable(region: &str) -> Sets {
    Sets {
        reachable: [region.into()].into(),
        ..Sets::default()
    }
}

/// Guards against a stream that goes on at another version because its own is busy, tried or gone.
#[rstest]
#[case::here("v2", &[], Some("u2"))]
#[case::tried("v2", &["u2"], None)]
#[case::unknown("v9", &[], None)]
fn a_stream_goes_on_at_its_version_only(
    #[case] software: &str,
    #[case] excluded: &[&str],
    #[case] expected: Option<&str>,
) {
    let book = book(vec![
        of_version("u1", "a-1", "v1"),
        of_version("u2", "a-1", "v2"),
        of_version("u3", "a-2", "v1"),
    ]);
    let sets = Sets {
        excluded: excluded.iter().map(|name| (*name).into()).collect(),
        ..Sets::default()
    };
    let query = with_software(&sets, SoftwareRule::Only(software));
    let choice = book.choose_target(ms(10_000), &query);
    assert_eq!(instance(&choice), expected, "{choice:?}");
    if expected.is_none() {
        assert!(
            matches!(choice, TargetChoice::Unavailable { .. }),
            "{choice:?}"
        );
    }
}

/// Guards against a resumption that is refused, or sent to a region without the version, because this one has none of it.
#[rstest]
#[case::in_the_other_region("v2", true)]
#[case::nowhere("v3", false)]
fn a_stream_goes_on_in_the_region_that_has_its_version(#[case] software: &str, #[case] goes: bool) {
    let book = book(vec![
        of_version("u1", "a-1", "v1"),
        of_version("u2", "b-1", "v2"),
    ]);
    let sets = reachable("b");
    let query = with_software(&sets, SoftwareRule::Only(software));
    let choice = book.choose_target(ms(10_000), &query);
    assert_eq!(
        matches!(choice, TargetChoice::Forward { .. }),
        goes,
        "{choice:?}"
    );
}

/// Guards against streams that cannot go on though the last upstreams of their version still serve.
#[rstest]
#[case::early(500, SoftwareRule::Only("v1"), false, Some("u1"))]
#[case::late(1_500, SoftwareRule::Only("v1"), false, None)]
#[case::another_stays(500, SoftwareRule::Only("v1"), true, Some("u3"))]
#[case::new_requests(500, SoftwareRule::Any, false, Some("u2"))]
fn a_stream_goes_on_at_the_last_of_its_version_as_it_leaves(
    #[case] after_ms: u64,
    #[case] software: SoftwareRule,
    #[case] another_stays: bool,
    #[case] expected: Option<&str>,
) {
    let mut upstreams = vec![of_version("u1", "a-1", "v1"), of_version("u2", "a-1", "v2")];
    if another_stays {
        upstreams.push(of_version("u3", "a-1", "v1"));
    }
    let mut book = book(upstreams);
    let left_at = ms(10_000);
    book.change_list(left_at, vec![leaving(of_version("u1", "a-1", "v1"))], &[]);
    let sets = Sets::default();
    let query = with_software(&sets, software);
    let choice = book.choose_target(left_at + ms(after_ms), &query);
    assert_eq!(instance(&choice), expected, "{choice:?}");
}

/// Guards against streams at a version that other VMs do not know yet.
#[test]
fn a_new_version_gets_no_stream_until_all_vms_know_it() {
    let mut book = book(vec![of_version("u1", "a-1", "v1")]);
    let seen_at = ms(60_000);
    book.change_list(seen_at, vec![of_version("u2", "a-1", "v2")], &[]);
    let sets = Sets {
        excluded: vec!["u1".into()],
        ..Sets::default()
    };
    let chosen = |book: &UpstreamBook, after_ms, rule| {
        let query = with_software(&sets, rule);
        let choice = book.choose_target(seen_at + ms(after_ms), &query);
        instance(&choice).map(str::to_owned)
    };
    // Upstreams that have just come are cold, which is another matter.
    let warm = |rule| chosen(&book, 2_900, rule);
    assert_eq!(warm(SoftwareRule::Known), None);
    assert_eq!(warm(SoftwareRule::Any).as_deref(), Some("u2"));
    assert_eq!(
        chosen(&book, 3_000, SoftwareRule::Known).as_deref(),
        Some("u2")
    );
    book.change_list(seen_at, Vec::new(), &["u1".into()]);
    assert_eq!(
        chosen(&book, 2_900, SoftwareRule::Known).as_deref(),
        Some("u2")
    );
}

/// Guards against streams at a version that is new to the other VMs and was on the first list of this one.
#[rstest]
#[case::nobody_told(&[], 2_900, &[])]
#[case::nobody_told_later(&[], 3_000, &["v1", "v2"])]
#[case::told(&["v1"], 0, &["v1"])]
#[case::told_later(&["v1"], 3_000, &["v1", "v2"])]
#[case::told_of_one_that_is_gone(&["v0"], 2_900, &[])]
fn a_vm_that_has_just_started_begins_streams_at_versions_that_all_vms_know(
    #[case] told: &[&str],
    #[case] after_ms: u64,
    #[case] expected: &[&str],
) {
    let started_at = ms(60_000);
    let mut history = SoftwareHistory::new(INTERVAL);
    let service = ServiceId::from("s");
    let listed = ["v1", "v2"].map(SoftwareVersion::from);
    history.record_list(
        started_at,
        listed.iter().map(|software| (&service, software)),
    );
    for software in told {
        history.record_known(started_at, "s", software);
    }
    let now = started_at + ms(after_ms);
    let known = listed
        .iter()
        .filter(|software| history.may_begin(now, "s", software));
    assert_eq!(
        known.map(|software| &**software).collect::<Vec<_>>(),
        expected
    );
}

/// Guards against a VM that tells as known what it has seen for a moment only.
#[test]
fn a_vm_tells_which_versions_all_vms_know() {
    let mut book = book(vec![of_version("u1", "a-1", "v1")]);
    book.change_list(ms(60_000), vec![of_version("u2", "a-1", "v2")], &[]);
    let known = |after_ms: u64| {
        let known = book.known_software(ms(60_000 + after_ms)).into_iter();
        let mut known = known.map(|(_, software)| software).collect::<Vec<_>>();
        known.sort_unstable();
        known
    };
    assert_eq!(known(2_900), ["v1".into()]);
    assert_eq!(known(3_000), ["v1".into(), "v2".into()]);
}

/// Guards against a server that comes back under its name with other software and keeps what was believed of it.
#[test]
fn an_upstream_with_other_software_is_another_one() {
    let mut book = book(vec![of_version("u1", "a-1", "v1")]);
    let sets = Sets::default();
    let query = with_software(&sets, SoftwareRule::Any);
    for _ in 0..8 {
        book.record_sent(ms(1_000), &query, "u1", 0);
    }
    book.change_list(ms(2_000), vec![of_version("u1", "a-1", "v2")], &[]);
    let choice = book.choose_target(ms(10_000), &with_software(&sets, SoftwareRule::Only("v2")));
    assert_eq!(instance(&choice), Some("u1"), "{choice:?}");
    let before = with_software(&sets, SoftwareRule::Only("v1"));
    assert_eq!(instance(&book.choose_target(ms(10_000), &before)), None);
}

/// Times at which the platform's list changes, and the versions that it shows from then on.
type Course = &'static [(u64, &'static str)];

/// Plays the reads of a VM's lists, each of which is `lag_ms` behind, and returns its history at `end_ms`.
fn history(
    course: Course,
    lag_ms: u64,
    phase_ms: u64,
    gap: Option<(u64, u64)>,
    end_ms: u64,
) -> SoftwareHistory {
    let mut history = SoftwareHistory::new(INTERVAL);
    let service = ServiceId::from("s");
    let mut shown: Option<Vec<SoftwareVersion>> = None;
    for at in (phase_ms..=end_ms).step_by(INTERVAL.as_millis() as usize) {
        if gap.is_some_and(|(from, to)| (from..to).contains(&at)) {
            continue;
        }
        let read = at.saturating_sub(lag_ms);
        let versions = course.iter().rev().find(|(from, _)| *from <= read);
        let versions = versions.map_or("", |(_, versions)| versions);
        let versions = versions.split(' ').map(SoftwareVersion::from);
        let versions = versions.collect::<Vec<_>>();
        if shown.as_ref() != Some(&versions) {
            history.record_list(ms(at), versions.iter().map(|version| (&service, version)));
        }
        history.record_confirmation(ms(at), ms(at));
        shown = Some(versions);
    }
    history
}

/// Guards against a conclusion from lists that were stale, had a gap, or have shown another version lately.
#[rstest]
#[case::settled(&[(0, "v1")], None, 60_000, Some("v1"))]
#[case::just_started(&[(0, "v1")], None, 17_000, None)]
#[case::stale(&[(0, "v1")], Some((58_000, 70_000)), 60_000, None)]
#[case::gap(&[(0, "v1")], Some((50_000, 53_000)), 60_000, None)]
#[case::two(&[(0, "v1"), (58_500, "v1 v2")], None, 60_000, None)]
#[case::gone_lately(&[(0, "v1 v2"), (50_000, "v2")], None, 60_000, None)]
#[case::gone_for_long(&[(0, "v1 v2"), (30_000, "v2")], None, 60_000, Some("v2"))]
fn the_only_version_is_concluded_from_current_lists(
    #[case] course: Course,
    #[case] gap: Option<(u64, u64)>,
    #[case] at_ms: u64,
    #[case] expected: Option<&str>,
) {
    let history = history(course, 0, 0, gap, at_ms);
    let only = history.only_version(ms(at_ms), "s", LIFETIME);
    assert_eq!(only.map(|only| &**only), expected);
}

/// Guards against a version that is forgotten while streams which began at it can still be taken up.
#[rstest]
#[case::by_the_oldest_stream(602_000, None)]
#[case::by_none(604_000, Some("v2"))]
fn a_version_counts_as_long_as_its_streams_can_be_taken_up(
    #[case] after_ms: u64,
    #[case] expected: Option<&str>,
) {
    const RELEASE: u64 = 10_000;
    let history = history(
        &[(0, "v1"), (RELEASE, "v2")],
        0,
        0,
        None,
        RELEASE + after_ms,
    );
    let at = ms(RELEASE + after_ms);
    let only = history.only_version(at, "s", StreamOrigin::MAX_STREAM_AGE);
    assert_eq!(only.map(|only| &**only), expected);
}

/// Guards against a VM that concludes another version than the one at which a VM with an older or newer list began.
#[test]
fn no_two_vms_differ_on_where_a_stream_can_have_begun() {
    const RELEASE: u64 = 60_000;
    let courses: [Course; 5] = [
        &[(0, "v1"), (10_000, "v2"), (RELEASE, "v1 v2")],
        &[(0, "v1"), (RELEASE, "v1 v2")],
        &[(0, "v1"), (RELEASE, "v2")],
        &[(0, "v1"), (RELEASE, "v1 v2"), (RELEASE + 5_000, "v2")],
        &[(0, "v1"), (RELEASE, "v1 v2"), (RELEASE + 4_000, "v1")],
    ];
    let mut concluded = 0;
    for course in courses {
        for (lag_ms, phase_ms) in [(0, 0), (0, 900), (400, 300), (800, 0), (800, 500)] {
            for begun_ms in (RELEASE - 2_000..RELEASE + 12_000).step_by(100) {
                let begins = history(course, lag_ms, phase_ms, None, begun_ms);
                let listed = begins.listed().map(|(_, software)| software.clone());
                let may_begin =
                    listed.filter(|software| begins.may_begin(ms(begun_ms), "s", software));
                let may_begin = may_begin.collect::<Vec<_>>();
                for (other_lag, other_phase) in [(0, 0), (800, 500), (800, 900)] {
                    let resumed_ms = begun_ms + 50;
                    let resumes = history(course, other_lag, other_phase, None, resumed_ms);
                    let Some(only) = resumes.only_version(ms(resumed_ms), "s", LIFETIME) else {
                        continue;
                    };
                    // An upstream that is off the list has ended and goes on with nothing.
                    let listed = course.iter().rev().find(|(from, _)| *from <= resumed_ms);
                    if !listed.is_some_and(|(_, listed)| listed.contains(&**only)) {
                        continue;
                    }
                    concluded += 1;
                    assert!(
                        may_begin.iter().all(|software| software == only),
                        "begun at {begun_ms} ms at one of {may_begin:?}, taken up at {only} ({course:?})"
                    );
                }
            }
        }
    }
    assert!(concluded > 500, "{concluded}");
}
