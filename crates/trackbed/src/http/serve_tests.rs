use super::*;
use crate::clock;
use crate::kernel;
use crate::net::bind_tcp;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use std::net::SocketAddr;

/// Answers nothing before a time.
struct Slow(Duration);

impl Handler for Slow {
    fn limits(&self) -> DoorLimits {
        DoorLimits::default()
    }

    async fn handle(self: Rc<Self>, _: Request) -> Option<Return> {
        monoio::time::sleep(self.0).await;
        Some(Return::text(200, "done"))
    }
}

/// What a client reads of the answer to one request, up to the end of its connection.
async fn read_all(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect_addr(address).await.unwrap();
    stream.write_all(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n".to_vec()).await.0.unwrap();
    let mut text = String::new();
    loop {
        let (outcome, bytes) = stream.read(Vec::with_capacity(4096)).await;
        if !matches!(outcome, Ok(count) if count > 0) {
            return text;
        }
        text.push_str(std::str::from_utf8(&bytes).unwrap());
    }
}

#[test]
fn a_request_under_way_when_the_process_ends_gets_a_final_answer() {
    let address: SocketAddr = ([127, 0, 0, 1], 18473).into();
    kernel::run(async {
        let serving = Rc::new(Serving::default());
        serving.most_open.set(8);
        let handler = Rc::new(Slow(Duration::from_secs(30)));
        monoio::spawn(serve_listener(bind_tcp(address).unwrap(), serving.clone(), handler));
        let ending = serving.clone();
        monoio::spawn(async move {
            while ending.under_way.get() == 0 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            ending.end();
        });
        let begun = clock::now();
        let text = read_all(address).await;
        assert!(text.starts_with("HTTP/1.1 504 "), "{text:?}");
        assert!(text.to_ascii_lowercase().contains("connection: close"), "{text:?}");
        assert!(clock::now().since(begun) < Duration::from_secs(5));
        assert_eq!(serving.waiting_for_end.borrow().len(), 0);
        // Whatever comes after is answered alike.
        assert!(read_all(address).await.starts_with("HTTP/1.1 504 "));
    })
    .unwrap();
}

/// Counts the requests that it is given.
struct Counting(Cell<usize>);

impl Handler for Counting {
    fn limits(&self) -> DoorLimits {
        DoorLimits::default()
    }

    async fn handle(self: Rc<Self>, _: Request) -> Option<Return> {
        self.0.set(self.0.get() + 1);
        Some(Return::text(200, "done"))
    }
}

#[test]
fn a_door_about_to_end_turns_new_requests_away_before_they_begin() {
    let address: SocketAddr = ([127, 0, 0, 1], 18474).into();
    kernel::run(async {
        let serving = Rc::new(Serving::default());
        serving.most_open.set(8);
        let handler = Rc::new(Counting(Cell::new(0)));
        monoio::spawn(serve_listener(bind_tcp(address).unwrap(), serving.clone(), handler.clone()));
        serving.leaving.set(true);
        assert!(read_all(address).await.starts_with("HTTP/1.1 200 "), "leaving alone turns nobody away");
        serving.refuses_new.set(true);
        let text = read_all(address).await;
        assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}");
        assert!(text.to_ascii_lowercase().contains("connection: close"), "{text:?}");
        assert_eq!((handler.0.get(), serving.under_way.get()), (1, 0));
    })
    .unwrap();
}
