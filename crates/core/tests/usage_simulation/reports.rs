//! Reports of what was admitted.

use std::sync::Arc;

use turmericrail_core::units::Millis;

use super::network::{Event, Message};
use super::{Fleet, Purpose};

impl Fleet {
    pub(super) fn schedule_report(&mut self, number: usize) {
        let now = self.now();
        let view = self.instances[number].caps.view(now, &self.tenant);
        if let Some(due_ms) = view.reports().due_in_ms(now) {
            self.network.add(self.now_ms + due_ms.0, Event::Report { instance: number });
        }
    }

    pub(super) fn report(&mut self, number: usize) {
        if self.is_down(number) {
            return;
        }
        let (now, order) = (self.now(), Arc::clone(&self.instances[number].order));
        let caps = &mut self.instances[number].caps;
        if caps.view(now, &self.tenant).reports().due_in_ms(now) != Some(Millis::ZERO) {
            return;
        }
        let Some(target) = caps.choose(now, &order).cloned() else {
            return self.retry_report(number);
        };
        let request = caps.report(now, &self.tenant, self.terms, &target.instance);
        let to = self.number(&target);
        self.call(number, to, Purpose::Report, Message::Reserve(request));
    }

    pub(super) fn retry_report(&mut self, number: usize) {
        let now = self.now();
        self.instances[number].caps.view(now, &self.tenant).reports().keep_failed(now);
        self.schedule_report(number);
    }

    pub(super) fn schedule_deputy_report(&mut self, number: usize) {
        let (now, order) = (self.now(), Arc::clone(&self.instances[number].order));
        let caps = &mut self.instances[number].caps;
        if let Some((_, due_ms)) = caps.deputy_report_due_in_ms(now, &order, &self.tenant) {
            self.network.add(self.now_ms + due_ms.0, Event::DeputyReport { instance: number });
        }
    }

    pub(super) fn report_as_deputy(&mut self, number: usize) {
        if self.is_down(number) {
            return;
        }
        let (now, order) = (self.now(), Arc::clone(&self.instances[number].order));
        let caps = &mut self.instances[number].caps;
        let due = caps.deputy_report_due_in_ms(now, &order, &self.tenant);
        let Some((better, Millis::ZERO)) = due else {
            return;
        };
        if let Some(request) = caps.deputy_report(now, &self.tenant, self.terms) {
            let to = self.number(better);
            self.call(number, to, Purpose::DeputyReport, Message::Reserve(request));
        }
    }

    pub(super) fn retry_deputy_report(&mut self, number: usize) {
        let now = self.now();
        let caps = &mut self.instances[number].caps;
        if let Some(coordinator) = caps.coordinator(&self.tenant) {
            coordinator.reports().keep_failed(now);
        }
        self.schedule_deputy_report(number);
    }
}
