//! Requests over HTTP, up to the plan that a proxy makes of them.

use super::Target;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::TimeDriver;
use monoio::{LegacyDriver, Runtime, RuntimeBuilder};
use pointsman::dispatch::{Plan, read_errand};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timetable::configuration::{Configuration, Routes};
use trackbed::clock;
use trackbed::http::{BodyLimits, DoorLimits, Handler, Request, Return, Serving, serve_listener};
use trackbed::net::SocketExt;

const EXAMPLES: [&str; 6] = [
    "GET /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nFerryhinge-Attempt-Id: 7\r\nFerryhinge-Deadline-Ms: 500\r\n\r\n",
    "POST /b/ HTTP/1.1\r\nHost: h.example\r\nFerryhinge-Attempt-Id: 8\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n\r\n",
    "POST /b/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\na;x=y\r\n0123456789\r\n0\r\nT: x\r\n\r\n",
    "PUT /a/ HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\nContent-Length: 2\r\nConnection: close, Host\r\n\r\nab",
    "GET /a/ HTTP/1.0\r\nHost: h.example\r\nFerryhinge-Shard-Key: 70000\r\nConnection: keep-alive\r\n\r\n",
    "GET /a/ HTTP/1.1\r\nHost: h.example\r\nFerryhinge-Attempt-Id: 9\r\nFerryhinge-Expected-Instance: i\r\n\
     Ferryhinge-Line-Priority: 3\r\nFerryhinge-Deadline-Ms: 18446744073709551615\r\nFerryhinge-Line-Target: 5\r\n\
     Ferryhinge-Line-Patience: 18446744073709551615\r\n\r\n",
];

const MOST_OPEN: usize = 64;
const LONGEST_BODY: u64 = 64 << 10;
/// An exchange that lasts longer has failed: nothing here waits for a time.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(20);

pub(super) fn target() -> Target {
    let configuration = Configuration::parse(super::documents::CONFIGURATION.as_bytes()).unwrap_or_default();
    let planning = Rc::new(Planning { routes: configuration.table().cloned() });
    let examples = EXAMPLES.iter().map(|text| text.as_bytes().to_vec()).collect();
    let mut server = Server::start(planning);
    Target::new("request", examples, move |input| server.exchange(input.to_vec()))
}

/// One listener, for all inputs.
struct Server {
    runtime: Runtime<TimeDriver<LegacyDriver>>,
    serving: Rc<Serving>,
    address: SocketAddr,
}

impl Server {
    fn start(planning: Rc<Planning>) -> Self {
        let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
        let mut runtime = builder.build().expect("the system gives a runtime");
        let serving = Rc::new(Serving::default());
        serving.most_open.set(MOST_OPEN);
        let serves = serving.clone();
        let address = runtime.block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
            let address = listener.local_addr().expect("it is bound");
            monoio::spawn(serve_listener(listener, serves, planning));
            address
        });
        Self { runtime, serving, address }
    }

    /// Sends an input over a connection of its own, and reads to the end.
    fn exchange(&mut self, input: Vec<u8>) {
        let (serving, address) = (self.serving.clone(), self.address);
        self.runtime.block_on(async move {
            let mut stream = TcpStream::connect_addr(address).await.expect("the listener goes on");
            let all = async {
                let _ = stream.write_all(input).await;
                let _ = stream.shutdown().await;
                while let (Ok(1..), _) = stream.read(Vec::with_capacity(4 << 10)).await {}
            };
            let ended = monoio::time::timeout(EXCHANGE_LIMIT, all).await;
            assert!(ended.is_ok(), "the connection ends with the client's half");
            stream.reset_on_close();
            assert_eq!(serving.held_bytes.get(), 0, "all that bodies took is given back");
        });
    }
}

/// Plans each request, as a proxy does where requests begin and where peers pass them on.
struct Planning {
    routes: Option<Rc<Routes>>,
}

impl Handler for Planning {
    fn limits(&self) -> DoorLimits {
        DoorLimits { body: BodyLimits { longest: LONGEST_BODY, room: LONGEST_BODY }, ..DoorLimits::default() }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Option<Return> {
        assert!(request.body.len() as u64 <= LONGEST_BODY);
        let now = clock::now();
        let planned = Plan::make(&request, self.routes.as_ref(), now).is_ok();
        let passed_on = read_errand(request, 0, now);
        if let Some(errand) = &passed_on {
            // However late it may end, nobody waits so long.
            let _ = monoio::time::timeout(errand.left(now), std::future::ready(())).await;
        }
        Some(Return::text(if planned || passed_on.is_some() { 200 } else { 400 }, "read"))
    }
}
