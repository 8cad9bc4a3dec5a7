//! The operator: configurations one after the other, and numbers drawn by an application. Whatever was acknowledged
//! must be there later.

use crate::layout::Layout;
use http::Method;
use sonic_rs::{JsonValueTrait, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trackbed::http::{Client, Request, Return};

const LIMIT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(100);
const CONFIGURE_EVERY: Duration = Duration::from_millis(1500);
const DRAW_EVERY: Duration = Duration::from_millis(60);

/// The operator and one application of a run.
pub struct Operator {
    layout: Layout,
    core: Cell<usize>,
    /// The highest version that was acknowledged.
    acknowledged: Cell<u64>,
    last_number: Cell<u64>,
    violations: RefCell<Vec<String>>,
    stopped: Cell<bool>,
}

impl Operator {
    /// An operator that has not done anything yet.
    pub fn new(layout: Layout) -> Rc<Self> {
        Rc::new(Self {
            layout,
            core: Cell::new(0),
            acknowledged: Cell::new(0),
            last_number: Cell::new(0),
            violations: RefCell::default(),
            stopped: Cell::new(false),
        })
    }

    /// What was acknowledged and is not there.
    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    /// Nothing further is sent.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Asks core nodes in turn until one answers for sure.
    async fn ask(&self, request: &Request) -> Return {
        loop {
            let core: SocketAddr = self.layout.core(self.core.get() % self.layout.cores);
            match Client::new(core).call(request, LIMIT).await {
                Ok(answer) if answer.status < 500 && answer.status != 429 => return answer,
                _ => self.core.set(self.core.get() + 1),
            }
            monoio::time::sleep(PAUSE).await;
        }
    }

    /// Puts a configuration until it is acknowledged.
    pub async fn configure(&self, version: u64) {
        let mut request = Request::json(Method::PUT, "/v1/configuration".into(), self.layout.configuration(version));
        let base = match self.acknowledged.get() {
            0 => "0".to_owned(),
            base => format!("r{base}"),
        };
        if let Ok(value) = base.parse() {
            request.headers.insert("if-match", value);
        }
        let answer = self.ask(&request).await;
        match answer.status {
            200 => self.acknowledged.set(version),
            status => self.violations.borrow_mut().push(format!(
                "CONFIG: version r{version} on top of r{} was answered {status}, though nobody else configures",
                self.acknowledged.get()
            )),
        }
    }

    /// Puts configurations until [`Operator::stop`].
    pub async fn configure_for_ever(self: Rc<Self>) {
        while !self.stopped.get() {
            self.configure(self.acknowledged.get() + 2).await;
            monoio::time::sleep(CONFIGURE_EVERY).await;
        }
    }

    /// Draws numbers until [`Operator::stop`]: each is above all before it.
    pub async fn draw_for_ever(self: Rc<Self>) {
        let request = Request::json(Method::POST, "/v1/numbers/soak".into(), "{}".into());
        while !self.stopped.get() {
            let answer = self.ask(&request).await;
            let value = field(&answer.body, "value").and_then(|value| value.as_u64()).unwrap_or(0);
            let last = self.last_number.replace(value.max(self.last_number.get()));
            if value <= last {
                let told = format!("MIXED: the number {value} was given after {last}");
                self.violations.borrow_mut().push(told);
            }
            monoio::time::sleep(DRAW_EVERY).await;
        }
    }

    /// Reads the configuration back from every core node: none that answers may show an older one.
    pub async fn read_back(&self) {
        for core in 0..self.layout.cores {
            let request = Request::own(Method::GET, "/v1/configuration".into(), &[], Default::default());
            let Ok(answer) = Client::new(self.layout.core(core)).call(&request, LIMIT).await else { continue };
            if answer.status != 200 {
                continue;
            }
            let version = field(&answer.body, "version").and_then(|version| version.as_str().map(str::to_owned));
            let number = version.as_deref().and_then(|text| text.strip_prefix('r')).and_then(|text| text.parse().ok());
            if number.is_none_or(|number: u64| number < self.acknowledged.get()) {
                self.violations.borrow_mut().push(format!(
                    "CONFIG: core-{core} shows {version:?}, r{} was acknowledged",
                    self.acknowledged.get()
                ));
            }
        }
    }
}

fn field(body: &[u8], name: &str) -> Option<Value> {
    let value: Value = sonic_rs::from_slice(body).ok()?;
    value.get(name).cloned()
}
