//! Which instance may give orders to an engine, and with which fencing numbers.
//!
//! Engines may ignore fencing numbers, and instances share no state, so the right to give orders to
//! a run of an engine never passes from one instance to another: it belongs to one of the seeds, by
//! a hash of the run. While that seed is down or cut off, the engine gets no orders.

use crate::forward::ServerRun;
use crate::ids::{FencingNumber, InstanceId};
use crate::membership::rendezvous::stable_hash;

/// Orders to one run for which there are fencing numbers.
const MAX_ORDERS: u64 = 16;
/// Values of the part of a fencing number that differs between instances.
const INSTANCE_VALUES: u64 = 256;
/// First number that may not survive being read as a float.
const FENCING_NUMBER_END: u64 = 1 << 53;

/// Position among the seeds of the instance that may give orders to a run of an engine; `None`
/// without seeds.
pub fn orderer_position(run: &ServerRun, seed_count: usize) -> Option<usize> {
    let hash = stable_hash(&format!("{}/{}", run.server, run.started_ms.0));
    hash.checked_rem(seed_count as u64).map(|position| position as usize)
}

/// The fencing number of the next order to a run that has accepted so many; `None` if there are no
/// more, or if the engine states a start that leaves no room for one. It depends on no clock but the
/// engine's: it rises with each accepted order and each start of the engine, and stays below 2^53, so
/// that it survives being read as a float.
pub fn fencing_number(
    run: &ServerRun,
    accepted_orders: u64,
    instance: &InstanceId,
) -> Option<FencingNumber> {
    if accepted_orders >= MAX_ORDERS {
        return None;
    }
    let instance_value = stable_hash(instance.as_str()) % INSTANCE_VALUES;
    let order = run.started_ms.0.checked_mul(MAX_ORDERS)?.checked_add(accepted_orders)?;
    let number = order.checked_mul(INSTANCE_VALUES)?.checked_add(instance_value)?;
    (number < FENCING_NUMBER_END).then_some(FencingNumber(number))
}
