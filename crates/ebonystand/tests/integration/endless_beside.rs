//! Answers without end beside sound requests, at a VM as small as a front one, through real processes.

use {
    crate::{
        endless::{
            self, Answer, CHUNK_EXTENSION, CHUNKS, EVENT, Endless, FAILURE, HEADERS, INTERIM, Pace,
            UNFRAMED, Upstream,
        },
        fleet::Fleet,
        routes::{Setting, echo, served},
        scripted::Scripted,
        slow_readers,
    },
    futures_util::future::{join, join_all},
    rstest::rstest,
    serde_json::json,
    std::{cell::Cell, net::SocketAddr, sync::atomic::Ordering, time::Duration},
};

/// Callers that ask for answers without end at a time.
const CALLERS: usize = 150;
/// Callers beside them, each with one request at a time.
const SOUND_CALLERS: usize = 8;
/// Fewest sound requests of each of these callers.
const MIN_SOUND: usize = 10;
/// Memory of the VM, in MB.
const MEMORY_MB: u64 = 260;
/// Memory by which the process may grow, in bytes: answers that are read whole may take 15% of the VM's, and those that
/// wait for slow readers 30%.
const MAX_GROWTH: u64 = MEMORY_MB * 450_000;
/// Part of a core that the VM has.
const PROCESSOR_SHARE: f64 = 0.25;
const ROUTES: [&str; 3] = ["/look/endless", "/once/endless", "/stream/endless"];
const PATHS: [&str; 4] = [
    ROUTES[0],
    ROUTES[1],
    ROUTES[2],
    "/v1/services/orders/endless",
];

/// What callers of answers without end do with them.
#[derive(Clone, Copy)]
enum Reading {
    All,
    Nothing,
}

/// A VM before an upstream at `faulty` and perhaps a sound one.
async fn start(faulty: SocketAddr, has_sound: bool) -> Fleet {
    let mut upstreams = vec![Scripted::start(echo).at(faulty)];
    if has_sound {
        upstreams.push(Scripted::start(echo));
    }
    let mut setting = Setting::new(vec![("a", upstreams)]);
    setting.resources = json!({"memory_mb": MEMORY_MB, "processor_share": PROCESSOR_SHARE});
    endless::start_with(setting).await
}

/// Sends one sound request after another until `is_over`.
async fn ask_soundly(fleet: &Fleet, caller: usize, is_over: &Cell<bool>) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !is_over.get() || answers.len() < MIN_SOUND {
        let name = format!("sound-{caller}-{}", answers.len());
        answers.push(Answer::read(&fleet.vms[0], "/look/sound", &name).await);
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    answers
}

/// Has callers ask for answers without end, all at once and twice, while others ask for sound ones.
/// Returns the answers of the former, those of the latter, and by how many bytes the process grew.
async fn ask(fleet: &Fleet, reading: Reading) -> (Vec<Answer>, Vec<Answer>, u64) {
    let vm = &fleet.vms[0];
    let is_over = Cell::new(false);
    let endless = async {
        let mut all = Vec::new();
        for round in 0..2 {
            match reading {
                Reading::All => {
                    let answers = (0..CALLERS).map(|n| async move {
                        Answer::read(vm, PATHS[n % PATHS.len()], &format!("endless-{round}-{n}"))
                            .await
                    });
                    all.extend(join_all(answers).await);
                }
                Reading::Nothing => {
                    let callers = (0..CALLERS).map(|n| {
                        slow_readers::read_nothing(
                            vm,
                            ROUTES[n % ROUTES.len()],
                            round * CALLERS + n,
                        )
                    });
                    let callers = join_all(callers).await;
                    actix_rt::time::sleep(Duration::from_millis(1_000)).await;
                    drop(callers);
                }
            }
        }
        is_over.set(true);
        all
    };
    let sound = (0..SOUND_CALLERS).map(|caller| ask_soundly(fleet, caller, &is_over));
    let both = join(endless, join_all(sound));
    let ((endless, sound), grown) = endless::watch(fleet, both).await;
    (endless, sound.into_iter().flatten().collect(), grown)
}

/// Guards against answers without end that cost the callers of sound ones theirs.
#[rstest]
#[case::interim_answers(INTERIM)]
#[case::chunk_extension(CHUNK_EXTENSION)]
#[case::unframed(UNFRAMED)]
#[case::chunks(CHUNKS)]
#[actix_rt::test]
async fn sound_requests_beside_answers_without_end_are_answered(
    #[case] endless: Endless,
    #[values(Reading::All, Reading::Nothing)] reading: Reading,
    #[values(true, false)] has_sound_upstream: bool,
) {
    let (upstream, address) = Upstream::start(endless, Pace::Full);
    let mut fleet = start(address, has_sound_upstream).await;
    let (answers, sound, grown) = ask(&fleet, reading).await;
    let refused = sound.iter().filter(|answer| answer.status() != 200).count();
    println!(
        "{} sound requests, {refused} refused, {} answers without end begun, grown by {grown} bytes",
        sound.len(),
        upstream.begun.load(Ordering::SeqCst)
    );
    for answer in &sound {
        assert!(answer.looks_whole(), "{answer:?}");
        let reason = String::from_utf8_lossy(&answer.end);
        let is_refused = answer.status() == 503 && reason.contains("not_run");
        let is_answered = answer.status() == 200 && reason == "served";
        assert!(is_answered || is_refused, "{} {reason}", answer.head);
        if is_refused {
            println!("{} {reason}", answer.head);
        }
    }
    for answer in &answers {
        let is_served = answer.status() == 200 && has_sound_upstream;
        let is_told = answer.status() >= 500 || !answer.looks_whole();
        assert!(
            is_told || is_served,
            "{} {:?}",
            answer.status(),
            answer.head
        );
        assert!(!answer.head.is_empty() || is_told, "{answer:?}");
    }
    endless::wait_until_closed(&upstream, &fleet).await;
    assert!(upstream.begun.load(Ordering::SeqCst) > 0);
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    assert!(fleet.vms[0].running());
    served(&fleet.vms[0], "/look/after").await;
}

/// Guards against callers that keep a relay without end by reading nothing of it.
#[rstest]
#[actix_rt::test]
async fn relays_without_end_to_callers_that_read_nothing_are_broken_off(
    #[values(UNFRAMED, CHUNKS, EVENT)] endless: Endless,
) {
    let (upstream, address) = Upstream::start(endless, Pace::Full);
    let mut fleet = start(address, false).await;
    let vm = &fleet.vms[0];
    let callers = (0..CALLERS).map(|n| slow_readers::read_nothing(vm, ROUTES[n % ROUTES.len()], n));
    let (callers, grown) = endless::watch(&fleet, async {
        let callers = join_all(callers).await;
        endless::wait_until_closed(&upstream, &fleet).await;
        callers
    })
    .await;
    println!("grown by {grown} bytes");
    assert!(upstream.begun.load(Ordering::SeqCst) > 0);
    assert!(grown < MAX_GROWTH, "grown by {grown} bytes");
    served(&fleet.vms[0], "/look/after").await;
    drop(callers);
    assert!(fleet.vms[0].running());
}

/// Guards against answers without end that come over another VM and harm either of the two.
#[rstest]
#[case::headers(HEADERS)]
#[case::interim_answers(INTERIM)]
#[case::chunk_extension(CHUNK_EXTENSION)]
#[case::unframed(UNFRAMED)]
#[case::chunks(CHUNKS)]
#[case::event(EVENT)]
#[case::failure(FAILURE)]
#[actix_rt::test]
async fn answers_without_end_over_another_vm_are_given_up(
    #[case] endless: Endless,
    #[values(Pace::Full, Pace::Trickle)] pace: Pace,
    #[values("/look/endless", "/once/endless", "/stream/endless")] path: &str,
) {
    let (upstream, address) = Upstream::start(endless, pace);
    let away = Scripted::start(echo).at(address);
    let mut setting = Setting::new(vec![("a", Vec::new()), ("b", vec![away])]);
    setting.resources = json!({"memory_mb": endless::MEMORY_MB});
    let mut fleet = endless::start_with(setting).await;
    let vm = &fleet.vms[0];
    let names = (0..endless::CALLERS).map(|n| format!("endless-{n}"));
    let names = names.collect::<Vec<_>>();
    let answers = join_all(names.iter().map(|name| Answer::read(vm, path, name)));
    let (answers, grown) = endless::watch(&fleet, answers).await;
    println!("grown by {grown} bytes");
    for answer in &answers {
        let is_told = answer.status() >= 500 || !answer.looks_whole();
        assert!(is_told && !answer.head.is_empty(), "{answer:?}");
    }
    endless::wait_until_closed(&upstream, &fleet).await;
    assert!(upstream.begun.load(Ordering::SeqCst) > 0);
    assert!(grown < endless::MAX_GROWTH, "grown by {grown} bytes");
    for vm in &mut fleet.vms {
        assert!(vm.running());
    }
    for vm in &fleet.vms {
        served(vm, "/look/after").await;
    }
}
