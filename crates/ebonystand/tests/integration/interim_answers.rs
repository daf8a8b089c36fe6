//! Interim answers on the daemon's own API, through real processes.

use {
    crate::{
        answer::Answer,
        fleet::{CERTIFICATES, CHAT, FleetBuilder, KEY},
        orders::order_key,
        stand_in::StandIn,
        vm::Vm,
    },
    futures_util::future::join_all,
    rstest::rstest,
    std::{
        collections::BTreeSet,
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Callers, one after the other.
const CALLERS: u32 = 8;
/// Time between two callers.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time between an interim answer and the answer, in which others call.
const WORK: Duration = Duration::from_millis(250);
/// Begin of the name of a request.
const NAME: &str = "call-";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";
const WHOLE: &str =
    r#"{"model":"drafter","max_tokens":6,"messages":[{"role":"user","content":"NAME"}]}"#;
const STREAM: &str = r#"{"model":"drafter","max_tokens":6,"stream":true,"messages":[{"role":"user","content":"NAME"}]}"#;

/// An upstream that sends an interim answer at once, and the answer with the name of its request later.
#[derive(Clone, Default)]
struct Upstream {
    /// Names of the requests that came.
    began: Arc<Mutex<BTreeSet<String>>>,
    /// Requests that came on a connection on which an interim answer had been sent before.
    late: Arc<AtomicUsize>,
}

impl Upstream {
    fn start() -> (Self, SocketAddr) {
        let upstream = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = upstream.clone();
        thread::spawn(move || {
            for io in listener.incoming() {
                let state = state.clone();
                thread::spawn(move || state.converse(io.unwrap()));
            }
        });
        (upstream, address)
    }

    fn converse(&self, mut io: TcpStream) -> Option<()> {
        for n in 0.. {
            let text = read(&mut io)?;
            let name = text
                .split(NAME)
                .nth(1)?
                .chars()
                .take_while(char::is_ascii_digit);
            let name = format!("{NAME}{}", name.collect::<String>());
            self.began.lock().unwrap().insert(name.clone());
            if n > 0 {
                self.late.fetch_add(1, Ordering::SeqCst);
            }
            io.write_all(INTERIM.as_bytes()).ok()?;
            thread::sleep(WORK);
            let (kind, body) = match text.contains("/completions") {
                true => (
                    "text/event-stream",
                    format!("data: {name}\n\ndata: [DONE]\n\n"),
                ),
                false => ("text/plain", name),
            };
            let len = body.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\ncontent-length: {len}\r\n\r\n{body}"
            );
            io.write_all(answer.as_bytes()).ok()?;
        }
        None
    }
}

/// Reads a request.
fn read(io: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let name = "content-length: ";
            let len = head.lines().find_map(|line| line.strip_prefix(name));
            if body.len() >= len.map_or(0, |len| len.parse().unwrap()) {
                return Some(text);
            }
        }
        let mut chunk = [0; 4_096];
        let len = io.read(&mut chunk).ok().filter(|len| *len > 0)?;
        buf.extend_from_slice(&chunk[..len]);
    }
}

async fn ask(vm: &Vm, n: u32, method: &str, path: &str, body: &str) -> (String, Answer) {
    actix_rt::time::sleep(INTERVAL * n).await;
    let name = format!("{NAME}{n}");
    let key = order_key(&name);
    let headers = [
        ("x-ebonystand-order-key", &*key),
        ("x-ebonystand-deadline-ms", "3000"),
    ];
    let (path, body) = (path.replace("NAME", &name), body.replace("NAME", &name));
    let answer = vm.call_with(KEY, method, &path, &body, &headers).await;
    (name, answer)
}

/// Guards against a connection that is used again after an interim answer, on which a caller gets the answer to another one.
#[rstest]
#[case::call("GET", "/v1/services/registry/certificates/NAME", "")]
#[case::order("POST", CERTIFICATES, "NAME")]
#[case::stream("POST", CHAT, STREAM)]
#[case::completion("POST", CHAT, WHOLE)]
#[actix_rt::test]
async fn no_caller_gets_the_answer_to_another_after_an_interim_one(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let (upstream, address) = Upstream::start();
    let stand_in = StandIn { address };
    let builder = FleetBuilder::new().region("utara", 1);
    let builder = builder.engine_at(stand_in.clone()).registry_at(stand_in);
    let mut fleet = builder.start().await;
    let vm = &fleet.vms[0];
    let answers = join_all((0..CALLERS).map(|n| ask(vm, n, method, path, body))).await;
    let began = upstream.began.lock().unwrap().clone();
    for (name, answer) in &answers {
        println!("{name}: {} {}", answer.status, answer.body);
        let is_own = answer.status == 200 && answer.body.contains(name);
        let is_refused = answer.status >= 400;
        assert!(
            is_own || is_refused,
            "{name}: {} {}",
            answer.status,
            answer.body
        );
        let is_untrue = is_refused && answer.run() == "not_run" && began.contains(name);
        assert!(!is_untrue, "{name}: {}", answer.body);
    }
    assert!(!began.is_empty());
    assert_eq!(upstream.late.load(Ordering::SeqCst), 0);
    assert!(fleet.vms[0].running());
}
