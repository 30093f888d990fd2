//! Compares the members' views of a simulated fleet with each other and with the true states.

use violetgate_membership::{Member, MemberState, Membership, Micros};

use crate::naming::member_number;
use crate::World;

impl World {
    /// Whether all running members have the same view, and each sees all other running members as
    /// alive.
    #[must_use]
    pub fn agrees(&self) -> bool {
        let running: Vec<usize> = self.running_members().collect();
        self.has_equal_digests()
            && running
                .iter()
                .all(|member| self.sees_all_running(*member, running.len()))
    }

    /// Whether all running members have the same view, in which the running members are alive and
    /// all others are dead or have left.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let Some(first) = self.running_members().next() else {
            return self.has_equal_digests();
        };
        let is_correct = |member: &Member| {
            matches!(member.state, MemberState::Dead | MemberState::Left)
                || self.is_running(member_number(&member.name))
        };
        // Views with equal digests are equal, so checking one of them is enough.
        self.has_equal_digests()
            && self.sees_all_running(first, self.running_members().count())
            && self.view(first).all(|member| is_correct(&member))
    }

    fn running_members(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.members().len()).filter(|member| self.is_running(*member))
    }

    fn has_equal_digests(&self) -> bool {
        let members = self.members();
        let running = self
            .running_members()
            .filter_map(|member| members.get(member));
        let mut digests = running.map(Membership::digest);
        let Some(first) = digests.next() else {
            return true;
        };
        digests.all(|digest| digest == first)
    }

    fn sees_all_running(&self, member: usize, running_count: usize) -> bool {
        let mut others = 0;
        for other in self.view(member) {
            if !self.is_running(member_number(&other.name)) {
                continue;
            }
            if other.state != MemberState::Alive {
                return false;
            }
            others += 1;
        }
        others + 1 == running_count
    }

    /// Counts the recorded declarations of death whose subject had not died by the fault plan.
    #[must_use]
    pub fn false_deaths(&self) -> usize {
        self.view_changes
            .iter()
            .filter(|change| change.state == MemberState::Dead)
            .filter(|change| !self.has_died(change.subject, change.at))
            .count()
    }

    /// The time in microseconds from a death until the last running member declared it; `None` if a
    /// running member has not declared it yet.
    #[must_use]
    pub fn time_until_all_know(&self, subject: usize, died_at: Micros) -> Option<Micros> {
        let others = self.running_members().filter(|member| *member != subject);
        let times: Option<Vec<Micros>> = others
            .map(|observer| self.time_until_declared(observer, subject, died_at))
            .collect();
        times?.into_iter().max()
    }

    fn time_until_declared(
        &self,
        observer: usize,
        subject: usize,
        died_at: Micros,
    ) -> Option<Micros> {
        let declaration = self.view_changes.iter().find(|change| {
            change.observer == observer
                && change.subject == subject
                && change.state == MemberState::Dead
                && change.at >= died_at
        });
        declaration.map(|change| change.at - died_at)
    }
}
