//! Whether the client of a request is still there. What a client has left needs no further work, and an endpoint that
//! goes on with it has a slot less for others.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

#[derive(Debug, Default)]
struct State {
    has_left: Cell<bool>,
    waiting: RefCell<Option<Waker>>,
}

/// The client of one request. Copies tell of the same client; one of them at a time may be waited on.
#[derive(Clone, Debug, Default)]
pub struct Presence(Rc<State>);

impl Presence {
    /// Whether the client's connection has ended.
    pub fn has_left(&self) -> bool {
        self.0.has_left.get()
    }

    /// The client's connection has ended.
    pub fn leave(&self) {
        self.0.has_left.set(true);
        if let Some(waker) = self.0.waiting.take() {
            waker.wake();
        }
    }

    /// What comes of a piece of work; nothing when the client leaves first. The work is dropped then.
    pub async fn unless_left<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        poll_fn(|context| {
            if self.has_left() {
                return Poll::Ready(None);
            }
            if let Poll::Ready(outcome) = work.as_mut().poll(context) {
                return Poll::Ready(Some(outcome));
            }
            *self.0.waiting.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// The same where the work `may_stop`; else it is seen through, whoever has left.
    pub async fn unless_left_where<T>(&self, may_stop: bool, work: impl Future<Output = T>) -> Option<T> {
        match may_stop {
            true => self.unless_left(work).await,
            false => Some(work.await),
        }
    }

    /// Does a piece of work, and notices meanwhile when the connection that `closed` waits for ends.
    pub(super) async fn watch_while<T>(&self, closed: impl Future<Output = ()>, work: impl Future<Output = T>) -> T {
        let (mut closed, mut work) = (pin!(closed), pin!(work));
        poll_fn(|context| {
            if !self.has_left() && closed.as_mut().poll(context).is_ready() {
                self.leave();
            }
            work.as_mut().poll(context)
        })
        .await
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::{pending, ready};

    #[test]
    fn work_ends_with_its_client_and_not_before() {
        let outcome = crate::kernel::run(async {
            let presence = Presence::default();
            assert_eq!(presence.unless_left(ready(1)).await, Some(1));
            let other = presence.clone();
            let waiting = monoio::spawn(async move { other.unless_left(pending::<()>()).await });
            monoio::spawn(async {}).await;
            presence.leave();
            assert_eq!(waiting.await, None);
            assert_eq!(presence.unless_left(ready(2)).await, None, "nothing begins for a client that has left");
        });
        outcome.unwrap();
    }
}
