//! Readers of token streams: what the daemon's token adapter does.

use turmericrail_core::action::ReadCall;
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{ServerId, StreamId};
use turmericrail_core::request::Cursor;
use turmericrail_core::token_reorder::TokenReorderBuffer;

use super::callers::{CallerState, Run};
use super::world::World;

/// One reading of a stream.
pub struct Reader {
    /// The reading run.
    pub run: Run,
    server: ServerId,
    call: ReadCall,
    order: TokenReorderBuffer,
    opened_ms: u64,
    heard_ms: u64,
}

enum Progress {
    Goes,
    Ended,
    Broken { is_held: bool },
    Refused,
}

impl World {
    /// The reader that passes a stream on to a waiting caller.
    pub fn reader_of(&self, stream: &StreamId) -> Option<&Reader> {
        let is_in_use = |reader: &&Reader| {
            reader.call.stream == *stream
                && self.caller_of(reader.run, reader.call.request).is_some()
        };
        self.readers.iter().find(is_in_use)
    }

    /// Opens a reading, or tells why that is not possible.
    pub fn open_reader(&mut self, server: ServerId, run: Run, call: ReadCall, is_reached: bool) {
        let order = TokenReorderBuffer::starting_at(call.from_index);
        let (opened_ms, heard_ms) = (self.now_ms, self.now_ms);
        let mut reader = Reader { run, server, call, order, opened_ms, heard_ms };
        if !is_reached {
            self.end_reader(&mut reader, Progress::Broken { is_held: true });
            return;
        }
        let engine = self.engines.get_mut(&reader.server).expect("every engine is known");
        let checks_holders = engine.checks_holders;
        let Some(stream) = engine.find(&reader.call.stream) else {
            self.end_reader(&mut reader, Progress::Broken { is_held: false });
            return;
        };
        if checks_holders && stream.holder != reader.call.holder && !reader.call.takes_over {
            self.end_reader(&mut reader, Progress::Refused);
            return;
        }
        if checks_holders {
            stream.holder = reader.call.holder.clone();
        }
        self.read_by.insert((reader.call.stream.clone(), run));
        self.readers.push(reader);
    }

    /// Lets every reader that runs read on.
    pub fn read_tokens(&mut self) {
        for mut reader in std::mem::take(&mut self.readers) {
            let slot = &self.slots[reader.run.0];
            if slot.node.is_none() || slot.incarnation != reader.run.1 {
                continue;
            }
            if self.now_ms < slot.paused_until_ms {
                self.readers.push(reader);
                continue;
            }
            match self.read(&mut reader) {
                Progress::Goes => self.readers.push(reader),
                end => self.end_reader(&mut reader, end),
            }
        }
    }

    fn read(&mut self, reader: &mut Reader) -> Progress {
        let now_ms = self.now_ms;
        let is_reached = self.reaches(reader.run.0, &self.engines[&reader.server]);
        let engine = self.engines.get_mut(&reader.server);
        let Some(engine) = engine else {
            return Progress::Broken { is_held: false };
        };
        if !engine.is_up(now_ms) {
            return Progress::Broken { is_held: true };
        }
        let is_mute = reader.opened_ms < engine.mute_until_ms || !is_reached;
        let found = engine.find(&reader.call.stream).cloned();
        let Some(stream) = found else {
            return Progress::Broken { is_held: true };
        };
        let generated = stream.generated(now_ms);
        if is_mute || (generated <= reader.order.next_index() && generated < stream.max_tokens) {
            let is_silent = now_ms - reader.heard_ms > reader.call.silence_ms.0;
            return if is_silent { Progress::Broken { is_held: true } } else { Progress::Goes };
        }
        reader.heard_ms = now_ms;
        self.pass_on(reader, stream.caller, generated);
        if generated >= stream.max_tokens {
            assert!(reader.order.finish(stream.max_tokens), "a stream ended early");
        }
        if reader.order.is_complete() { Progress::Ended } else { Progress::Goes }
    }

    /// Passes tokens on: some come early, some twice.
    fn pass_on(&mut self, reader: &mut Reader, answered: usize, generated: u64) {
        let first = reader.order.next_index();
        let mut indices: Vec<_> = (first..generated).collect();
        if indices.len() > 1 && self.draw.happens(20) {
            indices.swap(0, 1);
            indices.push(first);
        }
        for index in indices {
            for (index, _) in reader.order.push(index, String::new()) {
                if index == 0 {
                    let stream = reader.call.stream.clone();
                    self.tell(reader.run, Event::FirstToken(reader.call.request, stream));
                }
                let Some(caller) = self.caller_of(reader.run, reader.call.request) else {
                    continue;
                };
                self.callers[caller].take(caller, answered, index);
                let cursor = Cursor {
                    server: reader.server.clone(),
                    stream: reader.call.stream.clone(),
                    next_index: index + 1,
                    binding: reader.call.binding.clone(),
                };
                self.callers[caller].cursor = Some(cursor.seal(&SealKey::new("0123456789abcdef")));
            }
        }
    }

    fn end_reader(&mut self, reader: &mut Reader, end: Progress) {
        let (run, request) = (reader.run, reader.call.request);
        let stream = reader.call.stream.clone();
        match end {
            Progress::Goes => {}
            Progress::Ended => {
                if let Some(caller) = self.caller_of(run, request) {
                    self.callers[caller].take_end();
                }
                assert!(self.answered.insert((run, request)), "a request was answered twice");
                self.tell(run, Event::StreamEnded(request, stream));
            }
            Progress::Broken { is_held } => {
                let next_index = reader.order.next_index();
                self.tell(run, Event::StreamBroken { request, stream, next_index, is_held });
            }
            Progress::Refused => {
                if let Some(caller) = self.caller_of(run, request) {
                    self.cut_caller(caller);
                }
                self.tell(run, Event::CallerGone(request));
            }
        }
    }

    /// A caller leaves.
    pub fn leave(&mut self, caller: usize) {
        let CallerState::Asking(run, request) = self.callers[caller].state else {
            return;
        };
        self.callers[caller].state = CallerState::Done;
        self.callers[caller].has_left = true;
        self.tell(run, Event::CallerGone(request));
    }
}
