//! How long work takes at a server, relative to the average server of its service.
//!
//! Two factors are kept apart, since they change at different rates. The lasting slowdown is a
//! property of a run of a server, learned from measured times. The momentary slowdown is a figure
//! that the server states itself, which is worth little half a second later. Their product scales
//! the times expected at an average server. Servers that state no figure are predicted from
//! their latency ratio alone.

mod lasting_slowdown;
mod lasting_speeds;
mod measured_times;
mod momentary_slowdown;
mod server_speed;
mod work_time_percent;

pub use lasting_slowdown::LastingSlowdown;
pub use lasting_speeds::LastingSpeed;
pub use momentary_slowdown::MomentarySlowdown;
pub use server_speed::ServerSpeed;
pub use work_time_percent::WorkTimePercent;
