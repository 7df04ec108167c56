//! A model engine: batch slots, memory, orders, streams that can be resumed, and their faults.
//!
//! The text of an answer depends on the prompt and the position alone, so that a test can tell
//! a whole answer from one that was cut, doubled or crossed.

mod memory;
mod stream;

pub use memory::{Memory, Order};
pub use stream::{Generation, word};

use crate::fault::{Fault, Switch};
use crate::http::{Answer, Call, Host, serve};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};
use stream::Batch;
use tiny_http::Method;

/// Shape of an engine.
#[derive(Debug, Clone)]
pub struct Config {
    pub memory: u64,
    pub batch: u32,
    pub token: Duration,
    /// Time to prefill one word of a prompt that is not cached.
    pub prefill: Duration,
    pub load: Duration,
    pub checks_fences: bool,
    pub report_lag: Duration,
    /// Ends the process at a crash, in place of a restart inside it.
    pub exit_on_crash: bool,
    /// The weight store that loads are fetched from.
    pub weights: Option<SocketAddr>,
    /// Version of its software.
    pub software: &'static str,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            memory: 1 << 30,
            batch: 16,
            token: Duration::from_millis(5),
            prefill: Duration::from_micros(100),
            load: Duration::from_millis(100),
            checks_fences: false,
            report_lag: Duration::ZERO,
            exit_on_crash: false,
            weights: None,
            software: "",
        }
    }
}

/// One engine and all that it recorded.
pub struct Engine {
    config: Config,
    memory: Mutex<Memory>,
    batch: Batch,
    generations: Mutex<BTreeMap<String, Arc<Generation>>>,
    runs: Mutex<BTreeMap<String, u64>>,
    down_until: Mutex<Option<Instant>>,
    report: Mutex<Option<(Instant, Value)>>,
    switch: Mutex<Weak<Switch>>,
}

/// Tries to fetch weights that the store refused for its rate.
const FETCH_TRIES: u32 = 100;
const FETCH_PAUSE: Duration = Duration::from_millis(200);
/// How long a crashed engine takes to come back, empty.
const RESTART: Duration = Duration::from_millis(500);

impl Engine {
    /// Starts an engine.
    #[must_use]
    pub fn start(address: SocketAddr, config: Config) -> (Host, Arc<Self>) {
        let engine = Arc::new(Self {
            memory: Mutex::new(Memory::new(config.memory, config.checks_fences)),
            batch: Batch::new(config.batch),
            generations: Mutex::default(),
            runs: Mutex::default(),
            down_until: Mutex::default(),
            report: Mutex::default(),
            switch: Mutex::default(),
            config,
        });
        let served = Arc::clone(&engine);
        let host = serve(address, move |call| served.answer(call));
        *engine.switch.lock().unwrap() = Arc::downgrade(&host.switch);
        (host, engine)
    }

    fn fault(&self) -> Fault {
        let switch = self.switch.lock().unwrap().upgrade();
        switch.map_or_else(Fault::default, |switch| switch.get())
    }

    fn answer(self: &Arc<Self>, call: &Call) -> Answer {
        if self.is_down() {
            return Answer::Nothing;
        }
        let tail = call.path.strip_prefix("/streams/");
        match (call.method.clone(), call.path.as_str()) {
            (Method::Get, "/report") => Answer::Json(200, self.report()),
            (Method::Get, "/runs") => Answer::Json(200, json!(*self.runs.lock().unwrap())),
            (Method::Get, "/breaches") => {
                Answer::Json(200, json!(self.memory.lock().unwrap().breaches))
            }
            (Method::Post, "/orders") => self.order(call),
            (Method::Post, "/generate") => self.generate(call),
            (Method::Get, _) if tail.is_some() => {
                self.resume(tail.unwrap_or_default(), call.number("offset").unwrap_or(0))
            }
            (Method::Delete, _) if tail.is_some() => self.cancel(tail.unwrap_or_default()),
            _ => Answer::Json(404, json!({"error": "no such call"})),
        }
    }

    fn is_down(&self) -> bool {
        let mut until = self.down_until.lock().unwrap();
        let down = until.is_some_and(|until| Instant::now() < until);
        if !down {
            *until = None;
        }
        down
    }

    /// Loses everything and comes back later, empty.
    pub fn crash(&self) {
        if self.config.exit_on_crash {
            std::process::exit(134);
        }
        *self.down_until.lock().unwrap() = Some(Instant::now() + RESTART);
        self.memory.lock().unwrap().restart();
        *self.report.lock().unwrap() = None;
        let lost = std::mem::take(&mut *self.generations.lock().unwrap());
        for generation in lost.values() {
            generation.kill();
        }
    }

    /// Memory as the engine counts it.
    #[must_use]
    pub const fn memory(&self) -> &Mutex<Memory> {
        &self.memory
    }

    /// How often each request ran.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().unwrap().clone()
    }

    fn report(&self) -> Value {
        let mut kept = self.report.lock().unwrap();
        let now = Instant::now();
        if let Some((at, report)) = &*kept
            && now - *at < self.config.report_lag
        {
            return report.clone();
        }
        let (active, queued) = self.batch.load();
        let mut report = self.memory.lock().unwrap().report();
        report["active"] = json!(active);
        report["queued"] = json!(queued);
        report["leaving"] = json!(self.fault().leaving);
        report["software"] = json!(self.config.software);
        *kept = Some((now, report.clone()));
        report
    }

    fn order(self: &Arc<Self>, call: &Call) -> Answer {
        let Ok(order) = serde_json::from_str::<Order>(&call.body) else {
            return Answer::Json(400, json!({"error": "not an order"}));
        };
        if let Some(delay) = self.fault().repeat_orders_after_ms {
            let engine = Arc::clone(self);
            let copy = order.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(delay));
                engine.carry_out(copy);
            });
        }
        if self.carry_out(order) {
            Answer::Json(202, json!({}))
        } else {
            Answer::Json(409, json!({"error": "old fencing number"}))
        }
    }

    fn carry_out(self: &Arc<Self>, order: Order) -> bool {
        let begun = self.memory.lock().unwrap().begin(&order);
        if begun != Some(true) {
            return begun.is_some();
        }
        let engine = Arc::clone(self);
        std::thread::spawn(move || {
            engine.fetch(&order);
            engine.memory.lock().unwrap().finish(&order);
        });
        true
    }

    fn fetch(&self, order: &Order) {
        let Some(weights) = self.config.weights.filter(|_| order.load) else {
            std::thread::sleep(self.config.load);
            return;
        };
        for _ in 0..FETCH_TRIES {
            let call = attohttpc::post(format!("http://{weights}/load"));
            if call.send().is_ok_and(|response| response.is_success()) {
                return;
            }
            std::thread::sleep(FETCH_PAUSE);
        }
    }

    fn generate(self: &Arc<Self>, call: &Call) -> Answer {
        let body = call.json();
        let fault = self.fault();
        let text = |name: &str| body[name].as_str().unwrap_or("").to_owned();
        let (request, prompt) = (text("request"), text("prompt"));
        if fault
            .crash_on
            .as_ref()
            .is_some_and(|poison| prompt.contains(poison))
        {
            self.crash();
            return Answer::Nothing;
        }
        if fault.leaving {
            return Answer::Json(503, json!({"error": "leaving"}));
        }
        if !self.memory.lock().unwrap().is_resident(&text("artifact")) {
            return Answer::Json(404, json!({"error": "not loaded"}));
        }
        *self
            .runs
            .lock()
            .unwrap()
            .entry(request.clone())
            .or_default() += 1;
        let offset = body["offset"].as_u64().unwrap_or(0);
        let tokens = body["max_tokens"].as_u64().unwrap_or(16);
        let generation = Arc::new(Generation::new(request.clone(), prompt, offset, tokens));
        self.generations
            .lock()
            .unwrap()
            .insert(request, Arc::clone(&generation));
        let first = body["priority"].as_u64().unwrap_or(1);
        let engine = Arc::clone(self);
        let worker = Arc::clone(&generation);
        std::thread::spawn(move || {
            let place = engine.batch.enter(first);
            worker.run(engine.config.prefill, engine.config.token);
            engine.batch.leave(place);
        });
        self.follow(&generation, offset)
    }

    fn resume(&self, request: &str, offset: u64) -> Answer {
        let generation = self.generations.lock().unwrap().get(request).cloned();
        match generation {
            Some(generation) if offset >= generation.first => self.follow(&generation, offset),
            _ => Answer::Json(404, json!({"error": "no such stream"})),
        }
    }

    fn follow(&self, generation: &Arc<Generation>, offset: u64) -> Answer {
        let generation = Arc::clone(generation);
        let fault = self.fault();
        Answer::Stream(Box::new(move |out| generation.write(out, offset, &fault)))
    }

    fn cancel(&self, request: &str) -> Answer {
        match self.generations.lock().unwrap().get(request) {
            Some(generation) => {
                generation.kill();
                Answer::Json(200, json!({}))
            }
            None => Answer::Json(404, json!({"error": "no such stream"})),
        }
    }
}
