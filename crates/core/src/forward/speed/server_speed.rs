//! The speed of one run of a server: its lasting and its momentary slowdown.

use super::lasting_slowdown::LastingSlowdown;
use super::momentary_slowdown::MomentarySlowdown;
use crate::forward::WorkTimePercent;
use crate::units::Millis;

/// Both factors on the times that are expected of an average server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSpeed {
    /// `None` until the server states a figure.
    momentary: Option<MomentarySlowdown>,
    lasting: LastingSlowdown,
}

impl ServerSpeed {
    /// Stores the figure that the server states.
    pub fn record_figure(&mut self, now_ms: Millis, figure: WorkTimePercent) {
        match &mut self.momentary {
            Some(momentary) => momentary.record(now_ms, figure),
            None => self.momentary = Some(MomentarySlowdown::new(now_ms, figure)),
        }
    }

    /// Whether the server has stated a figure, to this instance or to another one.
    pub fn is_stated(&self) -> bool {
        self.momentary.is_some() || self.lasting.samples() > 0
    }

    /// Records the time of work that has just ended against the time expected at an average server.
    /// Without a figure it can't be told what of it lasts, so nothing is recorded.
    pub fn record_time(&mut self, now_ms: Millis, measured_ms: f64, baseline_ms: f64) {
        let Some(momentary) = self.momentary else {
            return;
        };
        if measured_ms <= 0.0 || baseline_ms <= 0.0 {
            return;
        }
        let middle_ms = now_ms.saturating_sub(Millis((measured_ms / 2.0) as u64));
        self.lasting.record(now_ms, measured_ms / baseline_ms / momentary.value(middle_ms));
    }

    /// Takes the mean with the lasting slowdown that another instance has learned.
    pub fn merge_lasting(&mut self, now_ms: Millis, ratio: f64, samples: u8) {
        self.lasting.merge(now_ms, ratio, samples);
    }

    /// The lasting slowdown.
    pub fn lasting(&self) -> &LastingSlowdown {
        &self.lasting
    }

    /// The momentary slowdown; `None` until the server states a figure.
    pub fn momentary(&self) -> Option<&MomentarySlowdown> {
        self.momentary.as_ref()
    }

    /// Expected ratio of the server's time to an average server's for work that starts now, of
    /// which the middle counts; `None` until the server states a figure.
    pub fn time_ratio(&self, now_ms: Millis, baseline_ms: f64) -> Option<f64> {
        let lasting = self.lasting.value(now_ms);
        let middle_ms = now_ms + Millis((baseline_ms * lasting / 2.0) as u64);
        let momentary = self.momentary.map_or(1.0, |momentary| momentary.value(middle_ms));
        self.is_stated().then_some(lasting * momentary)
    }
}
