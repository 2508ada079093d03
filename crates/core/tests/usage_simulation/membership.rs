//! Exchanges of members.

use std::collections::BTreeSet;
use std::sync::Arc;

use turmericrail_core::forward::CoordinatorOrder;

use super::network::Event;
use super::{EXCHANGE_INTERVAL_MS, FIRST_EXCHANGE_INTERVAL_MS, Fleet, SEEDS};

impl Fleet {
    /// An exchange with a random member, or a seed, in which both tell each other their members.
    pub(super) fn exchange(&mut self, number: usize) {
        if self.is_down(number) {
            return;
        }
        let has_exchanged = self.instances[number].has_exchanged;
        let mean_ms = if has_exchanged { EXCHANGE_INTERVAL_MS } else { FIRST_EXCHANGE_INTERVAL_MS };
        let interval_ms = mean_ms / 4 * 3 + self.network.draw(mean_ms / 2);
        self.network.add(self.now_ms + interval_ms, Event::Exchange { instance: number });
        let seed = self.network.draw(SEEDS as u64) as usize;
        let known = &self.instances[number].known;
        let index = self.network.draw(known.len() as u64) as usize;
        let member = *known.iter().nth(index).unwrap();
        let is_with_seed = member == number || self.network.draw(8) == 0;
        let other = if is_with_seed { seed } else { member };
        let is_reached = !self.is_down(other)
            && self.resumes_ms(number).is_none()
            && self.resumes_ms(other).is_none()
            && self.network.is_connected(self.now_ms, number, other);
        if !is_reached || other == number {
            return;
        }
        self.instances[number].has_exchanged = true;
        let now = self.now();
        let is_complete = |number: usize| self.instances[number].known.len() == self.members.len();
        let all = match is_complete(number) && is_complete(other) {
            true => BTreeSet::new(),
            false => &self.instances[number].known | &self.instances[other].known,
        };
        for (one, other) in [(number, other), (other, number)] {
            let member = self.members[other].clone();
            self.learn(one, &all);
            let caps = &mut self.instances[one].caps;
            caps.record_exchange();
            caps.members().record_contact(now, &member.instance, &member.data_centre);
            self.schedule_deputy_report(one);
        }
    }

    /// Adds members to those that an instance knows.
    pub(super) fn learn(&mut self, number: usize, members: &BTreeSet<usize>) {
        let instance = &mut self.instances[number];
        if members.is_subset(&instance.known) {
            return;
        }
        instance.known.extend(members);
        if instance.known.len() == self.members.len() {
            instance.order = Arc::clone(&self.order);
            return;
        }
        let members: Vec<_> =
            instance.known.iter().map(|known| self.members[*known].clone()).collect();
        instance.order = Arc::new(CoordinatorOrder::new(&self.tenant, &members));
    }
}
