"""What callers, workers and the operator of a soak have seen, and the rules that it is judged by."""

import json
import time

VISIBLE_S = 3.0  # an accepted job is known everywhere after this long
CALM_S = 5.0  # without a fault, before the time that a job may stand idle begins
IDLE_S = 3.0
LASTING_RESTART_S = 6.0  # a task that lasts may be away for this long before it counts as idle


class Job:
    def __init__(self, name, queue, steps, kinds):
        self.name, self.queue, self.steps, self.kinds = name, queue, steps, kinds
        self.is_lasting = any(step.get("long_running") for step in steps)
        self.accepted_at = self.cancelled_at = self.completed_at = None
        self.refused = False
        self.state = None

    def body(self):
        return {"spec": json.dumps(self.kinds), "steps": self.steps}

    def tasks(self, step):
        return [f"{self.name}.0.{step}.{index}" for index in range(self.steps[step]["count"])]


class End:
    def __init__(self, worker, run):
        self.worker, self.life, self.run, self.at = worker, worker.lives, run, time.monotonic()
        self.is_acknowledged = self.is_lost = False
        self.later_starts = []


class Runs:
    """The runs of all workers, judged as they begin and end."""

    def __init__(self, jobs, broken, note, is_evacuated):
        self.jobs, self.broken, self.note, self.is_evacuated = jobs, broken, note, is_evacuated
        self.at = {}  # task -> {(worker name, run number)}
        self.done = {}  # task -> [End]
        self.last_seen = {}  # task -> time at which it last ran

    def started(self, worker, run):
        self.note("run_start", worker=worker.name, task=run.task, run=run.number)
        held = self.at.setdefault(run.task, set())
        if held:
            self.broken(f"task {run.task} starts as run {run.number} on {worker.name} beside {sorted(held)}")
        held.add((worker.name, run.number))
        for end in self.done.get(run.task, []):
            if end.is_acknowledged and time.monotonic() - end.at > 1:
                self.broken(f"task {run.task} starts as run {run.number} on {worker.name} after the acknowledged end "
                            f"of run {end.run} on {end.worker.name}")
            elif not end.is_lost:
                end.later_starts.append(run.number)
        if sum(r.step["mem_mb"] for r in worker.running.values()) > worker.mem_mb or worker.in_use("cpu") > worker.cpu:
            self.broken(f"task {run.task} starts on {worker.name}, which has no room for it")
        if self.is_evacuated(worker.zone):
            self.broken(f"task {run.task} starts on {worker.name} in an evacuated data centre")
        job = self.jobs.get(run.task.split(".")[0])
        if job is None or job.refused:
            self.broken(f"task {run.task} starts, of a job that was refused or never sent")
        elif not self.has_turn(job, int(run.task.split(".")[2])):
            self.broken(f"task {run.task} starts before the steps that it waits for are done")

    def _over(self, worker, run):
        self.at.get(run.task, set()).discard((worker.name, run.number))
        self.last_seen[run.task] = time.monotonic()

    def ended(self, worker, run, how):
        self._over(worker, run)
        self.note("run_end", worker=worker.name, task=run.task, run=run.number, how=how)
        if how == "done":
            self.done.setdefault(run.task, []).append(End(worker, run.number))

    def lost(self, worker, run):
        self._over(worker, run)
        self.note("run_lost", worker=worker.name, task=run.task, run=run.number)

    def _ends_on(self, worker, task):
        return [e for e in self.done.get(task, []) if e.worker is worker and e.life == worker.lives]

    def done_lost(self, worker, task):
        for end in self._ends_on(worker, task):
            end.is_lost = end.is_lost or not end.is_acknowledged

    def acknowledged(self, worker, task, lapsed):
        for end in self._ends_on(worker, task):
            if not end.is_acknowledged and not lapsed:
                end.is_acknowledged = True
                if end.later_starts:
                    self.broken(f"task {task} was started as runs {end.later_starts} after its run {end.run} had ended "
                                f"done on {worker.name}, which was acknowledged later")

    def is_done(self, task):
        return any(not end.is_lost for end in self.done.get(task, []))

    def has_ended(self, task):
        """Whether it has ended done once, though its worker may have crashed before that was acknowledged."""
        return bool(self.done.get(task))

    @staticmethod
    def _is_step(job, step, holds):
        tasks = job.tasks(step)
        return any(map(holds, tasks)) if job.steps[step].get("gang") else all(map(holds, tasks))

    def is_step_done(self, job, step):
        return self._is_step(job, step, self.is_done)

    def has_step_ended(self, job, step):
        return self._is_step(job, step, self.has_ended)

    def has_turn(self, job, step):
        return all(self.has_step_ended(job, earlier) for earlier in job.steps[step].get("after", []))

    def is_running(self, task):
        return bool(self.at.get(task))

    def waiting(self, job):
        """Numbers of the steps that have a task whose turn has come and that neither runs nor is done."""
        return [n for n in range(len(job.steps)) if self.has_turn(job, n) and not self.is_step_done(job, n)
                and any(not self.is_running(t) and not self.is_done(t) for t in job.tasks(n))]


class Watch:
    """Finds jobs that stand idle although the deployment is calm and sound VMs have room for them."""

    def __init__(self, world):
        self.world = world
        self.idle_since = {}  # job, or task that lasts -> time
        self.reported = set()

    def look(self):
        now = time.monotonic()
        sound = [worker for worker in self.world.workers if self.world.is_sound(worker)]
        used = sum(worker.in_use("cpu") for worker in sound)
        half_free = used < sum(worker.cpu for worker in sound) / 2
        idle = {}
        for job in self.world.jobs.values():
            if job.accepted_at is None or job.cancelled_at is not None or job.state == "completed":
                continue
            for name, steps, patience in self._idle_parts(job):
                if half_free and any(self.has_room(job.steps[step], sound) for step in steps):
                    idle[name] = (self.idle_since.get(name, (now,))[0], patience)
        self.idle_since = idle
        calm_since = self.world.calm_since()
        for name, (since, patience) in idle.items():
            idle_s = now - max(since, calm_since + CALM_S)
            if idle_s >= patience and name not in self.reported:
                self.reported.add(name)
                self.world.broken(f"{name} has had nothing running for {now - since:.1f} s, {now - calm_since:.1f} s "
                                  "after the last fault, though it could run", job=name.split(".")[0])

    def _idle_parts(self, job):
        """(Job or task, its steps that wait, seconds that it may be idle)."""
        runs = self.world.runs
        waiting = runs.waiting(job)
        if job.is_lasting:
            for step in waiting:
                for task in job.tasks(step):
                    if not runs.is_running(task):
                        yield task, [step], LASTING_RESTART_S + IDLE_S
        elif waiting and not any(runs.is_running(t) for step in range(len(job.steps)) for t in job.tasks(step)):
            yield job.name, waiting, IDLE_S

    @staticmethod
    def has_room(step, sound):
        """Whether there is room for a task, or for a whole gang, twice over."""
        wanted = 2 * (step["count"] if step.get("gang") else 1)
        fits = 0
        for worker in sound:
            cpu = worker.cpu - worker.in_use("cpu")
            if step.get("fills"):
                cpu -= worker.filler_cpu()
                if any(run.step.get("serves") for run in worker.running.values()):
                    continue
            memory = worker.mem_mb - worker.in_use("mem_mb")
            fits += max(0, min(cpu // step["cpu"], memory // step["mem_mb"]))
        return fits >= wanted
