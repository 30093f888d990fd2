//! What lies between members: a link for each direction, which can be cut. What is sent into a cut is lost, as on a
//! network, and a connection that lost bytes is broken once the cut is over.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// How soon a cut is noticed by a connection that is silent.
const LOOK: Duration = Duration::from_millis(10);

struct Link {
    listen: SocketAddr,
    cut: Arc<AtomicBool>,
}

/// Links between members, by who sends and who is sent to.
pub struct Mesh {
    links: BTreeMap<(u64, u64), Link>,
    over: Arc<AtomicBool>,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
    }
}

impl Mesh {
    /// Links between all these members, which listen at these addresses.
    ///
    /// # Errors
    ///
    /// The machine gives no address.
    pub fn new(members: &BTreeMap<u64, SocketAddr>) -> Result<Self> {
        let over = Arc::new(AtomicBool::new(false));
        let mut links = BTreeMap::new();
        for from in members.keys() {
            for (to, addr) in members.iter().filter(|(to, _)| *to != from) {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                listener.set_nonblocking(true)?;
                let listen = listener.local_addr()?;
                let cut = Arc::new(AtomicBool::new(false));
                let (addr, cut_here, over) = (*addr, Arc::clone(&cut), Arc::clone(&over));
                std::thread::spawn(move || accept(&listener, addr, &cut_here, &over));
                links.insert((*from, *to), Link { listen, cut });
            }
        }
        Ok(Mesh { links, over })
    }

    /// Where a member reaches the others.
    #[must_use]
    pub fn seen_from(&self, member: u64) -> BTreeMap<u64, SocketAddr> {
        let own = self.links.iter().filter(|((from, _), _)| *from == member);
        own.map(|((_, to), link)| (*to, link.listen)).collect()
    }

    /// Cuts one direction, or ends the cut.
    pub fn cut(&self, from: u64, to: u64, cut: bool) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.cut.store(cut, SeqCst);
        }
    }

    /// Cuts a member off from all others in both directions, or ends that.
    pub fn isolate(&self, member: u64, cut: bool) {
        for ((from, to), link) in &self.links {
            if *from == member || *to == member {
                link.cut.store(cut, SeqCst);
            }
        }
    }
}

fn accept(listener: &TcpListener, to: SocketAddr, cut: &Arc<AtomicBool>, over: &Arc<AtomicBool>) {
    while !over.load(SeqCst) {
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(LOOK);
            continue;
        };
        // Into a cut a connection may come up, and nothing comes of it.
        let far = if cut.load(SeqCst) {
            None
        } else {
            TcpStream::connect(to).ok()
        };
        let Some(far) = far else {
            let (cut, over) = (Arc::clone(cut), Arc::clone(over));
            std::thread::spawn(move || {
                while cut.load(SeqCst) && !over.load(SeqCst) {
                    std::thread::sleep(LOOK);
                }
                drop(near);
            });
            continue;
        };
        for (a, b) in [(near.try_clone(), far.try_clone()), (Ok(far), Ok(near))] {
            let (Ok(a), Ok(b)) = (a, b) else { continue };
            let (cut, over) = (Arc::clone(cut), Arc::clone(over));
            std::thread::spawn(move || pass(a, b, &cut, &over));
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool, over: &AtomicBool) {
    let _ = (
        from.set_nodelay(true),
        to.set_nodelay(true),
        from.set_nonblocking(false),
    );
    let _ = from.set_read_timeout(Some(LOOK));
    let mut chunk = vec![0; 64 * 1024];
    let mut lost = false;
    while !over.load(SeqCst) {
        let isolated = cut.load(SeqCst);
        if lost && !isolated {
            break;
        }
        match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(_) if isolated => lost = true,
            Ok(n) => {
                if to.write_all(chunk.get(..n).unwrap_or_default()).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
