"""Checks of what must hold, counted and reported, shared by the demo and the process tests."""

import os


class Checks:
    """Counts checks and remembers the ones that failed."""

    def __init__(self):
        self.done = 0
        self.broken = []

    def check(self, name, holds, seen=None):
        self.done += 1
        if not holds:
            self.broken.append(f"{name}: {seen}")

    def report(self):
        """Prints the verdict and gives the exit code."""
        for it in self.broken:
            print(f"broken: {it}")
        print(f"promises held: {self.done} checked, {len(self.broken)} broken")
        return 1 if self.broken else 0


def read_journals(paths):
    """Starts and ends of tasks: (microseconds, what, worker, job, index, attempt), in order of time."""
    events = []
    for path in paths:
        if not os.path.exists(path):
            continue
        with open(path, encoding="utf-8") as lines:
            for line in lines:
                at, what, worker, job, index, attempt = line.split()
                events.append((int(at), what, worker, job, int(index), attempt))
    return sorted(events)


def overlapping_tasks(paths):
    """Tasks that ran in two places at once, and how many starts there were."""
    running = {}
    overlaps = []
    starts = 0
    for _, what, worker, job, index, attempt in read_journals(paths):
        task = (job, index)
        if what == "start":
            starts += 1
            if task in running:
                overlaps.append((task, running[task], (worker, attempt)))
            running[task] = (worker, attempt)
        elif running.get(task) == (worker, attempt):
            del running[task]
    return overlaps, starts
