//! The members that may be the coordinator of a tenant, best first.

use std::collections::BTreeMap;

use crate::forward::Member;
use crate::ids::{DataCentreId, InstanceId, TenantId};
use crate::membership::rendezvous;

/// Best members of all that are candidates.
const TOP_MEMBERS: usize = 6;
/// Best members of each data centre that are candidates, since the others may be out of reach.
const TOP_MEMBERS_PER_DATA_CENTRE: usize = 2;

/// Candidates in rendezvous order, and the number of members of each data centre. Instances with
/// the same members have the same order.
#[derive(Clone, Debug)]
pub struct CoordinatorOrder {
    candidates: Vec<Member>,
    member_counts: BTreeMap<DataCentreId, usize>,
}

impl CoordinatorOrder {
    /// The order for a tenant among all members, the own instance included.
    pub fn new(tenant: &TenantId, members: &[Member]) -> Self {
        let key = format!("usage-{tenant}");
        let by_id: BTreeMap<_, _> =
            members.iter().map(|member| (&member.instance, member)).collect();
        let ranked = rendezvous::top_members(&key, by_id.keys().copied(), usize::MAX);
        let mut member_counts: BTreeMap<DataCentreId, usize> = BTreeMap::new();
        let mut candidates = Vec::new();
        for (rank, instance) in ranked.into_iter().enumerate() {
            let member = by_id[instance];
            let count = member_counts.entry(member.data_centre.clone()).or_default();
            *count += 1;
            if rank < TOP_MEMBERS || *count <= TOP_MEMBERS_PER_DATA_CENTRE {
                candidates.push(member.clone());
            }
        }
        Self { candidates, member_counts }
    }

    /// The candidates, best first.
    pub fn candidates(&self) -> &[Member] {
        &self.candidates
    }

    /// Number of all members.
    pub fn member_count(&self) -> usize {
        self.member_counts.values().sum()
    }

    /// Whether an instance is the best member.
    pub fn is_first(&self, instance: &InstanceId) -> bool {
        self.candidates.first().is_some_and(|first| first.instance == *instance)
    }

    /// Whether one instance comes before another; those that are no candidates come last.
    pub fn is_before(&self, instance: &InstanceId, other: &InstanceId) -> bool {
        self.position(instance) < self.position(other)
    }

    fn position(&self, instance: &InstanceId) -> usize {
        let position = self.candidates.iter().position(|member| member.instance == *instance);
        position.unwrap_or(usize::MAX)
    }

    /// Members that may have been the coordinator before an instance: the two best others, and the
    /// best other one of each data centre.
    pub fn predecessors(&self, own: &InstanceId) -> Vec<Member> {
        let others = self.candidates.iter().filter(|member| member.instance != *own);
        let mut data_centres = Vec::new();
        let mut predecessors = Vec::new();
        for member in others {
            let is_known = data_centres.contains(&&member.data_centre);
            if predecessors.len() < 2 || !is_known {
                predecessors.push(member.clone());
            }
            if !is_known {
                data_centres.push(&member.data_centre);
            }
        }
        predecessors
    }

    /// Part of all members that are in data centres of which a condition holds.
    pub fn share(&self, is_counted: impl Fn(&DataCentreId) -> bool) -> f64 {
        let counted = self.member_counts.iter().filter(|(data_centre, _)| is_counted(data_centre));
        let counted: usize = counted.map(|(_, count)| count).sum();
        counted as f64 / self.member_count().max(1) as f64
    }
}
