//! Readers of token streams, which play the part of the daemon's connections to engines.

use turmericrail_core::action::ReadCall;
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{ServerId, StreamId};
use turmericrail_core::request::Cursor;
use turmericrail_core::token_reorder::TokenReorderBuffer;

use super::callers::{CallerState, Run};
use super::simulation::Simulation;

/// A run that reads a stream.
pub struct Reader {
    pub run: Run,
    server: ServerId,
    call: ReadCall,
    reorder_buffer: TokenReorderBuffer,
    opened_ms: u64,
    last_token_ms: u64,
}

enum ReadProgress {
    Open,
    Ended,
    Broken { is_held: bool },
    Refused,
}

impl Simulation {
    /// The reader that passes this stream to a caller who still waits.
    pub fn reader_of(&self, stream: &StreamId) -> Option<&Reader> {
        let is_in_use = |reader: &&Reader| {
            reader.call.stream == *stream
                && self.caller_of(reader.run, reader.call.request).is_some()
        };
        self.readers.iter().find(is_in_use)
    }

    /// Opens a reader, or reports to the run why that is not possible.
    pub fn open_reader(&mut self, server: ServerId, run: Run, call: ReadCall, is_reached: bool) {
        let reorder_buffer = TokenReorderBuffer::starting_at(call.from_index);
        let (opened_ms, last_token_ms) = (self.now_ms, self.now_ms);
        let mut reader = Reader { run, server, call, reorder_buffer, opened_ms, last_token_ms };
        if !is_reached {
            self.end_reader(&mut reader, ReadProgress::Broken { is_held: true });
            return;
        }
        let engine = self.engines.get_mut(&reader.server).expect("every engine is known");
        let checks_holders = engine.checks_holders;
        let Some(stream) = engine.find_readable(&reader.call.stream) else {
            self.end_reader(&mut reader, ReadProgress::Broken { is_held: false });
            return;
        };
        if checks_holders && stream.holder != reader.call.holder && !reader.call.takes_over {
            self.end_reader(&mut reader, ReadProgress::Refused);
            return;
        }
        if checks_holders {
            stream.holder = reader.call.holder.clone();
        }
        self.read_by.insert((reader.call.stream.clone(), run));
        self.readers.push(reader);
    }

    /// Advances every reader whose run is neither ended nor paused.
    pub fn read_tokens(&mut self) {
        for mut reader in std::mem::take(&mut self.readers) {
            let instance = &self.instances[reader.run.0];
            if instance.node.is_none() || instance.incarnation != reader.run.1 {
                continue;
            }
            if self.now_ms < instance.paused_until_ms {
                self.readers.push(reader);
                continue;
            }
            match self.advance_reader(&mut reader) {
                ReadProgress::Open => self.readers.push(reader),
                end => self.end_reader(&mut reader, end),
            }
        }
    }

    fn advance_reader(&mut self, reader: &mut Reader) -> ReadProgress {
        let now_ms = self.now_ms;
        let is_reached = self.can_reach(reader.run.0, &self.engines[&reader.server]);
        let engine = self.engines.get_mut(&reader.server);
        let Some(engine) = engine else {
            return ReadProgress::Broken { is_held: false };
        };
        if !engine.is_up(now_ms) {
            return ReadProgress::Broken { is_held: true };
        }
        let is_mute = reader.opened_ms < engine.readers_stalled_until_ms || !is_reached;
        let found = engine.find_readable(&reader.call.stream).cloned();
        let Some(stream) = found else {
            return ReadProgress::Broken { is_held: true };
        };
        let generated_tokens = stream.generated_tokens(now_ms);
        if is_mute
            || (generated_tokens <= reader.reorder_buffer.next_index()
                && generated_tokens < stream.max_tokens)
        {
            let is_silent = now_ms - reader.last_token_ms > reader.call.silence_ms.0;
            return if is_silent {
                ReadProgress::Broken { is_held: true }
            } else {
                ReadProgress::Open
            };
        }
        reader.last_token_ms = now_ms;
        self.deliver_tokens(reader, stream.caller, generated_tokens);
        if generated_tokens >= stream.max_tokens {
            assert!(reader.reorder_buffer.finish(stream.max_tokens), "a stream ended early");
        }
        if reader.reorder_buffer.is_complete() { ReadProgress::Ended } else { ReadProgress::Open }
    }

    /// Delivers the new tokens to the caller. At random, two arrive in the wrong order and one arrives
    /// twice.
    fn deliver_tokens(&mut self, reader: &mut Reader, stream_caller: usize, generated_tokens: u64) {
        let first = reader.reorder_buffer.next_index();
        let mut indices: Vec<_> = (first..generated_tokens).collect();
        if indices.len() > 1 && self.random.chance_percent(20) {
            indices.swap(0, 1);
            indices.push(first);
        }
        for index in indices {
            for (index, _) in reader.reorder_buffer.push(index, String::new()) {
                if index == 0 {
                    let stream = reader.call.stream.clone();
                    self.deliver_event(reader.run, Event::FirstToken(reader.call.request, stream));
                }
                let Some(caller) = self.caller_of(reader.run, reader.call.request) else {
                    continue;
                };
                self.callers[caller].receive_token(caller, stream_caller, index);
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

    fn end_reader(&mut self, reader: &mut Reader, end: ReadProgress) {
        let (run, request) = (reader.run, reader.call.request);
        let stream = reader.call.stream.clone();
        match end {
            ReadProgress::Open => {}
            ReadProgress::Ended => {
                if let Some(caller) = self.caller_of(run, request) {
                    self.callers[caller].receive_end();
                }
                assert!(
                    self.answered_requests.insert((run, request)),
                    "a request was answered twice"
                );
                self.deliver_event(run, Event::StreamEnded(request, stream));
            }
            ReadProgress::Broken { is_held } => {
                let next_index = reader.reorder_buffer.next_index();
                self.deliver_event(
                    run,
                    Event::StreamBroken { request, stream, next_index, is_held },
                );
            }
            ReadProgress::Refused => {
                if let Some(caller) = self.caller_of(run, request) {
                    self.drop_connection(caller);
                }
                self.deliver_event(run, Event::CallerGone(request));
            }
        }
    }

    /// Closes the connection of a caller that waits.
    pub fn disconnect_caller(&mut self, caller: usize) {
        let CallerState::Waiting(run, request) = self.callers[caller].state else {
            return;
        };
        self.callers[caller].state = CallerState::Done;
        self.callers[caller].has_left = true;
        self.deliver_event(run, Event::CallerGone(request));
    }
}
