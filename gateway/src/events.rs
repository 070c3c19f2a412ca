//! The stream of events (purges, the list of stores), for the daemon: joins the subscriber's state machine
//! (`larchway_distribution::subscriber`) and the reader of its connection. Knows no socket: what the loop is to do comes
//! back as [`Effect`]s.
use crate::bulletin::{self, Item, News};
use crate::event_stream::{Part, StreamError, StreamReader};
use crate::log;
use crate::terms::Terms;
use larchway::Micros;
use larchway_distribution::subscriber::{
    Input, LeaveReason, Output, Received, SourceKind, Subscriber, SubscriberTerms,
};
use std::net::SocketAddr;

/// Longest pause between two attempts to reach the source, µs.
const LONGEST_BACKOFF: Micros = 2_000_000;
/// The least that the longest pause is, however short the time is in which an event must be acted on, µs.
const LEAST_BACKOFF: Micros = 25_000;

/// What the loop is to do.
#[derive(Debug)]
pub enum Effect {
    /// Connect to the source and write this.
    Dial(SocketAddr, Vec<u8>),
    /// Close the connection; the subscriber knows of it.
    Close(String),
    /// The source lived at that time.
    Heard(Micros),
    /// The source is not heard any more.
    Lost,
    /// Something was missed that may have been a purge: copies of the gateway's own are void.
    CopiesVoid,
    /// Apply what an event tells.
    Apply(News),
}

/// The stream of events and its connection.
pub struct Events {
    subscriber: Subscriber,
    reader: StreamReader,
}

impl Events {
    /// Without a source; [`Events::configure`] names it.
    pub fn new(at: Micros, seed: u64) -> Self {
        let terms = subscriber_terms(None, None);
        Events { subscriber: Subscriber::new(at, terms, 0, seed), reader: StreamReader::default() }
    }

    /// Puts another configuration in force: where the source is, and within what time its events must be acted on. A
    /// connection to another address is left.
    pub fn configure(
        &mut self,
        at: Micros,
        source: Option<SocketAddr>,
        notice: Option<Micros>,
    ) -> Vec<Effect> {
        let mut outputs = Vec::new();
        self.subscriber.configure(at, subscriber_terms(source, notice), &mut outputs);
        let mut effects = Vec::new();
        outputs.into_iter().for_each(|output| self.perform(output, &mut None, &mut effects));
        effects
    }

    /// Takes in the events that the configuration holds, and the number of the last one known to it.
    pub fn take_known(&mut self, items: Vec<Item>, last: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for item in items {
            let skips = item.no > self.subscriber.cursor() + 1;
            if self.subscriber.advance(item.no) {
                effects.extend(skips.then_some(Effect::CopiesVoid));
                effects.push(Effect::Apply(item.news));
            }
        }
        if self.subscriber.advance(last) {
            effects.push(Effect::CopiesVoid);
        }
        effects
    }

    /// When a tick is wanted.
    pub fn next_due(&self) -> Option<Micros> {
        self.subscriber.next_due()
    }

    /// A time named by [`Events::next_due`] has come.
    pub fn tick(&mut self, at: Micros) -> Vec<Effect> {
        self.feed(at, Input::Tick)
    }

    /// The connection is lost, or did not come up.
    pub fn lost(&mut self, at: Micros) -> Vec<Effect> {
        self.feed(at, Input::Lost)
    }

    /// The connection could not even be begun.
    pub fn not_dialled(&mut self, at: Micros) -> Vec<Effect> {
        self.feed(at, Input::NotDialled)
    }

    /// Bytes have come in on the connection.
    pub fn bytes(&mut self, at: Micros, bytes: &[u8], terms: &Terms) -> Vec<Effect> {
        let parts = match self.reader.take(bytes) {
            Ok(parts) => parts,
            Err(error) => return self.unreadable_stream(at, &error),
        };
        let mut effects = self.feed(at, Input::Heard);
        for part in parts {
            let closed = self.take_part(at, part, terms, &mut effects);
            if closed {
                break;
            }
        }
        effects
    }

    fn unreadable_stream(&mut self, at: Micros, error: &StreamError) -> Vec<Effect> {
        if let StreamError::Refused { status, retry_after } = *error {
            return self.feed(at, Input::Refused { status, retry_after });
        }
        log!("the event stream cannot be read: {error}");
        self.feed(at, Input::Garbled)
    }

    /// Takes in one part of the stream. Returns whether the connection is closed with it, so that what it still holds is
    /// dropped.
    fn take_part(&mut self, at: Micros, part: Part, terms: &Terms, effects: &mut Vec<Effect>) -> bool {
        let mut outputs = Vec::new();
        let mut news = None;
        match part {
            Part::Comment(text) => self.subscriber.handle(at, Input::Comment(&text), &mut outputs),
            Part::Event(data) => {
                let item = bulletin::event(&data, terms);
                if let Err(why) = &item {
                    log!("an event cannot be used: {why}");
                }
                let received = Received {
                    number: item.as_ref().ok().map(|item| item.no),
                    digest: None,
                    whole_list: matches!(&item, Ok(Item { news: News::Roster { whole: true, .. }, .. })),
                };
                news = item.ok().map(|item| item.news);
                self.subscriber.handle(at, Input::Event(received), &mut outputs);
            }
        }
        let closed = outputs.iter().any(|output| matches!(output, Output::Close(_)));
        outputs.into_iter().for_each(|output| self.perform(output, &mut news, effects));
        closed
    }

    fn feed(&mut self, at: Micros, input: Input<'_>) -> Vec<Effect> {
        let mut outputs = Vec::new();
        self.subscriber.handle(at, input, &mut outputs);
        let mut effects = Vec::new();
        outputs.into_iter().for_each(|output| self.perform(output, &mut None, &mut effects));
        effects
    }

    /// Turns an output of the subscriber into what the loop is to do; `news` is what the event just handed in tells.
    fn perform(&mut self, output: Output, news: &mut Option<News>, effects: &mut Vec<Effect>) {
        match output {
            Output::Dial(subscription) => {
                self.reader = StreamReader::default();
                effects.push(Effect::Dial(subscription.source, subscription.to_http().into_bytes()));
            }
            Output::Close(LeaveReason::Reconfigured) => {
                effects.push(Effect::Close("it is another now".into()))
            }
            Output::Close(reason) => effects.push(Effect::Close(reason.to_string())),
            Output::Heard(at) => effects.push(Effect::Heard(at)),
            Output::Lost => effects.push(Effect::Lost),
            Output::Gap { .. } => effects.push(Effect::CopiesVoid),
            Output::PassOver => {
                log!("an event of the bulletin is passed over");
                effects.push(Effect::CopiesVoid);
            }
            Output::Apply(_) => effects.extend(news.take().map(Effect::Apply)),
        }
    }
}

fn subscriber_terms(source: Option<SocketAddr>, notice: Option<Micros>) -> SubscriberTerms {
    SubscriberTerms {
        sources: source.into_iter().collect(),
        kind: SourceKind::Plain,
        verify: false,
        restart_history: false,
        gzip: false,
        scope: None,
        longest_backoff: longest_backoff(notice),
    }
}

/// The longest pause between two attempts. Danger: an event counts as told once the source has it, and one that comes
/// just after the source is back must be acted on within the settings' time: half of it may be slept.
fn longest_backoff(notice: Option<Micros>) -> Micros {
    notice.map_or(LONGEST_BACKOFF, |notice| (notice / 2).clamp(LEAST_BACKOFF, LONGEST_BACKOFF))
}
