"""Counts and reports checks of guarantees; shared by the demo and the process tests."""

import os


class Checks:
    """Counts checks and collects the failed ones."""

    def __init__(self):
        self.count = 0
        self.broken = []

    def check(self, name, passed, actual=None):
        self.count += 1
        if not passed:
            self.broken.append(f"{name}: {actual}")

    def report(self):
        """Prints the result and returns the exit code."""
        for it in self.broken:
            print(f"failed: {it}")
        print(f"{self.count} checks, {len(self.broken)} failed")
        return 1 if self.broken else 0


def read_journals(paths):
    """Starts and ends of tasks as (microseconds, event, worker, job, index, attempt), ordered by time."""
    events = []
    for path in paths:
        if not os.path.exists(path):
            continue
        with open(path, encoding="utf-8") as lines:
            for line in lines:
                time_us, event, worker, job, index, attempt = line.split()
                events.append((int(time_us), event, worker, job, int(index), attempt))
    return sorted(events)


def overlapping_tasks(paths):
    """Returns the tasks that ran on two workers at once, and the number of starts."""
    running = {}
    overlaps = []
    starts = 0
    for _, event, worker, job, index, attempt in read_journals(paths):
        task = (job, index)
        if event == "start":
            starts += 1
            if task in running:
                overlaps.append((task, running[task], (worker, attempt)))
            running[task] = (worker, attempt)
        elif running.get(task) == (worker, attempt):
            del running[task]
    return overlaps, starts
