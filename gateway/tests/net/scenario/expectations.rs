//! What a scenario waits for, and how long.
use super::clients::describe;
use super::script::id;
use super::{ReceivedMessage, Scenario, PATIENCE};
use std::io::Read;
use std::time::{Duration, Instant};

/// Waits until something holds.
pub fn soon(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

impl Scenario {
    /// A line that waits for what stand-ins receive, the log says or figures show. Returns whether it is one.
    pub(super) fn play_expectation_line(
        &mut self,
        line: &str,
        words: &[&str],
        head: &str,
        body: &[u8],
    ) -> bool {
        match words {
            ["log", "<", ..] => {
                let words = head.split_once("< ").expect("words").1;
                // A program that logs without end is no reason to wait without end.
                let end = Instant::now() + PATIENCE;
                let left = || end.saturating_duration_since(Instant::now());
                let mut lines = std::iter::from_fn(|| self.logged.recv_timeout(left()).ok());
                assert!(lines.any(|l| l.contains(words)), "{line}: it was not logged");
            }
            ["never", rest @ ..] => {
                std::thread::sleep(Duration::from_millis(150));
                self.backlog.extend(self.messages.try_iter());
                assert!(self.find("store", rest).is_none(), "{line}");
            }
            [who @ ("store" | "bulletin"), "<", rest @ ..] => self.expect_message(line, who, rest, body),
            ["figure", name, value] => self.figure(name, value),
            _ => return false,
        }
        true
    }

    pub(super) fn find(&self, who: &str, words: &[&str]) -> Option<usize> {
        let fits = |h: &ReceivedMessage| {
            h.who == who
                && words.iter().enumerate().all(|(i, w)| match (i, w.split_once('=')) {
                    (0, _) => h.word == *w,
                    (_, None) => *w == "*" || h.id == *w || h.id == id(w),
                    (_, Some(("at", v))) => v.starts_with('?') || h.at == v,
                    (_, Some((name, v))) => {
                        let told = larchway_gateway::resp::field(&h.fields, name);
                        if v == "none" {
                            told.is_none()
                        } else {
                            v.starts_with('?') && told.is_some() || told == Some(v)
                        }
                    }
                })
        };
        self.backlog.iter().position(fits)
    }

    pub(super) fn expect_message(&mut self, line: &str, who: &str, words: &[&str], body: &[u8]) {
        let end = Instant::now() + PATIENCE;
        let place = loop {
            if let Some(place) = self.find(who, words) {
                break place;
            }
            match self.messages.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(more) => self.backlog.push(more),
                Err(_) => {
                    let heard: Vec<String> =
                        self.backlog.iter().map(|h| format!("{} {} {}", h.word, h.id, h.fields)).collect();
                    panic!("{line}: only {heard:?}");
                }
            }
        };
        assert!(self.backlog[place].body == body, "{line}: another body");
        self.take(place, words);
    }

    pub(super) fn take(&mut self, place: usize, words: &[&str]) {
        let heard = self.backlog.remove(place);
        for (name, value) in words.iter().filter_map(|w| w.split_once("=?")) {
            let told = larchway_gateway::resp::field(&heard.fields, name).unwrap_or(&heard.at);
            self.vars.insert(value.to_string(), told.to_string());
        }
        self.last_request = heard.id.clone();
        if let Some(stream) = heard.stream {
            self.request_streams.insert(heard.id, stream);
        }
    }

    pub(super) fn expect_http(&mut self, line: &str, client: &str, words: &[&str], body: &[u8]) {
        let (stream, input) = self.client(client);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            if let Ok(httparse::Status::Complete(start)) = response.parse(input) {
                let header = |name: &str| {
                    let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                    found.map(|h| String::from_utf8_lossy(h.value).into_owned())
                };
                let told = header("content-length").map_or(0, |n| n.parse().expect("a length"));
                let length = if words.contains(&"nobody") { 0 } else { told };
                if input.len() >= start + length {
                    let got = input[start..start + length].to_vec();
                    assert_eq!(
                        response.code.map(|c| c.to_string()).as_deref(),
                        Some(words[0]),
                        "{line}: {}",
                        String::from_utf8_lossy(&got)
                    );
                    let wanted = words[1..].iter().filter_map(|w| w.split_once('='));
                    let found: Vec<(String, String)> = wanted
                        .map(|(name, value)| {
                            let text = header(name).unwrap_or_else(|| panic!("{line}: no {name}"));
                            assert!(value.starts_with('?') || text == value, "{line}: {name} is {text}");
                            (value.to_string(), text)
                        })
                        .collect();
                    assert!(body.is_empty() || got == body, "{line}: {} bytes", got.len());
                    input.drain(..start + length);
                    let text = String::from_utf8_lossy(&got).into_owned();
                    self.vars.insert("body".into(), text);
                    self.vars.extend(
                        found.into_iter().filter_map(|(n, t)| Some((n.strip_prefix('?')?.to_string(), t))),
                    );
                    return;
                }
            }
            let mut piece = [0; 65536];
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => input.extend_from_slice(&piece[..n]),
                other => panic!("{line}: {other:?} after {:?}", String::from_utf8_lossy(input)),
            }
        }
    }

    /// Whether a store is asked for this request within a moment; it is the last one taken then.
    pub fn asked_soon(&mut self, call: &str) -> bool {
        self.asked_within(call, Duration::from_secs(4))
    }

    /// What the request says to the store under this name, once it has come; it is the last one taken then.
    pub fn asked_with(&mut self, call: &str, name: &str) -> Option<String> {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(place) = self.find("store", &["PULL", call]) {
                let said = larchway_gateway::resp::field(&self.backlog[place].fields, name).map(String::from);
                self.take(place, &["PULL", call]);
                return said;
            }
            let more = self.messages.recv_timeout(end.saturating_duration_since(Instant::now()));
            self.backlog.push(more.unwrap_or_else(|_| panic!("PULL {call} never came")));
        }
    }

    /// Whether a store is asked for this request within so long; it is the last one taken then.
    pub fn asked_within(&mut self, call: &str, span: Duration) -> bool {
        let end = Instant::now() + span;
        while Instant::now() < end {
            if let Some(place) = self.find("store", &["PULL", call]) {
                self.take(place, &[]);
                return true;
            }
            self.backlog.extend(self.messages.recv_timeout(Duration::from_millis(20)));
        }
        false
    }

    /// How many messages of this word stores have had for this request; all connections have ended.
    pub fn messages(&mut self, word: &str, call: &str) -> usize {
        let end = Instant::now() + Duration::from_millis(200);
        while let Ok(more) = self.messages.recv_timeout(end.saturating_duration_since(Instant::now())) {
            self.backlog.push(more);
        }
        self.backlog.iter().filter(|h| h.who == "store" && h.word == word && h.id == id(call)).count()
    }

    /// Asks until the gateway answers by itself; what it asks a store for meanwhile is answered with the same. The
    /// words of the answer, and its body. `ask` and `answer` are as in a script, without numbers and ids.
    pub fn until_held(&mut self, client: &str, ask: &str, answer: &str) -> (String, Vec<u8>) {
        for _ in 0..40 {
            self.made_requests += 1;
            let (seq, call) = (9000 + self.made_requests, format!("h{}", self.made_requests));
            self.run(&format!("{client} > serve {seq} {ask} call={call}"));
            let end = Instant::now() + PATIENCE;
            loop {
                self.backlog.extend(self.messages.recv_timeout(Duration::from_millis(5)));
                if self.find("store", &["PULL", &call]).is_some() {
                    self.run(&format!("store < PULL {call}\nstore > {call} {answer}"));
                    self.frame(client);
                    break;
                }
                let stream = &self.client(client).0;
                stream.set_read_timeout(Some(Duration::from_millis(1))).expect("sets");
                let come = stream.peek(&mut [0]).is_ok();
                stream.set_read_timeout(Some(PATIENCE)).expect("sets");
                if come {
                    return describe(&self.frame(client));
                }
                assert!(Instant::now() < end, "{ask}: no answer");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("{ask}: never answered without a store");
    }

    /// What the console reports at a path, once it holds such words.
    pub fn report(&mut self, path: &str, words: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            self.clients.remove("o-report");
            self.run(&format!("o-report > GET {path}\no-report < 200"));
            let told = self.vars["body"].clone();
            if told.contains(words) {
                return told;
            }
            assert!(Instant::now() < end, "{words} is not in {told}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// What the console reports.
    pub fn stats(&mut self) -> String {
        self.clients.remove("o-stats");
        self.run("o-stats > GET /ops/stats\no-stats < 200");
        self.vars["body"].clone()
    }

    /// Expects a figure to be reported soon.
    pub(super) fn figure(&mut self, name: &str, value: &str) {
        let end = Instant::now() + PATIENCE;
        let wanted = format!("svc.{name}:{value}|");
        loop {
            let stats = self.stats();
            if stats.lines().any(|l| l.starts_with(&wanted)) {
                return;
            }
            assert!(Instant::now() < end, "{wanted} is not in {stats}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}
