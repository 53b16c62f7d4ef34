"""Fair shares of the engines' time for the workspaces whose jobs wait.

Load pattern: one workspace sends many times its usual rate. By due time alone its jobs
come first as often as it sends more, and those of all others are late with them.
"""

from collections import Counter

from savoryhill.core import virtual_counters
from savoryhill.core.scheduling.engine_profile import decode_pass_s, prefill_s

# Credit that a workspace with jobs may have against any other one, in engine time. It
# covers two prompts of 300,000 tokens: a workspace that sends one of them among short
# prompts stays ahead of one that takes all it can get.
MAX_CREDIT_S = 20.0
# Workspaces whose counters differ by less engine time than this are served by due time.
# If all of them contend alike, shorter rounds bring fewer jobs in on time.
ROUND_S = 5.0


def job_engine_s(profile, job):
    """Predict the engine time of a job, in seconds.

    Prefill occupies the engine, the output one of its slots.

    Parameters
    ----------
    profile : EngineProfile
        Profile of the engines of the service.
    job : Job
        The job.

    Returns
    -------
    float
    """
    n_passes = -(-job.answer_tokens // profile.stride)
    generation_s = n_passes * decode_pass_s(profile, 1, job.prompt_tokens)
    return prefill_s(profile, job.prompt_tokens) + generation_s / profile.slots


class WorkspaceShares:
    """Virtual counters of the engine time that workspaces have received, in seconds.

    ``engine_s`` is a function that predicts the engine time of a job. The state is a
    number for each workspace that has jobs or a counter above the floor. The floor is
    the lowest counter of the workspaces with jobs, and at most `MAX_CREDIT_S` below the
    highest one.
    """

    def __init__(self, *, engine_s):
        self._engine_s = engine_s
        self.counters_by_workspace = {}
        self.floor = 0.0
        self._n_running_by_workspace = Counter()
        self._waiting = frozenset()

    def charge(self, workspace, seconds):
        """Charge a workspace for a job that begins to run; a retry counts as a job.

        The end of the job is told by `note_ended`.
        """
        if not self._is_active(workspace):
            self._raise_floor()
        virtual_counters.charge(
            self.counters_by_workspace, workspace, seconds, floor=self.floor
        )
        self._n_running_by_workspace[workspace] += 1
        highest = self.counters_by_workspace[workspace]
        self.floor = max(self.floor, highest - MAX_CREDIT_S)

    def refund(self, workspace, seconds):
        """Return engine time that was charged for a job and not used."""
        virtual_counters.refund(self.counters_by_workspace, workspace, seconds)

    def lead_s(self, workspace):
        """Return the engine time by which a workspace is ahead of the floor."""
        counter = self.counters_by_workspace.get(workspace, self.floor)
        return max(0.0, counter - self.floor)

    def note_ended(self, workspace):
        """Record that a job that was charged runs no longer."""
        self._n_running_by_workspace[workspace] -= 1
        if self._n_running_by_workspace[workspace] <= 0:
            del self._n_running_by_workspace[workspace]

    def order(self, jobs, now):
        """Return waiting jobs in the order in which they are considered.

        Priority comes first. Among jobs of one priority, each stands where its
        workspace's counter will be once the jobs of that workspace before it have been
        served, in rounds of `ROUND_S`. Jobs of the same round, and those of one
        workspace, are ordered by due time, those that are not late first.

        Parameters
        ----------
        jobs : iterable of Job
            The jobs that wait.
        now : float
            Current time of the scheduler's clock, in seconds.

        Returns
        -------
        list of Job
        """
        by_due_time = sorted(
            jobs,
            key=lambda j: (
                j.priority,
                j.first_event_due_at <= now,
                j.first_event_due_at,
            ),
        )
        workspaces = frozenset(job.workspace for job in by_due_time)
        self._note_waiting(workspaces)
        if len(workspaces) < 2:
            return by_due_time
        self._raise_floor()
        leads_by_workspace, placed_jobs = {}, []
        for job in by_due_time:
            lead_s = leads_by_workspace.get(job.workspace)
            if lead_s is None:
                lead_s = self.lead_s(job.workspace)
            leads_by_workspace[job.workspace] = lead_s + self._engine_s(job)
            is_late = job.first_event_due_at <= now
            placed_jobs.append((job.priority, lead_s // ROUND_S, is_late, job))
        # The sort is stable, so that jobs of one round stay in the order by due time.
        placed_jobs.sort(key=lambda item: item[:3])
        return [job for *_, job in placed_jobs]

    def _is_active(self, workspace):
        return workspace in self._n_running_by_workspace or workspace in self._waiting

    def _note_waiting(self, workspaces):
        """Raise the counters of workspaces that were idle until now to the floor.

        From then on they hold the floor as well. Otherwise it would follow the counter
        of a workspace that is served while they wait, and they would not catch up.
        """
        self._waiting &= workspaces
        arrived = [each for each in workspaces if not self._is_active(each)]
        if arrived:
            self._raise_floor()
            for workspace in arrived:
                virtual_counters.charge(
                    self.counters_by_workspace, workspace, 0.0, floor=self.floor
                )
        self._waiting = workspaces

    def _raise_floor(self):
        """Raise the floor and forget the counters that it has reached.

        While no workspace has jobs, none is kept waiting, and all begin anew.
        """
        counters = self.counters_by_workspace
        active = self._waiting.union(self._n_running_by_workspace)
        if active:
            self.floor = virtual_counters.raised_floor(self.floor, counters, active)
        else:
            self.floor = max([self.floor, *counters.values()])
        self.counters_by_workspace = virtual_counters.above_floor(
            counters, self.floor, active
        )
