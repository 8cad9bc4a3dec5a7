//! The node beside an endpoint that may turn cold, and has no connection to spare.

use super::tests::{answer, errand, platform};
use super::*;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use timetable::configuration::Configuration;
use timetable::fleet::{ConfigChange, FleetChange};
use trackbed::ids::Zxid;

const REQUESTS: usize = 80;
/// A cold endpoint would get ten in a second.
const LONGEST: Duration = Duration::from_secs(3);

/// Serves requests and questions on one connection, until it is closed. Gives how many questions there were.
async fn serve(mut stream: TcpStream) -> usize {
    let mut questions = 0;
    loop {
        let (outcome, buffer) = stream.read(Vec::with_capacity(4096)).await;
        if !matches!(outcome, Ok(count) if count > 0) {
            return questions;
        }
        let head = String::from_utf8_lossy(&buffer).into_owned();
        let text = match head.starts_with("GET /health ") {
            true => {
                questions += 1;
                let told = "Ferryhinge-Instance-Id: i-1\r\nFerryhinge-Cold-Remaining: 0\r\n";
                format!("HTTP/1.1 200 OK\r\n{told}Content-Length: 0\r\n\r\n")
            }
            false => {
                let attempt = head
                    .lines()
                    .find_map(|line| line.to_lowercase().strip_prefix("ferryhinge-attempt-id: ").map(str::to_owned));
                answer(&attempt.unwrap(), "body", "")
            }
        };
        if stream.write_all(text.into_bytes()).await.0.is_err() {
            return questions;
        }
    }
}

fn fleet_with_cold_service() -> FleetState {
    let text = br#"{"version":"r1","routes":{},"services":{"s":{"health_check_path":"/health","cold_start_s":3,"cold_rate_s":9.8}}}"#;
    let change = ConfigChange::Whole(Configuration::parse(text).unwrap());
    let mut fleet = FleetState::default();
    fleet.apply(Zxid::new(1, 1), FleetChange::Configure { change, digest: 1 });
    fleet
}

/// Guards against questions that need a connection of their own, which an endpoint at its limit resets (issue 50).
#[test]
fn an_endpoint_with_one_connection_is_asked_over_it_and_gets_full_weight() {
    let outcome = trackbed::kernel::run(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let platform = platform(listener.local_addr().unwrap());
        let serving = monoio::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            drop(listener);
            serve(stream).await
        });
        let now = clock::now();
        platform.follow(&fleet_with_cold_service(), &Bounds::default(), now);
        platform.admission.change_cold(|cold| {
            cold.begin_life(FormerSender::Nobody, now);
            cold.introduced(Duration::ZERO, now);
        });
        for number in 0..REQUESTS {
            let result = platform.run(&errand(number)).await;
            assert!(matches!(result.outcome, Outcome::Answered(_)), "request {number}: {:?}", result.outcome);
        }
        let took = clock::now().since(now);
        assert!(took < LONGEST, "{REQUESTS} requests took {took:?}");
        platform.lines.clear(platform.address.unwrap());
        let questions = serving.await;
        assert!(questions > REQUESTS / 20, "asked {questions} times");
    });
    outcome.unwrap();
}
