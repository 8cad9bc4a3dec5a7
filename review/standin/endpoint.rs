//! A small endpoint by the pages: it serves one request at a time per connection, sends heartbeats, keeps what it ran.

use super::*;
use std::io::BufRead;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// One request that began at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub endpoint: usize,
    pub attempt: String,
    pub target: String,
}

#[derive(Clone)]
pub struct Endpoint {
    pub index: usize,
    service: String,
    address: SocketAddr,
    beats: SocketAddr,
    id: String,
    slots: usize,
    work: Duration,
    running: Arc<AtomicUsize>,
    sequence: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
    /// Of so many answers one is lost: the request ran, and the connection is reset. 0: none.
    pub loses_one_in: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Endpoint {
    pub fn start(place: &Place, index: usize, service: &str, work: f64, runs: &Arc<Mutex<Vec<Run>>>, record: &Record) -> Result<Self, String> {
        let ip = place.node_ip(index);
        let address: SocketAddr = format!("{ip}:8145").parse().unwrap();
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let endpoint = Self {
            index,
            service: service.into(),
            address,
            beats: format!("{ip}:8144").parse().unwrap(),
            id: format!("i-{index}-{:x}", micros()),
            slots: 6,
            work: Duration::from_secs_f64(work),
            running: Arc::default(),
            sequence: Arc::default(),
            ends: Arc::default(),
            loses_one_in: Arc::default(),
            served: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
        };
        let accepting = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ends.load(Ordering::Relaxed) {
                    return;
                }
                let endpoint = accepting.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        let beating = endpoint.clone();
        std::thread::spawn(move || {
            while !beating.ends.load(Ordering::Relaxed) {
                beating.beat();
                sleep(1.5);
            }
        });
        Ok(endpoint)
    }

    fn beat(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"service_name":"{}","address":"{}","zone":"zone-{}","version":"v1","capacity_slots":{},"lifecycle_state":"ready","cold_remaining_s":0,"sequence":{sequence}}}"#,
            self.service, self.address, self.index % 3, self.slots
        );
        let headers = [("Content-Type", "application/json")];
        let path = format!("/v1/instances/{}", self.id);
        let _ = call(self.beats, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = std::io::BufReader::new(reading);
        let mut stream = stream;
        loop {
            let mut lines = Vec::new();
            loop {
                let mut line = String::new();
                match reader.read_line(&mut line) {
                    Ok(count) if count > 0 => {}
                    _ => return,
                }
                let line = line.trim_end().to_owned();
                if line.is_empty() {
                    break;
                }
                lines.push(line);
            }
            let header = |wanted: &str| {
                lines.iter().skip(1).find_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    name.eq_ignore_ascii_case(wanted).then(|| value.trim().to_owned())
                })
            };
            let length = header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0usize);
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let target = lines.first().cloned().unwrap_or_default();
            let attempt = header("ferryhinge-attempt-id").unwrap_or_default();
            let answer = |status: &str, more: &str, body: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nFerryhinge-Attempt-Id: {attempt}\r\n{more}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            let bytes = if target.starts_with("GET /health ") {
                answer("200 OK", &format!("Ferryhinge-Instance-Id: {}\r\n", self.id), "")
            } else if header("ferryhinge-expected-instance").is_some_and(|expected| expected != self.id) {
                answer("421 Misdirected Request", "Ferryhinge-Not-Executed: 1\r\n", "")
            } else if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
                self.running.fetch_sub(1, Ordering::SeqCst);
                answer("503 Service Unavailable", "Ferryhinge-Not-Executed: 1\r\n", "")
            } else {
                let run = Run { at: micros(), endpoint: self.index, attempt: attempt.clone(), target: target.clone() };
                self.record.line_at(run.at, &format!("endpoint-{}: begins {attempt} {target}", self.index));
                self.runs.lock().unwrap().push(run);
                std::thread::sleep(self.work);
                self.running.fetch_sub(1, Ordering::SeqCst);
                let one_in = self.loses_one_in.load(Ordering::Relaxed);
                if one_in > 0 && self.served.fetch_add(1, Ordering::Relaxed) % one_in == one_in - 1 {
                    self.record.line(&format!("endpoint-{}: the answer to {attempt} is lost", self.index));
                    return reset(stream);
                }
                answer("200 OK", &format!("Ferryhinge-Server-Stamp: {}.{attempt}\r\n", self.id), &attempt)
            };
            if stream.write_all(bytes.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn end(&self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

/// Closes a connection so that the other side sees a reset.
fn reset(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // SAFETY: a plain system call with a value of the length it names.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}
