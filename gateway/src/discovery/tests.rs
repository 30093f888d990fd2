//! A bus that is up and tells nothing of use: what it says is the test's, byte by byte. Only the follower's own clock runs.

use std::net::TcpListener;

use async_executor::LocalExecutor;

use super::*;

/// Wide enough for the slowest machine; nothing waits this long unless it has failed.
const WAIT: Duration = Duration::from_secs(30);

struct Played {
    executor: LocalExecutor<'static>,
    listener: TcpListener,
    told: Rc<Cell<usize>>,
}

impl Played {
    /// A follower that knows event 5.
    fn new() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let place = Rc::new(DiscoverySource::new(listener.local_addr().unwrap(), false));
        let mut bus = DiscoveryClient::new(NameTable::default(), Rc::default(), place);
        bus.last = 5;
        let (executor, told) = (LocalExecutor::new(), Rc::new(Cell::new(0)));
        let count = Rc::clone(&told);
        executor
            .spawn(async move {
                bus.follow(&mut |_, listed| count.set(count.get() + listed.len()))
                    .await
            })
            .detach();
        Played {
            executor,
            listener,
            told,
        }
    }

    /// Lets the follower run until something is there.
    fn until<T>(&self, what: &str, mut found: impl FnMut() -> Option<T>) -> T {
        let end = Instant::now() + WAIT;
        async_io::block_on(self.executor.run(async {
            loop {
                if let Some(found) = found() {
                    return found;
                }
                assert!(Instant::now() < end, "never: {what}");
                future::yield_now().await;
            }
        }))
    }

    fn accepts(&self) -> TcpStream {
        let stream = self.until("it connects", || self.listener.accept().ok()).0;
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// What the follower asks as it connects.
    fn hello(&self, stream: &mut TcpStream) -> String {
        let mut got = Vec::new();
        self.until("it says from where", || {
            let mut chunk = [0; 64];
            let n = stream.read(&mut chunk).unwrap_or(0);
            got.extend_from_slice(&chunk[..n]);
            got.ends_with(b"\n")
                .then(|| String::from_utf8(got.clone()).unwrap())
        })
    }

    /// Says the same again and again until the follower connects anew.
    fn says_until_it_leaves(&self, stream: &mut TcpStream, bytes: &[u8]) -> TcpStream {
        let mut said = Instant::now();
        self.until("it leaves a bus that says nothing of use", || {
            // Not without pause: what is read must not look like one long line.
            if said.elapsed() > Duration::from_millis(50) {
                let _ = stream.write(bytes);
                said = Instant::now();
            }
            self.listener.accept().ok().map(|a| a.0)
        })
    }
}

const EVENT: &str = r#"{"offset":6,"topology":{"full":false,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"terminating"}]}}"#;

/// A watch from which bytes trickle, and never a whole line: it is left as one that is silent, and asked anew. It was kept
/// for ever, since each byte counted as a sign, and a drain told meanwhile was not heard.
#[test]
fn a_watch_that_trickles_is_left() {
    let played = Played::new();
    let mut first = played.accepts();
    assert_eq!(played.hello(&mut first), "from 5\n");
    let mut second = played.says_until_it_leaves(&mut first, b" ");
    second.set_nonblocking(true).unwrap();
    assert_eq!(played.hello(&mut second), "from 5\n");
    second.write_all(format!("{EVENT}\n").as_bytes()).unwrap();
    played.until("the drain is told", || {
        (played.told.get() == 1).then_some(())
    });
}

/// A bus that stands behind what is known here says lines, and none that would hold what is new: it is left, too.
#[test]
fn a_watch_that_stands_behind_is_left() {
    let played = Played::new();
    let mut first = played.accepts();
    assert_eq!(played.hello(&mut first), "from 5\n");
    let mut second = played.says_until_it_leaves(&mut first, b"4\n");
    second.set_nonblocking(true).unwrap();
    assert_eq!(played.hello(&mut second), "from 5\n");
}

/// Which lines show that nothing new is missing: the number that is known, and news; neither a lower number, nor an event
/// that is known, nor what can't be read.
#[test]
fn only_lines_of_use_are_signs() {
    let place = Rc::new(DiscoverySource::new(([127, 0, 0, 1], 1).into(), false));
    let mut bus = DiscoveryClient::new(NameTable::default(), Rc::default(), place);
    bus.last = 5;
    let mut told = 0;
    let mut line = |line: &str| bus.line(line.as_bytes(), &mut |_, listed| told += listed.len());
    assert_eq!(
        [line("5"), line("4"), line("0")],
        [Ok(true), Ok(false), Ok(false)]
    );
    assert!(line("6").is_err() && line("{}").is_err() && line("").is_err());
    assert_eq!(
        [line(EVENT), line(EVENT), line("6"), line("5")],
        [Ok(true), Ok(false), Ok(true), Ok(false)]
    );
    assert_eq!(told, 1);
}
