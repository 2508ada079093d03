//! Members that become coordinators.

use std::collections::VecDeque;
use std::sync::Arc;

use turmericrail_core::forward::{Member, UsageRequest, UsageStep};
use turmericrail_core::units::Millis;

use super::network::{Event, Message, Reply};
use super::{FETCH_TIMEOUT_MS, Fleet, Purpose};

impl Fleet {
    pub(super) fn reserve(&mut self, id: u64, to: usize, request: UsageRequest) {
        if self.instances[to].is_starting {
            self.instances[to].waiting.push((to, id, request));
            return;
        }
        let (now, order) = (self.now(), Arc::clone(&self.instances[to].order));
        match self.instances[to].caps.reserve(now, &order, &request) {
            UsageStep::Reply(reply) => {
                self.reply(id, to, Reply::Usage(reply));
                self.schedule_deputy_report(to);
            }
            UsageStep::Redirect(member) => self.reply(id, to, Reply::Redirect(member)),
            UsageStep::Unable => self.reply(id, to, Reply::Unable),
            UsageStep::Start(predecessors) => self.begin_start(id, to, request, &predecessors),
        }
    }

    pub(super) fn begin_start(
        &mut self,
        id: u64,
        to: usize,
        request: UsageRequest,
        others: &[Member],
    ) {
        let instance = &mut self.instances[to];
        instance.is_starting = true;
        instance.start += 1;
        instance.waiting = vec![(to, id, request)];
        instance.levels.clear();
        instance.fetches = others.len();
        let start = instance.start;
        self.outcome.starts += 1;
        self.network.add(self.now_ms + FETCH_TIMEOUT_MS, Event::FetchEnd { instance: to, start });
        for other in others {
            let other = self.number(other);
            let asker = self.members[to].instance.clone();
            self.call(to, other, Purpose::Fetch(start), Message::Fetch(asker));
        }
    }

    pub(super) fn end_start(&mut self, number: usize, start: u64) {
        let instance = &mut self.instances[number];
        if self.now_ms < instance.down_until_ms || !instance.is_starting || instance.start != start
        {
            return;
        }
        instance.is_starting = false;
        let now = Millis(self.now_ms);
        let order = Arc::clone(&instance.order);
        let mut waiting = VecDeque::from(std::mem::take(&mut instance.waiting));
        let Some((_, id, request)) = waiting.pop_front() else {
            return;
        };
        let levels = std::mem::take(&mut instance.levels);
        let reply = instance.caps.start(now, &order, &request, levels);
        self.reply(id, number, Reply::Usage(reply));
        for (to, id, request) in waiting {
            self.reserve(id, to, request);
        }
    }
}
